from control_cluster import cluster
from control_cluster import envelope
from control_cluster import eventually
from control_cluster import propose
import gevent
import pytest

from damasklanding.errors import Unavailable
from damasklanding.fleet.commands import SetDataCentre


@pytest.mark.parametrize('count', [1, 3])
def test_change_is_accepted_and_applied_on_all_hosts(tmp_path, count):
    with cluster(tmp_path, count) as fleet:
        fleet.start_all()
        sent = envelope(SetDataCentre(name='obihiro', out=True), 'r1')
        outcome = propose(fleet.client(), sent)
        assert outcome.error == ''
        fleet.wait_until_converged()
        for host in fleet.hosts.values():
            assert host.view.data_centre_out('obihiro')
            assert host.view.state.revision >= outcome.revision


def test_client_moves_on_when_the_leader_stops(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        client = fleet.client()
        first = propose(client, envelope(SetDataCentre(name='dar-a'), 'r1'))
        fleet.stop(leader.settings.name)
        second = propose(client, envelope(SetDataCentre(name='dar-b'), 'r2'))
        assert second.revision > first.revision


def test_client_reports_that_nothing_ran_where_no_host_listens(tmp_path):
    with cluster(tmp_path) as fleet:
        fleet.start_all()
        client = fleet.client()
        for name in list(fleet.hosts):
            fleet.stop(name)
        with pytest.raises(Unavailable, match='it did not run'):
            propose(client, envelope(SetDataCentre(name='dar-a'), 'r1'), 300)


def test_resend_after_a_lost_answer_is_applied_once(tmp_path):
    with cluster(tmp_path) as fleet:
        fleet.start_all()
        client = fleet.client()
        sent = envelope(SetDataCentre(name='dar-a'), 'r1', expected=0)
        jobs = [gevent.spawn(propose, fleet.client(), sent) for _ in range(4)]
        gevent.joinall(jobs, raise_error=True)
        outcomes = [job.value for job in jobs] + [propose(client, sent)]
        assert len(set(outcomes)) == 1
        assert outcomes[0].error == ''
        assert len(fleet.leader().history()) == 1


def test_client_learns_of_hosts_that_have_joined_later(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        eventually(lambda: len(leader.view.state.all('control_host')) == 3)
        gone = (('c9', '127.0.0.1:1'),)
        client = fleet.client(gone, leader.view)
        sent = envelope(SetDataCentre(name='dar-a'), 'r1')
        assert propose(client, sent).error == ''
