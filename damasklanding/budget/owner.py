"""
damasklanding.budget.owner
~~~~~~~~~~~~~~~~~~~~~~~~~~

Issues the tokens of the organisations whose budget shard this node owns.
Ownership is fenced by the shard's epoch and by the freshness of the view, so
that at most one node issues at any time.
"""

from dataclasses import dataclass
from dataclasses import field

import gevent
import msgspec

from damasklanding.budget.bucket import DEFAULT_TTL_MS
from damasklanding.budget.bucket import MAX_RESERVE_MS
from damasklanding.budget.bucket import Bucket
from damasklanding.budget.bucket import plan_bucket
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

__all__ = ['OWNER_FRESH_MS', 'START_DELAY_MS', 'BudgetOwner']

OWNER_FRESH_MS = 1_500
# A handover is given only by an owner whose last proof is younger.
HANDOVER_AGE_MS = 600
# Later than any issue of an earlier owner, and than any of its tokens.
START_DELAY_MS = OWNER_FRESH_MS + HANDOVER_AGE_MS
HANDOVER_TIMEOUT_MS = 500
DRAIN_POLL_MS = 20
MAX_WANTED = 1_000_000

assert max(DEFAULT_TTL_MS, MAX_RESERVE_MS) <= HANDOVER_AGE_MS


class BucketState(msgspec.Struct, frozen=True, array_like=True):
    """What an owner hands over about one organisation."""

    organisation: str
    rate_per_s: float
    burst_requests: int
    level: float


class TenureState(msgspec.Struct, frozen=True, array_like=True):
    """
    What an owner hands over about a shard.

    :ivar age_ms: time since the fleet last started it with empty buckets.
    """

    age_ms: float
    buckets: list[BucketState]


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(TenureState)


@dataclass(slots=True)
class _Entry:
    bucket: Bucket
    rate_per_s: float
    burst_requests: int


@dataclass(slots=True)
class _Tenure:
    epoch: int
    ready_at_ms: float
    empty_since_ms: float
    entries: dict = field(default_factory=dict)


