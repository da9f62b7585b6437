"""
bench.fairness
~~~~~~~~~~~~~~

Eight organisations, of which one sends ten times its rate; the others stay
within theirs.
"""

from dataclasses import replace

from bench.deployments import ORGANISATIONS
from bench.deployments import SHARES
from bench.deployments import Deployment
from bench.deployments import ServiceSize
from bench.deployments import kinds_of
from bench.deployments import start_deployment
from bench.deployments import start_naive
from bench.fleet import running_fleet
from bench.load import Load
from bench.load import success_ratio
from bench.result import Bound
from bench.result import print_result
from bench.result import print_table
from bench.result import summarise

__all__ = ['run']

RATE_PER_S = 70.0  # of all organisations together, within their rates
RATE_MARGIN = 1.25  # agreed rate over what is sent within it
BURST_REQUESTS = 200
FLOOD_FACTOR = 10.0
WARM_UP_S = 5.0
DURATION_S = 15.0
LONGEST_WAIT_MS = 4_000
BOUNDS = (
    Bound('worst_organisation_ratio', '>=', 0.98),
    Bound('balance_ratio', '==', 1.0),
)

DESK = Deployment(
    name='desk',
    data_centres=('dc-a', 'dc-b'),
    services=(ServiceSize('desk', 2, 50, 450, 100.0),),
    profiles=(
        {
            'name': 'public-self-service',
            'importance': 1,
            'longest_wait_ms': LONGEST_WAIT_MS,
            'timeout_ms': 5_000,
        },
        {
            'name': 'interactive-desk',
            'importance': 3,
            'longest_wait_ms': 500,
            'timeout_ms': 2_000,
        },
    ),
    service_routes=(
        ('desk', '/balance', 'public-self-service', 'open'),
        ('desk', '/history', 'interactive-desk', 'open'),
    ),
    requests=(
        ('balance', '/balance/1', 'GET', 0.7, False),
        ('history', '/history/1', 'GET', 0.3, False),
    ),
    important=('history',),
    capacity_per_s=100.0,
)


def run(options):
    """Run all seeds; returns the exit status."""
    runs, naive = [], []
    for seed in options.seed_list():
        runs.append(_ours(seed, options.keep_logs))
        naive.append(_naive(seed, options.keep_logs))
    rows = [['ours', *row.values()] for row in runs]
    rows += [['naive', *row.values()] for row in naive]
    print_table(['version', *runs[0]], rows)
    result = summarise(runs, BOUNDS)
    for name, value in summarise(naive, BOUNDS).items():
        if name not in ('seeds', 'bounds_met'):
            result[f'naive_{name}'] = value
    print_result(result)
    return 0 if result['bounds_met'] else 1


def _ours(seed, keep_logs):
    with running_fleet(keep_logs) as fleet:
        addresses = start_deployment(
            fleet, DESK, RATE_PER_S * RATE_MARGIN, BURST_REQUESTS
        )
        return _measure(addresses, seed)


def _naive(seed, keep_logs):
    with running_fleet(keep_logs) as fleet:
        addresses, _ = start_naive(fleet, DESK)
        return _measure(addresses, seed)


def _measure(addresses, seed):
    flooding = ORGANISATIONS[seed % 2]  # the two largest
    kinds = [
        replace(kind, rate_per_s=_flood(kind.rate_per_s))
        if kind.organisation == flooding
        else kind
        for kind in kinds_of(DESK, RATE_PER_S)
    ]
    load = Load(addresses, seed)
    load.run(kinds, DURATION_S)
    counted = [item for item in load.answers if item.at_s >= WARM_UP_S]
    within = [item for item in counted if item.organisation != flooding]
    ratios = {
        name: success_ratio([a for a in within if a.organisation == name])
        for name in ORGANISATIONS
        if name != flooding
    }
    balances = [item for item in within if item.kind == 'balance']
    flood = [item for item in counted if item.organisation == flooding]
    share = SHARES[ORGANISATIONS.index(flooding)]
    fair = share * RATE_PER_S * RATE_MARGIN * (DURATION_S - WARM_UP_S)
    return {
        'worst_organisation_ratio': min(ratios.values()),
        'balance_ratio': success_ratio(balances, LONGEST_WAIT_MS),
        'within_ratio': success_ratio(within),
        'flood_over_rate': sum(a.good for a in flood) / fair,
    }


def _flood(rate_per_s):
    def rate(at_s):
        return rate_per_s * (FLOOD_FACTOR if at_s >= WARM_UP_S - 1 else 1.0)

    return rate
