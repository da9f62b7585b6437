from contextlib import contextmanager
from dataclasses import replace

import gevent
import pytest
from replica_net import QUICK
from replica_net import Net
from replica_net import eventually

from damasklanding.errors import NotLeader
from damasklanding.errors import TooLarge
from damasklanding.errors import Unavailable


@contextmanager
def net(folder, **options):
    made = Net(folder, **options)
    try:
        yield made
    finally:
        made.close()


def others(fleet, name):
    return sorted(set(fleet.incarnations) - {name})


def test_accepted_entries_survive_the_loss_of_the_leader(tmp_path):
    with net(tmp_path) as fleet:
        for number in range(5):
            leader = fleet.leader()
            assert fleet.propose(leader.name, b'%d' % number)
            fleet.kill(leader.name)
            fleet.settle_one(b'after-%d' % number)
            fleet.start(leader.name)
        fleet.converge()
        fleet.check_converged()


def test_proposal_in_flight_when_the_leader_is_killed(tmp_path):
    with net(tmp_path) as fleet:
        leader = fleet.leader()
        jobs = [
            gevent.spawn(fleet.propose, leader.name, b'x%d' % number)
            for number in range(50)
        ]
        gevent.sleep(0.002)
        fleet.kill(leader.name)
        gevent.joinall(jobs)
        fleet.settle_one(b'next')
        fleet.converge()
        fleet.check_converged()


def test_isolated_leader_commits_nothing_and_steps_down(tmp_path):
    with net(tmp_path) as fleet:
        leader = fleet.leader()
        fleet.cut.add(leader.name)
        assert fleet.propose(leader.name, b'lost', 300) is None
        assert leader.leadership is None
        assert leader.confirmed_age_ms() == float('inf')
        fleet.settle_one(b'kept')
        fleet.converge()
        fleet.check_converged()
        assert b'lost' not in fleet.leader().state_machine.payloads()


def test_proposal_on_its_way_to_a_silent_leader_reaches_the_next(tmp_path):
    with net(tmp_path) as fleet:
        leader = fleet.leader()
        follower = others(fleet, leader.name)[0]
        fleet.silent.add(leader.name)
        assert fleet.propose(follower, b'kept', 2_500)
        fleet.converge()
        fleet.check_converged()


def test_lost_answer_is_never_reported_as_not_proposed(tmp_path):
    with net(tmp_path) as fleet:
        leader = fleet.leader()
        follower, other = others(fleet, leader.name)
        fleet.silent.add(leader.name)
        fleet.cut.add(other)
        with pytest.raises(Unavailable) as caught:
            fleet.replicas[follower].propose(b'maybe', 300)
        assert not isinstance(caught.value, NotLeader)


def test_isolated_host_disturbs_nobody_when_it_returns(tmp_path):
    with net(tmp_path) as fleet:
        leader = fleet.leader()
        term = leader.term
        lost = others(fleet, leader.name)[0]
        fleet.cut.add(lost)
        gevent.sleep(0.3)
        fleet.cut.clear()
        gevent.sleep(0.2)
        assert fleet.leader() is leader
        assert leader.term == term
        assert fleet.replicas[lost].term == term


def test_planned_stop_hands_leadership_over_at_once(tmp_path):
    with net(tmp_path) as fleet:
        leader = fleet.leader()
        fleet.propose(leader.name, b'x')
        leader.stop()
        replica = fleet.replicas.pop(leader.name)
        eventually(
            lambda: any(r.leadership for r in fleet.replicas.values()), 5
        )
        assert fleet.leader().term == leader.term + 1
        replica.journal.close()


def test_host_that_lost_its_disk_does_not_vote_until_readmitted(tmp_path):
    with net(tmp_path) as fleet:
        leader = fleet.leader()
        behind, wiped = others(fleet, leader.name)
        fleet.cut.add(behind)
        assert fleet.propose(leader.name, b'kept')
        fleet.kill(leader.name)
        fleet.wipe(wiped)
        fleet.start(wiped)
        fleet.cut.clear()
        gevent.sleep(0.4)
        assert fleet.propose(behind, b'wrong', 100) is None
        assert fleet.replicas[behind].leadership is None
        fleet.start(leader.name)
        fleet.converge()
        fleet.check_converged()


