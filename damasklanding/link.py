"""
damasklanding.link
~~~~~~~~~~~~~~~~~~

Authenticated, multiplexed connections between processes.  Both ends prove
that they hold the fleet secret; exchanges then share one TCP connection, and
heartbeats close a connection that has gone silent.
"""

from contextlib import contextmanager
from dataclasses import dataclass
import hashlib
import hmac
import os
import socket

import gevent
from gevent import socket as gsocket
from gevent.event import Event
from gevent.lock import RLock
from gevent.queue import Empty
from gevent.queue import Queue
from gevent.server import StreamServer

from damasklanding.clock import monotonic_ms
from damasklanding.errors import DamasklandingError
from damasklanding.errors import Forbidden
from damasklanding.errors import LinkClosed
from damasklanding.errors import LinkTimeout
from damasklanding.errors import error_from_code
from damasklanding.wire import PROTOCOL_VERSION
from damasklanding.wire import Cancel
from damasklanding.wire import Challenge
from damasklanding.wire import Hello
from damasklanding.wire import Ping
from damasklanding.wire import Pong
from damasklanding.wire import Problem
from damasklanding.wire import Proof
from damasklanding.wire import decode_frame
from damasklanding.wire import encode_frame
from damasklanding.wire import frame_length

__all__ = [
    'Exchange',
    'ExchangeCancelled',
    'Identity',
    'Link',
    'LinkServer',
    'open_link',
    'parse_address',
    'problem_from_error',
    'tune_socket',
]

CONNECT_TIMEOUT_MS = 1_000
HANDSHAKE_TIMEOUT_MS = 2_000
HEARTBEAT_MS = 500
SILENCE_LIMIT_MS = 2_000  # a link that is silent for longer is closed
RECEIVE_BYTES = 256 * 1024
NONCE_BYTES = 16


class ExchangeCancelled(gevent.GreenletExit):
    """Raised in a handler whose exchange the opener has cancelled."""


@dataclass(frozen=True)
class Identity:
    """
    Who a process is towards its peers.

    :ivar name: name of the node or control host.
    :ivar role: ``node``, ``control`` or ``tool``.
    :ivar instance: random per start of the process.
    """

    name: str
    role: str
    instance: str


def parse_address(text):
    """
    Split ``ip:port``; IPv6 numbers stand in brackets.

    :return: pair of host and port.
    """
    host, _, port = text.rpartition(':')
    return host.strip('[]'), int(port)


