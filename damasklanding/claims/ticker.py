"""
damasklanding.claims.ticker
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Moves the clock of the claims log on, by time measured at the leading control
host, so that no step of a wall clock forgets a claim early.
"""

import os

import gevent

from damasklanding.claims.commands import Expire
from damasklanding.claims.commands import encode
from damasklanding.errors import DamasklandingError

__all__ = ['Ticker']

TICK_MS = 2_000
TICK_TIMEOUT_MS = 1_000


class Ticker:
    """
    Proposes the passage of time while this control host leads.

    :param propose: takes payload and time limit in milliseconds.
    :param leads: returns whether this control host leads the claims log.
    :param now_ms: monotonic clock.
    """

    def __init__(self, propose, leads, now_ms):
        self._propose = propose
        self._leads = leads
        self._now_ms = now_ms
        self._started_ms = now_ms()
        self._name = os.urandom(8).hex()
        self._greenlet = None

    def start(self):
        """Start ticking."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop ticking."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def tick(self):
        """Propose the time passed, where this control host leads."""
        if not self._leads():
            return
        total_ms = int(self._now_ms() - self._started_ms)
        command = Expire(ticker=self._name, total_ms=total_ms)
        try:
            self._propose(encode(command), TICK_TIMEOUT_MS)
        except DamasklandingError:
            pass  # the next tick carries the same time

    def _run(self):
        while True:
            gevent.sleep(TICK_MS / 1000)
            self.tick()
