"""Disks of control hosts that refuse to write for a while."""

from contextlib import contextmanager
import random

from faulty_disk import FaultyDisk
import gevent
import pytest
from replica_net import ReplicaNetwork
from replica_net import eventually

from damasklanding.control.incarnation import choose_incarnation
from damasklanding.control.incarnation import stored_incarnation
from damasklanding.control.journal import Journal
from damasklanding.control.journal import Snapshot
from damasklanding.control.journal import Vote
from damasklanding.control.members import BOOTSTRAP_INCARNATION
from damasklanding.errors import Unavailable
from damasklanding.messages import LogEntry
from damasklanding.messages import VoteRequest

#: Longest time from the return of a disk until it is written again.
RETURN_LIMIT_S = 2.0


@contextmanager
def replica_network(folder, **options):
    network = ReplicaNetwork(folder, **options)
    try:
        with gevent.Timeout(20):
            yield network
    finally:
        network.close()


@contextmanager
def journal_on(folder, disk):
    journal = Journal(str(folder / 'config'), sync_file=disk.sync)
    try:
        with gevent.Timeout(10):
            yield journal
    finally:
        journal.close(flush=False)


def entry(index, term=1):
    return LogEntry(term, index, 'command', b'%d' % index)


def entries_of(journal):
    return journal.entries_from(journal.base_index + 1, 1_000, 1 << 30)


def test_disks_that_fail_in_turn_leave_every_replica_writing(tmp_path):
    # Guards against a control plane that ends once each disk has failed.
    with replica_network(tmp_path) as network:
        for number, name in enumerate(sorted(network.replicas) * 2):
            network.disks[name].failing = True
            network.propose_until_committed(b'during-%d' % number)
            network.disks[name].failing = False
            network.propose_until_committed(b'after-%d' % number)
        network.converge()
        network.check_converged()


def test_all_disks_that_fail_at_once_stop_the_group_only_meanwhile(tmp_path):
    with replica_network(tmp_path) as network:
        network.propose_until_committed(b'before')
        for disk in network.disks.values():
            disk.failing = True
        for name in sorted(network.replicas):
            assert network.propose(name, b'meanwhile') is None
        for disk in network.disks.values():
            disk.failing = False
        network.propose_until_committed(b'after', RETURN_LIMIT_S)
        network.converge()
        network.check_converged()


def test_leader_whose_disk_fails_lets_another_lead(tmp_path):
    with replica_network(tmp_path) as network:
        first = network.leader()
        network.disks[first.name].failing = True
        network.propose_until_committed(b'x', RETURN_LIMIT_S)
        eventually(lambda: network.leader() is not first, RETURN_LIMIT_S)
        assert first.leadership is None


def test_host_whose_disk_fails_neither_votes_nor_acknowledges(tmp_path):
    with replica_network(tmp_path) as network:
        leader = network.leader()
        failing, other = (
            replica
            for replica in network.replicas.values()
            if replica is not leader
        )
        network.disks[failing.name].failing = True
        network.isolated_hosts.add(other.name)
        assert network.propose(leader.name, b'one disk of three') is None
        request = VoteRequest(
            'config', failing.term + 9, other.name, 1_000, 1_000, False, ''
        )
        with pytest.raises(Unavailable, match='no space left'):
            failing.handlers()[VoteRequest](None, request)
        network.disks[failing.name].failing = False
        network.propose_until_committed(b'two', RETURN_LIMIT_S)


def test_log_does_not_grow_in_memory_while_the_disk_fails(tmp_path):
    with replica_network(tmp_path) as network:
        failing = next(
            replica
            for replica in network.replicas.values()
            if replica is not network.leader()
        )
        network.disks[failing.name].failing = True
        for number in range(40):
            network.propose_until_committed(b'%d' % number)
        assert failing.journal.last_index < 20
        network.disks[failing.name].failing = False
        network.converge()
        network.check_converged()


def test_entries_of_a_failed_sync_are_written_to_a_new_file(tmp_path):
    # A later sync of the same file would succeed and prove nothing.
    disk = FaultyDisk()
    with journal_on(tmp_path, disk) as journal:
        journal.append([entry(1)])
        journal.sync()
        disk.failing = True
        journal.append([entry(2)])
        with pytest.raises(Unavailable, match='no space left'):
            journal.sync()
        assert journal.durable_index == 1
        disk.failing = False
        eventually(lambda: journal.error is None, RETURN_LIMIT_S)
        journal.append([entry(3)])
        journal.sync()
    with journal_on(tmp_path, FaultyDisk()) as journal:
        assert entries_of(journal) == [entry(1), entry(2), entry(3)]


