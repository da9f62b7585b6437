"""
bench.combined
~~~~~~~~~~~~~~

For each user a mixed load with faults drawn by seed, two at once: the
brief's five measures in one table, and every invariant checked.
"""

import random

import gevent

from bench.deployments import DEPLOYMENTS
from bench.deployments import ORGANISATIONS
from bench.deployments import SHARES
from bench.deployments import kinds_of
from bench.deployments import start_deployment
from bench.faults import Stage
from bench.faults import draw_faults
from bench.fleet import running_fleet
from bench.invariants import Evidence
from bench.invariants import check_all
from bench.invariants import over_bearable
from bench.load import Load
from bench.load import success_ratio
from bench.result import print_result
from bench.result import print_table
from bench.standin import now_ms

__all__ = ['run']

RATE_PER_S = 100.0
BURST_REQUESTS = 400
BASELINE_S = 5.0
PAIRS_AT_S = (5.0, 14.0)
DURATION_S = 26.0
RECOVERED_SHARE = 0.95
DEEP_SERVICES = {'kitami': 'call-ledger', 'kilimanjaro': 'stock'}
#: Rate of an organisation over its share of the surged load.
RATE_MARGIN = 4.0


def run(options):
    """Run all seeds for each user; returns the exit status."""
    runs = []
    for name in DEPLOYMENTS:
        for seed in options.seed_list():
            runs.append(_run_seed(name, seed, options.keep_logs))
            print(f'{name} seed {seed}: {runs[-1]["faults"]}')
    print_table(list(runs[0]), [list(run.values()) for run in runs])
    violations = sum(run['violations'] for run in runs)
    print_result(
        {
            'seeds': options.seeds,
            'violations': violations,
            'goodput_ratio_worst': min(r['goodput_ratio'] for r in runs),
            'recovery_s_worst': max(r['recovery_s'] for r in runs),
            'worst_organisation_ratio': min(
                r['worst_organisation'] for r in runs
            ),
            'false_refusals_worst': max(r['false_refusals'] for r in runs),
        }
    )
    return 0 if not violations else 1


def _run_seed(name, seed, keep_logs):
    deployment = DEPLOYMENTS[name]
    with running_fleet(keep_logs) as fleet:
        fleet.relay_links = True
        rate = RATE_PER_S * RATE_MARGIN
        addresses = start_deployment(fleet, deployment, rate, BURST_REQUESTS)
        stage = Stage(
            fleet,
            random.Random(f'{name}-{seed}'),
            deployment,
            DEEP_SERVICES[name],
        )
        pairs = draw_faults(stage.random)
        events = [
            (at_s, lambda fault=fault: fault(stage))
            for at_s, pair in zip(PAIRS_AT_S, pairs, strict=True)
            for fault in pair
        ]
        load = Load(addresses, seed)
        started_ms = now_ms()
        kinds = kinds_of(deployment, lambda _at: RATE_PER_S * stage.surge)
        load.run(kinds, DURATION_S, events)
        gevent.sleep(0.5)
        figures = _measures(load.answers, stage)
        found = _check(fleet, deployment, stage, load, started_ms, rate)
        figures.update(found)
        figures['violations'] = sum(found.values())
        figures['faults'] = ', '.join(
            fault.__name__ for pair in pairs for fault in pair
        )
        return {'user': name, 'seed': seed, **figures}


def _measures(answers, stage):
    kept = [a for a in answers if a.organisation not in stage.withdrawn_ms]
    before = [a for a in kept if a.at_s < BASELINE_S]
    after = [a for a in kept if a.at_s >= BASELINE_S]
    organisations = [
        success_ratio([a for a in after if a.organisation == organisation])
        for organisation in ORGANISATIONS
        if organisation not in stage.withdrawn_ms
    ]
    refused = [a for a in after if a.status == 429]
    return {
        'success_before': success_ratio(before),
        'goodput_ratio': success_ratio(after) / success_ratio(before),
        'recovery_s': _recovery_s(after),
        'worst_organisation': min(organisations),
        'false_refusals': len(refused) / max(1, len(after)),
    }


def _recovery_s(answers):
    """Return when goodput last was below its share, from the last faults."""
    last_s = 0.0
    for second in range(int(PAIRS_AT_S[-1]), int(DURATION_S)):
        within = [a for a in answers if second <= a.at_s < second + 1]
        if within and success_ratio(within) < RECOVERED_SHARE:
            last_s = second + 1 - PAIRS_AT_S[-1]
    return last_s


def _check(fleet, deployment, stage, load, started_ms, rate):
    open_routes = [
        (prefix, profile)
        for _, prefix, profile, access in deployment.service_routes
        if access == 'open'
    ]
    single = {
        profile['name']
        for profile in deployment.profiles
        if not profile.get('idempotent', True)
    }
    records = {s.name: fleet.records(s) for s in fleet.standins}
    evidence = Evidence(
        records=records,
        centres={s.name: s.data_centre for s in fleet.standins},
        answers=load.answers,
        started_ms=started_ms,
        root_paths=tuple(prefix for prefix, _ in open_routes),
        single_run_paths=tuple(
            prefix for prefix, profile in open_routes if profile in single
        ),
        withdrawn_ms=stage.withdrawn_ms,
        out_ms=stage.out_ms,
        rates={
            name: (rate * share, max(2, int(BURST_REQUESTS * share)))
            for name, share in zip(ORGANISATIONS, SHARES, strict=True)
        },
    )
    found = check_all(evidence)
    usual = {item.name: item.service_ms for item in deployment.services}
    found['over_bearable'] = sum(
        over_bearable(records[name], fall_ms, usual[stage.deep_service])[0]
        for name, fall_ms in stage.falls_ms.items()
    )
    found['race_errors'] = stage.race_errors
    return found
