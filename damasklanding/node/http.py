"""
damasklanding.node.http
~~~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 listener on gevent's WSGI server.
"""

from dataclasses import dataclass
import socket
import time

import gevent
from gevent.pywsgi import WSGIServer
from gevent.pywsgi import format_date_time

from damasklanding.clock import monotonic_ms
from damasklanding.link import parse_address
from damasklanding.node.connections import CallerConnection

__all__ = ['Limits', 'Listener']

SWEEP_MS = 1_000


@dataclass(frozen=True)
class Limits:
    """Sizes and times that a listener allows; see the settings."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class Listener(WSGIServer):
    """
    Accepts callers on one address and runs a WSGI application.

    :param limits: :class:`Limits`.
    :param on_bad_input: called with the error for each malformed request.
    :ivar draining: once true, each answer closes its connection.
    """

    #: One connection a wake-up: a second attempt mostly finds none.
    max_accept = 1

    def __init__(self, address, application, limits, on_bad_input):
        super().__init__(
            parse_address(address),
            application,
            log=None,
            error_log=None,
            handler_class=CallerConnection,
            backlog=1024,
        )
        self.limits = limits
        self.on_bad_input = on_bad_input
        self.draining = False
        self.connections = set()
        self._date = (0, '')
        self._sweeper = None

    def start(self):
        """Start to accept callers."""
        super().start()
        self._sweeper = gevent.spawn(self._sweep_loop)

    def stop(self, timeout=None):
        """Stop accepting, and end the connections after a timeout."""
        if self._sweeper is not None:
            self._sweeper.kill(block=False)
        super().stop(timeout)

    def _sweep_loop(self):
        pause_ms = min(SWEEP_MS, self.limits.idle_timeout_ms)
        while True:
            gevent.sleep(pause_ms / 1000)
            oldest_ms = monotonic_ms() - self.limits.idle_timeout_ms
            for handler in list(self.connections):
                if not handler.busy and handler.idle_since_ms < oldest_ms:
                    handler.close_idle()

    @property
    def bound_address(self):
        """Return the address in use, with the port that was given out."""
        host, port = self.address[:2]
        return f'{host}:{port}'

    def handle(self, sock, address):
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def date_line(self):
        """Return the end of an answer's head, with the date."""
        now_s = int(time.time())
        if now_s != self._date[0]:
            date = format_date_time(now_s)
            date = date.decode() if isinstance(date, bytes) else date
            self._date = (now_s, f'\r\ndate: {date}\r\n\r\n')
        return self._date[1]

    def update_environ(self):
        """Skip the resolver look-up of the server's own name."""

    def busy_count(self):
        """Return how many connections are within a request."""
        return sum(handler.busy for handler in self.connections)

    def close_idle(self):
        """Close the connections that are between requests."""
        for handler in list(self.connections):
            if not handler.busy:
                handler.close_idle()
