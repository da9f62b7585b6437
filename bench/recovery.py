"""
bench.recovery
~~~~~~~~~~~~~~

How long after a surge the earlier goodput is back.
"""

from bench.load import success_ratio
from bench.result import Bound
from bench.result import print_result
from bench.result import print_table
from bench.result import summarise
from bench.surge import AFTER_S
from bench.surge import SURGE_S
from bench.surge import WARM_UP_S
from bench.surge import run_naive
from bench.surge import run_ours

__all__ = ['run']

STEP_S = 0.25
SPAN_S = 1.0
RECOVERED_SHARE = 0.99
BOUNDS = (Bound('recovery_s', '<=', 2.0),)


def run(options):
    """Run all seeds; returns the exit status."""
    runs, naive = [], []
    for seed in options.seed_list():
        runs.append(_figures(run_ours(seed, options.keep_logs)))
        naive.append(_figures(run_naive(seed, options.keep_logs)))
    rows = [['ours', *row.values()] for row in runs]
    rows += [['naive', *row.values()] for row in naive]
    print_table(['version', *runs[0]], rows)
    result = summarise(runs, BOUNDS)
    result['naive_recovery_s'] = summarise(naive, BOUNDS)['recovery_s']
    print_result(result)
    return 0 if result['bounds_met'] else 1


def _figures(surge):
    before = success_ratio(surge.between(WARM_UP_S - 4.0, WARM_UP_S))
    return {
        'recovery_s': _recovery_s(surge, RECOVERED_SHARE * before),
        'before': before,
        'during': success_ratio(surge.during()),
        'goodput_ratio': surge.goodput_per_s() / surge.capacity_per_s,
        'important_ratio': success_ratio(surge.during('desk')),
    }


def _recovery_s(surge, wanted):
    """Return the time after which every span is answered as before."""
    end_s = WARM_UP_S + SURGE_S
    last_bad_s = 0.0
    passed_s = 0.0
    while passed_s + SPAN_S <= AFTER_S:
        start_s = end_s + passed_s
        answers = surge.between(start_s, start_s + SPAN_S)
        if answers and success_ratio(answers) < wanted:
            last_bad_s = passed_s + STEP_S
        passed_s += STEP_S
    return last_bad_s
