import random

import gevent
import msgspec

from bench.relay import Relay
from damasklanding.control.watch import GATHER_MS
from damasklanding.control.watch import WatchServer
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import BudgetShard
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import ControlHost
from damasklanding.fleet.resources import DataCentre
from damasklanding.fleet.resources import decode_changes
from damasklanding.link import Identity
from damasklanding.linkpool import LinkPool
from damasklanding.linkserver import LinkServer
from damasklanding.messages import Watch
from damasklanding.node.view import FleetView
from damasklanding.node.watch import FIRST_BEAT_MS
from damasklanding.node.watch import WatchClient

SECRET = b'0123456789abcdef'
NODE = Identity('node-a', 'node', 'i1')


def backend(name, service):
    return Backend(
        name=name,
        instance='i',
        data_centre='dc',
        peer_address='127.0.0.1:9',
        service=service,
    )


def put_centre(name, out=False):
    return Change.put('data_centre', DataCentre(name=name, out=out))


class Source:
    def __init__(self, name='host-a', role='control', view=None):
        self.name = name
        self.view = view or FleetView()
        self.beats = []
        self.watch = WatchServer(self.view, lambda *a: self.beats.append(a))
        self.server = LinkServer(
            '127.0.0.1:0',
            Identity(name, role, 'i'),
            SECRET,
            self.watch.handlers(),
        )
        self.server.start()

    @property
    def address(self):
        return self.server.address

    def fresh(self):
        self.view.confirm(self.view.now_ms())


def follow(*addresses, view=None, **options):
    view = view or FleetView()
    pool = LinkPool(NODE, SECRET)

    def seeds():
        return [(address, address) for address in addresses]

    client = WatchClient(view, pool, NODE, seeds, random.Random(1), **options)
    client.start()
    return client, view


def wait_for(condition, timeout_s=5):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.01)


def test_snapshot_then_deltas_then_freshness():
    source = Source()
    source.view.apply(1, 5, [put_centre('dc-a')])
    source.fresh()
    client, view = follow(source.address)
    wait_for(lambda: view.state.position() == (1, 5))
    source.view.apply(1, 6, [put_centre('dc-b', out=True)])
    wait_for(lambda: view.data_centre_out('dc-b'))
    wait_for(lambda: view.age_ms() < 5_000)
    wait_for(lambda: [w.revision for w in source.watch.watchers()] == [6])
    assert source.beats
    assert source.beats[0][:2] == ('node-a', 'i1')
    client.stop()
    source.server.stop()


def test_source_without_proof_gives_no_freshness():
    source = Source()
    source.view.apply(1, 5, [put_centre('dc-a')])
    client, view = follow(source.address)
    wait_for(lambda: view.state.revision == 5)
    gevent.sleep(0.5)
    assert view.age_ms() == float('inf')
    client.stop()
    source.server.stop()


def test_source_that_is_behind_never_takes_the_view_back():
    behind = Source()
    behind.view.apply(1, 3, [put_centre('dc-a')])
    behind.fresh()
    view = FleetView()
    view.apply(2, 9, [put_centre('dc-a', out=True)])
    client, view = follow(behind.address, view=view)
    wait_for(lambda: behind.beats)
    behind.view.apply(1, 4, [put_centre('dc-a')])
    gevent.sleep(0.4)
    assert view.state.position() == (2, 9)
    assert view.data_centre_out('dc-a')
    client.stop()
    behind.server.stop()


def test_only_wanted_services_are_sent_and_moves_are_noticed():
    source = Source()
    source.view.apply(
        1,
        2,
        [
            Change.put('backend', backend('n1', 'orders')),
            Change.put('backend', backend('n2', 'stock')),
        ],
    )
    source.fresh()
    client, view = follow(source.address)
    wait_for(lambda: view.state.revision == 2)
    assert not view.backends('orders')
    client.ensure_service('orders')
    assert [item.name for item in view.backends('orders')] == ['n1']
    source.view.apply(1, 3, [Change.put('backend', backend('n1', 'stock'))])
    wait_for(lambda: view.state.revision == 3)
    assert not view.backends('orders')
    assert not view.backends('stock')
    client.stop()
    source.server.stop()


