"""
damasklanding.node.bodies
~~~~~~~~~~~~~~~~~~~~~~~~~

Bodies of requests and answers.  A small one is held whole; a larger one is
read in parts, and on a peer connection the receiver's credit bounds how much
of it is on the way.
"""

from damasklanding.errors import BadInput
from damasklanding.errors import LinkTimeout
from damasklanding.errors import TooLarge
from damasklanding.messages import BodyChunk
from damasklanding.messages import Window

__all__ = [
    'CHUNK_BYTES',
    'INLINE_BYTES',
    'Body',
    'body_from_request',
    'receive_parts',
    'send_parts',
]

INLINE_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
WINDOW_BYTES = 4 * CHUNK_BYTES


class Body:
    """
    A request body.

    :ivar data: the whole body, None where it is streamed.
    :ivar length: size in bytes, None where it is not known beforehand.
    :ivar started: whether a streamed body has been read from.
    :ivar on_end: called once a streamed body has been read.
    """

    __slots__ = ('data', 'length', 'on_end', 'started', '_parts')

    def __init__(self, data=b'', parts=None, length=None):
        self.data = data
        self.length = len(data) if parts is None else length
        self.on_end = None
        self.started = False
        self._parts = parts

    def repeatable(self):
        """Return whether the body can be sent again."""
        return self.data is not None or not self.started

    def parts(self):
        """Yield the parts of a streamed body; usable once."""
        self.started = True
        yield from self._parts
        if self.on_end is not None:
            self.on_end()


def body_from_request(request, limit_bytes):
    """
    Return the body of an HTTP request, whole where it is small.

    :param limit_bytes: largest size allowed.
    :raises TooLarge: a chunked body above the limit; a streamed one raises
        from its iterator.
    """
    length = request.length
    if length == 0:
        return Body()
    if length is not None and length <= INLINE_BYTES:
        return Body(request.read(length))
    if length is None:
        first = request.read(INLINE_BYTES + 1)
        if len(first) <= INLINE_BYTES:
            return Body(first)
    else:
        first = b''
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
    Send a streamed body within the credit that the other end gives.

    :return: False where the other end answered before all was sent.
    :raises LinkTimeout: no credit came before the deadline.
    """
    for part in parts:
        for start in range(0, len(part), CHUNK_BYTES):
            piece = part[start : start + CHUNK_BYTES]
            if not _wait_credit(exchange, deadline_at_ms, now_ms):
                return False
            exchange.send(BodyChunk(piece))
            exchange.credit -= len(piece)
    exchange.send(BodyChunk(b'', True))
    return True


def _wait_credit(exchange, deadline_at_ms, now_ms):
    while exchange.credit <= 0:
        left_ms = deadline_at_ms - now_ms()
        if left_ms <= 0 or not exchange.wait_credit(left_ms):
            raise LinkTimeout(
                f'{exchange.link.peer.name} took no more of the body in time'
            )
        if exchange.has_message():
            return False
    return True


def receive_parts(exchange, deadline_at_ms, now_ms):
    """
    Yield a streamed body, giving credit for each part once it is used.

    :raises LinkTimeout: no part came before the deadline.
    :raises BadInput: the other end sent more than it had credit for, or
        something else than a part of a body.
    """
    exchange.send(Window(WINDOW_BYTES))
    while True:
        chunk = exchange.receive(deadline_at_ms - now_ms())
        if type(chunk) is not BodyChunk or len(chunk.data) > CHUNK_BYTES:
            raise BadInput('a peer sent something else than the body')
        if chunk.last:
            return
        yield chunk.data
        exchange.send(Window(len(chunk.data)))
