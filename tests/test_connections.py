from contextlib import contextmanager
from contextlib import suppress
from dataclasses import replace
import re
import select
import socket
from threading import Thread
import time

import gevent
from gevent import socket as gsocket
from gevent.event import Event
from nodes import measured_pauses_ms
import pytest

from damasklanding.clock import monotonic_ms
from damasklanding.intake import Intake
from damasklanding.intake import IntakeLimits
from damasklanding.link import parse_address
from damasklanding.node.bodies import body_from_request
from damasklanding.node.disconnect import DisconnectWatcher
from damasklanding.node.http import Limits
from damasklanding.node.http import Listener


def read_part(request):
    return request.read(100) if request.length != 0 else b''


def read_whole(request):
    body = body_from_request(request, 1_000_000)
    if body.data is None:
        return b'%d' % sum(len(part) for part in body.parts())
    return body.data


@contextmanager
def listening(read, intake=None):
    """Run a listener whose application answers with what a function reads."""

    def application(environ, start_response):
        request = environ['damasklanding.request']
        body = request.path.encode()
        body = b' '.join((body, read(request))).rstrip()
        start_response('200 OK', [('content-length', str(len(body)))])
        return [body]

    limits = Limits(1_000, 50, 2_000, 60_000)
    errors = []
    server = Listener(
        '127.0.0.1:0', application, limits, errors.append, intake
    )
    server.errors = errors
    server.start()
    try:
        yield server
        with gevent.Timeout(10):
            while server.connections:
                gevent.sleep(0.01)
    finally:
        server.stop(timeout=0)


@pytest.fixture
def listener():
    with listening(read_part) as server:
        yield server


def send_and_receive(listener, *segments, end_marker):
    """Send segments in turn; return the data received up to a marker."""
    sock = gsocket.create_connection(parse_address(listener.bound_address))
    for segment in segments:
        sock.sendall(segment)
        gevent.sleep(0.01)
    data = b''
    with gevent.Timeout(2):
        while end_marker not in data:
            part = sock.recv(4_096)
            if not part:
                break
            data += part
    sock.close()
    return data


GET = b'GET /%b HTTP/1.1\r\nhost: h\r\n\r\n'
POST = b'POST /%b HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\n'


def test_requests_in_one_segment_are_answered_in_order(listener):
    sent = GET % b'first' + POST % b'second' + b'abc' + GET % b'third'
    data = send_and_receive(listener, sent, end_marker=b'/third')
    assert data.count(b'200 OK') == 3
    assert data.index(b'/first') < data.index(b'/second abc')
    assert data.index(b'/second abc') < data.index(b'/third')


def test_request_that_comes_in_pieces_is_read_whole(listener):
    head = POST % b'cut'
    data = send_and_receive(
        listener, head[:20], head[20:] + b'a', b'bc', end_marker=b'/cut abc'
    )
    assert b'/cut abc' in data


def test_connection_goes_on_after_a_request_in_pieces(listener):
    head = POST % b'one'
    rest = b'bc' + GET % b'two' + GET % b'three'
    data = send_and_receive(listener, head + b'a', rest, end_marker=b'/three')
    assert data.count(b'200 OK') == 3


def test_body_above_the_limit_is_refused_unread(listener):
    head = b'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 51\r\n\r\n'
    data = send_and_receive(listener, head + b'x' * 51, end_marker=b'\r\n\r\n')
    assert b' 413 ' in data


def test_slow_reader_gets_its_whole_answer_after_a_request_in_pieces():
    body = b'x' * 16 * 1024 * 1024

    def application(environ, start_response):
        environ['damasklanding.request'].read(3)
        start_response('200 OK', [('content-length', str(len(body)))])
        return [body]

    limits = Limits(1_000, 50, header_timeout_ms=200, idle_timeout_ms=60_000)
    server = Listener('127.0.0.1:0', application, limits, lambda error: None)
    server.start()
    sock = gsocket.create_connection(parse_address(server.bound_address))
    head = POST % b'slow'
    sock.sendall(head[:20])
    gevent.sleep(0.01)
    sock.sendall(head[20:] + b'abc')
    gevent.sleep(0.6)
    received = 0
    with gevent.Timeout(5):
        while received < len(body) and (part := sock.recv(65_536)):
            received += len(part)
    sock.close()
    server.stop(timeout=0)
    assert received >= len(body)


