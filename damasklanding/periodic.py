"""
damasklanding.periodic
~~~~~~~~~~~~~~~~~~~~~~

A timer of the event loop that calls many checks in each period.  With one
timer for all connections, a process with a hundred of them wakes up no more
often than a process with one.
"""

import gevent

__all__ = ['PeriodicTimer']


class PeriodicTimer:
    """
    Calls the registered checks once in each period.

    :param period_ms: time between two calls of a check.
    """

    def __init__(self, period_ms):
        self._period_s = period_ms / 1000
        self._checks = {}
        self._timer = None

    def add(self, check):
        """Register a function as a check; it must not block."""
        self._checks[check] = None
        if self._timer is None:
            self._timer = gevent.get_hub().loop.timer(
                self._period_s, self._period_s
            )
            self._timer.start(self._run)

    def remove(self, check):
        """Remove a check; the timer stops with the last one."""
        self._checks.pop(check, None)
        if not self._checks and self._timer is not None:
            self._timer.close()
            self._timer = None

    def _run(self):
        for check in list(self._checks):
            if check in self._checks:
                check()
