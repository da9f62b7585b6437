"""
damasklanding.node.http
~~~~~~~~~~~~~~~~~~~~~~~

An HTTP/1.1 listener based on gevent's WSGI server.
"""

from dataclasses import dataclass
import socket
import time

import gevent
from gevent.pywsgi import WSGIServer
from gevent.pywsgi import format_date_time

from damasklanding.clock import monotonic_ms
from damasklanding.intake import Intake
from damasklanding.intake import bound_socket_buffers
from damasklanding.link import parse_address
from damasklanding.node.connections import CallerConnection
from damasklanding.wsgi import accept_waiting

__all__ = ['Limits', 'Listener']

IDLE_SWEEP_INTERVAL_MS = 1_000


@dataclass(frozen=True)
class Limits:
    """Size limits and timeouts of a listener; see the settings."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class Listener(WSGIServer):
    """
    Accepts callers on one address and runs a WSGI application.

    :param limits: :class:`Limits`.
    :param on_bad_input: called with the error of each request that is
        malformed or makes the application fail.
    :param intake: :class:`~damasklanding.intake.Intake` of the process; None
        for one of its own.
    :ivar draining: while true, each answer closes its connection.
    :ivar ended: whether all further requests are refused.
    """

    #: Connections accepted per wake-up.  A second accept call would mostly
    #: find none waiting.
    max_accept = 1

    def __init__(
        self, address, application, limits, on_bad_input, intake=None
    ):
        super().__init__(
            parse_address(address),
            application,
            log=None,
            error_log=None,
            backlog=1024,
        )
        self.limits = limits
        self.on_bad_input = on_bad_input
        self.draining = False
        self.ended = False
        self.connections = set()
        self._clients = (intake or Intake()).clients()
        self._date = (0, '')
        self._sweeper = None

    def init_socket(self):
        """Open the listening socket."""
        super().init_socket()
        bound_socket_buffers(self.socket)

    def start(self):
        """Start accepting connections."""
        super().start()
        self._sweeper = gevent.spawn(self._sweep_loop)

    def close(self):
        """Accept no more connections than those that wait."""
        if not self.closed:
            accept_waiting(self)
        super().close()

    def stop(self, timeout=None):
        """Stop accepting, and close the connections after a timeout."""
        if self._sweeper is not None:
            self._sweeper.kill(block=False)
        super().stop(timeout)

    def _sweep_loop(self):
        pause_ms = min(IDLE_SWEEP_INTERVAL_MS, self.limits.idle_timeout_ms)
        while True:
            gevent.sleep(pause_ms / 1000)
            cutoff_ms = monotonic_ms() - self.limits.idle_timeout_ms
            for handler in list(self.connections):
                if handler.idle_since_ms < cutoff_ms:
                    handler.close_idle()

    @property
    def bound_address(self):
        """Return the bound address, with the port that the system chose."""
        host, port = self.address[:2]
        return f'{host}:{port}'

    def handle(self, sock, address):
        """Serve one connection."""
        with self._clients.admitted(sock) as client:
            if client is None:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            CallerConnection(sock, address, self, client).handle()

    def date_line(self):
        """Return the date header and the empty line that ends a head."""
        now_s = int(time.time())
        if now_s != self._date[0]:
            date = format_date_time(now_s)
            date = date.decode() if isinstance(date, bytes) else date
            self._date = (now_s, f'\r\ndate: {date}\r\n\r\n')
        return self._date[1]

    def update_environ(self):
        """Do nothing, to avoid the DNS look-up of the server's own name."""

    def busy_count(self):
        """Return how many connections are serving a request."""
        return sum(handler.busy for handler in self.connections)

    def is_idle(self):
        """Return whether no request is being served and none has come."""
        return all(handler.is_idle() for handler in self.connections)

    def close_idle(self, keep_onward=False):
        """
        Close the connections that are between requests.

        :param keep_onward: whether to keep those on which the backend server
            beside this node makes its calls.
        """
        for handler in list(self.connections):
            if not (keep_onward and handler.onward):
                handler.close_idle()

    def end(self):
        """Refuse all further requests; what runs goes on."""
        self.ended = True
        self.close()
        self.close_idle()
