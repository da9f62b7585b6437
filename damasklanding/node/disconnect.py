"""
damasklanding.node.disconnect
~~~~~~~~~~~~~~~~~~~~~~~~~

Notices that the caller of a running request has closed its connection.
"""

from contextlib import contextmanager
from functools import partial
import socket

import gevent

__all__ = ['CallerDisconnected', 'DisconnectWatcher', 'always_cancel']

READ = 1


class CallerDisconnected(gevent.GreenletExit):
    """Raised in a request whose caller has closed its connection."""


def always_cancel():
    """Cancel whatever has become of the request by then."""
    return True


class DisconnectWatcher:
    """
    Watches one caller connection while its requests run.

    A caller that closes only its sending side counts as gone.

    :param sock: the connection.
    """

    def __init__(self, sock):
        self._sock = sock
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), READ)
        self._greenlet = None
        self._unwanted = None

    @contextmanager
    def watching(self, body, should_cancel):
        """
        Cancel the current greenlet when the caller hangs up in the block.

        :param body: the request's body; until a streamed one has been read,
            a hang-up shows as a cut body instead.
        :param should_cancel: see :meth:`start`.
        """
        self.watch(body, should_cancel)
        try:
            yield
        finally:
            body.on_end = None
            self.stop()

    def watch(self, body, should_cancel):
        """Do the first half of :meth:`watching`; :meth:`stop` ends it."""
        if body.data is None:
            body.on_end = partial(self.start, should_cancel)
        else:
            self.start(should_cancel)

    def wait_readable(self):
        """Wait until the caller has sent something or closed."""
        gevent.get_hub().wait(self._watcher)

    def start(self, should_cancel):
        """
        Cancel the current greenlet when the caller hangs up.

        :param should_cancel: function that returns whether to cancel by then.
        """
        self._greenlet = gevent.getcurrent()
        self._unwanted = should_cancel
        self._watcher.start(self._on_readable)

    def stop(self):
        """Stop watching until the next start."""
        self._greenlet = None
        self._watcher.stop()

    def close(self):
        """Stop watching for good, before the connection is closed."""
        self.stop()
        self._watcher.close()

    def _on_readable(self):
        # Readable without an end means that the next request waits.
        self._watcher.stop()
        greenlet = self._greenlet
        if greenlet is not None and self._closed() and self._unwanted():
            greenlet.kill(CallerDisconnected, block=False)

    def _closed(self):
        sock = self._sock
        timeout = sock.gettimeout()
        sock.settimeout(0.0)
        try:
            return not sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            sock.settimeout(timeout)