class BudgetOwner:
    """
    Owner of the budget shards that the configuration assigns to this node.

    :param view: :class:`damasklanding.node.view.FleetView`.
    :param name: own name.
    :param instance: own instance.
    :param metrics: :class:`damasklanding.metrics.Metrics`.
    :param pool: :class:`damasklanding.linkpool.LinkPool`, for handovers.
    :param spawn: starts a function in the background.
    """

    def __init__(
        self, view, name, instance, now_ms, metrics, pool, spawn=gevent.spawn
    ):
        self._view = view
        self._name = name
        self._instance = instance
        self._now_ms = now_ms
        self._metrics = metrics
        self._pool = pool
        self._spawn = spawn
        self._tenures = {}
        self._pending = {}
        self._handing = 0
        view.subscribe(self._changed)
        for shard in view.state.all('budget_shard').values():
            self._follow(shard.name, shard)

    def handlers(self):
        """Return the handlers of this part by message class."""
        return {
            GrantRequest: lambda _exchange, message: self.grant(message),
            GrantReturn: lambda _exchange, message: self.give_back(message),
            Handover: lambda _exchange, message: self.take_over(message),
        }

    def owns(self, shard):
        """Return whether the configuration names this node for a shard."""
        return (
            shard is not None
            and shard.owner == self._name
            and shard.owner_instance == self._instance
        )

    def grant(self, message):
        """
        Issue tokens.

        :param message: :class:`damasklanding.wire.GrantRequest`.
        :return: :class:`damasklanding.wire.Grant`.
        :raises Unavailable: where this node may not issue now.
        """
        now_ms = self._now_ms()
        tenure = self._require_tenure(message.organisation, message.epoch)
        entry = self._entry(tenure, message.organisation, now_ms)
        grant = _issue(entry.bucket, message, tenure.epoch, now_ms)
        issued = grant.tokens + grant.later
        self._metrics.add('grants_total', 'granted' if issued else 'dry')
        return grant

    def give_back(self, message):
        """Take back unused tokens of this tenure."""
        tenure = self._require_tenure(message.organisation, message.epoch)
        entry = tenure.entries.get(message.organisation)
        if entry is not None:
            entry.bucket.give_back(
                message.serial, message.returned, self._now_ms()
            )
            self._metrics.add('grants_total', 'returned')
        return Accepted()

    def take_over(self, message):
        """Start a tenure with what the previous owner left."""
        try:
            state = _decoder.decode(message.state)
        except msgspec.MsgspecError as error:
            raise BadInput('a handover that does not decode') from error
        tenure = self._tenures.get(message.shard)
        if tenure is not None and tenure.epoch >= message.epoch:
            self._start(tenure, message, state)
        else:
            self._pending[message.shard] = message, state
        return Accepted()

    def drain(self, timeout_ms):
        """
        Issue on until every shard has gone to another node.

        Call it after the node's registration has ended.

        :return: whether all were handed over in time.
        """
        with gevent.Timeout(timeout_ms / 1000, False):
            while self._tenures or self._handing:
                gevent.sleep(DRAIN_POLL_MS / 1000)
        return not self._tenures and not self._handing

    def _require_tenure(self, organisation, epoch):
        shard_name = budget_shard_of(organisation)
        tenure = self._tenures.get(shard_name)
        if tenure is None or tenure.epoch != epoch:
            raise Unavailable(
                f'{self._name} does not own the budget of {organisation} '
                f'at epoch {epoch}',
                'follow the configuration to its owner',
                retry_after_ms=100,
            )
        if self._view.age_ms() >= OWNER_FRESH_MS:
            raise StaleState(
                f'{self._name} has no fresh proof that it owns the budget',
                retry_after_ms=200,
            )
        wait_ms = tenure.ready_at_ms - self._now_ms()
        if wait_ms > 0:
            raise Unavailable(
                f'the budget of {organisation} changes its owner',
                retry_after_ms=int(wait_ms) + 1,
            )
        return tenure

    def _entry(self, tenure, name, now_ms):
        organisation = self._view.state.get('organisation', name)
        if organisation is None:
            # The asker may have learned of it first.
            raise Unavailable(
                f'{self._name} does not know the organisation {name}',
                retry_after_ms=100,
            )
        rate = organisation.rate_per_s
        burst = organisation.burst_requests
        entry = tenure.entries.get(name)
        if entry is None:
            plan = plan_bucket(rate, burst)
            level = (now_ms - tenure.empty_since_ms) * plan.rate_per_ms
            entry = _Entry(Bucket(plan, now_ms, level), rate, burst)
            tenure.entries[name] = entry
        elif (entry.rate_per_s, entry.burst_requests) != (rate, burst):
            entry.bucket.change(plan_bucket(rate, burst), now_ms)
            entry.rate_per_s = rate
            entry.burst_requests = burst
        return entry

    def _changed(self, changes):
        for change in changes:
            if change.kind == 'budget_shard':
                shard = self._view.state.get('budget_shard', change.name)
                self._follow(change.name, shard)
            elif change.kind == 'organisation':
                self._refresh(change.name)

    def _refresh(self, name):
        tenure = self._tenures.get(budget_shard_of(name))
        known = self._view.state.get('organisation', name) is not None
        if known and tenure is not None and name in tenure.entries:
            self._entry(tenure, name, self._now_ms())

    def _follow(self, name, shard):
        tenure = self._tenures.get(name)
        if tenure is not None and not self._continues(tenure, shard):
            del self._tenures[name]
            self._hand_over(name, tenure, shard)
            tenure = None
        if tenure is None and self.owns(shard):
            self._begin(name, shard)

    def _continues(self, tenure, shard):
        return self.owns(shard) and shard.revision == tenure.epoch

    def _begin(self, name, shard):
        epoch = shard.revision
        delay_ms = START_DELAY_MS
        if shard.previous_owner == self._name:
            # An earlier process of this name has ended, so that only its
            # tokens are left.
            delay_ms = HANDOVER_AGE_MS
        ready_at_ms = self._now_ms() + delay_ms
        tenure = _Tenure(epoch, ready_at_ms, ready_at_ms)
        self._tenures[name] = tenure
        message, state = self._pending.get(name, (None, None))
        if message is not None and message.epoch <= epoch:
            del self._pending[name]
            self._start(tenure, message, state)

    def _start(self, tenure, message, state):
        now_ms = self._now_ms()
        if tenure.epoch != message.epoch or now_ms >= tenure.ready_at_ms:
            return
        tenure.ready_at_ms = now_ms
        tenure.empty_since_ms = now_ms - state.age_ms
        for left in state.buckets:
            plan = plan_bucket(left.rate_per_s, left.burst_requests)
            bucket = Bucket(plan, now_ms, left.level)
            tenure.entries[left.organisation] = _Entry(
                bucket, left.rate_per_s, left.burst_requests
            )
            self._refresh(left.organisation)
        self._metrics.add('grants_total', 'taken-over')

    def _hand_over(self, name, tenure, shard):
        now_ms = self._now_ms()
        live = now_ms >= tenure.ready_at_ms
        if shard is None or not shard.owner or not live:
            return
        # An older proof would leave room for an owner in between.
        if self._view.age_ms() > HANDOVER_AGE_MS:
            return
        message = Handover(
            name, shard.revision, _encode(_state_of(tenure, now_ms))
        )
        if self.owns(shard):
            self.take_over(message)
            return
        self._handing += 1
        self._spawn(self._send_handover, shard.peer_address, message)

    def _send_handover(self, address, message):
        try:
            self._pool.request(address, message, HANDOVER_TIMEOUT_MS)
        except DamasklandingError:
            self._metrics.add('grants_total', 'handover-lost')
        finally:
            self._handing -= 1


def _issue(bucket, message, epoch, now_ms):
    waiting = min(message.waiting, MAX_WANTED)
    wanted = min(message.wanted, MAX_WANTED)
    serial = bucket.next_serial()
    tokens = bucket.issue(wanted, waiting, now_ms)
    later_ms = bucket.next_ms(now_ms)
    later = 0
    if waiting > tokens:
        later = bucket.reserve(waiting - tokens, message.wait_ms, now_ms)
    return Grant(
        epoch=epoch,
        serial=serial,
        ttl_ms=bucket.plan.ttl_ms,
        tokens=tokens,
        later=later,
        later_ms=later_ms if later else 0.0,
        spacing_ms=1.0 / bucket.plan.rate_per_ms,
        next_ms=bucket.next_ms(now_ms),
        scarce=bucket.scarce(now_ms),
    )


def _state_of(tenure, now_ms):
    buckets = [
        BucketState(
            organisation,
            entry.rate_per_s,
            entry.burst_requests,
            entry.bucket.level(now_ms),
        )
        for organisation, entry in tenure.entries.items()
    ]
    return TenureState(now_ms - tenure.empty_since_ms, buckets)
