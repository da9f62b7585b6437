from contextlib import suppress
import socket
import time

import gevent
from gevent.event import Event
from gevent.socket import create_connection
import pytest

from damasklanding import wsgi
from damasklanding.errors import HeaderTimeout
from damasklanding.intake import Intake
from damasklanding.intake import IntakeLimits
from damasklanding.wsgi import wsgi_server


def test_connections_send_without_delay(monkeypatch):
    seen = []

    class Handler(wsgi.NoDelayHandler):
        def get_environ(self):
            option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
            seen.append(self.socket.getsockopt(*option))
            return super().get_environ()

    def app(_environ, start_response):
        start_response('200 OK', [('Content-Length', '2')])
        return [b'ok']

    monkeypatch.setattr(wsgi, 'NoDelayHandler', Handler)
    server = wsgi_server(('127.0.0.1', 0), app)
    server.start()
    with gevent.Timeout(5):
        client = create_connection(('127.0.0.1', server.server_port))
        client.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        assert client.recv(4_096).startswith(b'HTTP/1.1 200 OK')
        client.close()
    server.stop(timeout=0)
    assert seen == [1]


GET = b'GET /%b HTTP/1.1\r\nHost: x\r\n\r\n'


@pytest.fixture
def holding_server():
    """Yield a server that holds requests for /hold until an event is set."""
    let_go = Event()

    def app(environ, start_response):
        if environ['PATH_INFO'] == '/hold':
            let_go.wait(5)
        start_response('200 OK', [('Content-Length', '2')])
        return [b'ok']

    server = wsgi_server(('127.0.0.1', 0), app)
    server.start()
    with gevent.Timeout(10):
        yield server, let_go
    server.stop(timeout=0)


def open_connection(server, data):
    client = create_connection(('127.0.0.1', server.server_port))
    client.sendall(data)
    return client


def receive(client):
    """Return what comes until the connection is closed."""
    data = b''
    while part := client.recv(4_096):
        data += part
    client.close()
    return data


@pytest.mark.parametrize('pause_s', [0.05, None])
def test_running_request_is_cut_when_its_server_stops(holding_server, pause_s):
    server, let_go = holding_server
    whole = open_connection(server, GET % b'hold')
    part = open_connection(server, (GET % b'part')[:9])
    if pause_s is not None:
        gevent.sleep(pause_s)
    stopped = gevent.spawn(server.stop)
    gevent.sleep(0.1)
    part.sendall((GET % b'part')[9:])
    let_go.set()
    for client in (whole, part):
        data = receive(client).lower()
        assert data.startswith(b'http/1.1 200 ok')
        assert b'connection: close' in data
    stopped.get()


def test_kept_connection_holds_up_the_stop_of_its_server(holding_server):
    server, _ = holding_server
    client = open_connection(server, GET % b'first')
    assert client.recv(4_096).startswith(b'HTTP/1.1 200 OK')
    started_s = time.monotonic()
    server.stop()
    assert time.monotonic() - started_s < 1
    client.sendall(GET % b'second')
    assert receive(client) == b''


def test_request_without_end_holds_up_the_stop_of_its_server(holding_server):
    server, _ = holding_server
    client = open_connection(server, GET % b'hold')
    gevent.sleep(0.05)
    started_s = time.monotonic()
    server.stop(timeout=0.2)
    assert 0.2 <= time.monotonic() - started_s < 1
    client.close()


HEAD = b'PUT /x HTTP/1.1\r\nHost: h\r\n'
LENGTH = b'Content-Length: 1000\r\n\r\n'
#: First bytes, and a byte that follows again and again.
SLOW_CLIENTS = {
    'nothing': (b'', b''),
    'half-a-head': (HEAD, b''),
    'head-byte-by-byte': (HEAD + b'X: ', b'x'),
    'half-a-body': (HEAD + LENGTH, b''),
    'body-byte-by-byte': (HEAD + LENGTH, b'x'),
    'unread-body-byte-by-byte': (HEAD.replace(b'x', b'y') + LENGTH, b'x'),
    'answer-unread': (HEAD.replace(b'x', b'long') + b'\r\n', b''),
}


@pytest.mark.parametrize('client', SLOW_CLIENTS)
def test_client_without_end_does_not_keep_its_connection(client):
    def app(environ, start_response):
        status = '200 OK'
        if environ['PATH_INFO'] == '/x':
            try:
                environ['wsgi.input'].read(1_000)
            except HeaderTimeout:
                status = '408 Request Timeout'
        start_response(status, [])
        return [b'x' * (16 << 20 if 'long' in environ['PATH_INFO'] else 1)]

    limits = IntakeLimits(header_timeout_ms=200, idle_timeout_ms=400)
    server = wsgi_server(('127.0.0.1', 0), app, Intake(limits))
    server.start()
    first, byte = SLOW_CLIENTS[client]
    try:
        with create_connection(server.address[:2], 5) as sock:
            sock.sendall(first)
            with gevent.Timeout(10):
                while not server.clients:
                    gevent.sleep(0.01)
                while server.clients:
                    gevent.sleep(0.02)
                    with suppress(OSError):
                        sock.sendall(byte)
    finally:
        server.stop(timeout=0)
