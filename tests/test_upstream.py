from contextlib import contextmanager
from contextlib import suppress
from dataclasses import replace
import socket
from threading import Thread

import gevent
from gevent.server import StreamServer
from nodes import SocketBackend
from nodes import measured_pauses_ms
import pytest

from damasklanding.clock import monotonic_ms
from damasklanding.errors import ConnectionSilent
from damasklanding.errors import Unavailable
from damasklanding.errors import UpstreamFailed
from damasklanding.errors import UpstreamTimeout
from damasklanding.node.bodies import Body
from damasklanding.node.calls import Call
from damasklanding.node.calls import RetryAllowance
from damasklanding.node.dialect import DEFAULT_BACKEND_DIALECT
from damasklanding.node.upstream import MAX_NON_IDEMPOTENT_IDLE_MS
from damasklanding.node.upstream import RESEND_RATIO
from damasklanding.node.upstream import RESEND_RESERVE
from damasklanding.node.upstream import Upstream
from damasklanding.platform.headers import BACKEND_DIALECT

OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
NAMED_OK = OK.replace(b'\r\n', b'\r\ndamasklanding-context: t\r\n', 1)


def a_call(method='GET', idempotent=True, timeout_ms=2_000, body=b''):
    return Call(
        request_id='r',
        service='desk',
        profile='query',
        organisation='acme',
        importance=1,
        deadline_at_ms=monotonic_ms() + timeout_ms,
        allowance=RetryAllowance(1),
        depth=0,
        method=method,
        target='/q',
        headers=[],
        body=Body(body),
        idempotent=idempotent,
    )


def answering(*answers, close=False):
    """A backend server that sends the next bytes for each request."""
    left = list(answers)

    def serve(sock):
        while left and sock.recv(65_536):
            sock.sendall(left.pop(0))
        if close:
            sock.close()

    return SocketBackend(serve)


@contextmanager
def flooding(start, repeated):
    """Run a backend server that repeats bytes until the caller closes."""

    def serve():
        with suppress(OSError):
            while True:
                sock = listener.accept()[0]
                with sock, suppress(OSError):
                    sock.recv(65_536)
                    sock.sendall(start)
                    while True:
                        sock.sendall(repeated * (65_536 // len(repeated)))

    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = Thread(target=serve, daemon=True)
        thread.start()
        yield '127.0.0.1:%d' % listener.getsockname()[1]
        listener.shutdown(socket.SHUT_RDWR)
    thread.join(5)
    assert not thread.is_alive()  # every connection was closed


def test_connection_is_used_again_after_a_whole_answer():
    backend = answering(OK, OK)
    upstream = Upstream(backend.address)
    for _ in range(2):
        assert upstream.call(a_call(), 't').body == b'ok'
    assert backend.connections == 1


def test_backend_server_may_have_an_ipv6_address():
    def serve(sock, _address):
        sock.recv(65_536)
        sock.sendall(OK)

    server = StreamServer(('::1', 0), serve)
    server.start()
    address = f'[::1]:{server.server_port}'
    assert Upstream(address).call(a_call(), 't').body == b'ok'
    server.stop()


def test_surplus_bytes_never_answer_the_next_request():
    backend = answering(OK + OK.replace(b'ok', b'no'), OK, OK)
    upstream = Upstream(backend.address)
    for _ in range(3):
        assert upstream.call(a_call(), 't').body == b'ok'
    assert backend.connections == 2


def test_late_answer_is_dropped_with_its_connection():
    def serve(sock):
        if sock.recv(65_536).startswith(b'GET /late'):
            gevent.sleep(0.1)
            sock.sendall(OK.replace(b'ok', b'no'))
        else:
            sock.sendall(OK)

    backend = SocketBackend(serve)
    upstream = Upstream(backend.address)
    late = replace(a_call(timeout_ms=30), target='/late')
    with pytest.raises(UpstreamTimeout):
        upstream.call(late, 't')
    assert late.maybe_sent
    assert upstream.idle_count() == 0
    gevent.sleep(0.1)
    assert upstream.call(a_call(), 't').body == b'ok'


INTERIM = b'HTTP/1.1 103 Early Hints\r\ncontent-length: 0\r\n\r\n'


@pytest.mark.parametrize(
    'start', [b'', INTERIM, INTERIM.replace(b'1.1', b'1.0')]
)
def test_dribbled_answer_does_not_outlast_the_deadline(start):
    def serve(sock):
        sock.recv(65_536)
        sock.sendall(start)
        for byte in b'HTTP/1.1 200 OK\r\nx: ' + b'y' * 100:
            sock.sendall(bytes((byte,)))
            gevent.sleep(0.02)

    upstream = Upstream(SocketBackend(serve).address)
    began_ms = monotonic_ms()
    with pytest.raises(UpstreamTimeout):
        upstream.call(a_call(timeout_ms=100), 't')
    assert monotonic_ms() - began_ms < 1_000


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabc',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n-3\r\nabc\r\n',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0x3\r\nabc',
        b'HTTP/1.1 200 OK\r\n\r\nuntil the end',
        b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nbad header: x\r\n\r\n',
        b'HTTP/1.1 200 OK\r\ncontent-le',
        b'hello',
    ],
)
def test_cut_or_doubtful_answer_is_an_error(answer):
    upstream = Upstream(answering(answer, close=True).address)
    call = a_call(idempotent=False)
    with pytest.raises(UpstreamFailed):
        answer = upstream.call(call, 't')
        b''.join(answer.parts)
    assert call.maybe_sent
    assert upstream.idle_count() == 0


