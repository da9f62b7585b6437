"""
bench.zone
~~~~~~~~~~

A data centre is taken out and brought back while traffic runs; then another
is lost without notice.
"""

from dataclasses import replace

import gevent

from bench.deployments import KITAMI
from bench.deployments import kinds_of
from bench.deployments import start_deployment
from bench.fleet import CALLER_PORT
from bench.fleet import running_fleet
from bench.load import Load
from bench.load import percentile
from bench.load import success_ratio
from bench.result import Bound
from bench.result import print_result
from bench.result import print_table
from bench.result import summarise
from bench.standin import now_ms

__all__ = ['run']

RATE_PER_S = 120
OUT_AT_S = 4.0
BACK_AT_S = 12.0
DURATION_S = 18.0
LOSS_AT_S = 3.0
LOSS_DURATION_S = 12.0
SETTLE_S = 5.0
BOUNDS = (
    Bound('last_new_work_s', '<=', 3.0),
    Bound('success_ratio', '>=', 0.995),
    Bound('cut_requests', '==', 0),
)


def run(options):
    """Run all seeds; returns the exit status."""
    runs = [_run_seed(seed, options.keep_logs) for seed in options.seed_list()]
    print_table(list(runs[0]), [list(run.values()) for run in runs])
    result = summarise(runs, BOUNDS)
    for name in ('lost_success_ratio', 'lost_recovery_s'):
        values = sorted(run[name] for run in runs)
        result[name] = values[len(values) // 2]
    print_result(result)
    return 0 if result['bounds_met'] else 1


def _run_seed(seed, keep_logs):
    with running_fleet(keep_logs) as fleet:
        start_deployment(fleet, KITAMI)
        figures = {'seed': seed}
        figures.update(_planned(fleet, seed))
        figures.update(_lost(fleet, seed))
        return figures


def _kinds():
    kinds = kinds_of(KITAMI, RATE_PER_S)
    return [replace(kind, tries=1) for kind in kinds]


def _planned(fleet, seed):
    centre = KITAMI.data_centres[seed % 3]
    span = {}

    def out():
        span['out_ms'] = now_ms()
        fleet.operator.set_data_centre(centre, out=True)

    def back():
        fleet.operator.set_data_centre(centre, out=False)
        span['back_ms'] = now_ms()

    # Callers use every entry node, those in the data centre included.
    load = Load([node.address(CALLER_PORT) for node in fleet.nodes], seed)
    load.run(_kinds(), DURATION_S, [(OUT_AT_S, out), (BACK_AT_S, back)])
    arrivals, cut = [], 0
    for standin in fleet.standins:
        records = fleet.records(standin, take=True)
        cut += sum(1 for item in records if item['ended'] == 'cancelled')
        if standin.data_centre == centre:
            arrivals += [item['at_ms'] for item in records]
    during = [at for at in arrivals if at < span['back_ms']]
    after = [at for at in arrivals if at >= span['back_ms']]
    last_ms = max([at - span['out_ms'] for at in during], default=0.0)
    return {
        'last_new_work_s': max(0.0, last_ms) / 1000,
        'success_ratio': success_ratio(load.answers),
        'cut_requests': cut,
        'returned_share': len(after) / max(1, len(arrivals)),
        'p99_ms': percentile([a.latency_ms for a in load.answers], 0.99),
    }


def _lost(fleet, seed):
    centre = KITAMI.data_centres[(seed + 1) % 3]
    lost = [
        process
        for process in fleet.nodes + fleet.standins
        if process.data_centre == centre
    ]

    def lose():
        for process in lost:
            process.kill()

    staying = [node for node in fleet.nodes if node.data_centre != centre]
    load = Load([node.address(CALLER_PORT) for node in staying], seed)
    load.run(_kinds(), LOSS_DURATION_S, [(LOSS_AT_S, lose)])
    bad = [
        answer.at_s + answer.latency_ms / 1000
        for answer in load.answers
        if not answer.good and answer.at_s > LOSS_AT_S - SETTLE_S
    ]
    gevent.sleep(0)
    return {
        'lost_success_ratio': success_ratio(load.answers),
        'lost_recovery_s': max([0.0, *[at - LOSS_AT_S for at in bad]]),
    }
