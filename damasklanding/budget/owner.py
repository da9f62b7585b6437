"""
damasklanding.budget.owner
~~~~~~~~~~~~~~~~~~~~~~~~~~

Issues the tokens of the organisations whose budget shard this node owns.
Ownership is fenced by the shard's epoch and by the age of the node's view, so
that at most one node issues tokens of a shard at any time.
"""

from dataclasses import dataclass
from dataclasses import field

import gevent
import msgspec

from damasklanding.budget.bucket import DEFAULT_TTL_MS
from damasklanding.budget.bucket import MAX_RESERVE_MS
from damasklanding.budget.bucket import Bucket
from damasklanding.budget.bucket import plan_bucket
from damasklanding.budget.pool import PartialPool
from damasklanding.budget.shares import FIRST_REQUESTS
from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.errors import StaleState
from damasklanding.errors import Unavailable
from damasklanding.fleet.shards import budget_shard_of
from damasklanding.messages import Accepted
from damasklanding.messages import Grant
from damasklanding.messages import GrantRequest
from damasklanding.messages import GrantReturn
from damasklanding.messages import Handover
from damasklanding.messages import ProofAgeRequest

__all__ = ['MAX_OWNER_VIEW_AGE_MS', 'START_DELAY_MS', 'BudgetOwner']

#: An owner whose view was confirmed longer ago issues no tokens, or only the
#: part of the nodes that it reaches.
MAX_OWNER_VIEW_AGE_MS = 1_500
#: An owner whose view was confirmed longer ago hands nothing over.
MAX_HANDOVER_VIEW_AGE_MS = 600
#: Without a handover, a new owner issues nothing for this long.  After it,
#: earlier owners have stopped issuing and their tokens have expired.
START_DELAY_MS = MAX_OWNER_VIEW_AGE_MS + MAX_HANDOVER_VIEW_AGE_MS
HANDOVER_TIMEOUT_MS = 500
DRAIN_POLL_MS = 20
MAX_WANTED_TOKENS = 1_000_000  # limit on the numbers in a grant request

assert max(DEFAULT_TTL_MS, MAX_RESERVE_MS) <= MAX_HANDOVER_VIEW_AGE_MS


class BucketState(msgspec.Struct, frozen=True, array_like=True):
    """The bucket of one organisation in a handover."""

    organisation: str
    rate_per_s: float
    burst_requests: int
    level: float


class ShardState(msgspec.Struct, frozen=True, array_like=True):
    """
    The buckets of a shard in a handover.

    :ivar age_ms: time since an owner last started the shard with empty
        buckets.
    """

    age_ms: float
    buckets: list[BucketState]


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(ShardState)


@dataclass(slots=True)
class _BucketEntry:
    """
    The bucket of one organisation, with the limits it was sized for.

    :ivar pool: :class:`PartialPool` while the owner has no recent proof.
    :ivar spent: requests that nodes have admitted from their local shares in
        this epoch, by node.
    """

    bucket: Bucket
    rate_per_s: float
    burst_requests: int
    pool: PartialPool | None = None
    spent: dict = field(default_factory=dict)


@dataclass(slots=True)
class _Ownership:
    """
    One shard that this node owns.

    :ivar ready_at_ms: time from which tokens are issued.
    :ivar handover_until_ms: time until which a handover is accepted.
    :ivar empty_at_ms: time at which all buckets of the shard were empty, but
        for their first tokens.
    :ivar first_tokens: tokens that each bucket began with.
    :ivar entries: :class:`_BucketEntry` by organisation.
    """

    epoch: int
    ready_at_ms: float
    handover_until_ms: float
    empty_at_ms: float
    first_tokens: int = 0
    entries: dict = field(default_factory=dict)


