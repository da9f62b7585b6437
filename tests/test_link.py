from collections import Counter
import random

import gevent
from gevent import socket as gsocket
import pytest

from bench.relay import Relay
from damasklanding import handshake
from damasklanding.clock import monotonic_ms
from damasklanding.errors import Forbidden
from damasklanding.errors import LinkClosed
from damasklanding.errors import LinkTimeout
from damasklanding.errors import NotFound
from damasklanding.handshake import open_handshake
from damasklanding.link import MAX_BACKLOG_BYTES
from damasklanding.link import Identity
from damasklanding.link import Link
from damasklanding.link import LinkOptions
from damasklanding.link import open_link
from damasklanding.link import parse_address
from damasklanding.linkpool import LinkPool
from damasklanding.linkserver import LinkServer
from damasklanding.messages import MESSAGE_LEVEL
from damasklanding.messages import BodyChunk
from damasklanding.messages import Ping
from damasklanding.messages import Propose
from damasklanding.messages import ProposeReply
from damasklanding.messages import StatusRequest
from damasklanding.node.bodies import send_parts
from damasklanding.periodic import PeriodicTimer
from damasklanding.wire import decode_frame
from damasklanding.wire import encode_frame
from damasklanding.wire import frame_length

NODE = Identity('node-a', 'node', 'i1')
CONTROL_HOST = Identity('host-a', 'control', 'i2')
SECRET = b'0123456789abcdef'


def start_server(handlers):
    server = LinkServer('127.0.0.1:0', CONTROL_HOST, SECRET, handlers)
    server.start()
    return server


def echo(_exchange, message):
    return ProposeReply(message.payload)


def test_request_gets_its_own_reply_under_concurrency():
    def slow_echo(_exchange, message):
        gevent.sleep(0.02 if message.payload < b'5' else 0)
        return ProposeReply(message.payload)

    server = start_server({Propose: slow_echo})
    link = open_link(server.address, NODE, SECRET)
    assert link.peer == CONTROL_HOST
    payloads = [b'%d' % number for number in range(10)]
    jobs = [
        gevent.spawn(link.request, Propose('g', payload), 2_000)
        for payload in payloads
    ]
    gevent.joinall(jobs, timeout=5)
    assert [job.value.outcome for job in jobs] == payloads
    server.stop()


def test_wrong_secret_is_refused_on_both_sides():
    server = start_server({Propose: echo})
    with pytest.raises((Forbidden, LinkClosed)):
        open_link(server.address, NODE, b'another secret, too')
    server.stop()


def test_handler_error_reaches_the_caller_with_its_code():
    def fail(_exchange, _message):
        raise NotFound('no such thing')

    server = start_server({StatusRequest: fail})
    link = open_link(server.address, NODE, SECRET)
    with pytest.raises(NotFound):
        link.request(StatusRequest('g'), 2_000)
    server.stop()


def test_cancel_stops_the_handler():
    seen = Counter()

    def wait(_exchange, _message):
        seen['started'] += 1
        try:
            gevent.sleep(60)
        finally:
            seen['ended'] += 1

    server = start_server({Propose: wait})
    link = open_link(server.address, NODE, SECRET)
    with link.exchange(Propose('g', b'')) as exchange:
        gevent.sleep(0.05)
        exchange.cancel()
    gevent.sleep(0.05)
    assert seen == {'started': 1, 'ended': 1}
    server.stop()


def test_frame_of_unknown_exchange_is_counted_and_dropped():
    server = start_server({Propose: echo})
    link = open_link(server.address, NODE, SECRET)
    link.send(BodyChunk(b'stray'), 77)
    assert link.request(Propose('g', b'x'), 2_000).outcome == b'x'
    (server_link,) = server.links
    assert server_link.dropped_frames == 1
    server.stop()


def test_closed_link_ends_open_exchanges():
    def never(_exchange, _message):
        gevent.sleep(60)

    server = start_server({Propose: never})
    link = open_link(server.address, NODE, SECRET)
    job = gevent.spawn(link.request, Propose('g', b''), 5_000)
    gevent.sleep(0.05)
    server.stop()
    job.join(2)
    assert isinstance(job.exception, LinkClosed)


def test_silent_link_is_replaced_and_its_exchanges_end():
    server = start_server({Propose: echo, StatusRequest: never_answer})
    relay = Relay('127.0.0.1:0', server.address)
    relay.start()
    pool = LinkPool(NODE, SECRET)
    assert pool.request(relay.address, Propose('g', b'a'), 500)
    silent_link = pool.get(relay.address)
    waiting = gevent.spawn(silent_link.request, StatusRequest('g'), 60_000)
    gevent.sleep(0.05)
    relay.silence()
    with pytest.raises(LinkTimeout):
        pool.request(relay.address, Propose('g', b'b'), 100)
    assert pool.request(relay.address, Propose('g', b'c'), 500)
    assert pool.get(relay.address) is not silent_link
    waiting.join(5)
    assert isinstance(waiting.exception, LinkClosed)
    server.stop()


