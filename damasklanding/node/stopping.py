"""
damasklanding.node.stopping
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which requests a node takes while it stops as planned.
"""

from damasklanding.errors import Draining
from damasklanding.node.upstream import LATE_BODY_MS

__all__ = ['PlannedStop']

RETRY_AFTER_MS = 100


class PlannedStop:
    """
    The planned stop of a node, at whose end running requests are cut.

    :ivar ends_at_ms: time of that end, infinite until the node stops.
    """

    def __init__(self, now_ms, metrics):
        self.ends_at_ms = float('inf')
        self._now_ms = now_ms
        self._metrics = metrics

    def begin(self, ends_at_ms):
        """Take only requests that end in time from now on."""
        self.ends_at_ms = ends_at_ms

    def check(self, call):
        """
        Refuse a call that may still run when the node ends.

        :param call: :class:`~damasklanding.node.calls.Call`.
        :raises Draining: there is not enough time left for it.
        """
        if call.deadline_at_ms + LATE_BODY_MS <= self.ends_at_ms:
            return
        self._metrics.add(
            'refusals_total',
            'planned-stop',
            Draining.code,
            call.importance,
            call.organisation,
        )
        left_ms = max(0, int(self.ends_at_ms - self._now_ms()))
        raise Draining(
            f'this node ends in {left_ms} ms and the request may take longer',
            retry_after_ms=RETRY_AFTER_MS,
        )