def test_node_relays_state_and_freshness_when_control_is_gone():
    source = Source()
    source.view.apply(1, 2, [put_centre('dc-a')])
    source.fresh()
    relay_client, relay_view = follow(source.address)
    wait_for(lambda: relay_view.age_ms() < 5_000)
    relay = Source('node-b', 'node', relay_view)
    client, view = follow('127.0.0.1:1', relay.address)
    wait_for(lambda: view.state.revision == 2)
    wait_for(lambda: view.age_ms() < 5_000)
    assert view.age_ms() >= relay_view.age_ms() - 5
    for item in (client, relay_client):
        item.stop()
    source.server.stop()
    relay.server.stop()


def test_follower_moves_on_when_its_source_dies():
    first, second = Source('host-a'), Source('host-b')
    for source in (first, second):
        source.view.apply(1, 2, [put_centre('dc-a')])
        source.fresh()
    client, view = follow(first.address, second.address)
    wait_for(lambda: client.source)
    used, other = (
        (first, second) if client.source == 'host-a' else (second, first)
    )
    used.server.stop()
    other.view.apply(1, 3, [put_centre('dc-b')])
    wait_for(lambda: view.state.revision == 3)
    client.stop()
    other.server.stop()


def test_deltas_that_wait_are_sent_as_one():
    source = Source()
    source.view.apply(1, 1, [put_centre('dc-a')])
    client, view = follow(source.address, all_services=True)
    wait_for(lambda: view.state.revision == 1)
    applied = []
    view.subscribe(lambda changes: applied.append(len(changes)))
    for revision in range(2, 32):
        source.view.apply(
            1,
            revision,
            [Change.put('backend', backend(f'n{revision}', 'orders'))],
        )
    wait_for(lambda: view.state.revision == 31)
    assert len(view.backends('orders')) == 30
    assert sum(applied) == 30
    assert len(applied) < 30
    client.stop()
    source.server.stop()


def test_node_learns_its_own_registration_without_wanting_a_service():
    source = Source()
    source.view.apply(1, 5, [Change.put('backend', backend('node-b', 'desk'))])
    source.fresh()
    client, view = follow(source.address)
    wait_for(lambda: view.state.revision == 5)
    source.view.apply(1, 6, [Change.put('backend', backend('node-a', 'desk'))])
    wait_for(lambda: view.state.revision == 6)
    assert list(view.state.all('backend')) == ['node-a']
    client.stop()
    client, view = follow(source.address)
    wait_for(lambda: view.state.revision == 6)
    assert list(view.state.all('backend')) == ['node-a']
    client.stop()
    source.server.stop()


def names(view, service):
    return sorted(item.name for item in view.backends(service))


def test_service_that_the_last_source_did_not_answer_for_is_asked_again():
    sources = [Source('host-a'), Source('host-b')]
    for source in sources:
        source.view.apply(1, 2, [Change.put('backend', backend('n1', 'desk'))])
        source.fresh()
        # The beat that asks for the service goes unanswered.
        source.watch._add_service = lambda *_args: None
    client, view = follow(*(source.address for source in sources))
    wait_for(lambda: view.age_ms() < 5_000)
    client.ensure_service('desk', timeout_ms=50)
    used, other = sources if client.source == 'host-a' else sources[::-1]
    del other.watch._add_service
    used.server.stop()
    wait_for(lambda: names(view, 'desk') == ['n1'])
    client.stop()
    other.server.stop()


def test_service_snapshot_older_than_the_view_is_asked_for_again():
    source = Source()
    source.view.apply(1, 2, [Change.put('backend', backend('n1', 'desk'))])
    view = FleetView()
    view.apply(1, 3, [put_centre('dc-a')])
    client, view = follow(source.address, view=view)
    wait_for(lambda: client.source)
    client.ensure_service('desk', timeout_ms=50)
    source.view.apply(1, 3, [put_centre('dc-a')])
    wait_for(lambda: names(view, 'desk') == ['n1'])
    client.stop()
    source.server.stop()


def relay_of(source, *services):
    """Return a node that relays what it follows, and its watch client."""
    client, view = follow(source.address)
    wait_for(lambda: view.age_ms() < 5_000)
    for service in services:
        client.ensure_service(service)
    return Source('node-b', 'node', view), client


