"""
damasklanding.link
~~~~~~~~~~~~~~~~~~

Authenticated, multiplexed connections between processes.  Both ends prove
that they hold the fleet secret; exchanges then share one TCP connection, and
heartbeats close a connection that has gone silent.
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
TICK_MS = 200
#: Of a link in use; carries the load reports, which count for 2 s.  Where an
#: answer is awaited, a silent link is asked at the next tick.
HEARTBEAT_MS = 1_000
IDLE_HEARTBEAT_MS = 2_000
RECENT_USE_MS = 5_000  # after its last exchange began
UNUSED_LIMIT_MS = 60_000  # after which its opener closes it
PONG_LIMIT_MS = 700  # a link that is silent for longer after a ping is closed
READ = 1
UNACKNOWLEDGED_LIMIT_MS = 2_000
RECEIVE_BYTES = 32 * 1024
READER_POLL_MS = 5  # while the reader is held up by a full connection
MAX_BACKLOG_BYTES = 1024 * 1024  # unsent data above which senders wait
DELAY_WINDOW_MS = 10_000


def parse_address(text):
    """
    Split ``ip:port``; IPv6 numbers stand in brackets.

    :return: pair of host and port.
    """
    host, _, port = text.rpartition(':')
    return host.strip('[]'), int(port)


def set_socket_options(sock):
    """Set no delay, keepalive and a bound on unacknowledged data."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS
    )


