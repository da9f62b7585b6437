"""
damasklanding.node.hangup
~~~~~~~~~~~~~~~~~~~~~~~~~

Notices that the caller of a running request has closed its connection.
"""

from contextlib import contextmanager
import socket

import gevent

__all__ = ['CallerGone', 'cancel_on_hangup']

READ = 1


class CallerGone(gevent.GreenletExit):
    """Raised in a request whose caller has closed its connection."""


@contextmanager
def cancel_on_hangup(sock, unwanted):
    """
    Cancel the current greenlet when the caller hangs up.

    A caller that closes only its sending side counts as gone.

    :param sock: the caller's connection, with no body left to read.
    :param unwanted: function that returns whether to cancel by then.
    """
    greenlet = gevent.getcurrent()
    watcher = gevent.get_hub().loop.io(sock.fileno(), READ)

    def on_readable():
        # Readable without an end means that the next request waits.
        watcher.stop()
        if _closed(sock) and unwanted():
            greenlet.kill(CallerGone, block=False)

    watcher.start(on_readable)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()


def _closed(sock):
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
