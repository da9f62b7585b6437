"""
Nodes, control hosts and orders in any order of events.  Once a service has a
backend server that may be used, each node uses it; once it has none, no node
does.
"""

import os
import random

import gevent
import pytest

from damasklanding.clock import monotonic_ms
from damasklanding.control.watch import WatchServer
from damasklanding.errors import Unavailable
from damasklanding.fleet.commands import SetDataCentre
from damasklanding.fleet.datacentres import set_data_centre
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import Change
from damasklanding.fleet.state import FleetState
from damasklanding.link import Identity
from damasklanding.linkpool import LinkPool
from damasklanding.linkserver import LinkServer
from damasklanding.node.forward import Forwarder
from damasklanding.node.view import FleetView
from damasklanding.node.watch import WatchClient
from damasklanding.policy.coldturns import ColdTurns
from damasklanding.policy.dependencies import MIN_FAILURES_IN_ROW
from damasklanding.policy.dependencies import DependencyCheck
from damasklanding.policy.routing import RETURNED_COLD_MS
from damasklanding.policy.routing import Router

SEEDS = int(os.environ.get('DAMASKLANDING_FAULT_SEEDS', '6'))
SECRET = b'0123456789abcdef'
DATA_CENTRES = ('kushiro', 'asahikawa', 'obihiro')
NODES = 3
EVENTS = 14
COLD_RATE_PER_S = 12.0
#: A change is in force on each node within this time.
IN_FORCE_MS = 2_000.0
COLD_MS = RETURNED_COLD_MS + 1_000.0 * NODES / COLD_RATE_PER_S


class Log:
    """The committed changes, in order."""

    def __init__(self):
        self.entries = []
        self.state = FleetState()

    def append(self, changes):
        if changes:
            self.entries.append(changes)
            self.state.apply_changes(1, len(self.entries), changes)

    def set_out(self, name, out):
        command = SetDataCentre(name=name, out=out)
        revision = len(self.entries) + 1
        self.append(set_data_centre(self.state, command, revision))

    def put_server(self, number, start, **fields):
        backend = Backend(
            name=f's{number}',
            instance='run-1',
            data_centre=DATA_CENTRES[number],
            peer_address='127.0.0.1:9',
            service='ledger',
            start=f'i-{number}@{start}',
            **fields,
        )
        self.append([Change.put('backend', backend)])

    def remove_server(self, number):
        if self.state.get('backend', f's{number}') is not None:
            self.append([Change('backend', f's{number}')])

    def has_usable(self):
        return any(
            backend.state == 'in'
            and not getattr(
                self.state.get('data_centre', backend.data_centre),
                'out',
                False,
            )
            for backend in self.state.all('backend').values()
        )


class Host:
    """A control host that follows the log, unless it is frozen or down."""

    def __init__(self, log, number):
        self.log = log
        self.number = number
        self.frozen = False
        self.server = None
        self.start(0)

    def start(self, known):
        """Start with the first entries of the log, as from its disk."""
        self.view = FleetView()
        self.known = 0
        self.catch_up(known)
        address = (
            f'127.0.0.1:{self.server.address.rpartition(":")[2]}'
            if (self.server)
            else '127.0.0.1:0'
        )
        identity = Identity(f'c{self.number}', 'control', 'i')
        self.server = LinkServer(
            address, identity, SECRET, WatchServer(self.view).handlers()
        )
        self.server.start()

    def stop(self):
        self.server.stop()

    def catch_up(self, until):
        while self.known < until:
            changes = self.log.entries[self.known]
            self.known += 1
            self.view.apply(1, self.known, changes)

    def step(self):
        if not self.frozen:
            self.catch_up(len(self.log.entries))
            self.view.confirm(monotonic_ms())


