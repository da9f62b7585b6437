"""
damasklanding.budget.reach
~~~~~~~~~~~~~~~~~~~~~~~~~~

What a node learns from others when a budget owner may be gone.

An owner without a recent proof that it still is the owner asks how many nodes
it reaches, and whether they have one.  Where the control hosts have no quorum,
all nodes are reached and none has a proof.  Where the owner is cut off, it
reaches only those that are cut off with it.

A node that an owner does not answer asks whether others still hear of it.
"""

import gevent

from damasklanding.errors import DamasklandingError
from damasklanding.messages import NEVER_CONFIRMED_AGE_MS
from damasklanding.messages import PROOF_AGE_LEVEL
from damasklanding.messages import ProofAgeReply
from damasklanding.messages import ProofAgeRequest

__all__ = ['Reach']

#: Number of nodes that are asked at a time; they are drawn anew each time.
MAX_SAMPLE = 8
PROBE_INTERVAL_MS = 500
PROBE_TIMEOUT_MS = 250
#: What a node has said or asked counts for this long.
EVIDENCE_LIFE_MS = 1_500
#: Number of nodes that are asked about an owner.
MAX_WITNESSES = 4
#: A node that gets tokens from an owner hears of it at least this often.
SILENT_OWNER_MS = 400
#: A node whose proof is younger by more than this is in touch with the control
#: hosts.
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
        self._owners = {}
        self._owners_at = None
        self._heard_ms = {}
        self._fresher_ms = float('-inf')
        self._reached_part = 0.0
        self._reached_ms = float('-inf')
        self._probed_ms = float('-inf')
        self._asked_about_ms = {}
        self._lost_ms = {}

    def note_heard(self, node):
        """Note that a node has asked this one for tokens."""
        if node != self._name:
            self._heard_ms[node] = self._now_ms()

    def handle(self, message):
        """Tell a peer the age of this node's proof."""
        age_ms = min(self._view.age_ms(), NEVER_CONFIRMED_AGE_MS)
        silent_ms = NEVER_CONFIRMED_AGE_MS
        link = self._pool.peek(message.about) if message.about else None
        if link is not None:
            silent_ms = min(link.silent_ms(), NEVER_CONFIRMED_AGE_MS)
        return ProofAgeReply(int(age_ms), int(silent_ms))

    def is_lost(self, address):
        """
        Return whether others have lately said that they hear nothing of it.

        False until they have been asked.
        """
        now_ms = self._now_ms()
        asked_ms = self._asked_about_ms.get(address, float('-inf'))
        if now_ms - asked_ms >= PROBE_INTERVAL_MS:
            self._asked_about_ms[address] = now_ms
            self._spawn(self._ask_about, address)
        lost_ms = self._lost_ms.get(address, float('-inf'))
        return now_ms - lost_ms < EVIDENCE_LIFE_MS

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
        count = len(addresses) + (self._name not in addresses)
        part = (1 + heard) / count
        if now_ms - self._reached_ms < EVIDENCE_LIFE_MS:
            part = max(part, self._reached_part)
        return min(1.0, part)

    def _addresses(self):
        """Return the peer addresses of all owners by name."""
        position = self._view.state.position()
        if self._owners_at != position:
            shards = self._view.state.all('budget_shard').values()
            self._owners = {
                shard.owner: shard.peer_address
                for shard in shards
                if shard.owner
            }
            self._owners_at = position
        return self._owners

    def _probe_if_due(self):
        now_ms = self._now_ms()
        if now_ms - self._probed_ms >= PROBE_INTERVAL_MS:
            self._probed_ms = now_ms
            self._spawn(self._probe)

    def _probe(self):
        others = self._other_addresses()
        sample = self._sample(others, MAX_SAMPLE)
        replies = self._ask(sample)
        ratio = len(replies) / len(sample) if sample else 0.0
        now_ms = self._now_ms()
        self._reached_part = (1 + ratio * len(others)) / (1 + len(others))
        self._reached_ms = now_ms
        youngest_ms = min((r.age_ms for r in replies), default=float('inf'))
        if self._view.age_ms() - youngest_ms > FRESHER_MS:
            self._fresher_ms = now_ms

    def _ask_about(self, address):
        others = [at for at in self._other_addresses() if at != address]
        replies = self._ask(self._sample(others, MAX_WITNESSES), address)
        if replies and all(r.silent_ms > SILENT_OWNER_MS for r in replies):
            self._lost_ms[address] = self._now_ms()
        else:
            self._lost_ms.pop(address, None)

    def _other_addresses(self):
        return sorted(
            address
            for name, address in self._addresses().items()
            if name != self._name
        )

    def _sample(self, addresses, count):
        return self._random.sample(addresses, min(count, len(addresses)))

    def _ask(self, addresses, about=''):
        """Return the replies of those that answer in time."""
        replies = []

        def ask(address):
            message = ProofAgeRequest(self._name, about)
            try:
                if self._pool.get(address).peer.level < PROOF_AGE_LEVEL:
                    return
                replies.append(
                    self._pool.request(address, message, PROBE_TIMEOUT_MS)
                )
            except DamasklandingError:
                pass

        gevent.joinall([self._spawn(ask, address) for address in addresses])
        return replies
