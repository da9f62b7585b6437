"""
damasklanding.node.served_calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls that other nodes have sent here, for as long as their senders may ask
again over a new connection.
"""

from collections import OrderedDict

from gevent.event import Event

from damasklanding.errors import Unavailable
from damasklanding.errors import UpstreamFailed

__all__ = ['ServedCall', 'ServedCalls']

LATE_FRAME_GRACE_MS = (
    5_000  # after the deadline, while a late frame may still come
)
KEPT_MS = 3_000  # after its end, of a call that may repeat
MAX_CALLS = 4_096
MAX_KEPT_REPLY_BYTES = 2 * 1024 * 1024


class ServedCall:
    """
    One call that another node has sent.

    :ivar reply: the message that answered it, None while it runs or where
        it was not kept.
    :ivar greenlet: runs it, None once it has ended.
    :ivar resumed: whether its sender has asked again.
    """

    __slots__ = (
        '_done',
        'expires_ms',
        'fenced',
        'greenlet',
        'reply',
        'resumed',
        'size',
    )

    def __init__(self, expires_ms, greenlet):
        self._done = None
        self.expires_ms = expires_ms
        self.fenced = False
        self.greenlet = greenlet
        self.reply = None
        self.resumed = False
        self.size = 0

    def wait(self, timeout_ms):
        """Wait for its end; return whether it has come."""
        if self.greenlet is None:
            return True
        if self._done is None:
            self._done = Event()
        return self._done.wait(timeout_ms / 1000)

    def end(self):
        """Note that it has ended."""
        self.greenlet = None
        if self._done is not None:
            self._done.set()

    def kill(self, exception):
        """End it where it still runs."""
        if self.greenlet is not None:
            self.greenlet.kill(exception, block=False)


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
        call = ServedCall(deadline_at_ms + LATE_FRAME_GRACE_MS, greenlet)
        self._calls[key] = call
        return call

    def end(self, call, reply, size, repeatable=False):
        """
        Note the end of a call.

        :param reply: message that answers it, None where it can't be kept.
        :param size: bytes that the message holds.
        :param repeatable: whether the call may run more than once, so that
            its fence need not outlast the deadline.
        """
        if repeatable:
            call.expires_ms = self._now_ms() + KEPT_MS
        if (
            reply is not None
            and self._kept_bytes + size <= MAX_KEPT_REPLY_BYTES
        ):
            call.reply = reply
            call.size = size
            self._kept_bytes += size
        call.end()

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
        fence = ServedCall(deadline_at_ms + LATE_FRAME_GRACE_MS, None)
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
