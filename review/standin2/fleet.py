"""
A small deployment for the scripts of the second review.

It starts the processes of ``deploy/system.toml`` on loopback addresses, with
settings rendered from the templates there, and stands in for the platform,
the backend servers, the clients and the operator.  It uses the standard
library only.
"""

import contextlib
import http.client
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
)
KEY = '6wsjnbanfqasnmgkcuyj'
HOST = 'hulo84.example'
HEARTBEAT_S = 1.5
BOUNDS = {
    'drain': '2000ms',
    'grace': '6s',
    'retryBudgetRatio': 0.2,
    'retryWindow': '10s',
    'budgetSlack': 49,
}
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0

_PLACEHOLDER = re.compile(r'\{\{([A-Za-z0-9_.]+)\}\}')


def now():
    """Return seconds on the steady clock."""
    return time.monotonic()


def wait_for(condition, timeout_s):
    """Wait until a condition holds; return whether it does."""
    until = now() + timeout_s
    while not condition():
        if now() > until:
            return False
        time.sleep(0.05)
    return True


class Record:
    """The file ``record.txt``: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')  # noqa: SIM115
        self._lock = threading.Lock()
        self._started = now()

    def at(self, moment):
        """Return a moment as seconds since the start."""
        return moment - self._started

    def note(self, text, moment=None):
        """Write one line."""
        moment = now() if moment is None else moment
        with self._lock:
            self._file.write(f'{self.at(moment):8.3f} {text}\n')
            self._file.flush()


def free_ports(ip, count):
    """Return ports that are free at an address now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def call(address, method, path, body=None, headers=(), timeout_s=5.0):
    """Return status, headers and body; status 0 without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(method, path, body, dict(headers))
        answer = connection.getresponse()
        return answer.status, dict(answer.headers), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b''
    finally:
        connection.close()


def read_exactly(file, size):
    """Read bytes up to a size, fewer at the end of the connection."""
    data = b''
    while len(data) < size:
        part = file.read(size - len(data))
        if not part:
            break
        data += part
    return data


def read_head(file):
    """Return the first line and the headers, None at the end."""
    line = file.readline()
    if not line:
        return None
    headers = {}
    while (field := file.readline()) not in (b'\r\n', b''):
        name, _, value = field.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    return line.decode('latin-1').strip(), headers


def read_body(file, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        # An end within the body is a ValueError, as a line is missing then.
        while size := int(file.readline().split(b';')[0], 16):
            parts.append(read_exactly(file, size))
            file.readline()
        while file.readline() not in (b'\r\n', b''):
            pass
        return b''.join(parts)
    return read_exactly(file, int(headers.get('content-length', 0)))


class Backend:
    """
    A backend server beside a node, as ``PROTOCOL.md`` describes it.

    :ivar runs: pairs of time and attempt id, at the begin of each run.
    :ivar work_s: time for which it works on a request.
    """

    def __init__(self, record, address, service, control, zone='kushiro'):
        self.record = record
        self.address = address
        self.service = service
        self.control = control
        self.zone = zone
        self.slots = 64
        self.work_s = 0.05
        self.answer = b'whole'
        self.runs = []
        self.ends = []
        self.sequence = 0
        self.state = 'ready'
        self.is_up = False
        self.pings = threading.Event()
        self._lock = threading.Lock()
        self._sockets = set()
        self._listener = None

    def start(self, instance):
        """Begin a boot with a new id."""
        self.instance = instance
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.is_up = True
        self._listener = socket.create_server(self.address, backlog=256)
        self.pings.set()
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def exit(self):
        """End the process: close the listener and all connections."""
        self.is_up = False
        self.pings.clear()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            for sock in self._sockets:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def warmup_ms(self):
        """Return for how much longer it is cold."""
        return 0

    def ping_body(self):
        """Return the body of the next ping."""
        self.sequence += 1
        return json.dumps(
            {
                'address': '{}:{}'.format(*self.address),
                'born': self.born,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'maxConcurrency': self.slots,
                },
                'status': {
                    'state': self.state,
                    'sequence': self.sequence,
                    'warmupLeft': f'{self.warmup_ms()}ms',
                },
            }
        )

    def send_ping(self, body, timeout_s=1.0, to=None):
        """Send a ping; return whether it was acknowledged."""
        status, _, _ = call(
            to or self.control,
            'PUT',
            f'/instances/{self.instance}',
            body,
            {'Content-Type': 'application/json'},
            timeout_s,
        )
        return 200 <= status < 300

    def send_leave(self):
        """Say that it leaves; return whether that was acknowledged."""
        status, _, _ = call(
            self.control, 'DELETE', f'/instances/{self.instance}'
        )
        return 200 <= status < 300

    def _beat(self):
        while self.is_up and self.pings.is_set():
            acknowledged = self.send_ping(self.ping_body())
            time.sleep(HEARTBEAT_S if acknowledged else 0.2)

    def _accept(self):
        listener = self._listener
        while self.is_up:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._sockets.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        try:
            with sock, sock.makefile('rb') as file:
                while self.is_up and (head := read_head(file)):
                    body = read_body(file, head[1])
                    if not self.is_up:
                        return
                    self.handle(sock, *head, body)
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._sockets.discard(sock)

    def handle(self, sock, line, headers, _body):
        """Serve one request."""
        attempt = headers.get('damasklanding-attempt-id', '')
        if line.split()[1] == '/healthz':
            sock.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                b'Damasklanding-Instance-Id: '
                + self.instance.encode()
                + b'\r\n\r\n'
            )
            return
        if headers.get('damasklanding-expected-instance') not in (
            None,
            self.instance,
        ):
            sock.sendall(
                b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n'
                b'Damasklanding-Not-Executed: 1\r\n'
                b'Damasklanding-Attempt-Id: ' + attempt.encode() + b'\r\n\r\n'
            )
            return
        begun = now()
        self.runs.append((begun, attempt))
        self.record.note(f'{self.instance} runs {attempt}', begun)
        time.sleep(self.work_s)
        sock.sendall(
            b'HTTP/1.1 200 OK\r\n'
            + f'Damasklanding-Attempt-Id: {attempt}\r\n'.encode()
            + f'Damasklanding-Server-Signature: {self.instance}\r\n'.encode()
            + f'Content-Length: {len(self.answer)}\r\n\r\n'.encode()
            + self.answer
        )
        self.ends.append((now(), attempt))


class Fleet:
    """
    Control hosts and nodes, as processes, with their settings.

    :param services: service of the backend server beside each node.
    """

    def __init__(self, record, services, control=3, net=None):
        self.record = record
        self.net = net or f'127.{os.getpid() % 200 + 20}'
        self.folder = tempfile.mkdtemp(prefix='damasklanding-review-')
        with open(os.path.join(ROOT, 'deploy/system.toml'), 'rb') as file:
            self.roles = tomllib.load(file)['roles']
        self.control = [f'{self.net}.1.{n + 1}' for n in range(control)]
        self.nodes = [f'{self.net}.2.{n + 1}' for n in range(len(services))]
        self.services = dict(zip(self.nodes, services, strict=True))
        # The ports are the same on all hosts.
        ports = free_ports(self.nodes[0], 7)
        self.peer, self.metrics = ports[0], ports[1]
        self.outbound, self.ready, self.announce = ports[2:5]
        self.app, self.inbound = ports[5:7]
        self.processes = {}
        self.bootstrap = True
        self.proxies = {}

    def settings_of(self, ip):
        """Return the fields that the platform fills in."""
        is_control = ip in self.control
        number = (self.control if is_control else self.nodes).index(ip) + 1
        kind = 'core' if is_control else 'sidecar'
        return {
            'nodeId': f'{kind}-kushiro-{number}',
            'ip': ip,
            'zone': 'kushiro',
            'bindAddresses': {
                'inbound': f'{ip}:{self.inbound}',
                'outbound': f'{ip}:{self.outbound}',
                'readyAddress': f'{ip}:{self.ready}',
                'control': f'{ip}:{self.announce}',
            },
            'internalPortRange': [self.peer, self.metrics],
            'seedNodes': [f'{c}:{self.announce}' for c in self.control[:3]],
            'bootstrap': self.bootstrap,
            'bounds': BOUNDS,
            'dataDir': os.path.join(self.folder, ip, 'data'),
            'appAddress': f'{ip}:{self.app}',
            'service': self.services.get(ip, ''),
        }

    def add_proxy(self, ip, bytes_per_s):
        """Put a :class:`LinkProxy` in front of the peer port of a node."""
        number = self.nodes.index(ip) + 1
        at = (f'{self.net}.3.{number}', self.peer)
        self.proxies[ip] = at
        return LinkProxy(at, (ip, self.peer), bytes_per_s)

    def run(self, ip):
        """Start the process of a host."""
        role = self.roles['control' if ip in self.control else 'node']
        folder = os.path.join(self.folder, ip)
        os.makedirs(os.path.join(folder, 'data'), exist_ok=True)
        with open(os.path.join(ROOT, role['template'])) as file:
            text = _render(file.read(), self.settings_of(ip))
        if ip in self.proxies:
            # Other nodes connect to the proxy.
            at = '{}:{}'.format(*self.proxies[ip])
            text += f'DAMASKLANDING_ADVERTISE_ADDRESS={at}\n'
        path = os.path.join(folder, 'node.yaml')
        with open(path, 'w') as file:
            file.write(text)
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['DAMASKLANDING_CONFIG'] = path
        env['PYTHONPATH'] = os.path.join(ROOT, 'target/deps')
        with open(os.path.join(folder, 'log'), 'ab') as log:
            self.processes[ip] = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note(f'process of {ip} starts')

    def signal(self, ip, number):
        """Send a signal to the process of a host."""
        self.record.note(f'{signal.Signals(number).name} to {ip}')
        self.processes[ip].send_signal(number)

    def kill(self, ip):
        """End the process of a host with SIGKILL."""
        self.signal(ip, signal.SIGKILL)
        self.processes[ip].wait()

    def start(self):
        """Start all processes."""
        for ip in self.control + self.nodes:
            self.run(ip)

    def stop(self):
        """End all processes and remove their folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def operator(self, method, path, body=None, timeout_s=3.0):
        """Send an order to the control hosts until one answers."""
        for _ in range(40):
            for ip in self.control:
                process = self.processes.get(ip)
                if process is None or process.poll() is not None:
                    continue
                status, _, answer = call(
                    (ip, self.announce),
                    method,
                    path,
                    body,
                    {'Content-Type': 'application/json'},
                    timeout_s,
                )
                if status and status < 500 and status not in (408, 429):
                    return status, answer
            time.sleep(0.25)
        return 0, b''

    def is_ready(self, ip):
        """Return whether a node says that it is ready."""
        return (
            call((ip, self.ready), 'GET', '/readyz', None, (), 1.0)[0] == 200
        )

    def wait_ready(self, timeout_s=30.0):
        """Wait until all nodes are ready; return whether they are."""
        until = now() + timeout_s
        while now() < until:
            if all(self.is_ready(ip) for ip in self.nodes):
                return True
            time.sleep(0.1)
        return False

    def send(self, ip, attempt, path, method='GET', body=None, **options):
        """Send one request as a client of a host."""
        deadline_ms = options.pop('deadline_ms', 4000)
        timeout_s = options.pop('timeout_s', deadline_ms / 1000)
        headers = {
            'Host': HOST,
            'Damasklanding-Attempt-Id': attempt,
            'Damasklanding-Deadline-Ms': str(deadline_ms),
            'Authorization': f'Token {KEY}',
        } | options.pop('headers', {})
        return call(
            (ip, self.outbound),
            method,
            path,
            body,
            headers,
            timeout_s,
        )


