"""
damasklanding.budget.rate_limiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Admission by rate at an entry node.  It holds few tokens of each
organisation for a short time, asks the budget owner for more before they run
out, and hands back what it does not need.
"""

from dataclasses import dataclass
import math

import gevent
from gevent.event import Event

from damasklanding.budget.token_cache import CLOCK_MARGIN
from damasklanding.budget.token_cache import Holding
from damasklanding.budget.token_cache import Lot
from damasklanding.budget.token_cache import Waiter
from damasklanding.errors import DamasklandingError
from damasklanding.errors import OverRate
from damasklanding.errors import StaleState
from damasklanding.errors import Unavailable
from damasklanding.messages import GrantRequest
from damasklanding.messages import GrantReturn

__all__ = ['RateLimiter', 'Received']

ASK_TIMEOUT_MS = 250
MIN_WAIT_MS = 300  # for an owner: a life of tokens and some round trips
RETRY_MS = 50  # between attempts to reach the owner
DRY_PAUSE_MS = 20  # between requests that brought too little
SWEEP_MS = 40
MIN_RETRY_AFTER_MS = 50  # a round trip of a caller, many times over
MAX_RETRY_AFTER_MS = 2_000  # later, most callers no longer wait
ALONE_MS = 200  # before an owner that did not issue is asked again
#: Of a node's even part, where the owner says that it does not issue: all
#: parts together are the whole budget.
IDLE_OWNER_PORTION = 1.0
#: The same where the owner is silent and may still issue to other nodes.
SILENT_OWNER_PORTION = 0.4


@dataclass(slots=True)
class Received:
    """A grant as its lots remember it."""

    epoch: int
    serial: int
    ttl_ms: int
    returned: int = 0


