"""
bench.cold_start
~~~~~~~~~~~~~~~~

A backend server falls into a cold start, announced or not, while demand is
above what the service bears.
"""

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
from bench.standin import now_ms

__all__ = ['run']

SLOTS = 10
SERVICE_MS = 100.0
RATE_PER_S = 220.0
FALL_AT_S = 7.0
WARM_UP_S = 5.0
DURATION_S = 18.0
ANNOUNCED_BEFORE_S = 0.6  # an announcement is repeated every 0.5 s
LATE_RATIO = 3.0
FULL_SHARE = 0.9
BOUNDS = (
    Bound('over_bearable', '==', 0),
    Bound('full_ratio', '<=', 1.5),
)

OFFICE = Deployment(
    name='office',
    data_centres=('dc-a', 'dc-b'),
    services=(ServiceSize('office', 2, SLOTS * 10, 900, SERVICE_MS),),
    profiles=(
        {
            'name': 'public-self-service',
            'importance': 1,
            'longest_wait_ms': 1_000,
            'timeout_ms': 5_000,
        },
    ),
    service_routes=(('office', '/office', 'public-self-service', 'open'),),
    requests=(('office', '/office/1', 'GET', 1.0, False),),
    important=(),
    capacity_per_s=200.0,
)


def run(options):
    """Run all seeds; returns the exit status."""
    rows, runs, naive = [], [], []
    for seed in options.seed_list():
        for announced in (True, False):
            for version, into in ((_ours, runs), (_naive, naive)):
                figures = version(seed, announced, options.keep_logs)
                into.append(figures)
                kind = 'announced' if announced else 'unannounced'
                name = version.__name__.strip('_')
                rows.append([name, kind, seed, *figures.values()])
    print_table(['version', 'fall', 'seed', *runs[0]], rows)
    result = summarise(runs, BOUNDS)
    for name, value in summarise(naive, BOUNDS).items():
        if name not in ('seeds', 'bounds_met'):
            result[f'naive_{name}'] = value
    print_result(result)
    return 0 if result['bounds_met'] else 1


def _ours(seed, announced, keep_logs):
    with running_fleet(keep_logs) as fleet:
        addresses = start_deployment(fleet, OFFICE)
        return _measure(fleet, addresses, fleet.standins[0], seed, announced)


def _naive(seed, announced, keep_logs):
    with running_fleet(keep_logs) as fleet:
        addresses, standins = start_naive(fleet, OFFICE)
        return _measure(fleet, addresses, standins[0], seed, announced)


def _measure(fleet, addresses, standin, seed, announced):
    span = {}

    def announce():
        fleet.set_standin(standin, announce_cold=True)

    def fall():
        span['fell_ms'] = now_ms()
        fleet.set_standin(standin, cold=True, warm_up_ms=WARM_UP_S * 1_000)

    events = [(FALL_AT_S, fall)]
    if announced:
        events.append((FALL_AT_S - ANNOUNCED_BEFORE_S, announce))
    load = Load(addresses, seed)
    load.run(kinds_of(OFFICE, RATE_PER_S), DURATION_S, events)
    records = fleet.records(standin)
    fell_ms = span['fell_ms']
    after = [item for item in records if item['at_ms'] >= fell_ms]
    over = [
        item
        for item in after
        if item['cold'] and item['load'] + 1 > item['bearable']
    ]
    sign_ms = _first_sign_ms(after)
    counted = [item for item in over if announced or item['at_ms'] > sign_ms]
    return {
        'over_bearable': len(counted),
        'over_before_sign': sum(item['at_ms'] <= sign_ms for item in over),
        'full_ratio': _full_s(after, fell_ms) / WARM_UP_S,
        'sign_after_ms': sign_ms - fell_ms,
        'success_ratio': success_ratio(load.answers),
    }


def _first_sign_ms(records):
    """Return when a node could first have seen that something changed."""
    signs = [float('inf')]
    for item in records:
        if item['ended'] in ('shed', 'failed'):
            signs.append(item['at_ms'])
            continue
        ended_ms = item.get('ended_ms', float('inf'))
        late_ms = item['at_ms'] + LATE_RATIO * SERVICE_MS
        if ended_ms > late_ms:
            signs.append(late_ms)
    return min(signs)


def _full_s(records, fell_ms):
    """Return when the load first came to nearly all slots, once warm."""
    for item in records:
        if not item['cold'] and item['load'] + 1 >= FULL_SHARE * SLOTS:
            return (item['at_ms'] - fell_ms) / 1_000
    return DURATION_S
