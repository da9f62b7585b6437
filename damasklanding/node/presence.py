"""
damasklanding.node.presence
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which start of the backend server beside this node is there now, by reports
that may come late, repeated or out of order.
"""

from collections import deque
from dataclasses import dataclass

import gevent

from damasklanding.clock import monotonic_ms
from damasklanding.clock import wall_ms
from damasklanding.errors import BadInput
from damasklanding.errors import DepartureDeferred
from damasklanding.logs import CappedLog
from damasklanding.node.departure import ENDING
from damasklanding.node.departure import GONE
from damasklanding.node.departure import KEPT
from damasklanding.node.departure import Departure
from damasklanding.node.departure import LeaveBounds
from damasklanding.node.registration import Announcement

__all__ = ['BackendPresence', 'BackendReport', 'KeptServer']

NO_BOUNDS = LeaveBounds()
#: Time between two checks for a new stage of a departure.
FOLLOW_MS = 50

#: A start that lies further ahead of this host's clock is not believed.
MAX_CLOCK_LEAD_MS = 60_000
#: Largest step between the sequence numbers of two reports of one start for
#: which the second one is believed by itself.
MAX_SEQUENCE_STEP = 100
#: Sequence numbers out of line that are remembered, until one of them is
#: continued.
MAX_SUSPECTS = 16
#: Most reports a second that the first sequence number heard may stand for.
MAX_REPORTS_PER_S = 10


@dataclass(frozen=True, slots=True)
class BackendReport:
    """
    What one start of a backend server says of itself.

    :ivar in_service: whether new work may come; false while it drains.
    :ivar cold_for_ms: how much longer it stays cold.
    :ivar started_at_ms: when it started, on its host's clock.
    :ivar sequence: increases with each report of one start.
    """

    instance: str
    address: str
    service: str
    in_service: bool
    slots: int
    cold_for_ms: int
    started_at_ms: int
    sequence: int


@dataclass(frozen=True, slots=True)
class KeptServer:
    """
    A backend server that leaves and is in use as the last of its service.

    :ivar is_confirmed: whether its departure has been confirmed.
    :ivar left_ms: for how long it is used at most.
    """

    service: str
    instance: str
    is_confirmed: bool
    left_ms: int


