"""
bench.slopes
~~~~~~~~~~~~

What each watcher, change, backend server, organisation and link costs a
control host and a node, measured at several sizes, fitted, and carried to
the target size.  The table is that of docs/CAPACITY.md.
"""

from dataclasses import dataclass
import json
import os
import statistics
import sys
import time
from uuid import uuid4

import gevent
from gevent.pool import Pool

from bench.fleet import PEER_PORT
from bench.fleet import SECRET
from bench.fleet import running_fleet
from bench.fleetstart import start_bytes
from bench.relay import Relay
from bench.result import print_result
from bench.result import print_table
from damasklanding.fleet import commands
from damasklanding.fleet import resources
from damasklanding.link import RECENT_USE_MS
from damasklanding.link import Identity
from damasklanding.link import LinkOptions
from damasklanding.link import open_link
from damasklanding.linkserver import LinkServer
from damasklanding.messages import Accepted
from damasklanding.messages import StatusRequest
from damasklanding.node.view import FleetView
from damasklanding.policy.types import LoadReport
from damasklanding.policy.types import encode_load

__all__ = ['run']

WATCHER_COUNTS = (0, 60, 120, 240)
STARTED_COUNTS = (30, 100, 240)
BACKEND_COUNTS = (0, 500, 1_000, 2_000)
LINK_COUNTS = (0, 50, 100, 200)
MEASURE_S = 6.0
SETTLE_S = 2.0
CHANGES = 100
PROPOSERS = 32
DATA_CENTRES = 20

#: The users' target.
NODES = 6_900
SERVICES = 460
CONTROL_HOSTS = 9
CHANGES_A_DAY = 22_000
RESTARTS_A_DAY = 2_000
CHANGES_A_RESTART = 3  # draining, gone, registered
DAY_S = 86_400
LINKS = 3 * 24  # of a node that sends to three services


@dataclass(frozen=True)
class Fit:
    """
    A line through measurements.

    :ivar error: root mean square residual over the range of the values.
    """

    name: str
    unit: str
    base: float
    slope: float
    error: float
    largest: float

    @classmethod
    def through(cls, name, unit, sizes, values):
        """Return the least-squares line."""
        line = statistics.linear_regression(sizes, values)
        residuals = [
            value - line.intercept - line.slope * size
            for size, value in zip(sizes, values, strict=True)
        ]
        spread = max(values) - min(values) or 1.0
        error = statistics.pstdev(residuals) / spread
        return cls(name, unit, line.intercept, line.slope, error, max(sizes))

    def row(self):
        """Return cells for the table."""
        return [
            self.name,
            self.unit,
            self.base,
            self.slope,
            f'{self.error:.1%}',
            self.largest,
        ]


def run(options):
    """Measure all slopes; returns the exit status."""
    fits = []
    fits.append(_fleet_start())
    fits += _watchers(options.keep_logs)
    fits += _backends(options.keep_logs)
    fits += _links()
    fits += _node_state()
    named = {fit.name: fit for fit in fits}
    print_table(
        ['slope', 'unit', 'base', 'per item', 'fit error', 'largest'],
        [fit.row() for fit in fits],
    )
    print_result(_target(named, _node_rss_mb(options.keep_logs)))
    return 0


def _watchers(keep_logs):
    """Measure watchers' heartbeats and changes on three control hosts."""
    cpu, rss, delivered, burst, node_cpu = [], [], [], [], []
    with running_fleet(keep_logs) as fleet:
        fleet.add_control(3)
        addresses = [host.address(PEER_PORT) for host in fleet.control]
        relay = Relay(f'{fleet.next_ip()}:{PEER_PORT}', addresses[0])
        relay.start()
        started = 0
        for count in WATCHER_COUNTS:
            _add_watchers(fleet, addresses, count - started, f'w{count}')
            started = count
            gevent.sleep(SETTLE_S)
            cpu.append(_cpu_ms_per_s(fleet.control))
            node_cpu.append(_cpu_ms_per_s(fleet.others))
            rss.append(sum(host.rss_mb() for host in fleet.control))
            delivered.append(_change_cpu_ms(fleet))
            burst.append(_burst_cpu_ms(fleet, count))
        bytes_per_s = _bytes_per_watcher(fleet, relay)
    return [
        Fit.through('watch_cpu', 'ms/s', WATCHER_COUNTS, cpu),
        Fit.through('watch_rss', 'MB', WATCHER_COUNTS, rss),
        Fit.through('watching_cpu', 'ms/s', WATCHER_COUNTS, node_cpu),
        Fit.through('delivery_cpu', 'ms a change', WATCHER_COUNTS, delivered),
        Fit.through('burst_cpu', 'ms a change', WATCHER_COUNTS, burst),
        Fit('watch_bytes', 'B/s', 0.0, bytes_per_s, 0.0, 30),
    ]


