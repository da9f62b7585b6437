import gevent
from gevent.event import Event
from nodes import FakeBackend
from nodes import SocketBackend
from nodes import call
from nodes import connect
from nodes import fleet
from nodes import read_reply
from nodes import send_request
from nodes import two_sites
import pytest

from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import Profile
from damasklanding.node.calls import RetryAllowance

UNSURE = (503, b'')
SHED = (503, b'', ('Damasklanding-Outcome', 'not-run'))
RETRIED = Profile(name='query', retries=2, timeout_ms=3_000)


def test_refusal_after_an_attempt_that_may_have_run_is_unknown():
    answers = [UNSURE, SHED, SHED]
    with fleet() as made:
        entry = made.add('entry')
        for index in range(3):
            made.add(f'server-{index}', FakeBackend(lambda _: answers.pop(0)))
        made.publish_all()
        made.publish(Change.put('profile', RETRIED))
        reply = entry.call('/q')
        assert not answers
        assert (reply.status, reply.outcome) == (503, 'unknown')


@pytest.mark.parametrize('path', ['/q', '/book'])
def test_own_retries_of_a_backend_server_are_charged_to_the_chain(path):
    inner = []

    def answer(environ):
        if environ['PATH_INFO'] == '/inner':
            inner.append(environ)
            return 500, b''
        context = environ['HTTP_DAMASKLANDING_CONTEXT']
        address = made.sites['server'].node.egress.bound_address
        replies = [
            call(address, '/inner', key=None, damasklanding_context=context)
            for _ in range(5)
        ]
        assert replies[-1].headers['damasklanding-may-retry'] == 'false'
        return 500, b''

    with two_sites(answer) as made:
        assert made.sites['entry'].call(path).status == 500
        assert len(inner) <= 2


def test_claimed_request_runs_on_when_its_caller_hangs_up():
    started, let_go = Event(), Event()

    def serve(sock):
        while sock.recv(65_536):
            started.set()
            let_go.wait(5)
            sock.sendall(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')

    with fleet() as made:
        entry = made.add('entry')
        made.add('server', SocketBackend(serve))
        made.publish_all()
        sock = connect(entry.node.callers.bound_address)
        send_request(sock, '/book', 'POST', b'plan', idempotency_key='k')
        assert started.wait(2)
        sock.close()
        gevent.sleep(0.05)
        let_go.set()
        gevent.sleep(0.05)
        reply = entry.call('/book', 'POST', b'plan', idempotency_key='k')
        assert (reply.status, reply.body) == (200, b'ok')
        assert made.sites['server'].backend_server.connections == 1


@pytest.mark.parametrize('name', ['entry', 'server'])
@pytest.mark.parametrize(
    ('method', 'answer'),
    [('HEAD', (200, b'')), ('GET', (204, b'')), ('GET', (304, b''))],
)
def test_answers_without_a_body_keep_the_connection_in_step(
    name, method, answer
):
    with two_sites(lambda environ: answer) as made:
        sock = connect(made.sites[name].node.callers.bound_address)
        file = sock.makefile('rb')
        for _ in range(2):
            send_request(sock, '/q', method)
            assert read_reply(file).status == answer[0]
        sock.close()


def test_pipelined_requests_are_answered_in_order():
    def answer(environ):
        return 200, environ['PATH_INFO'].encode()

    with two_sites(answer) as made:
        sock = connect(made.sites['entry'].node.callers.bound_address)
        for index in range(3):
            send_request(sock, f'/q/{index}')
        file = sock.makefile('rb')
        bodies = [read_reply(file).body for _ in range(3)]
        assert bodies == [b'/q/0', b'/q/1', b'/q/2']
        sock.close()


def test_large_body_of_a_refused_request_ends_the_connection():
    with two_sites() as made:
        sock = connect(made.sites['entry'].node.callers.bound_address)
        sock.sendall(
            b'POST /q HTTP/1.1\r\ncontent-length: 90000000\r\n\r\n' + b'x'
        )
        file = sock.makefile('rb')
        reply = read_reply(file)
        assert (reply.status, reply.headers['connection']) == (401, 'close')
        assert file.read() == b''
        sock.close()


@pytest.mark.parametrize('name', ['entry', 'server'])
def test_body_that_is_cut_on_its_way_in_never_arrives_as_whole(name):
    ended = []

    def serve(sock):
        data = b''
        while part := sock.recv(65_536):
            data += part
        ended.append(len(data))

    with fleet() as made:
        made.add('entry')
        made.add('server', SocketBackend(serve))
        made.publish_all()
        sock = connect(made.sites[name].node.callers.bound_address)
        send_request(sock, '/archive', 'POST', content_length=200_000)
        sock.sendall(b'x' * 100_000)
        gevent.sleep(0.1)
        sock.close()
        gevent.sleep(0.1)
        assert ended
        assert ended[0] < 200_000
        assert made.sites['server'].node.status().running == 0


def test_allowance_never_gives_back_more_than_it_lent():
    allowance = RetryAllowance(2)
    lent = allowance.lend()
    allowance.give_back(9, lent)
    assert allowance.left == 2
    while allowance.spend():
        pass
    assert allowance.left == 0
