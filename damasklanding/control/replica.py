"""
damasklanding.control.replica
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One replica of a replicated log.  An entry counts as accepted once a quorum
has it on disk; every replica then applies the same entries in order to its
machine.
"""

from dataclasses import dataclass
from random import SystemRandom

import gevent
from gevent.event import AsyncResult
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from damasklanding.clock import monotonic_ms
from damasklanding.control.election import grant_vote
from damasklanding.control.election import run_elections
from damasklanding.control.journal import Vote
from damasklanding.control.members import Membership
from damasklanding.control.members import decode_change
from damasklanding.control.members import decode_members
from damasklanding.control.members import encode_members
from damasklanding.control.replication import Leadership
from damasklanding.control.snapshots import Incoming
from damasklanding.control.snapshots import snapshot_due
from damasklanding.control.snapshots import take_snapshot
from damasklanding.errors import BadInput
from damasklanding.errors import CorruptStore
from damasklanding.errors import NotLeader
from damasklanding.errors import TooLarge
from damasklanding.errors import Unavailable
from damasklanding.wire import AppendReply
from damasklanding.wire import AppendRequest
from damasklanding.wire import LogEntry
from damasklanding.wire import Propose
from damasklanding.wire import ProposeReply
from damasklanding.wire import SnapshotChunk
from damasklanding.wire import StatusReply
from damasklanding.wire import StatusRequest
from damasklanding.wire import VoteRequest

__all__ = ['Replica', 'Timing']

PROPOSE_TIMEOUT_MS = 3_000
LEADER_POLL_MS = 10
APPLY_CHUNK = 64
MAX_PAYLOAD_BYTES = 1_048_576
PROPOSED_KINDS = ('command', 'members')
HAND_OVER_LIMIT_MS = 500


@dataclass(frozen=True)
class Timing:
    """
    Intervals of a replica, and when it cuts its log.

    :ivar election_min_ms: votes are refused for so long after a leader was
        heard.
    :ivar election_max_ms: a leader without a quorum's answers for so long
        steps down.
    """

    heartbeat_ms: int = 100
    election_min_ms: int = 600
    election_max_ms: int = 1_200
    request_timeout_ms: int = 1_500
    snapshot_timeout_ms: int = 5_000
    snapshot_entries: int = 4_096
    snapshot_bytes: int = 8_388_608


