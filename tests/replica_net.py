"""
replica_net
~~~~~~~~~~~

Replicas in one process over a simulated network that loses, delays and
duplicates messages, with an oracle that checks the committed entries.
"""

import os
import random
import shutil

from faulty_disk import FaultyDisk
import gevent
import msgspec

from damasklanding.control.journal import Journal
from damasklanding.control.members import BOOTSTRAP_INCARNATION
from damasklanding.control.members import Member
from damasklanding.control.members import MemberChange
from damasklanding.control.members import encode_change
from damasklanding.control.replica import Replica
from damasklanding.control.timing import Timing
from damasklanding.errors import DamasklandingError
from damasklanding.errors import LinkClosed
from damasklanding.errors import LinkTimeout

FAST_TIMING = Timing(
    heartbeat_ms=10,
    election_min_ms=60,
    election_max_ms=120,
    request_timeout_ms=80,
    snapshot_timeout_ms=200,
    snapshot_entries=16,
)


def eventually(condition, timeout_s=10, step_s=0.002):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(step_s)


class Oracle:
    """
    Records applied and acknowledged entries and finds inconsistencies.

    :ivar applied: payload by index, over all replicas and the whole test.
    :ivar acknowledged: index by payload of the proposals that succeeded.
    :ivar violations: descriptions of the inconsistencies found, such as two
        replicas that have applied different entries at an index.
    """

    def __init__(self):
        self.applied = {}
        self.acknowledged = {}
        self.violations = []

    def note_applied(self, index, payload):
        if self.applied.setdefault(index, payload) != payload:
            self.violations.append(f'entry {index} differs')


class ListStateMachine:
    """State machine that keeps the applied payloads in order."""

    def __init__(self, oracle):
        self.oracle = oracle
        self.entries = []

    def apply(self, entry):
        self.oracle.note_applied(entry.index, entry.payload)
        if self.entries and self.entries[-1][0] >= entry.index:
            self.oracle.violations.append(f'entry {entry.index} applied again')
        self.entries.append((entry.index, entry.payload))
        return b'%d' % entry.index

    def snapshot(self):
        return msgspec.msgpack.encode(self.entries)

    def restore(self, data):
        self.entries = msgspec.msgpack.decode(
            data, type=list[tuple[int, bytes]]
        )
        for index, payload in self.entries:
            self.oracle.note_applied(index, payload)

    def payloads(self):
        return {payload for _, payload in self.entries}


class SlowVoteJournal(Journal):
    """Journal that delays the sync of each new vote, like a slow disk."""

    vote_sync_delay_ms = 0

    def sync_vote(self):
        if self.vote_sync_delay_ms and self._durable_vote != self.vote:
            gevent.sleep(self.vote_sync_delay_ms / 1000)
        super().sync_vote()