def tune_socket(sock):
    """Set no delay, keepalive and a bound on unacknowledged data."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS
    )


def problem_from_error(error):
    """Return the message that carries an error to the other end."""
    return Problem(
        code=error.code,
        problem=error.problem,
        remedy=error.remedy,
        retry_after_ms=int(error.retry_after_ms or 0),
        outcome=getattr(error, 'outcome', 'unknown'),
        may_retry=getattr(error, 'may_retry', False),
    )


class Exchange:
    """
    Frames that belong together, in both directions.

    :ivar link: the connection.
    :ivar number: id, unique on the link.
    """

    __slots__ = ('link', 'number', '_inbox', 'greenlet', 'cancelled')

    def __init__(self, link, number):
        self.link = link
        self.number = number
        self.greenlet = None
        self.cancelled = False
        self._inbox = Queue()

    def send(self, message):
        """
        Send a message; blocks while the connection is full.

        :raises LinkClosed: where the connection has closed.
        """
        self.link.send(message, self.number)

    def receive(self, timeout_ms=None):
        """
        Return the next message.

        :raises LinkTimeout: none came in time.
        :raises LinkClosed: the connection closed.
        :raises DamasklandingError: the other end reported an error; the
            message is kept as its ``reply``.
        """
        timeout_s = None if timeout_ms is None else max(timeout_ms, 0) / 1000
        try:
            message = self._inbox.get(timeout=timeout_s)
        except Empty:
            raise LinkTimeout(
                f'{self.link.peer.name} did not answer in {timeout_ms} ms'
            ) from None
        if message is None:
            self._inbox.put(None)
            raise LinkClosed(f'the link to {self.link.peer.name} closed')
        if type(message) is Problem:
            error = error_from_code(
                message.code,
                message.problem,
                message.remedy or None,
                message.retry_after_ms or None,
            )
            error.reply = message
            raise error
        return message

    def close(self):
        """Forget the exchange; later frames for it are dropped."""
        self.link.forget(self)

    def cancel(self, reason=''):
        """Tell the other end that the outcome is no longer wanted."""
        self.close()
        try:
            self.send(Cancel(reason))
        except LinkClosed:
            pass

    def deliver(self, message):
        """Queue a received message, None for the link's end."""
        self._inbox.put(message)


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
        self._exchanges = {}
        self._send_lock = RLock()
        self._options = options
        self._now_ms = options.now_ms
        self._made_ms = self._now_ms()
        self._heard_ms = self._made_ms
        self._ping_seq = 0
        self._greenlets = []

    def start(self):
        """Start the reader and the heartbeat."""
        self._greenlets = [
            gevent.spawn(self._read_loop),
            gevent.spawn(self._heartbeat_loop),
        ]

    def age_ms(self):
        """Return the time since the link was made."""
        return self._now_ms() - self._made_ms

    def silent_ms(self):
        """Return the time since anything was received."""
        return self._now_ms() - self._heard_ms

    def open_exchange(self):
        """Start an exchange; close it when done."""
        if self.closed.is_set():
            raise LinkClosed(f'the link to {self.peer.name} closed')
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
        except BaseException:
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
        self._send_bytes(encode_frame(message, number))

    def _send_bytes(self, data):
        if self.closed.is_set():
            raise LinkClosed(f'the link to {self.peer.name} closed')
        try:
            with self._send_lock:
                self._sock.sendall(data)
        except OSError as error:
            self.close()
            raise LinkClosed(
                f'the link to {self.peer.name} broke ({error})'
            ) from error

    def forget(self, exchange):
        """Drop an exchange from the table."""
        self._exchanges.pop(exchange.number, None)

    def close(self):
        """End the connection and every exchange on it."""
        if self.closed.is_set():
            return
        self.closed.set()
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()
        exchanges = list(self._exchanges.values())
        self._exchanges.clear()
        for exchange in exchanges:
            exchange.deliver(None)
            self._kill_handler(exchange)
        current = gevent.getcurrent()
        for greenlet in self._greenlets:
            if greenlet is not current:
                greenlet.kill(block=False)
        self._options.on_close(self)

    def _kill_handler(self, exchange):
        exchange.cancelled = True
        greenlet = exchange.greenlet
        if greenlet is not None and greenlet is not gevent.getcurrent():
            greenlet.kill(ExchangeCancelled, block=False)

    def _read_loop(self):
        buffer = bytearray()
        try:
            while True:
                data = self._sock.recv(RECEIVE_BYTES)
                if not data:
                    return
                self._heard_ms = self._now_ms()
                buffer += data
                self._consume(buffer)
        except (OSError, DamasklandingError) as error:
            self._options.on_broken(self, error)
        finally:
            self.close()

    def _consume(self, buffer):
        start = 0
        size = len(buffer)
        while size - start >= 4:
            length = frame_length(buffer[start : start + 4])
            if size - start - 4 < length:
                break
            end = start + 4 + length
            number, message = decode_frame(bytes(buffer[start + 4 : end]))
            start = end
            self._dispatch(number, message)
        del buffer[:start]

    def _dispatch(self, number, message):
        kind = type(message)
        if kind is Ping:
            self.peer_load = message.load
            self.send(Pong(message.seq, self._options.load()))
        elif kind is Pong:
            self.peer_load = message.load
        else:
            self._dispatch_exchange(number, message, kind)

    def _dispatch_exchange(self, number, message, kind):
        exchange = self._exchanges.get(number)
        if exchange is not None:
            if kind is Cancel:
                self.forget(exchange)
                exchange.deliver(None)
                self._kill_handler(exchange)
            else:
                exchange.deliver(message)
            return
        handler = self._handlers.get(kind)
        if handler is None or number % 2 == self._parity:
            self.dropped_frames += 1
            return
        exchange = Exchange(self, number)
        self._exchanges[number] = exchange
        exchange.greenlet = gevent.spawn(
            self._handle, handler, exchange, message
        )

    def _handle(self, handler, exchange, message):
        try:
            reply = handler(exchange, message)
            if reply is not None:
                exchange.send(reply)
        except ExchangeCancelled:
            pass
        except LinkClosed as error:
            self._reply_problem(exchange, error)
        except DamasklandingError as error:
            self._reply_problem(exchange, error)
        except Exception as error:  # noqa: BLE001
            self._options.on_broken(self, error)
            problem = DamasklandingError(
                f'a handler failed ({type(error).__name__})'
            )
            self._reply_problem(exchange, problem)
        finally:
            self.forget(exchange)

    def _reply_problem(self, exchange, error):
        try:
            exchange.send(problem_from_error(error))
        except LinkClosed:
            pass

    def _heartbeat_loop(self):
        while not self.closed.is_set():
            gevent.sleep(HEARTBEAT_MS / 1000)
            if self.silent_ms() > SILENCE_LIMIT_MS:
                self._options.on_broken(
                    self, LinkTimeout(f'{self.peer.name} fell silent')
                )
                self.close()
                return
            self._ping_seq += 1
            try:
                self.send(Ping(self._ping_seq, self._options.load()))
            except LinkClosed:
                return


def _no_load():
    return b''


def _ignore(*_args):
    return None


