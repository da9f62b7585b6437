"""Whether a watcher holds the whole state of the revision that it names."""

import random

import gevent
from gevent.queue import Queue
import pytest

from damasklanding.control import deltas
from damasklanding.control.watch import WatchServer
from damasklanding.errors import DamasklandingError
from damasklanding.fleet.resources import KINDS
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import BudgetShard
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import Configuration
from damasklanding.fleet.resources import ControlGroup
from damasklanding.fleet.resources import ControlHost
from damasklanding.fleet.resources import DataCentre
from damasklanding.fleet.resources import HostRoute
from damasklanding.fleet.resources import Organisation
from damasklanding.fleet.resources import Profile
from damasklanding.fleet.resources import Service
from damasklanding.link import Identity
from damasklanding.messages import Beat
from damasklanding.messages import Watch
from damasklanding.messages import WatchSnapshot
from damasklanding.node.view import FleetView
from damasklanding.node.watch import WatchClient

NODE = Identity('node-a', 'node', 'i1')
ADDRESS = '127.0.0.1:9'

#: Function of name and revision that makes a resource, by kind.
MAKERS = {
    'profile': lambda n, r: Profile(name=n, revision=r),
    'service': lambda n, r: Service(name=n, revision=r),
    'organisation': lambda n, r: Organisation(
        name=n, revision=r, rate_per_s=1, burst_requests=1
    ),
    'data_centre': lambda n, r: DataCentre(name=n, revision=r),
    'backend': lambda n, r: Backend(
        name=n,
        revision=r,
        instance='i',
        data_centre='dc',
        peer_address=ADDRESS,
        service='desk',
    ),
    'budget_shard': lambda n, r: BudgetShard(name=n, revision=r),
    'control_host': lambda n, r: ControlHost(
        name=n, revision=r, peer_address=ADDRESS
    ),
    'control_group': lambda n, r: ControlGroup(name=n, revision=r),
    'host_route': lambda n, r: HostRoute(
        name=n, revision=r, host='h', prefix=f'/{n}/', profile='p', parts=()
    ),
    'configuration': lambda n, r: Configuration(name=n, revision=r),
}


class Channel:
    """The server's end of an exchange; what is sent waits to be read."""

    def __init__(self):
        self.sent = []
        self._inbox = Queue()

    def deliver(self, message):
        self._inbox.put(message)

    def receive(self, _timeout_ms):
        return self._inbox.get()

    def send(self, message):
        self.sent.append(message)


class WatchingNode:
    """A node's view that follows one source at a time when told to."""

    def __init__(self):
        self.view = FleetView()
        self.client = WatchClient(
            self.view, None, NODE, list, random.Random(1), all_services=True
        )
        self.channel = None
        self.server = None
        self.is_relay = False
        self._greenlet = None

    def follow(self, server, is_relay=False):
        self.stop()
        self.server = server
        self.is_relay = is_relay
        self.channel = Channel()
        state = self.view.state
        is_incomplete = self.client._needs_snapshot and not is_relay
        message = Watch(
            NODE.name,
            NODE.instance,
            state.term,
            0 if is_incomplete else state.revision,
            [],
            True,
            compressed=True,
        )
        self._greenlet = gevent.spawn(server.serve, self.channel, message)
        gevent.sleep(0)

    def request_update(self):
        self.channel.deliver(Beat(1, self.view.state.revision, [], b''))
        gevent.sleep(0)

    def read(self):
        """Take all messages that wait; return them."""
        messages, self.channel.sent = self.channel.sent, []
        for message in messages:
            if self.is_relay:
                self.client._add_relayed(message)
            else:
                self.client._take([], message)
        return messages

    def stop(self):
        if self._greenlet is not None:
            self._greenlet.kill()


def contents(view):
    return {kind: dict(view.state.all(kind)) for kind in KINDS}


def put_centre(name):
    return Change.put('data_centre', DataCentre(name=name))


def test_connected_watcher_behind_the_oldest_kept_change_gets_a_snapshot(
    monkeypatch,
):
    # Guards against removals that a slow watcher never hears of, since the
    # log of changes has dropped them while it was connected.
    monkeypatch.setattr(deltas, 'MAX_KEPT_DELTAS', 4)
    source = FleetView()
    server = WatchServer(source)
    source.apply(1, 1, [put_centre('dc-gone'), put_centre('dc-kept')])
    node = WatchingNode()
    node.follow(server)
    node.read()
    source.apply(1, 2, [Change('data_centre', 'dc-gone')])
    for revision in range(3, 9):
        source.apply(1, revision, [put_centre('dc-kept')])
    node.request_update()
    messages = node.read()
    assert node.view.state.revision == 8
    assert contents(node.view) == contents(source)
    assert [type(m) for m in messages][:1] == [WatchSnapshot]
    node.stop()


def test_watcher_within_an_installed_snapshot_is_told_of_removals():
    # Guards against a node that goes on with a route and a key that were
    # removed while its next source was down and then installed a snapshot.
    removed = [Change('host_route', 'r'), Change('organisation', 'o')]
    before = [
        put_centre('dc'),
        *(
            Change.put(change.kind, MAKERS[change.kind](change.name, 2))
            for change in removed
        ),
    ]
    source = FleetView()
    source.apply(1, 1, [put_centre('dc')])
    server = WatchServer(source)
    node = WatchingNode()
    node.view.replace(1, 2, before)
    source.replace(1, 3, [put_centre('dc')])
    node.follow(server)
    node.read()
    assert node.view.state.revision == 3
    assert contents(node.view) == contents(source)
    node.stop()