def test_answer_may_come_long_after_an_interim_one_with_a_length():
    def serve(sock):
        sock.recv(65_536)
        sock.sendall(INTERIM)
        gevent.sleep(0.15)
        sock.sendall(OK)

    upstream = Upstream(SocketBackend(serve).address)
    assert upstream.call(a_call(), 't').body == b'ok'


def test_cut_stream_raises_from_its_iterator():
    head = b'HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n'
    backend = answering(head + b'x' * 90_000, close=True)
    answer = Upstream(backend.address).call(a_call(), 't')
    with pytest.raises(UpstreamFailed):
        list(answer.parts)


def test_closed_kept_connection_is_replaced_without_harm():
    seen = []

    def serve(sock):
        seen.append(sock.recv(65_536))
        sock.sendall(NAMED_OK)
        sock.close()

    backend = SocketBackend(serve)
    upstream = Upstream(backend.address)
    for _ in range(3):
        call = a_call('POST', idempotent=False, body=b'x')
        assert upstream.call(call, 't').body == b'ok'
    assert len(seen) == 3


def test_non_idempotent_request_is_not_sent_again():
    requests = []

    def serve(sock):
        while data := sock.recv(65_536):
            requests.append(data)
            if len(requests) == 2:
                sock.close()
                return
            sock.sendall(NAMED_OK)

    backend = SocketBackend(serve)
    upstream = Upstream(backend.address)
    upstream.call(a_call(), 't')
    with pytest.raises(UpstreamFailed):
        upstream.call(a_call('POST', idempotent=False), 't')
    assert len(requests) == 2
    assert backend.connections == 1
    assert upstream.call(a_call(), 't').body == b'ok'


def test_idle_connection_carries_no_non_idempotent_request():
    now_ms = [0.0]
    backend = answering(NAMED_OK, NAMED_OK, NAMED_OK)
    upstream = Upstream(backend.address, lambda: now_ms[0])
    call = replace(a_call(), deadline_at_ms=60_000)
    upstream.call(call, 't')
    upstream.call(replace(call, idempotent=False), 't')
    assert backend.connections == 1
    now_ms[0] += MAX_NON_IDEMPOTENT_IDLE_MS + 1
    upstream.call(replace(call, idempotent=False), 't')
    assert backend.connections == 2


def test_refused_connection_is_proven_not_run():
    backend = SocketBackend(lambda sock: None)
    backend.server.stop()
    call = a_call()
    with pytest.raises(Unavailable) as raised:
        Upstream(backend.address).call(call, 't')
    assert raised.value.outcome == 'not-run'
    assert not call.maybe_sent


