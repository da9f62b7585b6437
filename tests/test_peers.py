import hashlib

import gevent
from gevent.event import Event
from gevent.server import StreamServer
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from nodes import SECRET
from nodes import FakeBackend
from nodes import SocketBackend
from nodes import connect
from nodes import fleet
from nodes import read_reply
from nodes import send_request
from nodes import two_sites
import pytest

from damasklanding.clock import monotonic_ms
from damasklanding.errors import DamasklandingError
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import Profile
from damasklanding.link import Identity
from damasklanding.link import open_link
from damasklanding.messages import CallAnswer
from damasklanding.messages import CallRequest
from damasklanding.wire import decode_frame
from damasklanding.wire import encode_frame

SHORT_BOOKING = Profile(name='booking', idempotent=False, timeout_ms=400)
HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'


class Holding:
    """A backend server that holds each request until it is let go."""

    def __init__(self):
        self.started = Event()
        self.ended = Event()
        self.let_go = Event()
        self.count = 0
        self.raw = SocketBackend(self._serve)
        self.address = self.raw.address
        self.server = self.raw.server

    def _serve(self, sock):
        while sock.recv(65_536):
            self.count += 1
            self.started.set()
            watch = gevent.spawn(sock.recv, 1)
            gevent.wait([watch, self.let_go], count=1)
            if watch.ready():
                self.ended.set()
                return
            watch.kill()
            sock.sendall(HEAD % 2 + b'ok')


def holding_sites(made):
    backend = Holding()
    entry = made.add('entry')
    server = made.add('server', backend)
    made.publish_all()
    return entry, server, backend


def started_call(site, path='/q', method='GET', body=b''):
    sock = connect(site.node.callers.bound_address)
    send_request(sock, path, method, body)
    return sock


@pytest.mark.parametrize('name', ['entry', 'server'])
def test_hang_up_of_the_caller_closes_the_backend_connection(name):
    with fleet() as made:
        _, server, backend = holding_sites(made)
        sock = started_call(made.sites[name])
        assert backend.started.wait(2)
        sock.close()
        assert backend.ended.wait(2)
        gevent.sleep(0.02)
        assert server.node.status().running == 0


@pytest.mark.parametrize('name', ['entry', 'server'])
def test_hang_up_after_a_large_body_closes_the_backend_connection(name):
    received, ended = Event(), Event()
    size = 300_000

    def serve(sock):
        left = size
        while left > 0 and (data := sock.recv(65_536)):
            left -= len(data)
        received.set()
        assert sock.recv(65_536) == b''
        ended.set()

    with fleet() as made:
        made.add('entry')
        made.add('server', SocketBackend(serve))
        made.publish_all()
        sock = started_call(made.sites[name], '/archive', 'POST', b'x' * size)
        assert received.wait(2)
        gevent.sleep(0.05)
        sock.close()
        assert ended.wait(2)


def test_hang_up_reaches_an_onward_call():
    inner_ended = Event()

    def serve(sock):
        request = sock.recv(65_536)
        context = request.partition(b'damasklanding-context: ')[2][:24]
        if request.startswith(b'GET /q/root'):
            egress = connect(made.sites['server'].node.egress.bound_address)
            egress.sendall(
                b'GET /inner HTTP/1.1\r\ndamasklanding-context: '
                + context
                + b'\r\n\r\n'
            )
            assert egress.recv(1) == b''
        else:
            started.set()
            assert sock.recv(1) == b''
            inner_ended.set()

    started = Event()
    with fleet() as made:
        backend = SocketBackend(serve)
        entry = made.add('entry')
        made.add('server', backend)
        made.publish_all()
        sock = started_call(entry, '/q/root')
        assert started.wait(2)
        sock.close()
        assert inner_ended.wait(2)


def test_answer_is_fetched_over_a_new_link_when_the_first_breaks():
    with fleet() as made:
        entry, server, backend = holding_sites(made)
        sock = started_call(entry, '/book', 'POST', b'plan')
        assert backend.started.wait(2)
        for link in list(server.links.links):
            link.close()
        gevent.sleep(0.1)
        backend.let_go.set()
        reply = read_reply(sock.makefile('rb'))
        assert (reply.status, reply.body) == (200, b'ok')
        assert reply.outcome == 'ran'
        assert backend.count == 1


