"""
damasklanding.budget.token_cache
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tokens that an entry node holds for one organisation, with the requests that
wait for a token and the measured demand.
"""

from collections import deque
import math

from gevent.event import Event

from damasklanding.fleet.shards import budget_shard_of

__all__ = ['MIN_CLOCK_RATE_RATIO', 'TokenCache', 'TokenBatch', 'Waiter']

#: Least ratio between the rates of the clocks of two hosts.  Tokens expire at
#: the node by this factor earlier and reserved tokens become usable by it
#: later than at the owner.
MIN_CLOCK_RATE_RATIO = 0.99
#: Tokens are requested when those available cover less than this demand.
REFILL_LEAD_MS = 20
#: Part of the TTL whose expected demand is requested in advance.
PREFETCH_TTL_RATIO = 0.9
#: Replaces ``PREFETCH_TTL_RATIO`` while the owner is short of tokens.
SCARCE_PREFETCH_TTL_RATIO = 0.5
#: Part of the TTL after which surplus tokens go back to the owner.
SURPLUS_AGE_RATIO = 0.6
DEMAND_WINDOW_MS = 100
#: Time constant of the decaying count of refused requests; a client pauses
#: for about a second before it tries again.
REFUSAL_DECAY_MS = 1_000.0
#: Requests expected in one TTL; less than this counts as no demand.
MIN_DEMAND_COUNT = 0.5


class TokenBatch:
    """
    Tokens of one grant that expire together.

    :ivar grant: the :class:`~damasklanding.budget.rate_limiter.ReceivedGrant`
        to which the tokens belong.
    :ivar surplus_from_ms: time from which surplus tokens may go back to the
        owner.
    """

    __slots__ = ('tokens', 'grant', 'expires_ms', 'surplus_from_ms')

    def __init__(self, grant, tokens, start_ms):
        life_ms = grant.ttl_ms * MIN_CLOCK_RATE_RATIO
        self.tokens = tokens
        self.grant = grant
        self.expires_ms = start_ms + life_ms
        self.surplus_from_ms = start_ms + life_ms * SURPLUS_AGE_RATIO


class Waiter:
    """
    A request that waits for a token.

    :ivar deadline_ms: time until which it waits for the owner's answer.
    :ivar due_by_ms: time by which it needs its token; it is refused once the
        owner's answer shows that the token would come later.
    :ivar batch: :class:`TokenBatch` that its token was taken from, None where
        the node's local share admitted it.
    :ivar organisation:
        :class:`~damasklanding.fleet.resources.Organisation` whose budget the
        request uses.
    """

    __slots__ = (
        'admitted',
        'deadline_ms',
        'due_by_ms',
        'error',
        'event',
        'batch',
        'organisation',
    )

    def __init__(self, deadline_ms, organisation, due_by_ms):
        self.deadline_ms = deadline_ms
        self.due_by_ms = due_by_ms
        self.organisation = organisation
        self.error = None
        self.admitted = False
        self.batch = None
        self.event = Event()

    def admit(self, batch=None):
        """Wake up the request, admitted."""
        self.admitted = True
        self.batch = batch
        self.event.set()

    def refuse(self, error):
        """Wake up the request with the error that refuses it."""
        self.error = error
        self.event.set()