def test_relay_that_does_not_follow_a_service_hides_none_of_its_servers():
    source = Source()
    source.view.apply(1, 2, [Change.put('backend', backend('n1', 'desk'))])
    source.fresh()
    relay, relay_client = relay_of(source)
    client, view = follow(relay.address)
    wait_for(lambda: client.source == 'node-b')
    client.ensure_service('desk', timeout_ms=50)
    client.sources._control_hosts = lambda: [(source.address, source.address)]
    wait_for(lambda: names(view, 'desk') == ['n1'])
    for item in (client, relay_client):
        item.stop()
    source.server.stop()
    relay.server.stop()


def test_change_of_a_server_that_a_relay_does_not_follow_removes_nothing():
    source = Source()
    source.view.apply(1, 2, [Change.put('backend', backend('n1', 'desk'))])
    source.fresh()
    relay, relay_client = relay_of(source)
    client, view = follow(source.address)
    wait_for(lambda: view.age_ms() < 5_000)
    client.ensure_service('desk')
    client.stop()
    moved = msgspec.structs.replace(backend('n1', 'desk'), instance='i2')
    client, view = follow(relay.address, view=view)
    wait_for(lambda: client.source == 'node-b')
    client.ensure_service('desk', timeout_ms=50)
    source.view.apply(1, 3, [Change.put('backend', moved)])
    wait_for(lambda: view.state.revision == 3)
    assert names(view, 'desk') == ['n1']
    client.sources._control_hosts = lambda: [(source.address, source.address)]
    wait_for(lambda: view.backends('desk')[0].instance == 'i2')
    for item in (client, relay_client):
        item.stop()
    source.server.stop()
    relay.server.stop()


def test_source_without_proof_is_tried_again_before_other_nodes():
    source = Source()
    source.view.apply(1, 2, [put_centre('dc-a')])
    client, view = follow(source.address)
    wait_for(lambda: len(source.beats) > 1)
    shard = BudgetShard(name='s', owner='n1', peer_address='127.0.0.1:1')
    view.merge([Change.put('budget_shard', shard)])
    assert client.sources.ordered() == [source.address, '127.0.0.1:1']
    client.stop()
    source.server.stop()


class SlowPool:
    """Opens links, but hangs for addresses of hosts without power."""

    def __init__(self, *dark):
        self.dark = dark
        self.tried = []
        self._pool = LinkPool(NODE, SECRET)

    def get(self, address):
        self.tried.append(address)
        if address in self.dark:
            gevent.sleep(30)
        return self._pool.get(address)


def test_hosts_without_power_hold_no_node_up():
    source = Source()
    source.view.apply(1, 5, [put_centre('dc-a')])
    source.fresh()
    pool = SlowPool('dark-1', 'dark-2')
    addresses = ['dark-1', 'dark-2', source.address]
    view = FleetView()
    client = WatchClient(
        view,
        pool,
        NODE,
        lambda: [(address, address) for address in addresses],
        # Puts the dark hosts first.
        type('Order', (), {'shuffle': None, 'uniform': None})(),
    )
    client._random.shuffle = lambda items: items.sort(
        key=lambda address: address == source.address
    )
    client._random.uniform = lambda low, high: low
    client.start()
    wait_for(lambda: view.state.position() == (1, 5), 10)
    client.stop()


def test_source_that_failed_is_tried_after_the_others():
    clock = [0.0]
    client = WatchClient(
        FleetView(lambda: clock[0]),
        SlowPool(),
        NODE,
        lambda: [('a', 'a'), ('b', 'b'), ('c', 'c')],
        random.Random(1),
    )
    client.sources.note_failed('b')
    for _ in range(20):
        assert client.sources.ordered()[-1] == 'b'
    clock[0] = 10_000.0
    assert any(client.sources.ordered()[-1] != 'b' for _ in range(20))


def put_host(source, data_centre):
    host = ControlHost(
        name=source.name,
        peer_address=source.address,
        data_centre=data_centre,
    )
    return Change.put('control_host', host)


def two_centres(resources=()):
    """Return a near and a far source that list each other."""
    near, far = Source('host-near'), Source('host-far')
    changes = [put_host(near, 'dc-a'), put_host(far, 'dc-b'), *resources]
    for source in (near, far):
        source.view.apply(1, 2, changes)
        source.fresh()
    return near, far


def snapshots_of(source):
    """Return the list to which each whole snapshot of a source is added."""
    sent = []
    send_snapshot = source.watch._send_snapshot

    def note(watcher):
        sent.append(watcher)
        send_snapshot(watcher)

    source.watch._send_snapshot = note
    return sent


