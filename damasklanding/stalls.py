"""
damasklanding.stalls
~~~~~~~~~~~~~~~~~~~~

Notices that this process did not run for a while, because it was stopped, was
starved or its host was suspended.  What it reads right afterwards can be so
old that its sender has given up.
"""

import gevent
from loguru import logger

from damasklanding.clock import monotonic_ms

__all__ = ['STALL_LIMIT_MS', 'StallDetector']

TICK_MS = 100
#: Senders wait at least this long for an answer before they send elsewhere.
STALL_LIMIT_MS = 1_000
#: Input that came during a stall is read within this time after it.
READ_LIMIT_MS = 1_000


class StallDetector:
    """Compares the intervals of a timer with a clock."""

    def __init__(self, now_ms=monotonic_ms):
        self._now_ms = now_ms
        self._ticked_ms = now_ms()
        self._suspect_until_ms = float('-inf')
        self._greenlet = None

    def start(self):
        """Start the timer."""
        self._ticked_ms = self._now_ms()
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop the timer; no stall is noticed from then on."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    def may_read_old_input(self):
        """Return whether input read now can have come before a stall."""
        if self._greenlet is not None:
            self._note_stall()
        return self._now_ms() < self._suspect_until_ms

    def _run(self):
        while True:
            gevent.sleep(TICK_MS / 1000)
            self._note_stall()
            self._ticked_ms = self._now_ms()

    def _note_stall(self):
        now_ms = self._now_ms()
        stalled_ms = now_ms - self._ticked_ms
        if stalled_ms > STALL_LIMIT_MS:
            if now_ms >= self._suspect_until_ms:
                logger.warning(
                    'this process stood still for {:.0f} ms', stalled_ms
                )
            self._suspect_until_ms = now_ms + READ_LIMIT_MS
