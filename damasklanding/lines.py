"""
damasklanding.lines
~~~~~~~~~~~~~~~~~~~

Writes log lines to a file descriptor without ever blocking: what its reader
does not take in time is dropped and counted.
"""

from collections import deque
import os

import gevent
from gevent.event import Event

__all__ = ['LineWriter']

MAX_LINES = 2_000
RETRY_MS = 100  # before a full descriptor is tried again
BATCH_BYTES = 32 * 1024


class LineWriter:
    """
    A bounded buffer of lines and the greenlet that writes them.

    :param descriptor: where to write; made non-blocking.
    :ivar dropped: lines that were dropped since the start.
    """

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._told = 0
        self._descriptor = descriptor
        self._lines = deque()
        self._rest = b''
        self._wake = Event()
        self._greenlet = None

    def write(self, line):
        """Take a line; the oldest is dropped where the buffer is full."""
        if len(self._lines) >= MAX_LINES:
            self._lines.popleft()
            self.dropped += 1
        self._lines.append(line)
        self._wake.set()

    def start(self):
        """Start to write in the background."""
        self._greenlet = gevent.spawn(self._run)

    def flush(self):
        """Write what the descriptor takes now."""
        while self._lines or self._rest:
            if not self._rest:
                self._rest = self._batch()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will read it; the lines count as dropped.
                self.dropped += self._rest.count(b'\n')
                written = len(self._rest)
            self._rest = self._rest[written:]

    def _run(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            self.flush()
            if self._lines or self._rest:
                gevent.sleep(RETRY_MS / 1000)
                self._wake.set()

    def _batch(self):
        parts = []
        size = 0
        if self.dropped > self._told:
            parts.append(f'{self.dropped - self._told} log lines were dropped')
            self._told = self.dropped
        while self._lines and size < BATCH_BYTES:
            line = self._lines.popleft()
            size += len(line) + 1
            parts.append(line)
        return ('\n'.join(parts) + '\n').encode('utf-8', 'replace')