@pytest.mark.parametrize(
    ('head', 'outcome', 'may_retry'),
    [
        (b'200 OK\r\ndamasklanding-outcome: not-run', 'ran', False),
        (b'500 E', 'ran', True),
        (b'503 E', 'unknown', True),
        (b'503 E\r\ndamasklanding-outcome: not-run', 'not-run', True),
        (b'500 E\r\ndamasklanding-outcome: not-run', 'ran', True),
        (b'429 E\r\ndamasklanding-outcome: not-run', 'not-run', True),
    ],
)
def test_outcome_of_an_answer(head, outcome, may_retry):
    data = b'HTTP/1.1 ' + head + b'\r\ncontent-length: 0\r\n\r\n'
    answer = Upstream(answering(data).address).call(a_call(), 't')
    assert (answer.outcome, answer.may_retry) == (outcome, may_retry)
    assert 'damasklanding-outcome' not in answer.headers


SHED = (
    b'HTTP/1.1 503 Shed\r\ncontent-length: 0\r\n'
    b'damasklanding-outcome: not-run\r\n\r\n'
)


@pytest.mark.parametrize(
    'second, idempotent, status, outcome',
    [(OK, True, 200, 'ran'), (SHED, True, 503, 'unknown')],
)
def test_silent_connection_is_given_up(second, idempotent, status, outcome):
    requests = []

    def serve(sock):
        while sock.recv(65_536):
            requests.append(sock)
            if len(requests) == 1:
                sock.sendall(OK)
            elif requests[0] is not sock:
                sock.sendall(second)

    upstream = Upstream(SocketBackend(serve).address)
    upstream.call(a_call(), 't')
    answer = upstream.call(a_call(idempotent=idempotent), 't')
    # What ran on the silent connection can't be known, so a refusal of the
    # second sending does not prove that nothing ran.
    assert (answer.status, answer.outcome) == (status, outcome)
    assert len(requests) == 3


def test_silent_connection_is_not_given_up_without_allowance():
    def serve(sock):
        sock.recv(65_536)
        sock.sendall(OK)
        gevent.sleep(5)

    upstream = Upstream(SocketBackend(serve).address)
    upstream.call(a_call(), 't')
    call = a_call(timeout_ms=700)
    call.allowance = RetryAllowance(0)
    with pytest.raises(UpstreamTimeout):
        upstream.call(call, 't')


def test_proved_silence_ends_what_hangs_on_older_connections():
    silent = []

    def serve(sock):
        while sock.recv(65_536):
            if sock in silent:
                continue
            if len(silent) < 3 and backend.connections > 1:
                silent.append(sock)
                continue
            sock.sendall(OK)

    backend = SocketBackend(serve)
    upstream = Upstream(backend.address)
    upstream.call(a_call(), 't')
    booking = a_call('POST', idempotent=False, timeout_ms=5_000, body=b'x')
    spent = a_call(timeout_ms=5_000)
    spent.allowance = RetryAllowance(0)
    upstream.close()
    hanging = [gevent.spawn(upstream.call, c, 't') for c in (booking, spent)]
    gevent.sleep(0.05)
    assert upstream.call(a_call(), 't').body == b'ok'
    gevent.joinall(hanging, timeout=2)
    for job in hanging:
        assert isinstance(job.exception, ConnectionSilent)
        assert job.exception.outcome == 'unknown'


def deadline_of(request):
    head = request.decode()
    return int(head.split('damasklanding-deadline-ms: ')[1].split('\r')[0])


def test_second_sending_tells_the_time_left_then():
    requests = []

    def serve(sock):
        while data := sock.recv(65_536):
            requests.append(data)
            if len(requests) != 2:
                sock.sendall(OK)

    upstream = Upstream(SocketBackend(serve).address)
    upstream.call(a_call(), 't')
    upstream.call(a_call(), 't')
    first, second = map(deadline_of, requests[1:])
    assert second <= first - 250


