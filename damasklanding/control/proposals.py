"""
damasklanding.control.proposals
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Proposals whose entries this replica has appended as leader and that wait until
the entries are committed and applied.
"""

import gevent
from gevent.event import AsyncResult

from damasklanding.errors import Unavailable

__all__ = ['Proposals']


class Proposals:
    """Proposers that wait, by the log index of their entry."""

    def __init__(self, group):
        self._group = group
        self._waiting = {}

    def wait(self, index, term, timeout_ms):
        """
        Wait until an entry is applied and return the result.

        :return: bytes that ``apply`` of the state machine returned.
        :raises Unavailable: it is unknown whether the entry was committed.
        """
        result = AsyncResult()
        self._waiting[index] = (term, result)
        try:
            return result.get(timeout=max(timeout_ms, 0) / 1000)
        except gevent.Timeout:
            raise self._unknown_outcome_error() from None
        finally:
            self._waiting.pop(index, None)

    def resolve(self, entry, outcome):
        """
        Return the outcome of an applied entry to its proposer.

        An entry of another term has replaced the proposed one.
        """
        term, result = self._waiting.pop(entry.index, (0, None))
        if result is None:
            return
        if term == entry.term:
            result.set(outcome)
        else:
            result.set_exception(self._unknown_outcome_error())

    def fail_from(self, first):
        """Fail the proposals at or after an index as of unknown outcome."""
        for index in [index for index in self._waiting if index >= first]:
            _, result = self._waiting.pop(index)
            result.set_exception(self._unknown_outcome_error())

    def _unknown_outcome_error(self):
        return Unavailable(
            f'group {self._group} did not commit the change in time, '
            'its outcome is unknown',
            'send the same request again, it is applied once',
        )
