"""
damasklanding.link
~~~~~~~~~~~~~~~~~~

Authenticated, multiplexed connections between processes.  Both ends prove
that they hold the shared secret of the fleet.  Many exchanges then share one
TCP connection.  A connection whose peer no longer answers heartbeats is
closed.
"""

from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
import socket

import gevent
from gevent import socket as gsocket
from gevent.event import Event

from damasklanding.clock import monotonic_ms
from damasklanding.errors import DamasklandingError
from damasklanding.errors import LinkClosed
from damasklanding.errors import LinkTimeout
from damasklanding.exchange import UNLESS_STARTED
from damasklanding.exchange import Exchange
from damasklanding.exchange import ExchangeCancelled
from damasklanding.exchange import ExchangeWithdrawn
from damasklanding.exchange import problem_from_error
from damasklanding.exchange import withdrawn_error
from damasklanding.handshake import Identity
from damasklanding.handshake import open_handshake
from damasklanding.messages import Cancel
from damasklanding.messages import Ping
from damasklanding.messages import Pong
from damasklanding.periodic import PeriodicTimer
from damasklanding.wire import decode_frame
from damasklanding.wire import encode_frame
from damasklanding.wire import frame_length

__all__ = [
    'Exchange',
    'ExchangeCancelled',
    'ExchangeWithdrawn',
    'Identity',
    'Link',
    'open_link',
    'parse_address',
    'problem_from_error',
    'set_socket_options',
]

CONNECT_TIMEOUT_MS = 1_000
HANDSHAKE_TIMEOUT_MS = 2_000
TICK_MS = 200  # period of the checks of each link
#: Silence after which a link in use is pinged.  Pings and pongs carry the
#: load reports, which are valid for 2 s.  A link that was silent since the
#: last request was sent is pinged after one tick.
HEARTBEAT_INTERVAL_MS = 1_000
IDLE_HEARTBEAT_INTERVAL_MS = 5_000
#: Time since its last exchange was opened during which a link is in use.
RECENT_USE_MS = 2_000
#: Time without an exchange after which the side that opened a link closes it.
#: Nodes talk to most control hosts only while they look for one to follow.
MAX_UNUSED_MS = 10_000
MAX_UNUSED_CONTROL_MS = 3_000
PONG_TIMEOUT_MS = 700  # silence after a ping that closes a link
READ_EVENT = 1  # flag of libev for a readable socket
#: Time that sent data may stay unacknowledged before the kernel closes the
#: connection.
TCP_USER_TIMEOUT_MS = 2_000
RECEIVE_BUFFER_BYTES = 32 * 1024
READER_POLL_MS = 5  # polling interval while the reader waits to send
MAX_BACKLOG_BYTES = 1024 * 1024  # unsent data above which senders wait
DELAY_WINDOW_MS = 10_000  # period over which the smallest delay is kept


def parse_address(text):
    """
    Split ``ip:port``; IPv6 addresses are written in brackets.

    :return: pair of host and port.
    """
    host, _, port = text.rpartition(':')
    return host.strip('[]'), int(port)


