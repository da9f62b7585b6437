"""
damasklanding.policy.queue
~~~~~~~~~~~~~~~~~~~~~~~~~~

Short queue of calls that wait for a slot: important ones first, within a
class fair between organisations, bounded in time and length.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ['FairShares', 'Ticket', 'WaitQueue']

MAX_QUEUED = 4_096
MAX_QUEUED_PER_ORGANISATION = 512
RESERVED_SHARE = 0.05  # of the slots, for classes that others outrank
STANDING_MS = 200  # overload stands once the queue was not empty for so long


@dataclass(slots=True, eq=False)
class Ticket:
    """
    A call that waits.

    :ivar leave_at_ms: latest time at which a slot still helps.
    """

    work: object
    queued_ms: float
    leave_at_ms: float
    context: object = None
    waiting: bool = True


class FairShares:
    """
    Weighted fair choice between keys by virtual time.

    A key that was idle starts at the current virtual time: it neither owes
    for the past nor has saved up.
    """

    def __init__(self):
        self._finish = {}
        self._now = 0.0

    def join(self, key):
        """Add a key that has work again."""
        self._finish[key] = max(self._finish.get(key, 0.0), self._now)

    def leave(self, key):
        """Remove a key without work; its debt lapses as time passes it."""
        if self._finish.get(key, 0.0) <= self._now:
            self._finish.pop(key, None)

    def first(self, keys):
        """Return the key that is due."""
        return min(keys, key=self._finish.__getitem__)

    def charge(self, key, weight):
        """Count one slot for a key."""
        start = self._finish[key]
        self._now = max(self._now, start)
        self._finish[key] = start + 1.0 / weight


class _Class:
    """Waiting calls of one importance, by organisation and profile."""

    def __init__(self):
        self.length = 0
        self.flows = {}
        self.shares = FairShares()

    def add(self, ticket):
        """Queue a ticket."""
        organisation = ticket.work.organisation
        flow = self.flows.get(organisation)
        if flow is None:
            flow = self.flows[organisation] = deque()
            self.shares.join(organisation)
        flow.append(ticket)
        self.length += 1

    def take(self, newest_first):
        """Return the ticket that is due."""
        organisation = self.shares.first(self.flows)
        flow = self.flows[organisation]
        discipline = flow[0].work.discipline
        newest = discipline == 'lifo' or (
            discipline == 'adaptive' and newest_first
        )
        ticket = flow.pop() if newest else flow.popleft()
        self.shares.charge(organisation, ticket.work.weight)
        self._took(organisation, flow)
        return ticket

    def remove(self, ticket):
        """Take a ticket out, wherever it stands."""
        organisation = ticket.work.organisation
        flow = self.flows[organisation]
        flow.remove(ticket)
        self._took(organisation, flow)

    def _took(self, organisation, flow):
        self.length -= 1
        if not flow:
            del self.flows[organisation]
            self.shares.leave(organisation)


class WaitQueue:
    """
    Waiting calls of one backend server.

    :param now_ms: clock.
    """

    def __init__(self, now_ms):
        self._now_ms = now_ms
        self._classes = {}
        self._reserved = 0.0
        self._busy_since_ms = None
        self.length = 0

    def __len__(self):
        return self.length

    def offer(self, work, leave_at_ms, context=None):
        """
        Queue a call.

        :return: its :class:`Ticket`, or None where there is no room.
        """
        waiting = self._classes.setdefault(work.importance, _Class())
        flow = waiting.flows.get(work.organisation, ())
        if len(flow) >= MAX_QUEUED_PER_ORGANISATION:
            return None
        if self.length >= MAX_QUEUED:
            return None
        now_ms = self._now_ms()
        if not self.length:
            self._busy_since_ms = now_ms
        ticket = Ticket(work, now_ms, leave_at_ms, context)
        waiting.add(ticket)
        self.length += 1
        return ticket

    def take(self):
        """
        Return the ticket that is due, None where nothing waits.

        Tickets past their time are not skipped here: their own waiters
        take them out.
        """
        if not self.length:
            return None
        importance = self._next_importance()
        ticket = self._classes[importance].take(self.overload_stands())
        self._ended(ticket)
        return ticket

    def remove(self, ticket):
        """Take out a ticket that no longer waits; harmless when repeated."""
        if not ticket.waiting:
            return
        self._classes[ticket.work.importance].remove(ticket)
        self._ended(ticket)

    def overload_stands(self):
        """Return whether the queue has not been empty for a while."""
        if self._busy_since_ms is None:
            return False
        return self._now_ms() - self._busy_since_ms > STANDING_MS

    def _ended(self, ticket):
        ticket.waiting = False
        self.length -= 1
        if not self.length:
            self._busy_since_ms = None

    def _next_importance(self):
        levels = sorted(
            level for level, waiting in self._classes.items() if waiting.length
        )
        if len(levels) == 1:
            return levels[0]
        self._reserved += RESERVED_SHARE
        if self._reserved < 1.0:
            return levels[-1]
        self._reserved -= 1.0
        return levels[0]
