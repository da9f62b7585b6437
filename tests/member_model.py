"""
member_model
~~~~~~~~~~~~

A replication group in simulated time, with hosts that are lost, frozen, cut
off and replaced.  Elections, replication and commits are modelled; which
members vote is decided by the functions of the product.
"""

from dataclasses import dataclass
from dataclasses import field
import random

from damasklanding.control.members import Member
from damasklanding.control.members import MemberChange
from damasklanding.control.members import Membership
from damasklanding.control.members import changed_members
from damasklanding.control.members import quorum_reached
from damasklanding.control.reconcile import PERIOD_MS
from damasklanding.control.reconcile import lost_learner
from damasklanding.control.reconcile import next_change
from damasklanding.control.timing import Timing
from damasklanding.control.voters import admit_learner
from damasklanding.control.voters import hand_over_place
from damasklanding.control.voters import losses_borne
from damasklanding.control.voters import surplus_voter

STEP_MS = 100
#: From the start of a process to its first answer.
START_MS = 800
ELECTION_MS = 1_000
ANNOUNCE_MS = 300
CATCH_UP_MS = 4_000
TIMING = Timing()


@dataclass
class Entry:
    """Log entry; ``members`` or ``marked`` is set for a change of members."""

    term: int
    members: tuple = ()
    marked: int = 0
    write: int = 0


@dataclass
class Host:
    """
    A control host.

    :ivar state: ``up``, ``frozen``, ``cut``, ``down`` or ``gone``.
    :ivar counts_until_ms: until when the host counts as lost.
    """

    name: str
    incarnation: str
    log: list = field(default_factory=list)
    commit: int = 0
    state: str = 'up'
    ready_ms: float = 0.0
    counts_until_ms: float = 0.0
    announced_ms: float = 0.0

    def last(self):
        return (self.log[-1].term if self.log else 0, len(self.log))