def _fleet_start():
    """Measure the bytes that a start of a fleet sends to each watcher."""
    values = [start_bytes(count) / count / 1000 for count in STARTED_COUNTS]
    return Fit.through('start_bytes', 'kB a watcher', STARTED_COUNTS, values)


def _node_rss_mb(keep_logs):
    """Return the memory of a node beside an idle backend server."""
    with running_fleet(keep_logs) as fleet:
        fleet.add_control(1)
        node, _standin = fleet.add_node('dc-a', 'desk')
        fleet.wait_ready()
        gevent.sleep(SETTLE_S)
        return node.rss_mb()


def _add_watchers(fleet, addresses, count, prefix):
    if not count:
        return
    fields = {'addresses': addresses, 'count': count, 'prefix': prefix}
    command = [sys.executable, '-m', 'bench.watchers', json.dumps(fields)]
    process = fleet.process(prefix, 'standin', fleet.next_ip(), command)
    process.start()
    fleet.others.append(process)


def _cpu_ms_per_s(processes):
    before = sum(process.cpu_s() for process in processes)
    begun_s = time.monotonic()
    gevent.sleep(MEASURE_S)
    spent_s = sum(process.cpu_s() for process in processes) - before
    return spent_s * 1000 / (time.monotonic() - begun_s)


def _change_cpu_ms(fleet):
    """Return the processor time of one change on all control hosts."""

    def change():
        for index in range(CHANGES):
            profile = resources.Profile(name='p', weight=1 + index % 900)
            fleet.operator.propose(commands.PutProfile(profile=profile))

    return _cpu_ms_of(fleet, change)


def _burst_cpu_ms(fleet, count):
    """Return the same of one of many registrations at once."""

    def register():
        jobs = Pool(PROPOSERS)
        for index in range(CHANGES):
            command = _register(1_000 * count + index)
            jobs.spawn(fleet.operator.propose, command)
        jobs.join()

    return _cpu_ms_of(fleet, register)


def _cpu_ms_of(fleet, work):
    idle_ms_per_s = _cpu_ms_per_s(fleet.control)
    before_s = sum(host.cpu_s() for host in fleet.control)
    begun_s = time.monotonic()
    work()
    gevent.sleep(0.5)
    spent_s = sum(host.cpu_s() for host in fleet.control) - before_s
    idle_ms = idle_ms_per_s * (time.monotonic() - begun_s)
    return (spent_s * 1000 - idle_ms) / CHANGES


def _bytes_per_watcher(fleet, relay):
    count = 30
    _add_watchers(fleet, [relay.listen], count, 'relayed')
    gevent.sleep(SETTLE_S)
    before = relay.passed_bytes
    gevent.sleep(MEASURE_S)
    return (relay.passed_bytes - before) / MEASURE_S / count


def _backends(keep_logs):
    """Measure registered backend servers on a control host."""
    rss, log = [], []
    with running_fleet(keep_logs) as fleet:
        fleet.add_control(1)
        (host,) = fleet.control
        started = 0
        for count in BACKEND_COUNTS:
            for index in range(started, count):
                fleet.operator.propose(_register(index))
            started = count
            gevent.sleep(0.5)
            rss.append(host.rss_mb())
            log.append(_folder_bytes(fleet.folder, host.name))
    return [
        Fit.through('backend_rss', 'MB', BACKEND_COUNTS, rss),
        Fit.through('backend_log', 'B', BACKEND_COUNTS, log),
    ]


def _register(index):
    backend = _backend(index)
    return commands.RegisterBackend(backend=backend)


def _backend(index):
    return resources.Backend(
        name=f'node-{index}',
        instance=uuid4().hex,
        data_centre='dc-a',
        peer_address=f'10.0.{index // 250}.{index % 250}:7400',
        service=f'service-{index % SERVICES}',
        slots=100,
    )


def _folder_bytes(folder, name):
    total = 0
    for root, _, files in os.walk(os.path.join(folder, name)):
        total += sum(os.path.getsize(os.path.join(root, f)) for f in files)
    return total


def _links():
    """Measure idle links between nodes, both ends in this process."""
    identity = Identity('a', 'node', 'i')
    cpu, rss = [], []
    server = LinkServer('127.0.0.1:0', identity, SECRET.encode(), {})
    server.start()
    for count in LINK_COUNTS:
        # New ones for each count, since unused links close after a while.
        links = [
            open_link(server.address, identity, SECRET.encode())
            for _ in range(count)
        ]
        gevent.sleep(SETTLE_S)
        before_s = time.process_time()
        gevent.sleep(MEASURE_S)
        cpu.append((time.process_time() - before_s) * 1000 / MEASURE_S / 2)
        rss.append(_own_rss_mb() / 2)
        for link in links:
            link.close()
    server.stop()
    return [
        Fit.through('link_cpu', 'ms/s', LINK_COUNTS, cpu),
        Fit.through('link_rss', 'MB', LINK_COUNTS, rss),
        Fit('link_bytes', 'B/s', 0.0, _bytes_per_used_link(), 0.0, 1),
    ]


