"""
damasklanding.policy.retryshare
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bounds the repeats that all nodes together send to one service.  The load that
it answers: part of the calls to a service at the end of many chains are
refused, and each of some hundred nodes has saved up retries of its own.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ['NO_RETRY_BOUND', 'RetryBound', 'RetryShares', 'ServiceBudget']

BUCKETS = 20  # of a window
#: The part of the bound that is used: the windows of the nodes end at
#: different times, and requests do not arrive evenly.
USED_RATIO = 0.9


@dataclass(frozen=True)
class RetryBound:
    """
    Repeats to one service that all nodes together may send in a window.

    :ivar ratio: of the callers' requests to the service in the window.
    :ivar slack: repeats beyond that; 0 sets no bound.
    """

    ratio: float
    slack: int
    window_ms: int


NO_RETRY_BOUND = RetryBound(0.0, 0, 10_000)


class RetryShares:
    """
    The part of the bound of each service that falls to this node.

    The node counts the callers' requests that it takes in itself, and an even
    part of the slack, at least one repeat.

    :param bound: :class:`RetryBound`.
    :param node_count: function that returns how many nodes share the slack.
    """

    def __init__(self, bound, node_count, now_ms):
        self._bound = bound
        self._node_count = node_count
        self._now_ms = now_ms
        self._requests = {}
        self._repeats = {}

    def note_request(self, service):
        """Count a caller's request that this node takes in."""
        # The oldest part of the window is left out, since it may have ended.
        self._add(self._requests, service, BUCKETS - 1)

    def note_repeat(self, service):
        """Count a repeat that this node sends."""
        self._add(self._repeats, service, BUCKETS)

    def has_room(self, service):
        """Return whether this node may send one more repeat now."""
        bound = self._bound
        if not bound.slack:
            return True
        slack = bound.slack / max(1, self._node_count())
        asked = self._count(self._requests, service)
        allowed = max(1.0, USED_RATIO * (slack + bound.ratio * asked))
        return self._count(self._repeats, service) + 1 <= allowed

    def _add(self, counters, service, buckets):
        if not self._bound.slack:
            return
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = _WindowCount(
                self._bound.window_ms / BUCKETS, buckets
            )
        counter.add(self._now_ms())

    def _count(self, counters, service):
        counter = counters.get(service)
        return 0 if counter is None else counter.total(self._now_ms())


class ServiceBudget:
    """
    The retry budget of this node, for calls to one service.

    :param budget: :class:`~damasklanding.policy.retry.RetryBudget`.
    :param shares: :class:`RetryShares`.
    """

    __slots__ = ('_budget', '_service', '_shares')

    def __init__(self, budget, shares, service):
        self._budget = budget
        self._shares = shares
        self._service = service

    def try_spend(self, importance):
        """Take one retry from both; return whether there was one."""
        if not self._shares.has_room(self._service):
            return False
        if not self._budget.try_spend(importance):
            return False
        self._shares.note_repeat(self._service)
        return True


class _WindowCount:
    """
    Count of events in a sliding window, kept in buckets of time.

    :param kept: buckets that are counted besides the present one.
    """

    __slots__ = ('_bucket_ms', '_buckets', '_kept', '_total')

    def __init__(self, bucket_ms, kept):
        self._bucket_ms = bucket_ms
        self._kept = kept
        self._buckets = deque()
        self._total = 0

    def add(self, now_ms):
        number = int(now_ms // self._bucket_ms)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0])
        self._buckets[-1][1] += 1
        self._total += 1

    def total(self, now_ms):
        oldest = int(now_ms // self._bucket_ms) - self._kept
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total