@dataclass(frozen=True)
class LinkOptions:
    """
    What a link calls back.

    :ivar load: returns this process's load report in bytes.
    :ivar on_broken: called with link and error when a link fails.
    :ivar on_close: called with the link once it has ended.
    """

    load: object = _no_load
    on_broken: object = _ignore
    on_close: object = _ignore
    now_ms: object = monotonic_ms


def _proof(secret, side, first, second, hello, challenge):
    text = '\n'.join(
        (side, hello.name, hello.role, challenge.name, challenge.role)
    )
    data = b'|'.join((text.encode(), first, second))
    return hmac.new(secret, data, hashlib.sha256).digest()


def _read_exactly(sock, count):
    data = b''
    while len(data) < count:
        part = sock.recv(count - len(data))
        if not part:
            raise LinkClosed('the other end closed during the handshake')
        data += part
    return data


def _read_message(sock, cls):
    length = frame_length(_read_exactly(sock, 4))
    _, message = decode_frame(_read_exactly(sock, length))
    if type(message) is Problem:
        raise Forbidden(message.problem, message.remedy)
    if type(message) is not cls:
        raise Forbidden(f'expected {cls.member} in the handshake')
    return message


def _wrong_secret(name):
    return Forbidden(
        f'{name} does not hold the fleet secret',
        'give every process the same fleet secret',
    )


def _check_version(message):
    if message.version != PROTOCOL_VERSION:
        raise Forbidden(
            f'{message.name} speaks protocol version {message.version}',
            f'run a release that speaks version {PROTOCOL_VERSION}',
        )


def _handshake_opener(sock, identity, secret):
    nonce = os.urandom(NONCE_BYTES)
    hello = Hello(identity.name, identity.role, identity.instance, nonce)
    sock.sendall(encode_frame(hello))
    challenge = _read_message(sock, Challenge)
    expected = _proof(
        secret, 'accept', nonce, challenge.nonce, hello, challenge
    )
    if not hmac.compare_digest(expected, challenge.proof):
        raise _wrong_secret(challenge.name)
    proof = _proof(secret, 'open', challenge.nonce, nonce, hello, challenge)
    sock.sendall(encode_frame(Proof(proof)))
    return Identity(challenge.name, challenge.role, challenge.instance)


def _handshake_acceptor(sock, identity, secret):
    hello = _read_message(sock, Hello)
    _check_version(hello)
    nonce = os.urandom(NONCE_BYTES)
    challenge = Challenge(
        identity.name, identity.role, identity.instance, nonce, b''
    )
    challenge.proof = _proof(
        secret, 'accept', hello.nonce, nonce, hello, challenge
    )
    sock.sendall(encode_frame(challenge))
    proof = _read_message(sock, Proof)
    expected = _proof(secret, 'open', nonce, hello.nonce, hello, challenge)
    if not hmac.compare_digest(expected, proof.proof):
        raise _wrong_secret(hello.name)
    return Identity(hello.name, hello.role, hello.instance)


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
        tune_socket(sock)
        with gevent.Timeout(
            HANDSHAKE_TIMEOUT_MS / 1000,
            LinkTimeout(f'{address} did not finish the handshake'),
        ):
            peer = _handshake_opener(sock, identity, secret)
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


class LinkServer:
    """
    Accepts links on one address.

    :ivar links: set of the open links.
    :ivar refused: count of connections that failed the handshake.
    """

    def __init__(self, address, identity, secret, handlers, options=None):
        self.links = set()
        self.refused = 0
        self._identity = identity
        self._secret = secret
        self._handlers = handlers
        self._options = options or LinkOptions()
        self._server = StreamServer(parse_address(address), self._accept)

    @property
    def address(self):
        """Return the address in use, with the port that was given out."""
        host, port = self._server.address[:2]
        return f'{host}:{port}'

    def start(self):
        """Start to accept links."""
        self._server.start()

    def stop(self):
        """Stop accepting and close all links."""
        self._server.stop(timeout=0)
        for link in list(self.links):
            link.close()

    def stop_accepting(self):
        """Stop accepting; open links go on."""
        self._server.close()

    def _accept(self, sock, _address):
        try:
            tune_socket(sock)
            with gevent.Timeout(
                HANDSHAKE_TIMEOUT_MS / 1000,
                LinkTimeout('the handshake was not finished'),
            ):
                peer = _handshake_acceptor(sock, self._identity, self._secret)
        except (OSError, DamasklandingError) as error:
            self.refused += 1
            self._refuse(sock, error)
            return
        link = Link(sock, peer, self._handlers, False, self._options)
        self.links.add(link)
        link.start()
        try:
            link.closed.wait()
        finally:
            self.links.discard(link)

    def _refuse(self, sock, error):
        try:
            if isinstance(error, DamasklandingError):
                sock.sendall(encode_frame(problem_from_error(error)))
        except OSError:
            pass
        sock.close()
