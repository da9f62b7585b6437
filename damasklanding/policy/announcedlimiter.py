"""
damasklanding.policy.announcedlimiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Concurrency limit for a backend server that announces its number of slots and
the remaining time of its cold start.  The slots always bound the calls in
progress, and a part of them is left free; during a cold start a token bucket
also bounds the calls per second.
"""

from damasklanding.policy.inflight import InFlightCalls

__all__ = ['AnnouncedLimiter']

INITIAL_SLOTS = 1  # used until the first announcement
#: Some backend servers slow down when nearly all slots are in use, so that
#: they answer more calls a second with fewer in progress.
FREE_SLOT_RATIO = 0.1
#: Token bucket size while cold.  A backend server tolerates at least half of
#: its cold rate on top within one second, so this burst stays well within it.
COLD_BURST_CALLS = 2.0
#: Ratio of the cold rate that is used.  The rest is left for health checks
#: and for calls that span the end of a one-second interval.
COLD_RATE_RATIO = 0.95


class AnnouncedLimiter:
    """
    Concurrency limit of one backend server, taken from its announcements.

    :param now_ms: function that returns the current time in milliseconds.
    :param cold_rate_per_s: function that returns the requests per second
        that the backend server can handle while cold, or 0 if unknown.
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
        """Return whether the backend server is treated as cold."""
        if self._cold_until_ms and self._now_ms() < self._cold_until_ms:
            return True
        self._cold_until_ms = 0.0
        return False

    @property
    def limit(self):
        """Return the concurrency limit, at least 1."""
        return self._slots

    def has_capacity(self):
        """Return whether a call may start now."""
        if self.running >= self._slots:
            return False
        return not self.cold or self._refill() >= 1.0

    def pause_ms(self):
        """
        Return the milliseconds during which no call may start.

        Calls that end in the meantime do not shorten this time.
        """
        if not self.cold:
            return 0.0
        missing = 1.0 - self._refill()
        if missing <= 0.0:
            return 0.0
        return missing / self._rate_per_ms()

    def begin(self, profile):
        """
        Add a call to the calls in progress.

        :return: :class:`~damasklanding.policy.inflight.Call`.
        """
        if self.cold:
            self._refill()
            self._tokens -= 1.0
        return self._in_flight.begin(profile, self._now_ms(), False)

    def end(self, call, _result, _own_time_ms, _downstream_ms=0.0):
        """Remove a call from the calls in progress."""
        self._in_flight.end(call)

    def announce(self, cold, slots=0, cold_for_ms=0):
        """
        Apply an announcement of the backend server.

        :param cold: whether it can handle only a reduced load now.
        :param slots: requests that it processes concurrently, 0 if unknown.
        :param cold_for_ms: remaining time of its cold start.
        """
        if slots:
            self._slots = slots - int(FREE_SLOT_RATIO * slots)
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
