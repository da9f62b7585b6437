"""Requests that are sent once more, as a kept connection lost the answer."""

from contextlib import contextmanager

from nodes import SocketBackend
from nodes import fleet
import pytest

from damasklanding.node.registration import Announcement

NODE_RESERVE = 10  # repeats that a node of these tests may send at first
NODE_RATIO = 0.1  # and for each further call
OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


class LosingBackend:
    """
    A backend server that answers once a connection, then closes it.

    :ivar requests: request lines that have arrived.
    :ivar before_close: called before a connection is closed.
    """

    def __init__(self):
        self.requests = []
        self.before_close = lambda: None
        self._socket_backend = SocketBackend(self._serve)
        self.address = self._socket_backend.address
        self.server = self._socket_backend.server

    def _serve(self, sock):
        if data := sock.recv(65_536):
            self.requests.append(data.split(b'\r\n')[0])
            sock.sendall(OK)
        if data := sock.recv(65_536):
            self.requests.append(data.split(b'\r\n')[0])
            self.before_close()
            sock.close()


@contextmanager
def losing_site():
    with fleet() as nodes:
        site = nodes.add('server', LosingBackend())
        nodes.publish_all()
        yield nodes, site, site.backend_server


def drain(_nodes, site):
    site.node.announce(Announcement('desk', 'draining', False, 50))


def take_out(nodes, _site):
    nodes.take_out('dc-a')


def test_lost_answers_are_sent_for_again_within_the_budget_of_the_node():
    """Guards against repeats of lost answers that no budget bounds."""
    count = 300
    with losing_site() as (_, site, backend):
        statuses = [site.call('/q/1').status for _ in range(count)]
        repeats = len(backend.requests) - count
    assert repeats <= max(NODE_RESERVE, NODE_RATIO * count)
    assert set(statuses) == {200, 502}


@pytest.mark.parametrize('leave', [drain, take_out])
def test_lost_answer_is_not_sent_for_again_after_a_drain(leave):
    """Guards a backend server that has drained against late repeats."""
    with losing_site() as (nodes, site, backend):
        backend.before_close = lambda: leave(nodes, site)
        assert site.call('/q/1').status == 200
        reply = site.call('/q/1')
        assert reply.status == 502
        assert reply.outcome == 'unknown'
        assert len(backend.requests) == 2
