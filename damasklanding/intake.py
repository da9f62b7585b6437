"""
damasklanding.intake
~~~~~~~~~~~~~~~~~~~~

Bounds what the clients of all listeners make a process hold.  Where a bound is
reached, clients that have kept the process waiting longest lose their
connections first.
"""

from contextlib import contextmanager
from dataclasses import dataclass
from heapq import nsmallest
from math import inf
import resource
import socket

from damasklanding.clock import monotonic_ms

__all__ = ['Client', 'Clients', 'Intake', 'IntakeLimits']

#: Time for which a client may keep the process waiting before it may lose its
#: connection to others.
PATIENCE_MS = 500
#: Part of the connections that is closed at a time, so that a flood of new
#: ones does not cost a search for each.
CLOSED_SHARE = 1 / 64
MIN_CONNECTIONS = 8
#: Part of the descriptors of a process that may be connections of one
#: listener.
DESCRIPTOR_SHARE = 0.625


@dataclass(frozen=True)
class IntakeLimits:
    """
    Limits of all listeners of a process; see the settings.

    :ivar max_connections: connections of a listener for callers.
    :ivar max_document_elements: values in the body of an operator's request.
    """

    max_connections: int = 2_500
    max_document_elements: int = 200_000


class Client:
    """
    One connection of a client.

    :ivar closed: whether its connection was closed to make room.
    :ivar served: whether it has had an answer.
    :ivar since_ms: time since which its present request is being read, its
        answer is being sent, or its next request is awaited.
    :ivar waiting: whether the process waits for it to send or to read.
    """

    __slots__ = ('closed', 'served', 'since_ms', 'waiting', '_now_ms', '_sock')

    def __init__(self, sock, now_ms):
        self.closed = False
        self.served = False
        self.since_ms = now_ms()
        self.waiting = False
        self._now_ms = now_ms
        self._sock = sock

    def begin(self):
        """Note that the process begins to read from it or to send to it."""
        self.since_ms = self._now_ms()

    def close(self):
        """Close the connection to make room for others."""
        self.closed = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # it has been closed meanwhile

    def rank(self):
        """Return the order in which clients lose their connections."""
        return self.served, self.since_ms


class Clients:
    """The connections of one listener."""

    def __init__(self, max_connections, note, now_ms):
        self._max_connections = max_connections
        self._closed_at_once = max(1, int(CLOSED_SHARE * max_connections))
        self._note = note
        self._now_ms = now_ms
        self._clients = set()
        self._closing = 0

    def __len__(self):
        return len(self._clients)

    @contextmanager
    def admitted(self, sock):
        """
        Count a connection for the length of the block.

        Yields its :class:`Client`, None where there is no room for it.
        """
        if not self._has_room():
            self._close_stalled()
        if not self._has_room():
            self._note('refused', 'connections')
            yield None
            return
        client = Client(sock, self._now_ms)
        self._clients.add(client)
        try:
            yield client
        finally:
            self._clients.discard(client)
            self._closing -= client.closed

    def close(self, client, reason):
        """Close the connection of a client to make room for others."""
        client.close()
        self._closing += 1
        self._note('closed', reason)

    def stalled(self):
        """Return the clients for which the process has waited for long."""
        before_ms = self._now_ms() - PATIENCE_MS
        return [
            client
            for client in self._clients
            if client.waiting
            and not client.closed
            and client.since_ms <= before_ms
        ]

    def _has_room(self):
        return len(self._clients) - self._closing < self._max_connections

    def _close_stalled(self):
        for client in nsmallest(
            self._closed_at_once, self.stalled(), Client.rank
        ):
            self.close(client, 'connections')


def _note_nothing(_action, _reason):
    return None


class Intake:
    """
    What the clients of all listeners make a process hold.

    :param limits: :class:`IntakeLimits`.
    :param note: function of what was done to a client, ``closed`` or
        ``refused``, and of the bound that was reached.
    """

    def __init__(self, limits=None, note=_note_nothing, now_ms=monotonic_ms):
        self.limits = limits or IntakeLimits()
        self._note = note
        self._now_ms = now_ms

    def clients(self, share=1.0):
        """
        Return the :class:`Clients` of a further listener.

        :param share: of the largest number of connections.
        """
        allowed = min(self.limits.max_connections, _descriptor_limit())
        return Clients(
            max(MIN_CONNECTIONS, int(share * allowed)),
            self._note,
            self._now_ms,
        )


def _descriptor_limit():
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return inf if soft == resource.RLIM_INFINITY else DESCRIPTOR_SHARE * soft
