"""
damasklanding.budget.shares
~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an entry node admits by itself while no budget owner issues tokens: its
even part of each organisation's rate and burst, so that all nodes together
stay within them.
"""

from dataclasses import dataclass

__all__ = ['LocalShares']


@dataclass(slots=True)
class _Part:
    tokens: float
    refilled_ms: float


class LocalShares:
    """
    Parts of the organisations' budgets, for times without an owner.

    :param node_count: function that returns how many nodes there are.
    """

    def __init__(self, node_count):
        self._node_count = node_count
        self._parts = {}

    def take(self, organisation, portion, now_ms):
        """
        Admit a request if the node's part allows it.

        :param organisation:
            :class:`~damasklanding.fleet.resources.Organisation`.
        :param portion: of the even part that may be used, 0 to 1.
        :return: whether it was admitted.
        """
        share = portion / max(1, self._node_count())
        capacity = max(1.0, share * organisation.burst_requests)
        part = self._parts.get(organisation.name)
        if part is None:
            part = self._parts[organisation.name] = _Part(capacity, now_ms)
        rate_per_ms = share * organisation.rate_per_s / 1000.0
        gained = max(0.0, now_ms - part.refilled_ms) * rate_per_ms
        part.tokens = min(capacity, part.tokens + gained)
        part.refilled_ms = now_ms
        if part.tokens < 1.0:
            return False
        part.tokens -= 1.0
        return True
