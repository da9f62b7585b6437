"""Peers that send bytes without end to a node or a control host."""

from contextlib import contextmanager
import itertools
import time

import gevent
from gevent import socket
from platform_fleet import ANNOUNCE_PORT
from platform_fleet import CALLER_PORT
from platform_fleet import OPERATOR_PORT
from platform_fleet import PEER_PORT
from platform_fleet import READY_PORT
from platform_fleet import platform_fleet
import pytest

FLOOD_S = 1.5
#: Growth of a process that keeps no more than a few parts of each answer.
MAX_GROWTH_KB = 16 * 1024
MAX_ANSWER_S = 1.0
BLOCK = b'x' * 65_536
SIGNED = (
    b'HTTP/1.1 200 OK\r\nDamasklanding-Attempt-Id: %b\r\n'
    b'Damasklanding-Server-Signature: s.1\r\n'
)
CHUNK = b'10000\r\n' + BLOCK + b'\r\n'

#: First bytes and the bytes that are repeated, by the place of the flood.
ANSWERS = {
    'head-line': (b'HTTP/1.1 200 OK\r\nX: ', BLOCK),
    'head-lines': (b'HTTP/1.1 200 OK\r\n', b'X-Y: z\r\n' * 8_192),
    'status-line': (b'', BLOCK),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2_048),
    'chunks': (SIGNED + b'Transfer-Encoding: chunked\r\n\r\n', CHUNK),
    'small-chunks': (
        SIGNED + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * 8_192,
    ),
    'chunk-extension': (
        SIGNED + b'Transfer-Encoding: chunked\r\n\r\n1;',
        BLOCK,
    ),
    'trailer': (
        SIGNED + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-Y: z\r\n' * 8_192,
    ),
    'until-close': (SIGNED + b'\r\n', BLOCK),
    'long-body': (SIGNED + b'Content-Length: 99999999999\r\n\r\n', BLOCK),
    'after-the-answer': (SIGNED + b'Content-Length: 5\r\n\r\nwhole', BLOCK),
    'answers': (b'', SIGNED % b'other' + b'Content-Length: 5\r\n\r\nwhole'),
}

PUT_HEAD = b'PUT %b HTTP/1.1\r\nHost: x\r\n'
ENDLESS = b'Transfer-Encoding: chunked\r\n\r\n'
LONG = b'Content-Length: 99999999999\r\n\r\n'

REQUESTS = {
    'request-line': (b'', BLOCK),
    'head-line': (PUT_HEAD + b'X: ', BLOCK),
    'head-lines': (PUT_HEAD, b'X-Y: z\r\n' * 8_192),
    'chunks': (PUT_HEAD + ENDLESS, CHUNK),
    'chunk-extension': (PUT_HEAD + ENDLESS + b'1;', BLOCK),
    'long-body': (PUT_HEAD + LONG, BLOCK),
}


def send_endlessly(sock, first, repeated):
    """Send until the other end closes or the greenlet is killed."""
    try:
        sock.sendall(first)
        for number in itertools.count():
            sock.sendall(repeated)
            if number % 8 == 0:
                gevent.sleep(0)
    except OSError:
        pass


def resident_kb(process):
    with open(f'/proc/{process.pid}/status', encoding='ascii') as file:
        for line in file:
            if line.startswith('VmRSS:'):
                return int(line.split()[1])
    return 0


@contextmanager
def steady(process, ask):
    """
    Check that a process keeps its size and answers others in the block.

    :param ask: sends a request of another client; returns its status.
    """
    assert ask() == 200
    before_kb = resident_kb(process)
    results = []

    def keep_asking():
        while True:
            started_s = time.monotonic()
            status = ask()
            results.append((status, time.monotonic() - started_s))
            gevent.sleep(0.05)

    asking = gevent.spawn(keep_asking)
    sizes_kb = []
    flooding = gevent.spawn(watch_size, process, sizes_kb)
    yield
    asking.kill()
    flooding.kill()
    assert process.poll() is None
    assert len(results) >= 5
    assert {status for status, _ in results} == {200}
    assert max(took_s for _, took_s in results) < MAX_ANSWER_S
    assert max(sizes_kb) - before_kb < MAX_GROWTH_KB


