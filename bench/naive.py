"""
bench.naive
~~~~~~~~~~~

The naive version to compare with: no limits beyond the backend server's
own, first in first out, three tries a hop, round robin.  One process beside
each backend server.  Run as ``python -m bench.naive JSON`` with ``address``
(callers), ``egress`` (the backend server's onward calls) and ``services``
(backend addresses by path prefix).
"""

from http.client import HTTPConnection
from http.client import HTTPException
import itertools
import json
import os
import socket
import sys

from gevent import monkey

if __name__ == '__main__':
    monkey.patch_all()

import gevent
from gevent.pywsgi import WSGIServer

from bench.standin import Handler

__all__ = ['Naive']

TRIES = 3
TIMEOUT_S = 5
PASSED_HEADERS = (
    ('HTTP_X_WORK_ID', 'X-Work-Id'),
    ('HTTP_X_EXPECTED_ORGANISATION', 'X-Expected-Organisation'),
)


class Naive:
    """A round-robin proxy with three tries."""

    def __init__(self, configuration):
        self.address = configuration['address']
        self.egress = configuration['egress']
        self.services = {
            prefix: itertools.cycle(addresses)
            for prefix, addresses in configuration['services'].items()
        }
        self._idle = {}

    def serve(self):
        """Serve until killed, or until the starting process is gone."""
        for address in (self.address, self.egress):
            host, port = address.rsplit(':', 1)
            WSGIServer(
                (host, int(port)),
                self.application,
                handler_class=Handler,
                log=None,
                error_log=None,
            ).start()
        parent = os.getppid()
        while os.getppid() == parent:
            gevent.sleep(1)

    def application(self, environ, start_response):
        """Pass one request on, up to three times."""
        path = environ['PATH_INFO']
        body = environ['wsgi.input'].read()
        headers = {
            name: environ[variable]
            for variable, name in PASSED_HEADERS
            if variable in environ
        }
        status, answer = 502, b''
        for prefix, addresses in self.services.items():
            if path.startswith(prefix):
                status, answer = self._try(
                    addresses, environ['REQUEST_METHOD'], path, body, headers
                )
        start_response(
            f'{status} Answer', [('Content-Length', str(len(answer)))]
        )
        return [answer]

    def _try(self, addresses, method, path, body, headers):
        status, answer = 502, b''
        for _ in range(TRIES):
            status, answer = self._send(
                next(addresses), method, path, body, headers
            )
            if status < 500:
                break
        return status, answer

    def _send(self, address, method, path, body, headers):
        idle = self._idle.setdefault(address, [])
        connection = idle.pop() if idle else _connect(address)
        if connection is None:
            return 502, b''
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            data = answer.read()
        except (OSError, HTTPException):
            connection.close()
            return 504, b''
        idle.append(connection)
        return answer.status, data


def _connect(address):
    host, port = address.rsplit(':', 1)
    connection = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.connect()
    except OSError:
        return None
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


if __name__ == '__main__':
    Naive(json.loads(sys.argv[1])).serve()
