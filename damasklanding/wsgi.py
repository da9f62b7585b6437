"""
damasklanding.wsgi
~~~~~~~~~~~~~~~~~~

WSGI servers of the administration API and of small listeners.  When they stop,
requests that run are answered first.  What a client sends is bounded, so that
one that sends without end takes neither the memory nor the processor.
"""

from contextlib import contextmanager
from contextlib import suppress
import errno
from io import BufferedReader
import socket

import gevent
from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer

from damasklanding.clock import monotonic_ms
from damasklanding.errors import HeaderTimeout
from damasklanding.errors import TooLarge
from damasklanding.errors import Unavailable
from damasklanding.intake import Intake
from damasklanding.intake import IntakeLimits
from damasklanding.intake import bound_socket_buffers
from damasklanding.node.requestbody import RequestBody
from damasklanding.node.socketreader import SocketReader
from damasklanding.sockets import peer_has_closed

__all__ = [
    'MAX_BODY_BYTES',
    'DrainingServer',
    'NoDelayHandler',
    'accept_waiting',
    'caller_waits',
    'max_document_elements',
    'wsgi_server',
]

_IS_AWAITED = 'damasklanding.is_awaited'
_MAX_DOCUMENT_ELEMENTS = 'damasklanding.max_document_elements'

DRAIN_POLL_S = 0.01
RECEIVE_BYTES = 16 * 1024
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
#: Largest size of all bodies that a server holds at a time.
MAX_HELD_BYTES = 8 * 1024 * 1024
PART_BYTES = 64 * 1024
#: While it is sent, an answer is in memory alone and with its head before it.
ANSWER_COPIES = 2
#: Part of ``max_connections`` that a server of this module may have.
CONNECTION_SHARE = 0.05
#: Bytes of an unread body that are dropped; a longer one ends its connection.
MAX_DISCARD_BYTES = 64 * 1024


class _HeadReader:
    """Reader of the lines of a request's head, up to a total size."""

    def __init__(self, reader):
        self._reader = reader
        self._left = MAX_HEAD_BYTES

    def readline(self, limit=-1):
        """Return the next line."""
        limit = self._left if limit < 0 else min(limit, self._left)
        line = self._reader.readline(limit)
        self._left -= len(line)
        if not self._left:
            raise ValueError('the head is too long')
        return line


class _HeldBody(RequestBody):
    """
    A request body whose parts count towards what a server holds.

    :ivar unread: whether the connection can't be used on, since too much of
        the body has not been read.
    """

    def __init__(self, server, client, reader, length, sock, chunked):
        super().__init__(reader, length, sock, chunked)
        self.unread = False
        self._client = client
        self._server = server
        self._held_bytes = 0
        self._ends_at_ms = monotonic_ms() + server.limits.idle_timeout_ms

    def read(self, length=None):
        """
        Read the body, or up to a number of bytes of it.

        :raises HeaderTimeout: the body takes too long.
        :raises TooLarge: the body is too large.
        :raises Unavailable: other requests hold too much at the moment.
        """
        parts = []
        while length is None or length > 0:
            with self._time_left():
                part = super().read(min(length or PART_BYTES, PART_BYTES))
            if not part:
                break
            self._hold(len(part))
            parts.append(part)
            if length is not None:
                length -= len(part)
        return b''.join(parts)

    @contextmanager
    def _time_left(self):
        left_ms = self._ends_at_ms - monotonic_ms()
        try:
            with gevent.Timeout(max(left_ms, 0) / 1000, TimeoutError):
                yield
        except TimeoutError as error:
            self.unread = True
            raise HeaderTimeout('the body did not come in time') from error

    def release(self):
        """Let go of what was read."""
        self._server.held_bytes -= self._held_bytes
        self._held_bytes = 0
        self._client.release()

    def _hold(self, count):
        try:
            self._client.hold(count)
        except Unavailable:
            self.unread = True
            raise
        self._held_bytes += count
        self._server.held_bytes += count
        if self._held_bytes > MAX_BODY_BYTES:
            self.unread = True
            raise TooLarge(f'a body of more than {MAX_BODY_BYTES} bytes')
        if self._server.held_bytes > MAX_HELD_BYTES:
            self.unread = True
            raise Unavailable(
                'too many large bodies are being read',
                'send the same request again',
                retry_after_ms=1_000,
            )

    def _discard(self):
        left = MAX_DISCARD_BYTES
        while not self.unread and left > 0:
            try:
                with self._time_left():
                    part = super().read(min(left, RECEIVE_BYTES))
            except HeaderTimeout:
                return
            if not part:
                return
            left -= len(part)
        self.unread = True


