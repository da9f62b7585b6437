"""
damasklanding.budget.rate_limiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rate limiting at an entry node.  The node caches a few tokens of each
organisation for a short time, requests more from the budget owner before they
run out, and returns those that it does not need.
"""

from dataclasses import dataclass
import math

import gevent
from gevent.event import Event

from damasklanding.budget.token_cache import MIN_CLOCK_RATE_RATIO
from damasklanding.budget.token_cache import TokenBatch
from damasklanding.budget.token_cache import TokenCache
from damasklanding.budget.token_cache import Waiter
from damasklanding.errors import DamasklandingError
from damasklanding.errors import OverRate
from damasklanding.errors import StaleState
from damasklanding.errors import Unavailable
from damasklanding.messages import GrantRequest
from damasklanding.messages import GrantReturn

__all__ = ['RateLimiter', 'ReceivedGrant']

OWNER_REQUEST_TIMEOUT_MS = 250
#: Least time to wait for the owner's answer: the TTL of its tokens and some
#: round trips.
MIN_OWNER_WAIT_MS = 300
OWNER_RETRY_MS = 50  # pause after the owner was not reached
SHORT_GRANT_PAUSE_MS = 20  # pause after a grant with too few tokens
SWEEP_INTERVAL_MS = 40
MIN_RETRY_AFTER_MS = 50  # many times the round trip of a caller
MAX_RETRY_AFTER_MS = 2_000  # most callers give up rather than wait longer
FALLBACK_MS = 200  # how long requests use the local share after a failure
#: Part of the local share that is used when the owner answers that it does
#: not issue tokens, or is lost to others too.  All local shares together are
#: the whole budget.
IDLE_OWNER_SHARE_RATIO = 1.0
#: Part of the local share that is used when the owner does not answer: it may
#: still issue tokens to other nodes.
SILENT_OWNER_SHARE_RATIO = 0.4


@dataclass(slots=True)
class ReceivedGrant:
    """
    Identifies the grant of a token batch.

    :ivar returned: tokens of this grant returned to the owner so far.
    """

    epoch: int
    serial: int
    ttl_ms: int
    returned: int = 0