def test_first_state_comes_from_the_own_data_centre():
    near, far = two_centres()
    far_snapshots = snapshots_of(far)
    client, view = follow(far.address, data_centre='dc-a')
    wait_for(lambda: view.state.revision == 2)
    assert client.source == 'host-near'
    assert far_snapshots == []
    client.stop()
    near.server.stop()
    far.server.stop()


def test_distant_source_is_left_once_a_near_one_is_known():
    near, far = Source('host-near'), Source('host-far')
    for source in (near, far):
        source.fresh()
    client, view = follow(far.address, data_centre='dc-a')
    wait_for(lambda: client.source == 'host-far')
    changes = [put_host(near, 'dc-a')]
    for source in (near, far):
        source.view.apply(1, 2, changes)
        source.fresh()
    wait_for(lambda: client.source == 'host-near')
    assert view.state.revision == 2
    client.stop()
    near.server.stop()
    far.server.stop()


def test_node_returns_to_the_near_source_and_gets_only_what_it_lacks():
    near, far = two_centres()
    client, view = follow(near.address, data_centre='dc-a')
    wait_for(lambda: client.source == 'host-near')
    address = near.address
    near.server.stop()
    wait_for(lambda: client.source == 'host-far', 10)
    far_snapshots = snapshots_of(far)
    far.view.apply(1, 3, [put_centre('dc-c', out=True)])
    wait_for(lambda: view.data_centre_out('dc-c'))
    again = LinkServer(
        address,
        Identity('host-near', 'control', 'i2'),
        SECRET,
        near.watch.handlers(),
    )
    again.start()
    near.view.apply(1, 3, [put_centre('dc-c', out=True)])
    near.fresh()
    far.fresh()
    wait_for(lambda: client.source == 'host-near', 10)
    near.view.apply(1, 4, [put_centre('dc-d')])
    wait_for(lambda: view.state.revision == 4)
    assert far_snapshots == []
    client.stop()
    again.stop()
    far.server.stop()


def test_near_source_without_proof_is_left_for_a_distant_one():
    near, far = two_centres()
    clock = near.view.now_ms
    near.view.now_ms = lambda: clock() + 60_000  # its proof is that old
    client, view = follow(near.address, far.address, data_centre='dc-a')
    wait_for(lambda: client.source == 'host-far')
    far.fresh()
    wait_for(lambda: view.age_ms() < 5_000)
    far.view.apply(1, 3, [put_centre('dc-c', out=True)])
    wait_for(lambda: view.data_centre_out('dc-c'), 2)
    client.stop()
    near.server.stop()
    far.server.stop()


def test_near_source_that_is_silent_is_left_within_the_bound():
    near, far = two_centres()
    relay = Relay('127.0.0.1:0', near.address)
    relay.start()
    host = ControlHost(
        name='host-near', peer_address=relay.address, data_centre='dc-a'
    )
    for source in (near, far):
        source.view.apply(1, 3, [Change.put('control_host', host)])
    client, view = follow(relay.address, far.address, data_centre='dc-a')
    wait_for(lambda: client.source == 'host-near')
    relay.silence()
    far.fresh()
    far.view.apply(1, 4, [put_centre('dc-c', out=True)])
    wait_for(lambda: view.data_centre_out('dc-c'), 2)
    client.stop()
    near.server.stop()
    far.server.stop()


def deltas_of_a_start(count):
    """
    Let nodes register within half a second while all of them watch.

    :return: pair of the frames with deltas that the source sent, and of the
        seconds from the first registration until all had heard of the last.
    """
    source = Source()
    source.view.apply(1, 1, [put_centre('dc-a')])
    source.fresh()
    frames = []
    send_deltas = source.watch._deltas.since

    def count_frames(*arguments):
        sent = send_deltas(*arguments)
        if sent is not None:
            frames.append(sent)
        return sent

    source.watch._deltas.since = count_frames
    clients = []
    for number in range(count):
        identity = Identity(f'node-{number}', 'node', 'i')
        client = WatchClient(
            FleetView(),
            LinkPool(identity, SECRET),
            identity,
            lambda: [(source.address, source.address)],
            random.Random(number),
        )
        client.start()
        clients.append(client)
    wait_for(lambda: len(source.watch.watchers()) == count)
    started_ms = source.view.now_ms()
    for number in range(count):
        item = backend(f'node-{number}', 'desk')
        source.view.apply(1, 2 + number, [Change.put('backend', item)])
        gevent.sleep(0.5 / count)
    last = count + 1
    wait_for(lambda: all(c._view.state.revision == last for c in clients))
    elapsed_s = (source.view.now_ms() - started_ms) / 1000
    for client in clients:
        client.stop()
    source.server.stop()
    return len(frames), elapsed_s


