"""
tests.budget_fleet
~~~~~~~~~~~~~~~~~~

Budget owners and rate limiters of several nodes on simulated time.  The
network between them can delay, lose and duplicate messages and be partitioned.
"""

from collections import deque
import random

import gevent

from damasklanding.budget import token_cache as token_cache_module
from damasklanding.budget.owner import BudgetOwner
from damasklanding.budget.rate_limiter import RateLimiter
from damasklanding.budget.reach import Reach
from damasklanding.budget.shares import LocalShares
from damasklanding.errors import DamasklandingError
from damasklanding.errors import LinkClosed
from damasklanding.errors import LinkTimeout
from damasklanding.fleet.resources import BudgetShard
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import Organisation
from damasklanding.fleet.shards import SHARD_NAMES
from damasklanding.fleet.shards import budget_shard_of
from damasklanding.messages import MESSAGE_LEVEL
from damasklanding.metrics import Metrics
from damasklanding.node.view import FleetView
from tests.virtual_time import VirtualTime

SHARD = budget_shard_of('acme')
LATENCY_MS = 1.0


def worst_excess(uses, rate_per_s, burst):
    """Return the largest excess over rate * t + burst in any window."""
    worst = lowest = float('-inf')
    for count, at_ms in enumerate(sorted(uses)):
        offset = count - rate_per_s * at_ms / 1000
        lowest = max(lowest, -offset)
        worst = max(worst, offset + 1 + lowest - burst)
    return worst


class FakeLink:
    """Open link to a node; ``peer`` is the node, with its message level."""

    def __init__(self, peer):
        self.peer = peer

    def silent_ms(self):
        """Return how long nothing was heard of the node."""
        is_frozen = self.peer.time() < self.peer.frozen_until_ms
        return 1_000 if is_frozen else 10


class Node:
    """
    A node, which is also the link pool of its owner and rate limiter.

    :ivar put_back: function returned for the last admitted request.
    :ivar sent: messages sent so far.
    :ivar level: message level of its release.
    """

    level = MESSAGE_LEVEL

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f'node-{number}'
        self.address = f'127.0.0.1:{number + 1}'
        self.instance = 'i1'
        self.time = fleet.time
        self.frozen_until_ms = 0.0
        self.starts = 1
        self.put_back = None
        self.jobs = []
        self.sent = []
        self.start()

    def start(self):
        """Start the process with empty state."""
        self.view = FleetView(self.time)
        self.metrics = Metrics()
        reach = self._reach()
        self.owner = BudgetOwner(
            self.view,
            self.name,
            self.instance,
            self.time,
            self.metrics,
            self,
            self.spawn,
            reach=reach,
        )
        shares = {}
        if self.fleet.has_shares:
            draw = random.Random(self.name).random
            shares = {'shares': LocalShares(self.fleet.node_count, draw)}
        self.rate_limiter = RateLimiter(
            self.view,
            self,
            self.owner,
            self.time,
            self.metrics,
            self.name,
            self.spawn,
            self.sleep,
            reach=reach,
            **self.fleet.limiter_options,
            **shares,
        )

    def _reach(self):
        if not self.fleet.has_shares:
            return None
        return Reach(
            self.view,
            self.name,
            self.time,
            self,
            random.Random(self.name),
            self.spawn,
        )

    def get(self, address):
        """Return an open link to a node."""
        return FakeLink(
            next(n for n in self.fleet.nodes if n.address == address)
        )

    def peek(self, address):
        """Return a link to a node that is not cut off, else None."""
        if (self.address, address) in self.fleet.cut:
            return None
        return self.get(address)

    def restart(self):
        """Kill the process and start another."""
        gevent.killall(self.jobs)
        self.jobs.clear()
        self.starts += 1
        self.instance = f'i{self.starts}'
        self.start()

    def spawn(self, function, *args):
        """Run a function in this process."""
        job = self.fleet.spawn(function, *args)
        self.jobs.append(job)
        return job

    def sleep(self, seconds):
        """Sleep; a frozen process goes on only when it is no longer frozen."""
        self.time.sleep(seconds)
        left_ms = self.frozen_until_ms - self.time()
        if left_ms > 0:
            self.time.sleep(left_ms / 1000)

    def learn(self, confirmed_at_ms=None):
        """Update the view to the fleet's state, confirmed now or earlier."""
        changes, revision = self.fleet.changes()
        self.view.apply(1, revision, changes)
        if confirmed_at_ms is None:
            confirmed_at_ms = self.time()
        self.view.confirm(confirmed_at_ms)

    def request(self, address, message, timeout_ms):
        return self.fleet.exchange(self, address, message, timeout_ms)


