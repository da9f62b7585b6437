"""
damasklanding.exchange
~~~~~~~~~~~~~~~~~~~~~~

Frames on a link that belong together, and the errors that end them.
"""

from collections import deque

import gevent
from gevent.hub import Waiter

from damasklanding.errors import LinkClosed
from damasklanding.errors import LinkTimeout
from damasklanding.errors import Refusal
from damasklanding.errors import error_from_code
from damasklanding.messages import BodyChunk
from damasklanding.messages import Cancel
from damasklanding.messages import Problem
from damasklanding.messages import Window

__all__ = [
    'INITIAL_CREDIT_BYTES',
    'UNLESS_STARTED',
    'Exchange',
    'ExchangeCancelled',
    'ExchangeWithdrawn',
    'error_from_problem',
    'problem_from_error',
    'withdrawn_error',
]

INITIAL_CREDIT_BYTES = 256 * 1024  # of a streamed body, in each direction
MAX_HELD_BYTES = 2 * INITIAL_CREDIT_BYTES
UNLESS_STARTED = 'unless-started'

_TIMED_OUT = object()
_CLOSED = object()


class ExchangeCancelled(gevent.GreenletExit):
    """Raised in a handler whose exchange the opener has cancelled."""


class ExchangeWithdrawn(ExchangeCancelled):
    """Raised in a handler that was cancelled before it had started."""


def problem_from_error(error):
    """Return the message that carries an error to the other end."""
    return Problem(
        code=error.code,
        problem=error.problem,
        remedy=error.remedy,
        retry_after_ms=int(error.retry_after_ms or 0),
        outcome=error.outcome,
        may_retry=error.may_retry,
        retries_left=error.retries_left or 0,
    )


def error_from_problem(message):
    """Return the error that a peer has reported."""
    error = error_from_code(
        message.code,
        message.problem,
        message.remedy or None,
        message.retry_after_ms or None,
    )
    error.outcome = message.outcome or 'unknown'
    error.may_retry = message.may_retry
    error.retries_left = message.retries_left
    error.reply = message
    return error


def withdrawn_error():
    """Return the error that confirms a withdrawal."""
    error = Refusal('the opener withdrew the request before it had started')
    error.outcome = 'not-run'
    return error


class Exchange:
    """
    Frames that belong together, in both directions.

    :ivar link: the connection.
    :ivar number: id, unique on the link.
    :ivar credit: bytes of a streamed body that may be sent now.
    :ivar started: whether the handler has passed the point after which the
        opener can no longer withdraw the request.
    :ivar on_link_closed: called when the link closes, instead of killing the
        handler; None where the handler is to be killed.
    """

    __slots__ = (
        'link',
        'number',
        '_held_bytes',
        '_inbox',
        '_waiter',
        'greenlet',
        'cancelled',
        'credit',
        'entered',
        'started',
        'on_link_closed',
        'withdrawn',
    )

    def __init__(self, link, number):
        self.link = link
        self.number = number
        self.greenlet = None
        self.cancelled = False
        self.credit = INITIAL_CREDIT_BYTES
        self.entered = False
        self.started = False
        self.on_link_closed = None
        self.withdrawn = False
        self._held_bytes = 0
        self._inbox = deque()
        self._waiter = None

    def mark_started(self):
        """
        Pass the point after which a withdrawal comes too late.

        :raises ExchangeWithdrawn: the opener has withdrawn the request.
        """
        if self.withdrawn:
            raise ExchangeWithdrawn
        self.started = True

    def withdraw(self):
        """Ask the other end to drop the request unless it has started."""
        self.send(Cancel(UNLESS_STARTED))

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
        inbox = self._inbox
        while not inbox:
            if not self._wait(timeout_ms):
                raise LinkTimeout(
                    f'{self.link.peer.name} did not answer in time'
                )
        message = inbox[0]
        if message is _CLOSED:
            raise LinkClosed(f'the link to {self.link.peer.name} closed')
        inbox.popleft()
        kind = type(message)
        if kind is BodyChunk:
            self._held_bytes -= len(message.data)
        elif kind is Problem:
            raise error_from_problem(message)
        return message

    def has_message(self):
        """Return whether a message waits to be received."""
        return bool(self._inbox)

    def wait_credit(self, timeout_ms):
        """
        Wait for credit or for a message.

        :return: False where neither came in time.
        """
        if self.credit > 0 or self._inbox:
            return True
        return self._wait(timeout_ms)

    def close(self):
        """Forget the exchange; later frames for it are dropped."""
        self.link.remove_exchange(self)

    def cancel(self, reason=''):
        """Tell the other end that the outcome is no longer wanted."""
        self.close()
        try:
            self.send(Cancel(reason))
        except LinkClosed:
            pass

    def deliver(self, message):
        """Queue a received message, None for the link's end."""
        kind = type(message)
        if kind is Window:
            self.credit += message.credit
        elif kind is BodyChunk:
            self._hold(message)
        else:
            self._inbox.append(_CLOSED if message is None else message)
        if self._waiter is not None:
            waiter = self._waiter
            self._waiter = None
            gevent.get_hub().loop.run_callback(waiter.switch, None)

    def _hold(self, chunk):
        self._held_bytes += len(chunk.data)
        if self._held_bytes > MAX_HELD_BYTES:
            # The other end sends without credit; what comes is not kept.
            self._inbox.clear()
            self._inbox.append(_CLOSED)
            return
        self._inbox.append(chunk)

    def _wait(self, timeout_ms):
        """Wait for a delivery; return False where none came in time."""
        waiter = self._waiter = Waiter()
        if timeout_ms is None:
            waiter.get()
            return True
        timer = gevent.get_hub().loop.timer(max(timeout_ms, 0) / 1000)
        timer.start(waiter.switch, _TIMED_OUT)
        try:
            return waiter.get() is not _TIMED_OUT
        finally:
            self._waiter = None
            timer.stop()
            timer.close()