class BudgetOwner:
    """
    Owns the budget shards that the configuration assigns to this node.

    :param view: :class:`damasklanding.node.view.FleetView`.
    :param name: name of this node.
    :param instance: identifies this process of the node.
    :param now_ms: monotonic clock.
    :param metrics: :class:`damasklanding.metrics.Metrics`.
    :param pool: :class:`damasklanding.linkpool.LinkPool`, for handovers.
    :param spawn: starts a function in the background.
    :param reach: :class:`~damasklanding.budget.reach.Reach`, if an owner
        without a recent proof issues the part of the nodes that it reaches,
        and a new owner issues the rate from the beginning; None if they issue
        nothing.
    """

    def __init__(
        self,
        view,
        name,
        instance,
        now_ms,
        metrics,
        pool,
        spawn=gevent.spawn,
        reach=None,
    ):
        self._view = view
        self._name = name
        self._instance = instance
        self._now_ms = now_ms
        self._metrics = metrics
        self._pool = pool
        self._spawn = spawn
        self._reach = reach
        self._ownerships = {}
        self._early_handovers = {}
        self._handovers_in_flight = 0
        view.subscribe(self._apply_changes)
        for shard in view.state.all('budget_shard').values():
            self._follow_shard(shard.name, shard)

    def handlers(self):
        """Return the message handlers by message class."""
        handlers = {
            GrantRequest: lambda _exchange, message: self.grant(message),
            GrantReturn: lambda _exchange, message: self.take_back(message),
            Handover: lambda _exchange, message: self.accept_handover(message),
        }
        if self._reach is not None:
            handlers[ProofAgeRequest] = lambda _exchange, message: (
                self._reach.handle(message)
            )
        return handlers

    def owns(self, shard):
        """Return whether the configuration assigns a shard to this process."""
        return (
            shard is not None
            and shard.owner == self._name
            and shard.owner_instance == self._instance
        )

    def grant(self, message):
        """
        Issue tokens.

        :param message: :class:`damasklanding.messages.GrantRequest`.
        :return: :class:`damasklanding.messages.Grant`.
        :raises Unavailable: if this node may not issue tokens now.
        """
        now_ms = self._now_ms()
        if self._reach is not None:
            self._reach.note_heard(message.node)
        ownership = self._require_ownership(
            message.organisation, message.epoch
        )
        entry = self._bucket_entry(ownership, message.organisation, now_ms)
        _charge_spent(entry, message, now_ms)
        self._update_pool(entry, now_ms)
        grant = _issue_grant(entry, message, ownership.epoch, now_ms)
        issued = grant.tokens + grant.later
        self._metrics.add('grants_total', 'granted' if issued else 'dry')
        return grant

    def take_back(self, message):
        """Take back unused tokens issued in the current epoch."""
        ownership = self._require_ownership(
            message.organisation, message.epoch
        )
        entry = ownership.entries.get(message.organisation)
        if entry is not None:
            accepted = entry.bucket.take_back(
                message.serial, message.returned, self._now_ms()
            )
            if entry.pool is not None:
                entry.pool.change(accepted)
            self._metrics.add('grants_total', 'returned')
        return Accepted()

    def accept_handover(self, message):
        """Start to issue with the buckets of the previous owner."""
        try:
            state = _decoder.decode(message.state)
        except msgspec.MsgspecError as error:
            raise BadInput('the handover state cannot be decoded') from error
        ownership = self._ownerships.get(message.shard)
        if ownership is not None and ownership.epoch >= message.epoch:
            self._restore_ownership(ownership, message, state)
        else:
            self._early_handovers[message.shard] = message, state
        return Accepted()

    def drain(self, timeout_ms):
        """
        Wait until every shard is handed over to another node.

        Tokens are issued until then.  To be called after the node's
        registration has ended.

        :return: whether all shards were handed over in time.
        """
        with gevent.Timeout(timeout_ms / 1000, False):
            while self._ownerships or self._handovers_in_flight:
                gevent.sleep(DRAIN_POLL_MS / 1000)
        return not self._ownerships and not self._handovers_in_flight

    def _require_ownership(self, organisation, epoch):
        shard_name = budget_shard_of(organisation)
        ownership = self._ownerships.get(shard_name)
        if ownership is None or ownership.epoch != epoch:
            raise Unavailable(
                f'{self._name} does not own the budget of {organisation} '
                f'at epoch {epoch}',
                'ask the owner that the configuration names',
                retry_after_ms=100,
            )
        if not self._has_proof() and (
            self._reach is None or self._reach.peer_has_proof()
        ):
            raise StaleState(
                f'{self._name} has no recent proof that it owns the budget',
                retry_after_ms=200,
            )
        wait_ms = ownership.ready_at_ms - self._now_ms()
        if wait_ms > 0:
            raise Unavailable(
                f'the budget of {organisation} is moving to another owner',
                retry_after_ms=int(wait_ms) + 1,
            )
        return ownership

    def _has_proof(self):
        return self._view.age_ms() < MAX_OWNER_VIEW_AGE_MS

    def _update_pool(self, entry, now_ms):
        if self._has_proof():
            entry.pool = None
            return
        if entry.pool is None:
            bucket = entry.bucket
            entry.pool = PartialPool(bucket.level(now_ms), bucket.plan, now_ms)
        entry.pool.set_part(self._reach.part(), now_ms)

    def _bucket_entry(self, ownership, name, now_ms):
        organisation = self._view.state.get('organisation', name)
        if organisation is None:
            # The requesting node may have a newer view.
            raise Unavailable(
                f'{self._name} does not know the organisation {name}',
                retry_after_ms=100,
            )
        rate = organisation.rate_per_s
        burst = organisation.burst_requests
        entry = ownership.entries.get(name)
        if entry is None:
            plan = plan_bucket(rate, burst)
            level = _level_since_start(ownership, plan, now_ms)
            entry = _BucketEntry(Bucket(plan, now_ms, level), rate, burst)
            ownership.entries[name] = entry
        elif (entry.rate_per_s, entry.burst_requests) != (rate, burst):
            entry.bucket.set_plan(plan_bucket(rate, burst), now_ms)
            entry.pool = None
            entry.rate_per_s = rate
            entry.burst_requests = burst
        return entry

    def _apply_changes(self, changes):
        for change in changes:
            if change.kind == 'budget_shard':
                shard = self._view.state.get('budget_shard', change.name)
                self._follow_shard(change.name, shard)
            elif change.kind == 'organisation':
                self._update_plan(change.name)

    def _update_plan(self, name):
        ownership = self._ownerships.get(budget_shard_of(name))
        known = self._view.state.get('organisation', name) is not None
        if known and ownership is not None and name in ownership.entries:
            self._bucket_entry(ownership, name, self._now_ms())

    def _follow_shard(self, name, shard):
        ownership = self._ownerships.get(name)
        if ownership is not None and not self._is_continued(ownership, shard):
            del self._ownerships[name]
            self._hand_over(name, ownership, shard)
            ownership = None
        if ownership is None and self.owns(shard):
            self._start_ownership(name, shard)

    def _is_continued(self, ownership, shard):
        return self.owns(shard) and shard.revision == ownership.epoch

    def _start_ownership(self, name, shard):
        epoch = shard.revision
        delay_ms = START_DELAY_MS
        if shard.previous_owner == self._name:
            # The previous owner was an earlier process of this node, which
            # has ended.  Only its tokens have to expire.
            delay_ms = MAX_HANDOVER_VIEW_AGE_MS
        now_ms = self._now_ms()
        handover_until_ms = now_ms + delay_ms
        ready_at_ms = handover_until_ms if self._reach is None else now_ms
        ownership = _Ownership(
            epoch,
            ready_at_ms,
            handover_until_ms,
            ready_at_ms,
            0 if self._reach is None else FIRST_REQUESTS,
        )
        self._ownerships[name] = ownership
        message, state = self._early_handovers.get(name, (None, None))
        if message is not None and message.epoch <= epoch:
            del self._early_handovers[name]
            self._restore_ownership(ownership, message, state)

    def _restore_ownership(self, ownership, message, state):
        now_ms = self._now_ms()
        if (
            ownership.epoch != message.epoch
            or now_ms >= ownership.handover_until_ms
        ):
            return
        issued = _tokens_issued(ownership, now_ms)
        ownership.entries.clear()
        ownership.ready_at_ms = ownership.handover_until_ms = now_ms
        ownership.empty_at_ms = now_ms - state.age_ms
        ownership.first_tokens = 0
        for bucket_state in state.buckets:
            plan = plan_bucket(
                bucket_state.rate_per_s, bucket_state.burst_requests
            )
            bucket = Bucket(plan, now_ms, bucket_state.level)
            ownership.entries[bucket_state.organisation] = _BucketEntry(
                bucket, bucket_state.rate_per_s, bucket_state.burst_requests
            )
            self._update_plan(bucket_state.organisation)
        for organisation, tokens in issued.items():
            if self._view.state.get('organisation', organisation) is not None:
                entry = self._bucket_entry(ownership, organisation, now_ms)
                entry.bucket.charge(tokens, now_ms)
        self._metrics.add('grants_total', 'taken-over')

    def _hand_over(self, name, ownership, shard):
        now_ms = self._now_ms()
        started = now_ms >= ownership.ready_at_ms
        if shard is None or not shard.owner or not started:
            return
        # With an older view, another owner may have issued in between.
        if self._view.age_ms() > MAX_HANDOVER_VIEW_AGE_MS:
            return
        message = Handover(
            name, shard.revision, _encode(_shard_state(ownership, now_ms))
        )
        if self.owns(shard):
            self.accept_handover(message)
            return
        self._handovers_in_flight += 1
        self._spawn(self._send_handover, shard.peer_address, message)

    def _send_handover(self, address, message):
        try:
            self._pool.request(address, message, HANDOVER_TIMEOUT_MS)
        except DamasklandingError:
            self._metrics.add('grants_total', 'handover-lost')
        finally:
            self._handovers_in_flight -= 1