def test_slow_answer_on_a_connection_in_use_is_waited_for():
    requests = []

    def serve(sock):
        while sock.recv(65_536):
            requests.append(sock)
            if len(requests) == 2:
                gevent.sleep(0.5)
            sock.sendall(OK)

    upstream = Upstream(SocketBackend(serve).address, suspect_after_ms=1_000)
    upstream.call(a_call(), 't')
    assert upstream.call(a_call(), 't').body == b'ok'
    assert len(requests) == 2


def test_answer_that_has_come_is_taken_after_the_deadline(monkeypatch):
    upstream = Upstream(answering(OK).address)
    call = a_call()
    await_answer = upstream._await_answer

    def late(*arguments):
        await_answer(*arguments)
        call.deadline_at_ms = monotonic_ms() - 1

    monkeypatch.setattr(upstream, '_await_answer', late)
    assert upstream.call(call, 't').body == b'ok'


def test_answer_to_another_request_is_passed_over():
    def named(name, body):
        return (
            b'HTTP/1.1 200 OK\r\ndamasklanding-attempt-id: %b\r\n'
            b'damasklanding-server-signature: s\r\n'
            b'content-length: 2\r\n\r\n%b' % (name, body)
        )

    backend = answering(named(b'old', b'no') + named(b'r', b'ok'))
    upstream = Upstream(backend.address, dialect=BACKEND_DIALECT)
    assert upstream.call(a_call(), 't').body == b'ok'


NAME_HEADERS = {
    BACKEND_DIALECT: b'damasklanding-attempt-id',
    DEFAULT_BACKEND_DIALECT: b'damasklanding-context',
}
REFUSAL = (
    b'HTTP/1.1 503 Full\r\ndamasklanding-not-executed: 1\r\n'
    b'damasklanding-outcome: not-run\r\ncontent-length: 0\r\n\r\n'
)
SIGNED_OK = OK.replace(
    b'\r\n', b'\r\ndamasklanding-server-signature: s\r\n', 1
)


def naming(answer, dialect, name):
    """Return an answer with the header that names its request."""
    line = b'\r\n%b: %b\r\n' % (NAME_HEADERS[dialect], name)
    return answer.replace(b'\r\n', line, 1) if name else answer


def answering_after_strays(dialect, stray, end=b'', echo=True):
    """
    A backend server that writes a stray answer before its second one.

    :param stray: segments of the stray answer.
    :param end: what follows in place of the second answer.
    """

    def serve(sock):
        number = 0
        while request := sock.recv(65_536):
            backend.requests.append(request)
            number += 1
            name = request.partition(b'GET /')[2].partition(b' ')[0]
            if number > 1:
                for segment in stray:
                    sock.sendall(segment)
                    gevent.sleep(0.02)
                if end:
                    sock.close()
                    return
            body = OK if dialect is DEFAULT_BACKEND_DIALECT else SIGNED_OK
            sock.sendall(naming(body, dialect, name if echo else b''))

    backend = SocketBackend(serve)
    backend.requests = []
    return backend


def call_by_name(upstream, name, **fields):
    call = replace(a_call(**fields), request_id=name, target=f'/{name}')
    return upstream.call(call, name)


def stray_segments(answer, dialect, name, is_split):
    data = naming(answer, dialect, name)
    return (data[:20], data[20:]) if is_split else (data,)


@pytest.mark.parametrize('dialect', NAME_HEADERS, ids=['platform', 'own'])
@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('is_split', [True, False])
@pytest.mark.parametrize('name', [b'first', b''])
@pytest.mark.parametrize(
    'stray',
    [REFUSAL, SIGNED_OK.replace(b'ok', b'no')],
    ids=['refusal', 'success'],
)
class TestEarlierAnswerWrittenOnceMore:
    def test_is_not_taken_for_the_answer_to_the_next_request(
        self, dialect, idempotent, is_split, name, stray
    ):
        segments = stray_segments(stray, dialect, name, is_split)
        backend = answering_after_strays(dialect, segments)
        upstream = Upstream(backend.address, dialect=dialect)
        call_by_name(upstream, 'first')
        answer = call_by_name(upstream, 'second', idempotent=idempotent)
        assert (answer.status, answer.outcome) == (200, 'ran')
        assert answer.body == b'ok'
        assert backend.connections == 1
        # More of it may follow.
        assert upstream.idle_count() == 0

    def test_proves_nothing_when_the_connection_ends_after_it(
        self, dialect, idempotent, is_split, name, stray
    ):
        segments = stray_segments(stray, dialect, name, is_split)
        backend = answering_after_strays(dialect, segments, end=b'close')
        upstream = Upstream(backend.address, dialect=dialect)
        call_by_name(upstream, 'first')
        if idempotent:
            # The resend is on a new connection.
            answer = call_by_name(upstream, 'second')
            assert (answer.status, answer.outcome) == (200, 'ran')
        else:
            with pytest.raises(UpstreamFailed) as raised:
                call_by_name(upstream, 'second', idempotent=False)
            assert raised.value.outcome == 'unknown'
        assert len(backend.requests) == 2 + idempotent