class TokenCache:
    """
    Tokens of one organisation's budget at an entry node.

    :ivar refilling: whether tokens are being requested from the owner.
    :ivar reserved: number of tokens that the owner issued for later use; they
        go to the first waiters.
    :ivar scarce: whether the last grant said that tokens are scarce.
    :ivar next_token_ms: expected time of the next token that is not reserved,
        0 while the owner has tokens.
    :ivar fallback_until_ms: time until which requests are admitted from the
        node's local share, since the owner did not issue tokens.
    :ivar share_ratio: part of the local share that may be used until then.
    :ivar owner_keeps_bucket: whether the local share is used in place of an
        owner that may go on with its bucket, not of a new one.
    :ivar spent: requests admitted from the local share in ``spent_epoch`` that
        the owner has to take off its bucket.
    :ivar spent_reported: how many of them the owner has been told of.
    :ivar owner_problem: why the owner issued nothing at the last attempt,
        empty if it answered.
    :ivar request_count: requests in the current window of the demand.
    :ivar low_watermark: number of tokens at or below which more are
        requested.
    :ivar ttl_ms: TTL of the last grant.
    """

    __slots__ = (
        'name',
        'shard_name',
        'batches',
        'waiters',
        'refilling',
        'reserved',
        'scarce',
        'next_token_ms',
        'fallback_until_ms',
        'share_ratio',
        'owner_keeps_bucket',
        'spent',
        'spent_epoch',
        'spent_reported',
        'owner_problem',
        'request_count',
        'low_watermark',
        'ttl_ms',
        '_window_start_ms',
        '_demand_per_ms',
        '_refusals',
        '_decayed_at_ms',
    )

    def __init__(self, name, now_ms):
        self.name = name
        self.shard_name = budget_shard_of(name)
        self.batches = deque()
        self.waiters = deque()
        self.refilling = False
        self.reserved = 0
        self.scarce = False
        self.next_token_ms = 0.0
        self.fallback_until_ms = 0.0
        self.share_ratio = 0.0
        self.owner_keeps_bucket = False
        self.count_spent_from(0)
        self.owner_problem = ''
        self.request_count = 0
        self.low_watermark = 0
        self.ttl_ms = 0
        self._window_start_ms = now_ms
        self._demand_per_ms = 0.0
        self._refusals = 0.0
        self._decayed_at_ms = now_ms

    def is_idle(self):
        """Return whether the cache holds no state and may be dropped."""
        return not (
            self.batches
            or self.waiters
            or self.refilling
            or self.reserved
            or self.spent > self.spent_reported
            or self.request_count
            or self._demand_per_ms
        )

    def count_spent_from(self, epoch):
        """Count what is admitted from the local share in another epoch."""
        self.spent = 0
        self.spent_epoch = epoch
        self.spent_reported = 0

    def available(self, now_ms):
        """Return the number of usable tokens; drop expired batches."""
        batches = self.batches
        while batches and (
            batches[0].expires_ms <= now_ms or not batches[0].tokens
        ):
            batches.popleft()
        return sum(
            batch.tokens for batch in batches if batch.expires_ms > now_ms
        )

    def take(self, now_ms):
        """Use the oldest token; return its batch, None if there is none."""
        batches = self.batches
        while batches:
            batch = batches[0]
            if batch.tokens and now_ms < batch.expires_ms:
                batch.tokens -= 1
                return batch
            batches.popleft()
        return None

    def put_back(self, batch, now_ms):
        """Put back the token of a request that never ran, unless expired."""
        if now_ms >= batch.expires_ms:
            return
        batch.tokens += 1
        if not any(kept is batch for kept in self.batches):
            self.batches.appendleft(batch)
        self.admit_waiters(now_ms)

    def admit_waiters(self, now_ms):
        """Give the usable tokens to waiters, in order of arrival."""
        waiters = self.waiters
        while waiters:
            batch = self.take(now_ms)
            if batch is None:
                return
            waiters.popleft().admit(batch)

    def admit_uncovered(self, admits):
        """Admit the uncovered waiters for which a function returns True."""
        covered = list(self.waiters)[: self.reserved]
        remaining = []
        for waiter in self.uncovered():
            if admits(waiter):
                waiter.admit()
            else:
                remaining.append(waiter)
        self.waiters = deque(covered + remaining)

    def uncovered(self):
        """Return the waiters for which no token is reserved."""
        return list(self.waiters)[self.reserved :]

    def remove_uncovered(self, is_late):
        """Remove and return the uncovered waiters that a function selects."""
        covered = list(self.waiters)[: self.reserved]
        late = []
        remaining = []
        for waiter in self.uncovered():
            (late if is_late(waiter) else remaining).append(waiter)
        self.waiters = deque(covered + remaining)
        return late

    def count_refusal(self, now_ms):
        """Count a request that was refused because of the rate."""
        self._decay_refusals(now_ms)
        self._refusals += 1.0

    def recent_refusals(self, now_ms):
        """Return the number of requests refused in about the last second."""
        self._decay_refusals(now_ms)
        return self._refusals

    def _decay_refusals(self, now_ms):
        passed_ms = now_ms - self._decayed_at_ms
        self._refusals *= math.exp(-passed_ms / REFUSAL_DECAY_MS)
        self._decayed_at_ms = now_ms

    def update_demand(self, now_ms):
        """Update the demand at the end of a measuring window."""
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < DEMAND_WINDOW_MS:
            return
        latest = self.request_count / elapsed_ms
        demand = max(latest, (self._demand_per_ms + latest) / 2)
        if (
            not self.request_count
            and demand * max(self.ttl_ms, 1) < MIN_DEMAND_COUNT
        ):
            demand = 0.0
        self._demand_per_ms = demand
        self.low_watermark = math.ceil(demand * REFILL_LEAD_MS)
        self.request_count = 0
        self._window_start_ms = now_ms

    def refill_size(self, waiting, now_ms):
        """Return how many tokens to request, those for waiters included."""
        ttl_ratio = (
            SCARCE_PREFETCH_TTL_RATIO if self.scarce else PREFETCH_TTL_RATIO
        )
        ahead = math.ceil(self._demand_per_ms * self.ttl_ms * ttl_ratio)
        return max(waiting, waiting + ahead - self.available(now_ms))

    def take_surplus(self, now_ms):
        """
        Remove the tokens that should go back to the owner.

        :return: list of grants, whose ``returned`` now counts these tokens.
        """
        if not self.scarce:
            return []
        available = self.available(now_ms)
        grants = []
        for batch in self.batches:
            if not batch.tokens or now_ms < batch.surplus_from_ms:
                continue
            left_ms = batch.expires_ms - now_ms
            needed = self._demand_per_ms * left_ms
            spare = min(batch.tokens, available - math.floor(needed))
            if left_ms > 0 and spare > 0:
                available -= spare
                batch.tokens -= spare
                batch.grant.returned += spare
                grants.append(batch.grant)
        return grants
