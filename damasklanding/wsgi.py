"""
damasklanding.wsgi
~~~~~~~~~~~~~~~~~~

WSGI servers of the administration API and the operations listener.
"""

import socket

from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer

__all__ = ['NoDelayHandler', 'wsgi_server']


class NoDelayHandler(WSGIHandler):
    """
    Sends without delay.

    Headers and body leave in separate segments; with Nagle's algorithm the
    second would wait for the delayed acknowledgement of the first.
    """

    def handle(self):
        """Serve one connection."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()


def wsgi_server(address, app):
    """
    Return a server that is not started yet.

    :param address: pair of IP number and port.
    """
    return WSGIServer(
        address, app, handler_class=NoDelayHandler, log=None, error_log=None
    )
