"""
damasklanding.budget.holdings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Admission by rate at an entry node.  It holds few tokens of each
organisation for a short time, asks the budget owner for more before they run
out, and hands back what it does not need.
"""

from collections import deque
import math

import gevent
from gevent.event import Event

from damasklanding.errors import DamasklandingError
from damasklanding.errors import OverRate
from damasklanding.errors import Unavailable
from damasklanding.node.view import budget_shard_of
from damasklanding.wire import GrantRequest
from damasklanding.wire import GrantReturn

__all__ = ['Holdings']

ASK_TIMEOUT_MS = 250
MIN_WAIT_MS = 100  # covers a round trip to the owner
RETRY_MS = 50  # between attempts to reach the owner
SWEEP_MS = 25
LEAD_MS = 20  # more is asked for when less than this is held
HORIZON = 0.6  # part of a grant's life that its size covers
RETURN_AFTER = 0.5  # part of a grant's life after which surplus goes back
DEMAND_WINDOW_MS = 100
CLOCK_MARGIN = 0.99  # clocks of two hosts may run apart by less


class _Lot:
    __slots__ = (
        'tokens',
        'returned',
        'expires_ms',
        'surplus_ms',
        'serial',
        'epoch',
    )

    def __init__(self, grant, sent_ms):
        life_ms = grant.ttl_ms * CLOCK_MARGIN
        self.tokens = grant.tokens
        self.returned = 0
        self.expires_ms = sent_ms + life_ms
        self.surplus_ms = sent_ms + life_ms * RETURN_AFTER
        self.serial = grant.serial
        self.epoch = grant.epoch


class _Waiter:
    __slots__ = ('deadline_ms', 'error', 'event', 'admitted')

    def __init__(self, deadline_ms):
        self.deadline_ms = deadline_ms
        self.error = None
        self.admitted = False
        self.event = Event()

    def admit(self):
        self.admitted = True
        self.event.set()

    def refuse(self, error):
        self.error = error
        self.event.set()


class _Holding:
    """Tokens, demand and waiters of one organisation."""

    __slots__ = (
        'name',
        'shard_name',
        'lots',
        'waiters',
        'asking',
        'taken',
        'counted_ms',
        'demand_per_ms',
        'low',
        'dry_until_ms',
        'ttl_ms',
    )

    def __init__(self, name, now_ms):
        self.name = name
        self.shard_name = budget_shard_of(name)
        self.lots = deque()
        self.waiters = deque()
        self.asking = False
        self.taken = 0
        self.counted_ms = now_ms
        self.demand_per_ms = 0.0
        self.low = 0
        self.dry_until_ms = 0.0
        self.ttl_ms = 0

    def held(self, now_ms):
        """Return the tokens at hand; lapsed ones are dropped."""
        lots = self.lots
        while lots and (lots[0].expires_ms <= now_ms or not lots[0].tokens):
            lots.popleft()
        return sum(lot.tokens for lot in lots)

    def take(self, now_ms):
        """Use one token, oldest first; return whether there was one."""
        lots = self.lots
        while lots:
            lot = lots[0]
            if lot.tokens and now_ms < lot.expires_ms:
                lot.tokens -= 1
                return True
            lots.popleft()
        return False

    def measure(self, now_ms):
        """Update the demand once a window has passed."""
        elapsed_ms = now_ms - self.counted_ms
        if elapsed_ms < DEMAND_WINDOW_MS:
            return
        latest = self.taken / elapsed_ms
        self.demand_per_ms = max(latest, (self.demand_per_ms + latest) / 2)
        if latest == 0.0 and self.demand_per_ms * self.ttl_ms < 0.5:
            self.demand_per_ms = 0.0
        self.low = math.ceil(self.demand_per_ms * LEAD_MS)
        self.taken = 0
        self.counted_ms = now_ms

    def wanted(self, now_ms):
        """Return how many tokens to ask for now."""
        waiting = len(self.waiters)
        ahead = math.ceil(self.demand_per_ms * self.ttl_ms * HORIZON)
        return max(waiting, waiting + ahead - self.held(now_ms))


