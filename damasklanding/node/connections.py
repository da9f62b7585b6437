"""
damasklanding.node.connections
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Serves one caller connection: reads requests, runs the application and sends
its answers.  The head and the first part of the body go out in one write.
"""

from contextlib import contextmanager
from http.client import responses
from io import BufferedReader
from io import BytesIO
import socket
import struct

import gevent
from gevent.pywsgi import WSGIHandler

from damasklanding.clock import monotonic_ms
from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.errors import Draining
from damasklanding.errors import HeadersTooLarge
from damasklanding.errors import HeaderTimeout
from damasklanding.errors import NotImplementedHere
from damasklanding.errors import TooLarge
from damasklanding.errors import Unavailable
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import answer_from_error
from damasklanding.node.bodies import INLINE_BYTES
from damasklanding.node.disconnect import DisconnectWatcher
from damasklanding.node.requestbody import RequestBody
from damasklanding.node.requesthead import Request
from damasklanding.node.requesthead import parse_head
from damasklanding.node.socketreader import SocketReader
from damasklanding.node.stopping import RETRY_AFTER_MS

__all__ = ['CallerConnection', 'status_line']

MAX_DISCARD_BYTES = 64 * 1024
RECEIVE_BYTES = 16 * 1024
#: Requests received together that are served before others get a turn.
MAX_REQUESTS_IN_A_ROW = 64
#: A streamed answer may be read for this long after its request's time.
LATE_ANSWER_MS = 1_000
TURN_MS = 1  # gevent.sleep(0) would run no timers or other connections

_BODILESS_STATUSES = frozenset((204, 304))


class _CallerGone(Exception):
    """Raised if an answer cannot be sent; other errors are the node's."""


