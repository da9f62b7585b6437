"""
bench.result
~~~~~~~~~~~~

Prints a benchmark's table and its last line, and judges bounds.
"""

from dataclasses import dataclass
import json
import operator
import statistics

__all__ = [
    'Bound',
    'print_result',
    'print_table',
    'report_seeds',
    'summarise',
]

COMPARE = {'<=': operator.le, '>=': operator.ge, '==': operator.eq}


@dataclass(frozen=True)
class Bound:
    """A bound of a figure: ``<=``, ``>=`` or ``==`` and the limit."""

    name: str
    sign: str
    limit: float

    def met(self, value):
        """Return whether a value keeps the bound."""
        return COMPARE[self.sign](value, self.limit)

    def worst(self, values):
        """Return the value that lies worst against the bound."""
        return min(values) if self.sign == '>=' else max(values)


def print_table(titles, rows):
    """Print rows of cells under titles."""
    cells = [[_text(cell) for cell in row] for row in [titles, *rows]]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        parts = zip(row, widths, strict=True)
        print('  '.join(cell.ljust(width) for cell, width in parts).rstrip())


def _text(cell):
    return f'{cell:.4g}' if isinstance(cell, float) else str(cell)


def summarise(runs, bounds):
    """
    Return median and worst of each bounded figure over runs.

    :param runs: list of dicts of figures, one a seed.
    :return: dict with ``NAME``, ``NAME_worst`` and ``bounds_met``.
    """
    result = {'seeds': len(runs)}
    met = True
    for bound in bounds:
        values = [run[bound.name] for run in runs]
        worst = bound.worst(values)
        result[bound.name] = round(statistics.median(values), 4)
        result[f'{bound.name}_worst'] = round(worst, 4)
        met = met and bound.met(worst)
    result['bounds_met'] = met
    return result


def report_seeds(options, run_seed, bounds):
    """
    Run all seeds, print the table and the last line.

    :param run_seed: takes a seed and whether to keep logs, and returns a
        dict of figures.
    :return: the exit status.
    """
    runs = [run_seed(seed, options.keep_logs) for seed in options.seed_list()]
    print_table(list(runs[0]), [list(run.values()) for run in runs])
    result = summarise(runs, bounds)
    print_result(result)
    return 0 if result['bounds_met'] else 1


def print_result(result):
    """Print the last line of a benchmark."""
    print('RESULT ' + json.dumps(result))
