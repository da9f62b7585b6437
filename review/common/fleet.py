"""
Runs a small deployment for the cases of this review.

The processes of the system are started with the commands of the deploy file
and the settings that its templates give, on loopback addresses.  Backends,
clients and the operator are small stand-ins that follow the users' pages.
"""

from contextlib import contextmanager
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
)
#: Bounds of the site kitami-letters, as the settings file carries them.
BOUNDS = {
    'stableWindow': '3000ms',
    'ack': '4000ms',
    'drain': '2000ms',
    'grace': '6s',
    'configApply': '2000ms',
    'retryBudgetRatio': 0.2,
    'retryWindow': '10s',
    'budgetSlack': 49,
    'evacuate': '5000ms',
    'recovery': '15s',
}
HEARTBEAT_S = 1.5
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
EVACUATE_S = 5.0
CONFIG_APPLY_S = 2.0
ACK_S = 4.0
HOST = 'hulo84.example'
KEY = '6wsjnbanfqasnmgkcuyj'
OPERATOR_WAIT_S = 1.0  # without an answer, before another host is asked


class CannotRun(Exception):
    """The deployment did not come up, so the case says nothing."""


class Record:
    """Writes what was sent, answered and run, with times in seconds."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')  # noqa: SIM115
        self._lock = threading.Lock()
        self.started_s = time.monotonic()

    def now_s(self):
        """Return the time since the record began."""
        return time.monotonic() - self.started_s

    def note(self, text):
        """Write one line."""
        with self._lock:
            self._file.write(f'{self.now_s():8.3f} {text}\n')
            self._file.flush()

    def say(self, text):
        """Write one line here and to standard output."""
        self.note(text)
        print(f'{self.now_s():8.3f} {text}', flush=True)


class Machine:
    """One machine of the deployment, with its process."""

    def __init__(self, role, name, ip, zone, service=''):
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.process = None
        self.started_s = 0.0


class Backend:
    """
    A stand-in backend.

    It answers what names its instance or none, serves one request at a time
    on a connection, and pings the control address of its own machine.

    :ivar arrivals: time, id and path of each request that reached it and got
        no 421; it runs all of these.
    """

    def __init__(self, fleet, machine, instance, work_s=0.02, slots=72):
        self.fleet = fleet
        self.machine = machine
        self.instance = instance
        self.work_s = work_s
        self.slots = slots
        self.state = 'ready'
        self.pings = True
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.arrivals = []
        self.stopped = False
        self._lock = threading.Lock()
        self._sockets = set()
        self._listener = socket.create_server(
            (machine.ip, fleet.ports['app']), backlog=256
        )
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._ping_often, daemon=True).start()

    def stop(self):
        """End the backend: its listener and its connections close."""
        self.stopped = True
        self.pings = False
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()
        for sock in list(self._sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def ping_body(self):
        """Return the body of the next ping."""
        with self._lock:
            self.sequence += 1
            sequence = self.sequence
        return {
            'address': f'{self.machine.ip}:{self.fleet.ports["app"]}',
            'born': self.born_ms,
            'info': {
                'service': self.machine.service,
                'version': 'v1',
                'zone': self.machine.zone,
                'maxConcurrency': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': sequence,
                'warmupLeft': '0ms',
            },
        }

    def tell(self, method, body, wait_s=1.0):
        """Send a ping (PUT) or a departure (DELETE); return the status."""
        status, _, _ = call(
            self.machine.ip,
            self.fleet.ports['control'],
            method,
            f'/instances/{self.instance}',
            body,
            wait_s=wait_s,
        )
        sequence = (body.get('status') or {}).get('sequence', '-')
        state = (body.get('status') or {}).get('state', 'gone')
        self.fleet.record.note(
            f'ping {self.instance} {method} state={state} '
            f'sequence={sequence} -> {status}'
        )
        return status

    def depart(self):
        """Send DELETE with the start time; return the status."""
        return self.tell('DELETE', {'born': self.born_ms})

    def _ping_often(self):
        while not self.stopped:
            if self.pings:
                self.tell('PUT', self.ping_body())
            time.sleep(HEARTBEAT_S)

    def _accept(self):
        while not self.stopped:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with sock, sock.makefile('rb') as file:
                while head := _read_head(file):
                    sock.sendall(self._answer(head))
        except OSError:
            pass
        finally:
            self._sockets.discard(sock)

    def _answer(self, head):
        request_id = head.get('damasklanding-attempt-id', '')
        expected = head.get('damasklanding-expected-instance')
        path = head['line'].split()[1]
        if expected not in (None, self.instance):
            self.fleet.record.note(f'421 {self.instance} id={request_id}')
            return _reply('421 Misdirected Request', request_id, b'', False)
        self.arrivals.append((self.fleet.record.now_s(), request_id, path))
        self.fleet.record.note(f'run {self.instance} id={request_id} {path}')
        time.sleep(self.work_s)
        return _reply('200 OK', request_id, b'whole', True)


def _read_head(file):
    line = file.readline()
    if not line:
        return None
    head = {'line': line.decode('latin-1').strip()}
    while (line := file.readline()) not in (b'\r\n', b''):
        name, _, value = line.decode('latin-1').partition(':')
        head[name.lower()] = value.strip()
    file.read(int(head.get('content-length', 0)))
    return head


def _reply(status, request_id, body, signed):
    lines = [
        f'HTTP/1.1 {status}',
        f'Damasklanding-Attempt-Id: {request_id}',
        f'Content-Length: {len(body)}',
    ]
    if signed:
        lines.append('Damasklanding-Server-Signature: 3e1b.07.5a2')
    return '\r\n'.join([*lines, '', '']).encode() + body


def call(ip, port, method, path, body=None, headers=(), wait_s=1.0):
    """Send one request; return status, headers and body, 0 for no answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=wait_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        sent = {'Content-Type': 'application/json'} if data else {}
        connection.request(method, path, data, {**sent, **dict(headers)})
        answer = connection.getresponse()
        return answer.status, dict(answer.headers), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b''
    finally:
        connection.close()


