"""Orders that a caller sends again to another control host."""

from contextlib import contextmanager

from control_cluster import cluster
from control_cluster import envelope
from control_cluster import eventually
import gevent
from gevent import socket
import pytest

from damasklanding.errors import DamasklandingError
from damasklanding.errors import NotAwaited
from damasklanding.errors import Unavailable
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import SetDataCentre
from damasklanding.messages import Propose
from damasklanding.platform.operators import operator_app
from damasklanding.stalls import STALL_LIMIT_MS
from damasklanding.stalls import StallDetector
from damasklanding.wsgi import wsgi_server

TIMEOUT_MS = 2_500


class Clock:
    """Clock that a test can set forward, as a freeze does."""

    def __init__(self):
        self.ms = 0.0

    def __call__(self):
        return self.ms


@contextmanager
def operator_api(host):
    server = wsgi_server(('127.0.0.1', 0), operator_app(host))
    server.start()
    try:
        yield ('127.0.0.1', server.server_port)
    finally:
        server.stop(timeout=0)


def is_out(host):
    return host.view.data_centre_out('kushiro')


def send_order(address, method):
    sock = socket.create_connection(address)
    sock.sendall(
        f'{method} /evacuation/kushiro HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
    )
    return sock


def answer_of(sock):
    with gevent.Timeout(5):
        line = sock.makefile('rb').readline().decode()
    return int(line.split()[1])


def call(address, method):
    with send_order(address, method) as sock:
        return answer_of(sock)


def order(host, out, is_awaited=lambda: True):
    command = SetDataCentre(name='kushiro', out=out)
    return host.order(
        Envelope(request_id='', operator='platform', command=command),
        TIMEOUT_MS,
        is_awaited,
    )


def leader_without_quorum(fleet):
    """Kill all other hosts and return the former leader."""
    leader = fleet.start_all()
    for name in list(fleet.hosts):
        if name != leader.settings.name:
            fleet.kill(name)
    eventually(lambda: leader.config.leadership is None)
    return leader


@pytest.mark.parametrize('method', ['POST', 'DELETE'])
def test_order_whose_sender_has_closed_is_not_carried_out(tmp_path, method):
    # Guards against a frozen host that carries out what was withdrawn.
    opposite = 'DELETE' if method == 'POST' else 'POST'
    with cluster(tmp_path) as fleet:
        fleet.start_all()
        frozen, other = list(fleet.hosts.values())[:2]
        server = wsgi_server(('127.0.0.1', 0), operator_app(frozen))
        server.init_socket()
        with operator_api(other) as elsewhere:
            assert call(elsewhere, opposite) == 200
            send_order(('127.0.0.1', server.server_port), method).close()
            assert call(elsewhere, method) == 200
            assert call(elsewhere, opposite) == 200
        server.start()
        gevent.sleep(0.5)
        server.stop(timeout=0)
        eventually(lambda: other.view.age_ms() < 100)
        assert is_out(other) is (opposite == 'POST')


def test_order_is_confirmed_again_when_its_confirmation_was_lost(tmp_path):
    with cluster(tmp_path) as fleet:
        fleet.start_all()
        first, second, third = fleet.hosts.values()
        for host in (first, second, first, third):
            with operator_api(host) as address:
                assert call(address, 'POST') == 200
        eventually(lambda: all(map(is_out, fleet.hosts.values())))
        for host in (third, second):
            with operator_api(host) as address:
                assert call(address, 'DELETE') == 200
        eventually(lambda: not any(map(is_out, fleet.hosts.values())))


def test_copies_of_an_order_at_all_hosts_at_once_are_confirmed(tmp_path):
    with cluster(tmp_path) as fleet:
        fleet.start_all()
        for out in (True, False, True):
            jobs = [
                gevent.spawn(order, host, out) for host in fleet.hosts.values()
            ]
            gevent.joinall(jobs, timeout=5)
            assert [job.value.error for job in jobs] == ['', '', '']
            eventually(
                lambda out=out: (
                    [is_out(host) for host in fleet.hosts.values()]
                    == [out] * 3
                )
            )


def test_command_proposed_late_does_not_undo_a_later_order(tmp_path):
    """The sender still seemed to wait when the host took its revision."""
    with cluster(tmp_path) as fleet:
        fleet.start_all()
        slow, other = list(fleet.hosts.values())[:2]
        assert order(other, True).error == ''
        propose = slow.propose
        waits = [True]

        def propose_late(sent, *arguments):
            if type(sent.command) is not SetDataCentre:
                return propose(sent, *arguments)
            slow.propose = propose
            order(other, False)
            order(other, True)
            waits[0] = False
            return propose(sent, TIMEOUT_MS)

        slow.propose = propose_late
        with pytest.raises(NotAwaited):
            order(slow, False, lambda: waits[0])
        eventually(lambda: all(map(is_out, fleet.hosts.values())))


def test_command_without_a_leader_is_given_up_with_its_sender(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = leader_without_quorum(fleet)
        waits = [True]
        gevent.spawn_later(0.2, waits.__setitem__, 0, False)
        with gevent.Timeout(1), pytest.raises(NotAwaited):
            leader.propose(
                envelope(SetDataCentre(name='kushiro', out=True), 'late'),
                TIMEOUT_MS,
                lambda: waits[0],
            )


def test_order_read_right_after_a_freeze_is_refused(tmp_path):
    with cluster(tmp_path) as fleet:
        fleet.start_all()
        host = next(iter(fleet.hosts.values()))
        clock = Clock()
        host._stalls._now_ms = clock
        host._stalls.start()
        clock.ms += STALL_LIMIT_MS + 1
        with pytest.raises(NotAwaited):
            order(host, True)
        handler = host.handlers()[Propose]
        with pytest.raises(Unavailable, match='stood still'):
            handler(None, Propose('config', b''))
        gevent.sleep(0.25)
        clock.ms += 10_000
        host._stalls._ticked_ms = clock.ms
        assert order(host, True).error == ''


def test_stall_is_noticed_also_before_the_timer_runs_again():
    clock = Clock()
    stalls = StallDetector(clock)
    stalls.start()
    try:
        clock.ms = STALL_LIMIT_MS
        assert not stalls.may_read_old_input()
        clock.ms = STALL_LIMIT_MS + 1
        assert stalls.may_read_old_input()
    finally:
        stalls.stop()


def test_order_without_a_leader_has_no_clear_answer(tmp_path):
    with cluster(tmp_path) as fleet:
        leader = leader_without_quorum(fleet)
        with pytest.raises(DamasklandingError) as caught:
            order(leader, True)
        assert caught.value.http_status == 503
