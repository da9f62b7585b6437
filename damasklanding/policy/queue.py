"""
damasklanding.policy.queue
~~~~~~~~~~~~~~~~~~~~~~~~~~

Short queue of calls that wait for a slot: important ones first, within a
class fair between organisations, bounded in time and length.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ['FairScheduler', 'Ticket', 'WaitQueue']

MAX_QUEUED = 2_048
MAX_QUEUED_PER_ORGANISATION = 256
RESERVED_SLOT_RATIO = 0.05  # of the slots, for classes that others outrank
STANDING_QUEUE_MS = (
    200.0  # overload stands once the queue was not empty so long
)


@dataclass(slots=True, eq=False)
class Ticket:
    """
    A call that waits.

    :ivar leave_at_ms: time from which a slot no longer helps.
    :ivar context: what the caller needs to find its waiter.
    :ivar waiting: whether it still stands in the queue.
    """

    request: object
    queued_ms: float
    leave_at_ms: float
    context: object = None
    waiting: bool = True


class FairScheduler:
    """
    Weighted fair choice between keys by virtual time.

    A key that was idle starts at the current virtual time: it neither owes
    for the past nor has saved up.
    """

    def __init__(self):
        self._virtual_start = {}
        self._virtual_now = 0.0

    def activate(self, key):
        """Add a key that has work again."""
        self._virtual_start[key] = max(
            self._virtual_start.get(key, 0.0), self._virtual_now
        )

    def deactivate(self, key):
        """Remove a key without work; what it took ahead is kept in mind."""
        if self._virtual_start.get(key, 0.0) <= self._virtual_now:
            self._virtual_start.pop(key, None)

    def next_due(self, keys):
        """Return the key that is due."""
        return min(keys, key=self._virtual_start.__getitem__)

    def charge(self, key, weight):
        """Count one slot for a key."""
        self._virtual_now = max(self._virtual_now, self._virtual_start[key])
        self._virtual_start[key] += 1.0 / weight
        if len(self._virtual_start) > MAX_QUEUED:
            self._drop_past_keys()

    def _drop_past_keys(self):
        self._virtual_start = {
            key: due
            for key, due in self._virtual_start.items()
            if due > self._virtual_now
        }


class _PriorityClass:
    """Waiting calls of one importance, by organisation, then profile."""

    def __init__(self):
        self.length = 0
        self._flows = {}
        self._organisation_scheduler = FairScheduler()
        self._profile_schedulers = {}

    def flow_length(self, organisation):
        """Return how many calls of an organisation wait."""
        flows = self._flows.get(organisation)
        return sum(map(len, flows.values())) if flows else 0

    def weight_sum(self):
        """Return the sum of the weights of waiting organisations."""
        return sum(
            next(iter(flows.values()))[0].request.weight
            for flows in self._flows.values()
        )

    def add(self, ticket):
        """Queue a ticket."""
        request = ticket.request
        flows = self._flows.get(request.organisation)
        if flows is None:
            flows = self._flows[request.organisation] = {}
            self._profile_schedulers.setdefault(
                request.organisation, FairScheduler()
            )
            self._organisation_scheduler.activate(request.organisation)
        flow = flows.get(request.profile)
        if flow is None:
            flow = flows[request.profile] = deque()
            self._profile_schedulers[request.organisation].activate(
                request.profile
            )
        flow.append(ticket)
        self.length += 1

    def take(self, newest_first):
        """Return the ticket that is due and count its slot."""
        organisation = self._organisation_scheduler.next_due(self._flows)
        flows = self._flows[organisation]
        profile_scheduler = self._profile_schedulers[organisation]
        profile = profile_scheduler.next_due(flows)
        flow = flows[profile]
        newest = _takes_newest(flow[0].request.discipline, newest_first)
        ticket = flow.pop() if newest else flow.popleft()
        if newest_first is not None:
            self._organisation_scheduler.charge(
                organisation, ticket.request.weight
            )
            profile_scheduler.charge(profile, ticket.request.profile_weight)
        self._after_removal(ticket)
        return ticket

    def oldest(self, organisation):
        """Return an organisation's ticket that has waited longest."""
        flows = self._flows[organisation].values()
        return min((flow[0] for flow in flows), key=lambda t: t.queued_ms)

    def remove(self, ticket):
        """Take a ticket out, wherever it stands."""
        request = ticket.request
        flow = self._flows[request.organisation][request.profile]
        if flow[0] is ticket:
            flow.popleft()
        else:
            flow.remove(ticket)
        self._after_removal(ticket)

    def _after_removal(self, ticket):
        self.length -= 1
        organisation = ticket.request.organisation
        flows = self._flows[organisation]
        if flows[ticket.request.profile]:
            return
        del flows[ticket.request.profile]
        self._profile_schedulers[organisation].deactivate(
            ticket.request.profile
        )
        if not flows:
            del self._flows[organisation]
            del self._profile_schedulers[organisation]
            self._organisation_scheduler.deactivate(organisation)


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
        self._lower_class_scheduler = FairScheduler()
        self._reserved_credit = 0.0
        self._nonempty_since_ms = None
        self.length = 0

    def __len__(self):
        return self.length

    def offer(self, request, leave_at_ms, context=None):
        """
        Queue a call.

        A full queue makes room for more important calls.  An
        organisation's full part makes room for its newest call only where
        the newest are served first.

        :return: its :class:`Ticket`, or None where there is no room.
        """
        if not self._make_room(request):
            return None
        now_ms = self._now_ms()
        if not self.length:
            self._nonempty_since_ms = now_ms
        ticket = Ticket(request, now_ms, leave_at_ms, context)
        waiting = self._classes.setdefault(
            request.importance, _PriorityClass()
        )
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
            ticket = self._take_next()
            if now_ms < ticket.leave_at_ms:
                return ticket
            self._report_drop(ticket)
        return None

    def remove(self, ticket):
        """Take out a ticket that no longer waits; harmless when repeated."""
        if not ticket.waiting:
            return
        self._classes[ticket.request.importance].remove(ticket)
        self._mark_left(ticket)

    def has_standing_queue(self):
        """Return whether the queue has not been empty for a while."""
        if self._nonempty_since_ms is None:
            return False
        return self._now_ms() - self._nonempty_since_ms > STANDING_QUEUE_MS

    def count_ahead_of(self, request):
        """
        Return about how many calls would get a slot before a new one.

        :return: those of higher importance, and of its own class as many
            as fairness between organisations lets pass.
        """
        ahead = 0.0
        for importance, waiting in self._classes.items():
            if importance > request.importance:
                ahead += waiting.length
        own = self._classes.get(request.importance)
        if own is None or not own.length:
            return ahead
        flow = own.flow_length(request.organisation)
        others = own.weight_sum()
        others += 0 if flow else request.weight
        return ahead + min(own.length, flow * others / request.weight)

    def _make_room(self, request):
        waiting = self._classes.get(request.importance)
        if waiting is not None:
            flow = waiting.flow_length(request.organisation)
            if flow >= MAX_QUEUED_PER_ORGANISATION:
                return self._replace_oldest(waiting, request)
        if self.length < MAX_QUEUED:
            return True
        lowest = min(self._waiting_levels())
        if lowest >= request.importance:
            return False
        ticket = self._classes[lowest].take(None)
        self._mark_left(ticket)
        self._report_drop(ticket)
        return True

    def _replace_oldest(self, waiting, request):
        if not _takes_newest(request.discipline, self.has_standing_queue()):
            return False
        ticket = waiting.oldest(request.organisation)
        self.remove(ticket)
        self._report_drop(ticket)
        return True

    def _report_drop(self, ticket):
        if self._on_drop is not None:
            self._on_drop(ticket)

    def _take_next(self):
        levels = self._waiting_levels()
        top = max(levels)
        if len(levels) > 1:
            self._reserved_credit += RESERVED_SLOT_RATIO
        if self._reserved_credit >= 1.0 and len(levels) > 1:
            self._reserved_credit -= 1.0
            ticket = self._take_reserved(levels, top)
        else:
            ticket = self._classes[top].take(self.has_standing_queue())
        self._mark_left(ticket)
        return ticket

    def _take_reserved(self, levels, top):
        lower = [level for level in levels if level != top]
        for level in lower:
            self._lower_class_scheduler.activate(level)
        level = self._lower_class_scheduler.next_due(lower)
        self._lower_class_scheduler.charge(level, 1)
        return self._classes[level].take(False)

    def _waiting_levels(self):
        return [
            level for level, waiting in self._classes.items() if waiting.length
        ]

    def _mark_left(self, ticket):
        ticket.waiting = False
        self.length -= 1
        if not self.length:
            self._nonempty_since_ms = None


def _takes_newest(discipline, has_standing_queue):
    if discipline == 'adaptive':
        return bool(has_standing_queue)
    return discipline == 'lifo'
