"""
damasklanding.policy.coldturns
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Turns in which an entry node admits requests whose call chains need a service
with cold backend servers.  The nodes share the calls that these can bear.
"""

from enum import Enum

__all__ = ['ColdTurns', 'Turn']

#: A chain may need several calls of the service, so the time between two
#: turns doubles with each chain that fails, and halves with each that ends
#: well.
MAX_INTERVAL_FACTOR = 8.0


class Turn(Enum):
    """Whether a request that needs a service may be admitted now."""

    WARM = 'warm'  # no turns are needed
    DUE = 'due'
    NOT_DUE = 'not due'


class _Turns:
    """
    The turns at one service.

    :ivar next_ms: time from which the next request may be admitted.
    :ivar factor: multiple of the least time between two requests.
    """

    __slots__ = ('factor', 'next_ms')

    def __init__(self, next_ms):
        self.next_ms = next_ms
        self.factor = 1.0


class ColdTurns:
    """
    Turns at the services that have only cold backend servers.

    :param now_ms: function that returns the current time in milliseconds.
    :param random: function that returns a float in [0, 1); spreads the first
        turns of the nodes.
    :param interval_ms: function of a service's name that returns the least
        time between two calls of this node, 0.0 if it needs no turns.
    """

    def __init__(self, now_ms, random, interval_ms):
        self._now_ms = now_ms
        self._random = random
        self._interval_ms = interval_ms
        self._turns = {}

    def take(self, service):
        """Return a :class:`Turn`; a due one is taken."""
        interval_ms = self._interval_ms(service)
        if not interval_ms:
            self._turns.pop(service, None)
            return Turn.WARM
        now_ms = self._now_ms()
        turns = self._turns.get(service)
        if turns is None:
            turns = _Turns(now_ms + self._random() * interval_ms)
            self._turns[service] = turns
        if now_ms < turns.next_ms:
            return Turn.NOT_DUE
        turns.next_ms = now_ms + turns.factor * interval_ms
        return Turn.DUE

    def note(self, service, succeeded):
        """Record the end of a request that a turn admitted."""
        turns = self._turns.get(service)
        if turns is None:
            return
        change = 0.5 if succeeded else 2.0
        turns.factor = min(
            MAX_INTERVAL_FACTOR, max(1.0, turns.factor * change)
        )
