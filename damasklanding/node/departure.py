"""
damasklanding.node.departure
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long a backend server that leaves is used, where no other one can take its
place.  Its departure is then confirmed late, and it serves for a while after
the confirmation.
"""

from dataclasses import dataclass

__all__ = ['ENDING', 'GONE', 'KEPT', 'Departure', 'LeaveBounds']

#: Stage in which the leaving backend server takes all calls.
KEPT = 'kept'
#: Stage in which the leaving backend server takes no calls that begin a chain.
ENDING = 'ending'
#: Stage in which nothing is sent to the leaving backend server.
GONE = 'gone'

#: Delay that is allowed for each report of the backend server.
REPORT_DELAY_MS = 500.0
#: Time between the last call to the backend server and its earliest exit, in
#: which that call can end.
END_MARGIN_MS = 500.0
#: Length of the stage ``ENDING``, in which chains that have begun can end.
LAST_CALLS_MS = 700.0


@dataclass(frozen=True)
class LeaveBounds:
    """
    What is agreed about the departure of a backend server.

    :ivar confirm_ms: time within which a departure must be confirmed; 0
        confirms each at once.
    :ivar drain_ms: time for which a backend server serves after the
        confirmation.
    :ivar report_interval_ms: time between two of its reports.
    """

    confirm_ms: int = 0
    drain_ms: int = 0
    report_interval_ms: int = 1_500


class Departure:
    """
    The departure of one start of the backend server beside this node.

    :param is_last: function that returns whether no other backend server can
        take its place.
    :param may_wait: whether it was in use until now, so that its departure
        begins with this object.
    """

    def __init__(self, bounds, is_last, now_ms, may_wait):
        self._bounds = bounds
        self._is_last = is_last
        self._now_ms = now_ms
        self._may_wait = may_wait and bounds.confirm_ms > 0
        self._said_ms = now_ms()
        self._confirmed_ms = None

    def confirm(self):
        """
        Take a report of the departure.

        :return: whether the answer to it confirms the departure.
        """
        if self._confirmed_ms is not None:
            return True
        if self.is_over():
            # A confirmation after the bound gives no further time in use.
            self._may_wait = False
        elif self._next_report_is_in_time() and self._is_last():
            return False
        self._confirmed_ms = self._now_ms()
        return True

    def is_confirmed(self):
        """Return whether an answer has confirmed it."""
        return self._confirmed_ms is not None

    def end(self):
        """Note that the backend server exits now."""
        self._may_wait = False

    def stage(self):
        """Return ``KEPT``, ``ENDING`` or ``GONE``."""
        if self.is_over() or not self._is_last():
            return GONE
        left_ms = self.left_ms()
        if self._confirmed_ms is not None and left_ms <= LAST_CALLS_MS:
            return ENDING
        return KEPT

    def is_over(self):
        """Return whether the backend server can't be used any more."""
        return not self._may_wait or self.left_ms() <= 0

    def left_ms(self):
        """Return for how long it may be used at most."""
        if self._confirmed_ms is None:
            ends_ms = self._said_ms + self._bounds.confirm_ms
        else:
            ends_ms = (
                self._confirmed_ms + self._bounds.drain_ms - END_MARGIN_MS
            )
        return max(0.0, ends_ms - self._now_ms())

    def _next_report_is_in_time(self):
        next_report_ms = self._bounds.report_interval_ms + REPORT_DELAY_MS
        return next_report_ms < self.left_ms()
