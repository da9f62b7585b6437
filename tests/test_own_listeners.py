"""Crowds of clients that misbehave at the listeners of the own interface."""

from functools import partial
from http.client import HTTPConnection
from http.client import HTTPException

from crowd_clients import send_body_in_chunks
from crowd_clients import send_body_in_one_piece
from crowd_clients import send_half_a_head
from crowd_clients import send_nothing
from crowd_clients import send_requests_ahead
from crowd_fleet import CHUNKING_CROWD
from crowd_fleet import CROWD
from crowd_fleet import CROWD_TIMEOUT_S
from crowd_fleet import HOLD_S
from crowd_fleet import MAX_CONNECTIONS
from crowd_fleet import MAX_GROWTH_BYTES
from crowd_fleet import OTHER_DESCRIPTORS
from crowd_fleet import limited_environment
from crowds import Process
from crowds import crowd
from crowds import sampled
import gevent
from platform_fleet import eventually
import pytest

from bench.fleet import ADMIN_PORT
from bench.fleet import CALLER_PORT
from bench.fleet import EGRESS_PORT
from bench.fleet import OPERATIONS_PORT
from bench.fleet import running_fleet

CLIENTS = {
    'nothing': (send_nothing, CROWD),
    'half-a-head': (send_half_a_head, CROWD),
    'body-in-one-piece': (send_body_in_one_piece, CROWD),
    'body-in-chunks': (send_body_in_chunks, CHUNKING_CROWD),
    'requests-ahead': (send_requests_ahead, CHUNKING_CROWD),
}
DOORS = {
    'callers': ('node', CALLER_PORT, '/nowhere'),
    'egress': ('node', EGRESS_PORT, '/damasklanding/announce'),
    'node-operations': ('node', OPERATIONS_PORT, '/metrics'),
    'administration': ('control', ADMIN_PORT, '/v1/services/x'),
    'control-operations': ('control', OPERATIONS_PORT, '/nowhere'),
}


@pytest.fixture(scope='module')
def fleet():
    with limited_environment(), running_fleet() as made:
        made.add_control(1)
        made.add_node('dc-a')
        made.wait_ready(0)
        made.rest = {}
        for process in (made.control[0], made.nodes[0]):
            watched = Process(process.popen.pid, process.ip)
            made.rest[process.name] = (
                watched.resident_bytes(),
                watched.descriptors(),
            )
        yield made


def is_answered(ip, port):
    """Return whether a request is answered, with whatever status."""
    connection = HTTPConnection(ip, port, timeout=5)
    try:
        connection.request('GET', '/health')
        return connection.getresponse().status > 0
    except (OSError, HTTPException):
        return False
    finally:
        connection.close()


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize('door', DOORS)
def test_crowd_leaves_a_process_within_its_machine(fleet, door, client):
    role, port, path = DOORS[door]
    process = fleet.control[0] if role == 'control' else fleet.nodes[0]
    behave, count = CLIENTS[client]
    rest_bytes, rest_descriptors = fleet.rest[process.name]
    ask = partial(is_answered, process.ip, port)
    with (
        sampled(Process(process.popen.pid, process.ip)) as peaks,
        crowd(
            process.ip, port, count, partial(behave, 'POST', path)
        ) as clients,
    ):
        gevent.joinall(clients, timeout=CROWD_TIMEOUT_S)
        gevent.sleep(HOLD_S)
        assert process.popen.poll() is None
        eventually(ask)
    eventually(ask)
    assert process.popen.poll() is None
    growth_bytes = peaks.held_bytes - rest_bytes
    opened = peaks.descriptors - rest_descriptors
    print(f'grew by {growth_bytes / 1e6:.1f} MB, opened {opened}')
    assert growth_bytes < MAX_GROWTH_BYTES
    assert opened <= MAX_CONNECTIONS + OTHER_DESCRIPTORS