@pytest.mark.parametrize('dialect', NAME_HEADERS, ids=['platform', 'own'])
@pytest.mark.parametrize('stray', [REFUSAL, SIGNED_OK])
def test_non_idempotent_request_meets_no_stray_of_a_server_that_names_none(
    dialect, stray
):
    backend = answering_after_strays(dialect, (stray,), echo=False)
    upstream = Upstream(backend.address, dialect=dialect)
    for name in ('first', 'second', 'third'):
        answer = call_by_name(upstream, name, idempotent=False)
        assert (answer.status, answer.outcome) == (200, 'ran')
    assert backend.connections == 3


@pytest.mark.parametrize('answer', [REFUSAL, SIGNED_OK])
def test_server_that_names_some_requests_is_not_waited_for_in_vain(answer):
    dialect = DEFAULT_BACKEND_DIALECT
    backend = answering(naming(OK, dialect, b'first'), answer)
    upstream = Upstream(backend.address)
    call_by_name(upstream, 'first')
    began_ms = monotonic_ms()
    with pytest.raises(UpstreamFailed) as raised:
        call_by_name(upstream, 'second', idempotent=False, timeout_ms=5_000)
    assert raised.value.outcome == 'unknown'
    assert monotonic_ms() - began_ms < 1_000


@pytest.mark.parametrize('dialect', NAME_HEADERS, ids=['platform', 'own'])
@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('echo', [True, False])
def test_true_refusal_stays_a_promise(dialect, idempotent, echo):
    def serve(sock):
        while request := sock.recv(65_536):
            name = request.partition(b'GET /')[2].partition(b' ')[0]
            sock.sendall(naming(REFUSAL, dialect, name if echo else b''))

    upstream = Upstream(SocketBackend(serve).address, dialect=dialect)
    for name in ('first', 'second', 'third'):
        answer = call_by_name(upstream, name, idempotent=idempotent)
        assert (answer.status, answer.outcome) == (503, 'not-run')
        assert answer.may_retry


def test_answer_in_pieces_may_pause_within_the_deadline():
    def serve(sock):
        sock.recv(65_536)
        sock.sendall(OK[:20])
        gevent.sleep(0.15)
        sock.sendall(OK[20:-1])
        gevent.sleep(0.15)
        sock.sendall(OK[-1:])

    assert (
        Upstream(SocketBackend(serve).address).call(a_call(), 't').body
        == b'ok'
    )


STRAY_HEAD = (
    b'HTTP/1.1 200 OK\r\ndamasklanding-attempt-id: old\r\n'
    b'damasklanding-server-signature: s\r\n'
)
OWN_HEAD = STRAY_HEAD.replace(b'old', b'r')
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'', b'?'),
        (b'', b'no answer\r\n'),
        (b'HTTP/1.1 200 OK\r\nx: ', b'y'),
        (b'HTTP/1.1 200 OK\r\n', b'x: y\r\n'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (STRAY_HEAD + b'\r\n', b'?'),
        (STRAY_HEAD + b'content-length: 900000000000\r\n\r\n', b'?'),
        (STRAY_HEAD + CHUNKED, b'4\r\nabcd\r\n'),
        (STRAY_HEAD + CHUNKED, b'1;' + b'x' * 1_000 + b'\r\na\r\n'),
        (OWN_HEAD + CHUNKED, b'4;' + b'x' * 30_000 + b'\r\nabcd\r\n'),
        (OWN_HEAD + CHUNKED + b'0\r\n', b'x: y\r\n'),
    ],
)
def test_endless_bytes_that_are_no_answer_end_the_call_at_once(
    start, repeated
):
    with flooding(start, repeated) as address, measured_pauses_ms() as pauses:
        upstream = Upstream(address, dialect=BACKEND_DIALECT)
        began_ms = monotonic_ms()
        with pytest.raises(UpstreamFailed):
            upstream.call(a_call(method='POST', idempotent=False), 't')
        assert monotonic_ms() - began_ms < 2_000
    assert max(pauses) < 500


