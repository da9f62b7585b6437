"""
damasklanding.budget.shares
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rate limiting at an entry node while no budget owner answers.  Each node admits
an equal share of an organisation's rate, so that all nodes together stay
within it.  A share begins without a part of the burst, which can have been
used up through the owner, and gains nothing from times in which the owner
answered.  At some nodes it begins with one token, so that organisations of
small rates are served.
"""

from dataclasses import dataclass
import random

__all__ = ['FIRST_REQUESTS', 'LocalShares']

#: Requests of an organisation that all shares together admit at once, in the
#: mean, and that a new owner admits at once, whatever was used before.
FIRST_REQUESTS = 8

#: Longest time between two requests for which a share gains tokens.  The owner
#: can have answered other nodes in a longer one.
MAX_GAIN_MS = 1_000


@dataclass(slots=True)
class _ShareBucket:
    """Token bucket of one organisation at this node."""

    tokens: float
    refilled_ms: float


class LocalShares:
    """
    Local shares of the organisations' budgets at one node.

    :param node_count: function that returns the number of entry nodes.
    :param draw: function that returns a random number from 0 to 1.
    """

    def __init__(self, node_count, draw=random.random):
        self._node_count = node_count
        self._draw = draw
        self._buckets = {}

    def take(self, organisation, share_ratio, now_ms):
        """
        Admit a request if the local share allows it.

        :param organisation:
            :class:`~damasklanding.fleet.resources.Organisation`.
        :param share_ratio: part of the local share that may be used, 0 to 1.
        :return: whether the request was admitted.
        """
        share = share_ratio / max(1, self._node_count())
        capacity = max(1.0, share * organisation.burst_requests)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = self._buckets[organisation.name] = _ShareBucket(
                self._first_tokens(organisation), now_ms
            )
        rate_per_ms = share * organisation.rate_per_s / 1000.0
        passed_ms = max(0.0, now_ms - bucket.refilled_ms)
        gained = min(passed_ms, MAX_GAIN_MS) * rate_per_ms
        bucket.tokens = min(capacity, bucket.tokens + gained)
        bucket.refilled_ms = now_ms
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _first_tokens(self, organisation):
        """Return 1 at as many nodes as there are first requests, else 0."""
        count = min(FIRST_REQUESTS, organisation.burst_requests)
        return 1.0 if self._draw() * self._node_count() < count else 0.0

    def end(self, name):
        """Drop the share of an organisation whose owner has answered."""
        self._buckets.pop(name, None)