def watch_size(process, sizes_kb):
    while True:
        sizes_kb.append(resident_kb(process))
        gevent.sleep(0.05)


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    with platform_fleet(tmp_path_factory.mktemp('fleet')) as made:
        announcing = gevent.spawn(made.announce_often, 1.0)
        yield made
        announcing.kill()


@contextmanager
def flooding_backend(backend, kind):
    """Let a backend server answer requests below ``/desk/flood`` so."""
    answer_requests = backend._answer_requests
    first, repeated = ANSWERS[kind]

    def answer(sock, file):
        head = backend._read_head(file)
        if head is None:
            return
        if '/flood' not in head['line']:
            sock.sendall(
                SIGNED % head['damasklanding-attempt-id'].encode()
                + b'Content-Length: 5\r\n\r\nwhole'
            )
            return
        attempt = head['damasklanding-attempt-id'].encode()
        start = first % attempt if b'%b' in first else first
        send_endlessly(sock, start, repeated)

    backend._answer_requests = answer
    yield
    backend._answer_requests = answer_requests


@pytest.mark.parametrize('kind', sorted(ANSWERS))
def test_endless_answer_keeps_no_memory_and_holds_up_no_other(fleet, kind):
    node = fleet.processes[fleet.nodes[0]]
    with (
        flooding_backend(fleet.backends[0], kind),
        steady(node, lambda: fleet.request(0, '/once/1')[0]),
    ):
        end_s = time.monotonic() + FLOOD_S
        jobs = []
        while time.monotonic() < end_s:
            jobs = [job for job in jobs if not job.ready()]
            if len(jobs) < 4:
                jobs.append(gevent.spawn(fleet.request, 0, '/desk/flood'))
            gevent.sleep(0.05)
        gevent.killall(jobs)


LISTENERS = {
    'announcements': (0, ANNOUNCE_PORT, b'/instances/i-0'),
    'readiness': (0, READY_PORT, b'/readyz'),
    'callers': (0, CALLER_PORT, b'/desk/1'),
    'operators': (None, OPERATOR_PORT, b'/config'),
}


#: The listeners of callers and of readiness share their reading with others.
FLOODS = [
    *itertools.product(('announcements', 'operators'), sorted(REQUESTS)),
    *itertools.product(('callers',), ('chunks', 'head-lines', 'long-body')),
    ('readiness', 'long-body'),
]


@pytest.mark.parametrize(('listener', 'kind'), FLOODS)
def test_endless_request_keeps_no_memory_and_holds_up_no_other(
    fleet, listener, kind
):
    number, port, path = LISTENERS[listener]
    if number is None:
        ip = fleet.control[0]

        def ask():
            return fleet.operator('GET', '/config')[0]
    else:
        ip = fleet.nodes[number]

        def ask():
            return fleet.request(number, '/once/1')[0]

    first, repeated = REQUESTS[kind]
    first = first % path if b'%b' in first else first
    with steady(fleet.processes[ip], ask):
        flood(ip, port, first, repeated)


def test_endless_frames_keep_no_memory_and_hold_up_no_other(fleet):
    with steady(
        fleet.processes[fleet.nodes[0]],
        lambda: fleet.request(0, '/once/1')[0],
    ):
        flood(fleet.nodes[0], PEER_PORT, b'\x00\x00\x3f\x00', BLOCK)


def flood(ip, port, first, repeated):
    """Send endless requests over four connections at a time."""
    end_s = time.monotonic() + FLOOD_S

    def send():
        while time.monotonic() < end_s:
            with socket.create_connection((ip, port), 5) as sock:
                sock.settimeout(FLOOD_S)
                send_endlessly(sock, first, repeated)
            gevent.sleep(0.05)

    jobs = [gevent.spawn(send) for _ in range(4)]
    gevent.joinall(jobs, timeout=FLOOD_S)
    gevent.killall(jobs)
