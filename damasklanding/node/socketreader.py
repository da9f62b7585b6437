"""
damasklanding.node.socketreader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads sockets without holding up the other greenlets of the process.
"""

from io import RawIOBase

from gevent import socket as gsocket

from damasklanding.clock import monotonic_ms

__all__ = ['SocketReader']

TURN_BYTES = 16 * 1024  # after which the time since the last turn is checked
TURN_MS = 5  # time after which other greenlets get a turn


class SocketReader(RawIOBase):
    """
    Reads a socket; gives other greenlets a turn at regular intervals.

    A receive call that finds data waiting does not switch greenlets.  Without
    these turns, a peer that sends faster than its data is parsed would block
    the process.

    :param prefix: bytes that have been received already; returned first.
    :param client: :class:`~damasklanding.intake.Client` that sends, None for
        another process.
    :ivar client: as given; it may be set later.
    :ivar received_bytes: number of bytes received.
    """

    def __init__(self, sock, prefix=b'', client=None):
        self.received_bytes = 0
        self.client = client
        self._sock = sock
        self._prefix = prefix
        self._check_at_bytes = TURN_BYTES
        self._turn_ms = 0.0

    def readable(self):
        """Return True, as this object can be read."""
        return True

    def note_turn(self):
        """Take note that other greenlets have just had a turn."""
        self._check_at_bytes = self.received_bytes + TURN_BYTES

    def readinto(self, buffer):
        """Read bytes into a buffer; return their number, 0 at the end."""
        prefix = self._prefix
        if prefix:
            size = min(len(buffer), len(prefix))
            buffer[:size] = prefix[:size]
            self._prefix = prefix[size:]
            if self.client is not None and not self._prefix:
                self.client.buffer(0)
            return size
        if self.received_bytes >= self._check_at_bytes:
            self._let_others_run()
        try:
            size = self._receive(buffer)
        except BlockingIOError:
            return None
        self.received_bytes += size
        return size

    def _receive(self, buffer):
        client = self.client
        if client is None:
            return self._sock.recv_into(buffer)
        client.waiting = True
        try:
            return self._sock.recv_into(buffer)
        finally:
            client.waiting = False

    def _let_others_run(self):
        self.note_turn()
        timeout_s = self._sock.gettimeout()
        if timeout_s == 0.0 or monotonic_ms() - self._turn_ms < TURN_MS:
            return
        # gevent.sleep(0) would run neither timers nor other connections.
        gsocket.wait_read(
            self._sock.fileno(), timeout_s, TimeoutError('timed out')
        )
        self._turn_ms = monotonic_ms()
