"""
bench.standin
~~~~~~~~~~~~~

A stand-in backend server: slots, service times, cold start, shed answers,
drain, onward calls and faults on command.  It records every request, so
that a benchmark can check invariants from the backend server's side.
Run as ``python -m bench.standin JSON``; see :class:`Standin` for the fields.
"""

from collections import deque
from http.client import HTTPConnection
from http.client import HTTPException
import json
import os
import random
import socket
import sys
import time

from gevent import monkey

if __name__ == '__main__':
    monkey.patch_all()

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer

__all__ = ['Standin']

ANNOUNCE_MS = 500
CHUNK_BYTES = 65_536
KEY_HEADER = 'HTTP_DAMASKLANDING_KEY'
CONTEXT_HEADER = 'HTTP_DAMASKLANDING_CONTEXT'
#: Headers of a request that its record repeats.
RECORDED = {
    'organisation': 'HTTP_DAMASKLANDING_ORGANISATION',
    'importance': 'HTTP_DAMASKLANDING_IMPORTANCE',
    'work': 'HTTP_X_WORK_ID',
    'expected': 'HTTP_X_EXPECTED_ORGANISATION',
}


def now_ms():
    """Return the machine-wide monotonic time."""
    return time.monotonic() * 1000


class Handler(WSGIHandler):
    """Hands the socket to the application and sends without delay."""

    def handle(self):
        """Serve one connection."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self):
        """Return the WSGI environment with the connection in it."""
        environ = super().get_environ()
        environ['standin.socket'] = self.socket
        return environ

    def log_request(self):
        """Log nothing."""

    def log_error(self, msg, *args):
        """Log nothing."""


class Standin:
    """
    One stand-in backend server.

    Fields of the configuration, all optional but the first two:

    - ``address``, ``service``, ``egress`` (the node's loopback listener)
    - ``slots``, ``connections``: concurrency and the bound of its queue
    - ``service_ms``: mean service time; ``spread``: sigma of its logarithm
    - ``routes``: by path prefix, ``service_ms``, ``calls`` (onward paths)
      and ``body_bytes``
    - ``warm_up_ms``, ``cold_floor``: bearable load grows from the floor to
      all slots within the time after ``cold`` was set
    - ``slow``: factor on service times; ``fail``: share of failed answers
    - ``sheds_say_not_run``, ``cut``, ``silent``, ``late_ms``, ``state``
    - ``client_tries``: tries of each onward call
    """

    def __init__(self, configuration):
        self.address = ''
        self.service = ''
        self.egress = ''
        self.slots = 10
        self.connections = 100
        self.service_ms = 20.0
        self.spread = 0.3
        self.routes = {}
        self.warm_up_ms = 0
        self.cold_floor = 2
        self.slow = 1.0
        self.fail = 0.0
        self.sheds_say_not_run = True
        self.cut = False
        self.silent = False
        self.late_ms = 0
        self.state = 'in'
        self.announce_cold = False
        self.client_tries = 1
        self.seed = 1
        self.records = []
        self.running = 0
        self.waiting = deque()
        self.cold_since_ms = None
        self.set(configuration)
        self.random = random.Random(self.seed)

    def set(self, values):
        """Change fields while running."""
        for name, value in values.items():
            if name == 'cold':
                self.cold_since_ms = now_ms() if value else None
            else:
                setattr(self, name, value)

    def bearable(self):
        """Return the load that it bears now."""
        if self.cold_since_ms is None or not self.warm_up_ms:
            return self.slots
        share = (now_ms() - self.cold_since_ms) / self.warm_up_ms
        if share >= 1:
            self.cold_since_ms = None
            return self.slots
        return max(self.cold_floor, int(self.slots * share))

    def serve(self):
        """Serve until killed, or until the starting process is gone."""
        host, port = self.address.rsplit(':', 1)
        server = WSGIServer(
            (host, int(port)),
            self.application,
            handler_class=Handler,
            log=None,
            error_log=None,
        )
        server.start()
        if self.egress:
            gevent.spawn(self._announce_loop)
        parent = os.getppid()
        while os.getppid() == parent:
            gevent.sleep(1)

    def application(self, environ, start_response):
        """Answer one request."""
        path = environ['PATH_INFO']
        if path.startswith('/standin/'):
            return self._manage(path, environ, start_response)
        record = self._record(environ, path)
        if self.silent:
            record['ended'] = 'silent'
            gevent.sleep(3_600)
        if self.state != 'in' or len(self.waiting) >= self.connections:
            return self._shed(start_response, record)
        watcher = gevent.spawn(
            _kill_on_hang_up, environ['standin.socket'], gevent.getcurrent()
        )
        try:
            return self._run(environ, start_response, record)
        except HungUp:
            record['ended'] = 'cancelled'
            raise
        finally:
            watcher.kill(block=False)

    def _record(self, environ, path):
        record = {
            field: environ.get(variable, '')
            for field, variable in RECORDED.items()
        }
        record.update(
            at_ms=now_ms(),
            path=path,
            method=environ['REQUEST_METHOD'],
            key_seen=KEY_HEADER in environ,
            load=self.running + len(self.waiting),
            bearable=self.bearable(),
            cold=self.cold_since_ms is not None,
            started=False,
            ended='',
        )
        self.records.append(record)
        return record

    def _run(self, environ, start_response, record):
        if not self._take_slot(environ):
            return self._shed(start_response, record)
        record['started'] = True
        route = self._route(record['path'])
        try:
            body = environ['wsgi.input'].read()
            gevent.sleep(self._service_s(route))
            ended = self._call_onward(route, environ)
        finally:
            self._release_slot()
        if self.late_ms:
            gevent.sleep(self.late_ms / 1000)
        if ended == 'ok' and self.random.random() < self.fail:
            ended = 'failed'
        record['ended'] = ended
        record['ended_ms'] = now_ms()
        return self._finish(environ, start_response, ended, route, body)

    def _take_slot(self, environ):
        if self.running < self.slots and not self.waiting:
            self.running += 1
            return True
        event = Event()
        self.waiting.append(event)
        deadline_ms = environ.get('HTTP_DAMASKLANDING_DEADLINE_MS', '60000')
        try:
            got = event.wait(int(deadline_ms) / 1000)
        except BaseException:
            self._leave_queue(event)
            raise
        if not got:
            self._leave_queue(event)
        return got

    def _leave_queue(self, event):
        if event.is_set():
            self._release_slot()
        else:
            self.waiting.remove(event)

    def _release_slot(self):
        self.running -= 1
        if self.waiting and self.running < self.slots:
            self.running += 1
            self.waiting.popleft().set()

    def _route(self, path):
        for prefix, route in self.routes.items():
            if path.startswith(prefix):
                return route
        return {}

    def _service_s(self, route):
        mean = route.get('service_ms', self.service_ms) * self.slow
        factor = self.random.lognormvariate(0, self.spread)
        strain = max(1.0, self.running / max(self.bearable(), 1)) ** 2
        return mean * factor * strain / 1000

    def _call_onward(self, route, environ):
        for path in route.get('calls', ()):
            tries = range(self.client_tries)
            if not any(self._call_once(path, environ) for _ in tries):
                return 'failed'
        return 'ok'

    def _call_once(self, path, environ):
        headers = {
            'Damasklanding-Context': environ.get(CONTEXT_HEADER, ''),
            'X-Work-Id': environ.get('HTTP_X_WORK_ID', ''),
        }
        status = self._send_to_egress('GET', path, headers, timeout_s=30)
        return 0 < status < 500

    def _send_to_egress(self, method, path, headers, body=None, timeout_s=2):
        host, port = self.egress.rsplit(':', 1)
        connection = HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, HTTPException):
            return 0
        finally:
            connection.close()

    def _shed(self, start_response, record):
        record['ended'] = 'shed'
        headers = [('Content-Length', '4'), ('Retry-After', '1')]
        if self.sheds_say_not_run:
            headers.append(('Damasklanding-Outcome', 'not-run'))
        start_response('503 Service Unavailable', headers)
        return [b'shed']

    def _finish(self, environ, start_response, ended, route, body):
        if ended != 'ok':
            start_response('500 Failed', [('Content-Length', '6')])
            return [b'failed']
        work = environ.get('HTTP_X_WORK_ID', '')
        head = f'work={work};got={len(body)}'.encode()
        size = route.get('body_bytes', 0)
        headers = [
            ('Content-Length', str(size or len(head))),
            ('Content-Type', 'application/octet-stream'),
        ]
        start_response('200 OK', headers)
        if self.cut:
            return _cut_short(head, environ['standin.socket'])
        return _stream(size) if size else [head]

    def _manage(self, path, environ, start_response):
        result = {}
        if path == '/standin/set':
            self.set(json.load(environ['wsgi.input']))
        elif path == '/standin/records':
            result = self.records
        elif path == '/standin/take':
            result, self.records = self.records, []
        data = json.dumps(result).encode()
        start_response('200 OK', [('Content-Length', str(len(data)))])
        return [data]

    def _announce_loop(self):
        while True:
            announcement = {
                'service': self.service,
                'state': self.state,
                'cold': self.announce_cold,
                'slots': 0,
            }
            self._send_to_egress(
                'POST',
                '/damasklanding/announce',
                {'Content-Type': 'application/json'},
                json.dumps(announcement),
            )
            gevent.sleep(ANNOUNCE_MS / 1000)


class HungUp(BaseException):
    """Raised in a request whose caller has hung up."""


def _kill_on_hang_up(sock, greenlet):
    while True:
        gevent.socket.wait_read(sock.fileno())
        try:
            data = sock.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b''
        if not data:
            greenlet.kill(HungUp, block=False)
            return
        gevent.sleep(0.05)


def _cut_short(data, sock):
    yield data[: len(data) // 2]
    sock.shutdown(socket.SHUT_RDWR)
    raise ConnectionResetError


def _stream(size):
    block = bytes(range(256)) * (CHUNK_BYTES // 256)
    left = size
    while left > 0:
        yield block[: min(left, CHUNK_BYTES)]
        left -= CHUNK_BYTES


if __name__ == '__main__':
    Standin(json.loads(sys.argv[1])).serve()