class Link:
    """
    One authenticated connection to another process.

    :ivar peer: :class:`Identity` of the other end.
    :ivar peer_load: bytes of the last load report of the other end.
    :ivar closed: event set once the connection has ended.
    """

    def __init__(self, sock, peer, handlers, opener, options):
        self.peer = peer
        self.peer_load = b''
        self.closed = Event()
        self.dropped_frames = 0
        self._sock = sock
        self._handlers = handlers
        self._next_number = 1 if opener else 2
        self._parity = self._next_number % 2
        self._opener = opener
        self._exchanges = {}
        self._backlog = deque()
        self._backlog_bytes = 0
        self._has_room = Event()
        self._pongs = Event()
        self._readable = gevent.get_hub().loop.io(sock.fileno(), READ)
        self._options = options
        self._now_ms = options.now_ms
        self._made_ms = self._now_ms()
        self._heard_ms = self._made_ms
        self._asked_ms = 0.0
        self._pinged_ms = 0.0
        self._retired = False
        self._used_ms = self._made_ms
        self._ping_seq = 0
        self._delays = _Delays()
        self._reader = None
        self._reader_waits = False
        self._rest = b''
        self._writer = None
        self._ticked_ms = self._made_ms

    def start(self):
        """Start the reader and the heartbeat."""
        # Reader and writer wait by themselves, so no call ever blocks.
        self._sock.settimeout(0.0)
        self._reader = gevent.spawn(self._read_loop)
        self._options.timer.add(self._tick)

    def age_ms(self):
        """Return the time since the link was made."""
        return self._now_ms() - self._made_ms

    def silent_ms(self):
        """Return the time since anything was received."""
        return self._now_ms() - self._heard_ms

    def excess_delay_ms(self, sent_ms):
        """
        Return how much longer a frame was on its way than others of late.

        :param sent_ms: age of the link at the sender when it was sent.
        """
        return self._delays.note(self.age_ms() - sent_ms, self._now_ms())

    def drain(self):
        """Close as soon as no exchange is open; open no further ones."""
        self._retired = True

    def check_alive(self, timeout_ms):
        """
        Check that the peer still answers on this connection.

        :raises LinkTimeout: it did not in time.
        """
        self._pongs.clear()
        self._ping()
        if not self._pongs.wait(timeout_ms / 1000):
            raise LinkTimeout(f'{self.peer.name} no longer answers')
        if self.closed.is_set():
            raise LinkClosed(f'the link to {self.peer.name} closed')

    def open_exchange(self):
        """Start an exchange; close it when done."""
        if self.closed.is_set():
            raise LinkClosed(f'the link to {self.peer.name} closed')
        self._used_ms = self._now_ms()
        exchange = Exchange(self, self._next_number)
        self._next_number += 2
        self._exchanges[exchange.number] = exchange
        return exchange

    @contextmanager
    def exchange(self, message):
        """Open an exchange with its first message; cancels if left early."""
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

    def send(self, message, number=0):
        """Send one frame."""
        if number and number % 2 == self._parity:
            # Of an exchange that was opened here: an answer is expected.
            self._asked_ms = self._now_ms()
        self._send_bytes(encode_frame(message, number))

    def _send_bytes(self, data):
        # A sender may be killed while it waits, so it never waits within a
        # frame: what does not fit at once is left to the writer.
        if self.closed.is_set():
            raise LinkClosed(f'the link to {self.peer.name} closed')
        if not self._backlog:
            data = data[self._send_now(data) :]
            if not data:
                return
        self._backlog.append(data)
        self._backlog_bytes += len(data)
        if self._writer is None:
            self._writer = gevent.spawn(self._write_backlog)
        if self._backlog_bytes > MAX_BACKLOG_BYTES:
            self._has_room.clear()
            self._has_room.wait()
            if self.closed.is_set():
                raise LinkClosed(f'the link to {self.peer.name} closed')

    def _send_now(self, data):
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
                sent = self._send_now(data)
                if not sent:
                    gsocket.wait_write(self._sock.fileno())
                    continue
                self._backlog_bytes -= sent
                if sent < len(data):
                    self._backlog[0] = memoryview(data)[sent:]
                else:
                    self._backlog.popleft()
                if self._backlog_bytes <= MAX_BACKLOG_BYTES:
                    self._has_room.set()
            self._writer = None
        except (OSError, LinkClosed) as error:
            self._options.on_error(self, error)
            self.close()

    def remove_exchange(self, exchange):
        """Drop an exchange from the table."""
        self._exchanges.pop(exchange.number, None)

    def close(self):
        """End the connection and every exchange on it."""
        if self.closed.is_set():
            return
        self.closed.set()
        self._has_room.set()
        self._pongs.set()
        self._readable.close()
        self._options.timer.remove(self._tick)
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
        # The watcher stays on from one frame to the next: to start and stop
        # it for each would cost as much as to read it.
        self._readable.start(self._on_readable)
        try:
            while True:
                self._reader_waits = True
                try:
                    switch_to_hub()
                finally:
                    self._reader_waits = False
                try:
                    data = self._sock.recv(RECEIVE_BYTES)
                except BlockingIOError:
                    continue
                if not data:
                    return
                self._heard_ms = self._now_ms()
                self._consume(data)
        except (OSError, DamasklandingError) as error:
            self._options.on_error(self, error)
        finally:
            self.close()

    def _on_readable(self):
        if self._reader_waits:
            self._reader.switch()
            return
        # The reader waits for room to send; what has come stays unread.
        self._readable.stop()
        gevent.spawn(self._resume_reading)

    def _resume_reading(self):
        while not (self._reader_waits or self.closed.is_set()):
            gevent.sleep(READER_POLL_MS / 1000)
        if not self.closed.is_set():
            self._readable.start(self._on_readable)

    def _consume(self, data):
        if self._rest:
            data = self._rest + data
        start = 0
        size = len(data)
        while size - start >= 4:
            begin = start + 4
            end = begin + frame_length(data, start)
            if end > size:
                break
            number, message = decode_frame(data[begin:end])
            start = end
            self._dispatch(number, message)
        self._rest = data[start:]

    def _dispatch(self, number, message):
        kind = type(message)
        if kind is Ping:
            self.peer_load = message.load
            self.excess_delay_ms(message.sent_ms)
            self._options.on_load_report(self)
            self.send(Pong(message.seq, self._options.load_report()))
        elif kind is Pong:
            self.peer_load = message.load
            self._options.on_load_report(self)
            self._pongs.set()
        else:
            self._dispatch_exchange(number, message, kind)

    def _dispatch_exchange(self, number, message, kind):
        exchange = self._exchanges.get(number)
        if exchange is not None:
            if kind is Cancel:
                self._cancel(exchange, message)
            else:
                exchange.deliver(message)
            return
        handler = self._handlers.get(kind)
        if kind is Cancel:
            return  # the exchange ended while this was on its way
        if handler is None or number % 2 == self._parity:
            self.dropped_frames += 1
            return
        exchange = Exchange(self, number)
        self._used_ms = self._now_ms()
        self._exchanges[number] = exchange
        exchange.greenlet = gevent.spawn(
            self._handle, handler, exchange, message
        )

    def _cancel(self, exchange, message):
        if message.reason != UNLESS_STARTED:
            self.remove_exchange(exchange)
            exchange.deliver(None)
            self._kill_handler(exchange)
        elif not exchange.started:
            exchange.withdrawn = True
            # Killed before it runs, a greenlet would not even reply.
            if exchange.entered:
                exchange.greenlet.kill(ExchangeWithdrawn, block=False)

    def _handle(self, handler, exchange, message):
        exchange.entered = True
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

    def _tick(self):
        """Look after the connection; runs in the loop and never blocks."""
        now_ms = self._now_ms()
        late_ms = now_ms - self._ticked_ms - TICK_MS
        self._ticked_ms = now_ms
        if late_ms > TICK_MS:
            # This process was held up; what came meanwhile is read first.
            self._pinged_ms = 0.0
        elif self._is_done():
            gevent.spawn(self.close)
        elif self._has_gone_silent():
            gevent.spawn(self._end_silent)
        elif self._ping_is_due() and not self._backlog:
            self._ping_or_close()

    def _is_done(self):
        if self._exchanges:
            return False
        unused_ms = self._now_ms() - self._used_ms
        return self._retired or (self._opener and unused_ms > UNUSED_LIMIT_MS)

    def _end_silent(self):
        if not self.closed.is_set():
            self._options.on_error(
                self, LinkTimeout(f'{self.peer.name} fell silent')
            )
            self.close()

    def _ping_or_close(self):
        try:
            self._ping()
        except LinkClosed:
            pass  # the sender has closed it

    def _has_gone_silent(self):
        if self._pinged_ms <= self._heard_ms:
            return False
        return self._now_ms() - self._pinged_ms > PONG_LIMIT_MS

    def _ping_is_due(self):
        if self._pinged_ms > self._heard_ms:
            return False
        if self._asked_ms > self._heard_ms:
            return self.silent_ms() >= TICK_MS
        unused_ms = self._now_ms() - self._used_ms
        in_use = self._exchanges or unused_ms < RECENT_USE_MS
        return self.silent_ms() >= (
            HEARTBEAT_MS if in_use else IDLE_HEARTBEAT_MS
        )

    def _ping(self):
        self._ping_seq += 1
        self._pinged_ms = self._now_ms()
        self.send(
            Ping(
                self._ping_seq, self._options.load_report(), int(self.age_ms())
            )
        )


