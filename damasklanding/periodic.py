"""
damasklanding.periodic
~~~~~~~~~~~~~~~~~~~~~~

A timer of the event loop that calls many functions in each period.  With one
timer for all connections, a process with a hundred of them wakes up no more
often than a process with one.
"""

import gevent

__all__ = ['PeriodicTimer']


class PeriodicTimer:
    """
    Calls the registered functions once in each period.

    :param period_ms: time between two calls of a function.
    """

    def __init__(self, period_ms):
        self._period_s = period_ms / 1000
        self._callbacks = {}
        self._timer = None

    def add(self, callback):
        """Register a function, which must not block."""
        self._callbacks[callback] = None
        if self._timer is None:
            self._timer = gevent.get_hub().loop.timer(
                self._period_s, self._period_s
            )
            self._timer.start(self._run)

    def remove(self, callback):
        """Remove a function; the timer stops with the last one."""
        self._callbacks.pop(callback, None)
        if not self._callbacks and self._timer is not None:
            self._timer.close()
            self._timer = None

    def _run(self):
        for callback in list(self._callbacks):
            if callback in self._callbacks:
                callback()
