"""
damasklanding.policy.warmup
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Growth of the concurrency limit of a cold backend server.  The limit doubles
at intervals until the first overload signal.  From then on it grows linearly
with the age of the cold start, at a pace derived from the load that the
backend server sustained.
"""

from dataclasses import dataclass
from math import sqrt

__all__ = ['MIN_LIMIT', 'OverloadSignal', 'WarmUp', 'is_backend_slower']

MIN_LIMIT = 1  # lowest concurrency limit, and the first one when cold
GROWTH_DELAY_MS = 250.0  # before the limit starts to double
MIN_DOUBLING_MS = 400.0
MIN_DOUBLING_SERVICE_TIMES = 8.0  # a doubling takes at least as many
MAX_DOUBLINGS = 10.0
PACE_RATIO = 0.85  # of the sustained load, for the pace and the limit
MAX_QUIET_WARM_UP_MS = 5_000.0  # duration without any overload signal
MAX_WARM_UP_MS = 30_000.0

# Overload signals at a steady load while time passes end the warm-up.
STEADY_LOAD_RATIO = 1.15  # maximum ratio of the last load to the first
STEADY_AGE_RATIO = 1.5  # minimum ratio of the last age to the first
MIN_STEADY_CALLS = 8

LOWER_LOAD_RATIO = 0.75  # maximum ratio of a load that counts as far lower


@dataclass(slots=True, frozen=True)
class OverloadSignal:
    """
    An indication of overload.

    :ivar age_ms: age of the cold start when the call that showed the
        overload began.
    :ivar running: calls in progress at that time.
    :ivar ratio: service time divided by its baseline.
    """

    age_ms: float
    running: float
    ratio: float


class WarmUp:
    """
    Pace of one cold start.

    :param since_ms: estimated start time of the cold start.
    :param now_ms: time from which the limit grows.
    :param level: calls in progress that the backend server is assumed to
        sustain.
    :ivar level: current value of that number.
    :ivar signals: list of :class:`OverloadSignal` received so far.
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
        """Return whether no overload signal has bounded the pace yet."""
        return self._pace_per_ms is None

    def target_limit(self, now_ms, service_ms):
        """
        Return the limit that the elapsed time allows.

        :param service_ms: baseline service time.
        """
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
        """Return whether the maximum duration has passed."""
        longest_ms = MAX_WARM_UP_MS if self.signals else MAX_QUIET_WARM_UP_MS
        return now_ms - self._since_ms > longest_ms

    def signal(self, call, ratio):
        """Return the :class:`OverloadSignal` for a call."""
        age_ms = max(1.0, call.started_ms - self._since_ms)
        return OverloadSignal(age_ms, call.running, ratio)

    def back_off(self, signal):
        """
        Bound the pace after an overload signal.

        :return: the estimated load that the backend server sustained.
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
        """
        Return whether the last signals came at the same load.

        The load at which overload shows rises during a cold start.  If it
        no longer does although time has passed, the backend server is warm.
        """
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
    Return whether service times stayed long although the load fell.

    In that case the backend server itself has become slower, and its load is
    not the cause.

    :param before: earlier :class:`OverloadSignal`.
    :param now: later :class:`OverloadSignal`.
    """
    lower = max(MIN_LIMIT, LOWER_LOAD_RATIO * before.running)
    if now.running > lower:
        return False
    return now.ratio > before.ratio * sqrt(now.running / before.running)
