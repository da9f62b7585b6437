"""
damasklanding.clock
~~~~~~~~~~~~~~~~~~~

Clocks.  Times and durations are in milliseconds.  Code that depends on the
time takes a clock as the callable ``now_ms``, so that tests can control it.
"""

import time
from time import CLOCK_BOOTTIME
from time import clock_gettime

__all__ = ['monotonic_ms', 'wall_ms']


def monotonic_ms():
    """
    Return milliseconds on a clock that never goes back.

    It also counts the time during which the host was suspended, so that
    leases and the age of the configuration advance in that time.
    """
    return clock_gettime(CLOCK_BOOTTIME) * 1000.0


def wall_ms():
    """Return milliseconds since the epoch; for logs and retention only."""
    return int(time.time() * 1000)
