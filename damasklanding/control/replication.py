"""
damasklanding.control.replication
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Log replication by the leader of a term.  For each peer one greenlet sends log
entries and another sends heartbeats, so that neither a slow disk nor a large
transfer delays the heartbeats that prove the leadership.
"""

import gevent
from gevent.event import Event

from damasklanding.control.member_changes import append_commit_marker
from damasklanding.control.member_changes import record_incarnation
from damasklanding.control.members import encode_members
from damasklanding.control.members import quorum_value
from damasklanding.control.snapshots import send_snapshot
from damasklanding.control.voters import losses_borne
from damasklanding.errors import DamasklandingError
from damasklanding.messages import AppendRequest

__all__ = ['Leadership', 'Progress']

MAX_BATCH_ENTRIES = 1_024
MAX_BATCH_BYTES = 1_048_576
RETRY_DELAY_MS = 50

_NEVER = float('-inf')


class Progress:
    """
    Replication progress of one peer.

    :ivar next_index: index of the next entry to send.
    :ivar match_index: index up to which the peer's log is known to equal the
        leader's on disk.
    :ivar acknowledged_commit_index: latest commit index that the peer has
        received.
    :ivar incarnation: incarnation of its data folder in the latest reply.
    :ivar acknowledged_ms: send time of the latest request that the peer has
        answered in this term.
    :ivar work_available: set when there are entries or a commit index to
        send.
    :ivar added_ms: when the replication to the peer began.
    """

    def __init__(self, name, next_index, added_ms):
        self.name = name
        self.added_ms = added_ms
        self.next_index = next_index
        self.match_index = 0
        self.acknowledged_commit_index = 0
        self.incarnation = ''
        self.acknowledged_ms = _NEVER
        self.work_available = Event()
        self.greenlets = []


