"""
platform_fleet
~~~~~~~~~~~~~~

Runs a fleet of daemon processes on loopback addresses, with simulated backend
servers, callers and operators of the platform.
"""

from contextlib import contextmanager
import http.client
import json
import os
import signal
import subprocess
import sys
import time

import gevent
from gevent import socket as gsocket
from gevent.pool import Pool
from gevent.server import StreamServer

SECRET = 'a-secret-of-the-tests'
KEY = '6wsjnbanfqasnmgkcuyj'
PEER_PORT = 17_000
CALLER_PORT = 17_001
ANNOUNCE_PORT = 17_002
READY_PORT = 17_003
BACKEND_PORT = 17_004
OPERATOR_PORT = 17_005
SERVICES = ('desk', 'ledger')


def rule(name, prefix, service, kind='idempotent', public=False):
    return {
        'name': name,
        'routeType': kind,
        'targetLatency': '1000ms',
        'priority': 0,
        'public': public,
        'match': {'pathPrefix': prefix},
        'action': {'service': service, 'timeout': '2s', 'maxAttempts': 2},
    }


def document(version, base, extra=()):
    rules = [
        rule('r-1', '/desk/', 'desk'),
        rule('r-2', '/once/', 'ledger', kind='non_idempotent'),
        rule('r-3', '/inner/', 'ledger', public=True),
        *extra,
    ]
    return {
        'version': f'{version:08x}',
        'baseVersion': f'{base:08x}',
        'limits': {'idleTimeout': '15000ms'},
        'tenants': [
            {'name': 'lender', 'apiKeys': [KEY], 'ratePerS': 500, 'burst': 500}
        ],
        'listeners': [{'host': 'h.example', 'rules': rules}],
        'clusters': [
            {
                'name': service,
                'healthPath': '/healthz',
                'maxConnections': 100,
                'warmup': '3s',
                'warmupPerS': 50.0,
            }
            for service in SERVICES
        ],
    }


class Backend:
    """
    A simulated backend server.

    :ivar requests: request heads that it has read, as dicts by lower-case
        name.
    :ivar work: function of a request head, run before the answer; returns the
        status line of the answer, None for a success.
    :ivar notices: header lines that every answer carries.
    :ivar crash_path: path at which it closes its listener and all connections,
        as a process that ends does; None if there is none.
    :ivar down_s: time until it then starts again.
    :ivar born: number of its present start.
    :ivar is_up: whether it listens.
    """

    def __init__(self, address, instance):
        self.address = address
        self.instance = instance
        self.requests = []
        self.work = lambda head: None
        self.notices = []
        self.crash_path = None
        self.down_s = 1.0
        self.born = 1_000
        self.is_up = False
        self.start()

    def start(self):
        self.is_up = True
        self._connections = Pool()
        self._server = StreamServer(
            self.address, self._serve, backlog=64, spawn=self._connections
        )
        self._server.start()

    def stop(self):
        """Close the listener and all connections."""
        self.is_up = False
        self._server.stop(timeout=0)
        self._connections.kill()

    def crash(self):
        """Stop, and start again after a while."""
        self.stop()
        gevent.sleep(self.down_s)
        self.born += 1
        self.start()

    def _serve(self, sock, _peer):
        with sock, sock.makefile('rb') as file:
            self._answer_requests(sock, file)

    def _answer_requests(self, sock, file):
        while head := self._read_head(file):
            self.requests.append(head)
            if head['line'].split()[1] == self.crash_path:
                gevent.spawn(self.crash)
                gevent.sleep(1)  # until it is ended
            status = self.work(head) or '200 OK'
            expected = head.get('damasklanding-expected-instance')
            if expected not in (None, self.instance):
                reply = _reply(head, '421 Misdirected', b'', signed='')
            else:
                reply = _reply(head, status, b'whole', 's.1', self.notices)
            sock.sendall(reply)

    def _read_head(self, file):
        line = file.readline()
        if not line:
            return None
        head = {'line': line.decode().strip()}
        while (line := file.readline()) not in (b'\r\n', b''):
            name, _, value = line.decode().partition(':')
            head[name.lower()] = value.strip()
        file.read(int(head.get('content-length', 0)))
        return head