class Node:
    """The parts of a node that decide whether a server is used."""

    def __init__(self, number, hosts):
        self.number = number
        self.hosts = hosts
        self.start()

    def start(self):
        name = f'n{self.number}'
        identity = Identity(name, 'node', 'i')
        self.view = FleetView()
        self.pool = LinkPool(identity, SECRET)
        self.watch = WatchClient(
            self.view,
            self.pool,
            identity,
            lambda: [(f'c{h.number}', h.server.address) for h in self.hosts],
            random.Random(self.number),
        )
        router = Router(
            name,
            'asahikawa',
            monotonic_ms,
            random.Random(self.number),
            lambda _service: COLD_RATE_PER_S,
            lambda: NODES,
        )
        unused = None
        self.forwarder = Forwarder(
            name, self.view, unused, unused, unused, router, unused, unused,
            unused,
        )  # fmt: skip
        self.check = DependencyCheck(
            monotonic_ms,
            self.forwarder.has_backend,
            lambda service: gevent.spawn(self.watch.ensure_service, service),
            lambda *_change: None,
            ColdTurns(
                monotonic_ms,
                random.Random(self.number).random,
                self.forwarder.cold_interval_ms,
            ),
        )
        self.watch.start()

    def stop(self):
        self.watch.stop()
        self.pool.close()

    def fail_for_lack(self):
        for _ in range(MIN_FAILURES_IN_ROW):
            self.check.note('desk', 'view', False, {'ledger'}, 0.0)

    def admits(self):
        try:
            self.check.check('desk', 'view')
        except Unavailable:
            return False
        return True

    def admits_all(self):
        return all(self.admits() for _ in range(30))


class Play:
    """Control hosts, nodes, and what may happen to them."""

    def __init__(self, seed):
        self.luck = random.Random(seed)
        self.log = Log()
        self.hosts = [Host(self.log, number) for number in range(3)]
        self.nodes = [Node(number, self.hosts) for number in range(NODES)]
        self.births = 0
        self.down = None
        self._stepping = gevent.spawn(self._step)
        for number in range(3):
            self.birth(number)
        for node in self.nodes:
            node.watch.ensure_service('ledger')

    def _step(self):
        while True:
            for host in self.hosts:
                host.step()
            gevent.sleep(0.02)

    def birth(self, number, cold=False):
        self.births += 1
        self.log.put_server(number, self.births, cold_start=cold)

    def event(self):
        luck = self.luck
        number = luck.randrange(3)
        name = luck.choice(DATA_CENTRES)
        host = luck.choice(self.hosts)
        node = luck.choice(self.nodes)
        events = {
            'out': lambda: self.log.set_out(name, True),
            'in': lambda: self.log.set_out(name, False),
            'again': lambda: [self.log.set_out(name, True)] * 2,
            'out and in': lambda: [
                self.log.set_out(name, out) for out in (True, False)
            ],
            'birth': lambda: self.birth(number, luck.random() < 0.5),
            'drain': lambda: self.log.put_server(
                number, self.births, state='draining'
            ),
            'remove': lambda: self.log.remove_server(number),
            'freeze': lambda: setattr(host, 'frozen', True),
            'thaw': lambda: setattr(host, 'frozen', False),
            'restart host': lambda: self.restart_host(host),
            'restart node': lambda: self.restart_node(node),
            'failures': node.fail_for_lack,
        }
        kind = luck.choice(list(events))
        events[kind]()
        return kind

    def restart_host(self, host):
        """Restart a host with an older state, as from its disk."""
        host.stop()
        gevent.sleep(0.05)
        host.start(self.luck.randint(0, host.known))

    def restart_node(self, node):
        node.stop()
        node.start()
        gevent.spawn(node.watch.ensure_service, 'ledger')

    def calm(self):
        for host in self.hosts:
            host.frozen = False

    def stop(self):
        self._stepping.kill()
        for part in self.nodes + self.hosts:
            part.stop()


def within(condition, timeout_ms):
    ends_ms = monotonic_ms() + timeout_ms
    while not condition():
        if monotonic_ms() > ends_ms:
            return False
        gevent.sleep(0.02)
    return True


@pytest.mark.parametrize('seed', range(SEEDS))
def test_each_node_uses_a_server_once_one_may_be_used(seed):
    play = Play(seed)
    kinds = []
    try:
        for _ in range(EVENTS):
            kinds.append(play.event())
            gevent.sleep(play.luck.choice((0.0, 0.0, 0.05, 0.3)))
        play.calm()
        for is_usable in (play.log.has_usable(), False, True):
            if not is_usable and play.log.has_usable():
                for name in DATA_CENTRES:
                    play.log.set_out(name, True)
            elif is_usable and not play.log.has_usable():
                play.log.set_out('kushiro', False)
                play.birth(0)
            for node in play.nodes:
                if not is_usable:
                    node.fail_for_lack()
                assert within(
                    lambda n=node, u=is_usable: (
                        n.forwarder.has_backend('ledger') is u
                    ),
                    IN_FORCE_MS,
                ), (node.number, is_usable, kinds)
        for node in play.nodes:
            assert within(node.admits_all, COLD_MS), (node.number, kinds)
    finally:
        play.stop()
