"""
Clients that stop half-way, send in odd pieces or never read.

Each test sends one crowd to one listener of a running process.  It checks that
the process lives, that its memory and its descriptors stay under a bound, and
that an ordinary request is answered afterwards.
"""

from functools import partial
import json

from crowd_clients import ask_for_an_answer
from crowd_clients import send_body_in_chunks
from crowd_clients import send_body_in_one_piece
from crowd_clients import send_body_in_small_pieces
from crowd_clients import send_half_a_head
from crowd_clients import send_head_slowly
from crowd_clients import send_long_body
from crowd_clients import send_many_elements
from crowd_clients import send_many_fields
from crowd_clients import send_nothing
from crowd_clients import send_one_by_one_unread
from crowd_clients import send_oversize_body
from crowd_clients import send_requests_ahead
from crowd_fleet import CHUNKING_CROWD
from crowd_fleet import CROWD
from crowd_fleet import CROWD_TIMEOUT_S
from crowd_fleet import HOLD_S
from crowd_fleet import MAX_CONNECTIONS
from crowd_fleet import MAX_DOCUMENT_ELEMENTS
from crowd_fleet import MAX_GROWTH_BYTES
from crowd_fleet import OTHER_DESCRIPTORS
from crowd_fleet import LimitedFleet
from crowd_fleet import is_served
from crowd_fleet import long_answers
from crowd_fleet import renew
from crowd_fleet import running_fleet
from crowds import Process
from crowds import crowd
from crowds import sampled
import gevent
from platform_fleet import ANNOUNCE_PORT
from platform_fleet import CALLER_PORT
from platform_fleet import KEY
from platform_fleet import OPERATOR_PORT
from platform_fleet import PEER_PORT
from platform_fleet import READY_PORT
from platform_fleet import document
from platform_fleet import eventually
import pytest

ELEMENTS_CROWD = 8  # so many orders are under way at most

#: Clients and the size of their crowd.
CLIENTS = {
    'body-in-one-piece': (send_body_in_one_piece, CROWD),
    'long-body': (send_long_body, CROWD),
    'body-in-small-pieces': (send_body_in_small_pieces, CROWD),
    'body-in-chunks': (send_body_in_chunks, CHUNKING_CROWD),
    'oversize-body': (send_oversize_body, CROWD),
    'many-fields': (send_many_fields, CROWD),
    'many-elements': (send_many_elements, ELEMENTS_CROWD),
    'half-a-head': (send_half_a_head, CROWD),
    'head-byte-by-byte': (send_head_slowly, CROWD),
    'nothing': (send_nothing, CROWD),
    'requests-ahead': (send_requests_ahead, CHUNKING_CROWD),
    'one-by-one-unread': (send_one_by_one_unread, CHUNKING_CROWD),
}

#: Listener, method and path of each door; ``None`` for a control host.
DOORS = {
    'callers': (0, CALLER_PORT, 'POST', '/desk/crowd'),
    'callers-no-route': (0, CALLER_PORT, 'POST', '/nowhere/crowd'),
    'announcements': (0, ANNOUNCE_PORT, 'PUT', '/instances/i-crowd'),
    'announcements-no-route': (0, ANNOUNCE_PORT, 'POST', '/nowhere'),
    'readiness': (0, READY_PORT, 'GET', '/readyz'),
    'readiness-no-route': (0, READY_PORT, 'POST', '/nowhere'),
    'operators': (None, OPERATOR_PORT, 'PUT', '/config'),
    'operators-no-route': (None, OPERATOR_PORT, 'POST', '/nowhere'),
}


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory, LimitedFleet) as made:
        yield made


def door_address(fleet, number):
    return fleet.control[0] if number is None else fleet.nodes[number]