def test_disk_that_refuses_now_and_then_loses_nothing(tmp_path):
    disk = FaultyDisk()
    rng = random.Random(1)
    disk.refuses = lambda: rng.random() < 0.2
    acknowledged = []
    with journal_on(tmp_path, disk) as journal:
        for index in range(1, 31):
            eventually(lambda: journal.error is None, RETURN_LIMIT_S)
            journal.append([entry(index)])
            journal.vote = Vote(index, 'a')
            try:
                journal.sync()
                journal.sync_vote()
            except Unavailable:
                continue
            acknowledged.append(index)
    assert len(acknowledged) >= 5
    with journal_on(tmp_path, FaultyDisk()) as journal:
        kept = [e.index for e in entries_of(journal)]
        assert set(acknowledged) <= set(kept)
        assert journal.vote.term >= acknowledged[-1]


def test_vote_that_was_not_stored_is_stored_once_the_disk_is_back(tmp_path):
    disk = FaultyDisk()
    with journal_on(tmp_path, disk) as journal:
        disk.failing = True
        journal.vote = Vote(7, 'b')
        with pytest.raises(Unavailable):
            journal.sync_vote()
        disk.failing = False
        eventually(lambda: journal.error is None, RETURN_LIMIT_S)
        journal.sync_vote()
    with journal_on(tmp_path, FaultyDisk()) as journal:
        assert journal.vote == Vote(7, 'b')


def test_snapshot_that_was_not_stored_leaves_log_and_room(tmp_path):
    disk = FaultyDisk()
    with journal_on(tmp_path, disk) as journal:
        journal.append([entry(index) for index in range(1, 10)])
        journal.sync()
        disk.failing = True
        with pytest.raises(Unavailable):
            journal.save_snapshot(Snapshot(5, 1, b'', b'state'))
        assert journal.snapshot.index == 0
        # The journal tries to write its log to such a file all the while.
        assert not list(tmp_path.glob('config/snapshot*.new'))
        disk.failing = False
        eventually(lambda: journal.error is None, RETURN_LIMIT_S)
        assert not list(tmp_path.glob('config/*.new'))
        journal.save_snapshot(Snapshot(5, 1, b'', b'state'))
        assert journal.base_index == 5


def test_restart_while_the_disk_is_full_serves_once_it_is_back(tmp_path):
    disk = FaultyDisk()
    with journal_on(tmp_path, disk) as journal:
        journal.vote = Vote(3, 'a')
        journal.sync_vote()
        journal.append([entry(1)])
        journal.sync()
    (tmp_path / 'config' / 'segment-000000000002.new').write_bytes(b'part')
    disk.failing = True
    with journal_on(tmp_path, disk) as journal:
        assert journal.vote == Vote(3, 'a')
        assert journal.durable_index == 0
        with pytest.raises(Unavailable):
            journal.sync_vote()
        disk.failing = False
        eventually(lambda: journal.error is None, RETURN_LIMIT_S)
        assert journal.durable_index == 1
        journal.sync_vote()
        assert not list(tmp_path.glob('config/*.new'))


def test_first_start_on_a_full_disk_waits_for_room(tmp_path):
    disk = FaultyDisk()
    disk.failing = True
    with journal_on(tmp_path, disk) as journal:
        disk.failing = False
        eventually(lambda: journal.error is None, RETURN_LIMIT_S)
        journal.append([entry(1)])
        journal.sync()
    with journal_on(tmp_path, FaultyDisk()) as journal:
        assert entries_of(journal) == [entry(1)]


def test_incarnation_is_stored_once_the_disk_is_back(tmp_path, monkeypatch):
    disk = FaultyDisk()
    disk.failing = True
    monkeypatch.setattr('os.fsync', disk.sync)
    gevent.spawn_later(0.2, setattr, disk, 'failing', False)
    with gevent.Timeout(RETURN_LIMIT_S):
        chosen = choose_incarnation(str(tmp_path), [], [], None, True)
    assert chosen == BOOTSTRAP_INCARNATION
    assert stored_incarnation(str(tmp_path)) == BOOTSTRAP_INCARNATION