#: Most frames to a watcher in a second: one for each time that changes are
#: gathered, and one with the answer to each heartbeat.
MOST_FRAMES_PER_S = 1000 / GATHER_MS + 1000 / FIRST_BEAT_MS


def test_frames_of_a_start_grow_with_the_fleet_and_not_with_its_square():
    few, few_s = deltas_of_a_start(24)
    many, many_s = deltas_of_a_start(96)
    assert few <= 24 * (1 + MOST_FRAMES_PER_S * few_s)
    assert many <= 96 * (1 + MOST_FRAMES_PER_S * many_s)
    # In the same time four times as many frames are expected, 16 times
    # without gathering.
    assert many / many_s <= 6 * few / few_s


def test_malformed_changes_stop_no_node():
    class Broken(Source):
        def fresh(self):
            self.watch._deltas.since = lambda *_a: (1, 9, b'\x01', True)
            super().fresh()

    broken, sound = Broken('host-a'), Source('host-b')
    for source in (broken, sound):
        source.view.apply(1, 2, [put_centre('dc-a')])
        source.fresh()
    sound.view.apply(1, 3, [put_centre('dc-b')])
    client, view = follow(broken.address, sound.address)
    wait_for(lambda: view.state.revision == 3)
    assert client.source == 'host-b'
    client.stop()
    broken.server.stop()
    sound.server.stop()


def test_older_watcher_gets_changes_that_it_can_read():
    source = Source()
    source.view.apply(1, 2, [put_centre(f'dc-{n}') for n in range(99)])
    source.fresh()
    link = LinkPool(NODE, SECRET).get(source.address)
    with link.exchange(Watch('node-a', 'i1', 0, 0)) as exchange:
        snapshot = exchange.receive(2_000)
        assert not snapshot.compressed
        assert len(decode_changes(snapshot.changes)) == 99
        source.view.apply(1, 3, [put_centre(f'dc-{n}') for n in range(99)])
        delta = exchange.receive(2_000)
        assert not delta.compressed
        assert len(decode_changes(delta.changes)) == 99
    source.server.stop()


def test_older_source_is_not_asked_for_control_hosts_alone(monkeypatch):
    monkeypatch.setattr('damasklanding.node.watch.CONTROL_HOSTS_LEVEL', 99)
    source = Source()
    source.view.apply(1, 2, [put_centre('dc-a')])
    source.fresh()
    asked = []
    control_hosts = source.watch._control_hosts
    source.watch._control_hosts = lambda: asked.append(1) or control_hosts()
    client, view = follow(source.address, data_centre='dc-a')
    wait_for(lambda: view.state.revision == 2)
    assert not asked
    client.stop()
    source.server.stop()


def test_node_without_state_waits_for_the_first_election_at_one_source():
    sources = [Source('host-a'), Source('host-b')]
    watched = []
    for source in sources:
        start = source.watch._start
        source.watch._start = lambda w, start=start: (
            watched.append(w),
            start(w),
        )
    client, view = follow(*(source.address for source in sources))
    gevent.sleep(0.7)
    assert len(watched) == 1
    for source in sources:
        source.view.apply(1, 1, [put_centre('dc-a')])
        source.fresh()
    started_ms = view.now_ms()
    wait_for(lambda: view.age_ms() < 5_000)
    assert view.now_ms() - started_ms < 300
    client.stop()
    for source in sources:
        source.server.stop()


def test_node_without_state_leaves_a_source_that_gets_no_proof():
    isolated, sound = Source('host-a'), Source('host-b')
    sound.view.apply(1, 2, [put_centre('dc-a')])
    sound.fresh()
    for _ in range(8):
        client, view = follow(isolated.address, sound.address)
        wait_for(lambda view=view: view.state.revision == 2, 2)
        client.stop()
        sound.fresh()
    isolated.server.stop()
    sound.server.stop()
