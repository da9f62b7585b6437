"""
damasklanding.policy.limiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Adaptive concurrency limit of one backend server, learned at its own node
from service times and shed answers.
"""

from dataclasses import dataclass

from damasklanding.policy.work import Result

__all__ = ['Call', 'Limiter']

COLD_LIMIT = 1
MAX_LIMIT = 1_000
LATE_RATIO = 2.0
BACK_OFF = 0.8
SIGNS = frozenset((Result.SHED, Result.RESET, Result.TIMEOUT))


@dataclass(slots=True, eq=False)
class Call:
    """A call in progress at the backend server."""

    profile: str
    started_ms: float
    running: int


class Limiter:
    """
    Concurrency limit of one backend server.

    :param now_ms: clock.
    """

    def __init__(self, now_ms):
        self._now_ms = now_ms
        self._limit = float(COLD_LIMIT)
        self._base_ms = {}
        self._dropped_ms = now_ms()
        self.running = 0
        self.cold = True

    @property
    def limit(self):
        """Return the limit in calls, at least 1."""
        return int(self._limit)

    def has_room(self):
        """Return whether a call may start now."""
        return self.running < self.limit

    def begin(self, profile):
        """Count a call as running and return its :class:`Call`."""
        self.running += 1
        return Call(profile, self._now_ms(), self.running)

    def end(self, call, result, service_time_ms):
        """Take a call off and learn from its result."""
        self.running -= 1
        if result in SIGNS:
            self._drop(call)
        elif result is Result.OK:
            self._learn(call, service_time_ms)

    def announce(self, cold, slots=0):
        """Note the backend server's own word that it starts cold."""
        if cold:
            self.cold = True
            self._limit = float(COLD_LIMIT)
            self._dropped_ms = self._now_ms()

    def _learn(self, call, service_time_ms):
        base = self._base_ms.get(call.profile, service_time_ms)
        if service_time_ms > base * LATE_RATIO:
            self._drop(call)
        elif call.running >= self.limit:
            self._limit = min(MAX_LIMIT, self._limit + 1)
            self.cold = False
        base += (service_time_ms - base) * 0.05
        self._base_ms[call.profile] = base

    def _drop(self, call):
        if call.started_ms < self._dropped_ms:
            return
        self._dropped_ms = self._now_ms()
        self._limit = max(COLD_LIMIT, self._limit * BACK_OFF)
