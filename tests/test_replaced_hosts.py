"""
Control hosts that are replaced by empty ones, in fleets that find their
hosts by seeds.
"""

import os
import random
import time

from control_cluster import Timing
from control_cluster import envelope
from control_cluster import eventually
from control_cluster import propose
from control_cluster import seeded_cluster
import gevent
import pytest

from damasklanding.errors import DamasklandingError
from damasklanding.fleet.commands import PutControlGroup
from damasklanding.fleet.commands import PutProfile
from damasklanding.fleet.resources import Profile

TIMING = Timing(heartbeat_ms=20, election_min_ms=120, election_max_ms=240)
#: `catchUp` of the users' deployments: how long after the start of a successor
#: the loss that it replaces still counts.
CATCH_UP_S = 4.0
SEEDS = int(os.environ.get('DAMASKLANDING_REPLACEMENT_SEEDS', '1'))


def write(fleet, number):
    """Write a profile; return whether it was confirmed."""
    command = PutProfile(profile=Profile(name='desk', weight=number))
    client = fleet.client()
    try:
        outcome = propose(client, envelope(command, f'write-{number}'), 2_000)
    except DamasklandingError:
        return False
    return not outcome.error


def weight(fleet):
    profile = fleet.leader().view.state.get('profile', 'desk')
    return profile.weight if profile else None


def lose_disks_with_all_hosts_down(fleet, lost):
    """Kill all hosts at once and start them again, some without disks."""
    names = list(fleet.hosts)
    for name in names:
        fleet.kill(name)
    for name in names:
        if name in lost:
            fleet.remove_disk(name)
        fleet.start(name, bootstrap=False)


@pytest.mark.parametrize(
    'lost,apart_s', [((4, 5), 0.0), ((1, 2), 0.0), ((4, 5), 0.6)]
)
def test_two_hosts_replaced_at_once_leave_a_group_that_bears_two_more_losses(
    tmp_path, lost, apart_s
):
    with seeded_cluster(tmp_path, 5, TIMING) as fleet:
        assert write(fleet, 1)
        for number in lost:
            fleet.kill(fleet.name_of(number))
            gevent.sleep(apart_s)
        gevent.sleep(2.0 - apart_s)
        for number in (6, 7):
            fleet.add(fleet.name_of(number))
            gevent.sleep(apart_s)
        gevent.sleep(CATCH_UP_S)
        assert write(fleet, 2)
        kept = [name for name in fleet.hosts if name != fleet.name_of(7)]
        lose_disks_with_all_hosts_down(fleet, kept[:2])
        eventually(fleet.has_leader, 8)
        assert weight(fleet) == 2
        eventually(lambda: write(fleet, 3), 8)


def voters(fleet):
    members = fleet.leader().config.membership.current
    return {member.name for member in members if member.voter}


def has_caught_up_learner(fleet):
    leadership = fleet.leader().config.leadership
    return leadership is not None and leadership.caught_up_learners()


def test_host_that_was_frozen_while_its_successor_came_waits_as_a_learner(
    tmp_path,
):
    with seeded_cluster(tmp_path, 5, TIMING) as fleet:
        leader = fleet.leader().settings.name
        cut = next(name for name in fleet.hosts if name != leader)
        fleet.isolate(cut)
        gevent.sleep(1.0)
        new = fleet.name_of(6)
        fleet.add(new)
        eventually(lambda: voters(fleet) == {*fleet.hosts} - {cut})
        gevent.sleep(2.6)
        fleet.rejoin(cut)

        def waits():
            members = fleet.leader().config.membership.current
            return cut in {m.name for m in members if not m.voter}

        eventually(waits)
        fleet.kill(new)
        eventually(lambda: voters(fleet) == set(fleet.hosts))
        assert write(fleet, 1)


def test_host_that_stops_hands_its_place_to_the_successor_that_waits(
    tmp_path,
):
    with seeded_cluster(tmp_path, 5, TIMING) as fleet:
        new = fleet.name_of(6)
        fleet.add(new)
        eventually(lambda: len(fleet.leader().config.membership.current) == 6)
        gevent.sleep(0.3)
        assert new not in voters(fleet)
        old = fleet.leader().settings.name
        fleet.stop(old)
        assert voters(fleet) == set(fleet.hosts)
        assert fleet.leader().config.losses() == (2, 2)


def test_leader_that_hands_its_place_over_lets_another_lead_at_once(tmp_path):
    slow = Timing(
        heartbeat_ms=20, election_min_ms=3_000, election_max_ms=6_000
    )
    with seeded_cluster(tmp_path, 5, slow) as fleet:
        new = fleet.name_of(6)
        fleet.add(new)
        eventually(lambda: has_caught_up_learner(fleet))
        fleet.stop(fleet.leader().settings.name)
        eventually(fleet.has_leader, 1.5)
        assert voters(fleet) == set(fleet.hosts)


