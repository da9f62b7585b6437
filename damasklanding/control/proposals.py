"""
damasklanding.control.proposals
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Proposals whose entries this replica has appended as leader and that wait to
be accepted and applied.
"""

import gevent
from gevent.event import AsyncResult

from damasklanding.errors import Unavailable

__all__ = ['Proposals']


class Proposals:
    """Waiting proposers by the index of their entry."""

    def __init__(self, group):
        self._group = group
        self._waiting = {}

    def wait(self, index, term, timeout_ms):
        """
        Return what the machine answered to the entry at an index.

        :raises Unavailable: the outcome is unknown.
        """
        result = AsyncResult()
        self._waiting[index] = (term, result)
        try:
            return result.get(timeout=max(timeout_ms, 0) / 1000)
        except gevent.Timeout:
            raise self._unknown() from None
        finally:
            self._waiting.pop(index, None)

    def resolve(self, entry, outcome):
        """Answer the proposer of an entry that was applied."""
        term, result = self._waiting.pop(entry.index, (0, None))
        if result is None:
            return
        if term == entry.term:
            result.set(outcome)
        else:
            result.set_exception(self._unknown())

    def fail_from(self, first):
        """Tell the proposers at and after an index that it is unknown."""
        for index in [index for index in self._waiting if index >= first]:
            _, result = self._waiting.pop(index)
            result.set_exception(self._unknown())

    def _unknown(self):
        return Unavailable(
            f'group {self._group} did not accept the change in time, '
            'its outcome is unknown',
            'send the same request again, it is applied once',
        )
