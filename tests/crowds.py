"""
crowds
~~~~~~

Crowds of clients that misbehave on open connections, and what the process
that they talk to holds meanwhile.
"""

from contextlib import contextmanager
import os
import socket as plain_socket

import gevent
from gevent import socket

CONNECT_TIMEOUT_S = 5
SEND_TIMEOUT_S = 10
SAMPLE_S = 0.05
#: States of /proc/net/tcp whose queues do not hold received bytes.
_LISTENING = '0A'
_TIME_WAIT = '06'


class Process:
    """What one process holds, as the kernel tells it."""

    def __init__(self, pid, ip):
        self._pid = pid
        self._address = plain_socket.inet_aton(ip)[::-1].hex().upper()

    def resident_bytes(self):
        """Return the resident memory."""
        with open(f'/proc/{self._pid}/statm', encoding='ascii') as file:
            return int(file.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')

    def received_bytes(self):
        """Return the bytes that came for its address and were not read."""
        total = 0
        with open('/proc/net/tcp', encoding='ascii') as file:
            next(file)
            for line in file:
                fields = line.split()
                if fields[3] in (_LISTENING, _TIME_WAIT):
                    continue
                if fields[1].startswith(self._address):
                    total += int(fields[4].partition(':')[2], 16)
        return total

    def held_bytes(self):
        """Return the resident memory and what the kernel has received."""
        return self.resident_bytes() + self.received_bytes()

    def descriptors(self):
        """Return the number of open descriptors."""
        return len(os.listdir(f'/proc/{self._pid}/fd'))


class Peaks:
    """The highest figures that were seen of a process."""

    def __init__(self, process):
        self._process = process
        self.held_bytes = 0
        self.descriptors = 0

    def sample(self):
        """Take the present figures into account."""
        held_bytes = self._process.held_bytes()
        self.held_bytes = max(self.held_bytes, held_bytes)
        descriptors = self._process.descriptors()
        self.descriptors = max(self.descriptors, descriptors)


@contextmanager
def sampled(process):
    """Yield the :class:`Peaks` of a process during the block."""
    peaks = Peaks(process)
    peaks.sample()

    def run():
        while True:
            gevent.sleep(SAMPLE_S)
            peaks.sample()

    greenlet = gevent.spawn(run)
    try:
        yield peaks
        peaks.sample()
    finally:
        greenlet.kill()


@contextmanager
def crowd(ip, port, count, behave):
    """
    Keep a number of clients connected for the length of the block.

    A client that has done its part keeps its connection open without reading
    it, even where the other end has closed.

    :param behave: function of a client's socket; sends its part.
    """
    sockets = []

    def run():
        try:
            sock = socket.create_connection((ip, port), CONNECT_TIMEOUT_S)
        except OSError:
            return
        sockets.append(sock)
        sock.settimeout(SEND_TIMEOUT_S)
        try:
            behave(sock)
        except OSError:
            pass  # the other end may refuse and close

    greenlets = [gevent.spawn(run) for _ in range(count)]
    try:
        yield greenlets
    finally:
        gevent.killall(greenlets)
        for sock in sockets:
            sock.close()
