"""
bench.silent
~~~~~~~~~~~~

Connections go silent for good on both legs while requests that may not
repeat are running: between nodes a relay in the middle swallows all bytes
of the connections that are open, and a stand-in stops answering on some.
"""

from bench.deployments import KITAMI
from bench.deployments import kinds_of
from bench.deployments import start_deployment
from bench.fleet import running_fleet
from bench.invariants import Evidence
from bench.invariants import check_all
from bench.load import Load
from bench.load import success_ratio
from bench.result import Bound
from bench.result import report_seeds
from bench.standin import now_ms

__all__ = ['run']

RATE_PER_S = 80
DURATION_S = 14.0
FAULTS_AT_S = (3.0, 6.0, 9.0)
BOUNDS = (
    Bound('duplicates', '==', 0),
    Bound('success_ratio', '>=', 0.99),
    Bound('false_not_run', '==', 0),
)


def run(options):
    """Run all seeds; returns the exit status."""
    return report_seeds(options, _run_seed, BOUNDS)


def _run_seed(seed, keep_logs):
    with running_fleet(keep_logs) as fleet:
        fleet.relay_links = True
        addresses = start_deployment(fleet, KITAMI)
        load = Load(addresses, seed)
        events = [
            (at_s, lambda: [relay.silence() for relay in fleet.relays])
            for at_s in FAULTS_AT_S
        ]
        started_ms = now_ms()
        load.run(kinds_of(KITAMI, RATE_PER_S), DURATION_S, events)
        evidence = Evidence(
            records={
                standin.name: fleet.records(standin)
                for standin in fleet.standins
            },
            centres={s.name: s.data_centre for s in fleet.standins},
            answers=load.answers,
            started_ms=started_ms,
            root_paths=('/balance', '/plans', '/letters', '/history'),
            single_run_paths=('/plans',),
        )
        found = check_all(evidence)
        return {
            'seed': seed,
            'duplicates': found['ran_twice'],
            'false_not_run': found['false_not_run'],
            'crossed': found['crossed_answers'],
            'success_ratio': success_ratio(load.answers),
            'slowest_ms': max(a.latency_ms for a in load.answers),
        }
