"""
bench.fleetstart
~~~~~~~~~~~~~~~~

What a start of the whole fleet sends to its watchers: nodes register one
after the other while all of them follow one source, through a relay that
counts the bytes.
"""

import random

import gevent

from bench.relay import Relay
from damasklanding.control.watch import WatchServer
from damasklanding.fleet.changes import put
from damasklanding.fleet.commands import RegisterBackend
from damasklanding.fleet.handlers import compute_changes
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import Key
from damasklanding.fleet.resources import Organisation
from damasklanding.link import Identity
from damasklanding.linkpool import LinkPool
from damasklanding.linkserver import LinkServer
from damasklanding.node.view import FleetView
from damasklanding.node.watch import WatchClient

__all__ = ['start_bytes']

SECRET = b'a-secret-of-the-benchmark'
ORGANISATIONS = 140
SERVICES = 4
REGISTRATION_S = 3.0  # in which all nodes register
TIMEOUT_S = 60


def start_bytes(count):
    """
    Return the bytes between a source and its watchers during a start.

    :param count: number of watchers, each of which also registers.
    """
    luck = random.Random(count)
    view = FleetView()
    server = LinkServer(
        '127.0.0.1:0',
        Identity('host', 'control', 'i'),
        SECRET,
        WatchServer(view).handlers(),
    )
    server.start()
    relay = Relay('127.0.0.1:0', server.address)
    relay.start()
    for number in range(ORGANISATIONS):
        _apply(view, _organisation(number))
    clients = [
        _watch(f'node-{number}', relay.address) for number in range(count)
    ]
    for number in range(count):
        command = RegisterBackend(backend=_backend(number, luck))
        revision = view.state.revision + 1
        view.apply(1, revision, compute_changes(view.state, command, revision))
        view.confirm(view.now_ms())
        gevent.sleep(REGISTRATION_S / count)
    with gevent.Timeout(TIMEOUT_S):
        while any(
            watched.state.revision < view.state.revision
            for _, watched in clients
        ):
            view.confirm(view.now_ms())
            gevent.sleep(0.05)
    for client, _ in clients:
        client.stop()
    server.stop()
    return relay.passed_bytes


def _apply(view, organisation):
    revision = view.state.revision + 1
    changes = put(view.state, 'organisation', organisation, revision)
    view.apply(1, revision, changes)


def _watch(name, address):
    identity = Identity(name, 'node', 'i')
    view = FleetView()
    client = WatchClient(
        view,
        LinkPool(identity, SECRET),
        identity,
        lambda: [(address, address)],
        random.Random(name),
    )
    client.start()
    return client, view


def _organisation(number):
    return Organisation(
        name=f'organisation-{number}',
        rate_per_s=10.0,
        burst_requests=20,
        keys=(Key(key_id='k', digest=f'{number:064x}'),),
    )


def _backend(number, luck):
    return Backend(
        name=f'node-{number}',
        instance=f'{luck.getrandbits(128):032x}',
        data_centre='dc-a',
        peer_address=f'10.0.{number // 250}.{number % 250}:7400',
        service=f'service-{number % SERVICES}',
        slots=29,
        start=f'i-{luck.getrandbits(40):010x}@1790000000000',
    )
