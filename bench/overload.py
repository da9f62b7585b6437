"""
bench.overload
~~~~~~~~~~~~~~

Three times the demand while a deep service slows and callers retry hard.
"""

from bench.load import success_ratio
from bench.result import Bound
from bench.result import print_result
from bench.result import print_table
from bench.result import summarise
from bench.surge import run_naive
from bench.surge import run_ours

__all__ = ['run']

BOUNDS = (
    Bound('goodput_ratio', '>=', 0.95),
    Bound('important_ratio', '>=', 0.995),
    Bound('amplification', '<=', 1.1),
)


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
    for name, value in summarise(naive, BOUNDS).items():
        if name not in ('seeds', 'bounds_met'):
            result[f'naive_{name}'] = value
    print_result(result)
    return 0 if result['bounds_met'] else 1


def _figures(surge):
    during = surge.during()
    return {
        'goodput_ratio': surge.goodput_per_s() / surge.capacity_per_s,
        'important_ratio': success_ratio(surge.during('desk')),
        'amplification': surge.amplification(),
        'capacity_per_s': surge.capacity_per_s,
        'success_ratio': success_ratio(during),
        'before': success_ratio(surge.between(2.0, 6.0)),
        'after': success_ratio(surge.between(16.0, 20.0)),
    }
