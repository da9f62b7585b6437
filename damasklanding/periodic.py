"""
damasklanding.periodic
~~~~~~~~~~~~~~~~~~~~~~

One timer of the event loop that calls many checks in turn: a process with a
hundred connections wakes up no more often than one with a single one.
"""

import gevent

__all__ = ['PeriodicTimer']


class PeriodicTimer:
    """
    Checks that are called once each period.

    :param period_ms: time between two rounds.
    """

    def __init__(self, period_ms):
        self._period_s = period_ms / 1000
        self._checks = {}
        self._timer = None

    def add(self, check):
        """Call a function in each round; it must not block."""
        self._checks[check] = None
        if self._timer is None:
            self._timer = gevent.get_hub().loop.timer(
                self._period_s, self._period_s
            )
            self._timer.start(self._run)

    def remove(self, check):
        """Call a function no more."""
        self._checks.pop(check, None)
        if not self._checks and self._timer is not None:
            self._timer.close()
            self._timer = None

    def _run(self):
        for check in list(self._checks):
            if check in self._checks:
                check()
