from control_cluster import cluster
from control_cluster import envelope
from control_cluster import eventually
from control_cluster import propose
import gevent
import pytest

from damasklanding.control.leases import LEASE_MS
from damasklanding.control.leases import REPORT_INTERVAL_MS
from damasklanding.control.leases import REROUTE_MS
from damasklanding.control.leases import LeaseTable
from damasklanding.errors import Unavailable
from damasklanding.fleet.commands import RegisterBackend
from damasklanding.fleet.commands import SetDataCentre
from damasklanding.fleet.resources import Backend


def backend(name, instance='i1', **fields):
    return Backend(
        name=name,
        instance=instance,
        data_centre='kushiro',
        peer_address='10.0.0.1:7400',
        **fields,
    )


def run_until_lapse(table, backends, until_ms, renewals=(), start_ms=0):
    """
    Check the leases once per report interval until one lapses.

    :param renewals: tuples of reporter, name, instance and the time of the
        last renewal in milliseconds.
    :return: time of the first check that found lapsed leases, and these
        leases; None if there was none.
    """
    for now_ms in range(start_ms, until_ms + 1, REPORT_INTERVAL_MS):
        for reporter, name, instance, last_ms in renewals:
            if now_ms <= last_ms:
                names = [name] if name else []
                instances = [instance] if name else []
                table.renew(reporter, names, instances, now_ms)
        lapsed = table.lapsed(backends, now_ms)
        if lapsed:
            return now_ms, lapsed
    return None


BACKENDS = {'n1': backend('n1'), 'n2': backend('n2')}


def test_silent_node_lapses_after_its_lease_and_not_before():
    renewals = [('c1', 'n1', 'i1', 99_000), ('c1', 'n2', 'i1', 3_000)]
    when_ms, lapsed = run_until_lapse(
        LeaseTable(1, 0), BACKENDS, 10_000, renewals
    )
    assert lapsed == {'n2': 'i1'}
    assert (
        3_000 + LEASE_MS < when_ms <= 3_000 + LEASE_MS + 2 * REPORT_INTERVAL_MS
    )


def test_new_leader_waits_a_whole_lease():
    when_ms, lapsed = run_until_lapse(LeaseTable(1, 0), BACKENDS, 10_000)
    assert set(lapsed) == {'n1', 'n2'}
    assert when_ms > LEASE_MS


def test_old_instance_does_not_renew_the_new_one():
    backends = {'n1': backend('n1', 'i2')}
    renewals = [('c1', 'n1', 'i1', 99_000)]
    assert run_until_lapse(LeaseTable(1, 0), backends, 1_000, renewals) is None
    table = LeaseTable(1, 0)
    assert table.lapsed(backends, 0) == {}


def test_nodes_of_a_silent_control_host_get_time_to_move():
    renewals = [('c2', 'n1', 'i1', 3_000), ('c1', 'n2', 'i1', 99_000)]
    when_ms, lapsed = run_until_lapse(
        LeaseTable(1, 0), BACKENDS, 20_000, renewals
    )
    assert lapsed == {'n1': 'i1'}
    assert when_ms > 3_000 + LEASE_MS + REROUTE_MS
    moved = [*renewals, ('c1', 'n1', 'i1', 99_000)]
    assert run_until_lapse(LeaseTable(1, 0), BACKENDS, 20_000, moved) is None


def test_pause_of_the_leader_counts_against_nobody():
    table = LeaseTable(1, 0)
    renewals = [('c1', 'n1', 'i1', 3_000), ('c1', 'n2', 'i1', 3_000)]
    assert run_until_lapse(table, BACKENDS, 3_000, renewals) is None
    assert table.lapsed(BACKENDS, 60_000) == {}
    when_ms, _ = run_until_lapse(table, BACKENDS, 70_000, (), 60_250)
    assert when_ms >= 60_000 + LEASE_MS - REPORT_INTERVAL_MS


def test_all_hosts_confirm_and_silent_nodes_are_removed(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        client = fleet.client()
        for name in ('n1', 'n2'):
            command = RegisterBackend(backend=backend(name))
            propose(client, envelope(command, f'register-{name}'))
        follower = next(h for h in fleet.hosts.values() if h is not leader)

        def send_heartbeats():
            while True:
                follower.leases.record_heartbeat('n1', 'i1')
                gevent.sleep(0.1)

        heartbeats = gevent.spawn(send_heartbeats)
        for host in fleet.hosts.values():
            eventually(lambda host=host: host.view.age_ms() < 2_000)
        eventually(lambda: leader.view.state.get('backend', 'n2') is None)
        assert leader.view.state.get('backend', 'n1') is not None
        shards = leader.view.state.all('budget_shard').values()
        assert {shard.owner for shard in shards} == {'n1'}
        heartbeats.kill()


def test_read_right_after_an_election_finds_a_proof(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        for host in fleet.hosts.values():
            # Simulate that no report was made since the leader was elected.
            host.leases.stop()
            host.view._confirmed_at_ms = None
        eventually(lambda: leader.config.confirmed_age_ms() < 1_000)
        for host in fleet.hosts.values():
            with pytest.raises(Unavailable, match='no whole configuration'):
                host.current_document()


@pytest.mark.parametrize('cut', ['leader', 'follower'])
def test_isolated_host_neither_claims_freshness_nor_commits(tmp_path, cut):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        follower = next(h for h in fleet.hosts.values() if h is not leader)
        lost = leader if cut == 'leader' else follower
        eventually(lambda: lost.view.age_ms() < 1_000)
        fleet.isolate(lost.settings.name)
        cut_at_ms = lost.view.now_ms()
        changed = propose(
            fleet.client(), envelope(SetDataCentre(name='d'), 'r1')
        )
        assert changed.error == ''
        eventually(
            lambda: (
                lost.view.now_ms() - cut_at_ms > 400
                and lost.config.confirmed_age_ms() == float('inf')
            )
        )
        # Nothing that arrives after the isolation may confirm the view.
        assert lost.view.age_ms() >= lost.view.now_ms() - cut_at_ms - 50
        assert lost.view.state.get('data_centre', 'd') is None
        fleet.rejoin(lost.settings.name)
        eventually(lambda: lost.view.state.get('data_centre', 'd'))
        eventually(lambda: lost.view.age_ms() < 1_000)