class NoDelayHandler(WSGIHandler):
    """
    Sends without delay.

    Headers and body leave in separate segments; with Nagle's algorithm the
    second would wait for the delayed acknowledgement of the first.

    :ivar running: whether a request is being read or answered.
    """

    running = False
    _head_timer = None

    def __init__(self, sock, address, server):
        self._client = None
        self._receiver = SocketReader(sock)
        reader = BufferedReader(self._receiver, RECEIVE_BYTES)
        super().__init__(sock, address, server, reader)

    def handle(self):
        """Serve one connection."""
        with self.server.clients.admitted(self.socket) as client:
            if client is None:
                self.socket.close()
                return
            self._client = self._receiver.client = client
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socket.settimeout(self.server.limits.idle_timeout_ms / 1000)
            super().handle()

    def handle_one_request(self):
        """Serve one request."""
        self._client.begin()
        try:
            more = super().handle_one_request()
            self._client.served = True
            body = self.wsgi_input
            return None if body is not None and body.unread else more
        finally:
            self._stop_head_timer()
            if self.wsgi_input is not None:
                self.wsgi_input.release()
                self.wsgi_input = None
            if self.running:
                self.running = False
                self.server.running -= 1

    def read_requestline(self):
        """Wait for a request and return its first line, empty for none."""
        if not self.rfile.peek(1) or self.server.ended:
            return ''
        self.running = True
        self.server.running += 1
        self._head_timer = gevent.Timeout.start_new(
            self.server.limits.header_timeout_ms / 1000, TimeoutError
        )
        return super().read_requestline()

    def read_request(self, raw_requestline):
        """Read the rest of the head; return whether it is well formed."""
        reader = self.rfile
        self.rfile = _HeadReader(reader)
        try:
            return super().read_request(raw_requestline)
        finally:
            self.rfile = reader
            self._stop_head_timer()

    def _stop_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.close()
            self._head_timer = None

    def get_environ(self):
        """Return the environment of the request that was read."""
        environ = super().get_environ()
        plain = self.wsgi_input
        self.wsgi_input = environ['wsgi.input'] = _HeldBody(
            self.server,
            self._client,
            self.rfile,
            plain.content_length,
            plain.socket,
            plain.chunked_input,
        )
        environ[_IS_AWAITED] = self._is_awaited
        environ[_MAX_DOCUMENT_ELEMENTS] = (
            self.server.limits.max_document_elements
        )
        return environ

    def _sendall(self, data):
        client = self._client
        client.begin()
        held_bytes = client.held_bytes
        try:
            client.hold(ANSWER_COPIES * len(data))
            client.waiting = True
            super()._sendall(data)
        except (TimeoutError, Unavailable) as error:
            text = 'the answer is not read, or too many are not'
            raise BrokenPipeError(errno.EPIPE, text) from error
        finally:
            client.waiting = False
            client.settle(held_bytes)

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
    :ivar clients: its open connections, as
        :class:`~damasklanding.intake.Clients`.
    :ivar limits: :class:`~damasklanding.intake.IntakeLimits`.
    :ivar held_bytes: bytes of the bodies that have been read for requests
        which are not answered yet.
    """

    #: Seconds; longer than a change of the configuration may take.
    stop_timeout = 5.1

    running = 0
    draining = False
    ended = False
    held_bytes = 0
    clients = None
    limits = IntakeLimits()

    def init_socket(self):
        """Open the listening socket."""
        super().init_socket()
        bound_socket_buffers(self.socket)

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


def max_document_elements(environ):
    """Return the most elements that the document of a request may have."""
    return environ.get(
        _MAX_DOCUMENT_ELEMENTS, IntakeLimits.max_document_elements
    )


def wsgi_server(address, app, intake=None):
    """
    Return a server that is not started yet.

    :param address: pair of IP number and port.
    :param intake: :class:`~damasklanding.intake.Intake` of the process; None
        for one of its own.
    """
    server = DrainingServer(
        address, app, handler_class=NoDelayHandler, log=None, error_log=None
    )
    intake = intake or Intake()
    server.clients = intake.clients(CONNECTION_SHARE)
    server.limits = intake.limits
    return server
