"""
damasklanding.control.replica
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One replica of a replicated log.  An entry counts as accepted once a quorum
has it on disk; every replica then applies the same entries in order to its
machine.
"""

from random import SystemRandom

import gevent
from gevent.event import Event

from damasklanding.clock import monotonic_ms
from damasklanding.control.admission import mark_settled
from damasklanding.control.admission import members_after
from damasklanding.control.applier import Applier
from damasklanding.control.election import grant_vote
from damasklanding.control.election import run_elections
from damasklanding.control.follower import take_entries
from damasklanding.control.journal import Vote
from damasklanding.control.members import Membership
from damasklanding.control.members import decode_change
from damasklanding.control.members import decode_members
from damasklanding.control.members import encode_members
from damasklanding.control.proposals import Proposals
from damasklanding.control.replication import Leadership
from damasklanding.control.snapshots import Incoming
from damasklanding.control.timing import Timing
from damasklanding.errors import BadInput
from damasklanding.errors import CorruptStore
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
PROPOSED_KINDS = ('command', 'members')
HAND_OVER_LIMIT_MS = 500
#: With the usual times this waits 13 s for a vote at most, longer than any
#: disk that still works takes.
MAX_PATIENCE = 16


class Replica:
    """
    A member of one replication group.

    :ivar leader: name of the leader heard last, empty without one.
    :ivar commit_index: index up to which entries are accepted for good.
    :ivar proposals: :class:`Proposals` that wait for their entries.
    :ivar election_backoff: factor on the election timeouts.  It doubles with
        each failed election, so that elections succeed even where hosts or
        disks are slow.
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
    ):
        """
        Restore the machine from the journal's snapshot.

        :param state_machine: has the methods ``apply(entry)``,
            ``snapshot()`` and ``restore(state)``.
        :param send: function of host name, message and timeout in
            milliseconds that returns the reply.
        """
        self.name = name
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
        self._incoming = Incoming(self)
        self._running = False
        self._heard_ms = float('-inf')
        self._deadline_ms = 0
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
        """Return the latest term seen."""
        return self.journal.vote.term

    @property
    def applied_index(self):
        """Return the index up to which the machine has applied entries."""
        return self.applier.index

    @property
    def role(self):
        """Return ``leader``, ``follower`` or ``learner``."""
        if self.leadership is not None:
            return 'leader'
        return 'follower' if self.is_voter() else 'learner'

    def start(self, incarnation, initial_members=()):
        """
        Take part in the group.

        :param incarnation: of the data folder.
        :param initial_members: members at index 0, empty on a host that joins.
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
        """Leave the group until the next start."""
        if transfer_leadership and self.leadership is not None:
            self._hand_over()
        self._running = False
        self.step_down('stopped')
        gevent.killall(self._greenlets)

    def handlers(self):
        """Return functions by message class for this group's messages."""
        return self._handlers

    def propose(self, payload, timeout_ms=PROPOSE_TIMEOUT_MS, kind='command'):
        """
        Have a command accepted and applied.

        :param payload: bytes for the machine; may be applied twice after a
            resend, so it carries an id of its own.
        :param kind: ``members`` where the payload is a
            :class:`~damasklanding.control.members.MemberChange`.
        :return: bytes that the machine's ``apply`` returned.
        :raises NotLeader: nothing was proposed.
        :raises TooLarge: the payload is above 1 MiB.
        :raises Unavailable: the outcome is unknown.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise TooLarge(f'a proposal of {len(payload)} bytes')
        deadline_ms = self.now_ms() + timeout_ms
        lost = None
        while True:
            left_ms = deadline_ms - self.now_ms()
            if self._may_append():
                return self._propose_here(kind, payload, left_ms)
            if left_ms <= 0 or not self._running:
                raise lost or NotLeader(f'{self.group} has no leader now')
            try:
                if self.leader not in ('', self.name):
                    return self._forward(kind, payload, left_ms)
            except NotLeader:
                pass
            except LinkTimeout as error:
                # Another may lead by now; a resend is applied once.
                lost = error
            gevent.sleep(LEADER_POLL_MS / 1000)

    def confirmed_age_ms(self):
        """
        Return for how long the committed state is not proved current.

        It is the time since the send time of the latest heartbeat that a
        quorum has acknowledged; infinite on a replica that does not lead
        or has not yet applied an entry of its own term.
        """
        leadership = self.leadership
        if leadership is None:
            return float('inf')
        if self.applied_index < leadership.first_index:
            return float('inf')
        return self.now_ms() - leadership.confirmed_ms()

    def status(self):
        """Return a :class:`StatusReply`."""
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

    def wait_applied(self, index, timeout_ms):
        """Return whether an index was applied here in time."""
        return self.applier.wait(index, timeout_ms)

    # Used by the modules of elections, replication and snapshots.

    def increment_counter(self, name, *labels):
        """Add to a counter that has the group as its first label."""
        if self._metrics is not None:
            self._metrics.add(name, self.group, *labels)

    def is_voter(self):
        """Return whether this data folder's votes count."""
        member = self.membership.get(self.name)
        return (
            member is not None
            and member.voter
            and member.incarnation == self.incarnation
        )

    @property
    def election_min_ms(self):
        """Return the time within which votes and heartbeats are awaited."""
        return self.election_backoff * self.timing.election_min_ms

    @property
    def election_max_ms(self):
        """Return the silence of a quorum after which a leader steps down."""
        return self.election_backoff * self.timing.election_max_ms

    def increase_election_backoff(self):
        """Allow more time after an election that came to nothing."""
        self.election_backoff = min(MAX_PATIENCE, 2 * self.election_backoff)

    def reset_election_timer(self):
        """Wait for another randomized timeout before an election."""
        self._deadline_ms = self.now_ms() + self._random.uniform(
            self.election_min_ms, self.election_max_ms
        )

    def election_due(self):
        """Return whether the leader was silent for too long."""
        return self.now_ms() >= self._deadline_ms

    def has_live_leader(self, transfer=False):
        """Return whether a leader seems well, so that votes are refused."""
        if transfer:
            return False
        limit_ms = self.timing.election_min_ms
        if self.leadership is not None:
            heard_ms = max(
                self.leadership.confirmed_ms(), self.leadership.started_ms
            )
        else:
            heard_ms = self._heard_ms
        return self.now_ms() - heard_ms < limit_ms

    def observe_term(self, term):
        """Move to a later term; durable only after a sync of the vote."""
        if term > self.term:
            self.journal.vote = Vote(term, '')
            self.leader = ''
            self.step_down('a later term began')

    def follow_leader(self, term, leader):
        """Note a message from the leader of a term."""
        self.observe_term(term)
        if self.leadership is not None:
            raise CorruptStore(f'{leader} leads term {term} as well')
        if self.leader != leader:
            self.leader = leader
            _log('{} follows {} in term {}', self.group, leader, term)
        self._heard_ms = self.now_ms()
        self.reset_election_timer()

    def become_leader(self):
        """Begin to lead the current term."""
        self.leader = self.name
        self.leadership = Leadership(self)
        self.leadership.start()
        _log('{} leads {} in term {}', self.name, self.group, self.term)

    def step_down(self, reason):
        """Stop leading, if leading; open proposals end as unknown."""
        leadership = self.leadership
        if leadership is None:
            return
        self.leadership = None
        self.leader = ''
        leadership.stop()
        self.reset_election_timer()
        self.proposals.fail_from(0)
        _log('{} stops leading {}: {}', self.name, self.group, reason)

    def append_as_leader(self, kind, payload):
        """Append an entry as leader and return its index."""
        entry = LogEntry(self.term, self.journal.last_index + 1, kind, payload)
        self.append([entry])
        return entry.index

    def append(self, entries):
        """Append entries, replacing what stood from the first one."""
        first = entries[0].index
        if first <= self.journal.last_index:
            self.membership.truncate(first)
            self.proposals.fail_from(first)
        self.journal.append(entries)
        for entry in entries:
            self._note_entry(entry)

    def on_members_committed(self, index):
        """Act on a change of members that is accepted."""
        self.membership.mark_committed(index)
        if self.leadership is None:
            return
        mark_settled(self.leadership)
        self.leadership.update_peers()
        if not self.is_voter():
            gevent.spawn(self._retire)

    def commit(self, index):
        """Accept entries up to an index for good."""
        if index > self.commit_index:
            self.election_backoff = 1
            self.commit_index = index
            self.applier.wake()

    def reset_to_snapshot(self, snapshot, members):
        """Continue after a snapshot that replaced the state."""
        self.commit_index = max(self.commit_index, snapshot.index)
        self.membership = Membership(snapshot.index, members)
        self._note_members(snapshot.index + 1)
        self.proposals.fail_from(0)
        self.applier.reset_to_snapshot(snapshot.index)

    def _load_membership(self, initial_members):
        snapshot = self.journal.snapshot
        if snapshot.index:
            initial_members = decode_members(snapshot.members)
        self.membership = Membership(snapshot.index, initial_members)
        self._note_members(snapshot.index + 1)

    def _note_members(self, first):
        for index in range(first, self.journal.last_index + 1):
            self._note_entry(self.journal.entry(index))

    def _note_entry(self, entry):
        if entry.kind == 'members':
            members = decode_members(entry.payload)
            self.membership.record_change(entry.index, members)
        elif entry.kind == 'settled':
            self.membership.record_commit_marker(
                entry.index, int(entry.payload)
            )

    def _forward(self, kind, payload, timeout_ms):
        message = Propose(self.group, payload, True, kind)
        limit_ms = min(timeout_ms, self.timing.request_timeout_ms)
        return self.send(self.leader, message, limit_ms).outcome

    def _may_append(self):
        leadership = self.leadership
        return leadership is not None and not leadership.is_transferring

    def _propose_here(self, kind, payload, timeout_ms):
        if kind == 'members':
            members = members_after(self.leadership, decode_change(payload))
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
        return self._incoming.handle(request)

    def _handle_status(self, _exchange, _request):
        return self.status()

    def _handle_propose(self, _exchange, request):
        self._require_running()
        if request.forwarded and not self._may_append():
            raise NotLeader(f'{self.name} does not lead {self.group}')
        if request.kind not in PROPOSED_KINDS:
            raise BadInput(f'a proposal of kind {request.kind!r}')
        outcome = self.propose(request.payload, kind=request.kind)
        return ProposeReply(outcome)

    def _handle_append(self, _exchange, request):
        self._require_running()
        return take_entries(self, request)

    def _require_running(self):
        if not self._running:
            raise Unavailable(f'{self.name} does not take part yet')

    def _retire(self):
        self._hand_over()
        self.step_down('this host is no voter any more')

    def _hand_over(self):
        self.leadership.is_transferring = True
        with gevent.Timeout(HAND_OVER_LIMIT_MS / 1000, False):
            while self.leadership is not None:
                peer = self.leadership.most_caught_up()
                if peer is None:
                    return
                if peer.match_index >= self.journal.last_index:
                    self.leadership.transfer_leadership()
                    return
                gevent.sleep(LEADER_POLL_MS / 1000)


def _log(text, *arguments):
    from loguru import logger

    logger.info(text, *arguments)
