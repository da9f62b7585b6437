"""
damasklanding.control.replica
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One replica of a replicated log, after the Raft consensus algorithm.  An entry
is committed once a quorum of voters has it on disk; every replica then applies
the committed entries, in log order, to its state machine.
"""

from random import SystemRandom

import gevent
from gevent.event import Event

from damasklanding.clock import monotonic_ms
from damasklanding.control.applier import Applier
from damasklanding.control.election import grant_vote
from damasklanding.control.election import run_elections
from damasklanding.control.follower import handle_append_entries
from damasklanding.control.journal import Vote
from damasklanding.control.member_changes import append_commit_marker
from damasklanding.control.member_changes import members_after_change
from damasklanding.control.members import MemberChange
from damasklanding.control.members import Membership
from damasklanding.control.members import decode_change
from damasklanding.control.members import decode_members
from damasklanding.control.members import encode_change
from damasklanding.control.members import encode_members
from damasklanding.control.orders import always_awaited
from damasklanding.control.orders import require_awaited
from damasklanding.control.proposals import Proposals
from damasklanding.control.replication import Leadership
from damasklanding.control.snapshots import SnapshotReceiver
from damasklanding.control.timing import Timing
from damasklanding.errors import BadInput
from damasklanding.errors import CorruptStore
from damasklanding.errors import DamasklandingError
from damasklanding.errors import LinkTimeout
from damasklanding.errors import NotLeader
from damasklanding.errors import TooLarge
from damasklanding.errors import Unavailable
from damasklanding.messages import AppendRequest
from damasklanding.messages import LogEntry
from damasklanding.messages import Propose
from damasklanding.messages import ProposeReply
from damasklanding.messages import SnapshotChunk
from damasklanding.messages import StatusReply
from damasklanding.messages import StatusRequest
from damasklanding.messages import VoteRequest

__all__ = ['Replica']

PROPOSE_TIMEOUT_MS = 3_000
LEADER_POLL_MS = 10
MAX_PAYLOAD_BYTES = 1_048_576
PROPOSABLE_KINDS = ('command', 'members')
LEADERSHIP_TRANSFER_TIMEOUT_MS = 500
#: Factor on the election timeouts.  With the default timing a candidate waits
#: up to 13 s for votes, longer than any working disk needs to store one.
MAX_ELECTION_BACKOFF = 16