class Leadership:
    """
    The replication of one leader during one term.

    :ivar started_ms: when the term of this leader began.
    :ivar first_index: index of the first entry of the term.  Once it is
        applied, the state holds every entry committed in earlier terms.
    :ivar is_transferring: whether a leadership transfer is under way.  The
        leader then accepts no proposals, because the new leader must have
        every entry.
    """

    def __init__(self, replica):
        self.replica = replica
        self.journal = replica.journal
        self.term = replica.term
        self.started_ms = replica.now_ms()
        self.first_index = replica.journal.last_index + 1
        self.is_transferring = False
        self.peers = {}
        self._entries_appended = Event()
        self._sync_greenlet = None
        self._seq = 0

    def start(self):
        """Append the first entry of the term and start replication."""
        membership = self.replica.membership
        if membership.last_change_index == 0:
            self.append('members', encode_members(membership.current))
        else:
            self.append('noop', b'')
        self.update_peers()
        self._sync_greenlet = gevent.spawn(self._sync_loop)

    def stop(self):
        """Stop replication; replies that arrive later are ignored."""
        for name in list(self.peers):
            self._remove_peer(name)
        if self._sync_greenlet is not gevent.getcurrent():
            self._sync_greenlet.kill(block=False)

    def age_ms(self):
        """Return for how long this replica has led."""
        return self.replica.now_ms() - self.started_ms

    def is_over(self):
        """Return whether this term of leadership has ended."""
        return self.replica.leadership is not self

    def append(self, kind, payload):
        """Append an entry of this term and return its index."""
        index = self.replica.append_as_leader(kind, payload)
        self._entries_appended.set()
        if kind == 'members':
            self.update_peers()
        for peer in self.peers.values():
            peer.work_available.set()
        return index

    def update_peers(self):
        """Start replication to new members and stop it to removed ones."""
        names = {
            member.name
            for members in self.replica.membership.active_member_sets()
            for member in members
        }
        names.discard(self.replica.name)
        for name in set(self.peers) - names:
            self._remove_peer(name)
        for name in sorted(names - set(self.peers)):
            self._add_peer(name)

    def confirmed_ms(self):
        """Return the send time of the latest quorum-acknowledged request."""
        return min(
            quorum_value(members, self._acknowledged_ms)
            for members in self.replica.membership.active_member_sets()
        )

    def check_quorum(self):
        """Step down if no quorum has answered within the maximum timeout."""
        last_contact_ms = max(self.confirmed_ms(), self.started_ms)
        silent_ms = self.replica.now_ms() - last_contact_ms
        if silent_ms > self.replica.election_max_ms:
            if self.replica.commit_index < self.first_index:
                self.replica.increase_election_backoff()
            self.replica.step_down('no quorum answers')

    def advance_commit(self):
        """Commit the entries of this term that a quorum has on disk."""
        if self.is_over():
            return
        index = min(
            quorum_value(members, self._match_index)
            for members in self.replica.membership.active_member_sets()
        )
        if index <= self.replica.commit_index:
            return
        if self.journal.term_at(index) != self.term:
            return
        self.replica.commit(index)
        for peer in self.peers.values():
            peer.work_available.set()

    def most_caught_up(self):
        """Return the voter with the highest match index, or None."""
        voters = [
            self.peers[member.name]
            for member in self.replica.membership.current
            if member.name in self.peers
            and member.voter
            and self.peers[member.name].incarnation == member.incarnation
        ]
        return max(voters, key=lambda p: p.match_index, default=None)

    def transfer_leadership(self):
        """Ask the most caught-up voter to start an election at once."""
        peer = self.most_caught_up()
        if peer is None:
            return
        request = self._append_request(peer.match_index, [])
        request.campaign = True
        try:
            self.replica.send(
                peer.name, request, self.replica.timing.election_min_ms
            )
        except DamasklandingError:
            pass

    def is_alive(self, member):
        """Return whether a member answered within the maximum timeout."""
        silent_ms = self.replica.now_ms() - self._acknowledged_ms(member)
        return silent_ms < self.replica.timing.election_max_ms

    def silent_ms(self, member):
        """Return the milliseconds since a member last answered."""
        peer = self.peers.get(member.name)
        if peer is None:
            return 0.0
        last_contact_ms = max(peer.acknowledged_ms, peer.added_ms)
        return self.replica.now_ms() - last_contact_ms

    def silent_voters(self):
        """
        Return the names of the voters that count as lost.

        None does while the quorum's latest answer is old as well: this
        process may have stood still.

        :return: list of names, the longest silent first.
        """
        limit_ms = self.replica.timing.lost_after_ms
        if self.replica.now_ms() - self.confirmed_ms() > limit_ms / 2:
            return []
        silent_ms = {
            member.name: self.silent_ms(member)
            for member in self.replica.membership.current
            if member.voter and member.name != self.replica.name
        }
        silent = [name for name in silent_ms if silent_ms[name] > limit_ms]
        return sorted(silent, key=lambda name: (-silent_ms[name], name))

    def caught_up_learners(self):
        """Return pairs of name and incarnation of the learners to admit."""
        peers = [
            self.peers[member.name]
            for member in self.replica.membership.current
            if not member.voter and member.name in self.peers
        ]
        limit_ms = self.replica.now_ms() - self.replica.timing.lost_after_ms
        return [
            (peer.name, peer.incarnation)
            for peer in peers
            if peer.incarnation
            and peer.match_index >= self.replica.commit_index
            and peer.acknowledged_ms > limit_ms
        ]

    def losses_borne(self):
        """Return how many more voters may be lost; see ``voters``."""
        limit_ms = self.replica.timing.lost_after_ms
        now_ms = self.replica.now_ms()
        return losses_borne(
            self.replica.membership.active_member_sets(),
            lambda member: now_ms - self._acknowledged_ms(member) <= limit_ms,
        )

    def _add_peer(self, name):
        peer = Progress(name, self.first_index, self.replica.now_ms())
        self.peers[name] = peer
        peer.work_available.set()
        peer.greenlets = [
            gevent.spawn(self._replicate_loop, peer),
            gevent.spawn(self._heartbeat_loop, peer),
        ]

    def _remove_peer(self, name):
        peer = self.peers.pop(name)
        current = gevent.getcurrent()
        for greenlet in peer.greenlets:
            if greenlet is not current:
                greenlet.kill(block=False)

    def _recorded_peer(self, member):
        peer = self.peers.get(member.name)
        if peer is None or peer.incarnation != member.incarnation:
            return None
        return peer

    def _match_index(self, member):
        if member.name == self.replica.name:
            return self.journal.durable_index
        peer = self._recorded_peer(member)
        return peer.match_index if peer else 0

    def _acknowledged_ms(self, member):
        if member.name == self.replica.name:
            return self.replica.now_ms()
        peer = self._recorded_peer(member)
        return peer.acknowledged_ms if peer else _NEVER

    def _sync_loop(self):
        while not self.is_over():
            self._entries_appended.wait()
            self._entries_appended.clear()
            try:
                self.journal.sync()
            except DamasklandingError as error:
                self.replica.hand_over_leadership(str(error))
                return
            self.advance_commit()

    def _append_request(self, previous_index, entries):
        self._seq += 1
        previous_term = self.journal.term_at(previous_index)
        if previous_term is None:
            previous_index = previous_term = 0
        return AppendRequest(
            self.replica.group,
            self.term,
            self.replica.name,
            previous_index,
            previous_term,
            entries,
            self.replica.commit_index,
            self._seq,
        )

    def _heartbeat_loop(self, peer):
        timing = self.replica.timing
        while not self.is_over():
            self._send_and_record(
                peer,
                self._append_request(peer.match_index, []),
                self.replica.election_min_ms,
            )
            if not self.is_over():
                append_commit_marker(self)
                record_incarnation(self, peer)
            gevent.sleep(timing.heartbeat_ms / 1000)

    def _replicate_loop(self, peer):
        while not self.is_over():
            peer.work_available.wait()
            peer.work_available.clear()
            while not self.is_over() and self._needs_update(peer):
                if not self._send_entries(peer):
                    gevent.sleep(RETRY_DELAY_MS / 1000)

    def _needs_update(self, peer):
        return (
            peer.next_index <= self.journal.last_index
            or peer.acknowledged_commit_index < self.replica.commit_index
        )

    def _send_entries(self, peer):
        previous_index = peer.next_index - 1
        if previous_index < self.journal.base_index:
            return send_snapshot(self, peer)
        entries = self.journal.entries_from(
            peer.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES
        )
        request = self._append_request(previous_index, entries)
        reply = self._send_and_record(
            peer, request, self.replica.timing.request_timeout_ms
        )
        if reply is None:
            return False
        if not reply.success:
            peer.next_index = max(
                1, min(reply.match_index + 1, peer.next_index - 1)
            )
            return True
        peer.match_index = max(peer.match_index, reply.match_index)
        peer.next_index = peer.match_index + 1
        peer.acknowledged_commit_index = min(
            request.commit_index, peer.match_index
        )
        self.advance_commit()
        return True

    def _send_and_record(self, peer, request, timeout_ms):
        """Send a request; return its reply if it counts, otherwise None."""
        sent_ms = self.replica.now_ms()
        try:
            reply = self.replica.send(peer.name, request, timeout_ms)
        except DamasklandingError:
            return None
        return reply if self.record_reply(peer, reply, sent_ms) else None

    def record_reply(self, peer, reply, sent_ms):
        """
        Record that a peer has answered a request of this term.

        A reply from another data folder than before resets the progress of
        the peer.

        :return: whether the reply belongs to this term and comes from the
            same data folder as the earlier replies.
        """
        if self.is_over() or self.peers.get(peer.name) is not peer:
            return False
        if reply.term > self.term:
            self.replica.observe_term(reply.term)
            return False
        if reply.term < self.term:
            return False
        if reply.incarnation != peer.incarnation:
            had_incarnation = bool(peer.incarnation)
            peer.incarnation = reply.incarnation
            peer.acknowledged_ms = _NEVER
            peer.match_index = 0
            peer.acknowledged_commit_index = 0
            peer.work_available.set()
            if had_incarnation:
                peer.next_index = self.first_index
                return False
        peer.acknowledged_ms = max(peer.acknowledged_ms, sent_ms)
        return True