@pytest.mark.parametrize('error', [OSError, TimeoutError, ValueError])
def test_error_of_the_application_passes_for_a_caller_that_has_gone(
    listener, error
):
    def application(environ, start_response):
        raise error('of the application')

    problems = []
    listener.application = application
    listener.on_bad_input = problems.append
    data = send_and_receive(listener, GET % b'x', end_marker=b'\r\n\r\n')
    assert b' 500 ' in data
    (problem,) = problems
    assert error.__name__ in problem.problem


def test_caller_that_has_gone_passes_for_an_error_of_the_application(listener):
    sent = Event()

    def application(environ, start_response):
        start_response('200 OK', [])
        with suppress(GeneratorExit):
            while True:
                yield b'x' * 65_536
                gevent.sleep(0)
        sent.set()

    problems = []
    listener.application = application
    listener.on_bad_input = problems.append
    sock = gsocket.create_connection(parse_address(listener.bound_address))
    sock.sendall(GET % b'x')
    assert sock.recv(100)
    sock.close()
    assert sent.wait(2)
    assert problems == []


def served_and_answered(listener, close):
    """Close a connection on which a request has come, before it is read."""
    served = []
    application = listener.application

    def counting(environ, start_response):
        served.append(environ['PATH_INFO'])
        return application(environ, start_response)

    listener.application = counting
    sock = gsocket.create_connection(parse_address(listener.bound_address))
    sock.sendall(GET % b'first')
    with gevent.Timeout(2):
        data = sock.recv(4_096)
    (handler,) = listener.connections
    sock.sendall(GET % b'second')
    # Unlike those of gevent, this call gives the listener no turn.
    assert select.select([handler.socket.fileno()], [], [], 2)[0]
    close()
    gevent.sleep(0.05)
    sock.settimeout(0.3)
    try:
        while part := sock.recv(4_096):
            data += part
    except OSError:
        pass
    sock.close()
    return len(served), [int(s) for s in re.findall(rb'HTTP/1.1 (\d+)', data)]


def test_listener_is_idle_while_a_request_that_has_come_waits(listener):
    idle = []
    served_and_answered(listener, lambda: idle.append(listener.is_idle()))
    assert idle == [False]


def test_request_that_has_come_is_lost_when_idle_connections_are_closed(
    listener,
):
    counted = served_and_answered(listener, listener.close_idle)
    assert counted == (2, [200, 200])


def test_request_that_has_come_is_lost_when_the_idle_time_is_shortened(
    listener,
):
    def close():
        listener.limits = replace(listener.limits, idle_timeout_ms=0)
        # The process stands still until the next sweep is due.
        time.sleep(1.1)

    assert served_and_answered(listener, close) == (2, [200, 200])


def test_request_read_after_its_connection_was_closed_is_passed_on(
    listener, monkeypatch
):
    monkeypatch.setattr(
        DisconnectWatcher, 'has_input', lambda watcher: False, raising=False
    )
    assert served_and_answered(listener, listener.close_idle) == (1, [200])


@pytest.mark.parametrize(
    ('offset', 'keep_onward'), [(0, True), (9, True), (9, False)]
)
def test_connection_is_closed_before_its_first_request_has_come(
    listener, offset, keep_onward
):
    sock = gsocket.create_connection(parse_address(listener.bound_address))
    request = GET % b'first'
    sock.sendall(request[:offset])
    gevent.sleep(0.05)
    assert listener.is_idle() == (offset == 0)
    listener.close_idle(keep_onward)
    sock.sendall(request[offset:])
    with gevent.Timeout(2):
        assert b'200 OK' in sock.recv(4_096)
    sock.close()


