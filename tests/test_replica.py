from contextlib import contextmanager
from dataclasses import replace

import gevent
import pytest
from replica_net import FAST_TIMING
from replica_net import ReplicaNetwork
from replica_net import eventually

from damasklanding.errors import NotLeader
from damasklanding.errors import TooLarge
from damasklanding.errors import Unavailable
from damasklanding.messages import AppendRequest


@contextmanager
def replica_network(folder, **options):
    network = ReplicaNetwork(folder, **options)
    try:
        yield network
    finally:
        network.close()


def others(network, name):
    return sorted(set(network.incarnations) - {name})


def test_accepted_entries_survive_the_loss_of_the_leader(tmp_path):
    with replica_network(tmp_path) as network:
        for number in range(5):
            leader = network.leader()
            assert network.propose(leader.name, b'%d' % number)
            network.kill(leader.name)
            network.propose_until_committed(b'after-%d' % number)
            network.start(leader.name)
        network.converge()
        network.check_converged()


def test_proposal_in_flight_when_the_leader_is_killed(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        greenlets = [
            gevent.spawn(network.propose, leader.name, b'x%d' % number)
            for number in range(50)
        ]
        gevent.sleep(0.002)
        network.kill(leader.name)
        gevent.joinall(greenlets)
        network.propose_until_committed(b'next')
        network.converge()
        network.check_converged()


def test_isolated_leader_commits_nothing_and_steps_down(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        network.isolated_hosts.add(leader.name)
        assert network.propose(leader.name, b'lost', 300) is None
        assert leader.leadership is None
        assert leader.confirmed_age_ms() == float('inf')
        network.propose_until_committed(b'kept')
        network.converge()
        network.check_converged()
        assert b'lost' not in network.leader().state_machine.payloads()


def test_proposal_on_its_way_to_a_silent_leader_reaches_the_next(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        follower = others(network, leader.name)[0]
        network.silent_hosts.add(leader.name)
        assert network.propose(follower, b'kept', 2_500)
        network.converge()
        network.check_converged()


def test_lost_answer_is_never_reported_as_not_proposed(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        follower, other = others(network, leader.name)
        network.silent_hosts.add(leader.name)
        network.isolated_hosts.add(other)
        with pytest.raises(Unavailable) as error_info:
            network.replicas[follower].propose(b'maybe', 300)
        assert not isinstance(error_info.value, NotLeader)


def test_isolated_host_disturbs_nobody_when_it_returns(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        term = leader.term
        lost = others(network, leader.name)[0]
        network.isolated_hosts.add(lost)
        gevent.sleep(0.3)
        network.isolated_hosts.clear()
        gevent.sleep(0.2)
        assert network.leader() is leader
        assert leader.term == term
        assert network.replicas[lost].term == term


def test_planned_stop_hands_leadership_over_at_once(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        network.propose(leader.name, b'x')
        leader.stop()
        replica = network.replicas.pop(leader.name)
        eventually(
            lambda: any(r.leadership for r in network.replicas.values()), 5
        )
        assert network.leader().term == leader.term + 1
        replica.journal.close()


def test_host_that_lost_its_disk_does_not_vote_until_readmitted(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        behind, wiped = others(network, leader.name)
        network.isolated_hosts.add(behind)
        assert network.propose(leader.name, b'kept')
        network.kill(leader.name)
        network.wipe(wiped)
        network.start(wiped)
        network.isolated_hosts.clear()
        gevent.sleep(0.4)
        assert network.propose(behind, b'wrong', 100) is None
        assert network.replicas[behind].leadership is None
        network.start(leader.name)
        network.converge()
        network.check_converged()


def test_second_host_lost_right_after_a_repair_loses_nothing(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        behind, wiped = others(network, leader.name)
        network.isolated_hosts.add(behind)
        for number in range(40):
            assert network.propose(leader.name, b'%d' % number)
        network.wipe(wiped)
        network.isolated_hosts.clear()
        network.start(wiped)
        eventually(network.all_admitted)
        network.wipe(network.leader().name)
        network.propose_until_committed(b'after')
        network.check()
        network.converge()
        network.check_converged()


def test_wiped_host_catches_up_by_snapshot(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        wiped = others(network, leader.name)[0]
        for number in range(100):
            network.propose_until_committed(b'%d' % number)
        eventually(lambda: network.leader().journal.base_index > 0)
        network.wipe(wiped)
        network.start(wiped)
        eventually(network.all_admitted)
        network.converge()
        network.check_converged()


def test_empty_host_gets_a_snapshot_where_few_entries_are_large(tmp_path):
    # Guards against an empty host that takes so long for the whole history
    # that further losses end the group.
    timing = replace(
        FAST_TIMING, snapshot_entries=4_096, snapshot_bytes=200_000
    )
    with replica_network(tmp_path, timing=timing) as network:
        leader = network.leader()
        wiped = others(network, leader.name)[0]
        for number in range(60):
            network.propose_until_committed(b'%d ' % number + bytes(20_000))
        network.wipe(wiped)
        received = []
        send = network.send

        def record(source, target, message, timeout_ms):
            if target == wiped and type(message) is AppendRequest:
                received.extend(len(e.payload) for e in message.entries)
            return send(source, target, message, timeout_ms)

        network.send = record
        network.start(wiped)
        eventually(network.all_admitted)
        network.converge()
        network.check_converged()
        # What the log may hold: the entries since the snapshot, those kept for
        # followers, and those that were added while it was taken.
        most_bytes = 1.25 * timing.snapshot_bytes + 2 * 20_100
        assert sum(received) <= most_bytes
        for replica in network.replicas.values():
            journal = replica.journal
            kept = journal.entries_from(journal.base_index + 1, 9_999, 1 << 40)
            kept_bytes = sum(len(entry.payload) for entry in kept)
            assert kept_bytes <= most_bytes


def test_all_hosts_restart_at_once(tmp_path):
    with replica_network(tmp_path) as network:
        for number in range(60):
            network.propose_until_committed(b'%d' % number)
        for _ in range(3):
            for name in list(network.replicas):
                network.kill(name)
            network.heal()
            network.propose_until_committed(b'again')
        network.converge()
        network.check_converged()


@pytest.mark.parametrize('slow_ms', [0, 15])
def test_two_proposers_with_delays_and_repeats(tmp_path, slow_ms):
    with replica_network(tmp_path) as network:
        network.max_delay_ms = slow_ms
        network.duplicate_messages = True
        network.leader()
        greenlets = [
            gevent.spawn(network.propose, name, b'%s-%d' % (name.encode(), n))
            for name in ('a', 'b', 'c')
            for n in range(30)
        ]
        gevent.joinall(greenlets)
        network.converge()
        network.check_converged()


def test_proposal_too_large_to_replicate_is_refused(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        with pytest.raises(TooLarge):
            leader.propose(bytes(1_048_577))
        assert leader.propose(bytes(1_048_576))
        network.converge()
        network.check()


@pytest.mark.parametrize('seed', range(4))
def test_hand_over_under_load_needs_no_timeout(tmp_path, seed):
    with replica_network(tmp_path, seed=seed) as network:
        leader = network.leader()
        network.max_delay_ms = 4
        long_timing = replace(
            network.timing, election_min_ms=3_000, election_max_ms=4_000
        )
        for replica in network.replicas.values():
            replica.timing = long_timing
        gevent.sleep(0.05)

        def keep_proposing():
            for number in range(10_000):
                gevent.spawn(network.propose, leader.name, b'%d' % number)
                gevent.sleep(0.001)

        load = gevent.spawn(keep_proposing)
        gevent.sleep(0.03)
        leader.stop()
        network.replicas.pop(leader.name)
        eventually(
            lambda: any(r.leadership for r in network.replicas.values()), 2
        )
        load.kill()
        leader.journal.close()
        network.converge()
        network.check_converged()


@pytest.mark.parametrize('seed', range(4))
def test_election_ends_however_slow_the_disks_are(tmp_path, seed):
    slow_ms = 3 * FAST_TIMING.election_max_ms
    with replica_network(
        tmp_path, seed=seed, vote_sync_delay_ms=slow_ms
    ) as network:
        network.propose_until_committed(b'slow')
        assert network.leader().term <= 12
        network.kill(network.leader().name)
        network.propose_until_committed(b'again')
        network.check()
