"""
damasklanding.budget.bucket
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Token bucket that the budget owner keeps for one organisation.  It issues
whole tokens that expire after a time to live (TTL).  Its capacity is such that
the use of issued tokens, and not only their issue, stays within rate and
burst.
"""

from collections import deque
from dataclasses import dataclass
import math

__all__ = [
    'DEFAULT_TTL_MS',
    'MAX_RESERVE_MS',
    'MIN_TTL_MS',
    'Bucket',
    'BucketPlan',
    'plan_bucket',
]

DEFAULT_TTL_MS = 200
MIN_TTL_MS = 40
MAX_RESERVE_MS = 500  # tokens refilled later than this are not reserved
#: Level, relative to the capacity, below which tokens are scarce.
SCARCE_LEVEL_RATIO = 0.5
#: Divisor of the level: a prefetch gets at most 1/16 of the whole tokens.
PREFETCH_DIVISOR = 16


@dataclass(frozen=True, slots=True)
class BucketPlan:
    """
    Parameters of a bucket that enforces a rate and a burst.

    :ivar rate_per_ms: tokens refilled in a millisecond.
    :ivar capacity: largest number of tokens in the bucket.
    :ivar ttl_ms: time after which an issued token expires.
    """

    rate_per_ms: float
    capacity: float
    ttl_ms: int


def plan_bucket(rate_per_s, burst_requests):
    """
    Size a bucket so that the use of its tokens keeps to rate and burst.

    Tokens used within a window of length t were issued within a window of
    length t + TTL, so the capacity is the burst minus the tokens that are
    refilled in one TTL.  If that leaves less than one token, the bucket
    issues single tokens at a lower rate, so that two of them are not used
    too close to each other when the first is used one TTL after its issue.

    :return: :class:`BucketPlan`.
    """
    rate = rate_per_s / 1000.0
    ttl_ms = int(min(DEFAULT_TTL_MS, burst_requests / (2.0 * rate)))
    ttl_ms = max(ttl_ms, MIN_TTL_MS)
    refill_per_ttl = rate * ttl_ms
    capacity = burst_requests - refill_per_ttl
    if capacity >= 1.0:
        return BucketPlan(rate, capacity, ttl_ms)
    return BucketPlan(
        rate * burst_requests / (1.0 + refill_per_ttl), 1.0, ttl_ms
    )


@dataclass(slots=True)
class _Issue:
    """Tokens issued under one serial number, and how many came back."""

    serial: int
    at_ms: float
    tokens: int
    returned: int = 0


class Bucket:
    """
    Issues tokens and takes unused ones back.

    The bucket records the issues whose tokens have not expired, so that
    after a return the level is the same as if the returned tokens had never
    been issued.

    :ivar plan: the current :class:`BucketPlan`.
    """

    def __init__(self, plan, now_ms, level):
        self.plan = plan
        self._level = min(level, plan.capacity)
        self._at_ms = now_ms
        self._base_level = self._level
        self._base_at_ms = now_ms
        self._issues = deque()
        self._serial = 0

    def level(self, now_ms):
        """Return the number of tokens in the bucket, with its fraction."""
        return self._refilled(self._level, self._at_ms, now_ms)

    def is_scarce(self, now_ms):
        """Return whether the level is so low that unused tokens matter."""
        return self.level(now_ms) < self.plan.capacity * SCARCE_LEVEL_RATIO

    def issue(self, wanted, waiting, now_ms):
        """
        Issue up to ``wanted`` tokens for use now.

        Of the tokens that no request waits for, only a small part of the
        level is issued, since they may expire unused.

        :param waiting: how many requests wait for one of these tokens.
        :return: number of tokens issued.
        """
        whole = math.floor(self.level(now_ms))
        limit = max(waiting, math.ceil(whole / PREFETCH_DIVISOR))
        tokens = max(0, min(wanted, whole, limit))
        self._record_issue(tokens, now_ms)
        return tokens

    def reserve(self, count, wait_ms, now_ms):
        """
        Issue up to ``count`` tokens for use once they are refilled.

        :param wait_ms: longest time until the last token may be used.
        :return: number of tokens issued.  The first may be used after the
            time that :meth:`ms_to_next_token` returned before this call, each
            further one after the time in which one token is refilled.
        """
        within_ms = min(wait_ms, MAX_RESERVE_MS)
        refilled = self.level(now_ms) + within_ms * self.plan.rate_per_ms
        tokens = max(0, min(count, math.floor(refilled)))
        self._record_issue(tokens, now_ms)
        return tokens

    def ms_to_next_token(self, now_ms):
        """Return the milliseconds until the level reaches one token."""
        return max(0.0, 1.0 - self.level(now_ms)) / self.plan.rate_per_ms

    def next_serial(self):
        """Return a new serial number, used for all issues from now on."""
        self._serial += 1
        return self._serial

    def _record_issue(self, tokens, now_ms):
        if not tokens:
            return
        self._fold_expired_issues(now_ms)
        self._level = self.level(now_ms) - tokens
        self._at_ms = now_ms
        issues = self._issues
        if issues and issues[-1].serial == self._serial:
            issues[-1].tokens += tokens
        else:
            issues.append(_Issue(self._serial, now_ms, tokens))

    def charge(self, tokens, now_ms):
        """Take tokens that were given out elsewhere, also below level 0."""
        self._record_issue(tokens, now_ms)

    def take_back(self, serial, returned, now_ms):
        """
        Take back unused tokens of an issue that has not expired.

        :param returned: total number of tokens of this issue returned so
            far, so that a repeated or late message changes nothing.
        :return: number of tokens added by this call.
        """
        self._fold_expired_issues(now_ms)
        for issue in self._issues:
            if issue.serial == serial:
                accepted = min(returned - issue.returned, issue.tokens)
                if accepted <= 0:
                    return 0
                issue.returned = returned
                issue.tokens -= accepted
                self._recompute_level(now_ms)
                return accepted
        return 0

    def set_plan(self, plan, now_ms):
        """
        Apply another rate and burst.

        Tokens issued before may still be used for one TTL under the new
        plan.  If the rate rises, the level is lowered in advance by the
        additional tokens of one TTL.
        """
        raised = max(0.0, plan.rate_per_ms - self.plan.rate_per_ms)
        level = self.level(now_ms) - raised * self.plan.ttl_ms
        self.plan = plan
        self._level = min(level, plan.capacity)
        self._at_ms = now_ms
        self._base_level = self._level
        self._base_at_ms = now_ms
        self._issues.clear()

    def _refilled(self, level, from_ms, to_ms):
        gained = max(0.0, to_ms - from_ms) * self.plan.rate_per_ms
        return min(self.plan.capacity, level + gained)

    def _fold_expired_issues(self, now_ms):
        oldest_ms = now_ms - self.plan.ttl_ms
        issues = self._issues
        while issues and issues[0].at_ms <= oldest_ms:
            self._fold_into_base(issues.popleft())

    def _fold_into_base(self, issue):
        """Move the base, from which levels are recomputed, past an issue."""
        level = self._refilled(self._base_level, self._base_at_ms, issue.at_ms)
        self._base_level = level - issue.tokens
        self._base_at_ms = issue.at_ms

    def _recompute_level(self, now_ms):
        level = self._base_level
        at_ms = self._base_at_ms
        for issue in self._issues:
            level = self._refilled(level, at_ms, issue.at_ms) - issue.tokens
            at_ms = issue.at_ms
        self._level = self._refilled(level, at_ms, now_ms)
        self._at_ms = now_ms
