"""
Case 11: many changes of a grown desired state, then the core is restarted.

The operator grows the desired state and then changes it some hundred times;
each change is acknowledged.  All processes of the core are killed at one
moment and are back within a second.  As on the pages, the platform kills a
process that uses more than ``memoryMb`` and starts it again.  At the end the
operator reads the desired state back.
"""

import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from fleet3.fleet import MEMORY_MB  # noqa: E402
from fleet3.fleet import Fleet  # noqa: E402
from fleet3.fleet import Operator  # noqa: E402
from fleet3.fleet import Record  # noqa: E402
from fleet3.fleet import main_guard  # noqa: E402

FIRST_ROUTES = 40
BIG_CONFIGS = 4
ROUTES_OF_BIG_CONFIG = 410
CHANGES = 450
DOWN_S = 0.5
RECOVERY_S = 15.0  # bound `recovery`; the read back goes on for twice that
SERVICES = ('balance-desk', 'plan-office', 'letter-archive', 'call-ledger')
TENANTS = 8


def desired_state(version, base, routes, change):
    """Return a desired state; a change moves the timeout of one route."""
    rules = [
        {
            'name': f'r-{number:06x}',
            'routeType': 'idempotent',
            'targetLatency': '1500ms',
            'priority': 2,
            'public': False,
            'match': {'pathPrefix': f'/leny{number * 7919:06x}/'},
            'action': {
                'service': SERVICES[number % len(SERVICES)],
                'timeout': f'{4000 + change % 900 if not number else 5000}ms',
                'maxAttempts': 2,
            },
        }
        for number in range(routes)
    ]
    document = {
        'version': f'{version:08x}',
        'baseVersion': f'{base:08x}',
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
        'tenants': [
            {
                'name': f'pulo{number:03d}',
                'apiKeys': [f'6wsjnbanfqasnmg{number:05d}'],
                'priority': 1,
                'ratePerS': 77,
                'burst': 77,
            }
            for number in range(TENANTS)
        ],
        'listeners': [{'host': 'hulo84.example', 'rules': rules}],
        'clusters': [
            {
                'name': name,
                'healthPath': '/healthz',
                'maxConnections': 994,
                'protocol': 'h1',
                'tls': False,
                'warmup': '3s',
                'warmupPerS': 33.0,
            }
            for name in SERVICES
        ],
    }
    return json.dumps(document, separators=(',', ':')).encode()


class Platform:
    """Kills a process over its memory and starts those that have ended."""

    def __init__(self, fleet, record):
        self._fleet = fleet
        self._record = record
        self._paused = threading.Event()
        self._ended = threading.Event()
        self.kills = dict.fromkeys((core.name for core in fleet.cores), 0)
        self.peaks = dict(self.kills)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def pause(self):
        """Leave the processes alone."""
        self._paused.set()
        time.sleep(0.1)

    def resume(self):
        """Watch the processes again."""
        self._paused.clear()

    def stop(self):
        """Leave the processes alone for good."""
        self._ended.set()
        self._thread.join()

    def _run(self):
        due = {}
        while not self._ended.wait(0.01):
            if self._paused.is_set():
                continue
            for core in self._fleet.cores:
                if core.child.poll() is not None:
                    now = time.monotonic()
                    if due.setdefault(core.name, now + DOWN_S) <= now:
                        del due[core.name]
                        core.start()
                    continue
                used_mb = core.memory_mb()
                self.peaks[core.name] = max(self.peaks[core.name], used_mb)
                if used_mb > MEMORY_MB:
                    self.kills[core.name] += 1
                    self._record.write(
                        f'{core.name} uses {used_mb:.0f} MB of {MEMORY_MB}, '
                        f'kill {self.kills[core.name]}'
                    )
                    core.kill()


def run():
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    folder = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(folder, 'record.txt'))
    trouble = os.environ.get('TROUBLE', '1') != '0'
    fleet = Fleet(record, core=5, first='127.61')
    try:
        fleet.start()
        platform = Platform(fleet, record)
        operator = Operator(fleet)
        version = 1
        status = operator.order(
            'PUT', '/config', desired_state(1, 0, FIRST_ROUTES, 0), 20
        )
        if status != 200:
            raise RuntimeError(f'the first desired state: {status}')
        routes = FIRST_ROUTES
        for change in range(BIG_CONFIGS + CHANGES):
            if change < BIG_CONFIGS:
                routes += ROUTES_OF_BIG_CONFIG
            body = desired_state(version + 2, version, routes, change)
            status = operator.order('PUT', '/config', body, 10)
            if status != 200:
                raise RuntimeError(f'change {change}: {status}')
            version += 2
            if change % 50 == 0 or change == BIG_CONFIGS + CHANGES - 1:
                peaks_mb = [round(peak) for peak in platform.peaks.values()]
                record.write(
                    f'change {change}: version {version:08x} of {routes} '
                    f'routes ({len(body)} bytes) is acknowledged; peaks of '
                    f'memory in MB: {peaks_mb}'
                )
        if trouble:
            platform.pause()
            for core in fleet.cores:
                core.signal(signal.SIGKILL)
            for core in fleet.cores:
                core.child.wait()
            time.sleep(DOWN_S)
            for core in fleet.cores:
                core.start()
            platform.resume()
        since = time.monotonic()
        state = operator.read(2 * RECOVERY_S)
        took_s = time.monotonic() - since
        # The peak may come after the first answer.
        while state is not None and time.monotonic() - since < RECOVERY_S:
            time.sleep(0.2)
        if state is not None:
            state = operator.read(2 * RECOVERY_S)
        platform.stop()
        record.write(
            f'read back after {took_s:.1f} s: '
            + ('nothing' if state is None else state['version'])
            + f', acknowledged {version:08x}'
        )
        record.write(f'kills for memory: {platform.kills}')
        record.write(
            'peaks of memory in MB: '
            + str({k: round(v) for k, v in platform.peaks.items()})
        )
    finally:
        fleet.stop()
    broken = state is None or int(state['version'], 16) < version
    record.write('the rule was broken' if broken else 'the rule held')
    return int(broken)


main_guard(run)
