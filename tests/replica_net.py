"""
replica_net
~~~~~~~~~~~

Replicas in one process over a network that loses, delays and repeats, with
an oracle that knows what was accepted.
"""

import os
import random
import shutil

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

QUICK = Timing(
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
    Fails as soon as two replicas differ on an entry.

    :ivar applied: payload by index, over all replicas and all time.
    :ivar acknowledged: payloads whose proposer got an answer.
    """

    def __init__(self):
        self.applied = {}
        self.acknowledged = {}
        self.faults = []

    def note_applied(self, index, payload):
        if self.applied.setdefault(index, payload) != payload:
            self.faults.append(f'entry {index} differs')


class ListMachine:
    """Keeps the payloads that it has applied, in order."""

    def __init__(self, oracle):
        self.oracle = oracle
        self.entries = []

    def apply(self, entry):
        self.oracle.note_applied(entry.index, entry.payload)
        if self.entries and self.entries[-1][0] >= entry.index:
            self.oracle.faults.append(f'entry {entry.index} applied again')
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


class SlowVotes(Journal):
    """A journal whose disk takes its time over each new vote."""

    slow_ms = 0

    def sync_vote(self):
        if self.slow_ms and self._durable_vote != self.vote:
            gevent.sleep(self.slow_ms / 1000)
        super().sync_vote()


class Net:
    """Replicas by name; ``faults`` is drawn from a seeded random."""

    def __init__(
        self,
        folder,
        names=('a', 'b', 'c'),
        timing=QUICK,
        seed=1,
        slow_vote_ms=0,
    ):
        self.folder = str(folder)
        self.timing = timing
        self.random = random.Random(seed)
        self.oracle = Oracle()
        self.founders = tuple(Member(name, name) for name in names)
        self.incarnations = dict.fromkeys(names, BOOTSTRAP_INCARNATION)
        self.replicas = {}
        self.cut = set()
        self.silent = set()
        self.slow_ms = 0
        self.slow_vote_ms = slow_vote_ms
        self.repeats = False
        self.lives = 0
        for name in names:
            self.start(name)

    def start(self, name):
        journal = SlowVotes(
            os.path.join(self.folder, name), sync_file=lambda number: None
        )
        journal.slow_ms = self.slow_vote_ms
        replica = Replica(
            name,
            'config',
            journal,
            ListMachine(self.oracle),
            lambda target, message, timeout_ms: self.send(
                name, target, message, timeout_ms
            ),
            random=self.random,
            timing=self.timing,
        )
        founding = self.incarnations[name] == BOOTSTRAP_INCARNATION
        self.replicas[name] = replica
        replica.start(
            self.incarnations[name], self.founders if founding else ()
        )
        return replica

    def change_members(self, action, name):
        """Ask the leader for a change; return whether it was accepted."""
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
        """Start an empty host that is to become a member."""
        self.lives += 1
        self.incarnations[name] = f'life-{self.lives}'
        self.start(name)

    def leave(self, name):
        """Take a host out of service for good."""
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
        self.lives += 1
        self.incarnations[name] = f'life-{self.lives}'

    def send(self, source, target, message, timeout_ms):
        replica = self.replicas.get(target)
        if self.silent & {source, target}:
            gevent.sleep(timeout_ms / 1000)
            raise LinkTimeout(f'{target} did not answer')
        if replica is None or source in self.cut or target in self.cut:
            raise LinkClosed(f'no path from {source} to {target}')
        if self.repeats and self.random.random() < 0.1:
            gevent.spawn(self._deliver, replica, message, 20)
        job = gevent.spawn(self._deliver, replica, message, self.slow_ms)
        try:
            reply = job.get(timeout=timeout_ms / 1000)
        except gevent.Timeout:
            raise LinkTimeout(f'{target} did not answer') from None
        if isinstance(reply, DamasklandingError):
            raise reply
        if source in self.cut or target in self.cut:
            raise LinkClosed('the answer was lost')
        return reply

    def _deliver(self, replica, message, slow_ms):
        if slow_ms:
            gevent.sleep(self.random.uniform(0, slow_ms) / 1000)
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

    def settle_one(self, payload, timeout_s=10):
        """Propose through anyone until it is accepted."""

        def accepted():
            names = sorted(self.replicas)
            return any(self.propose(name, payload) for name in names)

        eventually(accepted, timeout_s)

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

    def admitted(self):
        """Return whether the group counts every data folder of now."""
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
        self.cut.clear()
        self.silent.clear()
        self.slow_ms = 0
        self.repeats = False
        for name in self.incarnations:
            if name not in self.replicas:
                self.start(name)

    def converge(self):
        """Heal, then wait until all have applied all that is accepted."""
        self.heal()
        self.settle_one(b'last-%d' % len(self.oracle.applied))
        eventually(self.admitted)
        self.settle_one(b'final-%d' % len(self.oracle.applied))

        def same():
            indexes = {r.applied_index for r in self.replicas.values()}
            return indexes == {self.leader().journal.last_index}

        eventually(same)

    def check(self):
        assert not self.oracle.faults
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
