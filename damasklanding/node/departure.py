"""
damasklanding.node.departure
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long a backend server that leaves is used, where no other one can take its
place.  Its departure is then confirmed late, and it serves for a while after
the confirmation.
"""

from dataclasses import dataclass

__all__ = ['ENDING', 'GONE', 'KEPT', 'Departure', 'LeaveBounds']

#: Stages of a departure: in use, in use for chains that have begun, and not
#: in use any more.
KEPT = 'kept'
ENDING = 'ending'
GONE = 'gone'

#: How late a report may come after its time.
REPORT_DELAY_MS = 500.0
#: Last part of the time after the confirmation, in which calls that were sent
#: before end.
END_MARGIN_MS = 500.0
#: Time before that in which only chains that have begun are served.
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
            # Its time does not begin anew with a late confirmation.
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
