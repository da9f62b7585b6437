"""
damasklanding.control.host
~~~~~~~~~~~~~~~~~~~~~~~~~~

Assembly of one control host: its data folder, its replicas and the view
that the replicated configuration updates.
"""

from contextlib import ExitStack
import os

import gevent
import msgspec

from damasklanding.clock import monotonic_ms
from damasklanding.clock import wall_ms
from damasklanding.control.client import ControlClient
from damasklanding.control.configuration import ConfigurationStateMachine
from damasklanding.control.groups import group_handlers
from damasklanding.control.incarnation import choose_incarnation
from damasklanding.control.incarnation import stored_incarnation
from damasklanding.control.journal import Journal
from damasklanding.control.leases import LeaseManager
from damasklanding.control.members import BOOTSTRAP_INCARNATION
from damasklanding.control.members import Member
from damasklanding.control.orders import always_awaited
from damasklanding.control.orders import place_order
from damasklanding.control.reconcile import MemberReconciler
from damasklanding.control.replica import Replica
from damasklanding.control.storage import locked_folder
from damasklanding.errors import CorruptStore
from damasklanding.errors import DamasklandingError
from damasklanding.errors import LinkTimeout
from damasklanding.errors import NotAwaited
from damasklanding.errors import Unavailable
from damasklanding.fleet.changes import put
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import Outcome
from damasklanding.fleet.commands import PutControlHost
from damasklanding.fleet.controlhosts import wanted_voters
from damasklanding.fleet.handlers import target_resource
from damasklanding.fleet.resources import ControlHost as ControlHostResource
from damasklanding.logs import StateLog
from damasklanding.messages import Propose
from damasklanding.node.view import FleetView
from damasklanding.seeds import seed_hosts_reader
from damasklanding.stalls import StallDetector

__all__ = ['ControlHost', 'GroupStatus', 'HostStatus']

CONFIG = 'config'
PROPOSE_TIMEOUT_MS = 5_000
RETRY_MS = 50
ANNOUNCE_RETRY_MS = 1_000
JOIN_RETRY_MS = 250
JOIN_TIMEOUT_MS = 1_500
SILENT_LINK_TIMEOUT_MS = 600
#: Time for an election, without which no learner can take a place, if the
#: leader is lost as well.
HAND_OVER_TIMEOUT_MS = 2_000
#: An accepted configuration must be readable on every host within 2 s, so
#: this limit is below that.
READ_FRESH_LIMIT_MS = 1_500
#: A host whose state has not been confirmed by a leader for this long asks
#: the group to add it.
UNCONFIRMED_LIMIT_MS = 1_000

_encode = msgspec.msgpack.Encoder().encode
_decode_outcome = msgspec.msgpack.Decoder(Outcome).decode


class GroupStatus(msgspec.Struct, frozen=True):
    """
    Status of one replica, with the group members that it knows.

    :ivar losses_borne: how many more voters may be lost before the group
        stops; None on a replica that does not lead.
    :ivar losses_wanted: how many it should bear.
    """

    group: str
    role: str
    leader: str
    term: int
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    confirmed_age_ms: float | None
    members: tuple[Member, ...]
    losses_borne: int | None = None
    losses_wanted: int | None = None


class HostStatus(msgspec.Struct, frozen=True):
    """Status of a control host as it reports it."""

    name: str
    data_centre: str
    incarnation: str
    revision: int
    groups: tuple[GroupStatus, ...]