class Holdings:
    """
    Tokens that this entry node holds, by organisation.

    :param view: :class:`damasklanding.node.view.FleetView`.
    :param pool: :class:`damasklanding.links.LinkPool`.
    :param owner: this node's :class:`damasklanding.budget.owner.Owner`.
    :param name: own name.
    :param spawn: starts a function in the background.
    :param sleep: pauses for a number of seconds.
    """

    def __init__(
        self,
        view,
        pool,
        owner,
        now_ms,
        metrics,
        name,
        spawn=gevent.spawn,
        sleep=gevent.sleep,
    ):
        self._view = view
        self._pool = pool
        self._owner = owner
        self._now_ms = now_ms
        self._metrics = metrics
        self._name = name
        self._spawn = spawn
        self._sleep = sleep
        self._holdings = {}
        self._sweeper = None

    def start(self):
        """Start to hand back unused tokens."""
        self._sweeper = gevent.spawn(self._sweep_loop)

    def stop(self):
        """Stop handing back; what is held lapses."""
        if self._sweeper is not None:
            self._sweeper.kill()

    def take(self, organisation, wait_ms):
        """
        Admit one request of an organisation, waiting for a short time.

        :param organisation:
            :class:`damasklanding.fleet.resources.Organisation`.
        :param wait_ms: longest wait for the rate to allow the request.
        :raises OverRate: above rate and burst; not admitted.
        :raises Unavailable: the budget can't be asked; not admitted.
        """
        now_ms = self._now_ms()
        name = organisation.name
        holding = self._holdings.get(name)
        if holding is None:
            holding = self._holdings[name] = _Holding(name, now_ms)
        holding.taken += 1
        if not holding.waiters and holding.take(now_ms):
            if not holding.asking:
                self._refill(holding, now_ms)
            return
        self._wait(holding, organisation, wait_ms, now_ms)

    def sweep(self):
        """Hand back surplus tokens and drop what is no longer in use."""
        now_ms = self._now_ms()
        for holding in list(self._holdings.values()):
            holding.measure(now_ms)
            for lot, surplus in _surplus(holding, now_ms):
                lot.tokens -= surplus
                lot.returned += surplus
                self._spawn(self._give_back, holding, lot)
            idle = not holding.lots and not holding.demand_per_ms
            if idle and not holding.asking and not holding.taken:
                del self._holdings[holding.name]

    def _sweep_loop(self):
        while True:
            gevent.sleep(SWEEP_MS / 1000)
            self.sweep()

    def _refill(self, holding, now_ms):
        lots = holding.lots
        if lots and len(lots) == 1 and lots[0].tokens > holding.low:
            return
        if holding.held(now_ms) > holding.low:
            return
        if now_ms >= holding.dry_until_ms and holding.wanted(now_ms) > 0:
            self._ask(holding)

    def _wait(self, holding, organisation, wait_ms, now_ms):
        dry_ms = holding.dry_until_ms - now_ms
        most = organisation.rate_per_s * wait_ms / 1000 + 1
        if dry_ms > 0 and (dry_ms > wait_ms or len(holding.waiters) > most):
            raise _over_rate(holding.name, dry_ms)
        limit_ms = max(wait_ms, MIN_WAIT_MS)
        waiter = _Waiter(now_ms + limit_ms)
        holding.waiters.append(waiter)
        self._ask(holding)
        try:
            waiter.event.wait(limit_ms / 1000)
        finally:
            # A token may have come in the same turn as the time limit.
            if not waiter.event.is_set():
                holding.waiters.remove(waiter)
        if waiter.admitted:
            return
        if waiter.error is not None:
            raise waiter.error
        raise _late(holding, self._now_ms())

    def _ask(self, holding):
        if not holding.asking:
            holding.asking = True
            self._spawn(self._ask_loop, holding)

    def _ask_loop(self, holding):
        try:
            pause_ms = self._ask_once(holding)
            while holding.waiters:
                if pause_ms:
                    self._sleep(pause_ms / 1000)
                pause_ms = self._ask_once(holding)
        finally:
            holding.asking = False

    def _ask_once(self, holding):
        now_ms = self._now_ms()
        holding.measure(now_ms)
        wanted = holding.wanted(now_ms)
        if not wanted:
            return 0
        try:
            grant = self._request(holding, wanted)
        except DamasklandingError as error:
            self._metrics.add('grants_total', error.code)
            pause_ms = min(error.retry_after_ms or RETRY_MS, RETRY_MS)
            self._refuse_late(holding, pause_ms, error)
            return pause_ms
        holding.ttl_ms = grant.ttl_ms
        if grant.tokens:
            holding.lots.append(_Lot(grant, now_ms))
            self._admit(holding)
        pause_ms = grant.retry_after_ms
        if pause_ms:
            now_ms = self._now_ms()
            holding.dry_until_ms = now_ms + pause_ms
            self._refuse_late(holding, pause_ms, None)
        return pause_ms

    def _request(self, holding, wanted):
        shard = self._view.state.get('budget_shard', holding.shard_name)
        if shard is None or not shard.owner:
            raise Unavailable(
                f'the budget of {holding.name} has no owner',
                retry_after_ms=RETRY_MS,
            )
        message = GrantRequest(
            holding.name, shard.revision, wanted, self._name
        )
        if self._owner.owns(shard):
            return self._owner.grant(message)
        return self._pool.request(shard.peer_address, message, ASK_TIMEOUT_MS)

    def _admit(self, holding):
        now_ms = self._now_ms()
        waiters = holding.waiters
        while waiters and holding.take(now_ms):
            waiters.popleft().admit()

    def _refuse_late(self, holding, pause_ms, error):
        now_ms = self._now_ms()
        again_ms = now_ms + pause_ms
        late = [w for w in holding.waiters if w.deadline_ms <= again_ms]
        for waiter in late:
            holding.waiters.remove(waiter)
            waiter.refuse(error or _over_rate(holding.name, pause_ms))

    def _give_back(self, holding, lot):
        shard = self._view.state.get('budget_shard', holding.shard_name)
        if shard is None or shard.revision != lot.epoch:
            return
        message = GrantReturn(
            holding.name, lot.epoch, lot.returned, lot.serial
        )
        try:
            if self._owner.owns(shard):
                self._owner.give_back(message)
            else:
                self._pool.request(shard.peer_address, message, ASK_TIMEOUT_MS)
        except DamasklandingError as error:
            self._metrics.add('grants_total', error.code)


def _surplus(holding, now_ms):
    held = holding.held(now_ms)
    for lot in list(holding.lots):
        if now_ms < lot.surplus_ms or not lot.tokens:
            continue
        left_ms = lot.expires_ms - now_ms
        needed = math.floor(holding.demand_per_ms * left_ms * HORIZON)
        surplus = min(lot.tokens, held - needed)
        if surplus > 0:
            held -= surplus
            yield lot, surplus


def _over_rate(name, retry_after_ms):
    return OverRate(
        f'{name} is above its rate',
        retry_after_ms=int(retry_after_ms) + 1,
    )


def _late(holding, now_ms):
    dry_ms = holding.dry_until_ms - now_ms
    if dry_ms > 0:
        return _over_rate(holding.name, dry_ms)
    return Unavailable(
        f'the budget of {holding.name} was not reached in time',
        retry_after_ms=RETRY_MS,
    )
