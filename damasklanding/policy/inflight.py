"""
damasklanding.policy.inflight
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls in progress at a backend server, oldest first.
"""

from dataclasses import dataclass

__all__ = ['Call', 'InFlightCalls']

MAX_SCANNED_CALLS = 16
MIN_LATE_RATIO = 0.1


@dataclass(slots=True, eq=False)
class Call:
    """
    A call in progress at the backend server.

    :ivar running: calls in progress, this one included, when it began.
    :ivar exempt: whether it made onward calls, which make its age say
        nothing.
    :ivar probe: whether it began while new calls were held.
    """

    profile: str
    started_ms: float
    running: int
    exempt: bool = False
    probe: bool = False


class InFlightCalls:
    """Calls in progress."""

    def __init__(self):
        self._calls = {}

    def __len__(self):
        return len(self._calls)

    def begin(self, profile, now_ms, probe):
        """Add a call."""
        call = Call(profile, now_ms, len(self._calls) + 1, probe=probe)
        self._calls[call] = None
        return call

    def end(self, call):
        """Take a call off."""
        del self._calls[call]

    def overdue(self, now_ms, since_ms, late_after_ms):
        """
        Return a call that shows that answers stay out, or None.

        One late call alone is noise where several run.

        :param since_ms: calls that began earlier don't count.
        :param late_after_ms: function that returns the time after which a call
            of a profile is late.
        """
        running = len(self._calls)
        needed = max(2, min(MAX_SCANNED_CALLS / 2, MIN_LATE_RATIO * running))
        if running <= 2:
            needed = 1
        late = 0
        for scanned, call in enumerate(self._calls):
            if scanned >= MAX_SCANNED_CALLS:
                break
            if call.exempt or call.started_ms < since_ms:
                continue
            if now_ms - call.started_ms > late_after_ms(call.profile):
                late += 1
            if late >= needed:
                return call
        return None
