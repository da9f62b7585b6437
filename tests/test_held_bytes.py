"""
Crowds whose connections are few enough, but hold much together.

Each test checks that the processes live, that what they and the kernel hold
for all connections stays under a bound, and that an ordinary request is
answered afterwards.
"""

from contextlib import ExitStack
from functools import partial

from crowd_clients import send_body_in_chunks
from crowd_clients import send_body_in_one_piece
from crowd_clients import send_body_in_small_pieces
from crowd_clients import send_half_a_head
from crowd_clients import send_long_body
from crowd_clients import send_many_fields
from crowd_clients import send_requests_ahead
from crowd_clients import send_whole_body
from crowd_fleet import CHUNKING_CROWD
from crowd_fleet import CROWD
from crowd_fleet import CROWD_TIMEOUT_S
from crowd_fleet import HOLD_S
from crowd_fleet import MAX_GROWTH_BYTES
from crowd_fleet import RoomyFleet
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

WORK_S = 1.0

#: Clients of which each holds much, and the size of their crowd.
HOLDING_CLIENTS = {
    'body-in-one-piece': (send_body_in_one_piece, CROWD),
    'whole-body': (send_whole_body, CROWD),
    'long-body': (send_long_body, CROWD),
    'body-in-small-pieces': (send_body_in_small_pieces, CROWD),
    'body-in-chunks': (send_body_in_chunks, CHUNKING_CROWD),
    'many-fields': (send_many_fields, CROWD),
    'half-a-head': (send_half_a_head, CROWD),
    'requests-ahead': (send_requests_ahead, CHUNKING_CROWD),
}


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory, RoomyFleet) as made:
        yield made


def wait_at_path(head):
    if '/wait' in head['line']:
        gevent.sleep(WORK_S)


#: Node that the crowd talks to, method and path; the service of the first path
#: has its backend server beside the first node.
HOLDING_DOORS = {
    'same-host': (0, 'POST', '/desk/crowd'),
    'other-host': (1, 'POST', '/desk/crowd'),
    'no-route': (0, 'POST', '/nowhere/crowd'),
}


@pytest.mark.parametrize('client', HOLDING_CLIENTS)
@pytest.mark.parametrize('door', HOLDING_DOORS)
def test_connections_together_hold_no_more_than_the_bound(fleet, door, client):
    number, method, path = HOLDING_DOORS[door]
    behave, count = HOLDING_CLIENTS[client]
    fleet.backends[0].work = wait_at_path
    with ExitStack() as stack:
        peaks = [
            stack.enter_context(sampled(Process(fleet.processes[ip].pid, ip)))
            for ip in fleet.nodes
        ]
        clients = stack.enter_context(
            crowd(
                fleet.nodes[number],
                CALLER_PORT,
                count,
                partial(behave, method, path),
            )
        )
        gevent.joinall(clients, timeout=CROWD_TIMEOUT_S)
        gevent.sleep(HOLD_S)
        eventually(lambda: is_served(fleet, number, CALLER_PORT))
    eventually(lambda: is_served(fleet, number, CALLER_PORT))
    fleet.backends[0].work = lambda head: None
    growths = [
        peak.held_bytes - fleet.rest[ip][0]
        for peak, ip in zip(peaks, fleet.nodes, strict=True)
    ]
    print('grew by', *(f'{growth / 1e6:.1f} MB' for growth in growths))
    for ip in fleet.nodes:
        assert fleet.processes[ip].poll() is None
        renew(fleet, ip, fleet.nodes.index(ip), CALLER_PORT)
    assert max(growths) < MAX_GROWTH_BYTES