class _Delays:
    """Least difference of two clocks of late, from frames received."""

    __slots__ = ('_least', '_previous', '_since_ms')

    def __init__(self):
        self._least = float('inf')
        self._previous = float('inf')
        self._since_ms = 0.0

    def note(self, difference_ms, now_ms):
        """Return how far a difference lies above the least."""
        if now_ms - self._since_ms > DELAY_WINDOW_MS:
            self._previous = self._least
            self._least = float('inf')
            self._since_ms = now_ms
        if difference_ms < self._least:
            self._least = difference_ms
        return max(0.0, difference_ms - min(self._least, self._previous))


def _no_load():
    return b''


def _ignore(*_args):
    return None


@dataclass(frozen=True)
class LinkOptions:
    """
    What a link calls back.

    :ivar load_report: returns this process's load report in bytes.
    :ivar on_error: called with link and error when a link fails.
    :ivar on_close: called with the link once it has ended.
    :ivar on_load_report: called with the link when a load report has come.
    :ivar timer: :class:`~damasklanding.periodic.PeriodicTimer` that runs the
        heartbeat checks of all links which share these options.
    """

    load_report: object = _no_load
    on_load_report: object = _ignore
    on_error: object = _ignore
    on_close: object = _ignore
    now_ms: object = monotonic_ms
    timer: PeriodicTimer = field(
        default_factory=lambda: PeriodicTimer(TICK_MS)
    )


def open_link(address, identity, secret, handlers=None, options=None):
    """
    Connect to another process and prove the fleet secret.

    :param address: ``ip:port``.
    :param identity: own :class:`Identity`.
    :param secret: fleet secret, bytes.
    :param handlers: functions by message class for exchanges that the other
        end opens; each takes the exchange and the message and returns the
        reply, or None where it has sent its own.
    :return: a started :class:`Link`.
    :raises Unavailable: where the peer can't be reached.
    :raises Forbidden: where the secrets differ.
    """
    try:
        sock = gsocket.create_connection(
            parse_address(address), CONNECT_TIMEOUT_MS / 1000
        )
    except OSError as error:
        raise LinkClosed(
            f'no connection to {address} ({error})',
            'check that a process listens there and the path to it',
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
        raise LinkClosed(f'{address} broke the handshake') from error
    except BaseException:
        sock.close()
        raise
    link = Link(sock, peer, handlers or {}, True, options or LinkOptions())
    link.start()
    return link
