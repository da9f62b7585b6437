"""
damasklanding.sockets
~~~~~~~~~~~~~~~~~~~~~

Looks at what a connection has received without reading it.
"""

import socket

__all__ = ['has_input', 'peer_has_closed']


def has_input(sock):
    """Return whether the peer has sent bytes that were not read."""
    try:
        return bool(_peek(sock))
    except OSError:
        return False


def peer_has_closed(sock):
    """
    Return whether the peer has closed the connection.

    A peer that closed only its sending side counts as one that has closed.
    """
    try:
        return not _peek(sock)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _peek(sock):
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return sock.recv(1, socket.MSG_PEEK)
    finally:
        sock.settimeout(timeout)
