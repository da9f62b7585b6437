"""
damasklanding.policy.queue
~~~~~~~~~~~~~~~~~~~~~~~~~~

Short queue of calls that wait for a slot: important ones first, within a
class fair between organisations, bounded in time and length.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ['FairShares', 'Ticket', 'WaitQueue']

MAX_QUEUED = 2_048
MAX_QUEUED_PER_ORGANISATION = 256
RESERVED_SHARE = 0.05  # of the slots, for classes that others outrank
STANDING_MS = 200.0  # overload stands once the queue was not empty so long


@dataclass(slots=True, eq=False)
class Ticket:
    """
    A call that waits.

    :ivar leave_at_ms: time from which a slot no longer helps.
    :ivar context: what the caller needs to find its waiter.
    :ivar waiting: whether it still stands in the queue.
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
        self._due = {}
        self._now = 0.0

    def join(self, key):
        """Add a key that has work again."""
        self._due[key] = max(self._due.get(key, 0.0), self._now)

    def leave(self, key):
        """Remove a key without work; what it took ahead is kept in mind."""
        if self._due.get(key, 0.0) <= self._now:
            self._due.pop(key, None)

    def first(self, keys):
        """Return the key that is due."""
        return min(keys, key=self._due.__getitem__)

    def charge(self, key, weight):
        """Count one slot for a key."""
        self._now = max(self._now, self._due[key])
        self._due[key] += 1.0 / weight
        if len(self._due) > MAX_QUEUED:
            self._forget()

    def _forget(self):
        self._due = {
            key: due for key, due in self._due.items() if due > self._now
        }


class _Class:
    """Waiting calls of one importance, by organisation, then profile."""

    def __init__(self):
        self.length = 0
        self._flows = {}
        self._shares = FairShares()
        self._inner = {}

    def flow_length(self, organisation):
        """Return how many calls of an organisation wait."""
        flows = self._flows.get(organisation)
        return sum(map(len, flows.values())) if flows else 0

    def weight_sum(self):
        """Return the sum of the weights of waiting organisations."""
        return sum(
            next(iter(flows.values()))[0].work.weight
            for flows in self._flows.values()
        )

    def add(self, ticket):
        """Queue a ticket."""
        work = ticket.work
        flows = self._flows.get(work.organisation)
        if flows is None:
            flows = self._flows[work.organisation] = {}
            self._inner.setdefault(work.organisation, FairShares())
            self._shares.join(work.organisation)
        flow = flows.get(work.profile)
        if flow is None:
            flow = flows[work.profile] = deque()
            self._inner[work.organisation].join(work.profile)
        flow.append(ticket)
        self.length += 1

    def take(self, newest_first):
        """Return the ticket that is due and count its slot."""
        organisation = self._shares.first(self._flows)
        flows = self._flows[organisation]
        inner = self._inner[organisation]
        profile = inner.first(flows)
        flow = flows[profile]
        newest = _takes_newest(flow[0].work.discipline, newest_first)
        ticket = flow.pop() if newest else flow.popleft()
        if newest_first is not None:
            self._shares.charge(organisation, ticket.work.weight)
            inner.charge(profile, ticket.work.profile_weight)
        self._removed(ticket)
        return ticket

    def oldest(self, organisation):
        """Return an organisation's ticket that has waited longest."""
        flows = self._flows[organisation].values()
        return min((flow[0] for flow in flows), key=lambda t: t.queued_ms)

    def remove(self, ticket):
        """Take a ticket out, wherever it stands."""
        work = ticket.work
        flow = self._flows[work.organisation][work.profile]
        if flow[0] is ticket:
            flow.popleft()
        else:
            flow.remove(ticket)
        self._removed(ticket)

    def _removed(self, ticket):
        self.length -= 1
        organisation = ticket.work.organisation
        flows = self._flows[organisation]
        if flows[ticket.work.profile]:
            return
        del flows[ticket.work.profile]
        self._inner[organisation].leave(ticket.work.profile)
        if not flows:
            del self._flows[organisation]
            del self._inner[organisation]
            self._shares.leave(organisation)