class CallerConnection(WSGIHandler):
    """
    One caller connection.

    Nearly all requests arrive whole in one receive call and are parsed from
    the received bytes.  The first one that does not switches the connection
    to a buffered reader.

    :ivar busy: whether a request is being served.
    :ivar reading: whether the head of a request has come in part.
    :ivar closing: whether the connection was ended; what is read after that
        is not served, since it could not be answered.
    :ivar onward: whether its last request was made by the backend server
        beside this node, or the first one, which tells, has yet to come.
    :ivar idle_since_ms: time since which the connection waits for a request.
    :ivar client: its :class:`~damasklanding.intake.Client`.
    """

    busy = False
    reading = False
    closing = False
    onward = True
    idle_since_ms = 0.0

    def __init__(self, sock, address, server, client):
        self.client = client
        self.socket = sock
        self.client_address = address
        self.server = server
        self.rfile = None
        self._received = b''
        self._receiver = None
        self._received_bytes = 0
        self._in_a_row = 0

    def handle(self):
        """Serve requests until the connection ends."""
        self.disconnect_watcher = DisconnectWatcher(self.socket)
        self.server.connections.add(self)
        try:
            super().handle()
        finally:
            self.disconnect_watcher.close()
            self.server.connections.discard(self)

    def handle_one_request(self):
        """Serve one request; return True if more may follow."""
        self.busy = False
        try:
            request = self._read_request()
        except DamasklandingError as error:
            self._reject(error)
            return None
        except OSError:
            return None
        if request is None or self.closing:
            return None
        if self.server.ended:
            self._refuse()
            return None
        self.busy = True
        self.client.begin()
        try:
            keep_alive = self._serve_request(request)
        finally:
            self.busy = False
            self.onward = request.onward
            self.client.served = True
            self.client.release()
        return True if keep_alive else None

    def is_idle(self):
        """Return whether no request is being served and none has come."""
        if self.busy or self.reading:
            return False
        return not self.disconnect_watcher.has_input()

    def close_idle(self):
        """End the connection if it waits for its next request."""
        if not self.is_idle():
            return
        self.closing = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def _read_request(self):
        limits = self.server.limits
        self.idle_since_ms = self.client.since_ms = monotonic_ms()
        if self._request_is_here():
            self._in_a_row += 1
            if self._in_a_row >= MAX_REQUESTS_IN_A_ROW:
                self._in_a_row = 0
                gevent.sleep(TURN_MS / 1000)
        else:
            self._in_a_row = 0
        if self.rfile is None:
            data = self._received
            if not data:
                # The listener closes idle connections periodically.  A timer
                # for each request would cost more.
                self.client.waiting = True
                self.disconnect_watcher.wait_readable()
                self.client.waiting = False
                data = self.socket.recv(RECEIVE_BYTES)
                if not data:
                    return None
            request = self._parse_buffered_request(data, limits)
            if request is not None:
                return request
            self._received = b''
            self.client.buffer(len(data))
            self._receiver = SocketReader(self.socket, data, self.client)
            self.rfile = BufferedReader(self._receiver)
        self.socket.settimeout(None)
        head = self.rfile.peek(1)
        if not head:
            return None
        end = head.find(b'\r\n\r\n')
        if 0 < end <= limits.max_header_bytes:
            self.rfile.read(end + 4)
            head = head[:end]
        else:
            self.reading = True
            try:
                head = self._read_head_lines(limits)
            finally:
                self.reading = False
            if head is None:
                return None
        request = parse_head(head)
        self._attach_body(request, limits)
        return request

    def _request_is_here(self):
        """Return whether the next request came with the last one."""
        receiver = self._receiver
        if receiver is None:
            return bool(self._received)
        before = self._received_bytes
        self._received_bytes = receiver.received_bytes
        return self._received_bytes == before

    def _parse_buffered_request(self, data, limits):
        """Parse the request at the start of the data; None if incomplete."""
        end = data.find(b'\r\n\r\n')
        if not 0 < end <= limits.max_header_bytes:
            return None
        request = parse_head(data[:end])
        body_start = end + 4
        if request.length is None or 'expect' in request.header_map:
            return None
        end_of_body = body_start + request.length
        if end_of_body > len(data):
            return None
        if request.length:
            _check_length(request, limits)
            self.client.hold(request.length)
            request.body = BytesIO(data[body_start:end_of_body])
        request.disconnect_watcher = self.disconnect_watcher
        self._received = data[end_of_body:]
        self.client.buffer(len(self._received))
        return request

    def _read_head_lines(self, limits):
        error = HeaderTimeout('the headers did not arrive in time')
        self.idle_since_ms = float('inf')
        head = bytearray()
        with gevent.Timeout(limits.header_timeout_ms / 1000, error):
            while True:
                line = self.rfile.readline(limits.max_header_bytes + 3)
                if len(head) + len(line) > limits.max_header_bytes + 4:
                    raise HeadersTooLarge(
                        f'more than {limits.max_header_bytes} header bytes'
                    )
                if not line:
                    return None
                if not line.endswith(b'\r\n'):
                    raise BadInput('a header line does not end in CRLF')
                if line == b'\r\n':
                    self.client.release()
                    return bytes(head[:-2])
                self.client.hold(len(line))
                head += line

    def _attach_body(self, request, limits):
        _check_length(request, limits)
        expect = request.header_map.get('expect')
        if expect is not None and expect.lower() != '100-continue':
            raise NotImplementedHere(f'expectation {expect[:20]!r}')
        sock = self.socket if expect else None
        chunked = request.length is None
        if request.length != 0:
            # A longer body is read and passed on in parts of this size.
            self.client.hold(min(request.length or INLINE_BYTES, INLINE_BYTES))
            request.client = self.client
        request.body = RequestBody(self.rfile, request.length, sock, chunked)
        request.disconnect_watcher = self.disconnect_watcher
        self.socket.settimeout(limits.header_timeout_ms / 1000)

    def _serve_request(self, request):
        """Run the application; return whether to keep the connection."""
        connection = request.header_map.get('connection', '').lower()
        keep_alive = 'close' not in connection
        if not request.minor_version:
            keep_alive = 'keep-alive' in connection
        self.request = request
        self.head = b''
        self.head_sent = False
        self.streamed = False
        self.until_close = False
        environ = {
            'REQUEST_METHOD': request.method,
            'PATH_INFO': request.path,
            'damasklanding.request': request,
        }
        self.keep_alive = keep_alive
        try:
            self._run_application(environ)
        except DamasklandingError as error:
            # Whether the request was sent to a backend server by then is not
            # known here, so the outcome is not set to not-run.
            self.server.on_bad_input(error)
            if not self.head_sent:
                self._send_error(error)
            self.keep_alive = False
        except _CallerGone:
            return False
        except Exception as error:  # noqa: BLE001
            self._report_crash(error)
        return self.keep_alive and self._discard_body(request)

    def _run_application(self, environ):
        result = self.server.application(environ, self.start_response)
        self.streamed = not isinstance(result, tuple | list)
        try:
            for part in result:
                self._send_body_part(part)
            if not self.head_sent:
                self._send_body_part(b'')
        finally:
            close = getattr(result, 'close', None)
            if close is not None:
                close()
        if self.chunked:
            self._send(b'0\r\n\r\n')
        elif self.until_close:
            self._set_reset_on_close(False)

    def _set_reset_on_close(self, is_reset):
        option = struct.pack('ii', is_reset, 0)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def start_response(self, status, headers, exc_info=None):
        """Store status and headers until the first part of the body."""
        self.answer_status = status
        self.answer_headers = headers

    def _send_body_part(self, part):
        if not self.head_sent:
            # The timeout for reading a body must not cut a slow reader off.
            self.socket.settimeout(None)
            head = self._build_head()
            part = self._encode_part(part)
            self.head_sent = True
            self._send(head + part)
        elif part:
            self._send(self._encode_part(part))

    def _send(self, data):
        """Send bytes, with a single call if the socket buffer has room."""
        try:
            sent = self.socket.send(data)
            if sent < len(data):
                self._send_rest(memoryview(data)[sent:])
        except OSError as error:
            raise _CallerGone from error

    def _send_rest(self, data):
        self.client.begin()
        try:
            self.client.hold(len(data))
        except Unavailable as error:
            raise OSError('the answer could not be kept') from error
        self.client.waiting = True
        self.socket.settimeout(self.server.limits.idle_timeout_ms / 1000)
        try:
            with self._answer_time():
                while data:
                    data = data[self.socket.send(data) :]
        finally:
            self.client.waiting = False
            self.client.release()

    @contextmanager
    def _answer_time(self):
        """Bound the time for which an answer keeps its backend server."""
        deadline_at_ms = self.request.deadline_at_ms
        if deadline_at_ms is None or not self.streamed:
            yield
            return
        left_ms = deadline_at_ms + LATE_ANSWER_MS - monotonic_ms()
        with gevent.Timeout(max(left_ms, 0) / 1000, TimeoutError):
            yield

    def _encode_part(self, part):
        if self.request.method == 'HEAD':
            return b''
        if self.chunked and part:
            return b'%x\r\n%b\r\n' % (len(part), part)
        return part

    def _build_head(self):
        lines = ['HTTP/1.1 ', self.answer_status]
        has_length = False
        for name, value in self.answer_headers:
            if name == 'content-length':
                has_length = True
            lines += ('\r\n', name, ': ', value)
        has_no_body = int(self.answer_status[:3]) in _BODILESS_STATUSES
        is_head_request = self.request.method == 'HEAD'
        self.chunked = (
            not has_length and not has_no_body and not is_head_request
        )
        if self.chunked and not self.request.minor_version:
            self.chunked = False
            self.keep_alive = False
            # The close marks the end of the body, and must not do so if the
            # answer is cut.
            self.until_close = True
            self._set_reset_on_close(True)
        if self.chunked:
            lines.append('\r\ntransfer-encoding: chunked')
        if (
            not self.keep_alive
            or self.server.draining
            or self._unread_body_exceeds_limit()
        ):
            self.keep_alive = False
            lines.append('\r\nconnection: close')
        elif not self.request.minor_version:
            lines.append('\r\nconnection: keep-alive')
        lines.append(self.server.date_line())
        return ''.join(lines).encode('latin-1')

    def _unread_body_exceeds_limit(self):
        if type(self.request.body) is not RequestBody:
            return False
        length = self.request.length
        if length is None:
            return self.request.body.chunk_length != 0
        return length - self.request.body.position > MAX_DISCARD_BYTES

    def _discard_body(self, request):
        if type(request.body) is not RequestBody:
            return True
        timeout_s = self.server.limits.header_timeout_ms / 1000
        self.socket.settimeout(timeout_s)
        try:
            with gevent.Timeout(timeout_s, TimeoutError):
                request.body._discard()
        except OSError:
            return False
        return not request.body._chunked_input_error

    def _report_crash(self, error):
        problem = DamasklandingError(
            f'the request failed here ({type(error).__name__})'
        )
        self.server.on_bad_input(problem)
        if not self.head_sent:
            self._send_error(problem)
        self.keep_alive = False

    def _refuse(self):
        error = Draining('this node ends', retry_after_ms=RETRY_AFTER_MS)
        error.outcome = NOT_RUN
        self._send_error(error)

    def _reject(self, error):
        error.outcome = NOT_RUN
        self.server.on_bad_input(error)
        self._send_error(error)

    def _send_error(self, error):
        self.keep_alive = False
        self.head_sent = False
        self.request = Request('GET', '/', '/', 1, [], {})
        answer = answer_from_error(error)
        try:
            self.start_response(
                status_line(answer.status), answer.header_pairs()
            )
            self._send_body_part(answer.body)
        except _CallerGone:
            pass


def _check_length(request, limits):
    if request.length is not None and request.length > limits.max_body_bytes:
        raise TooLarge(f'a body of {request.length} bytes')


def status_line(status):
    """Return a status code with its standard reason phrase."""
    return _STATUS_LINES.get(status) or f'{status} Status'


_STATUS_LINES = {
    int(code): f'{int(code)} {text}' for code, text in responses.items()
}
