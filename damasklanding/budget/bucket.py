"""
damasklanding.budget.bucket
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Token bucket of one organisation at its budget owner.  It issues whole tokens
that lapse after a time to live, sized so that the use of issued tokens, not
just their issue, stays within rate and burst.
"""

from collections import deque
from dataclasses import dataclass
import math

__all__ = [
    'DEFAULT_TTL_MS',
    'MAX_RESERVE_MS',
    'MIN_TTL_MS',
    'Bucket',
    'Plan',
    'plan_bucket',
]

DEFAULT_TTL_MS = 200
MIN_TTL_MS = 40
MAX_RESERVE_MS = 500
SCARCE_PART = 0.5
AHEAD_SHARES = 16


@dataclass(frozen=True, slots=True)
class Plan:
    """
    How a rate and a burst are turned into issued tokens.

    :ivar rate_per_ms: refill.
    :ivar capacity: largest number of tokens held.
    :ivar ttl_ms: life of issued tokens.
    """

    rate_per_ms: float
    capacity: float
    ttl_ms: int


def plan_bucket(rate_per_s, burst_requests):
    """
    Size a bucket so that use within any window keeps to rate and burst.

    Tokens used in a window of t were issued in a window of t + ttl, so the
    capacity is the burst less what the rate yields in one time to live.  A
    burst too small for that gets single tokens, spaced so that lateness of
    one time to live can't bring two of them too close.

    :return: :class:`Plan`.
    """
    rate = rate_per_s / 1000.0
    ttl_ms = int(min(DEFAULT_TTL_MS, burst_requests / (2.0 * rate)))
    ttl_ms = max(ttl_ms, MIN_TTL_MS)
    used_late = rate * ttl_ms
    capacity = burst_requests - used_late
    if capacity >= 1.0:
        return Plan(rate, capacity, ttl_ms)
    return Plan(rate * burst_requests / (1.0 + used_late), 1.0, ttl_ms)


@dataclass(slots=True)
class _Issue:
    serial: int
    at_ms: float
    tokens: int
    returned: int = 0


class Bucket:
    """
    Issues tokens and takes unused ones back.

    Recent issues are kept so that a hand-back leaves the level as if the
    tokens had never been issued.

    :ivar plan: :class:`Plan` in force.
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
        """Return the tokens at hand, fractions included."""
        return self._refilled(self._level, self._at_ms, now_ms)

    def scarce(self, now_ms):
        """Return whether so little is at hand that unused ones are missed."""
        return self.level(now_ms) < self.plan.capacity * SCARCE_PART

    def issue(self, wanted, waiting, now_ms):
        """
        Issue up to a number of tokens for use now.

        Tokens that no request waits for are shared out in small parts of
        what is left, since they may lapse unused.

        :param waiting: how many of the wanted ones requests wait for.
        :return: number of tokens.
        """
        whole = math.floor(self.level(now_ms))
        share = max(waiting, math.ceil(whole / AHEAD_SHARES))
        tokens = max(0, min(wanted, whole, share))
        self._issue(tokens, now_ms)
        return tokens

    def reserve(self, count, wait_ms, now_ms):
        """
        Issue up to a number of tokens for use once they are refilled.

        :param wait_ms: longest time until the last may be used.
        :return: number of tokens; the first may be used after the time that
            :meth:`next_ms` gave before, the others one refill apart.
        """
        within_ms = min(wait_ms, MAX_RESERVE_MS)
        refilled = self.level(now_ms) + within_ms * self.plan.rate_per_ms
        tokens = max(0, min(count, math.floor(refilled)))
        self._issue(tokens, now_ms)
        return tokens

    def next_ms(self, now_ms):
        """Return the time until one more token may be used."""
        return max(0.0, 1.0 - self.level(now_ms)) / self.plan.rate_per_ms

    def next_serial(self):
        """Start another serial and return it."""
        self._serial += 1
        return self._serial

    def _issue(self, tokens, now_ms):
        if not tokens:
            return
        self._forget(now_ms)
        self._level = self.level(now_ms) - tokens
        self._at_ms = now_ms
        issues = self._issues
        if issues and issues[-1].serial == self._serial:
            issues[-1].tokens += tokens
        else:
            issues.append(_Issue(self._serial, now_ms, tokens))

    def give_back(self, serial, returned, now_ms):
        """
        Take back unused tokens of an issue that has not lapsed.

        :param returned: all that came back of this issue so far, so that a
            repeated or late message changes nothing.
        :return: number of tokens accepted now.
        """
        self._forget(now_ms)
        for issue in self._issues:
            if issue.serial == serial:
                accepted = min(returned - issue.returned, issue.tokens)
                if accepted <= 0:
                    return 0
                issue.returned = returned
                issue.tokens -= accepted
                self._replay(now_ms)
                return accepted
        return 0

    def change(self, plan, now_ms):
        """
        Put another rate and burst in force.

        Tokens issued before may be used under the new rate for one time to
        live; a raise counts them in advance.
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

    def _forget(self, now_ms):
        oldest_ms = now_ms - self.plan.ttl_ms
        issues = self._issues
        while issues and issues[0].at_ms <= oldest_ms:
            self._settle_base(issues.popleft())

    def _settle_base(self, issue):
        level = self._refilled(self._base_level, self._base_at_ms, issue.at_ms)
        self._base_level = level - issue.tokens
        self._base_at_ms = issue.at_ms

    def _replay(self, now_ms):
        level = self._base_level
        at_ms = self._base_at_ms
        for issue in self._issues:
            level = self._refilled(level, at_ms, issue.at_ms) - issue.tokens
            at_ms = issue.at_ms
        self._level = self._refilled(level, at_ms, now_ms)
        self._at_ms = now_ms
