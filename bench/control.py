"""
bench.control
~~~~~~~~~~~~~

The replicated log alone: three control hosts on loopback links in this one
process, with synced files.  Latency and rate of changes, the pause when the
leader stops or dies, and the restart after a day's changes.
"""

from contextlib import contextmanager
import os
import statistics
import tempfile
import time

import gevent
from loguru import logger
import msgspec

from bench.result import Bound
from bench.result import print_result
from bench.result import print_table
from damasklanding.control.client import ControlClient
from damasklanding.control.host import ControlHost
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import Outcome
from damasklanding.fleet.commands import PutOrganisation
from damasklanding.fleet.commands import PutProfile
from damasklanding.fleet.commands import RegisterBackend
from damasklanding.fleet.commands import SetDataCentre
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import Organisation
from damasklanding.fleet.resources import Profile
from damasklanding.link import Identity
from damasklanding.linkpool import LinkPool
from damasklanding.linkserver import LinkServer
from damasklanding.settings import Settings

__all__ = ['run']

SECRET = b'0123456789abcdef'
NAMES = ('c1', 'c2', 'c3')
CHANGES_A_DAY = 22_000
SEQUENTIAL = 300
WORKERS = 32
RATE_S = 3
FAILOVERS = 6
TIMEOUT_MS = 10_000
HANDSHAKE_S = 0.05  # for links that were being made, so that all are closed

BOUNDS = (
    Bound('change_p99_ms', '<=', 50),
    Bound('changes_per_s', '>=', 500),
    Bound('stop_pause_ms', '<=', 500),
    Bound('kill_pause_ms', '<=', 3_000),
    Bound('restart_open_ms', '<=', 1_000),
    Bound('restart_exact', '==', 1),
)


class Hosts:
    """Control hosts that can be stopped and started again."""

    def __init__(self, folder):
        self.folder = folder
        self.hosts = {}
        self.servers = {}
        self.pools = {}
        for name in NAMES:
            self._listen(name, '127.0.0.1:0')
        self.addresses = tuple(
            (name, server.address) for name, server in self.servers.items()
        )

    def _listen(self, name, address):
        identity = Identity(name, 'control', os.urandom(4).hex())
        handlers = {}
        server = LinkServer(address, identity, SECRET, handlers)
        server.handlers = handlers
        server.start()
        self.servers[name] = server

    def start(self, name):
        """Start a host; return it and the time to open its folder."""
        if name not in self.servers:
            self._listen(name, dict(self.addresses)[name])
        identity = Identity(name, 'control', os.urandom(4).hex())
        settings = Settings(
            name=name,
            roles=('control',),
            data_centre='kushiro',
            peer_address=dict(self.addresses)[name],
            secret=SECRET,
            control_hosts=self.addresses,
            data_folder=os.path.join(self.folder, name),
            bootstrap=True,
        )
        self.pools[name] = LinkPool(identity, SECRET)
        begun = time.perf_counter()
        host = ControlHost(settings, identity, self.pools[name])
        took_ms = (time.perf_counter() - begun) * 1_000
        self.servers[name].handlers.update(host.handlers())
        self.hosts[name] = host
        host.start()
        return host, took_ms

    def stop(self, name, planned=True):
        """Stop a host, with or without handing leadership over."""
        self.servers[name].stop_accepting()
        host = self.hosts.pop(name)
        if not planned:
            host.config.stop(transfer_leadership=False)
        host.stop()
        gevent.sleep(HANDSHAKE_S)
        self.servers.pop(name).stop()
        self.pools.pop(name).close()

    def leader(self):
        """Wait for a leader with proof and return its host."""
        while True:
            for host in self.hosts.values():
                if host.config.confirmed_age_ms() < 1_000:
                    return host
            gevent.sleep(0.002)

    def settle(self):
        """Wait until all hosts have applied the same entries."""
        while True:
            last = self.leader().config.journal.last_index
            indexes = {h.config.applied_index for h in self.hosts.values()}
            if indexes == {last}:
                return
            gevent.sleep(0.002)