def never_answer(_exchange, _message):
    gevent.sleep(60)


def test_handshake_under_way_at_a_stop_opens_no_link():
    server = start_server({Propose: echo})
    sock = gsocket.create_connection(parse_address(server.address))
    gevent.sleep(0.05)
    server.stop()
    try:
        sock.settimeout(2)
        open_handshake(sock, NODE, SECRET)
    except (OSError, LinkClosed, Forbidden):
        pass
    gevent.sleep(0.05)
    assert not server.links
    sock.close()


def test_both_ends_learn_which_messages_the_other_understands():
    server = start_server({Propose: echo})
    link = open_link(server.address, NODE, SECRET)
    gevent.sleep(0.05)
    (server_link,) = server.links
    assert link.peer.level == server_link.peer.level == MESSAGE_LEVEL
    server.stop()


@pytest.mark.parametrize('name', ['Hello', 'Challenge'])
def test_end_that_tells_no_level_understands_the_first_messages(
    monkeypatch, name
):
    def encode_older(message):
        if type(message).__name__ == name:
            message.level = 0  # which is not written
        return encode_frame(message)

    monkeypatch.setattr(handshake, 'encode_frame', encode_older)
    server = start_server({Propose: echo})
    link = open_link(server.address, NODE, SECRET)
    gevent.sleep(0.05)
    (server_link,) = server.links
    levels = {'Hello': server_link.peer.level, 'Challenge': link.peer.level}
    assert levels.pop(name) == 0
    assert set(levels.values()) == {MESSAGE_LEVEL}
    assert link.request(Propose('g', b'x'), 2_000).outcome == b'x'
    server.stop()


class AgingLink:
    """A link whose clock a test moves on."""

    def __init__(self, server):
        self.clock_ms = 0.0
        options = LinkOptions(
            now_ms=lambda: self.clock_ms, timer=PeriodicTimer(3_600_000)
        )
        self.link = open_link(server.address, NODE, SECRET, options=options)

    def age(self, duration_ms):
        for _ in range(int(duration_ms / 200)):
            self.clock_ms += 200
            self.link._check_connection()
            gevent.sleep(0.005)


def test_link_to_a_control_host_is_closed_soon_after_its_last_use():
    server = start_server({Propose: echo})
    aging = AgingLink(server)
    aging.age(2_800)
    aging.link.request(Propose('g', b'x'), 2_000)
    aging.age(2_800)
    assert not aging.link.closed.is_set()
    aging.age(600)
    assert aging.link.closed.is_set()
    server.stop()


def test_link_to_a_node_is_kept_longer():
    server = LinkServer('127.0.0.1:0', NODE, SECRET, {Propose: echo})
    server.start()
    aging = AgingLink(server)
    aging.age(9_800)
    assert not aging.link.closed.is_set()
    aging.age(600)
    assert aging.link.closed.is_set()
    server.stop()


def test_unused_link_is_not_closed_under_a_new_exchange():
    server = start_server({Propose: echo})
    aging = AgingLink(server)
    aging.clock_ms = 2_950.0
    aging.link._check_connection()
    aging.clock_ms = 3_100.0
    aging.link._check_connection()
    # The close waits for its greenlet; this request comes first.
    reply = aging.link.request(Propose('g', b'x'), 2_000)
    assert reply.outcome == b'x'
    assert not aging.link.closed.is_set()
    server.stop()


def test_link_that_is_used_once_costs_few_heartbeats():
    server = LinkServer('127.0.0.1:0', NODE, SECRET, {Propose: echo})
    server.start()
    aging = AgingLink(server)
    aging.link.request(Propose('g', b'x'), 2_000)
    aging.age(2_000)
    assert aging.link._ping_seq >= 1
    aging.age(8_400)
    assert aging.link.closed.is_set()
    assert aging.link._ping_seq <= 3
    server.stop()


def test_link_with_an_open_exchange_is_pinged_every_second():
    def wait(_exchange, _message):
        gevent.sleep(60)

    server = start_server({Propose: wait})
    aging = AgingLink(server)
    with aging.link.exchange(Propose('g', b'x')):
        aging.age(12_000)
        assert not aging.link.closed.is_set()
        assert aging.link._ping_seq >= 8
    server.stop()


def linked_pair():
    """Return a link and the bare socket at its other end."""
    near, far = gsocket.socketpair()
    link = Link(near, CONTROL_HOST, {}, True, LinkOptions())
    link.start()
    return link, far


def payloads_of(data):
    """Return the payloads of the whole frames at the begin of some bytes."""
    payloads = []
    while len(data) >= 4 and len(data) >= 4 + frame_length(data, 0):
        end = 4 + frame_length(data, 0)
        message = decode_frame(data[4:end])[1]
        if type(message) is Propose:  # and no heartbeat
            payloads.append(message.payload)
        data = data[end:]
    return payloads


