"""
damasklanding.node.crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~

Notices that the backend server beside this node has crashed and which
requests it was running, and refuses the requests that are quarantined for it.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import os

import gevent
from gevent import socket as gsocket
from gevent.event import Event
from loguru import logger

from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import Quarantined
from damasklanding.link import parse_address
from damasklanding.node.answers import RAN
from damasklanding.node.dialect import SHED_STATUSES
from damasklanding.policy.quarantine import Crash
from damasklanding.policy.quarantine import QuarantineState
from damasklanding.policy.quarantine import Suspect
from damasklanding.policy.quarantine import fingerprint

__all__ = ['CrashWatch', 'has_ended']

PROBE_TIMEOUT_MS = 250
#: Between two probes: a process that ends may close its connections before
#: its listener.
PROBE_PAUSE_MS = 15
PROBES = 2
#: Longest wait of a call whose connection broke for the result of the probes.
VERDICT_WAIT_MS = 200
#: A refused connection or another start of the backend server within this
#: time after a connection broke tells that it had ended.
LATE_PROOF_MS = 2_000
#: A backend server may still run a call for this time after its node has
#: given up waiting for the answer.
ABANDONED_MS = 1_000
PROBATION_RETRY_AFTER_MS = 1_000
MAX_ABANDONED = 64


def has_ended(address):
    """Return whether nothing listens at an address any more."""
    for number in range(PROBES):
        if number:
            gevent.sleep(PROBE_PAUSE_MS / 1000)
        try:
            gsocket.create_connection(
                parse_address(address), PROBE_TIMEOUT_MS / 1000
            ).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            # A host that is slow or cut off says nothing of the process.
            return False
    return False


def _nothing():
    return None


class CrashWatch:
    """
    Crashes of the backend server beside this node.

    :param name: name of this node.
    :param address: where the backend server listens.
    :param service: function that returns the name of its service.
    :param table: :class:`~damasklanding.node.calls.CallTable`.
    :param quarantine: :class:`~damasklanding.policy.quarantine.Quarantine`.
    :param gossip: :class:`~damasklanding.node.gossip.CrashGossip`.
    :param on_end: called when it has ended.
    :param probe: function of its address; returns whether it has ended.
    """

    def __init__(
        self,
        name,
        address,
        service,
        table,
        quarantine,
        metrics,
        now_ms,
        gossip,
        on_end=_nothing,
        probe=has_ended,
    ):
        self._name = name
        self._address = address
        self._service = service
        self._table = table
        self._quarantine = quarantine
        self._metrics = metrics
        self._now_ms = now_ms
        self._gossip = gossip
        self._on_end = on_end
        self._probe = probe
        self._start = ('', 0)
        self._leaves = False
        self._break = None
        self._abandoned = deque(maxlen=MAX_ABANDONED)

    def check(self, call):
        """
        Check that a call may be sent to the backend server.

        :raises Quarantined: such requests crash backend servers.
        """
        quarantine = self._quarantine
        if quarantine.is_empty():
            return
        if call.body.data is None:
            self._read_ahead(call)
        found = _fingerprint(call)
        left_ms = quarantine.left_ms(found)
        if quarantine.on_probation(found) and self._is_running(call, found):
            left_ms = PROBATION_RETRY_AFTER_MS
        if left_ms > 0:
            self._metrics.add('quarantined_requests_total', call.service)
            raise Quarantined(
                'requests like this one crash backend servers '
                f'(fingerprint {found.hex()})',
                retry_after_ms=left_ms,
            )

    def _read_ahead(self, call):
        error = DeadlineExceeded('the body did not begin in time')
        left_ms = max(0.0, call.deadline_at_ms - self._now_ms())
        with gevent.Timeout(left_ms / 1000, error):
            call.body.read_ahead()

    def _is_running(self, call, found):
        """Return whether the backend server runs another such request."""
        return any(
            other is not call and _fingerprint(other) == found
            for other in self._table.sent_calls()
        )

    def answered(self, call, answer):
        """Note that the backend server has answered a call as a whole."""
        call.sent_ms = None
        if self._break is not None:
            self._break.calls.pop(id(call), None)
        if self._quarantine.is_empty():
            return
        if answer.outcome != RAN or answer.status in SHED_STATUSES:
            return
        found = _fingerprint(call)
        if self._quarantine.clear(found):
            self._gossip.tell_cleared(found)

    def abandoned(self, call):
        """Note that nothing waits for the answer to a call any more."""
        latest = self._break
        if latest is None or not latest.covers(call):
            self._abandoned.append(
                (self._now_ms(), call.sent_ms, _fingerprint(call))
            )

    def broke_off(self, call, error):
        """
        Find out whether the backend server has ended under a call.

        The error excludes a retry where the call is a likely cause.

        :return: whether it has.
        """
        broken = self._find_break(call)
        broken.judged.wait(VERDICT_WAIT_MS / 1000)
        if id(call) in broken.likely_causes:
            error.may_retry = False
        return broken.ended

    def refused_connection(self):
        """Note that the backend server takes no connection."""
        self._prove_end()

    def announce(self, announcement):
        """Take an announcement of the backend server."""
        start = (announcement.instance, announcement.started_at_ms)
        if start != self._start:
            if not self._leaves:
                self._prove_end()
            self._abandoned.clear()
            self._start = start
        self._leaves = (
            announcement.state == 'draining' or announcement.departure != ''
        )

    def _find_break(self, call):
        """Return the break that a call belongs to, a new one if need be."""
        latest = self._break
        if latest is not None and (
            not latest.judged.is_set() or latest.covers(call)
        ):
            return latest
        # Calls that begin later are not what ended the backend server.
        calls = {id(call): call for call in self._table.sent_calls()}
        broken = self._break = _Break(self._now_ms(), calls)
        gevent.spawn(self._judge, broken)
        return broken

    def _judge(self, broken):
        try:
            if self._probe(self._address):
                self._end(broken)
        finally:
            broken.judged_ms = self._now_ms()
            broken.judged.set()

    def _prove_end(self):
        """Note that the backend server had ended when a connection broke."""
        broken = self._break
        if (
            broken is not None
            and broken.judged.is_set()
            and not broken.ended
            and self._now_ms() - broken.at_ms <= LATE_PROOF_MS
        ):
            self._end(broken)
            broken.judged_ms = self._now_ms()

    def _end(self, broken):
        broken.ended = True
        calls = list(broken.calls.values())
        broken.calls.clear()
        if self._leaves:
            return
        self._on_end()
        self._metrics.add('backend_crashes_total', self._service())
        crash = self._build_crash(calls, broken)
        logger.warning(
            'the backend server crashed (crash {}) with {} requests running',
            crash.crash_id,
            len(calls),
        )
        broken.likely_causes = self._find_likely_causes(calls)
        if crash.suspects and self._quarantine.record(crash):
            report = self._quarantine.report(crash.crash_id)
            self._gossip.tell(QuarantineState((report,)))

    def _build_crash(self, calls, broken):
        # A platform may give two starts the same instance.
        instance, _ = self._start
        names = (self._name, instance, os.urandom(4).hex())
        at_ms = broken.at_ms
        running = [(call.sent_ms, _fingerprint(call)) for call in calls]
        running += [
            (sent_ms, found)
            for left_ms, sent_ms, found in self._abandoned
            if at_ms - left_ms <= ABANDONED_MS
        ]
        self._abandoned.clear()
        return Crash(
            ':'.join(filter(None, names)),
            int(self._now_ms() - at_ms),
            tuple(
                Suspect(found, int(max(0, at_ms - sent_ms)))
                for sent_ms, found in running
            ),
        )

    def _find_likely_causes(self, calls):
        """Return the ids of calls that are not to be tried again."""
        if not calls:
            return frozenset()
        last = max(calls, key=lambda call: call.sent_ms)
        return {id(last)} | {
            id(call)
            for call in calls
            if self._quarantine.suspects(_fingerprint(call))
        }


@dataclass(slots=True)
class _Break:
    """
    Connections to the backend server that broke at the same time.

    :ivar calls: the calls that it was running, by the id of the object.
    :ivar judged: set once it is known whether the backend server has ended.
    :ivar likely_causes: ids of the calls that are not to be tried again.
    """

    at_ms: float
    calls: dict
    judged: Event = field(default_factory=Event)
    judged_ms: float = 0.0
    ended: bool = False
    likely_causes: set = frozenset()

    def covers(self, call):
        """Return whether a call was sent to the start that has ended."""
        return self.ended and call.sent_ms <= self.judged_ms


def _fingerprint(call):
    """Return what the repeats of a request have in common."""
    if call.fingerprint is None:
        data = call.body.data
        if data is None:
            data = call.body.prefix_digest
        call.fingerprint = fingerprint(
            call.method, call.target, call.organisation, data
        )
    return call.fingerprint