@contextmanager
def flooding_caller(listener, start, repeated):
    """Run a caller that repeats bytes until the block or connection ends."""

    def send():
        with suppress(OSError):
            sock.sendall(start)
            while True:
                sock.sendall(repeated * (65_536 // len(repeated)))

    def receive():
        with suppress(OSError):
            while sock.recv(65_536):
                pass

    sock = socket.create_connection(parse_address(listener.bound_address))
    threads = [Thread(target=target) for target in (send, receive)]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        with suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        for thread in threads:
            thread.join()
        sock.close()


CHUNKED = b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'GET / HTTP/1.1\r\n', b'x: y\r\n'),
        (b'', GET % b'whole'),
        (GET[:9], GET % b'whole'),
        (CHUNKED, b'1\r\na\r\n'),
        (CHUNKED, b'1;' + b'x' * 8_000 + b'\r\na\r\n'),
    ],
)
def test_endless_bytes_of_a_caller_block_nothing(start, repeated):
    with (
        listening(read_whole) as listener,
        flooding_caller(listener, start, repeated),
        measured_pauses_ms() as pauses,
    ):
        gevent.sleep(0.5)
    assert max(pauses) < 500


def test_request_read_after_the_listener_has_ended_is_passed_on(listener):
    assert served_and_answered(listener, listener.end) == (1, [200, 503])


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [(b'', GET), (GET[:9], GET[9:] + GET[:9])],
    ids=['whole', 'in pieces'],
)
def test_requests_in_a_row_that_need_no_wait_block_nothing(start, repeated):
    def work(_request):
        until_ms = monotonic_ms() + 1
        while monotonic_ms() < until_ms:
            pass
        return b''

    with (
        listening(work) as listener,
        flooding_caller(listener, start, repeated),
        measured_pauses_ms() as pauses,
    ):
        gevent.sleep(0.5)
        listener.draining = True
    assert max(pauses) < 500


def test_endless_trailer_of_a_request_ends_it():
    start = CHUNKED + b'1\r\na\r\n0\r\n'
    with (
        listening(read_whole) as listener,
        flooding_caller(listener, start, b'x: y\r\n'),
        measured_pauses_ms() as pauses,
        gevent.Timeout(2),
    ):
        while listener.connections or not listener.errors:
            gevent.sleep(0.01)
    assert max(pauses) < 500
    assert [error.code for error in listener.errors] == ['body-broken']


def test_request_in_the_accept_queue_is_reset_when_the_listener_closes(
    listener,
):
    address = parse_address(listener.bound_address)
    socks = [socket.create_connection(address) for _ in range(20)]
    for sock in socks:
        sock.sendall(GET % b'waiting')
    listener.draining = True
    listener.close()
    gevent.sleep(0.1)
    for sock in socks:
        sock.settimeout(1)
        assert sock.recv(4_096).startswith(b'HTTP/1.1 200 OK')
        sock.close()


@pytest.mark.parametrize(
    'segments',
    [
        [b'%b%b'],
        [b'%b', b'%b'],  # the body comes later than the head
    ],
)
@pytest.mark.parametrize(('size', 'served'), [(49, True), (50, False)])
def test_body_is_refused_unread_above_what_may_be_held(segments, size, served):
    head = POST.replace(b'3', b'%d') % (b'r', size)
    intake = Intake(IntakeLimits(max_held_bytes=len(head)))
    whole = b''.join(segments) % (head, b'x' * size)
    cut = len(head) if len(segments) > 1 else len(whole)
    with listening(lambda request: request.read(100), intake) as server:
        data = send_and_receive(
            server, whole[:cut], whole[cut:], end_marker=b'x' * size
        )
        if served:
            assert data.startswith(b'HTTP/1.1 200')
        else:
            assert data.startswith(b'HTTP/1.1 503')
            assert b'damasklanding-outcome: not-run' in data.lower()
            assert b'retry-after: 1' in data.lower()
    assert intake.held_bytes == 0
