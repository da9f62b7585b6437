"""
tests.virtual_time
~~~~~~~~~~~~~~~~~~

A simulated clock that advances only when every greenlet waits.  Tests that
cover minutes run in milliseconds and are deterministic.
"""

import heapq
import itertools

import gevent
from gevent.event import Event


class VirtualTime:
    """
    Clock, sleep and timers in simulated time.

    :ivar now: current time in milliseconds.
    """

    def __init__(self, start_ms=10_000.0):
        self.now = start_ms
        self._timers = []
        self._order = itertools.count()

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        """Pause the calling greenlet."""
        event = Event()
        self.call_at(self.now + seconds * 1000, event.set)
        event.wait()

    def call_at(self, at_ms, function):
        """Call a function at a given time."""
        heapq.heappush(self._timers, (at_ms, next(self._order), function))

    def event(self):
        """Return an event whose ``wait`` takes its timeout on this clock."""
        return VirtualEvent(self)

    def run_until(self, end_ms):
        """Run all timers that are due by a given time."""
        gevent.idle()
        while self._timers and self._timers[0][0] <= end_ms:
            at_ms, _, function = heapq.heappop(self._timers)
            self.now = max(self.now, at_ms)
            function()
            if not self._timers or self._timers[0][0] > at_ms:
                gevent.idle()
        self.now = max(self.now, end_ms)

    def run_for(self, duration_ms):
        """Run all timers that are due within a duration."""
        self.run_until(self.now + duration_ms)


class VirtualEvent:
    """Replacement for ``gevent.event.Event`` on a :class:`VirtualTime`."""

    def __init__(self, time):
        self._time = time
        self._set = False
        self._wake = Event()

    def is_set(self):
        return self._set

    def set(self):
        self._set = True
        self._wake.set()

    def wait(self, timeout=None):
        if not self._set:
            if timeout is not None:
                self._time.call_at(
                    self._time.now + timeout * 1000, self._wake.set
                )
            self._wake.wait()
        return self._set
