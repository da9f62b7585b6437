"""
damasklanding.node.served
~~~~~~~~~~~~~~~~~~~~~~~~~

Calls that must not repeat and that other nodes have sent here, for as long
as their senders may ask again over a new connection.
"""

from collections import OrderedDict

from gevent.event import Event

from damasklanding.errors import Unavailable
from damasklanding.errors import UpstreamFailed

__all__ = ['ServedCall', 'ServedCalls']

GRACE_MS = 5_000  # after the deadline, while a late frame may still come
MAX_CALLS = 4_096
MAX_KEPT_BYTES = 4 * 1024 * 1024


class ServedCall:
    """
    One call that another node has sent.

    :ivar reply: the message that answered it, None while it runs or where
        it was not kept.
    :ivar done: event set once it has ended.
    :ivar greenlet: runs it.
    """

    __slots__ = ('done', 'expires_ms', 'fenced', 'greenlet', 'reply', 'size')

    def __init__(self, expires_ms, greenlet):
        self.done = Event()
        self.expires_ms = expires_ms
        self.fenced = False
        self.greenlet = greenlet
        self.reply = None
        self.size = 0


class ServedCalls:
    """
    Table by the sender's instance and its serial number of the call.

    What is not in the table never came, unless the table had to forget.
    """

    def __init__(self, now_ms):
        self._now_ms = now_ms
        self._calls = OrderedDict()
        self._kept_bytes = 0
        self._forgot_until_ms = float('-inf')

    def __len__(self):
        return len(self._calls)

    def begin(self, key, deadline_at_ms, greenlet):
        """
        Enter a call that has come.

        :raises Unavailable: its sender was told that it never came.
        """
        self._expire()
        call = self._calls.get(key)
        if call is not None:
            raise _never_came()
        call = ServedCall(deadline_at_ms + GRACE_MS, greenlet)
        self._calls[key] = call
        return call

    def end(self, call, reply, size):
        """
        Note the end of a call.

        :param reply: message that answers it, None where it can't be kept.
        :param size: bytes that the message holds.
        """
        if reply is not None and self._kept_bytes + size <= MAX_KEPT_BYTES:
            call.reply = reply
            call.size = size
            self._kept_bytes += size
        call.greenlet = None
        call.done.set()

    def resume(self, key, deadline_at_ms):
        """
        Return the call that a sender asks for.

        :raises Unavailable: it never came, and will be refused if it does.
        :raises UpstreamFailed: whether it came is no longer known.
        """
        self._expire()
        call = self._calls.get(key)
        if call is not None and not call.fenced:
            return call
        if call is None and self._now_ms() < self._forgot_until_ms:
            raise UpstreamFailed('what became of the request was forgotten')
        fence = ServedCall(deadline_at_ms + GRACE_MS, None)
        fence.fenced = True
        self._calls[key] = fence
        raise _never_came()

    def _expire(self):
        now_ms = self._now_ms()
        while self._calls:
            call = next(iter(self._calls.values()))
            expired = call.expires_ms < now_ms and call.greenlet is None
            if not expired and len(self._calls) < MAX_CALLS:
                return
            if not expired:
                self._forgot_until_ms = max(
                    self._forgot_until_ms, call.expires_ms
                )
            self._calls.popitem(last=False)
            self._kept_bytes -= call.size


def _never_came():
    error = Unavailable('the request never reached the node')
    error.outcome = 'not-run'
    return error