@contextmanager
def started():
    """Found a fleet of three control hosts in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix='damasklanding-') as folder:
        hosts = Hosts(folder)
        for name in NAMES:
            hosts.start(name)
        hosts.leader()
        try:
            yield hosts
        finally:
            for name in list(hosts.hosts):
                hosts.stop(name)


class Proposer:
    """Sends changes of all common kinds and times them."""

    def __init__(self, hosts):
        identity = Identity('bench', 'tool', 'bench')
        pool = LinkPool(identity, SECRET)
        self._client = ControlClient(pool, lambda: hosts.addresses)
        self.count = 0

    def change(self):
        """Have the next change accepted; return its time."""
        self.count += 1
        envelope = Envelope(
            request_id=f'request-{self.count:012d}',
            operator='bench',
            command=_command(self.count),
        )
        payload = msgspec.msgpack.encode(envelope)
        begun = time.perf_counter()
        data = self._client.propose('config', payload, TIMEOUT_MS)
        outcome = msgspec.msgpack.decode(data, type=Outcome)
        if outcome.error:
            raise RuntimeError(outcome.problem)
        return (time.perf_counter() - begun) * 1_000

    def many(self, until):
        """Send changes from many greenlets while a function allows it."""

        def work():
            while until():
                self.change()

        jobs = [gevent.spawn(work) for _ in range(WORKERS)]
        gevent.joinall(jobs, raise_error=True)


def _command(number):
    kind = number % 4
    if kind == 0:
        profile = Profile(name=f'p{number % 100}', weight=1 + number % 999)
        return PutProfile(profile=profile)
    if kind == 1:
        organisation = Organisation(
            name=f'o{number % 500}', rate_per_s=number, burst_requests=5
        )
        return PutOrganisation(organisation=organisation)
    if kind == 2:
        return SetDataCentre(name=f'd{number % 20}', region=f'r{number}')
    backend = Backend(
        name=f'n{number % 6_900}',
        instance=f'i{number}',
        data_centre='kushiro',
        peer_address='10.0.0.1:7400',
        service=f's{number % 460}',
    )
    return RegisterBackend(backend=backend)


def _pause_ms(hosts, proposer, planned):
    name = hosts.leader().settings.name
    hosts.settle()
    if not planned:
        hosts.stop(name, planned)
    begun = time.perf_counter()
    if planned:
        gevent.spawn(hosts.stop, name)
        gevent.sleep(0)
    proposer.change()
    pause_ms = (time.perf_counter() - begun) * 1_000
    while name in hosts.pools:
        gevent.sleep(0.002)
    hosts.start(name)
    hosts.settle()
    return pause_ms


def _log_bytes(hosts, proposer):
    journal = hosts.leader().config.journal
    before = journal.log_bytes
    for _ in range(100):
        proposer.change()
    return (journal.log_bytes - before) / 100


def _restart(hosts, proposer):
    proposer.many(lambda: proposer.count < CHANGES_A_DAY)
    for host in hosts.hosts.values():
        host.leases.stop()
    hosts.settle()
    name = next(n for n in NAMES if hosts.hosts[n] is not hosts.leader())
    state = hosts.hosts[name].view.state
    before = (state.position(), state.snapshot())
    size = len(hosts.hosts[name].config.state_machine.snapshot())
    hosts.stop(name)
    begun = time.perf_counter()
    host, open_ms = hosts.start(name)
    host.leases.stop()
    hosts.settle()
    ready_ms = (time.perf_counter() - begun) * 1_000
    state = host.view.state
    exact = (state.position(), state.snapshot()) == before
    return open_ms, ready_ms, size, exact


def run(_options):
    """Print the figures; return the exit status."""
    logger.remove()
    with started() as hosts:
        proposer = Proposer(hosts)
        times = sorted(proposer.change() for _ in range(SEQUENTIAL))
        log_bytes = _log_bytes(hosts, proposer)
        before = proposer.count
        end = time.perf_counter() + RATE_S
        proposer.many(lambda: time.perf_counter() < end)
        rate = (proposer.count - before) / RATE_S
        pauses = {
            planned: [
                _pause_ms(hosts, proposer, planned) for _ in range(FAILOVERS)
            ]
            for planned in (True, False)
        }
        open_ms, ready_ms, size, exact = _restart(hosts, proposer)
    result = {
        'change_p50_ms': statistics.median(times),
        'change_p99_ms': times[int(0.99 * len(times))],
        'changes_per_s': rate,
        'log_bytes_per_change': log_bytes,
        'stop_pause_ms': max(pauses[True]),
        'kill_pause_ms': max(pauses[False]),
        'kill_pause_median_ms': statistics.median(pauses[False]),
        'changes_before_restart': proposer.count,
        'restart_open_ms': open_ms,
        'restart_ready_ms': ready_ms,
        'restart_exact': int(exact),
        'snapshot_bytes': size,
    }
    result = {name: round(value, 2) for name, value in result.items()}
    met = all(bound.met(result[bound.name]) for bound in BOUNDS)
    print_table(['figure', 'value'], result.items())
    print_result({**result, 'bounds_met': met})
    return 0 if met else 1