class Replica:
    """
    A member of one replication group.

    :ivar leader: name of the leader heard last, empty without one.
    :ivar commit_index: index up to which entries are accepted for good.
    :ivar applied_index: index up to which the machine has applied them.
    """

    def __init__(
        self,
        name,
        group,
        journal,
        machine,
        send,
        *,
        now_ms=monotonic_ms,
        random=None,
        timing=None,
        metrics=None,
    ):
        """
        Restore the machine from the journal's snapshot.

        :param machine: has ``apply(entry)``, ``snapshot()``, ``restore()``.
        :param send: function of host name, message and timeout in
            milliseconds that returns the reply.
        """
        self.name = name
        self.group = group
        self.journal = journal
        self.machine = machine
        self.send = send
        self.now_ms = now_ms
        self.timing = timing or Timing()
        self.incarnation = ''
        self.leader = ''
        self.leadership = None
        self.installing = False
        self.commit_index = journal.snapshot.index
        self.applied_index = journal.snapshot.index
        self.membership = Membership(0, ())
        self.election_wanted = Event()
        self._random = random or SystemRandom()
        self._metrics = metrics
        self._waiters = {}
        self._incoming = Incoming(self)
        self._committed = Event()
        self._applied = Event()
        self._running = False
        self._heard_ms = float('-inf')
        self._deadline_ms = 0
        self._greenlets = []
        self._snapshot_lock = BoundedSemaphore(1)
        self._handlers = {
            VoteRequest: self._handle_vote,
            AppendRequest: self._handle_append,
            SnapshotChunk: self._handle_snapshot,
            StatusRequest: self._handle_status,
            Propose: self._handle_propose,
        }
        if journal.snapshot.index:
            machine.restore(journal.snapshot.state)

    @property
    def term(self):
        """Return the latest term seen."""
        return self.journal.vote.term

    @property
    def role(self):
        """Return ``leader``, ``follower`` or ``learner``."""
        if self.leadership is not None:
            return 'leader'
        return 'follower' if self.is_voter() else 'learner'

    def start(self, incarnation, founders=()):
        """
        Take part in the group.

        :param incarnation: of the data folder.
        :param founders: members at index 0, empty on a host that joins.
        """
        self.incarnation = incarnation
        self._load_membership(founders)
        self._running = True
        self.postpone_election()
        self._greenlets = [
            gevent.spawn(run_elections, self),
            gevent.spawn(self._apply_loop),
        ]

    def stop(self, hand_over=True):
        """Leave the group until the next start."""
        if hand_over and self.leadership is not None:
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
        while True:
            left_ms = deadline_ms - self.now_ms()
            if self.leadership is not None:
                return self._propose_here(kind, payload, left_ms)
            if self.leader and self._running:
                message = Propose(self.group, payload, True, kind)
                return self.send(self.leader, message, left_ms).outcome
            if left_ms <= 0:
                raise NotLeader(f'group {self.group} has no leader now')
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
        with gevent.Timeout(timeout_ms / 1000, False):
            while self.applied_index < index:
                self._applied.wait()
        return self.applied_index >= index

    # Used by the modules of elections, replication and snapshots.

    def count(self, name, *labels):
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

    def postpone_election(self):
        """Wait for another randomized timeout before an election."""
        timing = self.timing
        self._deadline_ms = self.now_ms() + self._random.uniform(
            timing.election_min_ms, timing.election_max_ms
        )

    def election_due(self):
        """Return whether the leader was silent for too long."""
        return self.now_ms() >= self._deadline_ms

    def hears_leader(self, transfer=False):
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

    def follow(self, term, leader):
        """Note a message from the leader of a term."""
        self.observe_term(term)
        if self.leadership is not None:
            raise CorruptStore(f'{leader} leads term {term} as well')
        if self.leader != leader:
            self.leader = leader
            _log('{} follows {} in term {}', self.group, leader, term)
        self._heard_ms = self.now_ms()
        self.postpone_election()

    def lead(self):
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
        self.postpone_election()
        self._fail_waiters(0)
        _log('{} stops leading {}: {}', self.name, self.group, reason)

    def append_own(self, kind, payload):
        """Append an entry as leader and return its index."""
        entry = LogEntry(self.term, self.journal.last_index + 1, kind, payload)
        self._append([entry])
        return entry.index

    def commit(self, index):
        """Accept entries up to an index for good."""
        if index > self.commit_index:
            self.commit_index = index
            self._committed.set()

    def restart_at(self, snapshot, members):
        """Continue after a snapshot that replaced the state."""
        self.applied_index = snapshot.index
        self.commit_index = max(self.commit_index, snapshot.index)
        self.membership = Membership(snapshot.index, members)
        self._note_members(snapshot.index + 1)
        self._fail_waiters(0)

    def _load_membership(self, founders):
        snapshot = self.journal.snapshot
        if snapshot.index:
            founders = decode_members(snapshot.members)
        self.membership = Membership(snapshot.index, founders)
        self._note_members(snapshot.index + 1)

    def _note_members(self, first):
        for index in range(first, self.journal.last_index + 1):
            self._note_entry(self.journal.entry(index))

    def _note_entry(self, entry):
        if entry.kind == 'members':
            members = decode_members(entry.payload)
            self.membership.change(entry.index, members)
        elif entry.kind == 'settled':
            self.membership.mark(entry.index, int(entry.payload))

    def _append(self, entries):
        first = entries[0].index
        if first <= self.journal.last_index:
            self.membership.truncate(first)
            self._fail_waiters(first)
        self.journal.append(entries)
        for entry in entries:
            self._note_entry(entry)

    def _propose_here(self, kind, payload, timeout_ms):
        if kind == 'members':
            members = self.leadership.members_after(decode_change(payload))
            if members == self.membership.current:
                return b''
            payload = encode_members(members)
        term = self.term
        index = self.leadership.append(kind, payload)
        result = AsyncResult()
        self._waiters[index] = (term, result)
        try:
            return result.get(timeout=max(timeout_ms, 0) / 1000)
        except gevent.Timeout:
            raise self._unknown() from None
        finally:
            self._waiters.pop(index, None)

    def _unknown(self):
        return Unavailable(
            f'group {self.group} did not accept the change in time, '
            'its outcome is unknown',
            'send the same request again, it is applied once',
        )

    def _fail_waiters(self, first):
        for index in [index for index in self._waiters if index >= first]:
            _, result = self._waiters.pop(index)
            result.set_exception(self._unknown())

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
        if request.forwarded and self.leadership is None:
            raise NotLeader(f'{self.name} does not lead {self.group}')
        if request.kind not in PROPOSED_KINDS:
            raise BadInput(f'a proposal of kind {request.kind!r}')
        outcome = self.propose(request.payload, kind=request.kind)
        return ProposeReply(outcome)

    def _handle_append(self, _exchange, request):
        self._require_running()
        if request.term < self.term:
            return self._append_reply(False, 0, request.seq)
        self.follow(request.term, request.leader)
        if request.campaign:
            self.election_wanted.set()
        hint = self._accept(request)
        self.journal.sync_vote()
        if hint is not None:
            return self._append_reply(False, hint, request.seq)
        if request.entries:
            self.journal.sync()
        if self.term != request.term:
            return self._append_reply(False, 0, request.seq)
        match_index = request.previous_index + len(request.entries)
        self.commit(min(request.commit_index, match_index))
        return self._append_reply(True, match_index, request.seq)

    def _append_reply(self, success, match_index, seq):
        return AppendReply(
            self.term, success, match_index, self.incarnation, seq
        )

    def _accept(self, request):
        """Append what is new; where the logs differ, return a hint."""
        journal = self.journal
        previous = request.previous_index
        if previous > journal.last_index:
            return journal.last_index
        known = previous >= journal.base_index
        if known and journal.term_at(previous) != request.previous_term:
            return max(previous - 1, self.commit_index)
        fresh = [
            entry
            for entry in request.entries
            if entry.index > journal.base_index
            and journal.term_at(entry.index) != entry.term
        ]
        if not fresh:
            return None
        start = fresh[0].index
        if start <= self.commit_index:
            raise CorruptStore(f'an accepted entry {start} differs')
        self._append([e for e in request.entries if e.index >= start])
        return None

    def _require_running(self):
        if not self._running:
            raise Unavailable(f'{self.name} does not take part yet')

    def _apply_loop(self):
        while True:
            self._committed.wait()
            self._committed.clear()
            while self._apply_some():
                gevent.sleep(0)
            if snapshot_due(self):
                gevent.spawn(self._cut_log)

    def _apply_some(self):
        if self.installing:
            return False
        last = min(self.commit_index, self.applied_index + APPLY_CHUNK)
        for index in range(self.applied_index + 1, last + 1):
            self._apply(self.journal.entry(index))
        self._wake_applied()
        return self.applied_index < self.commit_index

    def _wake_applied(self):
        applied = self._applied
        self._applied = Event()
        applied.set()

    def _apply(self, entry):
        outcome = b''
        if entry.kind == 'command':
            outcome = self.machine.apply(entry)
        self.applied_index = entry.index
        if entry.kind == 'members':
            self._members_accepted(entry.index)
        term, result = self._waiters.pop(entry.index, (0, None))
        if result is None:
            return
        if term == entry.term:
            result.set(outcome)
        else:
            result.set_exception(self._unknown())

    def _members_accepted(self, index):
        self.membership.settle(index)
        if self.leadership is None:
            return
        self.leadership.mark_settled()
        self.leadership.follow_members()
        if not self.is_voter():
            gevent.spawn(self._retire)

    def _retire(self):
        self._hand_over()
        self.step_down('this host is no voter any more')

    def _cut_log(self):
        with self._snapshot_lock:
            if not snapshot_due(self) or self.installing:
                return
            try:
                take_snapshot(self)
            except Unavailable:
                self.step_down('its log can not be cut')

    def _hand_over(self):
        with gevent.Timeout(HAND_OVER_LIMIT_MS / 1000, False):
            while self.leadership is not None:
                peer = self.leadership.most_caught_up()
                if peer is None:
                    return
                if peer.match_index >= self.journal.last_index:
                    self.leadership.hand_over()
                    return
                gevent.sleep(LEADER_POLL_MS / 1000)


def _log(text, *arguments):
    from loguru import logger

    logger.info(text, *arguments)
