"""
damasklanding.node.bodies
~~~~~~~~~~~~~~~~~~~~~~~~~

Bodies of requests and answers.  A small body is kept in memory as a whole.  A
larger one is streamed in parts; on a peer connection, credit from the receiver
limits how many bytes are in flight.
"""

from hashlib import blake2b

from damasklanding.errors import BadInput
from damasklanding.errors import LinkTimeout
from damasklanding.errors import TooLarge
from damasklanding.messages import BodyChunk
from damasklanding.messages import Window

__all__ = [
    'CHUNK_BYTES',
    'INLINE_BYTES',
    'WINDOW_BYTES',
    'Body',
    'body_from_request',
    'receive_parts',
    'send_parts',
]

INLINE_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
WINDOW_BYTES = 2 * CHUNK_BYTES
PREFIX_DIGEST_BYTES = 12
#: Further copies of a part while it is encoded and sent to a peer.
PART_COPIES = 2


class Body:
    """
    A request body.

    :ivar data: the whole body, None if it is streamed.
    :ivar length: size in bytes, None if it is not known in advance.
    :ivar started: whether reading of a streamed body has begun.
    :ivar on_end: called when a streamed body has been read to its end, or
        None.
    :ivar prefix_digest: digest of the first part of a streamed body, empty
        until that has been read.
    """

    __slots__ = (
        'data',
        'length',
        'on_end',
        'prefix_digest',
        'started',
        '_first',
        '_parts',
    )

    def __init__(self, data=b'', parts=None, length=None):
        self.data = data
        self.length = len(data) if parts is None else length
        self.on_end = None
        self.prefix_digest = b''
        self.started = False
        self._first = None
        self._parts = parts

    def repeatable(self):
        """Return whether the body can be sent again."""
        return self.data is not None or not self.started

    def read_ahead(self):
        """Read the first part of a streamed body before the others."""
        if self._first is None and not self.started:
            self._parts = iter(self._parts)
            self._first = next(self._parts, b'')
            # Peers split parts, so that only so much is the same everywhere.
            self.prefix_digest = blake2b(
                self._first[:CHUNK_BYTES], digest_size=PREFIX_DIGEST_BYTES
            ).digest()

    def parts(self):
        """Yield the parts of a streamed body; can be called only once."""
        self.read_ahead()
        self.started = True
        first, self._first = self._first, None
        if first:
            yield first
        yield from self._parts
        if self.on_end is not None:
            self.on_end()


def body_from_request(request, limit_bytes):
    """
    Return the body of an HTTP request; a small one is read as a whole.

    :param limit_bytes: maximum size of a body.
    :raises Unavailable: the process holds too much for other clients.
    :raises TooLarge: a chunked body exceeds the limit; raised by the
        iterator of the streamed body.
    """
    length = request.length
    if length == 0:
        return Body()
    if length is not None and length <= INLINE_BYTES:
        return Body(request.read(length))
    if length is None:
        first = request.read(INLINE_BYTES + 1)
        if len(first) <= INLINE_BYTES:
            if request.client is not None:
                request.client.settle(len(first))
            return Body(first)
    else:
        first = b''
    if request.client is not None:
        request.client.hold(PART_COPIES * CHUNK_BYTES)
    return Body(None, _request_parts(request, first, limit_bytes), length)


def _request_parts(request, first, limit_bytes):
    size = 0
    part = first or request.read(CHUNK_BYTES)
    while part:
        size += len(part)
        if size > limit_bytes:
            raise TooLarge(f'a body of more than {limit_bytes} bytes')
        yield part
        part = request.read(CHUNK_BYTES)


def send_parts(exchange, parts, deadline_at_ms, now_ms):
    """
    Send a streamed body within the credit granted by the other end.

    :return: False if the other end answered before the whole body was sent.
    :raises LinkTimeout: the other end did not take all before the deadline.
    """
    for part in parts:
        for start in range(0, len(part), CHUNK_BYTES):
            chunk = part[start : start + CHUNK_BYTES]
            if not _wait_for_credit(exchange, deadline_at_ms, now_ms):
                return False
            exchange.send(BodyChunk(chunk), deadline_at_ms - now_ms())
            exchange.credit -= len(chunk)
    exchange.send(BodyChunk(b'', True), deadline_at_ms - now_ms())
    return True


def _wait_for_credit(exchange, deadline_at_ms, now_ms):
    while exchange.credit <= 0:
        left_ms = deadline_at_ms - now_ms()
        if left_ms <= 0 or not exchange.wait_credit(left_ms):
            raise LinkTimeout(
                f'{exchange.link.peer.name} accepted no more body in time'
            )
        if exchange.has_message():
            return False
    return True


def receive_parts(exchange, deadline_at_ms, now_ms):
    """
    Yield a streamed body; grant credit for each part after it was consumed.

    :raises LinkTimeout: no part arrived before the deadline.
    :raises BadInput: the other end sent more than its credit allowed, or a
        message that is not part of a body.
    """
    exchange.send(Window(WINDOW_BYTES))
    while True:
        chunk = exchange.receive(deadline_at_ms - now_ms())
        if type(chunk) is not BodyChunk or len(chunk.data) > CHUNK_BYTES:
            raise BadInput(
                'a peer sent an unexpected message instead of the body'
            )
        if chunk.last:
            return
        yield chunk.data
        exchange.send(Window(len(chunk.data)))