class Group:
    """
    The hosts, the leader and the operators' list of one group.

    :ivar wanted: number of voters that the group should have.
    :ivar tolerance: number of losses that it should bear.
    """

    def __init__(self, seed, count=5):
        self.luck = random.Random(seed)
        self.now_ms = 0.0
        self.wanted = count
        self.tolerance = (count - 1) // 2
        self.configured_voters = 0
        self.names = 0
        self.lives = 0
        self.hosts = {}
        self.addresses = {}
        self.deleted = set()
        self.term = 1
        self.leader = None
        self.led_since_ms = 0.0
        self.vacant_since_ms = 0.0
        self.acknowledged_ms = {}
        self.added_ms = {}
        self.written = 0
        self.events = []
        members = []
        for _ in range(count):
            host = self.new_host('founding')
            members.append(Member(host.name, host.name))
            self.addresses[host.name] = host.name
        self.initial = tuple(members)
        for host in self.hosts.values():
            host.log = [Entry(1, self.initial), Entry(1, marked=1)]
            host.commit = 2

    def new_host(self, incarnation=''):
        self.names += 1
        self.lives += 1
        host = Host(f'h{self.names:02}', incarnation or f'life-{self.lives}')
        host.ready_ms = self.now_ms + (0 if incarnation else START_MS)
        host.announced_ms = host.ready_ms
        self.hosts[host.name] = host
        return host

    def runs(self, host):
        return host.state == 'up' and self.now_ms >= host.ready_ms

    def membership(self, host):
        membership = Membership(0, self.initial)
        for number, entry in enumerate(host.log, 1):
            if entry.members:
                membership.record_change(number, entry.members)
            elif entry.marked:
                membership.record_commit_marker(number, entry.marked)
        for number, entry in enumerate(host.log[: host.commit], 1):
            if entry.members:
                membership.mark_committed(number)
        return membership

    def step(self):
        self.now_ms += STEP_MS
        leader = self.leader
        if leader is not None and not self.runs(leader):
            self.leader = leader = None
            self.vacant_since_ms = self.now_ms
        if leader is None:
            if self.now_ms - self.vacant_since_ms >= ELECTION_MS:
                self.elect()
            return
        self.replicate()
        if self.leader is not None:
            self.admit()
            if self.now_ms % PERIOD_MS == 0:
                self.reconcile()

    def run_for(self, duration_ms):
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.step()

    def elect(self):
        candidates = [h for h in self.hosts.values() if self.runs(h)]
        self.luck.shuffle(candidates)
        for host in candidates:
            if self.wins(host):
                self.term += 1
                self.leader = host
                self.led_since_ms = self.now_ms
                self.acknowledged_ms = {}
                self.added_ms = {}
                host.log.append(Entry(self.term))
                return
        self.vacant_since_ms = self.now_ms

    def wins(self, candidate):
        membership = self.membership(candidate)
        own = membership.get(candidate.name)
        if own is None or own.incarnation != candidate.incarnation:
            return False
        return all(
            quorum_reached(members, lambda m: self.votes_for(candidate, m))
            for members in membership.active_member_sets()
        )

    def votes_for(self, candidate, member):
        host = self.hosts[member.name]
        return (
            self.runs(host)
            and host.incarnation == member.incarnation
            and host.last() <= candidate.last()
        )

    def replicate(self):
        leader = self.leader
        sets = self.membership(leader).active_member_sets()
        for member in {m.name: m for s in sets for m in s}.values():
            host = self.hosts[member.name]
            self.added_ms.setdefault(member.name, self.now_ms)
            if self.runs(host):
                self.acknowledged_ms[member.name] = self.now_ms
                if host is not leader:
                    host.log = list(leader.log)
                    host.commit = leader.commit
        if not all(quorum_reached(members, self.answers) for members in sets):
            silent_ms = self.now_ms - self.led_since_ms
            if silent_ms >= TIMING.election_max_ms:
                self.leader = None
                self.vacant_since_ms = self.now_ms
            return
        leader.commit = len(leader.log)
        membership = self.membership(leader)
        if not membership.has_commit_marker():
            changed = membership.last_change_index
            leader.log.append(Entry(self.term, marked=changed))
            leader.commit = len(leader.log)

    def answers(self, member):
        host = self.hosts[member.name]
        return self.runs(host) and host.incarnation == member.incarnation

    def silent_ms(self, member):
        heard_ms = self.acknowledged_ms.get(member.name, 0.0)
        added_ms = self.added_ms.get(member.name, self.now_ms)
        return self.now_ms - max(heard_ms, added_ms)

    def silent_voters(self, members):
        silent = {
            m.name: self.silent_ms(m)
            for m in members
            if m.voter and m.name != self.leader.name
        }
        lost = [n for n in silent if silent[n] > TIMING.lost_after_ms]
        return sorted(lost, key=lambda name: (-silent[name], name))

    def change_to(self, members):
        current = self.membership(self.leader).current
        if members != current:
            self.leader.log.append(Entry(self.term, members))
            return True
        return False

    def may_change(self):
        leader = self.leader
        return self.membership(leader).is_change_complete(leader.commit)

    def admit(self):
        members = self.membership(self.leader).current
        for member in members:
            host = self.hosts[member.name]
            if (
                not self.runs(host)
                or host.incarnation == member.incarnation
                or not self.may_change()
            ):
                continue
            if member.voter:
                changed = tuple(
                    Member(m.name, m.address, host.incarnation)
                    if m is member
                    else m
                    for m in members
                )
            else:
                changed = admit_learner(
                    members,
                    member.name,
                    host.incarnation,
                    self.wanted,
                    self.silent_voters(members),
                )
            if self.change_to(changed):
                return

    def reconcile(self):
        self.announce()
        members = self.membership(self.leader).current
        change = next_change(members, self.addresses, self.deleted)
        if change is None:
            name = surplus_voter(
                members,
                self.configured_voters,
                self.silent_voters(members),
                self.leader.name,
            )
            change = MemberChange('demote', name) if name else None
        if change is not None:
            if self.may_change():
                self.change_to(changed_members(members, change))
            return
        name = lost_learner([members], self.silent_ms)
        if name in self.addresses:
            del self.addresses[name]
            self.deleted.add(name)

    def announce(self):
        for host in self.hosts.values():
            if not self.runs(host) or host.name in self.addresses:
                continue
            if self.now_ms - host.announced_ms >= ANNOUNCE_MS:
                self.addresses[host.name] = host.name
                self.deleted.discard(host.name)

    def write(self):
        """Commit one entry; return whether the group could."""
        if self.leader is None:
            return False
        self.written += 1
        self.leader.log.append(Entry(self.term, write=self.written))
        before = len(self.leader.log)
        self.step()
        return self.leader is not None and self.leader.commit >= before

    def borne(self):
        """Return how many more losses the group bears."""
        if self.leader is None:
            return -1
        sets = self.membership(self.leader).active_member_sets()
        return losses_borne(sets, self.answers)

    # What may happen to the hosts.

    def counted_lost(self):
        return sum(
            host.state != 'gone_done'
            and (host.state != 'up' or self.now_ms < host.counts_until_ms)
            for host in self.hosts.values()
        )

    def lose(self, host):
        self.note(f'{host.name} is lost')
        host.state = 'gone'

    def succeed(self, lost):
        """Start an empty host in the place of a lost one."""
        host = self.new_host()
        self.note(f'{host.name} starts for {lost.name}')
        host.counts_until_ms = self.now_ms + CATCH_UP_MS
        lost.state = 'gone_done'
        return host

    def stop(self, host, is_last_try):
        """
        Stop a host for good, once a waiting learner has taken its place.

        :return: whether it has stopped.
        """
        if not self.hand_over_place(host) and not is_last_try:
            return False
        self.note(f'{host.name} stops')
        host.state = 'gone_done'
        if self.leader is host:
            self.vacant_since_ms = self.now_ms
            self.elect()
            if self.leader is host:
                self.leader = None
        return True

    def hand_over_place(self, host):
        if self.leader is None:
            return False
        members = self.membership(self.leader).current
        learners = [
            (m.name, self.hosts[m.name].incarnation)
            for m in members
            if not m.voter and self.runs(self.hosts[m.name])
        ]
        changed = hand_over_place(members, host.name, learners)
        if changed == members:
            return True
        if not self.may_change():
            return False
        self.change_to(changed)
        self.replicate()
        return self.leader is not None and self.may_change()

    def suspend(self, host, state):
        self.note(f'{host.name} is {state}')
        host.state = state

    def resume(self, host):
        self.note(f'{host.name} is back')
        host.state = 'up'
        host.announced_ms = self.now_ms
        host.counts_until_ms = self.now_ms + CATCH_UP_MS

    def lose_disk(self, host):
        self.note(f'{host.name} comes back without its disk')
        self.lives += 1
        host.incarnation = f'life-{self.lives}'
        host.log = []
        host.commit = 0

    def note(self, text):
        self.events.append(f'{self.now_ms / 1000:.1f} {text}')

    def power_off(self, wiped):
        """Stop all hosts at once; some come back without their disks."""
        self.leader = None
        self.vacant_since_ms = self.now_ms
        for host in self.hosts.values():
            if host.state == 'up':
                host.ready_ms = self.now_ms + START_MS
                if host in wiped:
                    self.lose_disk(host)