@pytest.fixture
def door(fleet, request):
    """Yield number, address, port, method and path of a listener."""
    number, port, method, path = DOORS[request.param]
    ip = door_address(fleet, number)
    yield number, ip, port, method, path
    renew(fleet, ip, number, port)


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize('door', DOORS, indirect=True)
def test_crowd_leaves_a_process_within_its_machine(fleet, door, client):
    number, ip, port, method, path = door
    behave, count = CLIENTS[client]
    process = fleet.processes[ip]
    rest_bytes, rest_descriptors = fleet.rest[ip]
    with (
        sampled(Process(process.pid, ip)) as peaks,
        crowd(ip, port, count, partial(behave, method, path)) as clients,
    ):
        gevent.joinall(clients, timeout=CROWD_TIMEOUT_S)
        gevent.sleep(HOLD_S)
        assert process.poll() is None
        eventually(lambda: is_served(fleet, number, port))
    assert process.poll() is None
    eventually(lambda: is_served(fleet, number, port))
    growth_bytes = peaks.held_bytes - rest_bytes
    opened = peaks.descriptors - rest_descriptors
    print(f'grew by {growth_bytes / 1e6:.1f} MB, opened {opened}')
    assert growth_bytes < MAX_GROWTH_BYTES
    assert opened <= MAX_CONNECTIONS + OTHER_DESCRIPTORS


def document_of(elements):
    """Return a configuration that counts as so many elements."""
    made = document(99, 1)
    made['tenants'][0]['apiKeys'] = [KEY]
    text = json.dumps(made)
    found = sum(map(text.count, ',[{'))
    made['tenants'][0]['apiKeys'] += [
        f'key-{number}' for number in range(elements - found)
    ]
    return made


@pytest.mark.parametrize(
    ('elements', 'status'),
    [
        (MAX_DOCUMENT_ELEMENTS, 412),  # its base is no longer the newest
        (MAX_DOCUMENT_ELEMENTS + 1, 413),
    ],
)
def test_documents_up_to_the_bound_are_read(fleet, elements, status):
    eventually(
        lambda: fleet.operator('PUT', '/config', document(2, 1))[0] == 200
    )
    change = document_of(elements)
    assert fleet.operator('PUT', '/config', change)[0] == status


@pytest.mark.parametrize('number', [0, None], ids=['node', 'control'])
def test_crowd_at_the_listener_of_peers_takes_few_descriptors(fleet, number):
    ip = door_address(fleet, number)
    process = fleet.processes[ip]
    rest_bytes, rest_descriptors = fleet.rest[ip]
    with (
        sampled(Process(process.pid, ip)) as peaks,
        crowd(ip, PEER_PORT, CROWD, partial(send_nothing, '', '')) as clients,
    ):
        gevent.joinall(clients, timeout=CROWD_TIMEOUT_S)
        gevent.sleep(HOLD_S)
        eventually(lambda: is_served(fleet, number, CALLER_PORT))
    assert process.poll() is None
    growth_bytes = peaks.held_bytes - rest_bytes
    opened = peaks.descriptors - rest_descriptors
    print(f'grew by {growth_bytes / 1e6:.1f} MB, opened {opened}')
    assert growth_bytes < MAX_GROWTH_BYTES
    assert opened <= MAX_CONNECTIONS + OTHER_DESCRIPTORS


@pytest.mark.parametrize('number', [0, 1], ids=['same-host', 'other-host'])
def test_answers_that_nobody_reads_hold_up_no_others(fleet, number):
    """The backend server is beside the node that is asked, or elsewhere."""
    ip = fleet.nodes[number]
    process = fleet.processes[ip]
    rest_bytes, rest_descriptors = fleet.rest[ip]
    ask = partial(ask_for_an_answer, 'GET', '/desk/long')
    with long_answers(fleet.backends[0]):
        with (
            sampled(Process(process.pid, ip)) as peaks,
            crowd(ip, CALLER_PORT, CROWD, ask) as clients,
        ):
            gevent.joinall(clients, timeout=CROWD_TIMEOUT_S)
            gevent.sleep(HOLD_S)
            assert process.poll() is None
            eventually(lambda: fleet.request(number, '/desk/1')[0] == 200)
        growth_bytes = peaks.held_bytes - rest_bytes
        opened = peaks.descriptors - rest_descriptors
        print(f'grew by {growth_bytes / 1e6:.1f} MB, opened {opened}')
        assert growth_bytes < MAX_GROWTH_BYTES
        # Each answer under way has a connection to its backend server.
        assert opened <= 2 * MAX_CONNECTIONS + OTHER_DESCRIPTORS
    renew(fleet, ip, number, CALLER_PORT)
