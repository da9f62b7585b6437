"""
damasklanding.control.leases
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leases of the nodes' registrations, and confirmation that a control host's
state is current.  Followers report to the leader from which nodes they have
received heartbeats.  The leader's reply confirms the follower's state, and
the leader removes registrations whose lease was not renewed.
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
REPORT_INTERVAL_MS = 250
REPORTER_SILENCE_LIMIT_MS = 750
#: Extra time for nodes to reconnect after their control host has failed.
REROUTE_MS = 4_000
REPLY_TIMEOUT_MS = 600
APPLY_TIMEOUT_MS = 1_000
EXPIRE_TIMEOUT_MS = 2_000
MAX_EXPIRED_COUNT = 512

_encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class Lease:
    """
    Lease of one registration, renewed when the node is known to be alive.

    :ivar reporter: control host that received the node's heartbeat.
    """

    instance: str
    renewed_ms: float
    reporter: str


class LeaseTable:
    """
    Leases that the leader keeps during one term.

    :ivar term: term of the leader; a new term starts with an empty table.
    """

    def __init__(self, term, now_ms):
        self.term = term
        self._leases = {}
        self._reported_ms = {}
        self._checked_ms = now_ms

    def renew(self, reporter, names, instances, now_ms):
        """Renew the leases of nodes whose heartbeats a host reported."""
        self._reported_ms[reporter] = now_ms
        for name, instance in zip(names, instances, strict=True):
            self._leases[name] = Lease(instance, now_ms, reporter)

    def lapsed(self, backends, now_ms):
        """
        Return the instances whose lease has lapsed, by node name.

        A lease starts when this table first sees its registration.  If the
        control host of a node has stopped reporting, the lease is extended
        so that the node can reconnect to another host.  A pause of this
        process extends all leases, since no renewal could arrive then.

        :param backends: registrations by name.
        """
        self._extend_by_pause(now_ms)
        lapsed = {}
        for name, backend in backends.items():
            if not backend.instance:
                continue
            lease = self._leases.get(name)
            if lease is None or lease.instance != backend.instance:
                self._leases[name] = Lease(backend.instance, now_ms, '')
            elif now_ms - lease.renewed_ms > self._duration_ms(lease, now_ms):
                lapsed[name] = lease.instance
        for name in set(self._leases) - set(backends):
            del self._leases[name]
        return lapsed

    def _duration_ms(self, lease, now_ms):
        reported_ms = self._reported_ms.get(lease.reporter, now_ms)
        if now_ms - reported_ms > REPORTER_SILENCE_LIMIT_MS:
            return LEASE_MS + REROUTE_MS
        return LEASE_MS

    def _extend_by_pause(self, now_ms):
        pause_ms = now_ms - self._checked_ms - REPORT_INTERVAL_MS
        self._checked_ms = now_ms
        if pause_ms < REPORT_INTERVAL_MS:
            return
        for lease in self._leases.values():
            lease.renewed_ms += pause_ms
        for reporter in self._reported_ms:
            self._reported_ms[reporter] += pause_ms


class LeaseManager:
    """Manages the leases and confirms the view of one control host."""

    def __init__(self, replica, view, send):
        """
        Create a manager without leases.

        :param replica: :class:`Replica` of the configuration.
        :param send: function that sends a message; it takes the host name, the
            message and the timeout in milliseconds.
        """
        self._replica = replica
        self._view = view
        self._send = send
        self._heartbeats = {}
        self._table = None
        self._seq = 0
        self._greenlets = []

    def record_heartbeat(self, name, instance):
        """Record a heartbeat of a node's instance for the next report."""
        self._heartbeats[name] = instance

    def handlers(self):
        """Return the link handlers by message class."""
        return {RenewLeases: self._handle_renew}

    def start(self):
        """Start the periodic reports and, on the leader, lease expiry."""
        self._greenlets = [
            gevent.spawn(self._run_every, REPORT_INTERVAL_MS, self._renew),
            gevent.spawn(self._run_every, REPORT_INTERVAL_MS, self._expire),
        ]

    def stop(self):
        """Stop; the next leader manages the leases from then on."""
        gevent.killall(self._greenlets)

    def confirm_now(self):
        """
        Confirm the view at once instead of at the next report.

        Right after an election no host has a confirmed view yet.

        :raises DamasklandingError: the leader did not confirm the state.
        """
        self._renew()

    def _run_every(self, period_ms, function):
        while True:
            gevent.sleep(period_ms / 1000)
            try:
                function()
            except DamasklandingError:
                continue

    def _is_leader(self):
        return self._replica.confirmed_age_ms() < float('inf')

    def _current_table(self):
        term = self._replica.term
        if self._table is None or self._table.term != term:
            self._table = LeaseTable(term, self._view.now_ms())
        return self._table

    def _renew(self):
        heartbeats = self._heartbeats
        self._heartbeats = {}
        try:
            if self._is_leader():
                self._renew_as_leader(heartbeats)
            elif self._replica.leader:
                self._report_to_leader(heartbeats)
        except DamasklandingError:
            self._heartbeats = {**heartbeats, **self._heartbeats}
            raise

    def _renew_as_leader(self, heartbeats):
        self._current_table().renew(
            self._replica.name,
            heartbeats,
            heartbeats.values(),
            self._view.now_ms(),
        )
        confirmed_at_ms = (
            self._view.now_ms() - self._replica.confirmed_age_ms()
        )
        self._confirm(confirmed_at_ms, self._replica.commit_index)

    def _report_to_leader(self, heartbeats):
        self._seq += 1
        sent_ms = self._view.now_ms()
        reply = self._send(
            self._replica.leader,
            RenewLeases(
                list(heartbeats), list(heartbeats.values()), self._seq
            ),
            REPLY_TIMEOUT_MS,
        )
        if reply.age_ms < NEVER_CONFIRMED_AGE_MS:
            self._confirm(sent_ms - reply.age_ms, reply.commit_index)

    def _confirm(self, confirmed_at_ms, commit_index):
        if self._replica.wait_applied(commit_index, APPLY_TIMEOUT_MS):
            self._view.confirm(confirmed_at_ms)

    def _handle_renew(self, exchange, request):
        if not self._is_leader():
            raise NotLeader(f'{self._replica.name} is not the leader')
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
        if not self._is_leader():
            return
        lapsed = self._current_table().lapsed(
            self._view.state.all('backend'), self._view.now_ms()
        )
        if not lapsed:
            return
        expired = dict(sorted(lapsed.items())[:MAX_EXPIRED_COUNT])
        envelope = Envelope(
            request_id=f'expire-{os.urandom(8).hex()}',
            operator=self._replica.name,
            command=ExpireBackends(instances=expired),
        )
        self._replica.propose(_encode(envelope), EXPIRE_TIMEOUT_MS)
