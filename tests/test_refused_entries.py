"""Committed entries and orders that can not be applied."""

import http.client

from control_cluster import cluster
from control_cluster import envelope
from control_cluster import eventually
from control_cluster import propose
from gevent import socket
import msgspec
import pytest
from replica_net import ListStateMachine
from test_orders import operator_api
from test_replica import replica_network

from damasklanding.fleet.commands import ExpireBackends
from damasklanding.fleet.commands import HoldBackend
from damasklanding.fleet.commands import PutControlHost
from damasklanding.fleet.commands import PutProfile
from damasklanding.fleet.commands import RegisterBackend
from damasklanding.fleet.commands import SetDataCentre
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import ControlHost
from damasklanding.fleet.resources import DataCentre
from damasklanding.fleet.resources import Profile
from damasklanding.fleet.state import FleetState
from damasklanding.node.view import FleetView

RESTART_MS = 5_000

#: Commands that no client of this version sends.
MALFORMED = {
    'data centre': SetDataCentre(name='Kushiro', out=True),
    'long name': SetDataCentre(name='k' * 64, out=True),
    'empty name': SetDataCentre(name='', out=True),
    'region': SetDataCentre(name='kushiro', region='Hokkaido East'),
    'profile': PutProfile(profile=Profile(name='Desk')),
    'backend server': RegisterBackend(
        backend=Backend(
            name='n 1',
            instance='i',
            data_centre='Kushiro',
            peer_address='nowhere',
        )
    ),
    'control host': PutControlHost(
        control_host=ControlHost(name='c1', peer_address='nowhere')
    ),
    'hold': HoldBackend(name='N 1', held_out=True),
    'expiry': ExpireBackends(instances={'N 1': ''}),
}


def order(address, method, path):
    """Return status and body of an order."""
    connection = http.client.HTTPConnection(*address)
    connection.sock = socket.create_connection(address)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


@pytest.mark.parametrize('kind', MALFORMED)
def test_entry_that_can_not_be_applied_ends_no_control_host(tmp_path, kind):
    """Guards the control plane against one malformed committed entry."""
    with cluster(tmp_path) as fleet:
        fleet.start_all()
        client = fleet.client()
        propose(client, envelope(MALFORMED[kind], 'malformed'))
        good = SetDataCentre(name='kushiro', out=True)
        assert not propose(client, envelope(good, 'good')).error
        hosts = list(fleet.hosts.values())
        views = [host.view for host in hosts]
        eventually(lambda: all(v.data_centre_out('kushiro') for v in views))
        for name, _ in fleet.addresses:
            fleet.kill(name)
        fleet.start_all()
        back = SetDataCentre(name='kushiro', out=False)
        outcome = propose(
            fleet.client(), envelope(back, 'back'), timeout_ms=RESTART_MS
        )
        assert not outcome.error


def test_error_in_a_state_machine_refuses_the_entry_alone(
    tmp_path, monkeypatch
):
    applied = ListStateMachine.apply

    def apply(self, entry):
        if entry.payload == b'poison':
            raise KeyError('poison')
        return applied(self, entry)

    monkeypatch.setattr(ListStateMachine, 'apply', apply)
    monkeypatch.setattr(
        ListStateMachine, 'refusal', lambda *_: b'refused', raising=False
    )
    with replica_network(tmp_path) as network:
        leader = network.leader()
        assert leader.propose(b'poison', 2_500) == b'refused'
        assert network.propose(leader.name, b'next') is not None
        network.converge()
        network.check_converged()


@pytest.mark.parametrize('method', ['POST', 'DELETE'])
@pytest.mark.parametrize('name', ['Kushiro', 'k' * 64, 'kushiro%20', '-a'])
def test_order_for_a_data_centre_that_can_not_exist_is_refused(
    tmp_path, method, name
):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        hosts = leader.view.state.all('control_host')
        eventually(lambda: len(hosts) == len(fleet.hosts))
        last = leader.config.journal.last_index
        with operator_api(leader) as address:
            status, body = order(address, method, f'/evacuation/{name}')
            assert status == 400
            assert b'kushiro' in body
            assert leader.config.journal.last_index == last
            assert order(address, method, '/evacuation/kushiro')[0] == 200


def test_data_centre_whose_hosts_are_all_off_is_evacuated(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        with operator_api(leader) as address:
            assert order(address, 'POST', '/evacuation/obihiro')[0] == 200
        assert leader.view.data_centre_out('obihiro')


def test_malformed_change_leaves_a_state_as_it_was():
    state = FleetState()
    good = Change.put('data_centre', DataCentre(name='kushiro', out=True))
    malformed = Change('data_centre', 'Kushiro', b'\x81\xa4name\xa7Kushiro')
    with pytest.raises(msgspec.ValidationError):
        state.apply_changes(1, 1, [good, malformed])
    assert state.position() == (0, 0)
    assert not state.all('data_centre')
    with pytest.raises(msgspec.ValidationError):
        state.replace(1, 1, [malformed])
    assert state.apply_changes(1, 1, [good])


def test_failing_listener_keeps_nothing_from_the_others():
    view = FleetView()
    heard = []

    def fail(_changes):
        raise KeyError('x')

    view.subscribe(fail)
    view.subscribe(heard.extend)
    change = Change.put('data_centre', DataCentre(name='kushiro', out=True))
    assert view.apply(1, 1, [change])
    assert heard == [change]
    assert view.data_centre_out('kushiro')
