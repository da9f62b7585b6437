import os
import shutil

from control_cluster import cluster
from control_cluster import envelope
from control_cluster import eventually
from control_cluster import propose
import gevent
import pytest

from damasklanding.control.host import ControlHost
from damasklanding.control.members import BOOTSTRAP_INCARNATION
from damasklanding.control.members import Member
from damasklanding.control.members import MemberChange
from damasklanding.control.members import encode_change
from damasklanding.control.reconcile import next_change
from damasklanding.control.recovery import continue_alone
from damasklanding.errors import BadInput
from damasklanding.errors import CorruptStore
from damasklanding.errors import DamasklandingError
from damasklanding.errors import NotFound
from damasklanding.fleet.commands import DeleteResource
from damasklanding.fleet.commands import PutControlHost
from damasklanding.fleet.commands import PutProfile
from damasklanding.fleet.commands import SetDataCentre
from damasklanding.fleet.resources import ControlHost as ControlHostResource
from damasklanding.fleet.resources import Profile
from damasklanding.messages import StatusRequest


def change(fleet, number, client=None):
    command = PutProfile(profile=Profile(name='desk', weight=number + 1))
    sent = envelope(command, f'change-{number}')
    return propose(client or fleet.client(), sent)


def voters(host):
    return {
        member.name
        for member in host.config.membership.current
        if member.voter and member.incarnation
    }


def change_complete(host):
    return host.config.membership.is_change_complete(host.config.commit_index)


def wait_for_voters(fleet, *names):
    def settled():
        leader = fleet.leader()
        return change_complete(leader) and voters(leader) == set(names)

    eventually(settled)


def wait_for_incarnation(fleet, host):
    def known():
        leader = fleet.leader()
        member = leader.config.membership.get(host.settings.name)
        return (
            change_complete(leader) and member.incarnation == host.incarnation
        )

    eventually(lambda: host.incarnation)
    eventually(known)


def test_restart_of_all_hosts_after_hundreds_of_changes(tmp_path):
    with cluster(tmp_path) as fleet:
        fleet.start_all()
        client = fleet.client()
        for number in range(200):
            assert not change(fleet, number, client).error
        fleet.wait_until_converged()
        before = fleet.leader()._state_machine.snapshot()
        for name in list(fleet.hosts):
            fleet.kill(name)
        fleet.start_all()
        fleet.wait_until_converged()
        for host in fleet.hosts.values():
            assert host._state_machine.snapshot() == before
        assert change(fleet, 7).revision == change(fleet, 7).revision