def _tokens_issued(ownership, now_ms):
    """Return the tokens that a new owner has issued, by organisation."""
    issued = {}
    for organisation, entry in ownership.entries.items():
        unused = _level_since_start(ownership, entry.bucket.plan, now_ms)
        level = entry.bucket.level(now_ms)
        if level < unused:
            issued[organisation] = unused - level
    return issued


def _level_since_start(ownership, plan, now_ms):
    """Return the level of a bucket that no token was issued from."""
    gained = (now_ms - ownership.empty_at_ms) * plan.rate_per_ms
    return min(plan.capacity, ownership.first_tokens + gained)


def _charge_spent(entry, message, now_ms):
    """
    Take what a node has admitted from its share off the bucket, once.

    A total below the last one comes from a node that has started anew.
    """
    spent = min(message.spent, MAX_WANTED_TOKENS)
    known = entry.spent.get(message.node, 0)
    if spent != known:
        entry.spent[message.node] = spent
        entry.bucket.charge(max(0, spent - known), now_ms)


def _issue_grant(entry, message, epoch, now_ms):
    bucket = entry.bucket
    pool = entry.pool
    waiting = min(message.waiting, MAX_WANTED_TOKENS)
    wanted = min(message.wanted, MAX_WANTED_TOKENS)
    if pool is not None:
        wanted = min(wanted, pool.tokens(now_ms))
    serial = bucket.next_serial()
    tokens = bucket.issue(wanted, waiting, now_ms)
    later_ms = bucket.ms_to_next_token(now_ms)
    later = 0
    if pool is not None:
        pool.change(-tokens)
        later_ms = max(later_ms, pool.ms_to_next_token(now_ms))
    elif waiting > tokens:
        later = bucket.reserve(waiting - tokens, message.wait_ms, now_ms)
    return Grant(
        epoch=epoch,
        serial=serial,
        ttl_ms=bucket.plan.ttl_ms,
        tokens=tokens,
        later=later,
        later_ms=later_ms if later else 0.0,
        spacing_ms=1.0 / bucket.plan.rate_per_ms,
        next_ms=bucket.ms_to_next_token(now_ms) if pool is None else later_ms,
        scarce=pool is not None or bucket.is_scarce(now_ms),
    )


def _shard_state(ownership, now_ms):
    buckets = [
        BucketState(
            organisation,
            entry.rate_per_s,
            entry.burst_requests,
            entry.bucket.level(now_ms),
        )
        for organisation, entry in ownership.entries.items()
    ]
    return ShardState(now_ms - ownership.empty_at_ms, buckets)
