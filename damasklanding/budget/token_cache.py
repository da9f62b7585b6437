"""
damasklanding.budget.token_cache
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tokens, demand and waiting requests of one organisation at an entry node.
"""

from collections import deque
import math

from gevent.event import Event

from damasklanding.fleet.shards import budget_shard_of

__all__ = ['CLOCK_MARGIN', 'Holding', 'Lot', 'Waiter']

CLOCK_MARGIN = 0.99  # clocks of two hosts run apart by less
LEAD_MS = 20  # more is asked for when less than this is held
PLENTY_HORIZON = 0.9  # part of a grant's life that its size covers
SCARCE_HORIZON = 0.5  # the same while the owner is short of tokens
SURPLUS_AGE = 0.6  # part of a grant's life after which surplus goes back
DEMAND_WINDOW_MS = 100
REFUSED_MEMORY_MS = 1_000.0  # time constant; a second is a client's pause
MIN_DEMAND = 0.5  # requests in a grant's life that count as demand


class Lot:
    """
    Tokens of one grant with a common time of lapse.

    :ivar surplus_ms: time from which unneeded tokens may go back.
    """

    __slots__ = ('tokens', 'grant', 'expires_ms', 'surplus_ms')

    def __init__(self, grant, tokens, start_ms):
        life_ms = grant.ttl_ms * CLOCK_MARGIN
        self.tokens = tokens
        self.grant = grant
        self.expires_ms = start_ms + life_ms
        self.surplus_ms = start_ms + life_ms * SURPLUS_AGE


class Waiter:
    """
    A request that waits for a token.

    :ivar deadline_ms: until when the owner may answer.
    :ivar due_by_ms: until when, by the owner's answer, its token is to come.
    :ivar lot: where its token came from, None for a node's own part.
    :ivar organisation: whose budget it needs.
    """

    __slots__ = (
        'admitted',
        'deadline_ms',
        'due_by_ms',
        'error',
        'event',
        'lot',
        'organisation',
    )

    def __init__(self, deadline_ms, organisation, due_by_ms):
        self.deadline_ms = deadline_ms
        self.due_by_ms = due_by_ms
        self.organisation = organisation
        self.error = None
        self.admitted = False
        self.lot = None
        self.event = Event()

    def admit(self, lot=None):
        """Let the request go on."""
        self.admitted = True
        self.lot = lot
        self.event.set()

    def refuse(self, error):
        """Let the request fail."""
        self.error = error
        self.event.set()