def test_wiped_host_does_not_found_a_fleet_and_is_readmitted(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        change(fleet, 1)
        wiped = next(n for n in fleet.hosts if n != leader.settings.name)
        fleet.wipe(wiped)
        host = fleet.start(wiped, bootstrap=True)
        wait_for_incarnation(fleet, host)
        assert host.incarnation != BOOTSTRAP_INCARNATION
        fleet.kill(fleet.leader().settings.name)
        assert not change(fleet, 2).error


def test_founding_waits_for_every_configured_host(tmp_path):
    with cluster(tmp_path) as fleet:
        for name in ('c1', 'c2'):
            fleet.start(name)
        gevent.sleep(0.3)
        assert [h.incarnation for h in fleet.hosts.values()] == ['', '']
        fleet.start('c3')
        fleet.leader()


def test_lost_control_host_is_replaced_by_another(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        for number in range(20):
            change(fleet, number)
        lost = next(n for n in fleet.hosts if n != leader.settings.name)
        eventually(lambda: leader.view.state.get('control_host', lost))
        fleet.wipe(lost)
        fleet.add('c4')
        address = dict(fleet.addresses)['c4']
        client = fleet.client()
        put = PutControlHost(
            control_host=ControlHostResource(name='c4', peer_address=address)
        )
        propose(client, envelope(put, 'put-c4'))
        wait_for_voters(fleet, 'c1', 'c2', 'c3', 'c4')
        delete = DeleteResource(kind='control_host', name=lost)
        propose(client, envelope(delete, 'delete-lost'))
        others = {'c1', 'c2', 'c3', 'c4'} - {lost}
        wait_for_voters(fleet, *others)
        fleet.kill(leader.settings.name)
        assert not change(fleet, 99).error
        fleet.wait_until_converged()
        assert fleet.hosts['c4'].view.state.get('profile', 'desk').weight == (
            100
        )


def test_leader_that_is_removed_hands_over(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        name = leader.settings.name
        eventually(lambda: leader.view.state.get('control_host', name))
        delete = DeleteResource(kind='control_host', name=name)
        leader.propose(envelope(delete, 'delete-leader'))
        eventually(lambda: leader.config.leadership is None)
        eventually(lambda: fleet.leader() is not leader)
        assert not change(fleet, 1).error
        wait_for_voters(fleet, *({'c1', 'c2', 'c3'} - {name}))


def test_host_moves_to_another_address_without_its_disk(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        change(fleet, 1)
        moved = next(n for n in fleet.hosts if n != leader.settings.name)
        eventually(lambda: leader.view.state.get('control_host', moved))
        fleet.wipe(moved)
        address = fleet.move(moved)
        put = PutControlHost(
            control_host=ControlHostResource(name=moved, peer_address=address)
        )
        leader.propose(envelope(put, 'move'))
        host = fleet.start(moved, bootstrap=True)
        wait_for_incarnation(fleet, host)
        assert leader.config.membership.get(moved).address == address


def propose_member_change(host, action, name, address=''):
    wanted = encode_change(MemberChange(action, name, address))
    return host.config.propose(wanted, 2_000, 'members')


def test_change_of_members_that_makes_no_sense_is_refused(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        eventually(lambda: change_complete(leader))
        name = leader.settings.name
        with pytest.raises(BadInput, match='promote'):
            propose_member_change(leader, 'promote', name)
        with pytest.raises(BadInput, match='malformed'):
            leader.config.propose(b'nonsense', 2_000, 'members')
        assert propose_member_change(leader, 'remove', 'unknown') == b''
        # Without this follower, a quorum would need the dead host.
        follower, dead = sorted(set(fleet.hosts) - {name})
        fleet.kill(dead)
        gevent.sleep(fleet.timing.election_max_ms / 1000 * 1.5)
        for action in ('remove', 'move'):
            with pytest.raises(BadInput, match='no quorum'):
                propose_member_change(leader, action, follower, '127.0.0.1:1')
        assert not change(fleet, 1).error


def test_last_voter_is_not_removed(tmp_path):
    with cluster(tmp_path, 1) as fleet:
        leader = fleet.start_all()
        with pytest.raises(BadInput, match='last voter'):
            propose_member_change(leader, 'remove', 'c1')


@pytest.mark.parametrize(
    ('addresses', 'removed', 'expected'),
    [
        ({}, set(), None),
        ({'a': '1', 'b': '2'}, {'z'}, None),
        ({'a': '1', 'd': '4'}, {'b'}, MemberChange('add', 'd', '4')),
        ({'a': '9'}, {'b'}, MemberChange('move', 'a', '9')),
        ({'a': '1'}, {'b'}, MemberChange('remove', 'b')),
    ],
)
def test_next_change_towards_what_operators_want(addresses, removed, expected):
    members = (Member('a', '1'), Member('b', '2'), Member('c', '3'))
    assert next_change(members, addresses, removed) == expected


def test_survivor_goes_on_alone_after_the_loss_of_a_quorum(tmp_path):
    with cluster(tmp_path) as fleet:
        fleet.start_all()
        for number in range(10):
            change(fleet, number)
        fleet.wait_until_converged()
        for name in list(fleet.hosts):
            fleet.kill(name)
        folder = fleet.folder_of('c2')
        assert continue_alone(folder, 'c2', dict(fleet.addresses)['c2'])
        host = fleet.start('c2')
        eventually(lambda: host.config.confirmed_age_ms() < 1_000)
        assert not change(fleet, 50).error
        assert host.view.state.get('profile', 'desk').weight == 51
        with pytest.raises(NotFound):
            continue_alone(str(tmp_path), 'c2', '127.0.0.1:1')


def test_damaged_folder_stops_the_start_until_it_is_moved(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        change(fleet, 1)
        name = next(n for n in fleet.hosts if n != leader.settings.name)
        fleet.kill(name)
        folder = os.path.join(fleet.folder_of(name), 'config')
        path = next(p for p in os.listdir(folder) if p.startswith('segment'))
        with open(os.path.join(folder, path), 'r+b') as file:
            file.seek(30)
            file.write(b'damage')
        with pytest.raises(CorruptStore, match='move the data folder aside'):
            fleet.start(name)
        shutil.rmtree(folder)
        with pytest.raises(CorruptStore, match='is missing'):
            fleet.start(name)
        os.rename(fleet.folder_of(name), str(tmp_path / 'aside'))
        host = fleet.start(name)
        wait_for_incarnation(fleet, host)


def test_status_and_history_tell_what_happened(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = fleet.start_all()
        sent = envelope(SetDataCentre(name='dar-a', out=True), 'r1')
        outcome = leader.propose(sent)
        (entry,) = leader.history(10)
        assert (entry.revision, entry.operator) == (outcome.revision, 'mia')
        assert entry.issued_at_ms > 0
        (group,) = leader.status().groups
        assert (group.role, len(group.members)) == ('leader', 3)
        for name in ('c1', 'c2', 'c3'):
            eventually(lambda n=name: leader.view.state.get('control_host', n))


def test_messages_for_an_unknown_group_are_refused(tmp_path):
    with cluster(tmp_path, 1) as fleet:
        leader = fleet.start_all()
        handler = leader.handlers()[StatusRequest]
        with pytest.raises(DamasklandingError):
            handler(None, StatusRequest('nonsense'))
        assert isinstance(leader, ControlHost)
