"""
bench.plain
~~~~~~~~~~~

A backend server that answers at once with the least work, for measuring
what nodes add.  Run as ``python -m bench.plain ADDRESS EGRESS SERVICE``; a
path that ends in ``/bytes/N`` gives a body of N bytes.
"""

from http.client import HTTPConnection
from http.client import HTTPException
import json
import os
import re
import socket
import sys

import gevent
from gevent import monkey
from gevent.server import StreamServer

__all__ = ['serve']

ANNOUNCE_MS = 500
BLOCK = bytes(range(256)) * 256
HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
BODY = b'{"balance": 12345, "currency": "JPY", "as_of": "2026-12-04"}'
LENGTH = re.compile(rb'/bytes/(\d+) ')
SMALL = f'{HEAD}Content-Length: {len(BODY)}\r\n\r\n'.encode() + BODY


def serve(address, egress, service):
    """Serve until killed, or until the starting process is gone."""
    server = StreamServer(_split(address), _connection)
    server.start()
    parent = os.getppid()
    while os.getppid() == parent:
        _announce(egress, service)
        gevent.sleep(ANNOUNCE_MS / 1000)


def _split(address):
    host, port = address.rsplit(':', 1)
    return host, int(port)


def _connection(sock, _address):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    data = b''
    while part := sock.recv(65_536):
        data += part
        while b'\r\n\r\n' in data:
            head, _, data = data.partition(b'\r\n\r\n')
            _answer(sock, head)


def _answer(sock, head):
    found = LENGTH.search(head.partition(b'\r\n')[0])
    if found is None:
        sock.sendall(SMALL)
        return
    left = int(found[1])
    sock.sendall(f'{HEAD}Content-Length: {left}\r\n\r\n'.encode())
    while left > 0:
        sock.sendall(BLOCK[:left])
        left -= len(BLOCK)


def _announce(egress, service):
    connection = HTTPConnection(*_split(egress), timeout=2)
    document = {'service': service, 'state': 'in', 'slots': 50}
    try:
        connection.request(
            'POST', '/damasklanding/announce', json.dumps(document)
        )
        connection.getresponse().read()
    except (OSError, HTTPException):
        pass
    finally:
        connection.close()


if __name__ == '__main__':
    monkey.patch_all()
    serve(*sys.argv[1:])
