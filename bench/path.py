"""
bench.path
~~~~~~~~~~

Latency that the nodes add to a call.  Each arrival makes a direct call to
the backend server and one through one or two nodes, in random order; what
is added is the difference of the two.
"""

from contextlib import contextmanager
import random
import socket
import sys
import time

import gevent

from bench.fleet import BACKEND_PORT
from bench.fleet import CALLER_PORT
from bench.fleet import EGRESS_PORT
from bench.fleet import running_fleet
from bench.load import percentile
from bench.result import Bound
from bench.result import print_result
from bench.result import print_table
from bench.result import summarise

__all__ = ['run']

RATE_PER_S = 300
DURATION_S = 10.0
WARM_UP_S = 3.0
WAIT_S = 15.0
KEY = 'key-of-bench'
PATH = '/desk/balance?account=12345'
BOUNDS = (
    Bound('added_p99_ms', '<=', 1.3),
    Bound('one_node_added_p99_ms', '<=', 1.3),
    Bound('node_rss_mb', '<=', 32),
)
CONFIGURATION = {
    'data_centres': ['dc-a'],
    'profiles': [{'name': 'query', 'timeout_ms': 2_000}],
    'services': [
        {'name': 'desk', 'routes': [{'prefix': '/desk', 'profile': 'query'}]}
    ],
    'organisations': [
        {'name': 'bench', 'rate_per_s': 100_000, 'burst_requests': 100_000}
    ],
}


def run(options):
    """Run all seeds; returns the exit status."""
    runs = [_run_seed(seed, options.keep_logs) for seed in options.seed_list()]
    print_table(list(runs[0]), [list(run.values()) for run in runs])
    result = summarise(runs, BOUNDS)
    for name in ('added_p50_ms', 'one_node_added_p50_ms', 'direct_p99_ms'):
        result[name] = round(_median(runs, name), 4)
    for name in ('cpu_us_per_call', 'one_node_cpu_us_per_call'):
        result[name] = round(_median(runs, name))
    print_result(result)
    return 0 if result['bounds_met'] else 1


def _median(runs, name):
    return sorted(run[name] for run in runs)[len(runs) // 2]


def _run_seed(seed, keep_logs):
    with running_fleet(keep_logs) as fleet:
        fleet.add_control(1, 'dc-a')
        server = _add_server(fleet)
        entry, _ = fleet.add_node('dc-a')
        fleet.operator.configure(CONFIGURATION)
        fleet.operator.grant_key('bench', KEY)
        fleet.wait_ready(minimum=1)
        paths = {
            'direct': server.backend,
            'one': server.address(CALLER_PORT),
            'two': entry.address(CALLER_PORT),
        }
        for address in paths.values():
            _wait_served(address)
        two = _Phase(paths['direct'], paths['two'], seed)
        two.run(WARM_UP_S)
        two.forget()
        with _processor_time(entry, server) as used_us:
            two.run(DURATION_S)
        two_us = [value / len(two.added_ms) for value in used_us]
        one = _Phase(paths['direct'], paths['one'], seed)
        one.run(WARM_UP_S)
        one.forget()
        with _processor_time(entry, server) as used_us:
            one.run(DURATION_S)
        one_us = used_us[1] / len(one.added_ms)
        return {
            'seed': seed,
            'added_p99_ms': percentile(two.added_ms, 0.99),
            'added_p50_ms': percentile(two.added_ms, 0.5),
            'one_node_added_p99_ms': percentile(one.added_ms, 0.99),
            'one_node_added_p50_ms': percentile(one.added_ms, 0.5),
            'direct_p50_ms': percentile(two.direct_ms, 0.5),
            'direct_p99_ms': percentile(two.direct_ms, 0.99),
            'cpu_us_per_call': max(two_us),
            'one_node_cpu_us_per_call': one_us,
            'node_rss_mb': max(entry.rss_mb(), server.rss_mb()),
        }


def _add_server(fleet):
    """Start a node beside a backend server that does the least work."""
    ip = fleet.next_ip()
    backend = f'{ip}:{BACKEND_PORT}'
    node, _ = fleet.add_node('dc-a', options={'backend-address': backend})
    egress = node.address(EGRESS_PORT)
    command = [sys.executable, '-m', 'bench.plain', backend, egress, 'desk']
    process = fleet.process('plain', 'standin', ip, command)
    process.start()
    fleet.others.append(process)
    node.backend = backend
    return node


def _wait_served(address):
    caller = _Caller(address)
    until_s = time.monotonic() + WAIT_S
    while True:
        try:
            return caller.call()
        except AssertionError:
            if time.monotonic() > until_s:
                raise
            gevent.sleep(0.1)


@contextmanager
def _processor_time(*processes):
    """Yield a list that holds the microseconds used at the block's end."""
    used_us = []
    before = [process.cpu_s() for process in processes]
    yield used_us
    used_us += [
        (process.cpu_s() - start) * 1e6
        for process, start in zip(processes, before, strict=True)
    ]


class _Phase:
    """
    Pairs of calls at a fixed mean rate.

    :ivar added_ms: difference of each pair.
    :ivar direct_ms: time of each direct call.
    """

    def __init__(self, direct, path, seed):
        self.added_ms = []
        self.direct_ms = []
        self._callers = (_Caller(direct), _Caller(path))
        self._random = random.Random(seed)

    def forget(self):
        """Drop what was measured."""
        self.added_ms.clear()
        self.direct_ms.clear()

    def run(self, duration_s):
        """Make pairs for a time."""
        begun_s = time.monotonic()
        due_s = 0.0
        jobs = []
        while due_s < duration_s:
            delay_s = due_s - (time.monotonic() - begun_s)
            if delay_s > 0:
                gevent.sleep(delay_s)
            jobs.append(gevent.spawn(self._pair))
            due_s += self._random.expovariate(RATE_PER_S)
        gevent.joinall(jobs, raise_error=True)

    def _pair(self):
        order = [0, 1]
        self._random.shuffle(order)
        times_ms = [0.0, 0.0]
        for index in order:
            times_ms[index] = self._callers[index].call()
        self.direct_ms.append(times_ms[0])
        self.added_ms.append(times_ms[1] - times_ms[0])


class _Caller:
    """Kept-alive connections to one address, with the least work a call."""

    def __init__(self, address):
        host, port = address.rsplit(':', 1)
        self._address = (host, int(port))
        self._idle = []
        self._request = (
            f'GET {PATH} HTTP/1.1\r\nHost: bench\r\n'
            f'Damasklanding-Key: {KEY}\r\nAccept: application/json\r\n'
            'User-Agent: bench\r\nX-Work-Id: path\r\n\r\n'
        ).encode()

    def call(self):
        """Make one call and return its time in milliseconds."""
        sock = self._idle.pop() if self._idle else self._connect()
        begun_s = time.perf_counter()
        sock.sendall(self._request)
        data = sock.recv(65_536)
        while not _whole(data):
            data += sock.recv(65_536)
        elapsed_ms = (time.perf_counter() - begun_s) * 1000
        if not data.startswith(b'HTTP/1.1 200'):
            raise AssertionError(data)
        self._idle.append(sock)
        return elapsed_ms

    def _connect(self):
        sock = socket.create_connection(self._address, 5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock


def _whole(data):
    head, found, body = data.partition(b'\r\n\r\n')
    if not found:
        return False
    length = head.lower().partition(b'content-length: ')[2]
    return len(body) >= int(length.partition(b'\r')[0])