def _render(text, fields):
    def value(match):
        found = fields
        for name in match[1].split('.'):
            found = found[int(name) if isinstance(found, list) else name]
        if isinstance(found, list):
            return ','.join(map(str, found))
        if isinstance(found, bool):
            return 'true' if found else 'false'
        return str(found)

    return _PLACEHOLDER.sub(value, text)


def document(version, base, routes, services, tenants=None, **cluster):
    """
    Return a desired state.

    :param routes: tuples of prefix, service and type.
    """
    rules = [
        {
            'name': f'r-{number}',
            'routeType': kind,
            'targetLatency': '1000ms',
            'priority': 0,
            'public': False,
            'match': {'pathPrefix': prefix},
            'action': {
                'service': service,
                'timeout': '3000ms',
                'maxAttempts': 2,
            },
        }
        for number, (prefix, service, kind) in enumerate(routes)
    ]
    return json.dumps(
        {
            'version': f'{version:08x}',
            'baseVersion': f'{base:08x}',
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeout': '3000ms',
                'idleTimeout': '15000ms',
            },
            'tenants': tenants
            or [
                {
                    'name': 'pulo780',
                    'apiKeys': [KEY],
                    'priority': 1,
                    'ratePerS': 0,
                    'burst': 0,
                }
            ],
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
                | cluster
                for service in services
            ],
        }
    )