class WaitQueue:
    """
    Waiting calls of one backend server.

    :param now_ms: clock.
    :param on_drop: function that is called with each ticket that left the
        queue without a slot, but for those that :meth:`remove` took out.
    :ivar length: number of calls that wait.
    """

    def __init__(self, now_ms, on_drop=None):
        self._now_ms = now_ms
        self._on_drop = on_drop
        self._classes = {}
        self._level_shares = FairShares()
        self._reserved = 0.0
        self._busy_since_ms = None
        self.length = 0

    def __len__(self):
        return self.length

    def offer(self, work, leave_at_ms, context=None):
        """
        Queue a call.

        A full queue makes room for more important calls.  An
        organisation's full part makes room for its newest call only where
        the newest are served first.

        :return: its :class:`Ticket`, or None where there is no room.
        """
        if not self._make_room(work):
            return None
        now_ms = self._now_ms()
        if not self.length:
            self._busy_since_ms = now_ms
        ticket = Ticket(work, now_ms, leave_at_ms, context)
        waiting = self._classes.setdefault(work.importance, _Class())
        waiting.add(ticket)
        self.length += 1
        return ticket

    def take(self):
        """
        Return the ticket that is due, None where none waits.

        Tickets past their time are dropped before they take a slot.
        """
        now_ms = self._now_ms()
        while self.length:
            ticket = self._take_any()
            if now_ms < ticket.leave_at_ms:
                return ticket
            self._dropped(ticket)
        return None

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

    def ahead_of(self, work):
        """
        Return about how many calls would get a slot before a new one.

        :return: those of higher importance, and of its own class as many
            as fairness between organisations lets pass.
        """
        ahead = 0.0
        for importance, waiting in self._classes.items():
            if importance > work.importance:
                ahead += waiting.length
        own = self._classes.get(work.importance)
        if own is None or not own.length:
            return ahead
        flow = own.flow_length(work.organisation)
        others = own.weight_sum()
        others += 0 if flow else work.weight
        return ahead + min(own.length, flow * others / work.weight)

    def _make_room(self, work):
        waiting = self._classes.get(work.importance)
        if waiting is not None:
            flow = waiting.flow_length(work.organisation)
            if flow >= MAX_QUEUED_PER_ORGANISATION:
                return self._replace_oldest(waiting, work)
        if self.length < MAX_QUEUED:
            return True
        lowest = min(self._levels())
        if lowest >= work.importance:
            return False
        ticket = self._classes[lowest].take(None)
        self._ended(ticket)
        self._dropped(ticket)
        return True

    def _replace_oldest(self, waiting, work):
        if not _takes_newest(work.discipline, self.overload_stands()):
            return False
        ticket = waiting.oldest(work.organisation)
        self.remove(ticket)
        self._dropped(ticket)
        return True

    def _dropped(self, ticket):
        if self._on_drop is not None:
            self._on_drop(ticket)

    def _take_any(self):
        levels = self._levels()
        top = max(levels)
        if len(levels) > 1:
            self._reserved += RESERVED_SHARE
        if self._reserved >= 1.0 and len(levels) > 1:
            self._reserved -= 1.0
            ticket = self._take_reserved(levels, top)
        else:
            ticket = self._classes[top].take(self.overload_stands())
        self._ended(ticket)
        return ticket

    def _take_reserved(self, levels, top):
        lower = [level for level in levels if level != top]
        for level in lower:
            self._level_shares.join(level)
        level = self._level_shares.first(lower)
        self._level_shares.charge(level, 1)
        return self._classes[level].take(False)

    def _levels(self):
        return [
            level for level, waiting in self._classes.items() if waiting.length
        ]

    def _ended(self, ticket):
        ticket.waiting = False
        self.length -= 1
        if not self.length:
            self._busy_since_ms = None


def _takes_newest(discipline, overload_stands):
    if discipline == 'adaptive':
        return bool(overload_stands)
    return discipline == 'lifo'