def set_socket_options(sock):
    """Disable Nagle's algorithm and set keepalive and the user timeout."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


class Link:
    """
    One authenticated connection to another process.

    :ivar peer: :class:`Identity` of the other end.
    :ivar peer_load: last load report from the other end, in bytes.
    :ivar closed: event that is set once the connection is closed.
    :ivar dropped_frames: count of frames that belong to no known exchange.
    """

    def __init__(self, sock, peer, handlers, is_opener, options):
        self.peer = peer
        self.peer_load = b''
        self.closed = Event()
        self.dropped_frames = 0
        self._sock = sock
        self._handlers = handlers
        self._next_exchange_id = 1 if is_opener else 2
        self._own_id_parity = self._next_exchange_id % 2
        self._is_opener = is_opener
        self._exchanges = {}
        self._backlog = deque()
        self._backlog_bytes = 0
        self._turns = deque()
        self._granted_bytes = 0
        self._pong_received = Event()
        self._readable = gevent.get_hub().loop.io(sock.fileno(), READ_EVENT)
        self._options = options
        self._now_ms = options.now_ms
        self._created_ms = self._now_ms()
        self._last_received_ms = self._created_ms
        self._last_request_ms = 0.0
        self._last_ping_ms = 0.0
        self._draining = False
        self._last_used_ms = self._created_ms
        self._ping_seq = 0
        self._delay_estimator = _DelayEstimator()
        self._reader = None
        self._reader_is_waiting = False
        self._partial_frame = b''
        self._writer = None
        self._last_tick_ms = self._created_ms

    def start(self):
        """Start the reader and the heartbeat."""
        # The reader and the writer wait for readiness themselves, so the
        # socket is set to non-blocking mode.
        self._sock.settimeout(0.0)
        self._reader = gevent.spawn(self._read_loop)
        self._options.timer.add(self._check_connection)

    def age_ms(self):
        """Return the time since the link was created."""
        return self._now_ms() - self._created_ms

    def silent_ms(self):
        """Return the time since data was last received."""
        return self._now_ms() - self._last_received_ms

    def excess_delay_ms(self, sent_ms):
        """
        Return the delay of a frame above the smallest recent delay.

        :param sent_ms: age of the link at the sender when it was sent.
        """
        return self._delay_estimator.excess_ms(
            self.age_ms() - sent_ms, self._now_ms()
        )

    def drain(self):
        """Close once no exchange is open; the caller opens no further ones."""
        self._draining = True

    def check_alive(self, timeout_ms):
        """
        Ping the peer and wait for the pong.

        :raises LinkTimeout: no pong arrived in time.
        :raises LinkClosed: the connection closed.
        """
        self._pong_received.clear()
        self._ping()
        if not self._pong_received.wait(timeout_ms / 1000):
            raise LinkTimeout(
                f'{self.peer.name} did not answer a ping in time'
            )
        if self.closed.is_set():
            raise LinkClosed(f'the link to {self.peer.name} closed')

    def open_exchange(self):
        """Return a new exchange, which the caller must close."""
        if self.closed.is_set():
            raise LinkClosed(f'the link to {self.peer.name} closed')
        self._last_used_ms = self._now_ms()
        exchange = Exchange(self, self._next_exchange_id)
        self._next_exchange_id += 2
        self._exchanges[exchange.exchange_id] = exchange
        return exchange

    @contextmanager
    def exchange(self, message):
        """
        Open an exchange and send its first message.

        An exception within the block cancels the exchange, unless it is an
        error that the other end has reported.
        """
        exchange = self.open_exchange()
        try:
            exchange.send(message)
            yield exchange
        except BaseException as error:
            if getattr(error, 'reply', None) is None:
                exchange.cancel()
            raise
        finally:
            exchange.close()

    def request(self, message, timeout_ms):
        """
        Send a message and return the single reply.

        :raises DamasklandingError: see :meth:`Exchange.receive`.
        """
        with self.exchange(message) as exchange:
            return exchange.receive(timeout_ms)

    def send(self, message, exchange_id=0, timeout_ms=None, urgent=False):
        """
        Send a message in one frame; waits while the backlog is full.

        If this raises, whatever ended the wait, no byte of the frame has left
        and none will.

        :param timeout_ms: longest wait, None for no limit.
        :param urgent: whether to send it without a wait.  Without an exchange
            it also goes before the backlog, as a heartbeat should.
        :raises LinkTimeout: the backlog stayed full.
        :raises LinkClosed: the connection has closed.
        """
        if exchange_id and exchange_id % 2 == self._own_id_parity:
            # This side opened the exchange, so it expects an answer.
            self._last_request_ms = self._now_ms()
        data = encode_frame(message, exchange_id)
        is_full = self._turns or self._backlog_bytes > MAX_BACKLOG_BYTES
        if is_full and not urgent:
            self._wait_for_turn(len(data), timeout_ms)
        self._send_bytes(data, ahead=urgent and not exchange_id)
        if self._turns:
            # The writer grants turns only while there is a backlog.
            self._grant_turns()

    def _send_bytes(self, data, ahead):
        # A greenlet may be killed while it waits and must not leave half a
        # frame on the connection.  The writer therefore sends what the socket
        # does not accept at once; this method never waits.
        if self.closed.is_set():
            raise LinkClosed(f'the link to {self.peer.name} closed')
        if not self._backlog:
            data = data[self._send_nonblocking(data) :]
            if not data:
                return
        if ahead and self._backlog:
            # Not before the first frame, which may be partly sent.
            self._backlog.insert(1, data)
        else:
            self._backlog.append(data)
        self._backlog_bytes += len(data)
        if self._writer is None:
            self._writer = gevent.spawn(self._write_backlog)

    def _wait_for_turn(self, size, timeout_ms):
        """Wait until the backlog has room for a frame of some bytes."""
        turn = _Turn(size)
        self._turns.append(turn)
        timeout_s = None if timeout_ms is None else max(timeout_ms, 0) / 1000
        try:
            if not turn.event.wait(timeout_s):
                raise LinkTimeout(f'{self.peer.name} reads too slowly')
        except BaseException:
            self._end_turn(turn)
            self._grant_turns()
            raise
        self._end_turn(turn)

    def _end_turn(self, turn):
        if turn.is_granted:
            self._granted_bytes -= turn.size
        else:
            self._turns.remove(turn)

    def _grant_turns(self):
        """Let the frames that have waited longest into the backlog."""
        used_bytes = self._backlog_bytes + self._granted_bytes
        while self._turns and (
            used_bytes <= MAX_BACKLOG_BYTES or self.closed.is_set()
        ):
            turn = self._turns.popleft()
            turn.is_granted = True
            turn.event.set()
            self._granted_bytes += turn.size
            used_bytes += turn.size

    def _send_nonblocking(self, data):
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self.close()
            raise LinkClosed(
                f'the link to {self.peer.name} broke ({error})'
            ) from error

    def _write_backlog(self):
        try:
            while self._backlog:
                data = self._backlog[0]
                sent = self._send_nonblocking(data)
                if not sent:
                    gsocket.wait_write(self._sock.fileno())
                    continue
                self._backlog_bytes -= sent
                if sent < len(data):
                    self._backlog[0] = memoryview(data)[sent:]
                else:
                    self._backlog.popleft()
                self._grant_turns()
            self._writer = None
        except (OSError, LinkClosed) as error:
            self._options.on_error(self, error)
            self.close()

    def remove_exchange(self, exchange):
        """Remove an exchange; later frames for it are dropped."""
        self._exchanges.pop(exchange.exchange_id, None)

    def close(self):
        """Close the connection and end all of its exchanges."""
        if self.closed.is_set():
            return
        self.closed.set()
        self._grant_turns()
        self._pong_received.set()
        self._readable.close()
        self._options.timer.remove(self._check_connection)
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()
        exchanges = list(self._exchanges.values())
        self._exchanges.clear()
        for exchange in exchanges:
            exchange.deliver(None)
            if exchange.on_link_closed is None:
                self._kill_handler(exchange)
            else:
                exchange.on_link_closed()
        current = gevent.getcurrent()
        for greenlet in (self._reader, self._writer):
            if greenlet is not None and greenlet is not current:
                greenlet.kill(block=False)
        self._options.on_close(self)

    def _kill_handler(self, exchange):
        exchange.cancelled = True
        greenlet = exchange.greenlet
        if greenlet is not None and greenlet is not gevent.getcurrent():
            greenlet.kill(ExchangeCancelled, block=False)

    def _read_loop(self):
        switch_to_hub = gevent.get_hub().switch
        # The watcher stays active between frames: starting and stopping it
        # for each frame would cost as much as reading the frame.
        self._readable.start(self._on_readable)
        try:
            while True:
                self._reader_is_waiting = True
                try:
                    switch_to_hub()
                finally:
                    self._reader_is_waiting = False
                try:
                    data = self._sock.recv(RECEIVE_BUFFER_BYTES)
                except BlockingIOError:
                    continue
                if not data:
                    return
                self._last_received_ms = self._now_ms()
                self._process_received(data)
        except (OSError, DamasklandingError) as error:
            self._options.on_error(self, error)
        finally:
            self.close()

    def _on_readable(self):
        if self._reader_is_waiting:
            self._reader.switch()
            return
        # The reader is blocked in a send, so received data stays unread.
        self._readable.stop()
        gevent.spawn(self._resume_reading)

    def _resume_reading(self):
        while not (self._reader_is_waiting or self.closed.is_set()):
            gevent.sleep(READER_POLL_MS / 1000)
        if not self.closed.is_set():
            self._readable.start(self._on_readable)

    def _process_received(self, data):
        if self._partial_frame:
            data = self._partial_frame + data
        start = 0
        size = len(data)
        while size - start >= 4:
            body_start = start + 4
            body_end = body_start + frame_length(data, start)
            if body_end > size:
                break
            exchange_id, message = decode_frame(data[body_start:body_end])
            start = body_end
            self._dispatch(exchange_id, message)
        self._partial_frame = data[start:]

    def _dispatch(self, exchange_id, message):
        message_type = type(message)
        if message_type is Ping:
            self.peer_load = message.load
            self.excess_delay_ms(message.sent_ms)
            self._options.on_load_report(self)
            pong = Pong(message.seq, self._options.load_report())
            self.send(pong, urgent=True)
        elif message_type is Pong:
            self.peer_load = message.load
            self._options.on_load_report(self)
            self._pong_received.set()
        else:
            self._dispatch_exchange(exchange_id, message, message_type)

    def _dispatch_exchange(self, exchange_id, message, message_type):
        exchange = self._exchanges.get(exchange_id)
        if exchange is not None:
            if message_type is Cancel:
                self._handle_cancel(exchange, message)
            else:
                exchange.deliver(message)
            return
        handler = self._handlers.get(message_type)
        if message_type is Cancel:
            return  # the exchange ended before the cancellation arrived
        if handler is None or exchange_id % 2 == self._own_id_parity:
            self.dropped_frames += 1
            return
        exchange = Exchange(self, exchange_id)
        self._last_used_ms = self._now_ms()
        self._exchanges[exchange_id] = exchange
        exchange.greenlet = gevent.spawn(
            self._run_handler, handler, exchange, message
        )

    def _handle_cancel(self, exchange, message):
        if message.reason != UNLESS_STARTED:
            self.remove_exchange(exchange)
            exchange.deliver(None)
            self._kill_handler(exchange)
        elif not exchange.started:
            exchange.withdrawn = True
            # A greenlet that is killed before it runs sends no reply, so
            # _run_handler raises the error in that case.
            if exchange.handler_entered:
                exchange.greenlet.kill(ExchangeWithdrawn, block=False)

    def _run_handler(self, handler, exchange, message):
        exchange.handler_entered = True
        try:
            if exchange.withdrawn:
                raise ExchangeWithdrawn
            reply = handler(exchange, message)
            if reply is not None:
                exchange.send(reply)
        except ExchangeWithdrawn:
            self._reply_problem(exchange, withdrawn_error())
        except ExchangeCancelled:
            pass
        except DamasklandingError as error:
            self._reply_problem(exchange, error)
        except Exception as error:  # noqa: BLE001
            self._options.on_error(self, error)
            problem = DamasklandingError(
                f'a handler failed ({type(error).__name__})'
            )
            self._reply_problem(exchange, problem)
        finally:
            self.remove_exchange(exchange)

    def _reply_problem(self, exchange, error):
        try:
            exchange.send(problem_from_error(error))
        except LinkClosed:
            pass

    def _check_connection(self):
        """Close or ping the link if needed; the timer calls this."""
        now_ms = self._now_ms()
        overdue_ms = now_ms - self._last_tick_ms - TICK_MS
        self._last_tick_ms = now_ms
        if overdue_ms > TICK_MS:
            # This process was paused.  The data that arrived meanwhile is
            # read before the peer is judged to be silent.
            self._last_ping_ms = 0.0
        elif self._may_close():
            gevent.spawn(self._close_unused)
        elif self._ping_timed_out():
            gevent.spawn(self._close_silent)
        elif self._ping_is_due() and not self._backlog:
            self._send_heartbeat()

    def _may_close(self):
        if self._exchanges:
            return False
        unused_ms = self._now_ms() - self._last_used_ms
        limit_ms = MAX_UNUSED_MS
        if self.peer.role == 'control':
            limit_ms = MAX_UNUSED_CONTROL_MS
        return self._draining or (self._is_opener and unused_ms > limit_ms)

    def _close_unused(self):
        # An exchange may have been opened since the check.
        if self._may_close():
            self.close()

    def _close_silent(self):
        if not self.closed.is_set():
            self._options.on_error(
                self, LinkTimeout(f'{self.peer.name} did not answer a ping')
            )
            self.close()

    def _send_heartbeat(self):
        try:
            self._ping()
        except LinkClosed:
            pass  # the failed send has closed the link

    def _ping_timed_out(self):
        if self._last_ping_ms <= self._last_received_ms:
            return False
        return self._now_ms() - self._last_ping_ms > PONG_TIMEOUT_MS

    def _ping_is_due(self):
        if self._last_ping_ms > self._last_received_ms:
            return False
        if self._last_request_ms > self._last_received_ms:
            return self.silent_ms() >= TICK_MS
        unused_ms = self._now_ms() - self._last_used_ms
        in_use = self._exchanges or unused_ms < RECENT_USE_MS
        return self.silent_ms() >= (
            HEARTBEAT_INTERVAL_MS if in_use else IDLE_HEARTBEAT_INTERVAL_MS
        )

    def _ping(self):
        self._ping_seq += 1
        self._last_ping_ms = self._now_ms()
        self.send(
            Ping(
                self._ping_seq, self._options.load_report(), int(self.age_ms())
            ),
            urgent=True,
        )


@dataclass(eq=False, slots=True)
class _Turn:
    """
    A frame that waits for room in the backlog.

    :ivar is_granted: whether room is kept for it.
    """

    size: int
    event: Event = field(default_factory=Event)
    is_granted: bool = False


class _DelayEstimator:
    """
    Estimates the delay of frames without synchronised clocks.

    The difference between the time of receipt and the time of sending is the
    offset of the two clocks plus the delay.  The smallest difference in the
    current and the previous window stands for a frame without delay.
    """

    __slots__ = (
        '_window_min_ms',
        '_previous_window_min_ms',
        '_window_start_ms',
    )

    def __init__(self):
        self._window_min_ms = float('inf')
        self._previous_window_min_ms = float('inf')
        self._window_start_ms = 0.0

    def excess_ms(self, difference_ms, now_ms):
        """Return by how much a difference exceeds the smallest recent one."""
        if now_ms - self._window_start_ms > DELAY_WINDOW_MS:
            self._previous_window_min_ms = self._window_min_ms
            self._window_min_ms = float('inf')
            self._window_start_ms = now_ms
        if difference_ms < self._window_min_ms:
            self._window_min_ms = difference_ms
        return max(
            0.0,
            difference_ms
            - min(self._window_min_ms, self._previous_window_min_ms),
        )


def _empty_load_report():
    return b''


def _ignore(*_args):
    return None


@dataclass(frozen=True)
class LinkOptions:
    """
    Callbacks, clock and timer of links.

    :ivar load_report: returns this process's load report in bytes.
    :ivar on_error: called with the link and the error when the link or one of
        its handlers fails.
    :ivar on_close: called with the link once it is closed.
    :ivar on_load_report: called with the link when a load report arrives.
    :ivar now_ms: returns the time on a monotonic clock.
    :ivar timer: :class:`~damasklanding.periodic.PeriodicTimer` that runs the
        heartbeat checks of all links which share these options.
    """

    load_report: object = _empty_load_report
    on_load_report: object = _ignore
    on_error: object = _ignore
    on_close: object = _ignore
    now_ms: object = monotonic_ms
    timer: PeriodicTimer = field(
        default_factory=lambda: PeriodicTimer(TICK_MS)
    )


def open_link(address, identity, secret, handlers=None, options=None):
    """
    Connect to another process and perform the handshake.

    :param address: ``ip:port``.
    :param identity: own :class:`Identity`.
    :param secret: shared secret of the fleet, bytes.
    :param handlers: functions by message class for exchanges that the other
        end opens; each takes the exchange and the first message and returns
        the reply, or None if it has sent the reply itself.
    :param options: :class:`LinkOptions`.
    :return: a started :class:`Link`.
    :raises LinkClosed: the peer can't be reached or closed the connection.
    :raises LinkTimeout: the handshake took too long.
    :raises Forbidden: the secrets differ.
    """
    try:
        sock = gsocket.create_connection(
            parse_address(address), CONNECT_TIMEOUT_MS / 1000
        )
    except OSError as error:
        raise LinkClosed(
            f'cannot connect to {address} ({error})',
            'check that a process listens there and that the network path '
            'is open',
        ) from error
    try:
        set_socket_options(sock)
        with gevent.Timeout(
            HANDSHAKE_TIMEOUT_MS / 1000,
            LinkTimeout(f'{address} did not finish the handshake'),
        ):
            peer = open_handshake(sock, identity, secret)
        sock.settimeout(None)
    except OSError as error:
        sock.close()
        raise LinkClosed(
            f'the connection to {address} broke during the handshake'
        ) from error
    except BaseException:
        sock.close()
        raise
    link = Link(sock, peer, handlers or {}, True, options or LinkOptions())
    link.start()
    return link
