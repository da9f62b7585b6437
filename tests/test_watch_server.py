"""Whether a watcher holds the whole state of the revision that it names."""

import random

import gevent
from gevent.queue import Queue

from damasklanding.control import deltas
from damasklanding.control.watch import WatchServer
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
        self._greenlet = None

    def follow(self, server):
        self.stop()
        self.channel = Channel()
        state = self.view.state
        message = Watch(
            NODE.name,
            NODE.instance,
            state.term,
            state.revision,
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
