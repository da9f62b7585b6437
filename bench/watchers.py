"""
bench.watchers
~~~~~~~~~~~~~~

Many watchers in one process, to measure what each costs a control host.
Run as ``python -m bench.watchers JSON`` with ``addresses``, ``count``,
``prefix``, ``services`` and ``all_services``.
"""

import json
import os
import random
import sys
from uuid import uuid4

import gevent

from bench.fleet import SECRET
from damasklanding.link import Identity
from damasklanding.linkpool import LinkPool
from damasklanding.node.view import FleetView
from damasklanding.node.watch import WatchClient

__all__ = ['run']


def run(configuration):
    """Run watchers until the starting process is gone."""
    kept = []
    for index in range(configuration['count']):
        name = f'{configuration["prefix"]}-{index}'
        identity = Identity(name, 'node', uuid4().hex)
        watch = WatchClient(
            FleetView(),
            LinkPool(identity, SECRET.encode()),
            identity,
            lambda: [(a, a) for a in configuration['addresses']],
            random.Random(index),
            all_services=configuration.get('all_services', False),
        )
        watch.start()
        kept.append(watch)
        gevent.sleep(0.002)
    parent = os.getppid()
    while os.getppid() == parent:
        gevent.sleep(1)


if __name__ == '__main__':
    run(json.loads(sys.argv[1]))
