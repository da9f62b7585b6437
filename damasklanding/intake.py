"""
damasklanding.intake
~~~~~~~~~~~~~~~~~~~~

Bounds what the clients of all listeners make a process hold.  Where a bound is
reached, clients that have kept the process waiting longest lose their
connections first; where none has, the request that asks for more is refused.
"""

from contextlib import contextmanager
from dataclasses import dataclass
import fcntl
from heapq import nsmallest
from math import inf
from operator import itemgetter
import resource
import socket
import struct
import termios

import gevent

from damasklanding.clock import monotonic_ms
from damasklanding.errors import Unavailable

__all__ = [
    'Client',
    'Clients',
    'Intake',
    'IntakeLimits',
    'bound_socket_buffers',
]

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
RETRY_AFTER_MS = 1_000
#: The kernel keeps up to twice as much as it is told.
RECEIVE_BUFFER_BYTES = 16 * 1024
#: Unsent bytes above which the kernel takes no more for a connection.
MAX_UNSENT_BYTES = 32 * 1024
#: Bytes in the kernel for a connection up to which no sum is needed.
USUAL_KERNEL_BYTES = 2 * (RECEIVE_BUFFER_BYTES + MAX_UNSENT_BYTES)
SWEEP_INTERVAL_MS = 1_000


@dataclass(frozen=True)
class IntakeLimits:
    """
    Limits of all listeners of a process; see the settings.

    :ivar max_connections: connections of a listener for callers.
    :ivar max_held_bytes: bytes held for all clients and peers together.
    :ivar max_document_elements: values in the body of an operator's request.
    :ivar header_timeout_ms: time that a head may take.
    :ivar idle_timeout_ms: time for which a connection may be idle, or a whole
        body or a part of an answer may take at a listener not for callers.
    """

    max_connections: int = 2_500
    max_held_bytes: int = 64 * 1024 * 1024
    max_document_elements: int = 200_000
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


class Client:
    """
    One connection of a client, and what is held for it.

    :ivar buffered_bytes: bytes received ahead of its present request.
    :ivar closed: whether its connection was closed to make room.
    :ivar held_bytes: bytes held for its present request.
    :ivar served: whether it has had an answer.
    :ivar since_ms: time since which its present request is being read, its
        answer is being sent, or its next request is awaited.
    :ivar waiting: whether the process waits for it to send or to read.
    """

    __slots__ = (
        '_intake',
        '_sock',
        'buffered_bytes',
        'closed',
        'held_bytes',
        'served',
        'since_ms',
        'waiting',
    )

    def __init__(self, intake, sock):
        self.buffered_bytes = 0
        self.closed = False
        self.held_bytes = 0
        self.served = False
        self.since_ms = intake.now_ms()
        self.waiting = False
        self._intake = intake
        self._sock = sock

    def begin(self):
        """Note that the process begins to read from it or to send to it."""
        self.since_ms = self._intake.now_ms()

    def hold(self, count):
        """
        Count further bytes as held for the present request.

        :raises Unavailable: the process holds too much.
        """
        self._intake.make_room(count, self)
        self.held_bytes += count

    def settle(self, count):
        """Count no more than so many bytes for the present request."""
        if count < self.held_bytes:
            self._intake.give_back(self.held_bytes - count)
            self.held_bytes = count

    def release(self):
        """Count nothing any more for the present request."""
        if self.held_bytes:
            self.settle(0)

    def buffer(self, count):
        """
        Set the number of bytes that were received ahead.

        :raises Unavailable: the process holds too much.
        """
        if count == self.buffered_bytes:
            return
        self._intake.give_back(self.buffered_bytes)
        self.buffered_bytes = 0
        if count:
            self._intake.make_room(count, self)
            self.buffered_bytes = count

    def total_bytes(self):
        """Return the bytes that are held for it."""
        return self.buffered_bytes + self.held_bytes

    def kernel_bytes(self):
        """Return the bytes that the kernel keeps in both directions."""
        return _queued_bytes(self._sock, termios.FIONREAD) + _queued_bytes(
            self._sock, termios.TIOCOUTQ
        )

    def close(self):
        """Close the connection to make room for others."""
        self.closed = True
        self.release()
        self.buffer(0)
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # it has been closed meanwhile

    def rank(self):
        """Return the order in which clients lose their connections."""
        return self.served, self.since_ms


