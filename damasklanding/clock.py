"""
damasklanding.clock
~~~~~~~~~~~~~~~~~~~

Time sources.  Durations are in milliseconds; functions that decide by time
take ``now_ms`` as a callable so that tests can drive them.
"""

import time
from time import CLOCK_BOOTTIME
from time import clock_gettime

__all__ = ['monotonic_ms', 'wall_ms']


def monotonic_ms():
    """
    Return milliseconds on a clock that never steps back.

    It also counts the time during which the host was suspended, so that
    proofs of freshness and leases age meanwhile.
    """
    return clock_gettime(CLOCK_BOOTTIME) * 1000.0


def wall_ms():
    """Return milliseconds since the epoch, for logs and retention only."""
    return int(time.time() * 1000)