class Fleet:
    """
    Nodes, the current configuration and the network between them.

    :ivar delays: delays of the next messages in milliseconds; ``None`` loses
        the message, ``'twice'`` delivers it twice.
    :ivar cut: pairs of source and target address without a connection.
    :ivar uses: times at which requests were admitted.
    :ivar has_shares: whether the rate is shared out while no owner issues.
    """

    def __init__(
        self,
        monkeypatch,
        count,
        rate=100.0,
        burst=100,
        least_wait_ms=None,
        has_shares=False,
    ):
        self.time = VirtualTime()
        self.has_shares = has_shares
        self.nodes = []
        self.limiter_options = {}
        if has_shares:
            self.limiter_options = {'node_count': self.node_count}
        if least_wait_ms is not None:
            self.limiter_options['least_wait_ms'] = least_wait_ms
        monkeypatch.setattr(token_cache_module, 'Event', self.time.event)
        self.jobs = []
        self.delays = deque()
        self.cut = set()
        self.revision = 0
        self.uses = []
        self.organisation = None
        self.shard = None
        self.nodes = [Node(self, number) for number in range(count)]
        self.set_rate(rate, burst)

    def node_count(self):
        """Return the number of nodes."""
        return max(1, len(self.nodes))

    def spawn(self, function, *args):
        job = gevent.spawn(function, *args)
        self.jobs.append(job)
        return job

    def close(self):
        """Kill every greenlet."""
        gevent.killall(self.jobs)

    def set_rate(self, rate, burst):
        self.revision += 1
        self.organisation = Organisation(
            name='acme',
            revision=self.revision,
            rate_per_s=rate,
            burst_requests=burst,
        )

    def assign(self, node):
        self.revision += 1
        self.shard = BudgetShard(
            name=SHARD,
            revision=self.revision,
            owner=node.name,
            owner_instance=node.instance,
            peer_address=node.address,
        )

    def _other_shards(self):
        names = [name for name in SHARD_NAMES if name != SHARD]
        return [
            BudgetShard(
                name=name,
                revision=1,
                owner=node.name,
                owner_instance=node.instance,
                peer_address=node.address,
            )
            for name, node in zip(names, self.nodes, strict=False)
        ]

    def changes(self):
        changes = [Change.put('organisation', self.organisation)]
        if self.shard is not None:
            changes.append(Change.put('budget_shard', self.shard))
        if self.has_shares:
            changes += [
                Change.put('budget_shard', shard)
                for shard in self._other_shards()
            ]
        return changes, self.revision

    def learn(self):
        """Update the view of every node."""
        for node in self.nodes:
            node.learn()

    def run_for(self, duration_ms, step_ms=100):
        """Advance the time, with regular sweeps and confirmed views."""
        end_ms = self.time() + duration_ms
        while self.time() < end_ms:
            self.time.run_for(min(step_ms, end_ms - self.time()))
            for node in self.nodes:
                node.view.confirm(self.time())
                node.rate_limiter.sweep()

    def take(self, node, wait_ms=0):
        """Spawn one request; the greenlet's value is True or the error."""
        return node.spawn(self._take, node, wait_ms)

    def admitted(self, node, count, wait_ms=0):
        """Return how many of ``count`` concurrent requests are admitted."""
        jobs = [self.take(node, wait_ms) for _ in range(count)]
        self.run_for(wait_ms + 600)
        return sum(job.value is True for job in jobs)

    def error(self, node, wait_ms=0):
        """Return the error of one request, None if it is admitted."""
        job = self.take(node, wait_ms)
        self.run_for(wait_ms + 600)
        return None if job.value is True else job.value

    def _take(self, node, wait_ms):
        organisation = node.view.state.get('organisation', 'acme')
        if organisation is None:
            return False
        try:
            node.put_back = node.rate_limiter.take(organisation, wait_ms)
        except DamasklandingError as error:
            return error
        self.uses.append(self.time())
        return True

    def exchange(self, sender, address, message, timeout_ms):
        """Deliver a message and its reply, each with its own delay."""
        start_ms = self.time()
        sender.sent.append(message)
        sender.sleep(0)
        reply = self._deliver(sender, address, message, timeout_ms)
        self._transmit(address, sender.address, timeout_ms)
        sender.sleep(0)
        if self.time() - start_ms > timeout_ms:
            raise LinkTimeout('the reply came too late')
        return reply

    def _deliver(self, sender, address, message, timeout_ms):
        twice = self._transmit(sender.address, address, timeout_ms)
        node = next(n for n in self.nodes if n.address == address)
        node.sleep(0)
        handler = node.owner.handlers()[type(message)]
        try:
            reply = handler(None, message)
        except DamasklandingError as error:
            error.reply = message
            raise
        if twice:
            try:
                handler(None, message)
            except DamasklandingError:
                pass
        return reply

    def _transmit(self, source, target, timeout_ms):
        delay = self.delays.popleft() if self.delays else LATENCY_MS
        if delay is None or (source, target) in self.cut:
            self.time.sleep(timeout_ms / 1000)
            raise LinkClosed(f'no connection to {target}')
        if delay == 'twice':
            delay = LATENCY_MS
            self.time.sleep(delay / 1000)
            return True
        self.time.sleep(delay / 1000)
        return False
