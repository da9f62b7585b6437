"""
damasklanding.policy.inflight
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tracks the calls in progress at a backend server, oldest first.
"""

from dataclasses import dataclass

__all__ = ['Call', 'InFlightCalls']

MAX_SCANNED_CALLS = 16  # oldest calls that are checked
MIN_LATE_RATIO = 0.1  # of the calls in progress


@dataclass(slots=True, eq=False)
class Call:
    """
    A call in progress at the backend server.

    :ivar running: calls in progress when it began, including itself.
    :ivar exempt: whether its age and failures are ignored as signs of
        trouble, because it made downstream calls or is streaming its
        response to the caller.
    :ivar probe: whether it was sent as a probe while other calls were held.
    """

    profile: str
    started_ms: float
    running: int
    exempt: bool = False
    probe: bool = False


class InFlightCalls:
    """Set of the calls in progress, in order of their start."""

    def __init__(self):
        self._calls = {}

    def __len__(self):
        return len(self._calls)

    def begin(self, profile, now_ms, probe):
        """Add a call and return it as a :class:`Call`."""
        call = Call(profile, now_ms, len(self._calls) + 1, probe=probe)
        self._calls[call] = None
        return call

    def end(self, call):
        """Remove a call."""
        del self._calls[call]

    def overdue(self, now_ms, since_ms, late_after_ms):
        """
        Return an overdue call if enough calls are overdue, otherwise None.

        With more than two calls in progress, a single late call counts as
        noise.

        :param since_ms: calls that began before this time are ignored.
        :param late_after_ms: function that returns, for a profile, the time
            in milliseconds after which a call is late.
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