class LinkProxy:
    """
    The network between a node and those that open connections to it.

    It passes bytes on at the bandwidth of a machine's link, with a small
    window, and can reset the connections that are open.

    :param target: where connections are passed on to.
    :param bytes_per_s: bandwidth in each direction, all connections together.
    """

    def __init__(self, address, target, bytes_per_s):
        self.target = target
        self.bytes_per_s = bytes_per_s
        self._pairs = set()
        self._lock = threading.Lock()
        self._free_at = {True: 0.0, False: 0.0}
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit the size of the window.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self._listener.bind(address)
        self._listener.listen(64)
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self):
        """Reset all open connections; return how many."""
        with self._lock:
            pairs, self._pairs = self._pairs, set()
        linger = struct.pack('ii', 1, 0)
        for pair in pairs:
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
        for pair in pairs:
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RD)
                sock.close()
        return len(pairs)

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection(self.target, 5)
            except OSError:
                continue
            far.settimeout(None)
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = (near, far)
            with self._lock:
                self._pairs.add(pair)
            for ends in ((near, far, True), (far, near, False)):
                threading.Thread(
                    target=self._pass, args=(*ends, pair), daemon=True
                ).start()

    def _pass(self, source, sink, inward, pair):
        try:
            while data := source.recv(16384):
                self._wait_turn(len(data), inward)
                sink.sendall(data)
        except OSError:
            pass
        with self._lock:
            is_open = pair in self._pairs
            self._pairs.discard(pair)
        if is_open:
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
                sock.close()

    def _wait_turn(self, size, inward):
        with self._lock:
            free_at = max(now(), self._free_at[inward])
            self._free_at[inward] = free_at + size / self.bytes_per_s
        time.sleep(max(0.0, free_at - now()))
