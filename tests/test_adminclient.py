from contextlib import ExitStack
import os

import gevent
from gevent.server import StreamServer
from gevent.threadpool import ThreadPool
import pytest

from damasklanding import adminclient
from damasklanding.adminclient import AdminClient
from damasklanding.adminclient import api_path
from damasklanding.errors import BadSetting
from damasklanding.errors import Conflict
from damasklanding.errors import DamasklandingError
from damasklanding.errors import Unavailable
from damasklanding.fleet.resources import ControlHost
from tests.fakes_admin import FakeControlHost
from tests.fakes_admin import make_app
from tests.fakes_admin import run_server

TOKEN = 'emi-token-0123456789'


def run(function, *arguments):
    """Call in a thread, since urllib3 would block the gevent servers."""
    return ThreadPool(1).apply(function, arguments)


def raw_server(stack, data):
    """Send fixed bytes to each client and close; None sends no answer."""

    def answer(sock, _address):
        sock.recv(65_536)
        while data is None and sock.recv(65_536):
            pass
        sock.sendall(data or b'')
        sock.close()

    server = StreamServer(('127.0.0.1', 0), answer)
    server.start()
    stack.callback(server.stop, timeout=0)
    return f'127.0.0.1:{server.server_port}'


def losing_server(stack, target):
    """Forward requests to a server and drop its answers."""

    def lose(sock, _address):
        host, port = target.split(':')
        upstream = gevent.socket.create_connection((host, int(port)))
        copier = gevent.spawn(_copy, sock, upstream)
        upstream.recv(65_536)
        copier.kill()
        upstream.close()
        sock.close()

    server = StreamServer(('127.0.0.1', 0), lose)
    server.start()
    stack.callback(server.stop, timeout=0)
    return f'127.0.0.1:{server.server_port}'


def _copy(source, target):
    while data := source.recv(65_536):
        target.sendall(data)


BROKEN_ANSWERS = [
    b'',
    b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"rev',
    b'\x00\xff\x00 garbage\r\n\r\n',
    b'HTTP/1.1 503 Busy\r\nContent-Length: 99999\r\n\r\n',
    None,
]


@pytest.mark.parametrize('data', BROKEN_ANSWERS)
def test_broken_answer_leads_to_the_next_host(tmp_path, monkeypatch, data):
    monkeypatch.setattr(adminclient, 'FIRST_ROUND_TIMEOUT_MS', 300)
    app, host, *_ = make_app(tmp_path)
    with ExitStack() as stack:
        broken = raw_server(stack, data)
        good = stack.enter_context(run_server(app))
        client = AdminClient([broken, good], TOKEN)
        path = api_path('profiles', 'p')
        assert run(client.call, 'PUT', path, {})['revision'] == 1
        assert client.addresses[0] == good
    assert len(host.envelopes) == 1


def test_lost_answer_is_resent_elsewhere_and_applies_once(tmp_path):
    app, host, *_ = make_app(tmp_path)
    with ExitStack() as stack:
        good = stack.enter_context(run_server(app))
        losing = losing_server(stack, good)
        client = AdminClient([losing, good], TOKEN)
        path = api_path('profiles', 'p')
        written = run(client.call, 'PUT', path, {'weight': 2}, 0)
    assert written['revision'] == 1
    assert len(host.envelopes) == 2
    assert len({envelope.request_id for envelope in host.envelopes}) == 1
    assert host.view.state.revision == 1


FOREIGN_ANSWERS = [
    b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n<html>',
    b'HTTP/1.1 502 Bad\r\nContent-Length: 2\r\n\r\nno',
    b'HTTP/1.1 404 Not\r\nContent-Length: 2\r\n\r\n{}',
]


@pytest.mark.parametrize('data', FOREIGN_ANSWERS)
def test_another_server_at_the_address_is_named(data):
    with ExitStack() as stack:
        client = AdminClient([raw_server(stack, data)], TOKEN)
        with pytest.raises(DamasklandingError) as caught:
            run(client.call, 'GET', api_path('profiles'))
    assert '--admin' in caught.value.remedy


def test_conflict_names_the_winner_and_is_not_sent_elsewhere(tmp_path):
    app, host, *_ = make_app(tmp_path)
    with run_server(app) as address:
        client = AdminClient([address, address], TOKEN)
        path = api_path('profiles', 'p')
        run(client.call, 'PUT', path, {})
        with pytest.raises(Conflict) as caught:
            run(client.call, 'PUT', path, {}, 0)
    assert (caught.value.winner, caught.value.revision) == ('emi', 1)
    assert len(host.envelopes) == 2


def test_every_announced_control_host_is_asked(tmp_path):
    first, host, *_ = make_app(tmp_path)
    second, *_ = make_app(tmp_path, FakeControlHost('c2'))
    with run_server(first) as one, run_server(second) as two:
        for name, admin in (
            ('c1', one),
            ('c2', two),
            ('c3', '0.0.0.0:7405'),
            ('c4', ''),
        ):
            item = ControlHost(
                name=name, peer_address='127.0.0.1:1', admin_address=admin
            )
            host.put('control_host', item)
        client = AdminClient([one], TOKEN)
        replies = run(client.call_all, api_path('watchers'))
    assert [reply.address for reply in replies] == [one, two]
    assert [reply.body['name'] for reply in replies] == ['c1', 'c2']


def test_no_host_at_all_names_each(monkeypatch):
    monkeypatch.setattr(adminclient, 'ROUND_PAUSE_MS', 1)
    client = AdminClient(['127.0.0.1:9', '127.0.0.2:9'], TOKEN)
    with pytest.raises(Unavailable) as caught:
        run(client.call, 'GET', api_path('profiles'))
    for address in client.addresses:
        assert address in caught.value.problem


@pytest.mark.parametrize('text', ['', ',', 'localhost:1', '127.0.0.1', ':1'])
def test_addresses_are_checked(text):
    with pytest.raises(BadSetting) as caught:
        adminclient.parse_addresses(text)
    assert '--admin' in str(caught.value)


def test_names_in_paths_are_quoted():
    path = api_path('profiles', '../status?x=1#', fresh=1, other=None)
    assert path == '/v1/profiles/..%2Fstatus%3Fx%3D1%23?fresh=1'
    assert os.path.normpath(path).startswith('/v1/profiles/')
