"""
damasklanding.claims.ticker
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Advances the clock of the claims log by the time that the leader measures on a
monotonic clock, so that a step of the wall clock drops no claim too early.
"""

import os

import gevent

from damasklanding.claims.commands import Expire
from damasklanding.claims.commands import encode
from damasklanding.errors import DamasklandingError

__all__ = ['Ticker']

TICK_INTERVAL_MS = 2_000
PROPOSE_TIMEOUT_MS = 1_000


class Ticker:
    """
    Proposes the elapsed time while this control host is the leader.

    :param propose: function of a payload and a timeout in milliseconds.
    :param is_leader: function that returns whether this control host leads
        the claims log.
    :param now_ms: monotonic clock.
    """

    def __init__(self, propose, is_leader, now_ms):
        self._propose = propose
        self._is_leader = is_leader
        self._now_ms = now_ms
        self._started_ms = now_ms()
        self._name = os.urandom(8).hex()
        self._greenlet = None

    def start(self):
        """Start to propose the elapsed time periodically."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop proposing."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def tick(self):
        """Propose the elapsed time if this control host leads."""
        if not self._is_leader():
            return
        total_ms = int(self._now_ms() - self._started_ms)
        command = Expire(ticker=self._name, total_ms=total_ms)
        try:
            self._propose(encode(command), PROPOSE_TIMEOUT_MS)
        except DamasklandingError:
            pass  # the next tick includes the time of this one

    def _run(self):
        while True:
            gevent.sleep(TICK_INTERVAL_MS / 1000)
            self.tick()