def test_operators_set_how_many_hosts_vote(tmp_path):
    with seeded_cluster(tmp_path, 5, TIMING) as fleet:
        for number in (3, 5):
            command = PutControlGroup(name='control', voters=number)
            sent = envelope(command, f'voters-{number}')
            assert not propose(fleet.client(), sent).error
            eventually(lambda number=number: len(voters(fleet)) == number)
            losses = (number - 1) // 2
            eventually(
                lambda losses=losses: (
                    fleet.leader().config.losses() == (losses, losses)
                )
            )
        for name, number in (('control', 4), ('claims', 5)):
            command = PutControlGroup(name=name, voters=number)
            sent = envelope(command, f'{name}-{number}')
            assert propose(fleet.client(), sent).error == 'bad-input'


def test_loss_that_leaves_too_little_is_named(tmp_path, capsys):
    with seeded_cluster(tmp_path, 5, TIMING) as fleet:
        leader = fleet.leader()
        lost = next(n for n in fleet.hosts if n != leader.settings.name)
        eventually(lambda: leader.config.leadership.age_ms() > 3_000)
        fleet.kill(lost)
        text = (
            'config bears the loss of 1 more control hosts and should bear 2; '
            f'silent: {lost}'
        )
        lines = []

        def is_named():
            lines.append(capsys.readouterr().out)
            return text in ''.join(lines)

        eventually(is_named)


class Maintenance:
    """
    Replacements and short faults of control hosts, in random order.

    At most two hosts count as lost at a moment.

    :ivar lost_until: when each of the latest losses stops counting.
    """

    def __init__(self, fleet, seed):
        self.lost_until = []
        self.fleet = fleet
        self.luck = random.Random(seed)
        self.started = 5
        self.away = set()
        self.events = []

    def choose(self):
        return self.luck.choice(sorted(set(self.fleet.hosts) - self.away))

    def wait_until_at_most(self, count):
        while sum(until > time.monotonic() for until in self.lost_until) > (
            count
        ):
            gevent.sleep(0.05)

    def add(self):
        self.lost_until.append(time.monotonic() + CATCH_UP_S)
        self.started += 1
        name = self.fleet.name_of(self.started)
        self.fleet.add(name)
        return name

    def replace_lost(self):
        lost = self.choose()
        self.fleet.kill(lost)
        gevent.sleep(self.luck.choice((1.0, 2.0)))
        self.events.append(f'{lost} is lost, {self.add()} replaces it')

    def replace_planned(self):
        new = self.add()
        self.away.add(new)
        gevent.sleep(self.luck.choice((1.0, 2.0)))
        old = self.choose()
        self.fleet.stop(old)
        self.away.discard(new)
        self.events.append(f'{new} starts, then {old} stops')

    def cut(self):
        name = self.choose()
        self.away.add(name)
        self.fleet.isolate(name)
        gevent.sleep(self.luck.choice((0.5, 1.5, 4.0)))
        self.fleet.rejoin(name)
        self.lost_until.append(time.monotonic() + CATCH_UP_S)
        self.away.discard(name)
        self.events.append(f'{name} was cut off')

    def restart(self):
        name = self.choose()
        self.fleet.kill(name)
        self.fleet.start(name, bootstrap=False)
        self.lost_until.append(time.monotonic() + CATCH_UP_S)
        self.events.append(f'{name} was killed')

    def run(self):
        """Run one event after another, the next soon after the last."""
        kinds = (
            self.replace_lost,
            self.replace_planned,
            self.cut,
            self.restart,
        )
        for _ in range(5):
            self.wait_until_at_most(1)
            self.luck.choice(kinds)()
            gevent.sleep(self.luck.choice((0.0, 1.0, CATCH_UP_S)))
        if self.luck.random() < 0.5:
            self.wait_until_at_most(0)
            for name in (self.choose(), self.choose()):
                if name in self.fleet.hosts:
                    self.fleet.kill(name)
            gevent.sleep(1.0)
            while len(self.fleet.hosts) < 5:
                self.add()
            self.events.append('two are lost at once and replaced')


@pytest.mark.parametrize('seed', range(SEEDS))
def test_maintenance_in_any_order_leaves_a_group_that_bears_two_more_losses(
    tmp_path, seed
):
    with seeded_cluster(tmp_path, 5, TIMING) as fleet:
        maintenance = Maintenance(fleet, seed)
        maintenance.run()
        gevent.sleep(CATCH_UP_S)
        losses = fleet.leader().config.losses()
        assert losses == (2, 2), maintenance.events
        assert write(fleet, 1), maintenance.events
        lost = maintenance.luck.sample(sorted(fleet.hosts), 2)
        lose_disks_with_all_hosts_down(fleet, lost)
        eventually(fleet.has_leader, 8)
        assert weight(fleet) == 1, maintenance.events
        eventually(
            lambda: fleet.leader().config.losses() == (2, 2), CATCH_UP_S
        )
