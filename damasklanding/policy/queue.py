"""
damasklanding.policy.queue
~~~~~~~~~~~~~~~~~~~~~~~~~~

Queue of calls that wait for a slot, bounded in length and waiting time.  Calls
of a higher rank are served first; calls of equal rank are scheduled fairly
between organisations, and then between the profiles of each.  During a
standing overload, a call whose parent has already had answers from earlier
calls goes first: a parent that needs several loses all of them with one.
"""

from collections import deque
from dataclasses import dataclass

from damasklanding.policy.levels import RANKS

__all__ = ['FairScheduler', 'Ticket', 'WaitQueue']

MAX_QUEUED = 2_048
MAX_QUEUED_PER_ORGANISATION = 256
#: Ratio of the slots that goes to all but the highest waiting rank.
RESERVED_SLOT_RATIO = 0.05
#: A queue that has not been empty for longer than this is a standing queue.
STANDING_QUEUE_MS = 200.0


@dataclass(slots=True, eq=False)
class Ticket:
    """
    A call in the queue.

    :ivar request: :class:`~damasklanding.policy.types.AdmissionRequest`.
    :ivar queued_ms: time when it was queued.
    :ivar leave_at_ms: time from which it gets no slot any more.
    :ivar context: any object of the caller, such as its waiter.
    :ivar waiting: whether it is still in the queue.
    """

    request: object
    queued_ms: float
    leave_at_ms: float
    context: object = None
    waiting: bool = True