def test_body_in_tiny_chunks_with_long_extensions_blocks_nothing():
    chunk = b'1;' + b'x' * 1_000 + b'\r\na\r\n'
    with (
        flooding(OWN_HEAD + CHUNKED, chunk) as address,
        measured_pauses_ms() as pauses,
    ):
        upstream = Upstream(address, dialect=BACKEND_DIALECT)
        began_ms = monotonic_ms()
        with pytest.raises(UpstreamTimeout):
            b''.join(upstream.call(a_call(timeout_ms=300), 't').parts)
        assert monotonic_ms() - began_ms < 300 + 500 + 200
    assert max(pauses) < 500


@pytest.mark.parametrize('pause_ms', [0, 5])
@pytest.mark.parametrize(
    'framing', [b'\r\n', b'content-length: 900000000000\r\n\r\n']
)
def test_endless_body_ends_soon_after_the_deadline_and_blocks_nothing(
    framing, pause_ms
):
    # A client has its answer within 500 ms of the end of its time.
    with (
        flooding(OWN_HEAD + framing, b'?') as address,
        measured_pauses_ms() as pauses,
    ):
        upstream = Upstream(address, dialect=BACKEND_DIALECT)
        began_ms = monotonic_ms()
        answer = upstream.call(a_call(timeout_ms=300), 't')
        with pytest.raises(UpstreamTimeout):
            for _ in answer.parts:
                assert monotonic_ms() - began_ms < 2_000
                if pause_ms:
                    gevent.sleep(pause_ms / 1000)
        assert monotonic_ms() - began_ms < 300 + 500 + 200
    assert max(pauses) < 500


def losing_answers(requests):
    """A backend server that answers once a connection, then closes it."""

    def serve(sock):
        if sock.recv(65_536):
            sock.sendall(OK)
        if sock.recv(65_536):
            requests.append(sock)
            sock.close()

    return SocketBackend(serve)


def call_until_lost(upstream, requests, call):
    """Make a call whose answer is lost on a kept connection."""
    upstream.call(a_call(), 't')
    count = len(requests)
    try:
        upstream.call(call, 't')
    except UpstreamFailed as error:
        assert error.outcome == 'unknown'
    assert len(requests) == count + 1
    upstream.close()


def test_lost_answers_are_sent_for_again_within_the_budget():
    """Guards against repeats of lost answers that no budget bounds."""
    requests = []
    taken = []
    backend = losing_answers(requests)
    upstream = Upstream(
        backend.address, take_repeat=lambda call: not taken.append(call)
    )
    for _ in range(300):
        call_until_lost(upstream, requests, a_call())
    assert len(taken) <= max(RESEND_RESERVE, RESEND_RATIO * 900)
    assert len(taken) >= RESEND_RESERVE


@pytest.mark.parametrize('left, may_repeat', [(0, True), (1, False)])
def test_lost_answer_is_not_sent_for_again(left, may_repeat):
    requests = []
    backend = losing_answers(requests)
    upstream = Upstream(backend.address, take_repeat=lambda _call: may_repeat)
    upstream.call(a_call(), 't')
    connections = backend.connections
    call = a_call()
    call.allowance = RetryAllowance(left)
    with pytest.raises(UpstreamFailed):
        upstream.call(call, 't')
    assert backend.connections == connections
    assert call.allowance.left == left
