"""
crowd_fleet
~~~~~~~~~~~

Fleets whose processes have low limits, for crowds of clients that misbehave.
"""

from contextlib import contextmanager
import os

from crowds import Process
import gevent
from platform_fleet import ANNOUNCE_PORT
from platform_fleet import CALLER_PORT
from platform_fleet import PlatformFleet
from platform_fleet import eventually
from platform_fleet import platform_fleet

MAX_CONNECTIONS = 64
ROOMY_CONNECTIONS = 10_240
MAX_HELD_BYTES = 4 * 1024 * 1024
MAX_DOCUMENT_ELEMENTS = 5_000
#: Limits of the processes; the machine is as much larger than a process at
#: rest as MAX_GROWTH_BYTES.
LIMITS = {
    'DAMASKLANDING_MAX_CONNECTIONS': str(MAX_CONNECTIONS),
    'DAMASKLANDING_MAX_HELD_BYTES': str(MAX_HELD_BYTES),
    'DAMASKLANDING_MAX_DOCUMENT_ELEMENTS': str(MAX_DOCUMENT_ELEMENTS),
    'DAMASKLANDING_HEADER_TIMEOUT_MS': '2000',
}
MAX_GROWTH_BYTES = 16 * 1024 * 1024
#: Connections to other processes that may open during a test, among them one
#: for each slot of the backend server.
OTHER_DESCRIPTORS = 32
SLOTS = 16
CROWD = 256
CHUNKING_CROWD = 48  # reading small chunks takes the processor
CROWD_TIMEOUT_S = 6
HOLD_S = 0.5
ANSWER_BLOCK = b'x' * 65_536
ANSWER_BLOCKS = 256


@contextmanager
def limited_environment(limits=LIMITS):
    """Give the processes that are started in the block low limits."""
    before = os.environ.copy()
    os.environ.update(limits)
    try:
        yield
    finally:
        os.environ.clear()
        os.environ.update(before)


class LimitedFleet(PlatformFleet):
    """A fleet whose processes have low limits."""

    limits = LIMITS

    def __init__(self, folder, services):
        super().__init__(folder, services)
        self.slots = [SLOTS] * len(services)

    def run(self, ip):
        with limited_environment(self.limits):
            super().run(ip)


class RoomyFleet(LimitedFleet):
    """A fleet whose processes bound what they hold, and not how many do."""

    limits = {
        **LIMITS,
        'DAMASKLANDING_MAX_CONNECTIONS': str(ROOMY_CONNECTIONS),
    }


@contextmanager
def running_fleet(tmp_path_factory, build):
    """Run a fleet that knows what its processes take at rest."""
    folder = tmp_path_factory.mktemp('fleet')
    with platform_fleet(folder, build=build) as made:
        made.rest = {}
        for ip, process in made.processes.items():
            made.rest[ip] = measure_rest(process, ip)
        announcing = gevent.spawn(made.announce_often, 1.0)
        yield made
        announcing.kill()


def measure_rest(process, ip):
    watched = Process(process.pid, ip)
    return watched.resident_bytes(), watched.descriptors()


def is_served(fleet, number, port):
    """Return whether an ordinary request to a listener is answered."""
    if number is None:
        return fleet.operator('GET', '/config')[0] == 200
    if port == ANNOUNCE_PORT and fleet.announce(number) != 200:
        return False
    if fleet.ready(number) != 200:
        return False
    return fleet.request(number, '/desk/1')[0] == 200


def renew(fleet, ip, number, port):
    """Start a process anew that has died or has not shrunk to its rest."""
    process = fleet.processes[ip]
    if process.poll() is None:
        resident_bytes, _ = measure_rest(process, ip)
        if resident_bytes - fleet.rest[ip][0] < MAX_GROWTH_BYTES // 4:
            return
        process.kill()
    process.wait()
    fleet.run(ip)
    eventually(lambda: is_served(fleet, number, port))
    eventually(lambda: is_served(fleet, 0, CALLER_PORT))
    fleet.rest[ip] = measure_rest(fleet.processes[ip], ip)


@contextmanager
def long_answers(backend):
    """Let a backend server answer requests below ``/desk/long`` at length."""
    answer_requests = backend._answer_requests

    def answer(sock, file):
        while found := backend._read_head(file):
            is_long = '/long' in found['line']
            blocks = ANSWER_BLOCKS if is_long else 1
            sock.sendall(
                b'HTTP/1.1 200 OK\r\nDamasklanding-Server-Signature: s.1\r\n'
                b'Damasklanding-Attempt-Id: %b\r\nContent-Length: %d\r\n\r\n'
                % (
                    found['damasklanding-attempt-id'].encode(),
                    blocks * len(ANSWER_BLOCK),
                )
            )
            for _ in range(blocks):
                sock.sendall(ANSWER_BLOCK)

    backend._answer_requests = answer
    yield
    backend._answer_requests = answer_requests
