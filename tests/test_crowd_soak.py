"""
Crowds of several kinds at several listeners at the same time, drawn by seed.

``DAMASKLANDING_CROWD_SEEDS`` sets how many seeds are played.
"""

from contextlib import ExitStack
from functools import partial
import os
from random import Random

from crowd_fleet import CROWD_TIMEOUT_S
from crowd_fleet import HOLD_S
from crowd_fleet import MAX_CONNECTIONS
from crowd_fleet import MAX_GROWTH_BYTES
from crowd_fleet import OTHER_DESCRIPTORS
from crowd_fleet import LimitedFleet
from crowd_fleet import is_served
from crowd_fleet import renew
from crowd_fleet import running_fleet
from crowds import Process
from crowds import crowd
from crowds import sampled
import gevent
from platform_fleet import CALLER_PORT
from platform_fleet import eventually
import pytest
from test_misbehaving_clients import CLIENTS
from test_misbehaving_clients import DOORS
from test_misbehaving_clients import door_address

SEEDS = int(os.environ.get('DAMASKLANDING_CROWD_SEEDS', '3'))
CROWDS = 5
MAX_CROWD = 48
#: Listeners of a process that do not serve callers.
SMALL_LISTENERS = 3


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory, LimitedFleet) as made:
        yield made


@pytest.mark.parametrize('seed', range(SEEDS))
def test_crowds_of_several_kinds_leave_the_processes_alive(fleet, seed):
    random = Random(seed)
    drawn = [
        (
            DOORS[random.choice(sorted(DOORS))],
            CLIENTS[random.choice(sorted(CLIENTS))][0],
            random.randrange(8, MAX_CROWD),
        )
        for _ in range(CROWDS)
    ]
    ips = [fleet.nodes[0], fleet.nodes[1], fleet.control[0]]
    numbers = [0, 1, None]
    with ExitStack() as stack:
        peaks = {
            ip: stack.enter_context(
                sampled(Process(fleet.processes[ip].pid, ip))
            )
            for ip in ips
        }
        clients = []
        for (number, port, method, path), behave, count in drawn:
            clients += stack.enter_context(
                crowd(
                    door_address(fleet, number),
                    port,
                    count,
                    partial(behave, method, path),
                )
            )
        gevent.joinall(clients, timeout=CROWD_TIMEOUT_S)
        gevent.sleep(HOLD_S)
        for number in numbers:
            eventually(lambda n=number: is_served(fleet, n, CALLER_PORT))
    for number in numbers:
        eventually(lambda n=number: is_served(fleet, n, CALLER_PORT))
    found = {
        ip: (
            peak.held_bytes - fleet.rest[ip][0],
            peak.descriptors - fleet.rest[ip][1],
        )
        for ip, peak in peaks.items()
    }
    print(f'seed {seed}: {found}')
    for ip, number in zip(ips, numbers, strict=True):
        assert fleet.processes[ip].poll() is None
        renew(fleet, ip, number, CALLER_PORT)
    most = (1 + SMALL_LISTENERS) * MAX_CONNECTIONS + OTHER_DESCRIPTORS
    for growth_bytes, opened in found.values():
        assert growth_bytes < MAX_GROWTH_BYTES
        assert opened <= most
