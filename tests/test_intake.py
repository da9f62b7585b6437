from contextlib import ExitStack
import socket

import pytest

from damasklanding.errors import Unavailable
from damasklanding.intake import MIN_CONNECTIONS
from damasklanding.intake import PATIENCE_MS
from damasklanding.intake import Intake
from damasklanding.intake import IntakeLimits

MAX_CONNECTIONS = 10
MAX_HELD_BYTES = 1_000


class Clock:
    now_ms = 0.0

    def __call__(self):
        return self.now_ms


class Bench:
    """A listener's clients, with a clock and the notes of what was cut."""

    def __init__(self):
        self.now_ms = Clock()
        self.notes = []
        self.open = ExitStack()
        self.peers = {}
        self.intake = Intake(
            IntakeLimits(MAX_CONNECTIONS, MAX_HELD_BYTES),
            lambda *note: self.notes.append(note),
            self.now_ms,
        )
        self.clients = self.intake.clients()

    def connect(self, clients=None):
        ours, theirs = socket.socketpair()
        self.open.callback(ours.close)
        self.open.callback(theirs.close)
        clients = self.clients if clients is None else clients
        client = self.open.enter_context(clients.admitted(ours))
        if client is not None:
            self.peers[client] = theirs
        return client


@pytest.fixture
def bench():
    made = Bench()
    with made.open:
        yield made


def test_clients_up_to_the_bound_are_admitted(bench):
    assert all(bench.connect() for _ in range(MAX_CONNECTIONS))
    assert len(bench.clients) == MAX_CONNECTIONS
    assert bench.notes == []


def test_client_beyond_the_bound_is_refused_while_none_stalls(bench):
    for _ in range(MAX_CONNECTIONS):
        bench.connect().waiting = True
    bench.now_ms.now_ms += PATIENCE_MS - 1
    assert bench.connect() is None
    assert bench.notes == [('refused', 'connections')]


def test_client_beyond_the_bound_takes_the_place_of_a_stalled_one(bench):
    clients = [bench.connect() for _ in range(MAX_CONNECTIONS)]
    clients[3].waiting = True
    bench.now_ms.now_ms += PATIENCE_MS
    assert bench.connect() is not None
    assert [client.closed for client in clients].index(True) == 3
    assert bench.peers[clients[3]].recv(1) == b''
    assert bench.notes == [('closed', 'connections')]


def test_client_whose_request_is_worked_on_keeps_its_connection(bench):
    clients = [bench.connect() for _ in range(MAX_CONNECTIONS)]
    bench.now_ms.now_ms += 100 * PATIENCE_MS
    assert bench.connect() is None
    assert not any(client.closed for client in clients)


def test_served_clients_keep_their_connections_longest(bench):
    old = bench.connect()
    old.served = True
    bench.now_ms.now_ms += 1_000
    clients = [old] + [bench.connect() for _ in range(MAX_CONNECTIONS - 1)]
    for client in clients:
        client.waiting = True
    bench.now_ms.now_ms += PATIENCE_MS
    assert bench.connect() is not None
    assert [client.closed for client in clients].count(True) == 1
    assert not old.closed


def test_ended_client_gives_its_place_back(bench):
    with bench.clients.admitted(socket.socket()):
        pass
    assert len(bench.clients) == 0
    assert all(bench.connect() for _ in range(MAX_CONNECTIONS))


def test_small_listeners_have_a_few_connections_at_least(bench):
    small = bench.intake.clients(0.05)
    admitted = [bench.connect(small) for _ in range(MIN_CONNECTIONS + 1)]
    assert admitted[MIN_CONNECTIONS - 1] is not None
    assert admitted[MIN_CONNECTIONS] is None


def test_bytes_up_to_the_bound_are_held_for_all_together(bench):
    one, other = bench.connect(), bench.connect()
    one.hold(400)
    other.buffer(100)
    bench.intake.make_room(500)
    assert bench.intake.held_bytes == MAX_HELD_BYTES
    with pytest.raises(Unavailable) as caught:
        other.hold(1)
    assert caught.value.retry_after_ms
    assert bench.notes == [('refused', 'memory')]
    bench.intake.give_back(1)
    other.hold(1)
    assert bench.intake.held_bytes == MAX_HELD_BYTES


def test_bytes_beyond_the_bound_take_the_place_of_a_stalled_client(bench):
    stalled, busy, asking = (bench.connect() for _ in range(3))
    stalled.hold(400)
    busy.hold(300)
    asking.hold(300)
    stalled.waiting = asking.waiting = True
    bench.now_ms.now_ms += PATIENCE_MS
    asking.hold(400)
    assert stalled.closed
    assert not busy.closed
    assert not asking.closed
    assert bench.intake.held_bytes == MAX_HELD_BYTES
    with pytest.raises(Unavailable):
        asking.hold(1)


def test_nothing_stays_counted_for_a_client_that_has_ended(bench):
    with bench.clients.admitted(socket.socket()) as client:
        client.hold(300)
        client.buffer(200)
        client.settle(100)
        assert bench.intake.held_bytes == 300
    assert bench.intake.held_bytes == 0


def test_client_that_was_closed_is_counted_once(bench):
    with bench.clients.admitted(socket.socket()) as client:
        client.hold(300)
        bench.clients.close(client, 'memory')
        assert bench.intake.held_bytes == 0
    assert bench.intake.held_bytes == 0
    assert all(bench.connect() for _ in range(MAX_CONNECTIONS))
