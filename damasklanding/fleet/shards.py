"""
damasklanding.fleet.shards
~~~~~~~~~~~~~~~~~~~~~~~~~~

Assigns the shards of the organisations' budgets to nodes.  Every control
host computes the same assignment from the same state.
"""

import hashlib

from damasklanding.fleet.changes import put
from damasklanding.fleet.resources import BudgetShard

__all__ = [
    'BUDGET_SHARD_COUNT',
    'SHARD_NAMES',
    'assign_shards',
    'budget_shard_of',
]

BUDGET_SHARD_COUNT = 512
SHARD_NAMES = tuple(
    f'shard-{number:03d}' for number in range(BUDGET_SHARD_COUNT)
)


def budget_shard_of(organisation):
    """Return the name of the shard that holds an organisation's budget."""
    digest = hashlib.sha256(organisation.encode()).digest()
    return SHARD_NAMES[int.from_bytes(digest[:4]) % BUDGET_SHARD_COUNT]


def assign_shards(state, updates, revision):
    """
    Return the ownership changes that result from changed registrations.

    Shards whose owner has left, is draining or has restarted go to the nodes
    that own the fewest.  A node that owns none takes shards only from owners
    with more than twice the fair share, so that few shards move.

    :param updates: changed registrations by name, None for removed ones; they
        take precedence over the state.
    """
    owners = _valid_owners(state, updates)
    fair_share = BUDGET_SHARD_COUNT / max(1, _backend_count(state, updates))
    new_owners = _rebalance(owners, _newcomers(owners, updates), fair_share)
    unowned = [name for name in SHARD_NAMES if name not in owners]
    if unowned:
        new_owners.update(_assign_unowned(state, updates, owners, unowned))
    return [
        change
        for name in sorted(new_owners)
        for change in _ownership_change(
            state, name, new_owners[name], revision
        )
    ]


def _registration(state, updates, name):
    if name in updates:
        return updates[name]
    return state.get('backend', name)


def _backend_count(state, updates):
    known = state.all('backend')
    joined = sum(
        (backend is not None) - (name in known)
        for name, backend in updates.items()
    )
    return len(known) + joined


def _can_own(backend):
    return backend is not None and backend.state == 'in'


def _valid_owners(state, updates):
    owners = {}
    for name in SHARD_NAMES:
        shard = state.get('budget_shard', name)
        if shard is None or not shard.owner:
            continue
        backend = _registration(state, updates, shard.owner)
        if _can_own(backend) and _is_same_owner(shard, backend):
            owners[name] = backend
    return owners


def _is_same_owner(shard, backend):
    return (
        shard.owner_instance == backend.instance
        and shard.peer_address == backend.peer_address
    )


def _shard_counts(owners):
    counts = {}
    for backend in owners.values():
        counts[backend.name] = counts.get(backend.name, 0) + 1
    return counts


def _newcomers(owners, updates):
    known = {backend.name for backend in owners.values()}
    return [
        updates[name]
        for name in sorted(updates)
        if _can_own(updates[name]) and name not in known
    ]


def _rebalance(owners, newcomers, fair_share):
    moved = {}
    counts = _shard_counts(owners)
    for newcomer in newcomers:
        while counts and counts.get(newcomer.name, 0) < fair_share:
            largest_owner = min(counts, key=lambda name: (-counts[name], name))
            if counts[largest_owner] <= max(1, 2 * fair_share):
                break
            shard = max(n for n in owners if owners[n].name == largest_owner)
            owners[shard] = moved[shard] = newcomer
            counts[largest_owner] -= 1
            counts[newcomer.name] = counts.get(newcomer.name, 0) + 1
    return moved


def _assign_unowned(state, updates, owners, unowned):
    candidates = {
        name: _registration(state, updates, name)
        for name in {*state.all('backend'), *updates}
    }
    counts = {
        name: 0
        for name, backend in sorted(candidates.items())
        if _can_own(backend)
    }
    counts.update(_shard_counts(owners))
    assigned = {}
    for shard in unowned:
        if not counts:
            assigned[shard] = None
            continue
        name = min(counts, key=lambda name: (counts[name], name))
        counts[name] += 1
        assigned[shard] = candidates[name]
    return assigned


def _ownership_change(state, name, backend, revision):
    known = state.get('budget_shard', name)
    previous = known.owner if known is not None else ''
    if backend is None:
        if known is None:
            return []
        shard = BudgetShard(name=name, previous_owner=previous)
    else:
        shard = BudgetShard(
            name=name,
            owner=backend.name,
            previous_owner=previous,
            owner_instance=backend.instance,
            peer_address=backend.peer_address,
        )
    return put(state, 'budget_shard', shard, revision)