class FairScheduler:
    """
    Weighted fair scheduling between keys by virtual time.

    A key that was idle starts at the current virtual time, so it does not
    accumulate credit while it has no calls.
    """

    def __init__(self):
        self._virtual_start = {}
        self._virtual_now = 0.0

    def activate(self, key):
        """Add a key that has waiting calls again."""
        self._virtual_start[key] = max(
            self._virtual_start.get(key, 0.0), self._virtual_now
        )

    def deactivate(self, key):
        """
        Remove a key without waiting calls.

        A key that is ahead of the virtual time is kept, so that it can't
        avoid its charge by becoming idle.
        """
        if self._virtual_start.get(key, 0.0) <= self._virtual_now:
            self._virtual_start.pop(key, None)

    def next_due(self, keys):
        """Return the key with the earliest virtual time."""
        return min(keys, key=self._virtual_start.__getitem__)

    def charge(self, key, weight):
        """Charge a key for one slot."""
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
    """
    Waiting calls of one rank, by organisation and profile.

    :ivar length: number of calls.
    """

    def __init__(self):
        self.length = 0
        self._flows = {}
        self._organisation_scheduler = FairScheduler()
        self._profile_schedulers = {}

    def flow_length(self, organisation):
        """Return the number of waiting calls of an organisation."""
        flows = self._flows.get(organisation)
        return sum(map(len, flows.values())) if flows else 0

    def weight_sum(self):
        """Return the sum of the weights of waiting organisations."""
        return sum(
            next(iter(flows.values()))[0].request.weight
            for flows in self._flows.values()
        )

    def add(self, ticket):
        """Add a ticket."""
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

    def take(self, newest_first, is_regulated=False):
        """
        Remove and return the next ticket, and charge its slot.

        :param newest_first: whether profiles with the discipline
            ``adaptive`` serve the newest call first, of those whose parents
            have had most answers; None removes a ticket without a charge.
        :param is_regulated: whether they serve the oldest one of these.
        """
        organisation = self._organisation_scheduler.next_due(self._flows)
        flows = self._flows[organisation]
        profile_scheduler = self._profile_schedulers[organisation]
        profile = profile_scheduler.next_due(flows)
        flow = flows[profile]
        discipline = flow[0].request.discipline
        if not _takes_newest(discipline, newest_first):
            ticket = flow.popleft()
        elif discipline == 'adaptive':
            calls = flow if is_regulated else reversed(flow)
            ticket = max(calls, key=_answered_before)
            flow.remove(ticket)
        else:
            ticket = flow.pop()
        if newest_first is not None:
            self._organisation_scheduler.charge(
                organisation, ticket.request.weight
            )
            profile_scheduler.charge(profile, ticket.request.profile_weight)
        self._after_removal(ticket)
        return ticket

    def oldest(self, organisation):
        """Return the ticket of an organisation that has waited longest."""
        flows = self._flows[organisation].values()
        return min((flow[0] for flow in flows), key=lambda t: t.queued_ms)

    def remove(self, ticket):
        """Remove a ticket from any position."""
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
    Queue of the calls that wait for one backend server.

    :param now_ms: function that returns the current time in milliseconds.
    :param on_drop: function that is called with each ticket that leaves the
        queue without a slot, except those removed by :meth:`remove`.
    :ivar length: number of waiting calls.
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
        Add a call to the queue.

        A full queue drops a call of a lower rank to make room.  If an
        organisation has reached its own maximum, its oldest call is dropped
        for the new one, but only if the newest calls are served first.

        :param request: :class:`~damasklanding.policy.types.AdmissionRequest`.
        :param leave_at_ms: time from which the call gets no slot any more.
        :param context: any object that the ticket should carry.
        :return: its :class:`Ticket`, or None if there is no room.
        """
        if not self._make_room(request):
            return None
        now_ms = self._now_ms()
        if not self.length:
            self._nonempty_since_ms = now_ms
        ticket = Ticket(request, now_ms, leave_at_ms, context)
        priority_class = self._classes.setdefault(
            request.turn, _PriorityClass()
        )
        priority_class.add(ticket)
        self.length += 1
        return ticket

    def take(self, is_regulated=False):
        """
        Remove and return the next ticket, or return None if none waits.

        Tickets that are past ``leave_at_ms`` are dropped.

        :param is_regulated: whether the callers send so few calls that nearly
            all get a slot; the newest ones are not preferred then.
        """
        now_ms = self._now_ms()
        while self.length:
            ticket = self._take_next(is_regulated)
            if now_ms < ticket.leave_at_ms:
                return ticket
            self._report_drop(ticket)
        return None

    def remove(self, ticket):
        """Remove a ticket; has no effect if it has left the queue already."""
        if not ticket.waiting:
            return
        self._classes[ticket.request.turn].remove(ticket)
        self._mark_left(ticket)

    def has_standing_queue(self):
        """Return whether the queue has not been empty for some time."""
        if self._nonempty_since_ms is None:
            return False
        return self._now_ms() - self._nonempty_since_ms > STANDING_QUEUE_MS

    def count_ahead_of(self, request):
        """
        Estimate how many waiting calls would get a slot before a new one.

        :return: the number of calls of a higher rank, plus the calls of equal
            rank that fair scheduling serves first.
        """
        ahead = 0.0
        for rank, priority_class in self._classes.items():
            if rank > request.turn:
                ahead += priority_class.length
        own_class = self._classes.get(request.turn)
        if own_class is None or not own_class.length:
            return ahead
        own_queued = own_class.flow_length(request.organisation)
        total_weight = own_class.weight_sum()
        total_weight += 0 if own_queued else request.weight
        return ahead + min(
            own_class.length, own_queued * total_weight / request.weight
        )

    def _make_room(self, request):
        """Return whether a call may be added; drop another one if needed."""
        priority_class = self._classes.get(request.turn)
        if priority_class is not None:
            queued = priority_class.flow_length(request.organisation)
            if queued >= MAX_QUEUED_PER_ORGANISATION:
                return self._replace_oldest(priority_class, request)
        if self.length < MAX_QUEUED:
            return True
        lowest = min(self._waiting_levels())
        if lowest >= request.turn:
            return False
        ticket = self._classes[lowest].take(None)
        self._mark_left(ticket)
        self._report_drop(ticket)
        return True

    def _replace_oldest(self, priority_class, request):
        if not _takes_newest(request.discipline, self.has_standing_queue()):
            return False
        ticket = priority_class.oldest(request.organisation)
        self.remove(ticket)
        self._report_drop(ticket)
        return True

    def _report_drop(self, ticket):
        if self._on_drop is not None:
            self._on_drop(ticket)

    def _take_next(self, is_regulated):
        levels = self._waiting_levels()
        top = max(levels)
        if len(levels) > 1 and top < RANKS:
            self._reserved_credit += RESERVED_SLOT_RATIO
        if self._reserved_credit >= 1.0 and len(levels) > 1 and top < RANKS:
            self._reserved_credit -= 1.0
            ticket = self._take_reserved(levels, top)
        else:
            ticket = self._classes[top].take(
                self.has_standing_queue(), is_regulated
            )
        self._mark_left(ticket)
        return ticket

    def _take_reserved(self, levels, top):
        """Take a ticket of a rank below the highest one."""
        lower = [level for level in levels if level != top]
        for level in lower:
            self._lower_class_scheduler.activate(level)
        level = self._lower_class_scheduler.next_due(lower)
        self._lower_class_scheduler.charge(level, 1)
        return self._classes[level].take(False)

    def _waiting_levels(self):
        return [
            level
            for level, priority_class in self._classes.items()
            if priority_class.length
        ]

    def _mark_left(self, ticket):
        ticket.waiting = False
        self.length -= 1
        if not self.length:
            self._nonempty_since_ms = None


def _answered_before(ticket):
    return ticket.request.answered_before


def _takes_newest(discipline, has_standing_queue):
    """Return whether a discipline serves the newest call first now."""
    if discipline == 'adaptive':
        return bool(has_standing_queue)
    return discipline == 'lifo'