class Clients:
    """The connections of one listener."""

    def __init__(self, intake, max_connections):
        self._intake = intake
        self._max_connections = max_connections
        self._closed_at_once = max(1, int(CLOSED_SHARE * max_connections))
        self._clients = set()
        self._closing = 0

    def __len__(self):
        return len(self._clients)

    def __iter__(self):
        return iter(self._clients)

    @contextmanager
    def admitted(self, sock):
        """
        Count a connection for the length of the block.

        Yields its :class:`Client`, None where there is no room for it.
        """
        if not self._has_room():
            self._close_stalled()
        if not self._has_room():
            self._intake.note('refused', 'connections')
            yield None
            return
        client = Client(self._intake, sock)
        self._clients.add(client)
        try:
            yield client
        finally:
            self._clients.discard(client)
            self._closing -= client.closed
            client.release()
            client.buffer(0)

    def close(self, client, reason):
        """Close the connection of a client to make room for others."""
        client.close()
        self._closing += 1
        self._intake.note('closed', reason)

    def stalled(self):
        """Return the clients for which the process has waited for long."""
        before_ms = self._intake.now_ms() - PATIENCE_MS
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
    :ivar held_bytes: bytes held for all clients and peers.
    """

    def __init__(self, limits=None, note=_note_nothing, now_ms=monotonic_ms):
        self.held_bytes = 0
        self.limits = limits or IntakeLimits()
        self.note = note
        self.now_ms = now_ms
        self._listeners = []
        self._sweeper = None

    def clients(self, share=1.0):
        """
        Return the :class:`Clients` of a further listener.

        :param share: of the largest number of connections.
        """
        allowed = min(self.limits.max_connections, _descriptor_limit())
        clients = Clients(self, max(MIN_CONNECTIONS, int(share * allowed)))
        self._listeners.append(clients)
        return clients

    def start(self):
        """Start to look after what the kernel keeps for connections."""
        self._sweeper = gevent.spawn(self._sweep_loop)

    def stop(self):
        """Stop looking after it."""
        if self._sweeper is not None:
            self._sweeper.kill(block=False)

    def make_room(self, count, asking=None):
        """
        Count bytes as held; close connections of stalled clients if need be.

        :param asking: client that keeps its connection.
        :raises Unavailable: there is no room, and nothing was counted.
        """
        excess = self.held_bytes + count - self.limits.max_held_bytes
        if excess > 0:
            self._close_stalled(excess, asking)
            if self.held_bytes + count > self.limits.max_held_bytes:
                self.note('refused', 'memory')
                raise Unavailable(
                    'the requests of other clients take the memory',
                    retry_after_ms=RETRY_AFTER_MS,
                )
        self.held_bytes += count

    def give_back(self, count):
        """Count bytes as held no more."""
        self.held_bytes -= count

    def sweep(self):
        """Close connections where the kernel keeps too much for all."""
        room = self.limits.max_held_bytes - self.held_bytes
        connections = sum(len(clients) for clients in self._listeners)
        if connections * USUAL_KERNEL_BYTES <= room:
            return
        kept = [
            (client.kernel_bytes(), clients, client)
            for clients in self._listeners
            for client in clients
            if not client.closed
        ]
        kept.sort(key=itemgetter(0), reverse=True)
        excess = sum(kernel_bytes for kernel_bytes, _, _ in kept) - room
        for kernel_bytes, clients, client in kept:
            if excess <= 0:
                return
            excess -= kernel_bytes
            clients.close(client, 'memory')

    def _close_stalled(self, excess, asking):
        stalled = [
            (clients, client)
            for clients in self._listeners
            for client in clients.stalled()
            if client is not asking and client.total_bytes()
        ]
        stalled.sort(key=lambda pair: pair[1].rank())
        for clients, client in stalled:
            if excess <= 0:
                return
            excess -= client.total_bytes()
            clients.close(client, 'memory')

    def _sweep_loop(self):
        while True:
            gevent.sleep(SWEEP_INTERVAL_MS / 1000)
            self.sweep()


def bound_socket_buffers(sock):
    """Bound what the kernel keeps for each connection of a listener."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    # A small send buffer would slow down clients that do read.
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES
    )


def _queued_bytes(sock, request):
    try:
        answer = fcntl.ioctl(sock.fileno(), request, bytes(4))
    except (OSError, ValueError):
        return 0  # the socket was closed meanwhile
    return struct.unpack('i', answer)[0]


def _descriptor_limit():
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return inf if soft == resource.RLIM_INFINITY else DESCRIPTOR_SHARE * soft