class Clients:
    """
    Clients of one machine: requests at a steady rate, each on a connection.

    :ivar sent: time, id and status of each request.
    """

    def __init__(self, fleet, machine, path, per_s, timeout_ms=2_000):
        self.fleet = fleet
        self.machine = machine
        self.path = path
        self.sent = []
        self._pause_s = 1 / per_s
        self._timeout_ms = timeout_ms
        self._running = True
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        """Send no more."""
        self._running = False
        self._thread.join()
        time.sleep(0.3)

    def _run(self):
        due_s = time.monotonic()
        while self._running:
            threading.Thread(target=self._send, daemon=True).start()
            due_s += self._pause_s
            time.sleep(max(0.0, due_s - time.monotonic()))

    def _send(self):
        sent_s = self.fleet.record.now_s()
        request_id, status = self.fleet.request(
            self.machine, self.path, self._timeout_ms
        )
        self.sent.append((sent_s, request_id, status))


class Fleet:
    """A small deployment: machines of the core, and nodes with backends."""

    def __init__(self, record, folder, core_zones, nodes):
        """
        Lay the deployment out; :meth:`start` starts it.

        :param core_zones: zone of each core machine.
        :param nodes: triples of name, zone and service.
        """
        self.record = record
        self.folder = folder
        net = f'127.{random.randrange(20, 250)}.{random.randrange(1, 250)}'
        self.core = [
            Machine('control', f'core-{n}', f'{net}.{n + 10}', zone)
            for n, zone in enumerate(core_zones)
        ]
        self.nodes = [
            Machine('node', name, f'{net}.{n + 100}', zone, service)
            for n, (name, zone, service) in enumerate(nodes)
        ]
        self.zones = sorted({m.zone for m in self.machines()})
        self.ports = self._free_ports()
        self.backends = []
        with open(os.path.join(ROOT, 'deploy/system.toml'), 'rb') as file:
            self._roles = tomllib.load(file)['roles']
        self._version = 0
        self._ids = 0
        self._id_lock = threading.Lock()

    def machines(self):
        """Return all machines."""
        return self.core + self.nodes

    def start(self):
        """Start everything and wait until all nodes serve."""
        for machine in self.machines():
            self.run(machine, bootstrap=True)
        for number, machine in enumerate(self.nodes):
            self.backends.append(Backend(self, machine, f'i-{number}a7f3'))
        self.put_config(self.document(), wait_s=25)
        self._wait(
            lambda: all(
                call(m.ip, self.ports['ready'], 'GET', '/readyz')[0] == 200
                for m in self.nodes
            ),
            'a node is not ready',
        )
        for machine in self.nodes:
            for service in sorted({m.service for m in self.nodes}):
                self._wait(
                    lambda m=machine, s=service: (
                        self.request(m, f'/{s}/warm')[1] == 200
                    ),
                    f'{machine.name} does not serve {service}',
                )
        # Core machines that are no seeds join the others by themselves.
        time.sleep(5)

    def run(self, machine, bootstrap=False):
        """Start the process of a machine with the deploy file's command."""
        role = self._roles[machine.role]
        with open(os.path.join(ROOT, role['template'])) as file:
            text = _fill(file.read(), self._settings(machine, bootstrap))
        path = os.path.join(self.folder, f'{machine.name}.env')
        with open(path, 'w', encoding='utf-8') as file:
            file.write(text)
        words = role['run'].split()
        # The interpreter for which the build has placed the packages.
        words[0] = sys.executable
        kept = ('PATH', 'HOME', 'LANG')
        environ = {k: os.environ[k] for k in kept if k in os.environ}
        environ['PYTHONPATH'] = os.path.join(ROOT, 'target/deps')
        environ['PYTHONDONTWRITEBYTECODE'] = '1'
        environ['DAMASKLANDING_CONFIG'] = path
        log = os.path.join(self.folder, f'{machine.name}.log')
        with open(log, 'ab') as out:
            machine.process = subprocess.Popen(
                words, cwd=ROOT, env=environ, stdout=out, stderr=out
            )
        machine.started_s = self.record.now_s()
        self.record.note(f'start {machine.name} {machine.ip}')

    def signal(self, machine, number):
        """Send a signal to the process of a machine."""
        self.record.say(f'signal {machine.name} {signal.Signals(number).name}')
        machine.process.send_signal(number)

    def kill(self, machine):
        """Kill the process of a machine, and wait for its end."""
        self.signal(machine, signal.SIGKILL)
        machine.process.wait()

    def stop(self):
        """End all processes that were started."""
        for machine in self.machines():
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for machine in self.machines():
            if machine.process is not None:
                machine.process.wait()
        for backend in self.backends:
            if not backend.stopped:
                backend.stop()

    def request(self, machine, path, timeout_ms=2_000, method='GET'):
        """Send one client request; return its id and the status, 0 if none."""
        with self._id_lock:
            self._ids += 1
            request_id = f'{self._ids:016x}'
        headers = {
            'Host': HOST,
            'Damasklanding-Attempt-Id': request_id,
            'Damasklanding-Deadline-Ms': str(timeout_ms),
            'Authorization': f'Token {KEY}',
        }
        status, _, _ = call(
            machine.ip,
            self.ports['outbound'],
            method,
            path,
            headers=headers,
            wait_s=timeout_ms / 1000 + 0.5,
        )
        self.record.note(f'sent {machine.name} id={request_id} -> {status}')
        return request_id, status

    def order(self, method, path, body=None, first=None, wait_s=15):
        """
        Send an order of the operator until it is answered.

        Without an answer within a second, or after a 5xx, the same order is
        sent to the next machine of the core.

        :return: status and body of the answer, status 0 if none came.
        """
        hosts = [m for m in self.core if m.process.poll() is None]
        if first is not None:
            hosts.remove(first)
            hosts.insert(0, first)
        until_s = time.monotonic() + wait_s
        pause_s = 0.05
        answer = b''
        while time.monotonic() < until_s:
            for host in hosts:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    break
                status, _, answer = call(
                    host.ip,
                    self.ports['control'],
                    method,
                    path,
                    body,
                    wait_s=min(OPERATOR_WAIT_S, left_s),
                )
                self.record.say(
                    f'order {method} {path} to {host.name} -> {status}'
                )
                if status and status < 500 and status not in (408, 429):
                    return status, answer
                time.sleep(pause_s)
                pause_s = min(0.5, pause_s * 1.5)
        return 0, answer

    def document(self, **changes):
        """Return the next desired state."""
        base = self._version
        version = base + 2
        rules = [
            {
                'name': f'r-{service}',
                'routeType': 'idempotent',
                'targetLatency': '1500ms',
                'priority': 1,
                'public': False,
                'match': {'pathPrefix': f'/{service}/'},
                'action': {
                    'service': service,
                    'timeout': '1200ms',
                    'maxAttempts': 2,
                },
            }
            for service in sorted({m.service for m in self.nodes})
        ]
        return {
            'version': f'{version:08x}',
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeout': '3000ms',
                'idleTimeout': '15000ms',
            },
            'tenants': [
                {
                    'name': 'pulo780',
                    'apiKeys': [KEY],
                    'priority': 1,
                    'ratePerS': 2000,
                    'burst': 2000,
                }
            ],
            'baseVersion': f'{base:08x}',
            'listeners': [{'host': HOST, 'rules': rules}],
            'clusters': [
                {
                    'name': service,
                    'healthPath': '/healthz',
                    'maxConnections': 532,
                    'protocol': 'h1',
                    'tls': False,
                    'warmup': '3s',
                    'warmupPerS': 33.0,
                }
                for service in sorted({m.service for m in self.nodes})
            ],
            **changes,
        }

    def put_config(self, document, wait_s=10):
        """Send a desired state; return the status, 0 if none came."""
        status, _ = self.order('PUT', '/config', document, wait_s=wait_s)
        if status == 200:
            self._version = int(document['version'], 16)
        return status

    def _wait(self, condition, problem, limit_s=20):
        until_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until_s:
                raise CannotRun(problem)
            time.sleep(0.1)

    def _settings(self, machine, bootstrap):
        ports = self.ports
        ip = machine.ip
        is_core = machine.role == 'control'
        return {
            'nodeId': machine.name,
            'ip': ip,
            'zone': machine.zone,
            'region': 'doto',
            'bindAddresses': {
                'outbound': f'{ip}:{ports["outbound"]}',
                'readyAddress': f'{ip}:{ports["ready"]}',
                'control': f'{ip}:{ports["control"]}',
            },
            'internalPortRange': [ports['inner'], ports['inner'] + 1],
            'seedNodes': ','.join(
                f'{m.ip}:{ports["control"]}' for m in self.core[:3]
            ),
            'bootstrap': 'true' if bootstrap else 'false',
            'dataDir': os.path.join(self.folder, machine.name)
            if is_core
            else '',
            'bounds': BOUNDS,
            'appAddress': f'{ip}:{ports["app"]}',
            'service': machine.service,
        }

    def _free_ports(self):
        names = ('control', 'inner', 'inner2', 'outbound', 'ready', 'app')
        for _ in range(50):
            base = random.randrange(20_000, 30_000)
            if all(
                _is_free(m.ip, base + n)
                for m in self.machines()
                for n in range(len(names))
            ):
                return {name: base + n for n, name in enumerate(names)}
        raise CannotRun('no free ports')


def _is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def _fill(template, fields):
    def value(match):
        found = fields
        for part in match[1].split('.'):
            found = found[int(part) if part.isdigit() else part]
        return str(found)

    return re.sub(r'\{\{([A-Za-z0-9.]+)\}\}', value, template)


@contextmanager
def fleet(folder, core_zones, nodes):
    """Run a deployment; its record is written to the folder of the case."""
    record = Record(os.path.join(folder, 'record.txt'))
    with tempfile.TemporaryDirectory(prefix='review-') as data:
        running = Fleet(record, data, core_zones, nodes)
        try:
            running.start()
            record.say('the deployment serves')
            yield running
        finally:
            running.stop()


def run_case(function):
    """Run a case and exit with 1 if it broke its rule, 0 if it held."""
    try:
        broken = function()
    except CannotRun as error:
        print(f'the case could not run: {error}')
        sys.exit(2)
    except Exception:  # noqa: BLE001
        # An error of the case itself says nothing of the rule.
        traceback.print_exc()
        sys.exit(2)
    sys.exit(1 if broken else 0)
