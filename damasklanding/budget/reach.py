"""
damasklanding.budget.reach
~~~~~~~~~~~~~~~~~~~~~~~~~~

How many of the nodes a budget owner reaches while it has no recent proof that
it still is the owner, and whether they have one.  Where the control hosts have
no quorum, all nodes are reached and none has a proof.  Where the owner is cut
off, it reaches only those that are cut off with it.
"""

import gevent

from damasklanding.errors import DamasklandingError
from damasklanding.messages import NEVER_CONFIRMED_AGE_MS
from damasklanding.messages import ProofAgeReply
from damasklanding.messages import ProofAgeRequest

__all__ = ['Reach']

#: Nodes that are asked at a time, drawn anew each time.
MAX_SAMPLE = 8
PROBE_INTERVAL_MS = 500
PROBE_TIMEOUT_MS = 250
#: What a node has said or asked counts for this long.
EVIDENCE_LIFE_MS = 1_500
#: A peer whose proof is younger by more is in touch with the control hosts.
FRESHER_MS = 1_000


class Reach:
    """
    What one node knows of the other owners of budgets.

    :param view: :class:`damasklanding.node.view.FleetView`.
    :param name: name of this node.
    :param now_ms: monotonic clock.
    :param pool: :class:`damasklanding.linkpool.LinkPool`.
    :param random: source of the samples.
    :param spawn: starts a function in the background.
    """

    def __init__(self, view, name, now_ms, pool, random, spawn=gevent.spawn):
        self._view = view
        self._name = name
        self._now_ms = now_ms
        self._pool = pool
        self._random = random
        self._spawn = spawn
        self._heard_ms = {}
        self._fresher_ms = float('-inf')
        self._reached_part = 0.0
        self._reached_ms = float('-inf')
        self._probed_ms = float('-inf')

    def note_heard(self, node):
        """Note that a node has asked this one for tokens."""
        if node != self._name:
            self._heard_ms[node] = self._now_ms()

    def handle(self, _message):
        """Tell a peer the age of this node's proof."""
        age_ms = min(self._view.age_ms(), NEVER_CONFIRMED_AGE_MS)
        return ProofAgeReply(int(age_ms))

    def peer_has_proof(self):
        """Return whether a peer has lately shown a younger proof."""
        self._probe_if_due()
        return self._now_ms() - self._fresher_ms < EVIDENCE_LIFE_MS

    def part(self):
        """Return the part of all nodes that this node reaches, itself too."""
        self._probe_if_due()
        now_ms = self._now_ms()
        addresses = self._addresses()
        heard = sum(
            now_ms - at_ms < EVIDENCE_LIFE_MS and node in addresses
            for node, at_ms in self._heard_ms.items()
        )
        part = (1 + heard) / max(1, len(addresses | {self._name: ''}))
        if now_ms - self._reached_ms < EVIDENCE_LIFE_MS:
            part = max(part, self._reached_part)
        return min(1.0, part)

    def _addresses(self):
        shards = self._view.state.all('budget_shard').values()
        return {
            shard.owner: shard.peer_address for shard in shards if shard.owner
        }

    def _probe_if_due(self):
        now_ms = self._now_ms()
        if now_ms - self._probed_ms >= PROBE_INTERVAL_MS:
            self._probed_ms = now_ms
            self._spawn(self._probe)

    def _probe(self):
        addresses = self._addresses()
        addresses.pop(self._name, None)
        names = sorted(addresses)
        sample = self._random.sample(names, min(MAX_SAMPLE, len(names)))
        reached = []
        jobs = [
            self._spawn(self._ask, addresses[name], reached) for name in sample
        ]
        gevent.joinall(jobs)
        ratio = len(reached) / len(sample) if sample else 0.0
        self._reached_part = (1 + ratio * len(names)) / (1 + len(names))
        self._reached_ms = self._now_ms()

    def _ask(self, address, reached):
        try:
            reply = self._pool.request(
                address, ProofAgeRequest(self._name), PROBE_TIMEOUT_MS
            )
        except DamasklandingError:
            return
        reached.append(address)
        if self._view.age_ms() - reply.age_ms > FRESHER_MS:
            self._fresher_ms = self._now_ms()
