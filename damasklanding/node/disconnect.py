"""
damasklanding.node.disconnect
~~~~~~~~~~~~~~~~~~~~~~~~~

Cancels a running request when its caller closes the connection.
"""

from contextlib import contextmanager
from functools import partial

import gevent

from damasklanding.sockets import has_input
from damasklanding.sockets import peer_has_closed

__all__ = ['CallerDisconnected', 'DisconnectWatcher', 'always_cancel']

READ = 1  # event of an io watcher


class CallerDisconnected(gevent.GreenletExit):
    """Raised in a request whose caller has closed its connection."""


def always_cancel():
    """Return True, to cancel the request in any state."""
    return True


class DisconnectWatcher:
    """
    Watches a caller connection for a disconnect while its requests run.

    A caller that closes only its sending side counts as disconnected.

    :param sock: socket of the connection.
    """

    def __init__(self, sock):
        self._sock = sock
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), READ)
        self._greenlet = None
        self._should_cancel = None

    @contextmanager
    def watching(self, body, should_cancel):
        """
        Cancel the current greenlet if the caller disconnects in the block.

        :param body: body of the request.  A streamed one is read to its end
            before watching starts; until then, reading the body fails if the
            caller disconnects.
        :param should_cancel: see :meth:`start`.
        """
        self.watch(body, should_cancel)
        try:
            yield
        finally:
            body.on_end = None
            self.stop()

    def watch(self, body, should_cancel):
        """Start watching as :meth:`watching` does; :meth:`stop` ends it."""
        if body.data is None:
            body.on_end = partial(self.start, should_cancel)
        else:
            self.start(should_cancel)

    def wait_readable(self):
        """Wait until the caller has sent something or closed."""
        gevent.get_hub().wait(self._watcher)

    def has_input(self):
        """Return whether the caller has sent bytes that were not read."""
        return has_input(self._sock)

    def start(self, should_cancel):
        """
        Cancel the current greenlet when the caller disconnects.

        :param should_cancel: function called when the caller has
            disconnected; returns whether to cancel the request.
        """
        self._greenlet = gevent.getcurrent()
        self._should_cancel = should_cancel
        self._watcher.start(self._on_readable)

    def stop(self):
        """Stop watching until the next start."""
        self._greenlet = None
        self._watcher.stop()

    def close(self):
        """Release the watcher; must precede the close of the connection."""
        self.stop()
        self._watcher.close()

    def _on_readable(self):
        # A readable socket without end of file holds the next request.
        self._watcher.stop()
        greenlet = self._greenlet
        if (
            greenlet is not None
            and peer_has_closed(self._sock)
            and self._should_cancel()
        ):
            greenlet.kill(CallerDisconnected, block=False)