def test_second_host_lost_right_after_a_repair_loses_nothing(tmp_path):
    with net(tmp_path) as fleet:
        leader = fleet.leader()
        behind, wiped = others(fleet, leader.name)
        fleet.cut.add(behind)
        for number in range(40):
            assert fleet.propose(leader.name, b'%d' % number)
        fleet.wipe(wiped)
        fleet.cut.clear()
        fleet.start(wiped)
        eventually(fleet.admitted)
        fleet.wipe(fleet.leader().name)
        fleet.settle_one(b'after')
        fleet.check()
        fleet.converge()
        fleet.check_converged()


def test_wiped_host_catches_up_by_snapshot(tmp_path):
    with net(tmp_path) as fleet:
        leader = fleet.leader()
        wiped = others(fleet, leader.name)[0]
        for number in range(100):
            fleet.settle_one(b'%d' % number)
        eventually(lambda: fleet.leader().journal.base_index > 0)
        fleet.wipe(wiped)
        fleet.start(wiped)
        eventually(fleet.admitted)
        fleet.converge()
        fleet.check_converged()


def test_all_hosts_restart_at_once(tmp_path):
    with net(tmp_path) as fleet:
        for number in range(60):
            fleet.settle_one(b'%d' % number)
        for _ in range(3):
            for name in list(fleet.replicas):
                fleet.kill(name)
            fleet.heal()
            fleet.settle_one(b'again')
        fleet.converge()
        fleet.check_converged()


@pytest.mark.parametrize('slow_ms', [0, 15])
def test_two_proposers_with_delays_and_repeats(tmp_path, slow_ms):
    with net(tmp_path) as fleet:
        fleet.slow_ms = slow_ms
        fleet.repeats = True
        fleet.leader()
        jobs = [
            gevent.spawn(fleet.propose, name, b'%s-%d' % (name.encode(), n))
            for name in ('a', 'b', 'c')
            for n in range(30)
        ]
        gevent.joinall(jobs)
        fleet.converge()
        fleet.check_converged()


def test_proposal_too_large_to_replicate_is_refused(tmp_path):
    with net(tmp_path) as fleet:
        leader = fleet.leader()
        with pytest.raises(TooLarge):
            leader.propose(bytes(1_048_577))
        assert leader.propose(bytes(1_048_576))
        fleet.converge()
        fleet.check()


@pytest.mark.parametrize('seed', range(4))
def test_hand_over_under_load_needs_no_timeout(tmp_path, seed):
    with net(tmp_path, seed=seed) as fleet:
        leader = fleet.leader()
        fleet.slow_ms = 4
        patient = replace(
            fleet.timing, election_min_ms=3_000, election_max_ms=4_000
        )
        for replica in fleet.replicas.values():
            replica.timing = patient
        gevent.sleep(0.05)

        def keep_proposing():
            for number in range(10_000):
                gevent.spawn(fleet.propose, leader.name, b'%d' % number)
                gevent.sleep(0.001)

        load = gevent.spawn(keep_proposing)
        gevent.sleep(0.03)
        leader.stop()
        fleet.replicas.pop(leader.name)
        eventually(
            lambda: any(r.leadership for r in fleet.replicas.values()), 2
        )
        load.kill()
        leader.journal.close()
        fleet.converge()
        fleet.check_converged()


@pytest.mark.parametrize('seed', range(4))
def test_election_ends_however_slow_the_disks_are(tmp_path, seed):
    slow_ms = 3 * QUICK.election_max_ms
    with net(tmp_path, seed=seed, slow_vote_ms=slow_ms) as fleet:
        fleet.settle_one(b'slow')
        assert fleet.leader().term <= 12
        fleet.kill(fleet.leader().name)
        fleet.settle_one(b'again')
        fleet.check()
