"""
damasklanding.budget.pool
~~~~~~~~~~~~~~~~~~~~~~~~~

The part of an organisation's budget that its owner issues while it has no
recent proof that it still is the owner.  Where the owner is cut off with some
nodes and another owner is named, both keep to their parts; where the owner
reaches all nodes, it issues the whole budget as its only holder.
"""

__all__ = ['PartialPool']


class PartialPool:
    """
    Tokens that may be issued without proof, beside the bucket that has them.

    :param level: tokens in the bucket at the start.
    :param plan: :class:`~damasklanding.budget.bucket.BucketPlan`.
    """

    def __init__(self, level, plan, now_ms):
        self._level = max(0.0, level)
        self._plan = plan
        self._part = 0.0
        self._largest_part = 0.0
        self._tokens = min(1.0, self._level)
        self._refilled_ms = now_ms

    def set_part(self, part, now_ms):
        """Set the part of the nodes that is reached, above 0 and up to 1."""
        self._refill(now_ms)
        if part > self._largest_part:
            self._tokens += self._level * (part - self._largest_part)
            self._largest_part = part
        self._part = part

    def tokens(self, now_ms):
        """Return the whole tokens that may be issued now."""
        self._refill(now_ms)
        return int(self._tokens)

    def change(self, tokens):
        """Add tokens that came back; a negative number was issued."""
        self._tokens += tokens

    def ms_to_next_token(self, now_ms):
        """Return the milliseconds until one token may be issued."""
        self._refill(now_ms)
        missing = max(0.0, 1.0 - self._tokens)
        return missing / (self._part * self._plan.rate_per_ms)

    def _refill(self, now_ms):
        passed_ms = max(0.0, now_ms - self._refilled_ms)
        gained = passed_ms * self._part * self._plan.rate_per_ms
        capacity = max(1.0, self._part * self._plan.capacity)
        if self._tokens < capacity:
            self._tokens = min(capacity, self._tokens + gained)
        self._refilled_ms = now_ms
