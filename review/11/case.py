"""
Case 11: a node goes on with a route and a key that were dropped.

A node is frozen for a while.  Meanwhile one control host loses its disk, the
operator drops a route and a tenant, and makes more changes, and the control
host comes back empty.  When the node wakes, it follows that control host.
Without the trouble the control host keeps its disk and is not stopped.
"""

import asyncio
import json
import os
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from fleet3.fleet import Fleet  # noqa: E402
from fleet3.fleet import Operator  # noqa: E402
from fleet3.fleet import Record  # noqa: E402
from fleet3.fleet import main_guard  # noqa: E402
from fleet3.servers import Server  # noqa: E402
from fleet3.servers import ask  # noqa: E402
from fleet3.servers import new_id  # noqa: E402
from fleet3.servers import request_bytes  # noqa: E402

SERVICE = 'balance-desk'
HOST = 'hulo84.example'
NODES = 10
KEPT_KEY = '6wsjnbanfqasnmgkcuyj'
DROPPED_KEY = '8pjbvk9m68k7b2ex5wa5'
OTHER_ROUTES = 70
CHANGES_BEFORE = 830
CHANGES_AFTER = 22
RACE_EVERY = 6  # a second operator builds on the same version that often
FROZEN_S = 3.5  # the site's longest freeze of a node
CALM_S = 6.0  # `stableWindow` and more after the node has woken
ASK_S = 5.0
FEW = 3  # requests that are let pass


def desired_state(version, base, dropped, author=0):
    """Return a desired state, with or without the dropped parts."""
    prefixes = ['/kept111/'] if dropped else ['/kept111/', '/drop222/']
    prefixes += [f'/leny{n * 7919:06x}/' for n in range(OTHER_ROUTES)]
    tenants = [('pulo780', KEPT_KEY)]
    if not dropped:
        tenants.append(('nika331', DROPPED_KEY))
    moved_ms = 4000 + (2 * version + author) % 900
    return json.dumps(
        {
            'version': f'{version:08x}',
            'baseVersion': f'{base:08x}',
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeout': '3000ms',
                'idleTimeout': '15000ms',
            },
            'tenants': [
                {'name': name, 'apiKeys': [key], 'priority': 1}
                for name, key in tenants
            ],
            'listeners': [
                {
                    'host': HOST,
                    'rules': [
                        {
                            'name': f'r-{prefix[1:-1]}',
                            'routeType': 'idempotent',
                            'targetLatency': '1500ms',
                            'priority': 1,
                            'public': False,
                            'match': {'pathPrefix': prefix},
                            'action': {
                                'service': SERVICE,
                                'timeout': f'{moved_ms}ms'
                                if prefix == prefixes[-1]
                                else '5000ms',
                                'maxAttempts': 2,
                            },
                        }
                        for prefix in prefixes
                    ],
                }
            ],
            'clusters': [
                {
                    'name': SERVICE,
                    'healthPath': '/healthz',
                    'maxConnections': 994,
                    'protocol': 'h1',
                    'tls': False,
                    'warmup': '3s',
                    'warmupPerS': 33.0,
                }
            ],
        }
    ).encode()


class Operators:
    """Two operators; at times both build on the same version."""

    def __init__(self, fleet):
        self.version = 0
        self._operators = [Operator(fleet), Operator(fleet)]

    def change(self, dropped, count=1):
        """Make a number of changes, one after the other."""
        for _ in range(count):
            base, version = self.version, self.version + 1
            body = desired_state(version, base, dropped)
            status = self._operators[0].order('PUT', '/config', body, 10)
            if status != 200:
                raise RuntimeError(f'version {version}: {status}')
            self.version = version
            if base and not version % RACE_EVERY:
                body = desired_state(version, base, dropped, 1)
                status = self._operators[1].order('PUT', '/config', body, 10)
                if status != 412:
                    raise RuntimeError(f'the second of a race: {status}')


async def status_of(fleet, side, path, key):
    """Return the status of one request at a node."""
    request_id = new_id()
    data = request_bytes(
        'GET', HOST, f'{path}{request_id}', request_id, 3000, b'', key
    )
    address = side.fields['bindAddresses']['outbound']
    answer = await ask(address, data, 4.0)
    fleet.record.write(
        f'{request_id} {path} {key[:4]} at {side.name}: '
        f'{answer.status or answer.note} {answer.signature}'
    )
    return answer.status if not answer.signature else 'run'


def followed_by(fleet, side):
    """Return the control host that a node says that it follows."""
    with open(os.path.join(fleet.folder, f'{side.name}.log')) as file:
        lines = [line for line in file if 'follows' in line]
    return next(c for c in fleet.cores if f' {c.ip} ' in lines[-1])


async def play(fleet, record, trouble):
    """Play the case; return how often the dropped parts were used."""
    loop = asyncio.get_running_loop()
    fleet.start()
    await asyncio.sleep(4)
    operators = Operators(fleet)
    await loop.run_in_executor(None, operators.change, False)
    servers = [Server(fleet, s, SERVICE, s.name) for s in fleet.sides]
    for server in servers:
        await server.start()
    await asyncio.sleep(2)
    await loop.run_in_executor(None, operators.change, False, CHANGES_BEFORE)
    record.write(f'version {operators.version} is acknowledged')
    side, other = fleet.sides[:2]
    await asyncio.sleep(2)
    followed = followed_by(fleet, side)
    beside = next(
        core
        for core in fleet.cores
        if core is not followed and core.fields['zone'] == side.fields['zone']
    )
    for path, key in (('/drop222/', KEPT_KEY), ('/kept111/', DROPPED_KEY)):
        if await status_of(fleet, side, path, key) != 'run':
            raise RuntimeError('the node does not serve yet')
    side.signal(signal.SIGSTOP)
    frozen = time.monotonic()
    if trouble:
        beside.kill()
        shutil.rmtree(beside.fields['dataDir'])
        record.write(f'{beside.name} has lost its disk')
    await loop.run_in_executor(None, operators.change, True, CHANGES_AFTER)
    record.write(
        f'version {operators.version}, without the route and the tenant, is '
        f'acknowledged {time.monotonic() - frozen:.2f} s into the freeze'
    )
    if trouble:
        beside.start()
    await asyncio.sleep(frozen + FROZEN_S - time.monotonic())
    side.signal(signal.SIGCONT)
    await asyncio.sleep(CALM_S)
    used = {side.name: 0, other.name: 0}
    asked = 0
    ends = time.monotonic() + ASK_S
    while time.monotonic() < ends:
        asked += 1
        for node in (side, other):
            for path, key in (
                ('/drop222/', KEPT_KEY),
                ('/kept111/', DROPPED_KEY),
            ):
                found = await status_of(fleet, node, path, key)
                used[node.name] += found == 'run'
        await asyncio.sleep(0.2)
    record.write(
        f'{side.name} follows {followed_by(fleet, side).name}; of '
        f'{2 * asked} requests for what was dropped these were run: {used}'
    )
    return sum(used.values())


def run():
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    folder = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(folder, 'record.txt'))
    trouble = os.environ.get('TROUBLE', '1') != '0'
    fleet = Fleet(record, core=5, services=(SERVICE,) * NODES, first='127.61')
    try:
        used = asyncio.run(play(fleet, record, trouble))
    finally:
        fleet.stop()
    broken = used > FEW
    record.write('the rule was broken' if broken else 'the rule held')
    return int(broken)


main_guard(run)
