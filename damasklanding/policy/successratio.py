"""
damasklanding.policy.successratio
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The recent ratio of successful calls of one backend server.  It answers two
loads: a backend server that fails part of its calls, and one that turns calls
away while it is nearly idle.  The node beside the backend server reports its
ratio, so that other nodes need not learn it by failures of their own.
"""

__all__ = ['SuccessRatio', 'turned_away_idle']

FULL_RATIO = 0.99  # a higher ratio counts as 1
SMOOTHING = 0.1  # weight of one outcome
HALF_LIFE_MS = 4_000.0  # of the failure ratio of an unused backend server
IDLE_UTILISATION = 0.5


class SuccessRatio:
    """A smoothed success ratio whose failures decay with their age."""

    __slots__ = ('_noted_ms', '_ratio')

    def __init__(self):
        self._ratio = 1.0
        self._noted_ms = 0.0

    def current(self, now_ms):
        """Return the ratio, with failures decayed by their age."""
        if self._ratio > FULL_RATIO:
            return 1.0
        kept = 0.5 ** ((now_ms - self._noted_ms) / HALF_LIFE_MS)
        return 1.0 - (1.0 - self._ratio) * kept

    def note(self, success, now_ms):
        """Add the outcome of a call."""
        ratio = self.current(now_ms)
        self._ratio = ratio + SMOOTHING * (float(success) - ratio)
        self._noted_ms = now_ms


def turned_away_idle(running, limit):
    """
    Return whether a refusal says that a backend server is unwell.

    A backend server that is full refuses what it has no room for, and its
    load is reported already.

    :param running: calls in progress, with the refused one.
    :param limit: concurrency limit.
    """
    return running <= max(1.0, IDLE_UTILISATION * limit)
