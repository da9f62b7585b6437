"""
damasklanding.policy.announcedlimiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limit of a backend server that announces how many requests it works on at
once and how long it stays cold.  Warm, its slots bound the calls in progress;
cold, a token bucket bounds the calls a second.
"""

from damasklanding.policy.inflight import InFlightCalls

__all__ = ['AnnouncedLimiter']

INITIAL_SLOTS = 1  # before the first announcement
#: Calls that may start at once while cold; the allowed excess of a second
#: is half of its rate and more, so this stays well within it.
COLD_BURST_CALLS = 2.0
#: Share of the bearable rate that is used; the rest is for health checks
#: and for calls that cross the end of a second.
COLD_RATE_RATIO = 0.95


class AnnouncedLimiter:
    """
    Concurrency limit of one backend server, from its announcements.

    :param now_ms: clock.
    :param cold_rate_per_s: function that returns the requests a second that
        it bears while cold, 0 where that is unknown.
    """

    def __init__(self, now_ms, cold_rate_per_s):
        self._now_ms = now_ms
        self._cold_rate_per_s = cold_rate_per_s
        self._in_flight = InFlightCalls()
        self._slots = INITIAL_SLOTS
        self._cold_until_ms = float('inf')
        self._tokens = COLD_BURST_CALLS
        self._refilled_ms = now_ms()

    @property
    def running(self):
        """Return the number of calls in progress."""
        return len(self._in_flight)

    @property
    def cold(self):
        """Return whether the backend server counts as cold."""
        if self._cold_until_ms and self._now_ms() < self._cold_until_ms:
            return True
        self._cold_until_ms = 0.0
        return False

    @property
    def limit(self):
        """Return the limit in calls, at least 1."""
        return self._slots

    def has_capacity(self):
        """Return whether a call may start now."""
        if self.running >= self._slots:
            return False
        return not self.cold or self._refill() >= 1.0

    def pause_ms(self):
        """Return how long no call may start whatever ends meanwhile."""
        if not self.cold:
            return 0.0
        missing = 1.0 - self._refill()
        if missing <= 0.0:
            return 0.0
        return missing / self._rate_per_ms()

    def begin(self, profile):
        """
        Count a call as running.

        :return: :class:`~damasklanding.policy.inflight.Call`.
        """
        if self.cold:
            self._refill()
            self._tokens -= 1.0
        return self._in_flight.begin(profile, self._now_ms(), False)

    def end(self, call, _result, _own_time_ms, _downstream_ms=0.0):
        """Take a call off."""
        self._in_flight.end(call)

    def announce(self, cold, slots=0, cold_for_ms=0):
        """
        Note the backend server's own word.

        :param cold: whether it bears only a little load now.
        :param slots: requests that it works on at once, 0 where unknown.
        :param cold_for_ms: how much longer it stays cold.
        """
        self._slots = slots or self._slots
        now_ms = self._now_ms()
        if cold and not self.cold:
            self._tokens = COLD_BURST_CALLS
            self._refilled_ms = now_ms
        self._cold_until_ms = now_ms + cold_for_ms if cold else 0.0

    def _rate_per_ms(self):
        rate_per_s = self._cold_rate_per_s() or 1.0
        return COLD_RATE_RATIO * rate_per_s / 1000.0

    def _refill(self):
        now_ms = self._now_ms()
        gained = (now_ms - self._refilled_ms) * self._rate_per_ms()
        self._tokens = min(COLD_BURST_CALLS, self._tokens + gained)
        self._refilled_ms = now_ms
        return self._tokens
