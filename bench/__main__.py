"""
bench.__main__
~~~~~~~~~~~~~~

``python -m bench NAME [--seeds N] [--keep-logs]`` runs one benchmark.  Each
is a module with ``run(options)`` that ends with :func:`print_result`.
"""

import argparse
from dataclasses import dataclass
import importlib
import os
import sys

from gevent import monkey

monkey.patch_all()

__all__ = ['Options', 'main']

NAMES = (
    'demo',
    'path',
    'config',
    'control',
    'keys',
    'rates',
    'overload',
    'recovery',
    'fairness',
    'cold_start',
    'zone',
    'silent',
    'combined',
    'slopes',
)


@dataclass(frozen=True)
class Options:
    """
    Options of a run.

    :ivar seeds: how many seeds to run, starting at ``first_seed``.
    """

    seeds: int = 3
    first_seed: int = 1
    keep_logs: bool = False

    def seed_list(self):
        """Return the seeds to run."""
        return range(self.first_seed, self.first_seed + self.seeds)


def main():
    """Run the named benchmark."""
    parser = argparse.ArgumentParser(prog='python -m bench')
    parser.add_argument('name', choices=NAMES)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--keep-logs', action='store_true')
    arguments = parser.parse_args()
    here = os.path.dirname(__file__)
    if not os.path.exists(os.path.join(here, f'{arguments.name}.py')):
        sys.exit(f'bench {arguments.name} is not written yet')
    module = importlib.import_module(f'bench.{arguments.name}')
    options = Options(
        arguments.seeds, arguments.first_seed, arguments.keep_logs
    )
    sys.exit(module.run(options))


if __name__ == '__main__':
    main()