class RateLimiter:
    """
    Tokens that this entry node holds, by organisation.

    :param view: :class:`damasklanding.node.view.FleetView`.
    :param pool: :class:`damasklanding.linkpool.LinkPool`.
    :param owner: this node's :class:`damasklanding.budget.owner.BudgetOwner`.
    :param name: own name.
    :param spawn: starts a function in the background.
    :param sleep: pauses for a number of seconds.
    :param shares: :class:`~damasklanding.budget.shares.LocalShares` to admit
        from while no owner issues; None to refuse then.
    :param node_count: function that returns how many nodes share a rate.
    :param least_wait_ms: for the rate, however little a request would wait;
        the last part of a burst is issued only within the life of tokens.
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
        shares=None,
        node_count=lambda: 1,
        least_wait_ms=MIN_WAIT_MS,
    ):
        self._view = view
        self._pool = pool
        self._owner = owner
        self._now_ms = now_ms
        self._metrics = metrics
        self._name = name
        self._spawn = spawn
        self._sleep = sleep
        self._shares = shares
        self._node_count = node_count
        self._least_wait_ms = least_wait_ms
        self._holdings = {}
        self._in_use = Event()
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
        :return: function to call where the request was not run after all,
            so that another may use its token.
        :raises OverRate: above rate and burst; not admitted.
        :raises Unavailable: the budget can't be asked; not admitted.
        """
        if organisation.unlimited:
            return _keep
        now_ms = self._now_ms()
        name = organisation.name
        holding = self._holdings.get(name)
        if holding is None:
            holding = self._holdings[name] = Holding(name, now_ms)
            self._in_use.set()
        holding.taken += 1
        lot = None if holding.waiters else holding.take(now_ms)
        if lot is not None:
            if not holding.asking and lot.tokens <= holding.low:
                self._prefetch(holding, now_ms)
            return self._returning(holding, lot)
        if now_ms < holding.alone_until_ms and self._shares.take(
            organisation, holding.portion, now_ms
        ):
            return _keep
        return self._wait(holding, organisation, wait_ms, now_ms)

    def _returning(self, holding, lot):
        """Return a function that puts a token back."""
        if lot is None:
            return _keep
        return lambda: holding.put_back(lot, self._now_ms())

    def check(self, organisation, wait_ms):
        """
        Refuse at once what :meth:`take` would refuse without asking.

        :raises OverRate: above rate and burst; not admitted.
        """
        holding = self._holdings.get(organisation.name)
        if holding is None or not holding.horizon_ms:
            return
        now_ms = self._now_ms()
        if now_ms < holding.alone_until_ms or holding.held(now_ms):
            return
        if self._waits_in_vain(holding, organisation, wait_ms, now_ms):
            holding.taken += 1
            raise self._over_rate(holding, organisation)

    def sweep(self):
        """Hand back surplus tokens and drop what is no longer in use."""
        now_ms = self._now_ms()
        for holding in list(self._holdings.values()):
            holding.measure(now_ms)
            for grant in holding.surplus(now_ms):
                self._spawn(self._give_back, holding, grant)
            holding.held(now_ms)
            if holding.idle():
                del self._holdings[holding.name]

    def _sweep_loop(self):
        while True:
            self._in_use.wait()
            gevent.sleep(SWEEP_MS / 1000)
            self.sweep()
            if not self._holdings:
                self._in_use.clear()

    def _prefetch(self, holding, now_ms):
        if holding.held(now_ms) > holding.low or now_ms < holding.horizon_ms:
            return
        if holding.wanted(0, now_ms) > 0:
            self._ask(holding)

    def _wait(self, holding, organisation, wait_ms, now_ms):
        wait_ms = max(wait_ms, self._least_wait_ms)
        if holding.horizon_ms and self._waits_in_vain(
            holding, organisation, wait_ms, now_ms
        ):
            raise self._over_rate(holding, organisation)
        limit_ms = max(wait_ms, MIN_WAIT_MS)
        waiter = Waiter(now_ms + limit_ms, organisation, now_ms + wait_ms)
        holding.waiters.append(waiter)
        self._ask(holding)
        try:
            waiter.event.wait(limit_ms / 1000)
        finally:
            # A token may have come in the same turn as the time limit.
            if not waiter.event.is_set():
                holding.waiters.remove(waiter)
        if waiter.admitted:
            return self._returning(holding, waiter.lot)
        raise waiter.error or self._late(holding, organisation)

    def _waits_in_vain(self, holding, organisation, wait_ms, now_ms):
        """Return whether, the owner being dry, a token would come too late."""
        if holding.horizon_ms - now_ms > wait_ms:
            return True
        ahead = len(holding.waiters) - holding.promised
        return ahead >= max(1.0, wait_ms / self._spacing_ms(organisation))

    def _spacing_ms(self, organisation):
        """Return the time between two tokens of this node's even part."""
        return 1000.0 * self._node_count() / organisation.rate_per_s

    def _ask(self, holding):
        if not holding.asking:
            holding.asking = True
            self._spawn(self._ask_loop, holding)

    def _ask_loop(self, holding):
        try:
            pause_ms = self._ask_once(holding)
            while len(holding.waiters) > holding.promised:
                self._sleep(pause_ms / 1000)
                pause_ms = self._ask_once(holding)
        finally:
            holding.asking = False

    def _ask_once(self, holding):
        sent_ms = self._now_ms()
        holding.measure(sent_ms)
        waiting = holding.uncovered()
        wanted = holding.wanted(len(waiting), sent_ms)
        if not wanted:
            return 0
        try:
            grant = self._request(holding, wanted, waiting, sent_ms)
        except DamasklandingError as error:
            self._metrics.add('grants_total', error.code)
            self._go_alone(holding, error)
            again_ms = self._now_ms() + RETRY_MS
            for waiter in holding.take_out_late(
                lambda waiter: waiter.deadline_ms <= again_ms
            ):
                waiter.refuse(error)
            return RETRY_MS
        self._receive(holding, grant, sent_ms)
        if grant.tokens + grant.later >= len(waiting):
            holding.horizon_ms = 0.0
            return 0
        now_ms = self._now_ms()
        holding.horizon_ms = now_ms + grant.next_ms + DRY_PAUSE_MS
        for waiter in holding.take_out_late(
            lambda waiter: waiter.due_by_ms <= holding.horizon_ms
        ):
            waiter.refuse(self._over_rate(holding, waiter.organisation))
        return DRY_PAUSE_MS

    def _go_alone(self, holding, error):
        """Admit from the node's own part while the owner does not issue."""
        if self._shares is None:
            return
        answered = getattr(error, 'reply', None) is not None
        portion = SILENT_OWNER_PORTION
        if answered or isinstance(error, StaleState):
            portion = IDLE_OWNER_PORTION
        now_ms = self._now_ms()
        holding.portion = portion
        holding.alone_until_ms = now_ms + ALONE_MS
        holding.admit_some(
            lambda waiter: self._shares.take(
                waiter.organisation, portion, now_ms
            )
        )

    def _request(self, holding, wanted, waiting, now_ms):
        shard = self._view.state.get('budget_shard', holding.shard_name)
        if shard is None or not shard.owner:
            raise Unavailable(
                f'the budget of {holding.name} has no owner',
                retry_after_ms=RETRY_MS,
            )
        due_by_ms = max((w.due_by_ms for w in waiting), default=now_ms)
        message = GrantRequest(
            organisation=holding.name,
            epoch=shard.revision,
            wanted=wanted,
            waiting=len(waiting),
            wait_ms=max(0, math.floor(due_by_ms - now_ms)),
            node=self._name,
        )
        if self._owner.owns(shard):
            return self._owner.grant(message)
        return self._pool.request(shard.peer_address, message, ASK_TIMEOUT_MS)

    def _receive(self, holding, grant, sent_ms):
        holding.ttl_ms = grant.ttl_ms
        holding.scarce = grant.scarce
        received = Received(grant.epoch, grant.serial, grant.ttl_ms)
        if grant.tokens:
            holding.lots.append(Lot(received, grant.tokens, sent_ms))
            holding.admit_waiters(self._now_ms())
        if grant.later:
            holding.promised += grant.later
            self._spawn(
                self._deliver,
                holding,
                received,
                grant,
                sent_ms,
                self._now_ms(),
            )

    def _deliver(self, holding, received, grant, sent_ms, received_ms):
        delay_ms = grant.later_ms
        for _ in range(grant.later):
            usable_ms = received_ms + delay_ms / CLOCK_MARGIN
            self._sleep(max(0.0, usable_ms - self._now_ms()) / 1000)
            while self._now_ms() < usable_ms:
                self._sleep(0.001)
            holding.promised -= 1
            holding.lots.append(Lot(received, 1, sent_ms + delay_ms))
            holding.admit_waiters(self._now_ms())
            delay_ms += grant.spacing_ms

    def _give_back(self, holding, grant):
        shard = self._view.state.get('budget_shard', holding.shard_name)
        if shard is None or shard.revision != grant.epoch:
            return
        message = GrantReturn(
            holding.name, grant.epoch, grant.returned, grant.serial
        )
        try:
            if self._owner.owns(shard):
                self._owner.give_back(message)
            else:
                self._pool.request(shard.peer_address, message, ASK_TIMEOUT_MS)
        except DamasklandingError as error:
            self._metrics.add('grants_total', error.code)

    def _late(self, holding, organisation):
        due_ms = holding.horizon_ms - self._now_ms()
        if due_ms > 0 or holding.promised:
            return self._over_rate(holding, organisation)
        return Unavailable(
            f'the budget of {holding.name} was not reached in time',
            retry_after_ms=RETRY_MS,
        )

    def _over_rate(self, holding, organisation):
        """
        Return the refusal of one request.

        The time after which to come again lets the rate first admit those
        that this node has refused before it.
        """
        now_ms = self._now_ms()
        holding.note_refused(now_ms)
        due_ms = max(0.0, holding.horizon_ms - now_ms)
        backlog_ms = holding.refused_lately(now_ms) * self._spacing_ms(
            organisation
        )
        retry_ms = max(MIN_RETRY_AFTER_MS, due_ms + backlog_ms)
        return OverRate(
            f'{holding.name} is above its rate',
            retry_after_ms=int(min(MAX_RETRY_AFTER_MS, retry_ms)),
        )


def _keep():
    """Put nothing back: what admitted the request is not counted in lots."""
