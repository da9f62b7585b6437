"""
damasklanding.exchange
~~~~~~~~~~~~~~~~~~~~~~

One exchange of messages on a link, and the conversion of errors to messages.
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

#: Bytes of a streamed body that may be sent in each direction before the
#: receiver gives credit.
INITIAL_CREDIT_BYTES = 256 * 1024
#: Received bytes of a body above which the exchange is ended.
MAX_QUEUED_BODY_BYTES = 2 * INITIAL_CREDIT_BYTES
UNLESS_STARTED = 'unless-started'  # reason of a Cancel that withdraws

_TIMED_OUT = object()
_CLOSED = object()


class ExchangeCancelled(gevent.GreenletExit):
    """Raised in a handler if its exchange is cancelled or the link closes."""


class ExchangeWithdrawn(ExchangeCancelled):
    """Raised in a handler whose request was withdrawn before it started."""


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
    """Return the error that a peer reported; its ``reply`` is the message."""
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
    error = Refusal('the caller withdrew the request before it had started')
    error.outcome = 'not-run'
    return error


class Exchange:
    """
    Related messages in both directions: a request, its reply and bodies.

    :ivar link: the :class:`~damasklanding.link.Link` that carries it.
    :ivar exchange_id: id of the exchange, unique on the link.
    :ivar greenlet: greenlet of the handler, None on the side that opened the
        exchange.
    :ivar cancelled: whether the handler was killed because the exchange was
        cancelled or the link closed.
    :ivar credit: bytes of a streamed body that may be sent now.
    :ivar handler_entered: whether the greenlet of the handler has begun to
        run.
    :ivar started: whether the handler has passed the point after which the
        other end can no longer withdraw the request.
    :ivar on_link_closed: called when the link closes, instead of killing the
        handler; None if the handler is to be killed.
    :ivar withdrawn: whether the other end has withdrawn the request.
    """

    __slots__ = (
        'link',
        'exchange_id',
        '_queued_body_bytes',
        '_inbox',
        '_waiter',
        'greenlet',
        'cancelled',
        'credit',
        'handler_entered',
        'started',
        'on_link_closed',
        'withdrawn',
    )

    def __init__(self, link, exchange_id):
        self.link = link
        self.exchange_id = exchange_id
        self.greenlet = None
        self.cancelled = False
        self.credit = INITIAL_CREDIT_BYTES
        self.handler_entered = False
        self.started = False
        self.on_link_closed = None
        self.withdrawn = False
        self._queued_body_bytes = 0
        self._inbox = deque()
        self._waiter = None

    def mark_started(self):
        """
        Mark the request as started; it can't be withdrawn from now on.

        :raises ExchangeWithdrawn: the other end has withdrawn the request.
        """
        if self.withdrawn:
            raise ExchangeWithdrawn
        self.started = True

    def withdraw(self):
        """Ask the other end to drop the request unless it has started."""
        self.link.send(Cancel(UNLESS_STARTED), self.exchange_id, urgent=True)

    def send(self, message, timeout_ms=None):
        """
        Send a message; waits while the connection is full.

        If this raises, no byte of the message has left and none will.

        :param timeout_ms: longest wait, None for no limit.
        :raises LinkTimeout: the connection stayed full.
        :raises LinkClosed: the connection has closed.
        """
        self.link.send(message, self.exchange_id, timeout_ms)

    def receive(self, timeout_ms=None):
        """
        Return the next message.

        :raises LinkTimeout: no message arrived in time.
        :raises LinkClosed: the connection closed.
        :raises DamasklandingError: the error that the other end reported;
            its ``reply`` is the received message.
        """
        inbox = self._inbox
        while not inbox:
            if not self._wait_for_delivery(timeout_ms):
                raise LinkTimeout(
                    f'{self.link.peer.name} did not answer in time'
                )
        message = inbox[0]
        if message is _CLOSED:
            raise LinkClosed(f'the link to {self.link.peer.name} closed')
        inbox.popleft()
        message_type = type(message)
        if message_type is BodyChunk:
            self._queued_body_bytes -= len(message.data)
        elif message_type is Problem:
            raise error_from_problem(message)
        return message

    def has_message(self):
        """Return whether a received message is queued."""
        return bool(self._inbox)

    def wait_credit(self, timeout_ms):
        """
        Wait until credit or a message is available.

        :return: False if neither arrived in time.
        """
        if self.credit > 0 or self._inbox:
            return True
        return self._wait_for_delivery(timeout_ms)

    def close(self):
        """Remove the exchange from the link; later frames are dropped."""
        self.link.remove_exchange(self)

    def cancel(self, reason=''):
        """Close the exchange and cancel it at the other end."""
        self.close()
        try:
            self.link.send(Cancel(reason), self.exchange_id, urgent=True)
        except LinkClosed:
            pass

    def deliver(self, message):
        """Queue a received message; None ends the exchange as closed."""
        message_type = type(message)
        if message_type is Window:
            self.credit += message.credit
        elif message_type is BodyChunk:
            self._queue_body_chunk(message)
        else:
            self._inbox.append(_CLOSED if message is None else message)
        if self._waiter is not None:
            waiter = self._waiter
            self._waiter = None
            gevent.get_hub().loop.run_callback(waiter.switch, None)

    def _queue_body_chunk(self, chunk):
        self._queued_body_bytes += len(chunk.data)
        if self._queued_body_bytes > MAX_QUEUED_BODY_BYTES:
            # The other end exceeds its credit, so the exchange is ended.
            self._inbox.clear()
            self._inbox.append(_CLOSED)
            return
        self._inbox.append(chunk)

    def _wait_for_delivery(self, timeout_ms):
        """Wait for a delivery; return False if none arrived in time."""
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
