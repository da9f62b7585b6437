"""
bench.fleet
~~~~~~~~~~~

Starts a fleet of real processes on loopback addresses and stops it again.
Every process has an address of its own within 127.0.0.0/8, so that fleets
of several runs don't meet.
"""

from contextlib import contextmanager
from http.client import HTTPConnection
from http.client import HTTPException
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import gevent

from bench.operator import Operator
from bench.process import STOP_TIMEOUT_S
from bench.process import Process
from bench.relay import Relay
from damasklanding.errors import DamasklandingError

__all__ = [
    'ADMIN_PORT',
    'BACKEND_PORT',
    'CALLER_PORT',
    'Fleet',
    'TOKEN',
    'running_fleet',
]

SECRET = 'bench-secret-0123456789'
TOKEN = 'bench-operator-token'
PEER_PORT = 7400
CALLER_PORT = 7401
EGRESS_PORT = 7402
BACKEND_PORT = 7403
OPERATIONS_PORT = 7404
ADMIN_PORT = 7405
START_TIMEOUT_S = 30


class Fleet:
    """
    The processes of a run, in the order of their start.

    :ivar control: control host processes.
    :ivar nodes: node processes.
    :ivar standins: stand-in backend servers, one beside each node that has
        a service.
    :ivar relays: :class:`bench.relay.Relay` of each node's two legs, where
        ``relay_links`` is set before nodes are added.
    :ivar operator: :class:`bench.operator.Operator`.
    """

    def __init__(self, folder, network):
        self.folder = folder
        self.control = []
        self.nodes = []
        self.standins = []
        self.others = []
        self.relays = []
        self.relay_links = False
        self.operator = None
        self.control_hosts = ''
        self._network = network
        self._addresses = 0

    def add_control(self, count=3, *data_centres, service=''):
        """
        Start control hosts that found a fleet, and wait for them.

        :param service: of a backend server beside the first one, which then
            is a node too.
        """
        data_centres = data_centres or ('dc-a',)
        ips = [self.next_ip() for _ in range(count)]
        self.control_hosts = ','.join(
            f'control-{index}={ip}:{PEER_PORT}' for index, ip in enumerate(ips)
        )
        tokens = os.path.join(self.folder, 'tokens')
        with open(tokens, 'w') as file:
            file.write(f'bench {TOKEN}\n')
        for index, ip in enumerate(ips):
            name = f'control-{index}'
            options = {
                'roles': 'control',
                'data-folder': os.path.join(self.folder, name),
                'admin-address': f'{ip}:{ADMIN_PORT}',
                'operator-tokens-file': tokens,
                'bootstrap': 'true',
            }
            shared = service if index == 0 else ''
            if shared:
                options.update(self._node_options(ip, shared))
                options['roles'] = 'node,control'
            centre = data_centres[index % len(data_centres)]
            process = self._daemon(name, 'control', ip, centre, options)
            self.control.append(process)
            process.start()
            if shared:
                process.service = shared
                self.nodes.append(process)
                self.add_standin(process, shared)
        addresses = [host.address(PEER_PORT) for host in self.control]
        self.operator = Operator(addresses, SECRET.encode())
        self._wait_control()

    def add_node(self, data_centre, service='', options=None, **standin):
        """
        Start a node, with a stand-in beside it where a service is given.

        :return: pair of node and stand-in process, None without a service.
        """
        ip = self.next_ip()
        name = f'node-{len(self.nodes)}'
        options = {**self._node_options(ip, service), **(options or {})}
        node = self._daemon(name, 'node', ip, data_centre, options)
        node.service = service
        node.start()
        self.nodes.append(node)
        if not service:
            return node, None
        return node, self.add_standin(node, service, **standin)

    def _node_options(self, ip, service):
        options = {
            'roles': 'node',
            'caller-address': f'{ip}:{CALLER_PORT}',
            'egress-address': f'{ip}:{EGRESS_PORT}',
        }
        if service:
            options['backend-address'] = self._reached(ip, BACKEND_PORT)
        if self.relay_links:
            options['advertise-address'] = self._reached(ip, PEER_PORT)
        return options

    def add_standin(self, node, service, **fields):
        """Start a stand-in backend server beside a node."""
        fields = {
            'address': node.address(BACKEND_PORT),
            'egress': node.address(EGRESS_PORT),
            'service': service,
            'seed': len(self.standins) + 1,
            **fields,
        }
        command = [sys.executable, '-m', 'bench.standin', json.dumps(fields)]
        process = self.process(
            f'standin-{node.name}', 'standin', node.ip, command
        )
        process.service = service
        process.data_centre = node.data_centre
        process.start()
        self.standins.append(process)
        return process

    def set_standin(self, process, **values):
        """Change fields of a running stand-in."""
        return _manage(process, 'set', values)

    def records(self, process, take=False):
        """Return the records of a stand-in, and forget them with ``take``."""
        return _manage(process, 'take' if take else 'records', {})

    def wait_ready(self, minimum=None, timeout_s=START_TIMEOUT_S):
        """Wait until backend servers are registered and nodes answer."""
        wanted = minimum or sum(1 for node in self.nodes if node.service)
        _wait_until(
            lambda: self.operator.registered() >= wanted,
            timeout_s,
            lambda: f'{self.operator.registered()} of {wanted} registered',
        )
        for node in self.nodes:
            _wait_until(
                lambda node=node: _answers(node.address(CALLER_PORT)),
                timeout_s,
                lambda node=node: f'{node.name} does not answer',
            )

    def stop(self):
        """Stop every process that this fleet started."""
        if self.operator is not None:
            self.operator.close()
        processes = self.standins + self.others + self.nodes
        processes += [p for p in self.control if p not in self.nodes]
        for process in processes:
            process.thaw()
            if process.role in ('control', 'node'):
                process.stop()
            else:
                process.signal(signal.SIGKILL)
        until = time.monotonic() + STOP_TIMEOUT_S
        for process in processes:
            if process.popen is None:
                continue
            try:
                process.popen.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()

    def _reached(self, ip, port):
        target = f'{ip}:{port}'
        if not self.relay_links:
            return target
        relay = Relay(f'{self.next_ip()}:{port}', target)
        relay.start()
        self.relays.append(relay)
        return relay.listen

    def next_ip(self):
        """Return an address that no process of this run has yet."""
        self._addresses += 1
        return f'127.{self._network}.{self._addresses}'

    def process(self, name, role, ip, command):
        """Return a process that is not yet started."""
        path = os.path.join(self.folder, f'{name}.log')
        environment = dict(os.environ, DAMASKLANDING_SECRET=SECRET)
        return Process(name, role, ip, command, environment, path)

    def _wait_control(self):
        def takes_commands():
            try:
                self.operator.set_data_centre('dc-a', out=False)
                return True
            except DamasklandingError:
                return False

        _wait_until(
            takes_commands,
            START_TIMEOUT_S,
            lambda: 'the control hosts take no commands',
        )

    def _daemon(self, name, role, ip, data_centre, options):
        options = {
            'name': name,
            'data-centre': data_centre,
            'peer-address': f'{ip}:{PEER_PORT}',
            'operations-address': f'{ip}:{OPERATIONS_PORT}',
            'control-hosts': self.control_hosts,
            **options,
        }
        command = [sys.executable, '-m', 'damasklanding.daemon']
        for flag, value in options.items():
            command += [f'--{flag}', value]
        process = self.process(name, role, ip, command)
        process.data_centre = data_centre
        return process


def _manage(process, verb, values):
    connection = HTTPConnection(process.ip, BACKEND_PORT, timeout=20)
    connection.request('POST', f'/standin/{verb}', json.dumps(values))
    result = json.loads(connection.getresponse().read())
    connection.close()
    return result


def _answers(address):
    host, port = address.rsplit(':', 1)
    try:
        connection = HTTPConnection(host, int(port), timeout=1)
        connection.request('GET', '/')
        connection.getresponse().read()
        connection.close()
        return True
    except (OSError, HTTPException):
        return False


def _wait_until(condition, timeout_s, describe):
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(describe())
        gevent.sleep(0.05)


@contextmanager
def running_fleet(keep_logs=False):
    """Own a fleet: whatever happens, its processes end with the block."""
    folder = tempfile.mkdtemp(prefix='damasklanding-bench-')
    octet = random.SystemRandom().randrange
    fleet = Fleet(folder, f'{20 + octet(200)}.{octet(250)}')
    try:
        yield fleet
    finally:
        fleet.stop()
        if keep_logs:
            print(f'logs: {folder}', file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)