class Replica:
    """
    A member of one replication group.

    :ivar leader: name of the current leader, empty while it is unknown.
    :ivar leadership: :class:`~damasklanding.control.replication.Leadership`
        while this replica leads, otherwise None.
    :ivar commit_index: index of the latest entry known to be committed.
    :ivar proposals: :class:`Proposals` that wait for their entries to be
        applied.
    :ivar election_backoff: factor on the election timeouts.  It doubles with
        each failed election and each leadership that commits nothing, so that
        elections succeed even where hosts or disks are slow.  A commit resets
        it to 1.
    """

    def __init__(
        self,
        name,
        group,
        journal,
        state_machine,
        send,
        *,
        now_ms=monotonic_ms,
        random=None,
        timing=None,
        metrics=None,
        wanted_voters=lambda: None,
    ):
        """
        Restore the state machine from the journal's snapshot.

        :param state_machine: has the methods ``apply(entry)``,
            ``snapshot()`` and ``restore(state)``.
        :param send: function of host name, message and timeout in
            milliseconds that returns the reply.
        :param wanted_voters: function that returns the number of voters that
            the group should have, 0 while it is unknown, None if only
            operators decide who votes.
        """
        self.name = name
        self.wanted_voters = wanted_voters
        self.group = group
        self.journal = journal
        self.state_machine = state_machine
        self.send = send
        self.now_ms = now_ms
        self.timing = timing or Timing()
        self.incarnation = ''
        self.leader = ''
        self.leadership = None
        self.commit_index = journal.snapshot.index
        self.proposals = Proposals(group)
        self.applier = Applier(self)
        self.membership = Membership(0, ())
        self.election_requested = Event()
        self.election_backoff = 1
        self._random = random or SystemRandom()
        self._metrics = metrics
        self._snapshot_receiver = SnapshotReceiver(self)
        self._running = False
        self._last_leader_contact_ms = float('-inf')
        self._election_deadline_ms = 0
        self._greenlets = []
        self._handlers = {
            VoteRequest: self._handle_vote,
            AppendRequest: self._handle_append,
            SnapshotChunk: self._handle_snapshot,
            StatusRequest: self._handle_status,
            Propose: self._handle_propose,
        }
        if journal.snapshot.index:
            state_machine.restore(journal.snapshot.state)

    @property
    def term(self):
        """Return the latest term that this replica has seen."""
        return self.journal.vote.term

    @property
    def applied_index(self):
        """Return the index of the latest entry that was applied here."""
        return self.applier.index

    @property
    def role(self):
        """Return ``leader``, ``follower`` or ``learner``."""
        if self.leadership is not None:
            return 'leader'
        return 'follower' if self.is_voter() else 'learner'

    def start(self, incarnation, initial_members=()):
        """
        Start to vote, replicate and apply entries.

        :param incarnation: identifier of the data folder.
        :param initial_members: members at index 0 of a newly bootstrapped
            group; empty on a host that joins an existing one.
        """
        self.incarnation = incarnation
        self._load_membership(initial_members)
        self._running = True
        self.reset_election_timer()
        self._greenlets = [
            gevent.spawn(run_elections, self),
            gevent.spawn(self.applier.run),
        ]

    def stop(self, transfer_leadership=True):
        """
        Stop taking part in the group until the next start.

        :param transfer_leadership: whether a leader first lets another voter
            take over.
        """
        if transfer_leadership:
            self.hand_over_leadership('stopped')
        self._running = False
        self.step_down('stopped')
        gevent.killall(self._greenlets)

    def hand_over_place(self, timeout_ms):
        """
        Let a waiting learner vote in the place of this replica.

        :return: whether none waits any more, or none did.
        """
        change = encode_change(MemberChange('hand-over', self.name))
        deadline_ms = self.now_ms() + timeout_ms
        while self._has_waiting_learner() and self.now_ms() < deadline_ms:
            try:
                self.propose(change, deadline_ms - self.now_ms(), 'members')
                return True
            except DamasklandingError:
                gevent.sleep(LEADER_POLL_MS / 1000)
        return not self._has_waiting_learner()

    def handlers(self):
        """Return the handlers of this group's messages by message class."""
        return self._handlers

    def propose(
        self,
        payload,
        timeout_ms=PROPOSE_TIMEOUT_MS,
        kind='command',
        is_awaited=always_awaited,
    ):
        """
        Append a command to the log and wait until it has been applied.

        A replica that does not lead forwards the command to the leader.

        :param payload: command for the state machine.  A resent command can
            stand in the log twice, so the payload must hold an identifier by
            which the state machine recognises it.
        :param kind: ``members`` if the payload is a
            :class:`~damasklanding.control.members.MemberChange`.
        :param is_awaited: function that returns whether the command is still
            wanted; checked before each time that it is sent.
        :return: bytes that ``apply`` of the state machine returned.
        :raises NotAwaited: the command is no longer wanted.
        :raises NotLeader: no leader was found; the command was not proposed.
        :raises TooLarge: the payload is larger than 1 MiB.
        :raises Unavailable: it is unknown whether the command was committed.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise TooLarge(f'proposal of {len(payload)} bytes exceeds 1 MiB')
        deadline_ms = self.now_ms() + timeout_ms
        timeout_error = None
        while True:
            left_ms = deadline_ms - self.now_ms()
            require_awaited(is_awaited)
            if self._can_append():
                return self._propose_locally(kind, payload, left_ms)
            if left_ms <= 0 or not self._running:
                raise timeout_error or NotLeader(
                    f'group {self.group} has no leader'
                )
            try:
                if self.leader not in ('', self.name):
                    return self._forward(kind, payload, left_ms)
            except NotLeader:
                pass
            except LinkTimeout as error:
                # A new leader may have been elected.  Resending is safe, since
                # the state machine applies a repeated command only once.
                timeout_error = error
            gevent.sleep(LEADER_POLL_MS / 1000)

    def confirmed_age_ms(self):
        """
        Return how long ago the committed state was last proved current.

        This is the time in milliseconds since the latest heartbeat that a
        quorum has acknowledged was sent.  It is infinite on a replica that
        does not lead or that has not yet applied an entry of its own term.
        """
        leadership = self.leadership
        if leadership is None:
            return float('inf')
        if self.applied_index < leadership.first_index:
            return float('inf')
        return self.now_ms() - leadership.confirmed_ms()

    def status(self):
        """Return the state of this replica as a :class:`StatusReply`."""
        return StatusReply(
            self.name,
            self.role,
            self.term,
            self.leader,
            self.journal.last_index,
            self.commit_index,
            self.incarnation,
            '',
        )

    def losses(self):
        """
        Return how many losses of voters the group bears and should bear.

        :return: pair of numbers, of None on a replica that does not lead.
        """
        leadership = self.leadership
        if leadership is None:
            return None, None
        voters = sum(member.voter for member in self.membership.current)
        wanted = self.wanted_voters() or voters
        return leadership.losses_borne(), (wanted - 1) // 2

    def wait_applied(self, index, timeout_ms):
        """Wait for an entry; return whether it was applied here in time."""
        return self.applier.wait(index, timeout_ms)

    # The election, follower, replication, snapshots and applier modules call
    # the methods below.

    def increment_counter(self, name, *labels):
        """Increment a metric whose first label is the group."""
        if self._metrics is not None:
            self._metrics.add(name, self.group, *labels)

    def note_refused_entry(self, entry, error):
        """Report a committed entry that can not be applied."""
        self.increment_counter('entries_refused_total')
        _log_warning(
            '{}: entry {} can not be applied and is refused: {}: {}',
            self.group,
            entry.index,
            type(error).__name__,
            error,
        )

    def is_voter(self):
        """Return whether the group counts the votes of this data folder."""
        member = self.membership.get(self.name)
        return (
            member is not None
            and member.voter
            and member.incarnation == self.incarnation
        )

    @property
    def election_min_ms(self):
        """
        Return the minimum election timeout, with backoff.

        It also limits the wait for votes and for replies to heartbeats.
        """
        return self.election_backoff * self.timing.election_min_ms

    @property
    def election_max_ms(self):
        """
        Return the maximum election timeout, with backoff.

        A leader steps down when no quorum has answered for so long.
        """
        return self.election_backoff * self.timing.election_max_ms

    def increase_election_backoff(self):
        """Double the election timeouts, up to a limit."""
        self.election_backoff = min(
            MAX_ELECTION_BACKOFF, 2 * self.election_backoff
        )

    def reset_election_timer(self):
        """Restart the election timer with a new randomized timeout."""
        self._election_deadline_ms = self.now_ms() + self._random.uniform(
            self.election_min_ms, self.election_max_ms
        )

    def election_due(self):
        """Return whether the election timeout has expired."""
        return self.now_ms() >= self._election_deadline_ms

    def has_live_leader(self, transfer=False):
        """
        Return whether a leader was in contact within the minimum timeout.

        A replica refuses its vote as long as this holds.

        :param transfer: whether the leader itself has asked for the election.
        """
        if transfer:
            return False
        limit_ms = self.timing.election_min_ms
        if self.leadership is not None:
            last_contact_ms = max(
                self.leadership.confirmed_ms(), self.leadership.started_ms
            )
        else:
            last_contact_ms = self._last_leader_contact_ms
        return self.now_ms() - last_contact_ms < limit_ms

    def observe_term(self, term):
        """Adopt a later term; it is durable once the vote is synced."""
        if term > self.term:
            self.journal.vote = Vote(term, '')
            self.leader = ''
            self.step_down('a later term began')

    def follow_leader(self, term, leader):
        """
        Record contact from the leader of a term and restart the timer.

        :raises CorruptStore: this replica leads the same term.
        """
        self.observe_term(term)
        if self.leadership is not None:
            raise CorruptStore(f'{leader} also leads term {term}')
        if self.leader != leader:
            self.leader = leader
            _log_info('{} follows {} in term {}', self.group, leader, term)
        self._last_leader_contact_ms = self.now_ms()
        self.reset_election_timer()

    def become_leader(self):
        """Start to lead the current term."""
        self.leader = self.name
        self.leadership = Leadership(self)
        self.leadership.start()
        _log_info('{} leads {} in term {}', self.name, self.group, self.term)

    def step_down(self, reason):
        """
        Stop leading, if this replica leads.

        Waiting proposals fail, since their outcome is unknown.
        """
        leadership = self.leadership
        if leadership is None:
            return
        self.leadership = None
        self.leader = ''
        leadership.stop()
        self.reset_election_timer()
        self.proposals.fail_from(0)
        _log_info('{} stops leading {}: {}', self.name, self.group, reason)

    def hand_over_leadership(self, reason):
        """Let another voter take over and stop leading, if it leads."""
        leadership = self.leadership
        if leadership is None:
            return
        if leadership.is_transferring:
            self._wait_for_transfer()
        else:
            self._transfer_leadership()
        if self.leadership is leadership:
            self.step_down(reason)

    def append_as_leader(self, kind, payload):
        """Append an entry as leader and return its index."""
        entry = LogEntry(self.term, self.journal.last_index + 1, kind, payload)
        self.append([entry])
        return entry.index

    def append(self, entries):
        """Append entries, replacing any at the same or later indexes."""
        first = entries[0].index
        if first <= self.journal.last_index:
            self.membership.truncate(first)
            self.proposals.fail_from(first)
        self.journal.append(entries)
        for entry in entries:
            self._record_membership_entry(entry)

    def on_members_committed(self, index):
        """Act on the committed change of members at an index."""
        self.membership.mark_committed(index)
        if self.leadership is None:
            return
        append_commit_marker(self.leadership)
        self.leadership.update_peers()
        if not self.is_voter():
            gevent.spawn(
                self.hand_over_leadership, 'this host is no longer a voter'
            )

    def commit(self, index):
        """Advance the commit index and apply the entries up to it."""
        if index > self.commit_index:
            self.election_backoff = 1
            self.commit_index = index
            self.applier.wake()

    def reset_to_snapshot(self, snapshot, members):
        """Continue from a received snapshot that replaced the state."""
        self.commit_index = max(self.commit_index, snapshot.index)
        self.membership = Membership(snapshot.index, members)
        self._load_membership_entries(snapshot.index + 1)
        self.proposals.fail_from(0)
        self.applier.reset_to_snapshot(snapshot.index)

    def _load_membership(self, initial_members):
        snapshot = self.journal.snapshot
        if snapshot.index:
            initial_members = decode_members(snapshot.members)
        self.membership = Membership(snapshot.index, initial_members)
        self._load_membership_entries(snapshot.index + 1)

    def _load_membership_entries(self, first):
        for index in range(first, self.journal.last_index + 1):
            self._record_membership_entry(self.journal.entry(index))

    def _record_membership_entry(self, entry):
        if entry.kind == 'members':
            members = decode_members(entry.payload)
            self.membership.record_change(entry.index, members)
        elif entry.kind == 'settled':
            self.membership.record_commit_marker(
                entry.index, int(entry.payload)
            )

    def _has_waiting_learner(self):
        return (
            self._running
            and self.wanted_voters() is not None
            and self.is_voter()
            and not all(member.voter for member in self.membership.current)
        )

    def _forward(self, kind, payload, timeout_ms):
        message = Propose(self.group, payload, True, kind)
        limit_ms = min(timeout_ms, self.timing.request_timeout_ms)
        return self.send(self.leader, message, limit_ms).outcome

    def _can_append(self):
        leadership = self.leadership
        return leadership is not None and not leadership.is_transferring

    def _propose_locally(self, kind, payload, timeout_ms):
        if kind == 'members':
            members = members_after_change(
                self.leadership, decode_change(payload)
            )
            if members == self.membership.current:
                return b''
            payload = encode_members(members)
        index = self.leadership.append(kind, payload)
        return self.proposals.wait(index, self.term, timeout_ms)

    def _handle_vote(self, _exchange, request):
        self._require_running()
        return grant_vote(self, request)

    def _handle_snapshot(self, _exchange, request):
        self._require_running()
        return self._snapshot_receiver.handle(request)

    def _handle_status(self, _exchange, _request):
        return self.status()

    def _handle_propose(self, _exchange, request):
        self._require_running()
        if request.forwarded and not self._can_append():
            raise NotLeader(f'{self.name} does not lead {self.group}')
        if request.kind not in PROPOSABLE_KINDS:
            raise BadInput(f'proposal kind is {request.kind!r}')
        outcome = self.propose(request.payload, kind=request.kind)
        return ProposeReply(outcome)

    def _handle_append(self, _exchange, request):
        self._require_running()
        return handle_append_entries(self, request)

    def _require_running(self):
        if not self._running:
            raise Unavailable(f'{self.name} is not running in its group')

    def _transfer_leadership(self):
        self.leadership.is_transferring = True
        with gevent.Timeout(LEADERSHIP_TRANSFER_TIMEOUT_MS / 1000, False):
            while self.leadership is not None:
                peer = self.leadership.most_caught_up()
                if peer is None:
                    return
                if peer.match_index >= self.journal.last_index:
                    self.leadership.transfer_leadership()
                    return
                gevent.sleep(LEADER_POLL_MS / 1000)

    def _wait_for_transfer(self):
        with gevent.Timeout(LEADERSHIP_TRANSFER_TIMEOUT_MS / 1000, False):
            while self.leadership is not None:
                gevent.sleep(LEADER_POLL_MS / 1000)


def _log_info(text, *arguments):
    _log('INFO', text, *arguments)


def _log_warning(text, *arguments):
    _log('WARNING', text, *arguments)


def _log(level, text, *arguments):
    from loguru import logger

    logger.log(level, text, *arguments)