def fill(link):
    """Send until a further frame has to wait."""
    while link._backlog_bytes <= MAX_BACKLOG_BYTES:
        gevent.spawn(link.send, Propose('g', bytes(60_000)), 1)
        gevent.sleep(0)


def read_all(far):
    data = b''
    with gevent.Timeout(0.5, False):
        while part := far.recv(65_536):
            data += part
    return data


@pytest.mark.parametrize('end', ['left', 'time', 'closed'])
def test_frame_whose_send_ended_in_the_wait_for_room_never_leaves(end):
    # Guards against bookings that run twice: a request counts as not sent
    # if its send fails, whether its caller leaves, its time ends or the link
    # closes.
    link, far = linked_pair()
    fill(link)
    limits = {'timeout_ms': 20} if end == 'time' else {}
    waiting = gevent.spawn(link.send, Propose('g', b'late'), 1, **limits)
    gevent.sleep(0.01)
    if end == 'left':
        waiting.kill()
    elif end == 'closed':
        link.close()
    gevent.wait([waiting], timeout=1)
    expected = {'left': type(None), 'time': LinkTimeout, 'closed': LinkClosed}
    assert type(waiting.exception) is expected[end]
    assert b'late' not in payloads_of(read_all(far))
    link.close()


@pytest.mark.parametrize('seed', range(6))
def test_frame_that_the_peer_has_read_has_been_sent_without_an_error(seed):
    # Guards against bookings that run twice after the reset of a link.
    source = random.Random(seed)
    link, far = linked_pair()
    failed = set()

    def send_one_after_the_other(sender):
        for number in range(1_000_000):
            payload = b'%d/%d ' % (sender, number) + bytes(60_000)
            try:
                link.send(Propose('g', payload), 1)
            except LinkClosed:
                failed.add(payload)
                return

    senders = [gevent.spawn(send_one_after_the_other, n) for n in range(60)]
    data = b''
    most_bytes = source.randint(3, 8) * 1_000_000
    while len(data) < most_bytes:
        data += far.recv(65_536)
        gevent.sleep(0.001)
    far.close()
    link.close()
    gevent.joinall(senders, timeout=5)
    assert len(failed) == len(senders)
    assert failed.isdisjoint(payloads_of(data))


@pytest.mark.parametrize('size', [0, 60_000])
def test_frames_that_wait_for_room_are_sent_in_turn(size):
    link, far = linked_pair()
    fill(link)
    waiting = [
        gevent.spawn(link.send, Propose('g', b'%d-' % n + bytes(size)), 1)
        for n in range(60)
    ]
    gevent.sleep(0.01)
    for place in (0, 7, 59):
        waiting[place].kill()
    late = [
        int(payload.split(b'-')[0])
        for payload in payloads_of(read_all(far))
        if b'-' in payload
    ]
    assert late == [n for n in range(60) if n not in (0, 7, 59)]
    assert all(greenlet.ready() for greenlet in waiting)
    assert link._backlog_bytes == 0
    link.close()


def test_upload_to_a_node_that_does_not_read_ends_with_its_time():
    # Guards against uploads without an answer at the end of their time.
    link, _far = linked_pair()
    fill(link)
    exchange = link.open_exchange()
    until_ms = monotonic_ms() + 50
    with gevent.Timeout(1), pytest.raises(LinkTimeout):
        send_parts(exchange, [b'part'], until_ms, monotonic_ms)
    link.close()


def test_frames_wait_no_longer_than_the_peer_reads(monkeypatch):
    # Guards against a stall: frames that got room may leave at once, so that
    # no backlog is left whose writer would let the others in.
    monkeypatch.setattr('damasklanding.link.MAX_BACKLOG_BYTES', 4_000)
    link, far = linked_pair()
    waiting = [
        gevent.spawn(link.send, Propose('g', bytes(1_000)), 1)
        for _ in range(1_000)
    ]
    gevent.sleep(0.01)
    assert len(payloads_of(read_all(far))) == len(waiting)
    assert all(greenlet.ready() for greenlet in waiting)
    link.close()


def test_cancel_does_not_wait_for_room():
    # A caller that leaves is not held up by the frames of others.
    link, far = linked_pair()
    fill(link)
    exchange = link.open_exchange()
    with gevent.Timeout(0.5):
        exchange.cancel()
    link.close()
    far.close()


def test_heartbeat_goes_before_the_backlog():
    # A proof that a link works must not wait for the frames queued on it.
    link, far = linked_pair()
    fill(link)
    with gevent.Timeout(0.5):
        link._ping()
    data = read_all(far)
    kinds = []
    while data:
        end = 4 + frame_length(data, 0)
        kinds.append(type(decode_frame(data[4:end])[1]))
        data = data[end:]
    assert Ping in kinds[: len(kinds) // 2]
    link.close()
