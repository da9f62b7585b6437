"""
damasklanding.control.leases
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leases of the nodes' registrations, and the proof that a control host's state
is current.  Followers report to the leader which nodes they have heard; the
leader's answers carry the proof, and registrations not renewed are removed.
"""

from dataclasses import dataclass
import os

import gevent
import msgspec

from damasklanding.errors import DamasklandingError
from damasklanding.errors import NotLeader
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import ExpireBackends
from damasklanding.messages import NEVER_CONFIRMED_AGE_MS
from damasklanding.messages import RenewLeases
from damasklanding.messages import RenewReply

__all__ = ['LEASE_MS', 'LeaseManager']

LEASE_MS = 2_000
REPORT_MS = 250
REPORTER_SILENCE_MS = 750
REROUTE_MS = 4_000  # for nodes to leave a control host that has failed
REPLY_TIMEOUT_MS = 600
APPLY_TIMEOUT_MS = 1_000
EXPIRE_TIMEOUT_MS = 2_000
MAX_EXPIRED = 512

_encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class Lease:
    """
    When the leader last learned that a node's instance is alive.

    :ivar reporter: control host that heard the node.
    """

    instance: str
    renewed_ms: float
    reporter: str


class LeaseTable:
    """
    The leases as the leader of one term knows them.

    :ivar term: a new term starts an empty table.
    """

    def __init__(self, term, now_ms):
        self.term = term
        self._leases = {}
        self._reported_ms = {}
        self._checked_ms = now_ms

    def renew(self, reporter, names, instances, now_ms):
        """Renew the leases of nodes that a control host has heard."""
        self._reported_ms[reporter] = now_ms
        for name, instance in zip(names, instances, strict=True):
            self._leases[name] = Lease(instance, now_ms, reporter)

    def lapsed(self, backends, now_ms):
        """
        Return the instances, by name, whose lease has lapsed.

        A lease starts when its registration is first seen here.  Nodes of
        a control host that has gone silent get time to reach another one,
        and a pause of this process counts against nobody.

        :param backends: registrations by name.
        """
        self._forgive_pause(now_ms)
        lapsed = {}
        for name, backend in backends.items():
            if not backend.instance:
                continue
            lease = self._leases.get(name)
            if lease is None or lease.instance != backend.instance:
                self._leases[name] = Lease(backend.instance, now_ms, '')
            elif now_ms - lease.renewed_ms > self._term_ms(lease, now_ms):
                lapsed[name] = lease.instance
        for name in set(self._leases) - set(backends):
            del self._leases[name]
        return lapsed

    def _term_ms(self, lease, now_ms):
        reported_ms = self._reported_ms.get(lease.reporter, now_ms)
        if now_ms - reported_ms > REPORTER_SILENCE_MS:
            return LEASE_MS + REROUTE_MS
        return LEASE_MS

    def _forgive_pause(self, now_ms):
        pause_ms = now_ms - self._checked_ms - REPORT_MS
        self._checked_ms = now_ms
        if pause_ms < REPORT_MS:
            return
        for lease in self._leases.values():
            lease.renewed_ms += pause_ms
        for reporter in self._reported_ms:
            self._reported_ms[reporter] += pause_ms


class LeaseManager:
    """Keeps the leases and confirms the view of one control host."""

    def __init__(self, replica, view, send):
        """
        Start with no lease.

        :param replica: :class:`Replica` of the configuration.
        :param send: function of host name, message and timeout.
        """
        self._replica = replica
        self._view = view
        self._send = send
        self._touched = {}
        self._table = None
        self._seq = 0
        self._greenlets = []

    def record_heartbeat(self, name, instance):
        """Note a sign of life of a node's instance."""
        self._touched[name] = instance

    def handlers(self):
        """Return the link handlers by message class."""
        return {RenewLeases: self._handle_renew}

    def start(self):
        """Start to report, to confirm and, on the leader, to expire."""
        self._greenlets = [
            gevent.spawn(self._every, REPORT_MS, self._renew),
            gevent.spawn(self._every, REPORT_MS, self._expire),
        ]

    def stop(self):
        """Stop; leases are then kept by the next leader."""
        gevent.killall(self._greenlets)

    def confirm_now(self):
        """
        Prove the state current now, not only at the next report.

        Right after an election no host has a proof yet.

        :raises DamasklandingError: the leader gave none.
        """
        self._renew()

    def _every(self, period_ms, function):
        while True:
            gevent.sleep(period_ms / 1000)
            try:
                function()
            except DamasklandingError:
                continue

    def _leads(self):
        return self._replica.confirmed_age_ms() < float('inf')

    def _current_table(self):
        term = self._replica.term
        if self._table is None or self._table.term != term:
            self._table = LeaseTable(term, self._view.now_ms())
        return self._table

    def _renew(self):
        touched = self._touched
        self._touched = {}
        try:
            if self._leads():
                self._renew_here(touched)
            elif self._replica.leader:
                self._report(touched)
        except DamasklandingError:
            self._touched = {**touched, **self._touched}
            raise

    def _renew_here(self, touched):
        self._current_table().renew(
            self._replica.name, touched, touched.values(), self._view.now_ms()
        )
        confirmed_at_ms = (
            self._view.now_ms() - self._replica.confirmed_age_ms()
        )
        self._confirm(confirmed_at_ms, self._replica.commit_index)

    def _report(self, touched):
        self._seq += 1
        sent_ms = self._view.now_ms()
        reply = self._send(
            self._replica.leader,
            RenewLeases(list(touched), list(touched.values()), self._seq),
            REPLY_TIMEOUT_MS,
        )
        if reply.age_ms < NEVER_CONFIRMED_AGE_MS:
            self._confirm(sent_ms - reply.age_ms, reply.commit_index)

    def _confirm(self, confirmed_at_ms, commit_index):
        if self._replica.wait_applied(commit_index, APPLY_TIMEOUT_MS):
            self._view.confirm(confirmed_at_ms)

    def _handle_renew(self, exchange, request):
        if not self._leads():
            raise NotLeader(f'{self._replica.name} does not lead')
        now_ms = self._view.now_ms()
        self._current_table().renew(
            exchange.link.peer.name, request.names, request.instances, now_ms
        )
        age_ms = self._replica.confirmed_age_ms()
        return RenewReply(
            request.seq,
            self._replica.term,
            int(min(age_ms + 1, NEVER_CONFIRMED_AGE_MS)),
            self._replica.commit_index,
        )

    def _expire(self):
        if not self._leads():
            return
        lapsed = self._current_table().lapsed(
            self._view.state.all('backend'), self._view.now_ms()
        )
        if not lapsed:
            return
        some = dict(sorted(lapsed.items())[:MAX_EXPIRED])
        envelope = Envelope(
            request_id=f'expire-{os.urandom(8).hex()}',
            operator=self._replica.name,
            command=ExpireBackends(instances=some),
        )
        self._replica.propose(_encode(envelope), EXPIRE_TIMEOUT_MS)