class BackendPresence:
    """
    The backend server beside this node.

    :param address: where it listens.
    :param announce: called with each
        :class:`~damasklanding.node.registration.Announcement`.
    :param is_known_service: function of a service's name; returns whether the
        configuration has it, or may have it.
    :param bounds: :class:`~damasklanding.node.departure.LeaveBounds`.
    :param is_last: function that returns whether no other backend server can
        take its place.
    """

    def __init__(
        self,
        address,
        announce,
        is_known_service=lambda _service: True,
        now_ms=monotonic_ms,
        bounds=NO_BOUNDS,
        is_last=lambda: False,
    ):
        self._address = address
        self._now_ms = now_ms
        self._drains_since_ms = None
        self._announce = announce
        self._is_known_service = is_known_service
        self._bounds = bounds
        self._is_last = is_last
        self._latest = None
        self._left = False
        self._departure = None
        self._announced_stage = ''
        self._suspects = deque(maxlen=MAX_SUSPECTS)
        self._logged_state = None
        self._log = CappedLog(now_ms)

    def handle_report(self, report):
        """
        Take a report; one that is older than the latest changes nothing.

        Another writer may send a report in the name of a good backend server.
        One that is far ahead would make all true ones look old, so a number
        out of line is believed only once another report has continued it.

        :raises BadInput: it is of another address, or not believed.
        :raises DepartureDeferred: it says that the backend server leaves,
            which is not confirmed yet.
        """
        try:
            self._take_report(report)
        except BadInput as error:
            self._log.write(
                'report',
                f'a report of {_title(report)} is refused: {error.problem}; '
                f'the latest is {_title(self._latest)}',
                'WARNING',
            )
            raise

    def _take_report(self, report):
        if report.address != self._address:
            raise BadInput(
                f'{report.address} is not the backend server of this node',
                'announce it to the node beside it',
            )
        latest = self._latest
        same_start = latest is not None and _is_same_start(latest, report)
        if not self._is_newer(report) and not self._goes_back(report):
            if same_start and not report.in_service:
                self._require_confirmation()
            return
        self._require_plausible(report)
        was_in_service = same_start and latest.in_service
        self._latest = report
        self._left = False
        if report.in_service or not same_start:
            self._departure = None
        if report.in_service:
            self._announce_latest(f'report {_title(report)}')
            return
        if self._departure is None:
            self._begin_departure(was_in_service)
        self._announce_latest(f'report {_title(report)}')
        self._require_confirmation()

    def record_departure(self, instance, started_at_ms=0):
        """
        Note that a start of the backend server takes no new work.

        :return: whether it is the latest start.
        :raises DepartureDeferred: that is not confirmed yet.
        """
        latest = self._latest
        if (
            latest is None
            or latest.instance != instance
            or (started_at_ms and started_at_ms < latest.started_at_ms)
        ):
            self._log.write(
                'departure',
                f'a departure of {instance} started at {started_at_ms} is '
                f'ignored: the latest report is {_title(latest)}',
            )
            return False
        _require_past(started_at_ms)
        departure = self._departure
        if departure is None:
            self._begin_departure(latest.in_service and not self._left)
        elif not self._left:
            # A DELETE that follows reports of draining comes with the exit.
            departure.end()
        self._left = True
        self._announce_latest(f'a departure of {instance}')
        self._require_confirmation()
        return True

    def kept_server(self):
        """
        Return the backend server if it leaves and is still in use.

        :return: :class:`KeptServer`, or None.
        """
        departure = self._departure
        if departure is None or departure.stage() == GONE:
            return None
        return KeptServer(
            self._latest.service,
            self._latest.instance,
            departure.is_confirmed(),
            round(departure.left_ms()),
        )

    def _begin_departure(self, was_in_service):
        self._departure = Departure(
            self._bounds, self._is_last, self._now_ms, was_in_service
        )
        gevent.spawn(self._follow, self._departure)

    def _follow(self, departure):
        """Announce the stages of a departure until it is over."""
        while self._departure is departure:
            if departure.stage() != self._announced_stage:
                self._announce_latest('its departure')
            if departure.is_over():
                return
            gevent.sleep(FOLLOW_MS / 1000)

    def _require_confirmation(self):
        """
        Confirm the departure, if there is one.

        :raises DepartureDeferred: it is too early.
        """
        departure = self._departure
        if departure is not None and not departure.confirm():
            raise DepartureDeferred(
                f'{self._latest.service} has no other usable backend server'
            )

    def _announce_latest(self, cause):
        """Announce what the latest report and its departure come to."""
        report = self._latest
        departure = self._departure
        stage = '' if departure is None else departure.stage()
        self._announced_stage = stage
        cold = report.cold_for_ms > 0
        if stage == GONE:
            state, text = 'draining', 'leaving' if self._left else 'draining'
        else:
            state, text = 'in', stage or ('in, cold' if cold else 'in')
        if stage in (KEPT, ENDING):
            cause = (
                f'{cause}; no other one of {report.service} is usable, so it '
                f'is used for {departure.left_ms():.0f} ms more at most'
            )
        self._log_state(text, report, cause)
        announcement = Announcement(
            service=report.service,
            state=state,
            cold=cold,
            slots=report.slots,
            instance=report.instance,
            cold_for_ms=report.cold_for_ms,
            started_at_ms=report.started_at_ms,
            departure='' if stage == GONE else stage,
        )
        self._announce(announcement)

    def _log_state(self, state, report, cause):
        """Log the state of a start, and what said so, if it is new."""
        logged_state = (state, report.service, _start_of(report))
        if logged_state == self._logged_state:
            return
        self._logged_state = logged_state
        self._log.write(
            'report',
            f'the backend server is {state}: {cause}'
            + self._drained_for(state),
            'WARNING' if state == KEPT else 'INFO',
        )

    def _drained_for(self, state):
        """Return for how long a server that leaves has got no work."""
        now_ms = self._now_ms()
        since_ms = self._drains_since_ms
        if state != 'leaving':
            self._drains_since_ms = now_ms if state == 'draining' else None
            return ''
        if since_ms is None:
            return ''
        return f', {now_ms - since_ms:.0f} ms after its report that it drains'

    def _require_plausible(self, report):
        _require_past(report.started_at_ms)
        latest = self._latest
        if (
            latest is not None
            and self._is_known_service(latest.service)
            and not self._is_known_service(report.service)
        ):
            raise BadInput('the configuration has no service of this name')
        if self._continues_count(report) or self._continues_suspect(report):
            self._forget_suspects(report)
            return
        self._suspects.append(report.sequence)
        raise BadInput('the sequence number is far ahead of the last one')

    def _goes_back(self, report):
        """
        Return whether the count of the latest report was a wrong one.

        A late report is at most a few behind.  One that is far behind, and is
        continued, is of a writer that never had the numbers in between.
        """
        latest = self._latest
        if self._left or not _is_same_start(latest, report):
            return False
        if latest.sequence - report.sequence <= MAX_SEQUENCE_STEP:
            return False
        if self._continues_suspect(report):
            return True
        self._suspects.append(report.sequence)
        return False

    def _continues_suspect(self, report):
        return any(
            0 < report.sequence - suspect <= MAX_SEQUENCE_STEP
            for suspect in self._suspects
        )

    def _forget_suspects(self, report):
        latest = self._latest
        if latest is None or not _is_same_start(latest, report):
            self._suspects.clear()

    def _continues_count(self, report):
        sequence = report.sequence
        latest = self._latest
        if latest is not None and _is_same_start(latest, report):
            return sequence - latest.sequence <= MAX_SEQUENCE_STEP
        if not report.started_at_ms:
            return True
        age_s = max(0, wall_ms() - report.started_at_ms) / 1000
        return sequence <= MAX_SEQUENCE_STEP + MAX_REPORTS_PER_S * age_s

    def _is_newer(self, report):
        latest = self._latest
        if latest is None:
            return True
        if report.started_at_ms != latest.started_at_ms:
            return report.started_at_ms > latest.started_at_ms
        if report.instance != latest.instance:
            return True
        return not self._left and report.sequence > latest.sequence


def _is_same_start(one, other):
    return _start_of(one) == _start_of(other)


def _start_of(report):
    return report.instance, report.started_at_ms


def _title(report):
    """Return what identifies a report in a log line."""
    if report is None:
        return 'none'
    return (
        f'{report.sequence} of {report.instance} ({report.service}) '
        f'started at {report.started_at_ms}'
    )


def _require_past(started_at_ms):
    if started_at_ms > wall_ms() + MAX_CLOCK_LEAD_MS:
        raise BadInput('the start lies in the future')
