"""
bench.process
~~~~~~~~~~~~~

One started process of a run: signals, memory and processor time.
"""

from dataclasses import dataclass
import os
import signal
import subprocess
import time

import gevent

__all__ = ['Process']

STOP_TIMEOUT_S = 10


@dataclass
class Process:
    """
    One process, which the run started and ends by its id.

    :ivar role: ``control``, ``node``, ``standin`` or ``naive``.
    """

    name: str
    role: str
    ip: str
    command: list
    environment: dict
    log_path: str
    data_centre: str = ''
    service: str = ''
    popen: object = None

    def start(self):
        """Start it, or start it again."""
        with open(self.log_path, 'ab') as log:
            self.popen = subprocess.Popen(
                self.command, stdout=log, stderr=log, env=self.environment
            )

    def address(self, port):
        """Return its address with a port."""
        return f'{self.ip}:{port}'

    def signal(self, number):
        """Send a signal to it, where it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        """Kill it at once."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self):
        """Stop it from running until :meth:`thaw`."""
        self.signal(signal.SIGSTOP)

    def thaw(self):
        """Let it run on."""
        self.signal(signal.SIGCONT)

    def stop(self):
        """Ask for a planned stop without waiting for it."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for its end; returns its exit status, None if it runs."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.popen.poll() is not None:
                return self.popen.returncode
            gevent.sleep(0.02)
        return None

    def rss_mb(self):
        """Return its resident memory."""
        with open(f'/proc/{self.popen.pid}/statm') as file:
            pages = int(file.read().split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') / 1e6

    def cpu_s(self):
        """Return the processor time it has used."""
        with open(f'/proc/{self.popen.pid}/stat') as file:
            fields = file.read().rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')