class Holding:
    """
    What an entry node holds of one organisation's budget.

    :ivar asking: whether a request to the owner is under way.
    :ivar promised: tokens that become usable later.
    :ivar scarce: whether the owner was short of tokens.
    :ivar horizon_ms: when the next token is due that no one has yet, as far
        as known; 0 while there are tokens.
    :ivar alone_until_ms: until when the owner is not asked, since it did
        not issue.
    :ivar portion: of the node's even part that may be used meanwhile.
    """

    __slots__ = (
        'name',
        'shard_name',
        'lots',
        'waiters',
        'asking',
        'promised',
        'scarce',
        'horizon_ms',
        'alone_until_ms',
        'portion',
        'taken',
        'low',
        'ttl_ms',
        '_counted_ms',
        '_demand_per_ms',
        '_refused',
        '_refused_at_ms',
    )

    def __init__(self, name, now_ms):
        self.name = name
        self.shard_name = budget_shard_of(name)
        self.lots = deque()
        self.waiters = deque()
        self.asking = False
        self.promised = 0
        self.scarce = False
        self.horizon_ms = 0.0
        self.alone_until_ms = 0.0
        self.portion = 0.0
        self.taken = 0
        self.low = 0
        self.ttl_ms = 0
        self._counted_ms = now_ms
        self._demand_per_ms = 0.0
        self._refused = 0.0
        self._refused_at_ms = now_ms

    def idle(self):
        """Return whether there is nothing left to remember."""
        return not (
            self.lots
            or self.waiters
            or self.asking
            or self.promised
            or self.taken
            or self._demand_per_ms
        )

    def held(self, now_ms):
        """Return the tokens at hand; lapsed ones are dropped."""
        lots = self.lots
        while lots and (lots[0].expires_ms <= now_ms or not lots[0].tokens):
            lots.popleft()
        return sum(lot.tokens for lot in lots if lot.expires_ms > now_ms)

    def take(self, now_ms):
        """Use one token, oldest first; return its lot, None without one."""
        lots = self.lots
        while lots:
            lot = lots[0]
            if lot.tokens and now_ms < lot.expires_ms:
                lot.tokens -= 1
                return lot
            lots.popleft()
        return None

    def put_back(self, lot, now_ms):
        """Take back a token whose request never ran, unless it has lapsed."""
        if now_ms >= lot.expires_ms:
            return
        lot.tokens += 1
        if not any(kept is lot for kept in self.lots):
            self.lots.appendleft(lot)
        self.admit_waiters(now_ms)

    def admit_waiters(self, now_ms):
        """Give the tokens at hand to waiting requests, in order."""
        waiters = self.waiters
        while waiters:
            lot = self.take(now_ms)
            if lot is None:
                return
            waiters.popleft().admit(lot)

    def admit_some(self, admits):
        """Let uncovered requests go on for which a function says so."""
        covered = list(self.waiters)[: self.promised]
        stay = []
        for waiter in self.uncovered():
            if admits(waiter):
                waiter.admit()
            else:
                stay.append(waiter)
        self.waiters = deque(covered + stay)

    def uncovered(self):
        """Return the waiting requests that no promised token will serve."""
        return list(self.waiters)[self.promised :]

    def take_out_late(self, is_late):
        """Take out uncovered requests for which a function says so."""
        covered = list(self.waiters)[: self.promised]
        late = []
        stay = []
        for waiter in self.uncovered():
            (late if is_late(waiter) else stay).append(waiter)
        self.waiters = deque(covered + stay)
        return late

    def note_refused(self, now_ms):
        """Count a request that was refused for the rate."""
        self._fade_refused(now_ms)
        self._refused += 1.0

    def refused_lately(self, now_ms):
        """Return the requests refused in about the last second."""
        self._fade_refused(now_ms)
        return self._refused

    def _fade_refused(self, now_ms):
        passed_ms = now_ms - self._refused_at_ms
        self._refused *= math.exp(-passed_ms / REFUSED_MEMORY_MS)
        self._refused_at_ms = now_ms

    def measure(self, now_ms):
        """Update the demand once a window has passed."""
        elapsed_ms = now_ms - self._counted_ms
        if elapsed_ms < DEMAND_WINDOW_MS:
            return
        latest = self.taken / elapsed_ms
        demand = max(latest, (self._demand_per_ms + latest) / 2)
        if not self.taken and demand * max(self.ttl_ms, 1) < MIN_DEMAND:
            demand = 0.0
        self._demand_per_ms = demand
        self.low = math.ceil(demand * LEAD_MS)
        self.taken = 0
        self._counted_ms = now_ms

    def wanted(self, waiting, now_ms):
        """Return how many tokens to ask for now, waiting ones included."""
        horizon = SCARCE_HORIZON if self.scarce else PLENTY_HORIZON
        ahead = math.ceil(self._demand_per_ms * self.ttl_ms * horizon)
        return max(waiting, waiting + ahead - self.held(now_ms))

    def surplus(self, now_ms):
        """
        Take out tokens that should go back to the owner.

        :return: list of grants, each with its ``returned`` raised.
        """
        if not self.scarce:
            return []
        held = self.held(now_ms)
        grants = []
        for lot in self.lots:
            if not lot.tokens or now_ms < lot.surplus_ms:
                continue
            left_ms = lot.expires_ms - now_ms
            needed = self._demand_per_ms * left_ms
            spare = min(lot.tokens, held - math.floor(needed))
            if left_ms > 0 and spare > 0:
                held -= spare
                lot.tokens -= spare
                lot.grant.returned += spare
                grants.append(lot.grant)
        return grants
