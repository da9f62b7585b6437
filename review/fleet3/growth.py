"""A desired state that grows, and the platform's limit on memory."""

import json
import threading
import time

from fleet3.fleet import MEMORY_MB

DOWN_S = 0.5  # between the end of a process and its next start
SERVICES = ('balance-desk', 'plan-office', 'letter-archive', 'call-ledger')
TENANTS = 8


def desired_state(version, base, routes, change, moved=1, split=False):
    """
    Return a desired state.

    :param change: number of the change, from which time-outs follow.
    :param moved: how many routes have their time-out changed.
    :param split: whether each route is split over all services, and has a
        target latency of its own.
    """
    timeout_ms = 4000 + change % 900
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
                'timeout': f'{timeout_ms if number < moved else 5000}ms',
                'maxAttempts': 2,
            },
        }
        for number in range(routes)
    ]
    if split:
        for number, rule in enumerate(rules):
            rule['targetLatency'] = f'{1000 + number}ms'
            del rule['action']['service']
            rule['action']['weightedServices'] = [
                {'service': name, 'weight': 1} for name in SERVICES
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