def test_answer_lost_in_a_silent_link_is_fetched_over_a_new_one():
    with fleet() as made:
        entry, server, backend = holding_sites(made)
        relay = Relay(server.links.address)
        moved = server.backend(peer_address=relay.address)
        made.publish(Change.put('backend', moved))
        sock = started_call(entry, '/book', 'POST', b'plan')
        assert backend.started.wait(2)
        relay.connection.set()
        backend.let_go.set()
        reply = read_reply(sock.makefile('rb'))
        assert (reply.status, reply.outcome) == (200, 'ran')
        assert backend.count == 1
        relay.server.stop()


def test_request_of_a_lost_node_has_an_unknown_outcome():
    with fleet() as made:
        entry, server, backend = holding_sites(made)
        made.publish(Change.put('profile', SHORT_BOOKING))
        sock = started_call(entry, '/book', 'POST', b'plan')
        assert backend.started.wait(2)
        server.links.stop()
        reply = read_reply(sock.makefile('rb'))
        assert (reply.status, reply.outcome) == (502, 'unknown')
        assert backend.count == 1


def test_request_lost_with_its_link_is_run_once_elsewhere():
    with fleet() as made:
        entry = made.add('entry')
        server = made.add('server', FakeBackend())
        other = made.add('other', FakeBackend())
        made.publish_all()
        relay = Relay(server.links.address)
        moved = server.backend(peer_address=relay.address)
        gone = other.backend(held_out=True)
        made.publish(Change.put('backend', moved), Change.put('backend', gone))
        assert entry.call('/book', 'POST', b'1').status == 200
        relay.connection.set()
        made.publish(Change.put('backend', other.backend()))
        reply = entry.call('/book', 'POST', b'2')
        assert (reply.status, reply.outcome) == (200, 'ran')
        seen = server.backend_server.seen + other.backend_server.seen
        assert [item['body'] for item in seen] == [b'1', b'2']
        relay.server.stop()


def test_answer_that_breaks_off_is_never_passed_on_as_whole():
    def serve(sock):
        sock.recv(65_536)
        sock.sendall(HEAD % 500_000 + b'x' * 200_000)
        gevent.sleep(0.1)
        sock.close()

    with fleet() as made:
        entry = made.add('entry')
        server = made.add('server', SocketBackend(serve))
        made.publish_all()
        for site in (entry, server):
            sock = started_call(site, '/archive')
            data = sock.makefile('rb').read()
            assert b'content-length: 500000' in data
            assert len(data) < 500_000
        assert server.node.status().running == 0


@pytest.mark.parametrize('name', ['entry', 'server'])
def test_large_bodies_pass_whole_in_both_directions(name):
    body = bytes(range(256)) * 4_000

    def answer(environ):
        return 200, environ['body'][::-1]

    with two_sites(answer) as made:
        reply = made.sites[name].call('/archive', 'POST', body)
        assert reply.status == 200
        assert reply.body == body[::-1]
        reply = made.sites[name].call('/q')
        assert reply.status == 200


