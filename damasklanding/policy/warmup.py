"""
damasklanding.policy.warmup
~~~~~~~~~~~~~~~~~~~~~~~~~~~

How fast the limit of a cold backend server grows: doubling while nothing
speaks against it, then along a line through the load that it bore.
"""

from dataclasses import dataclass
from math import sqrt

__all__ = ['COLD_LIMIT', 'Sign', 'WarmUp', 'is_slower']

COLD_LIMIT = 1
FIRST_STEP_MS = 250.0
DOUBLING_MS = 400.0
DOUBLING_ROUNDS = 8.0  # service times that a doubling takes at least
MAX_DOUBLINGS = 10.0
PACE_SHARE = 0.85
QUIET_MS = 5_000.0  # ends a warm-up without a sign of overload
LONGEST_MS = 30_000.0
SAME_LEVEL_RATIO = 1.15
LATER_RATIO = 1.5
LEAST_STEADY_LEVEL = 8
LOWER_LOAD_SHARE = 0.75


@dataclass(slots=True, frozen=True)
class Sign:
    """
    A sign of overload.

    :ivar age_ms: age of the cold start when the call began that showed it.
    :ivar running: calls in progress then.
    :ivar ratio: service time over the usual one.
    """

    age_ms: float
    running: float
    ratio: float


class WarmUp:
    """
    The pace of one cold start.

    :param since_ms: when it began, as far as known.
    :param now_ms: time from which the limit grows.
    :param level: load taken to be borne.
    :ivar level: the same, now.
    :ivar signs: signs of overload so far.
    """

    def __init__(self, since_ms, now_ms, level=COLD_LIMIT):
        self.level = level
        self._first_level = level
        self.signs = []
        self._since_ms = since_ms
        self._grown_since_ms = now_ms
        self._pace_per_ms = None

    @property
    def unbounded(self):
        """Return whether no sign has bounded the pace yet."""
        return self._pace_per_ms is None

    def target(self, now_ms, service_ms):
        """Return the limit by time alone, at a usual service time."""
        if self._pace_per_ms is not None:
            age_ms = now_ms - self._since_ms
            return max(self.level, self._pace_per_ms * age_ms)
        doubling_ms = max(DOUBLING_MS, DOUBLING_ROUNDS * service_ms)
        grown_ms = now_ms - self._grown_since_ms - FIRST_STEP_MS
        doublings = min(MAX_DOUBLINGS, max(0.0, grown_ms / doubling_ms))
        return self._first_level * 2.0**doublings

    def is_over(self, now_ms):
        """Return whether it has lasted long enough."""
        longest_ms = LONGEST_MS if self.signs else QUIET_MS
        return now_ms - self._since_ms > longest_ms

    def sign(self, call, ratio):
        """Return the :class:`Sign` that a call showed."""
        age_ms = max(1.0, call.started_ms - self._since_ms)
        return Sign(age_ms, call.running, ratio)

    def back_off(self, sign):
        """
        Bound the pace by a sign.

        :return: the load that was borne.
        """
        self.signs.append(sign)
        borne = min(sign.running - 1, sign.running / sqrt(sign.ratio))
        borne = max(COLD_LIMIT, borne)
        self._pace_per_ms = PACE_SHARE * borne / sign.age_ms
        self.level = max(COLD_LIMIT, int(PACE_SHARE * borne))
        return borne

    def is_steady(self):
        """Return whether signs came at one level while time went on."""
        if len(self.signs) < 3:
            return False
        first, last = self.signs[-3], self.signs[-1]
        return (
            first.running >= LEAST_STEADY_LEVEL
            and last.age_ms >= LATER_RATIO * first.age_ms
            and last.running <= SAME_LEVEL_RATIO * first.running
        )


def is_slower(before, now):
    """
    Return whether times stayed long although the load fell by far.

    :param before: :class:`Sign`, like ``now``.
    """
    lower = max(COLD_LIMIT, LOWER_LOAD_SHARE * before.running)
    if now.running > lower:
        return False
    return now.ratio > before.ratio * sqrt(now.running / before.running)
