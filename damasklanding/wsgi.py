"""
damasklanding.wsgi
~~~~~~~~~~~~~~~~~~

WSGI servers of the administration API and of small listeners.  When they stop,
requests that run are answered first.
"""

from contextlib import suppress
import socket

import gevent
from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer

from damasklanding.sockets import peer_has_closed

__all__ = [
    'DrainingServer',
    'NoDelayHandler',
    'accept_waiting',
    'caller_waits',
    'wsgi_server',
]

_IS_AWAITED = 'damasklanding.is_awaited'

DRAIN_POLL_S = 0.01


class NoDelayHandler(WSGIHandler):
    """
    Sends without delay.

    Headers and body leave in separate segments; with Nagle's algorithm the
    second would wait for the delayed acknowledgement of the first.

    :ivar running: whether a request is being read or answered.
    """

    running = False

    def handle(self):
        """Serve one connection."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def handle_one_request(self):
        """Serve one request."""
        try:
            return super().handle_one_request()
        finally:
            if self.running:
                self.running = False
                self.server.running -= 1

    def read_requestline(self):
        """Wait for a request and return its first line, empty for none."""
        if not self.rfile.peek(1) or self.server.ended:
            return ''
        self.running = True
        self.server.running += 1
        return super().read_requestline()

    def get_environ(self):
        """Return the environment of the request that was read."""
        environ = super().get_environ()
        environ[_IS_AWAITED] = self._is_awaited
        return environ

    def _is_awaited(self):
        return self.socket is not None and not peer_has_closed(self.socket)

    def start_response(self, status, headers, exc_info=None):
        """Store status and headers until the first part of the body."""
        if self.server.draining:
            headers = [*headers, ('Connection', 'close')]
        return super().start_response(status, headers, exc_info)


class DrainingServer(WSGIServer):
    """
    Lets running requests end before it has stopped.

    :ivar running: number of requests that are being read or answered.
    :ivar draining: while true, each answer closes its connection.
    :ivar ended: whether no more requests are served.
    """

    #: Seconds; longer than a change of the configuration may take.
    stop_timeout = 5.1

    running = 0
    draining = False
    ended = False

    def stop(self, timeout=None):
        """Stop accepting, and wait for running requests up to a timeout."""
        timeout = self.stop_timeout if timeout is None else timeout
        self.draining = True
        if not self.closed:
            accept_waiting(self)
        super().stop(timeout)
        try:
            with gevent.Timeout(timeout, False):
                # What has come may not have been read yet.
                gevent.sleep(DRAIN_POLL_S)
                while self.running:
                    gevent.sleep(DRAIN_POLL_S)
        finally:
            self.ended = True


def accept_waiting(server):
    """Accept what waits for a server, which its close would reset."""
    with suppress(OSError):
        for _ in range(server.backlog):
            accepted = server.do_read()
            if accepted is None:
                return
            server.do_handle(*accepted)


def caller_waits(environ):
    """Return a function that tells whether the caller of a request waits."""
    return environ.get(_IS_AWAITED, lambda: True)


def wsgi_server(address, app):
    """
    Return a server that is not started yet.

    :param address: pair of IP number and port.
    """
    return DrainingServer(
        address, app, handler_class=NoDelayHandler, log=None, error_log=None
    )