def test_slow_reader_holds_back_the_backend_server():
    sent = []
    total = 24 * 1024 * 1024

    def serve(sock):
        sock.recv(65_536)
        sock.sendall(HEAD % total)
        for index in range(total // 65_536):
            sock.sendall(bytes((index % 256,)) * 65_536)
            sent.append(65_536)

    with fleet() as made:
        entry = made.add('entry')
        made.add('server', SocketBackend(serve))
        made.publish_all()
        sock = started_call(entry, '/archive')
        gevent.sleep(0.4)
        held = sum(sent)
        assert held < total
        gevent.sleep(0.2)
        assert sum(sent) == held
        file = sock.makefile('rb')
        reply = read_reply(file)
        expected = hashlib.sha256()
        for index in range(total // 65_536):
            expected.update(bytes((index % 256,)) * 65_536)
        digest = hashlib.sha256(reply.body).digest()
        assert digest == expected.digest()


def test_request_that_was_held_up_on_its_way_is_refused():
    with two_sites() as made:
        server = made.sites['server']
        peer = Identity('peer', 'node', 'p1')
        link = open_link(server.links.address, peer, SECRET)
        link.request(a_request(sent_ms=int(link.age_ms())), 2_000)
        request = a_request(sent_ms=int(link.age_ms()) - 3_000, serial=2)
        with pytest.raises(DamasklandingError) as raised:
            link.request(request, 2_000)
        assert raised.value.code == 'deadline-exceeded'
        assert raised.value.outcome == 'not-run'
        assert len(server.backend_server.seen) == 1
        link.close()


def a_request(**changes):
    values = {
        'request_id': 'r',
        'service': 'desk',
        'profile': 'query',
        'organisation': 'acme',
        'importance': 1,
        'deadline_ms': 2_000,
        'sent_ms': 0,
        'retries_left': 0,
        'depth': 0,
        'method': 'GET',
        'path': '/q',
        'headers': [],
        'idempotent': True,
        **changes,
    }
    return CallRequest(**values)


@pytest.mark.parametrize('fault', ['service', 'stale', 'out', 'draining'])
def test_node_refuses_what_it_must_not_run(fault):
    with two_sites() as made:
        server = made.sites['server']
        request = a_request(service='other' if fault == 'service' else 'desk')
        if fault == 'stale':
            server.view._confirmed_at_ms = None
        elif fault == 'out':
            made.take_out('dc-a')
        elif fault == 'draining':
            server.node._local_backend.draining = True
        peer = Identity('peer', 'node', 'p1')
        link = open_link(server.links.address, peer, SECRET)
        with pytest.raises(DamasklandingError) as raised:
            link.request(request, 2_000)
        assert raised.value.outcome == 'not-run'
        assert not server.backend_server.seen
        link.close()


class Relay:
    """Passes bytes to another address until it is told to go silent."""

    def __init__(self, target):
        self.target = target
        self.silent = False
        self.server = StreamServer(('127.0.0.1', 0), self._accept)
        self.server.start()
        self.address = '127.0.0.1:%d' % self.server.server_port

    def _accept(self, sock, _address):
        other = connect(self.target)
        silent = Event()
        self.connection = silent
        pair = [
            gevent.spawn(self._pass, sock, other, silent),
            gevent.spawn(self._pass, other, sock, silent),
        ]
        gevent.joinall(pair, count=1)
        sock.close()
        other.close()

    def _pass(self, source, target, silent):
        while data := source.recv(65_536):
            if silent.is_set():
                gevent.sleep(60)
            target.sendall(data)


def test_silent_link_is_replaced_before_a_request_that_must_not_repeat():
    with two_sites() as made:
        entry, server = made.sites['entry'], made.sites['server']
        relay = Relay(server.links.address)
        moved = server.backend(peer_address=relay.address)
        made.publish(Change.put('backend', moved))
        assert entry.call('/book', 'POST', b'1').status == 200
        relay.connection.set()
        gevent.sleep(0.15)
        reply = entry.call('/book', 'POST', b'2')
        assert (reply.status, reply.outcome) == (200, 'ran')
        assert [seen['body'] for seen in server.backend_server.seen] == [
            b'1',
            b'2',
        ]
        relay.server.stop()


def test_node_that_stands_still_delays_a_call_only_briefly():
    with fleet() as made:
        entry = made.add('entry')
        server = made.add('server', FakeBackend())
        still = StreamServer(('127.0.0.1', 0), lambda *_: gevent.sleep(60))
        still.start()
        address = '127.0.0.1:%d' % still.server_port
        made.publish_all()
        frozen = server.backend(name='still', peer_address=address)
        made.publish(Change.put('backend', frozen))
        began_ms = monotonic_ms()
        for _ in range(6):
            reply = entry.call('/book', 'POST', b'x')
            assert (reply.status, reply.outcome) == (200, 'ran')
        assert monotonic_ms() - began_ms < 4_500
        assert len(server.backend_server.seen) == 6
        still.stop(timeout=0)


def test_withdrawn_key_stops_on_an_open_connection():
    with two_sites() as made:
        sock = connect(made.sites['entry'].node.callers.bound_address)
        file = sock.makefile('rb')
        send_request(sock, '/q')
        assert read_reply(file).status == 200
        made.put_keys('another')
        send_request(sock, '/q')
        reply = read_reply(file)
        assert (reply.status, reply.outcome) == (401, 'not-run')
        assert len(made.sites['server'].backend_server.seen) == 1
        sock.close()


@pytest.mark.parametrize('name', ['entry', 'server'])
def test_withdrawn_key_stops_a_queued_request_but_not_a_running_one(name):
    with fleet() as made:
        _, server, backend = holding_sites(made)
        server.gate.set_slots(1)
        running = started_call(made.sites[name])
        assert backend.started.wait(2)
        queued = started_call(made.sites[name])
        gevent.sleep(0.05)
        made.put_keys('another')
        reply = read_reply(queued.makefile('rb'))
        assert reply.outcome == 'not-run'
        assert reply.status == 401
        backend.let_go.set()
        assert read_reply(running.makefile('rb')).status == 200
        assert backend.count == 1


@pytest.mark.parametrize('name', ['entry', 'server'])
def test_drain_cuts_no_request(name):
    with fleet() as made:
        _, server, backend = holding_sites(made)
        site = made.sites[name]
        idle = connect(site.node.callers.bound_address)
        gevent.sleep(0.02)
        sock = started_call(site)
        assert backend.started.wait(2)
        drained = gevent.spawn(site.node.drain, 5_000)
        gevent.sleep(0.1)
        with pytest.raises(ConnectionRefusedError):
            connect(site.node.callers.bound_address)
        backend.let_go.set()
        reply = read_reply(sock.makefile('rb'))
        assert (reply.status, reply.body) == (200, b'ok')
        assert reply.headers['connection'] == 'close'
        assert drained.get(timeout=3)
        assert idle.recv(1) == b''


def test_retries_go_elsewhere_and_stay_within_the_allowance():
    shed = (503, b'', ('Damasklanding-Outcome', 'not-run'))
    with fleet() as made:
        entry = made.add('entry')
        backends = [FakeBackend(lambda environ: shed) for _ in range(4)]
        for index, backend in enumerate(backends):
            made.add(f'server-{index}', backend)
        made.publish_all()
        reply = entry.call('/book', 'POST', b'x')
        assert (reply.status, reply.outcome) == (503, 'not-run')
        assert sum(len(backend.seen) for backend in backends) == 2


def test_failed_request_that_must_not_repeat_is_sent_once():
    with fleet() as made:
        entry = made.add('entry')
        backends = [FakeBackend(lambda environ: (500, b'')) for _ in range(3)]
        for index, backend in enumerate(backends):
            made.add(f'server-{index}', backend)
        made.publish_all()
        reply = entry.call('/book', 'POST', b'x')
        assert (reply.status, reply.outcome) == (500, 'ran')
        assert sum(len(backend.seen) for backend in backends) == 1


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary(max_size=200), st.integers(0, 400), st.integers(0, 255))
def test_damaged_frames_are_bad_input_or_a_message(junk, index, value):
    frames = [
        encode_frame(a_request(headers=['a', 'b']), 7),
        encode_frame(CallAnswer(200, ['a', 'b'], b'x'), 7),
    ]
    candidates = [junk]
    for frame in frames:
        damaged = bytearray(frame[4:])
        damaged[index % len(damaged)] = value
        candidates += (bytes(damaged), bytes(damaged[: index % len(frame)]))
    for data in candidates:
        try:
            decode_frame(data)
        except DamasklandingError as error:
            assert error.code == 'bad-input'


def test_listener_outlives_junk_from_a_peer():
    with two_sites() as made:
        address = made.sites['server'].links.address
        for junk in (b'\xff' * 64, b'\x10\0\0\0' + b'\0' * 16, b'GET / H'):
            sock = connect(address)
            sock.sendall(junk)
            sock.close()
        assert made.sites['entry'].call('/q').status == 200
