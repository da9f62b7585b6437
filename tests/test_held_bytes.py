"""
Crowds whose connections are few enough, but hold much together.

Each test checks that the processes live, that what they and the kernel hold
for all connections stays under a bound, and that an ordinary request is
answered afterwards.
"""

from contextlib import ExitStack
from functools import partial

from crowd_clients import ask_for_an_answer
from crowd_clients import head
from crowd_clients import read_an_answer_slowly
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
from crowd_fleet import MAX_HELD_BYTES
from crowd_fleet import SLOTS
from crowd_fleet import RoomyFleet
from crowd_fleet import is_served
from crowd_fleet import long_answers
from crowd_fleet import renew
from crowd_fleet import running_fleet
from crowds import Process
from crowds import crowd
from crowds import sampled
import gevent
from gevent import socket
from platform_fleet import CALLER_PORT
from platform_fleet import OPERATOR_PORT
from platform_fleet import document
from platform_fleet import eventually
import pytest

MAX_BODY_BYTES = 1 << 30
PADDING_BYTES = 1_000_000
WORK_S = 1.0
UNREAD_ANSWERS = 24  # more than the backend server has slots
TRICKLE_S = 0.5

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


def test_answers_that_nobody_reads_leave_slots_to_others(fleet):
    ask = partial(ask_for_an_answer, 'GET', '/desk/long')
    with (
        long_answers(fleet.backends[0]),
        crowd(fleet.nodes[0], CALLER_PORT, UNREAD_ANSWERS, ask) as clients,
    ):
        gevent.joinall(clients, timeout=CROWD_TIMEOUT_S)
        gevent.sleep(HOLD_S)
        eventually(lambda: fleet.request(0, '/desk/1')[0] == 200)


@pytest.mark.parametrize('number', [0, 1], ids=['same-host', 'other-host'])
@pytest.mark.parametrize(
    'behave', [ask_for_an_answer, read_an_answer_slowly], ids=['none', 'slow']
)
def test_answers_that_nobody_reads_end_with_their_time(fleet, number, behave):
    ip = fleet.nodes[number]
    process = Process(fleet.processes[ip].pid, ip)
    ask = partial(behave, 'GET', '/desk/long')
    with (
        long_answers(fleet.backends[0]),
        crowd(ip, CALLER_PORT, CHUNKING_CROWD, ask) as clients,
    ):
        gevent.joinall(clients, timeout=CROWD_TIMEOUT_S)
        # Connections to the backend server may stay pooled.
        rest = fleet.rest[ip][1] + SLOTS
        eventually(lambda: process.descriptors() <= rest)


TRICKLES = {
    'small-body': (0, '/desk/crowd', 60_000),
    'long-body': (0, '/desk/crowd', 1_000_000),
    'long-body-to-other-host': (1, '/desk/crowd', 1_000_000),
    'no-route': (0, '/nowhere/crowd', 60_000),
}


@pytest.mark.parametrize('trickle', TRICKLES)
def test_body_that_trickles_in_does_not_keep_its_connection(fleet, trickle):
    number, path, length = TRICKLES[trickle]
    address = fleet.nodes[number], CALLER_PORT
    with socket.create_connection(address, 5) as sock:
        sock.sendall(head('POST', path, f'Content-Length: {length}'))

        def is_ended():
            try:
                sock.sendall(b'x')
                sock.settimeout(TRICKLE_S)
                while sock.recv(65_536):
                    pass
                return True
            except TimeoutError:
                return False
            except OSError:
                return True

        eventually(is_ended)


def ask_once(fleet, number, lines, body=b''):
    """Send one request; return the status of its answer."""
    address = fleet.nodes[number], CALLER_PORT
    with socket.create_connection(address, 5) as sock:
        sock.settimeout(5)
        sock.sendall(head('POST', '/desk/1', *lines) + body)
        return int(sock.recv(65_536).split()[1])


def fields(count):
    """Return header lines that bring the request to a number of fields."""
    present = head('POST', '/desk/1').count(b'\r\n') - 2
    return [f'X-{number}: y' for number in range(count - present)]


def long_field(size):
    """Return a header line that brings the head to a number of bytes."""
    present = len(head('POST', '/desk/1', 'X: ')) - len('\r\n\r\n')
    return ['X: ' + 'y' * (size - present)]


ONE_REQUEST = {
    'most-fields': (fields(100), b'', 200),
    'too-many-fields': (fields(101), b'', 431),
    'longest-head': (long_field(16_384), b'', 200),
    'too-long-head': (long_field(16_385), b'', 431),
    'body-above-what-may-be-held': (
        [f'Content-Length: {2 * MAX_HELD_BYTES}'],
        b'x' * (2 * MAX_HELD_BYTES),
        200,
    ),
    'chunks-of-two-bytes': (
        ['Transfer-Encoding: chunked'],
        b'2\r\nxx\r\n' * 20_000 + b'0\r\n\r\n',
        200,
    ),
    'too-long-body': (
        [f'Content-Length: {MAX_BODY_BYTES + 1}'],
        b'',
        413,
    ),
}


@pytest.mark.parametrize('request_name', ONE_REQUEST)
@pytest.mark.parametrize('number', [0, 1], ids=['same-host', 'other-host'])
def test_single_request_is_served_up_to_the_limits(
    fleet, number, request_name
):
    lines, body, status = ONE_REQUEST[request_name]
    eventually(lambda: fleet.request(number, '/desk/1')[0] == 200)
    assert ask_once(fleet, number, lines, body) == status


def test_documents_that_nobody_reads_are_not_kept(fleet):
    ip = fleet.control[0]
    process = fleet.processes[ip]
    padded = {**document(2, 1), 'padding': 'x' * PADDING_BYTES}
    eventually(lambda: fleet.operator('PUT', '/config', padded)[0] == 200)
    eventually(
        lambda: len(fleet.operator('GET', '/config')[2]) > PADDING_BYTES
    )
    rest_bytes, _ = fleet.rest[ip]
    ask = partial(ask_for_an_answer, 'GET', '/config')
    with (
        sampled(Process(process.pid, ip)) as peaks,
        crowd(ip, OPERATOR_PORT, CHUNKING_CROWD, ask) as clients,
    ):
        gevent.joinall(clients, timeout=CROWD_TIMEOUT_S)
        gevent.sleep(HOLD_S)
        eventually(lambda: fleet.operator('GET', '/config')[0] == 200)
    growth_bytes = peaks.held_bytes - rest_bytes
    print(f'grew by {growth_bytes / 1e6:.1f} MB')
    assert process.poll() is None
    assert growth_bytes < MAX_GROWTH_BYTES