def _reply(head, status, body, signed, notices=()):
    lines = [
        f'HTTP/1.1 {status}',
        f'Damasklanding-Attempt-Id: {head.get("damasklanding-attempt-id")}',
        f'Content-Length: {len(body)}',
        *notices,
    ]
    if signed:
        lines.append(f'Damasklanding-Server-Signature: {signed}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class PlatformFleet:
    """
    Three control hosts and some nodes with backend servers.

    :param services: service of each node.
    :ivar grace_s: time after SIGTERM within which a process must exit.
    :ivar slots: of each backend server, as announced.
    """

    grace_s = 3

    def __init__(self, folder, services=SERVICES):
        self.services = services
        self.folder = str(folder)
        self.net = f'127.{os.getpid() % 200 + 20}'
        self.control = [f'{self.net}.1.{n}' for n in (1, 2, 3)]
        self.nodes = [f'{self.net}.2.{n + 1}' for n in range(len(services))]
        self.processes = {}
        self.backends = [
            Backend((ip, BACKEND_PORT), f'i-{number}')
            for number, ip in enumerate(self.nodes)
        ]
        self.slots = [50] * len(services)
        self.sequence = 0

    def start(self):
        for ip in self.control + self.nodes:
            self.run(ip)

    def run(self, ip):
        path = os.path.join(self.folder, f'{ip}.env')
        with open(path, 'w', encoding='utf-8') as file:
            file.write('\n'.join(self._settings(ip)))
        with open(os.path.join(self.folder, f'{ip}.log'), 'ab') as log:
            self.processes[ip] = subprocess.Popen(
                [sys.executable, '-m', 'damasklanding.daemon'],
                env={**os.environ, 'DAMASKLANDING_CONFIG': path},
                stdout=log,
                stderr=log,
            )

    def kill_all(self):
        """Kill all processes and start them again on their own data."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.start()

    def _settings(self, ip):
        common = {
            'INTERFACE': 'platform',
            'DATA_CENTRE': 'kushiro',
            'PEER_ADDRESS': f'{ip}:{PEER_PORT}',
            'SEED_HOSTS': ','.join(
                f'{c}:{OPERATOR_PORT}' for c in self.control
            ),
            'SECRET': SECRET,
            'LOG_JSON': 'true',
            'STOP_GRACE_MS': f'{self.grace_s}s',
        }
        if ip in self.control:
            common |= {
                'ROLES': 'control',
                'NAME': ip,
                'OPERATOR_ADDRESS': f'{ip}:{OPERATOR_PORT}',
                'DATA_FOLDER': os.path.join(self.folder, ip),
                'BOOTSTRAP': 'true',
            }
        else:
            number = self.nodes.index(ip)
            common |= {
                'ROLES': 'node',
                'NAME': f'n{number}',
                'CALLER_ADDRESS': f'{ip}:{CALLER_PORT}',
                'ANNOUNCE_ADDRESS': f'{ip}:{ANNOUNCE_PORT}',
                'READINESS_ADDRESS': f'{ip}:{READY_PORT}',
                'BACKEND_ADDRESS': f'{ip}:{BACKEND_PORT}',
                'BACKEND_SERVICE': self.services[number],
            }
        return [f'DAMASKLANDING_{k}={v}' for k, v in common.items()]

    def call(self, ip, port, method, path, body=None, headers=()):
        """Return status, headers and body; status 0 without an answer."""
        connection = http.client.HTTPConnection(ip, port)
        try:
            # A gevent socket, since the simulated backend servers run in this
            # process.
            connection.sock = gsocket.create_connection((ip, port), 5)
            data = json.dumps(body).encode() if body is not None else None
            connection.request(method, path, data, dict(headers))
            answer = connection.getresponse()
            return answer.status, dict(answer.headers), answer.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b''
        finally:
            connection.close()

    def request(self, number, path, key=KEY, request_id='9c41', method='GET'):
        headers = {
            'Host': 'h.example',
            'Damasklanding-Attempt-Id': request_id,
            'Damasklanding-Deadline-Ms': '2000',
        }
        if key:
            headers['Authorization'] = f'Token {key}'
        ip = self.nodes[number]
        return self.call(ip, CALLER_PORT, method, path, headers=headers)

    def operator(self, method, path, body=None, number=0):
        ip = self.control[number]
        return self.call(ip, OPERATOR_PORT, method, path, body)

    def ready(self, number):
        return self.call(self.nodes[number], READY_PORT, 'GET', '/readyz')[0]

    def announce(self, number, state='ready'):
        return self.send_announcement(number, state)[0]

    def send_announcement(self, number, state):
        """Return the status and the body of the answer."""
        self.sequence += 1
        ip = self.nodes[number]
        body = {
            'address': f'{ip}:{BACKEND_PORT}',
            'born': self.backends[number].born,
            'info': {
                'service': self.services[number],
                'maxConcurrency': self.slots[number],
            },
            'status': {
                'state': state,
                'sequence': self.sequence,
                'warmupLeft': '0ms',
            },
        }
        instance = self.backends[number].instance
        path = f'/instances/{instance}'
        status, _, answer = self.call(ip, ANNOUNCE_PORT, 'PUT', path, body)
        return status, answer

    def announce_often(self, period_s=0.3):
        """Announce each backend server that is up, until killed."""
        while True:
            for number, backend in enumerate(self.backends):
                if backend.is_up:
                    self.announce(number)
            gevent.sleep(period_s)

    def logs(self):
        text = b''
        for name in os.listdir(self.folder):
            if name.endswith('.log'):
                with open(os.path.join(self.folder, name), 'rb') as file:
                    text += file.read()
        return text

    def log_of(self, ip):
        """Return what the process at an address has written."""
        with open(os.path.join(self.folder, f'{ip}.log'), 'rb') as file:
            return file.read().decode()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        for backend in self.backends:
            backend.stop()


def eventually(condition, timeout_s=20):
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, 'condition not met in time'
        gevent.sleep(0.05)


@contextmanager
def platform_fleet(folder, services=SERVICES, build=PlatformFleet):
    """Run a fleet with its first configuration in force."""
    fleet = build(folder, services)
    try:
        fleet.start()
        eventually(
            lambda: fleet.operator('PUT', '/config', document(1, 0))[0] == 200
        )
        for number in range(len(fleet.nodes)):
            eventually(lambda n=number: fleet.announce(n) == 200)
        numbers = range(len(fleet.nodes))
        eventually(lambda: all(fleet.ready(n) == 200 for n in numbers))
        eventually(
            lambda: all(
                fleet.request(n, path)[0] == 200
                for n in numbers
                for path in ('/desk/1', '/once/1')
            )
        )
        yield fleet
    finally:
        fleet.stop()
