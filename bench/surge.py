"""
bench.surge
~~~~~~~~~~~

The run that the benchmarks of overload and recovery share: a surge of
demand while a deep service slows and callers retry hard, over a small chain
of two services, with ours and the naive version.
"""

from dataclasses import dataclass
from http.client import HTTPConnection
import time

import gevent

from bench.deployments import Deployment
from bench.deployments import ServiceSize
from bench.deployments import kinds_of
from bench.deployments import start_deployment
from bench.deployments import start_naive
from bench.fleet import BACKEND_PORT
from bench.fleet import running_fleet
from bench.load import Load

__all__ = ['CHAIN', 'SurgeRun', 'run_naive', 'run_ours']

WARM_UP_S = 6.0
SURGE_S = 8.0
AFTER_S = 6.0
BASE_PER_S = 36.0
SURGE_FACTOR = 3.0
SLOW_FACTOR = 1.5
CALLER_TRIES = 3
CALLER_WAIT_MS = 100
CAPACITY_S = 4.0
CAPACITY_CALLS = 16

CHAIN = Deployment(
    name='chain',
    data_centres=('dc-a', 'dc-b'),
    services=(
        ServiceSize(
            'front',
            2,
            160,
            1_200,
            20,
            {
                '/desk': {'service_ms': 20, 'calls': ['/deep/desk']},
                '/browse': {'service_ms': 20, 'calls': ['/deep/browse']},
            },
        ),
        ServiceSize('deep', 2, 40, 340, 100),
    ),
    profiles=(
        {
            'name': 'interactive-desk',
            'importance': 3,
            'longest_wait_ms': 1_000,
            'timeout_ms': 3_000,
        },
        {
            'name': 'public-self-service',
            'importance': 1,
            'longest_wait_ms': 1_000,
            'timeout_ms': 3_000,
        },
        {
            'name': 'internal-lookup',
            'importance': 1,
            'longest_wait_ms': 1_000,
            'timeout_ms': 3_000,
        },
    ),
    service_routes=(
        ('front', '/desk', 'interactive-desk', 'open'),
        ('front', '/browse', 'public-self-service', 'open'),
        ('deep', '/deep', 'internal-lookup', 'internal'),
    ),
    requests=(
        ('desk', '/desk/1', 'GET', 0.2, False),
        ('browse', '/browse/1', 'GET', 0.8, False),
    ),
    important=('desk',),
    capacity_per_s=80.0,
)


@dataclass
class SurgeRun:
    """
    What one run left.

    :ivar answers: list of :class:`bench.load.Answer`.
    :ivar capacity_per_s: of the slowed deep service, measured alone.
    :ivar calls: requests that reached the stand-ins, by service.
    """

    answers: list
    capacity_per_s: float
    calls: dict

    def between(self, from_s, until_s, kind=None):
        """Return the answers to requests that started in a span."""
        return [
            answer
            for answer in self.answers
            if from_s <= answer.at_s < until_s
            and (kind is None or answer.kind == kind)
        ]

    def during(self, kind=None):
        """Return the answers to requests of the surge."""
        return self.between(WARM_UP_S, WARM_UP_S + SURGE_S, kind)

    def goodput_per_s(self):
        """Return whole answers a second that came during the surge."""
        ends = [
            answer.at_s + answer.latency_ms / 1000
            for answer in self.answers
            if answer.good
        ]
        # The first second shows the old speed and the new one mixed.
        from_s, until_s = WARM_UP_S + 1.0, WARM_UP_S + SURGE_S
        return sum(from_s <= end < until_s for end in ends) / (
            until_s - from_s
        )

    def amplification(self):
        """Return calls of the service called most, per root request."""
        return max(self.calls.values()) / len(self.answers)


def run_ours(seed, keep_logs=False):
    """Run a surge against our nodes; returns a :class:`SurgeRun`."""
    with running_fleet(keep_logs) as fleet:
        addresses = start_deployment(fleet, CHAIN)
        return _run(fleet, addresses, fleet.standins, seed)


def run_naive(seed, keep_logs=False):
    """Run the same surge against the naive version."""
    with running_fleet(keep_logs) as fleet:
        addresses, standins = start_naive(fleet, CHAIN)
        gevent.sleep(2)
        return _run(fleet, addresses, standins, seed)


def _run(fleet, addresses, standins, seed):
    deep = [item for item in standins if item.service == 'deep']
    capacity_per_s = _capacity_per_s(fleet, deep)
    for standin in standins:
        fleet.records(standin, take=True)

    def slow(factor):
        for standin in deep:
            fleet.set_standin(standin, slow=factor)

    events = (
        (WARM_UP_S, lambda: slow(SLOW_FACTOR)),
        (WARM_UP_S + SURGE_S, lambda: slow(1.0)),
    )
    entries = addresses[:2]  # the nodes beside the service that is open
    load = Load(entries, seed)
    kinds = kinds_of(
        CHAIN, _demand, tries=CALLER_TRIES, retry_wait_ms=CALLER_WAIT_MS
    )
    load.run(kinds, WARM_UP_S + SURGE_S + AFTER_S, events)
    calls = {}
    for standin in standins:
        records = fleet.records(standin)
        calls[standin.service] = calls.get(standin.service, 0) + len(records)
    return SurgeRun(load.answers, capacity_per_s, calls)


def _demand(at_s):
    surged = WARM_UP_S <= at_s < WARM_UP_S + SURGE_S
    return BASE_PER_S * (SURGE_FACTOR if surged else 1.0)


def _capacity_per_s(fleet, deep):
    """Return what the slowed deep service answers a second, called alone."""
    for standin in deep:
        fleet.set_standin(standin, slow=SLOW_FACTOR)
    until_s = time.monotonic() + CAPACITY_S
    workers = [
        gevent.spawn(_call_until, standin.ip, until_s)
        for standin in deep
        for _ in range(CAPACITY_CALLS)
    ]
    gevent.joinall(workers, raise_error=True)
    for standin in deep:
        fleet.set_standin(standin, slow=1.0)
    return sum(worker.value for worker in workers) / CAPACITY_S


def _call_until(host, until_s):
    connection = HTTPConnection(host, BACKEND_PORT, timeout=10)
    answered = 0
    while time.monotonic() < until_s:
        connection.request('GET', '/deep/alone')
        connection.getresponse().read()
        answered += time.monotonic() < until_s
    connection.close()
    return answered
