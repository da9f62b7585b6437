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
    'BUDGET_SHARDS',
    'SHARD_NAMES',
    'assign_shards',
    'budget_shard_of',
]

BUDGET_SHARDS = 512
SHARD_NAMES = tuple(f'shard-{number:03d}' for number in range(BUDGET_SHARDS))


def budget_shard_of(organisation):
    """Return the name of the shard that holds an organisation's budget."""
    digest = hashlib.sha256(organisation.encode()).digest()
    return SHARD_NAMES[int.from_bytes(digest[:4]) % BUDGET_SHARDS]


def assign_shards(state, updates, revision):
    """
    Return the changes of ownership that follow a change of registrations.

    Shards whose owner has gone, drains or has started anew go to the nodes
    that own the fewest.  A node that owns none takes over from owners with
    more than twice their fair count, so that few shards move.

    :param updates: registrations by name that replace those of the state,
        None for removed ones.
    """
    owners = _valid_owners(state, updates)
    fair = BUDGET_SHARDS / max(1, _count(state, updates))
    chosen = _relieve(owners, _newcomers(owners, updates), fair)
    orphans = [name for name in SHARD_NAMES if name not in owners]
    if orphans:
        chosen.update(_adopt(state, updates, owners, orphans))
    return [
        change
        for name in sorted(chosen)
        for change in _give(state, name, chosen[name], revision)
    ]


def _current(state, updates, name):
    if name in updates:
        return updates[name]
    return state.get('backend', name)


def _count(state, updates):
    known = state.all('backend')
    joined = sum(
        (backend is not None) - (name in known)
        for name, backend in updates.items()
    )
    return len(known) + joined


def _may_own(backend):
    return backend is not None and backend.state == 'in'


def _valid_owners(state, updates):
    owners = {}
    for name in SHARD_NAMES:
        shard = state.get('budget_shard', name)
        if shard is None or not shard.owner:
            continue
        backend = _current(state, updates, shard.owner)
        if _may_own(backend) and _matches(shard, backend):
            owners[name] = backend
    return owners


def _matches(shard, backend):
    return (
        shard.owner_instance == backend.instance
        and shard.peer_address == backend.peer_address
    )


def _counts(owners):
    counts = {}
    for backend in owners.values():
        counts[backend.name] = counts.get(backend.name, 0) + 1
    return counts


def _newcomers(owners, updates):
    known = {backend.name for backend in owners.values()}
    return [
        updates[name]
        for name in sorted(updates)
        if _may_own(updates[name]) and name not in known
    ]


def _relieve(owners, newcomers, fair):
    moved = {}
    counts = _counts(owners)
    for newcomer in newcomers:
        while counts and counts.get(newcomer.name, 0) < fair:
            richest = min(counts, key=lambda name: (-counts[name], name))
            if counts[richest] <= max(1, 2 * fair):
                break
            shard = max(n for n in owners if owners[n].name == richest)
            owners[shard] = moved[shard] = newcomer
            counts[richest] -= 1
            counts[newcomer.name] = counts.get(newcomer.name, 0) + 1
    return moved


def _adopt(state, updates, owners, orphans):
    candidates = {
        name: _current(state, updates, name)
        for name in {*state.all('backend'), *updates}
    }
    counts = {
        name: 0
        for name, backend in sorted(candidates.items())
        if _may_own(backend)
    }
    counts.update(_counts(owners))
    adopted = {}
    for shard in orphans:
        if not counts:
            adopted[shard] = None
            continue
        name = min(counts, key=lambda name: (counts[name], name))
        counts[name] += 1
        adopted[shard] = candidates[name]
    return adopted


def _give(state, name, backend, revision):
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