class ControlHost:
    """
    One control host.

    :ivar view: the configuration with all changes applied so far.
    :ivar config: :class:`Replica` of the configuration.
    :ivar leases: :class:`LeaseManager` for the leases of the nodes'
        registrations.
    :ivar now_ms: clock.
    """

    def __init__(
        self,
        settings,
        identity,
        pool,
        metrics=None,
        now_ms=monotonic_ms,
        timing=None,
    ):
        """
        Open the data folder and restore the state stored there.

        :raises BadSetting: the data folder can't be used.
        :raises CorruptStore: it holds damaged files.
        """
        self.settings = settings
        self.identity = identity
        self.view = FleetView(now_ms)
        self.incarnation = ''
        self._pool = pool
        self._metrics = metrics
        self.now_ms = now_ms
        self._stalls = StallDetector(now_ms)
        self._timing = timing
        self._replicas = {}
        self._greenlet = None
        self._resources = ExitStack()
        self._resources.enter_context(locked_folder(settings.data_folder))
        self._client = ControlClient(
            pool, _other_seeds(settings), now_ms, self.view
        )
        self._join_log = StateLog()
        self._read_log = StateLog()
        self._state_machine = ConfigurationStateMachine(self.view, metrics)
        try:
            self.config = self.add_group(CONFIG, self._state_machine)
        except DamasklandingError:
            self._resources.close()
            raise
        self.leases = LeaseManager(self.config, self.view, self._send)
        self._reconciler = MemberReconciler(
            self._replicas,
            self.view,
            lambda: self._state_machine.deleted('control_host'),
            settings.name,
            self._propose_command if settings.seed_hosts else None,
            metrics,
        )

    def add_group(self, name, state_machine):
        """
        Replicate a state machine on the control hosts.

        Call this before :meth:`start`.

        :return: the group's :class:`Replica`.
        """
        folder = os.path.join(self.settings.data_folder, name)
        if not os.path.exists(folder) and stored_incarnation(
            self.settings.data_folder
        ):
            raise CorruptStore(f'{folder} is missing')
        journal = Journal(folder)
        self._resources.callback(journal.close)
        replica = Replica(
            self.settings.name,
            name,
            journal,
            state_machine,
            self._send,
            now_ms=self.now_ms,
            timing=self._timing,
            metrics=self._metrics,
            wanted_voters=self._wanted_voters,
        )
        self._replicas[name] = replica
        return replica

    def handlers(self):
        """Return the link handlers of the control role."""
        handlers = {
            **group_handlers(self._replicas),
            **self.leases.handlers(),
        }
        propose = handlers[Propose]

        def propose_unless_old(exchange, message):
            self._require_no_stall()
            return propose(exchange, message)

        return {**handlers, Propose: propose_unless_old}

    def start(self):
        """Join the groups as soon as the incarnation is known."""
        self._stalls.start()
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Hand over places and leadership, leave the groups and unlock."""
        gevent.joinall(
            [
                gevent.spawn(replica.hand_over_place, HAND_OVER_TIMEOUT_MS)
                for replica in self._replicas.values()
            ]
        )
        if self._greenlet is not None:
            self._greenlet.kill()
        self._stalls.stop()
        self.leases.stop()
        self._reconciler.stop()
        for replica in self._replicas.values():
            replica.stop()
        self._resources.close()

    def order(self, envelope, timeout_ms, is_awaited):
        """
        Carry out a command whose sender may send it to other hosts as well.

        Without an answer in time the sender goes on elsewhere, so that an
        order whose sender has closed its connection, or that was read after
        this process had stood still, is not carried out.

        :param envelope: without a request id, the command must have no
            precondition and no outcome ``conflict`` of its own.
        :param is_awaited: function that returns whether the sender still
            waits.
        :return: :class:`Outcome`.
        :raises NotAwaited: the sender may have given up.
        :raises Unavailable: the outcome is unknown, or no leader was found.
        """
        if self._stalls.may_read_old_input():
            raise NotAwaited('this host has just stood still for a while')
        if envelope.request_id:
            return self.propose(envelope, timeout_ms, is_awaited)
        target = target_resource(envelope.command)
        return place_order(self, envelope, target, is_awaited, timeout_ms)

    def propose(
        self,
        envelope,
        timeout_ms=PROPOSE_TIMEOUT_MS,
        is_awaited=always_awaited,
    ):
        """
        Propose a command and resend it until there is an outcome.

        :param is_awaited: function that returns whether the command is still
            wanted.
        :return: :class:`Outcome`.
        :raises NotAwaited: the command is no longer wanted.
        :raises Unavailable: the outcome is unknown, or no leader was found.
        """
        if not envelope.issued_at_ms:
            envelope = msgspec.structs.replace(
                envelope, issued_at_ms=wall_ms()
            )
        data = self._propose(_encode(envelope), timeout_ms, is_awaited)
        return _decode_outcome(data)

    def current_document(self):
        """
        Return the document of the configuration in force, compressed.

        :raises Unavailable: no configuration is in force, or this host
            can't confirm that its state is current.
        """
        if self.view.age_ms() > READ_FRESH_LIMIT_MS:
            try:
                self.leases.confirm_now()
            except DamasklandingError as error:
                self._read_log.note('proof for a read', error.code, str(error))
            else:
                self._read_log.note('proof for a read', 'given')
        self.view.require_fresh(READ_FRESH_LIMIT_MS)
        return self._state_machine.applied.current_document()

    def history(self, limit=100):
        """Return the latest changes by operators, newest first."""
        return self._state_machine.history(limit)

    def status(self):
        """Return a :class:`HostStatus`."""
        return HostStatus(
            self.settings.name,
            self.settings.data_centre,
            self.incarnation,
            self.view.state.revision,
            tuple(map(_group_status, self._replicas.values())),
        )

    def _wanted_voters(self):
        if not self.settings.seed_hosts:
            return None
        return wanted_voters(self.view.state)

    def _require_no_stall(self):
        if self._stalls.may_read_old_input():
            raise Unavailable(
                'this host has just stood still for a while',
                'send the same request again',
            )

    def _propose_command(self, command):
        self.propose(
            Envelope(
                request_id=f'reconcile-{os.urandom(8).hex()}',
                operator=self.settings.name,
                command=command,
            )
        )

    def _run(self):
        folder = self.settings.data_folder
        names = {name for name, _ in self.settings.control_hosts}
        may_bootstrap = self.settings.name in names and self.settings.bootstrap
        self.incarnation = stored_incarnation(folder) or choose_incarnation(
            folder,
            sorted(names - {self.settings.name}),
            list(self._replicas),
            self._send,
            may_bootstrap,
        )
        initial_members = ()
        if self.incarnation == BOOTSTRAP_INCARNATION:
            initial_members = tuple(
                Member(name, address)
                for name, address in self.settings.control_hosts
            )
        for replica in self._replicas.values():
            replica.start(self.incarnation, initial_members)
        self.leases.start()
        self._reconciler.start()
        self._announce()

    def _propose(self, payload, timeout_ms, is_awaited):
        deadline_ms = self.now_ms() + timeout_ms
        while True:
            left_ms = deadline_ms - self.now_ms()
            try:
                return self.config.propose(
                    payload, max(left_ms, 1), is_awaited=is_awaited
                )
            except Unavailable:
                if left_ms <= RETRY_MS:
                    raise
            gevent.sleep(RETRY_MS / 1000)

    def _announce(self):
        settings = self.settings
        own = settings.advertise_address or settings.peer_address
        host = ControlHostResource(
            name=settings.name,
            peer_address=dict(settings.control_hosts).get(settings.name, own),
            admin_address=settings.admin_address,
            data_centre=settings.data_centre,
        )
        envelope = Envelope(
            request_id='',
            operator='',
            command=PutControlHost(
                control_host=host, is_founder=settings.bootstrap
            ),
        )
        if self.settings.seed_hosts:
            self._keep_announced(host, envelope)
        else:
            self._announce_once(host, envelope)

    def _announce_once(self, host, envelope):
        """
        Announce this host once, unless it is already listed.

        If an operator deletes it later, it is not announced again.
        """
        while self.view.age_ms() == float('inf'):
            gevent.sleep(RETRY_MS / 1000)
        while put(self.view.state, 'control_host', host, 0):
            try:
                self._propose_announcement(envelope, is_confirmed=True)
                return
            except Unavailable:
                gevent.sleep(ANNOUNCE_RETRY_MS / 1000)

    def _keep_announced(self, host, envelope):
        """Announce this host whenever the group does not list it."""
        unconfirmed_since_ms = self.now_ms()
        if self.config.membership.get(self.settings.name) is None:
            unconfirmed_since_ms -= UNCONFIRMED_LIMIT_MS
        while True:
            is_confirmed = self.view.age_ms() < UNCONFIRMED_LIMIT_MS
            if is_confirmed:
                unconfirmed_since_ms = self.now_ms()
            if is_confirmed and not put(
                self.view.state, 'control_host', host, 0
            ):
                self._join_log.note('control host', 'known to the others')
            elif (
                is_confirmed
                or self.now_ms() - unconfirmed_since_ms > UNCONFIRMED_LIMIT_MS
            ):
                try:
                    self._propose_announcement(envelope, is_confirmed)
                except DamasklandingError as error:
                    self._join_log.note('control host', error.code, str(error))
            gevent.sleep(JOIN_RETRY_MS / 1000)

    def _propose_announcement(self, envelope, is_confirmed):
        """
        Propose the resource of this host.

        Without a confirmed state this host may not be a member, so it sends
        the proposal to another control host.
        """
        envelope = msgspec.structs.replace(
            envelope, request_id=f'announce-{os.urandom(8).hex()}'
        )
        if is_confirmed:
            self.propose(envelope)
        else:
            self._client.propose(CONFIG, _encode(envelope), JOIN_TIMEOUT_MS)

    def _address_of(self, name):
        for replica in self._replicas.values():
            member = replica.membership.get(name)
            if member is not None:
                return member.address
        for known, address in self.settings.control_hosts:
            if known == name:
                return address
        raise Unavailable(f'the address of control host {name} is unknown')

    def _send(self, name, message, timeout_ms):
        address = self._address_of(name)
        link = self._pool.get(address)
        try:
            return link.request(message, timeout_ms)
        except LinkTimeout:
            if link.silent_ms() > SILENT_LINK_TIMEOUT_MS:
                self._pool.close_link(address)
            raise


def _other_seeds(settings):
    seeds = seed_hosts_reader(settings)
    return lambda: [pair for pair in seeds() if pair[0] != settings.name]


def _group_status(replica):
    age_ms = replica.confirmed_age_ms()
    return GroupStatus(
        replica.group,
        replica.role,
        replica.leader,
        replica.term,
        replica.journal.last_index,
        replica.commit_index,
        replica.applied_index,
        replica.journal.snapshot.index,
        age_ms if age_ms < float('inf') else None,
        replica.membership.current,
        *replica.losses(),
    )
