"""
damasklanding.policy.warmup
~~~~~~~~~~~~~~~~~~~~~~~~~~~

How fast the limit of a cold backend server grows: doubling while nothing
speaks against it, then along a line through the load that it bore.
"""

from dataclasses import dataclass
from math import sqrt

__all__ = ['MIN_LIMIT', 'OverloadSignal', 'WarmUp', 'is_backend_slower']

MIN_LIMIT = 1
GROWTH_DELAY_MS = 250.0
MIN_DOUBLING_MS = 400.0
MIN_DOUBLING_SERVICE_TIMES = (
    8.0  # service times that a doubling takes at least
)
MAX_DOUBLINGS = 10.0
PACE_RATIO = 0.85
MAX_QUIET_WARM_UP_MS = 5_000.0  # ends a warm-up without a sign of overload
MAX_WARM_UP_MS = 30_000.0
STEADY_LOAD_RATIO = 1.15
STEADY_AGE_RATIO = 1.5
MIN_STEADY_CALLS = 8
LOWER_LOAD_RATIO = 0.75


@dataclass(slots=True, frozen=True)
class OverloadSignal:
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
    :ivar signals: signs of overload so far.
    """

    def __init__(self, since_ms, now_ms, level=MIN_LIMIT):
        self.level = level
        self._first_level = level
        self.signals = []
        self._since_ms = since_ms
        self._growth_start_ms = now_ms
        self._pace_per_ms = None

    @property
    def is_unbounded(self):
        """Return whether no sign has bounded the pace yet."""
        return self._pace_per_ms is None

    def target_limit(self, now_ms, service_ms):
        """Return the limit by time alone, at a usual service time."""
        if self._pace_per_ms is not None:
            age_ms = now_ms - self._since_ms
            return max(self.level, self._pace_per_ms * age_ms)
        doubling_ms = max(
            MIN_DOUBLING_MS, MIN_DOUBLING_SERVICE_TIMES * service_ms
        )
        grown_ms = now_ms - self._growth_start_ms - GROWTH_DELAY_MS
        doublings = min(MAX_DOUBLINGS, max(0.0, grown_ms / doubling_ms))
        return self._first_level * 2.0**doublings

    def is_over(self, now_ms):
        """Return whether it has lasted long enough."""
        longest_ms = MAX_WARM_UP_MS if self.signals else MAX_QUIET_WARM_UP_MS
        return now_ms - self._since_ms > longest_ms

    def signal(self, call, ratio):
        """Return the :class:`OverloadSignal` that a call showed."""
        age_ms = max(1.0, call.started_ms - self._since_ms)
        return OverloadSignal(age_ms, call.running, ratio)

    def back_off(self, signal):
        """
        Bound the pace by a sign.

        :return: the load that was borne.
        """
        self.signals.append(signal)
        sustained = min(
            signal.running - 1, signal.running / sqrt(signal.ratio)
        )
        sustained = max(MIN_LIMIT, sustained)
        self._pace_per_ms = PACE_RATIO * sustained / signal.age_ms
        self.level = max(MIN_LIMIT, int(PACE_RATIO * sustained))
        return sustained

    def is_steady(self):
        """Return whether signs came at one level while time went on."""
        if len(self.signals) < 3:
            return False
        first, last = self.signals[-3], self.signals[-1]
        return (
            first.running >= MIN_STEADY_CALLS
            and last.age_ms >= STEADY_AGE_RATIO * first.age_ms
            and last.running <= STEADY_LOAD_RATIO * first.running
        )


def is_backend_slower(before, now):
    """
    Return whether times stayed long although the load fell by far.

    :param before: :class:`OverloadSignal`, like ``now``.
    """
    lower = max(MIN_LIMIT, LOWER_LOAD_RATIO * before.running)
    if now.running > lower:
        return False
    return now.ratio > before.ratio * sqrt(now.running / before.running)