def _bytes_per_used_link():
    """Return the bytes a second of heartbeats on a link in use."""
    load = encode_load(LoadReport('service', 100, 50, 5, 100.0, 10.0))
    identity = Identity('a', 'node', 'i')
    options = LinkOptions(load_report=lambda: load)
    handlers = {StatusRequest: _answer_status}
    server = LinkServer(
        '127.0.0.1:0', identity, SECRET.encode(), handlers, options
    )
    server.start()
    relay = Relay('127.0.0.1:0', server.address)
    relay.start()
    link = open_link(relay.address, identity, SECRET.encode(), options=options)
    link.request(StatusRequest('g'), 1_000)
    before = relay.passed_bytes
    gevent.sleep(RECENT_USE_MS / 1000)
    server.stop()
    return (relay.passed_bytes - before) / (RECENT_USE_MS / 1000)


def _answer_status(_exchange, _message):
    return Accepted()


def _node_state():
    """Measure what a view holds of services, organisations and servers."""
    fits = []
    for name, make in (
        ('view_backend', lambda i: ('backend', _backend(i))),
        ('view_service', lambda i: ('service', _service(i))),
        ('view_organisation', lambda i: ('organisation', _organisation(i))),
    ):
        sizes, values, view, held = [], [], FleetView(), 0
        for size in (0, 2_000, 4_000, 8_000):
            changes = [
                resources.Change.put(*make(index))
                for index in range(held, size)
            ]
            view.apply(1, size + 1, changes)
            held = size
            del changes
            sizes.append(size)
            values.append(_own_rss_mb())
        fits.append(Fit.through(name, 'MB', sizes, values))
    return fits


def _service(index):
    route = resources.Route(prefix=f'/service-{index}', profile='p')
    return resources.Service(name=f'service-{index}', routes=(route,))


def _organisation(index):
    key = resources.Key(key_id='k', digest=f'{index:064x}')
    return resources.Organisation(
        name=f'organisation-{index}',
        rate_per_s=10,
        burst_requests=10,
        keys=(key,),
    )


def _own_rss_mb():
    with open('/proc/self/statm') as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1e6


def _target(fits, node_rss_mb):
    """Return the figures at the target size."""
    watchers = NODES / CONTROL_HOSTS
    changes_per_s = (
        CHANGES_A_DAY + RESTARTS_A_DAY * CHANGES_A_RESTART
    ) / DAY_S
    host_cpu_ms = (
        fits['watch_cpu'].base / 3
        + watchers * fits['watch_cpu'].slope
        + changes_per_s * fits['delivery_cpu'].base / 3
        + changes_per_s * watchers * fits['delivery_cpu'].slope
    )
    host_rss_mb = (
        fits['watch_rss'].base / 3
        + watchers * fits['watch_rss'].slope
        + NODES * fits['backend_rss'].slope
        + SERVICES * fits['view_service'].slope
    )
    node_cpu_ms = fits['watching_cpu'].slope + LINKS * fits['link_cpu'].slope
    node_view_mb = SERVICES * fits['view_service'].slope + LINKS * (
        fits['view_backend'].slope + fits['link_rss'].slope
    )
    return {
        'control_cpu_percent': round(node_cpu_ms / 10, 2),
        'control_rss_mb': round(node_rss_mb + node_view_mb, 1),
        'control_kb_s': round(
            (fits['watch_bytes'].slope + LINKS * fits['link_bytes'].slope)
            / 1000,
            2,
        ),
        'node_base_rss_mb': round(node_rss_mb, 1),
        'host_cpu_percent': round(host_cpu_ms / 10, 1),
        'data_centre_return_s': round(
            NODES
            / DATA_CENTRES
            * (fits['burst_cpu'].base / 3 + watchers * fits['burst_cpu'].slope)
            / 1000,
            2,
        ),
        'host_rss_mb': round(host_rss_mb, 1),
        'host_watchers': round(watchers),
        'changes_per_s': round(changes_per_s, 3),
        'link_cpu_us_per_s': round(fits['link_cpu'].slope * 1000, 1),
        'link_rss_kb': round(fits['link_rss'].slope * 1000, 1),
        'view_mb_of_services': round(SERVICES * fits['view_service'].slope, 2),
        'view_mb_of_100_backends': round(100 * fits['view_backend'].slope, 3),
    }
