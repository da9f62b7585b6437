"""
control_cluster
~~~~~~~~~~~~~~~

Control hosts on loopback links in one process, for tests.
"""

from contextlib import contextmanager
import os
import shutil
import socket

import gevent
import msgspec

from damasklanding.control.client import ControlClient
from damasklanding.control.host import ControlHost
from damasklanding.control.timing import Timing
from damasklanding.errors import LinkClosed
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import Outcome
from damasklanding.link import Identity
from damasklanding.linkpool import LinkPool
from damasklanding.linkserver import LinkServer
from damasklanding.settings import Settings
from damasklanding.settings import seed_control_hosts

SECRET = b'0123456789abcdef'
#: Pause before a server stops, so that links whose handshake is under way are
#: complete and get closed too.
HANDSHAKE_S = 0.02
FAST_TIMING = Timing(heartbeat_ms=15, election_min_ms=90, election_max_ms=180)


def eventually(condition, timeout_s=10):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)


def envelope(command, request_id, operator='mia', expected=None):
    return Envelope(
        request_id=request_id,
        operator=operator,
        command=command,
        expected_revision=expected,
    )


class UnreachablePool:
    """Link pool of an isolated host: every connection fails."""

    def get(self, address):
        raise LinkClosed(f'no connection to {address}')


class Cluster:
    """Starts, stops, isolates and wipes control hosts by name."""

    def __init__(self, folder, names, timing=FAST_TIMING):
        self.folder = folder
        self.timing = timing
        self.hosts = {}
        self._servers = {name: self._listen(name) for name in names}
        self.addresses = tuple(
            (name, server.address) for name, server in self._servers.items()
        )
        self._pools = {}

    def _listen(self, name, address='127.0.0.1:0'):
        identity = Identity(name, 'control', os.urandom(4).hex())
        server = LinkServer(address, identity, SECRET, {})
        server._server.init_socket()
        return server

    def folder_of(self, name):
        return os.path.join(self.folder, name)

    def settings_of(self, name, address, bootstrap):
        return Settings(
            name=name,
            roles=('control',),
            data_centre='kushiro',
            peer_address=address,
            secret=SECRET,
            control_hosts=self.addresses,
            data_folder=self.folder_of(name),
            bootstrap=bootstrap,
        )

    def start(self, name, bootstrap=True):
        server = self._servers.get(name)
        if server is None:
            server = self._listen(name, dict(self.addresses)[name])
            self._servers[name] = server
        if name not in dict(self.addresses):
            self.addresses += ((name, server.address),)
        settings = self.settings_of(name, server.address, bootstrap)
        identity = Identity(name, 'control', os.urandom(4).hex())
        pool = LinkPool(identity, SECRET)
        host = ControlHost(settings, identity, pool, timing=self.timing)
        server._handlers.update(host.handlers())
        server.start()
        self._pools[name] = pool
        self.hosts[name] = host
        host.start()
        return host

    def add(self, name):
        """Start an empty host that is not a member yet."""
        self._servers[name] = self._listen(name)
        return self.start(name, bootstrap=False)

    def move(self, name):
        """Give a stopped host another address and return it."""
        server = self._servers[name] = self._listen(name)
        addresses = {**dict(self.addresses), name: server.address}
        self.addresses = tuple(addresses.items())
        return server.address

    def kill(self, name):
        host = self.hosts[name]
        for replica in host._replicas.values():
            replica.stop(transfer_leadership=False)
        self.stop(name)

    def wipe(self, name):
        self.kill(name)
        self.remove_disk(name)

    def remove_disk(self, name):
        shutil.rmtree(self.folder_of(name))

    def start_all(self):
        for name, _ in self.addresses:
            self.start(name)
        return self.leader()

    def stop(self, name):
        self._servers[name].stop_accepting()
        self.hosts.pop(name).stop()
        gevent.sleep(HANDSHAKE_S)
        self._servers.pop(name).stop()
        self._pools.pop(name).close()

    def isolate(self, name):
        """Break the connections from and to a host until it rejoins."""
        host = self.hosts[name]
        self._servers.pop(name).stop()
        self._pools[name].close()
        host.saved_pool = host._pool
        host._pool = UnreachablePool()

    def rejoin(self, name):
        host = self.hosts[name]
        host._pool = host.saved_pool
        server = self._listen(name, dict(self.addresses)[name])
        server._handlers.update(host.handlers())
        server.start()
        self._servers[name] = server

    def leader(self):
        eventually(lambda: self._leader() is not None)
        return self._leader()

    def _leader(self):
        for host in self.hosts.values():
            if host.config.confirmed_age_ms() < self.timing.election_min_ms:
                return host
        return None

    def has_leader(self):
        """Return whether a host leads that a quorum answers."""
        return self._leader() is not None

    def client(self, addresses=None, view=None):
        identity = Identity('test', 'tool', 'i')
        pool = LinkPool(identity, SECRET)
        return ControlClient(
            pool, lambda: addresses or self.addresses, view=view
        )

    def wait_until_converged(self):
        """Wait until all hosts have applied the same entries."""

        def same():
            indexes = {h.config.applied_index for h in self.hosts.values()}
            last = self.leader().config.journal.last_index
            return indexes == {last}

        eventually(same)

    def close(self):
        for name in list(self.hosts):
            self.stop(name)
        for server in self._servers.values():
            server.stop()


class SeededCluster(Cluster):
    """
    Control hosts that are named by their addresses and know three seeds.

    Hosts announce themselves, and no operator adds or removes one.
    """

    SEEDS = 3

    def __init__(self, folder, count, timing):
        self._port = _free_port()
        names = [self.name_of(n) for n in range(1, count + 1)]
        super().__init__(folder, names, timing)
        self._seeds = self._addresses_of(names)

    def name_of(self, number):
        return f'127.0.3.{number}'

    def _listen(self, name, address=''):
        return super()._listen(name, f'{name}:{self._port}')

    def _addresses_of(self, names):
        return tuple(f'{name}:{self._port}' for name in names[: self.SEEDS])

    def add(self, name):
        """Start an empty host whose seeds are hosts that run now."""
        self._seeds = self._addresses_of(list(self.hosts))
        return super().add(name)

    def settings_of(self, name, address, bootstrap):
        settings = super().settings_of(name, address, bootstrap)
        return msgspec.structs.replace(
            settings,
            seed_hosts=self._seeds,
            control_hosts=seed_control_hosts(self._seeds, address),
        )


def _free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.3.1', 0))
        return probe.getsockname()[1]


@contextmanager
def seeded_cluster(folder, count, timing=FAST_TIMING):
    """Start a fleet of control hosts that find each other by seeds."""
    fleet = SeededCluster(str(folder), count, timing)
    try:
        fleet.start_all()
        eventually(lambda: _all_vote(fleet, count))
        yield fleet
    finally:
        fleet.close()


def _all_vote(fleet, count):
    config = fleet.leader().config
    voters = [member for member in config.membership.current if member.voter]
    return len(voters) == count and config.membership.is_change_complete(
        config.commit_index
    )


@contextmanager
def cluster(folder, count=3, timing=FAST_TIMING):
    new_cluster = Cluster(
        str(folder), [f'c{n}' for n in range(1, count + 1)], timing
    )
    try:
        yield new_cluster
    finally:
        new_cluster.close()


def propose(client, command_envelope, timeout_ms=5_000):
    data = client.propose(
        'config', msgspec.msgpack.encode(command_envelope), timeout_ms
    )
    return msgspec.msgpack.decode(data, type=Outcome)