class RateLimiter:
    """
    Admits requests at an entry node by the rates of their organisations.

    :param view: :class:`damasklanding.node.view.FleetView`.
    :param pool: :class:`damasklanding.linkpool.LinkPool`.
    :param owner: this node's :class:`damasklanding.budget.owner.BudgetOwner`.
    :param now_ms: monotonic clock.
    :param name: name of this node.
    :param spawn: starts a function in the background.
    :param sleep: pauses for a number of seconds.
    :param shares: :class:`~damasklanding.budget.shares.LocalShares` that
        admits requests while no owner issues tokens; None to refuse them.
    :param reach: :class:`~damasklanding.budget.reach.Reach`, to learn whether
        an owner that does not answer is lost to other nodes as well.
    :param node_count: function that returns how many nodes share a rate.
    :param least_wait_ms: least time to wait for a token, also for requests
        that would wait less.  The bucket holds less than a full burst, and
        the rest of the burst is refilled within one TTL.
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
        reach=None,
        node_count=lambda: 1,
        least_wait_ms=MIN_OWNER_WAIT_MS,
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
        self._reach = reach
        self._node_count = node_count
        self._least_wait_ms = least_wait_ms
        self._caches = {}
        self._in_use = Event()
        self._sweeper = None

    def start(self):
        """Start to return unused tokens periodically."""
        self._sweeper = gevent.spawn(self._sweep_loop)

    def stop(self):
        """Stop returning tokens; those in the cache expire."""
        if self._sweeper is not None:
            self._sweeper.kill()

    def take(self, organisation, wait_ms):
        """
        Admit one request of an organisation, after a short wait if needed.

        :param organisation:
            :class:`damasklanding.fleet.resources.Organisation`.
        :param wait_ms: longest time to wait for a token.
        :return: function to call if the request did not run after all, so
            that another request may use its token.
        :raises OverRate: above rate and burst; not admitted.
        :raises Unavailable: the owner can't be reached; not admitted.
        """
        if organisation.unlimited:
            return _put_nothing_back
        now_ms = self._now_ms()
        name = organisation.name
        cache = self._caches.get(name)
        if cache is None:
            cache = self._caches[name] = TokenCache(name, now_ms)
            self._in_use.set()
        cache.request_count += 1
        batch = None if cache.waiters else cache.take(now_ms)
        if batch is not None:
            if not cache.refilling and batch.tokens <= cache.low_watermark:
                self._prefetch(cache, now_ms)
            return self._put_back_function(cache, batch)
        if now_ms < cache.fallback_until_ms and self._take_from_share(
            cache, organisation, now_ms
        ):
            return _put_nothing_back
        return self._wait_for_token(cache, organisation, wait_ms, now_ms)

    def _put_back_function(self, cache, batch):
        """Return a function that puts a token back into its batch."""
        if batch is None:
            return _put_nothing_back
        return lambda: cache.put_back(batch, self._now_ms())

    def check(self, organisation, wait_ms):
        """
        Refuse a request that :meth:`take` would refuse at once.

        The owner is not asked.

        :raises OverRate: above rate and burst; not admitted.
        """
        cache = self._caches.get(organisation.name)
        if cache is None or not cache.next_token_ms:
            return
        now_ms = self._now_ms()
        if now_ms < cache.fallback_until_ms or cache.available(now_ms):
            return
        if self._would_be_late(cache, organisation, wait_ms, now_ms):
            cache.request_count += 1
            raise self._over_rate_error(cache, organisation)

    def sweep(self):
        """Return surplus tokens to the owner and drop idle caches."""
        now_ms = self._now_ms()
        for cache in list(self._caches.values()):
            cache.update_demand(now_ms)
            for grant in cache.take_surplus(now_ms):
                self._spawn(self._return_tokens, cache, grant)
            cache.available(now_ms)
            if cache.is_idle():
                del self._caches[cache.name]

    def _sweep_loop(self):
        while True:
            self._in_use.wait()
            gevent.sleep(SWEEP_INTERVAL_MS / 1000)
            self.sweep()
            if not self._caches:
                self._in_use.clear()

    def _prefetch(self, cache, now_ms):
        if (
            cache.available(now_ms) > cache.low_watermark
            or now_ms < cache.next_token_ms
        ):
            return
        if cache.refill_size(0, now_ms) > 0:
            self._start_refill(cache)

    def _wait_for_token(self, cache, organisation, wait_ms, now_ms):
        wait_ms = max(wait_ms, self._least_wait_ms)
        if cache.next_token_ms and self._would_be_late(
            cache, organisation, wait_ms, now_ms
        ):
            raise self._over_rate_error(cache, organisation)
        limit_ms = max(wait_ms, MIN_OWNER_WAIT_MS)
        waiter = Waiter(now_ms + limit_ms, organisation, now_ms + wait_ms)
        cache.waiters.append(waiter)
        self._start_refill(cache)
        try:
            waiter.event.wait(limit_ms / 1000)
        finally:
            # A waiter that was admitted or refused in the same event loop
            # iteration as the timeout is no longer in the queue.
            if not waiter.event.is_set():
                cache.waiters.remove(waiter)
        if waiter.admitted:
            return self._put_back_function(cache, waiter.batch)
        raise waiter.error or self._timeout_error(cache, organisation)

    def _would_be_late(self, cache, organisation, wait_ms, now_ms):
        """Return whether an owner short of tokens would issue too late."""
        if cache.next_token_ms - now_ms > wait_ms:
            return True
        ahead = len(cache.waiters) - cache.reserved
        return ahead >= max(1.0, wait_ms / self._spacing_ms(organisation))

    def _spacing_ms(self, organisation):
        """Return the time between two tokens of this node's local share."""
        return 1000.0 * self._node_count() / organisation.rate_per_s

    def _start_refill(self, cache):
        if not cache.refilling:
            cache.refilling = True
            self._spawn(self._refill_loop, cache)

    def _refill_loop(self, cache):
        try:
            pause_ms = self._refill_once(cache)
            while len(cache.waiters) > cache.reserved:
                self._sleep(pause_ms / 1000)
                pause_ms = self._refill_once(cache)
        finally:
            cache.refilling = False

    def _refill_once(self, cache):
        sent_ms = self._now_ms()
        cache.update_demand(sent_ms)
        waiting = cache.uncovered()
        wanted = cache.refill_size(len(waiting), sent_ms)
        if not wanted:
            return 0
        try:
            grant = self._request_grant(cache, wanted, waiting, sent_ms)
        except DamasklandingError as error:
            self._metrics.add('grants_total', error.code)
            cache.owner_problem = error.problem
            self._admit_from_local_share(cache, error)
            retry_at_ms = self._now_ms() + OWNER_RETRY_MS
            for waiter in cache.remove_uncovered(
                lambda waiter: waiter.deadline_ms <= retry_at_ms
            ):
                waiter.refuse(error)
            return OWNER_RETRY_MS
        self._store_grant(cache, grant, sent_ms)
        if grant.tokens + grant.later >= len(waiting):
            cache.next_token_ms = 0.0
            return 0
        now_ms = self._now_ms()
        cache.next_token_ms = now_ms + grant.next_ms + SHORT_GRANT_PAUSE_MS
        for waiter in cache.remove_uncovered(
            lambda waiter: waiter.due_by_ms <= cache.next_token_ms
        ):
            waiter.refuse(self._over_rate_error(cache, waiter.organisation))
        return SHORT_GRANT_PAUSE_MS

    def _admit_from_local_share(self, cache, error):
        """Admit from the local share while the owner does not issue."""
        if self._shares is None:
            return
        shard = self._view.state.get('budget_shard', cache.shard_name)
        is_local = shard is not None and self._owner.owns(shard)
        answered = is_local or getattr(error, 'reply', None) is not None
        keeps_bucket = isinstance(error, StaleState) or not answered
        is_idle = answered or (
            shard is not None
            and self._reach is not None
            and self._reach.is_lost(shard.peer_address)
        )
        cache.share_ratio = (
            IDLE_OWNER_SHARE_RATIO if is_idle else SILENT_OWNER_SHARE_RATIO
        )
        cache.owner_keeps_bucket = keeps_bucket and shard is not None
        if shard is not None and cache.spent_epoch != shard.revision:
            cache.count_spent_from(shard.revision)
        now_ms = self._now_ms()
        cache.fallback_until_ms = now_ms + FALLBACK_MS
        cache.admit_uncovered(
            lambda waiter: self._take_from_share(
                cache, waiter.organisation, now_ms
            )
        )

    def _take_from_share(self, cache, organisation, now_ms):
        """
        Admit a request from the local share, if that allows it.

        An owner without proof, or that does not answer, goes on with its
        bucket later and is told what was admitted meanwhile.  A new owner
        begins with an empty one.
        """
        if not self._shares.take(organisation, cache.share_ratio, now_ms):
            return False
        if cache.owner_keeps_bucket:
            cache.spent += 1
        return True

    def _request_grant(self, cache, wanted, waiting, now_ms):
        shard = self._view.state.get('budget_shard', cache.shard_name)
        if shard is None or not shard.owner:
            raise Unavailable(
                f'the budget of {cache.name} has no owner',
                retry_after_ms=OWNER_RETRY_MS,
            )
        if cache.spent_epoch != shard.revision:
            cache.count_spent_from(shard.revision)
        due_by_ms = max((w.due_by_ms for w in waiting), default=now_ms)
        message = GrantRequest(
            organisation=cache.name,
            epoch=shard.revision,
            wanted=wanted,
            waiting=len(waiting),
            wait_ms=max(0, math.floor(due_by_ms - now_ms)),
            node=self._name,
            spent=cache.spent,
        )
        if self._owner.owns(shard):
            grant = self._owner.grant(message)
        else:
            grant = self._pool.request(
                shard.peer_address, message, OWNER_REQUEST_TIMEOUT_MS
            )
        cache.spent_reported = message.spent
        return grant

    def _store_grant(self, cache, grant, sent_ms):
        cache.ttl_ms = grant.ttl_ms
        cache.scarce = grant.scarce
        cache.owner_problem = ''
        if self._shares is not None:
            cache.fallback_until_ms = 0.0
            self._shares.end(cache.name)
        received = ReceivedGrant(grant.epoch, grant.serial, grant.ttl_ms)
        if grant.tokens:
            cache.batches.append(TokenBatch(received, grant.tokens, sent_ms))
            cache.admit_waiters(self._now_ms())
        if grant.later:
            cache.reserved += grant.later
            self._spawn(
                self._release_reserved,
                cache,
                received,
                grant,
                sent_ms,
                self._now_ms(),
            )

    def _release_reserved(self, cache, received, grant, sent_ms, received_ms):
        delay_ms = grant.later_ms
        for _ in range(grant.later):
            usable_ms = received_ms + delay_ms / MIN_CLOCK_RATE_RATIO
            self._sleep(max(0.0, usable_ms - self._now_ms()) / 1000)
            while self._now_ms() < usable_ms:
                self._sleep(0.001)
            cache.reserved -= 1
            cache.batches.append(TokenBatch(received, 1, sent_ms + delay_ms))
            cache.admit_waiters(self._now_ms())
            delay_ms += grant.spacing_ms

    def _return_tokens(self, cache, grant):
        shard = self._view.state.get('budget_shard', cache.shard_name)
        if shard is None or shard.revision != grant.epoch:
            return
        message = GrantReturn(
            cache.name, grant.epoch, grant.returned, grant.serial
        )
        try:
            if self._owner.owns(shard):
                self._owner.take_back(message)
            else:
                self._pool.request(
                    shard.peer_address, message, OWNER_REQUEST_TIMEOUT_MS
                )
        except DamasklandingError as error:
            self._metrics.add('grants_total', error.code)

    def _timeout_error(self, cache, organisation):
        due_ms = cache.next_token_ms - self._now_ms()
        if due_ms > 0 or cache.reserved:
            return self._over_rate_error(cache, organisation)
        shard = self._view.state.get('budget_shard', cache.shard_name)
        owner = shard.owner if shard is not None else ''
        problem = cache.owner_problem or 'no answer yet'
        return Unavailable(
            f'the budget of {cache.name} was not reached in time '
            f'(owner {owner or "unknown"}: {problem})',
            retry_after_ms=OWNER_RETRY_MS,
        )

    def _over_rate_error(self, cache, organisation):
        """
        Return the error that refuses one request, and count the refusal.

        Its retry time leaves room for the requests that this node has
        recently refused: the rate admits those first.
        """
        now_ms = self._now_ms()
        cache.count_refusal(now_ms)
        due_ms = max(0.0, cache.next_token_ms - now_ms)
        backlog_ms = cache.recent_refusals(now_ms) * self._spacing_ms(
            organisation
        )
        retry_ms = max(MIN_RETRY_AFTER_MS, due_ms + backlog_ms)
        return OverRate(
            f'{cache.name} is above its rate',
            retry_after_ms=int(min(MAX_RETRY_AFTER_MS, retry_ms)),
        )


def _put_nothing_back():
    """Do nothing: the request was admitted without a token of a batch."""