class ReplicaNetwork:
    """
    Replicas by name and the simulated network between them.

    :ivar random: seeded source of delays, duplicates and election timeouts.
    :ivar incarnations: incarnation by name of the hosts in service.
    :ivar disks: :class:`~faulty_disk.FaultyDisk` by name.
    :ivar isolated_hosts: hosts whose connections fail at once.
    :ivar silent_hosts: hosts whose connections lose every message, so that
        requests time out.
    :ivar max_delay_ms: maximum random delay of a message.
    :ivar duplicate_messages: whether some messages are delivered twice.
    """

    def __init__(
        self,
        folder,
        names=('a', 'b', 'c'),
        timing=FAST_TIMING,
        seed=1,
        vote_sync_delay_ms=0,
    ):
        self.folder = str(folder)
        self.timing = timing
        self.random = random.Random(seed)
        self.oracle = Oracle()
        self.initial_members = tuple(Member(name, name) for name in names)
        self.incarnations = dict.fromkeys(names, BOOTSTRAP_INCARNATION)
        self.replicas = {}
        self.disks = {}
        self.isolated_hosts = set()
        self.silent_hosts = set()
        self.max_delay_ms = 0
        self.vote_sync_delay_ms = vote_sync_delay_ms
        self.duplicate_messages = False
        self.incarnation_count = 0
        for name in names:
            self.start(name)

    def start(self, name):
        disk = self.disks.setdefault(name, FaultyDisk())
        journal = SlowVoteJournal(
            os.path.join(self.folder, name), sync_file=disk.sync
        )
        journal.vote_sync_delay_ms = self.vote_sync_delay_ms
        replica = Replica(
            name,
            'config',
            journal,
            ListStateMachine(self.oracle),
            lambda target, message, timeout_ms: self.send(
                name, target, message, timeout_ms
            ),
            random=self.random,
            timing=self.timing,
        )
        bootstraps = self.incarnations[name] == BOOTSTRAP_INCARNATION
        self.replicas[name] = replica
        replica.start(
            self.incarnations[name], self.initial_members if bootstraps else ()
        )
        return replica

    def change_members(self, action, name):
        """Propose a change of members; return whether it was committed."""
        change = encode_change(MemberChange(action, name, name))
        for replica in list(self.replicas.values()):
            if replica.leadership is None:
                continue
            try:
                replica.propose(change, 300, 'members')
                return True
            except DamasklandingError:
                pass
        return False

    def join(self, name):
        """Start an empty host that is not a member yet."""
        self.incarnation_count += 1
        self.incarnations[name] = f'life-{self.incarnation_count}'
        self.start(name)

    def leave(self, name):
        """Kill a host for the rest of the test."""
        if name in self.replicas:
            self.kill(name)
        del self.incarnations[name]

    def kill(self, name):
        replica = self.replicas.pop(name)
        replica.stop(transfer_leadership=False)
        replica.journal.close(flush=False)

    def wipe(self, name):
        if name in self.replicas:
            self.kill(name)
        shutil.rmtree(os.path.join(self.folder, name))
        self.incarnation_count += 1
        self.incarnations[name] = f'life-{self.incarnation_count}'

    def send(self, source, target, message, timeout_ms):
        replica = self.replicas.get(target)
        if self.silent_hosts & {source, target}:
            gevent.sleep(timeout_ms / 1000)
            raise LinkTimeout(f'{target} did not answer')
        if (
            replica is None
            or source in self.isolated_hosts
            or target in self.isolated_hosts
        ):
            raise LinkClosed(f'no path from {source} to {target}')
        if self.duplicate_messages and self.random.random() < 0.1:
            gevent.spawn(self._deliver, replica, message, 20)
        greenlet = gevent.spawn(
            self._deliver, replica, message, self.max_delay_ms
        )
        try:
            reply = greenlet.get(timeout=timeout_ms / 1000)
        except gevent.Timeout:
            raise LinkTimeout(f'{target} did not answer') from None
        if isinstance(reply, DamasklandingError):
            raise reply
        if source in self.isolated_hosts or target in self.isolated_hosts:
            raise LinkClosed('the reply was lost')
        return reply

    def _deliver(self, replica, message, max_delay_ms):
        if max_delay_ms:
            gevent.sleep(self.random.uniform(0, max_delay_ms) / 1000)
        try:
            return replica.handlers()[type(message)](None, message)
        except DamasklandingError as error:
            return error

    def propose(self, name, payload, timeout_ms=500):
        replica = self.replicas.get(name)
        if replica is None:
            return None
        try:
            result = replica.propose(payload, timeout_ms)
        except DamasklandingError:
            return None
        self.oracle.acknowledged[payload] = int(result)
        return int(result)

    def propose_until_committed(self, payload, timeout_s=10):
        """Propose through each replica in turn until it is committed."""

        def is_committed():
            names = sorted(self.replicas)
            return any(self.propose(name, payload) for name in names)

        eventually(is_committed, timeout_s)

    def leader(self):
        leaders = []

        def found():
            leaders[:] = [
                replica
                for replica in self.replicas.values()
                if replica.confirmed_age_ms() < self.timing.election_min_ms
            ]
            return leaders

        eventually(found)
        return leaders[0]

    def all_admitted(self):
        """Return whether the group counts the data folder of every host."""
        for replica in self.replicas.values():
            if replica.confirmed_age_ms() == float('inf'):
                continue
            known = {
                member.name: member.incarnation
                for member in replica.membership.current
                if member.voter
            }
            finished = replica.membership.is_change_complete(
                replica.commit_index
            )
            return finished and known == self.incarnations
        return False

    def heal(self):
        self.isolated_hosts.clear()
        self.silent_hosts.clear()
        self.max_delay_ms = 0
        self.duplicate_messages = False
        for name in self.incarnations:
            if name not in self.replicas:
                self.start(name)

    def converge(self):
        """Heal, then wait until all replicas have applied all entries."""
        self.heal()
        self.propose_until_committed(b'last-%d' % len(self.oracle.applied))
        eventually(self.all_admitted)
        self.propose_until_committed(b'final-%d' % len(self.oracle.applied))

        def same():
            indexes = {r.applied_index for r in self.replicas.values()}
            return indexes == {self.leader().journal.last_index}

        eventually(same)

    def check(self):
        assert not self.oracle.violations
        for payload, index in self.oracle.acknowledged.items():
            assert self.oracle.applied.get(index) == payload

    def check_converged(self):
        self.check()
        expected = [
            (index, payload)
            for index, payload in sorted(self.oracle.applied.items())
        ]
        for replica in self.replicas.values():
            assert replica.state_machine.entries == expected

    def close(self):
        for name in list(self.replicas):
            self.kill(name)