class FleetModel:
    """
    Control hosts that apply a common log, and nodes that follow them or one
    another.

    :ivar states: all resources by revision of the log.
    """

    HOSTS = 3
    NODES = 3

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.log = []
        self.states = {0: contents(FleetView())}
        self.committed = FleetView()
        self.hosts = [FleetView() for _ in range(self.HOSTS)]
        self.servers = [WatchServer(view) for view in self.hosts]
        self.nodes = [WatchingNode() for _ in range(self.NODES)]
        self.relays = [WatchServer(node.view) for node in self.nodes]
        for node in self.nodes:
            node.follow(self.random.choice(self.servers))

    def commit(self):
        """Put or remove a few resources of any kind."""
        revision = self.committed.state.revision + self.random.randint(1, 3)
        changes = {}
        for _ in range(self.random.randint(1, 3)):
            kind = self.random.choice(sorted(KINDS))
            name = f'x{self.random.randrange(3)}'
            change = Change(kind, name)
            if self.random.random() < 0.6:
                change = Change.put(kind, MAKERS[kind](name, revision))
            changes[kind, name] = change
        changes = list(changes.values())
        self.committed.apply(1, revision, changes)
        self.log.append((1, revision, changes))
        self.states[revision] = contents(self.committed)

    def apply(self):
        """Apply some entries that a host lacks."""
        view = self.random.choice(self.hosts)
        lacking = [e for e in self.log if e[1] > view.state.revision]
        for entry in lacking[: self.random.randint(1, 4)]:
            view.apply(*entry)

    def install(self):
        """Give a host a snapshot of the newest state."""
        state = self.committed.state
        self.random.choice(self.hosts).replace(
            state.term, state.revision, state.snapshot()
        )

    def restart(self):
        """Start a host anew, with its disk or with an empty one."""
        number = self.random.randrange(self.HOSTS)
        old, view = self.hosts[number].state, FleetView()
        if self.random.random() < 0.5:
            view.replace(old.term, old.revision, old.snapshot())
        server = self.servers[number]
        self.hosts[number] = view
        self.servers[number] = WatchServer(view)
        for node in self.nodes:
            if node.server is server:
                node.follow(self.random.choice(self.servers))

    def move(self):
        """Let a node follow another host; what it has not read is lost."""
        self.random.choice(self.nodes).follow(self.random.choice(self.servers))

    def move_to_relay(self):
        """Let a node follow another node."""
        node, relay = self.random.sample(range(self.NODES), 2)
        self.nodes[node].follow(self.relays[relay], is_relay=True)

    def read(self):
        """Let a node read; one that is not chosen for long is frozen."""
        node = self.random.choice(self.nodes)
        node.request_update()
        try:
            node.read()
        except DamasklandingError:  # the source is behind
            node.follow(self.random.choice(self.servers))

    def check(self):
        for view in self.hosts:
            assert contents(view) == self.states[view.state.revision]
        for node in self.nodes:
            held = contents(node.view)
            expected = dict(self.states[node.view.state.revision])
            if node.client._needs_snapshot:
                # A relay may know only some of the backend servers.
                del held['backend'], expected['backend']
            assert held == expected


def test_changes_kept_for_watchers_are_bounded_in_bytes(monkeypatch):
    # Guards against processes that are killed for their memory after some
    # hundred changes of all routes.
    monkeypatch.setattr(deltas, 'MAX_KEPT_BYTES', 20_000)
    view = FleetView()
    log = deltas.DeltaLog(view.state)
    view.subscribe(log.append)
    for revision in range(1, 50):
        changes = [
            Change.put('host_route', MAKERS['host_route'](f'r{n}', revision))
            for n in range(100)
        ]
        view.apply(1, revision, changes)
        size = sum(len(c.name) + len(c.value) for c in changes)
        kept = [r for r in range(revision) if log.reaches_back_to(r)]
        assert (revision - min(kept, default=revision) - 1) * size <= 20_000
        assert log.reaches_back_to(max(1, revision - 1))


@pytest.mark.parametrize('limits', [(4, 10**9), (10**9, 300)])
@pytest.mark.parametrize('seed', range(60))
def test_who_names_a_revision_holds_exactly_its_state(
    monkeypatch, seed, limits
):
    # Guards against nodes that keep what was removed, whatever the order of
    # changes, installed snapshots, restarts, freezes and changes of source.
    most_deltas, most_bytes = limits
    monkeypatch.setattr(deltas, 'MAX_KEPT_DELTAS', most_deltas)
    monkeypatch.setattr(deltas, 'MAX_KEPT_BYTES', most_bytes)
    model = FleetModel(seed)
    steps = [
        model.commit,
        model.commit,
        model.apply,
        model.apply,
        model.install,
        model.restart,
        model.move,
        model.move_to_relay,
        model.read,
        model.read,
        model.read,
    ]
    for _ in range(200):
        model.random.choice(steps)()
        model.check()
    for view in model.hosts:
        state = model.committed.state
        view.replace(state.term, state.revision, state.snapshot())
    for node in model.nodes:
        node.follow(model.servers[0])
        node.read()
        assert not node.client._needs_snapshot
        assert node.view.state.revision == model.committed.state.revision
        node.stop()
    model.check()
