from collections import Counter
from math import ceil
import random

import pytest

from damasklanding.fleet.commands import ExpireBackends
from damasklanding.fleet.commands import RegisterBackend
from damasklanding.fleet.handlers import compute_changes
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.shards import BUDGET_SHARD_COUNT
from damasklanding.fleet.shards import SHARD_NAMES
from damasklanding.fleet.shards import budget_shard_of
from damasklanding.fleet.state import FleetState


class Fleet:
    """Applies registrations and returns the shards that changed owner."""

    def __init__(self):
        self.state = FleetState()
        self.index = 0

    def send(self, command):
        before = self.owners()
        self.index += 1
        changes = compute_changes(self.state, command, self.index)
        self.state.apply_changes(1, self.index, changes)
        after = self.owners()
        self.check()
        return [name for name in before if before[name] != after.get(name)]

    def register(self, name, instance='i1', state='in', port=1):
        backend = Backend(
            name=name,
            instance=instance,
            state=state,
            data_centre='dar-a',
            peer_address=f'10.0.0.1:{port}',
        )
        return self.send(RegisterBackend(backend=backend))

    def expire(self, **instances):
        return self.send(ExpireBackends(instances=instances))

    def owners(self):
        return {
            shard.name: (shard.owner, shard.owner_instance, shard.revision)
            for shard in self.state.all('budget_shard').values()
        }

    def counts(self):
        return Counter(owner for owner, _, _ in self.owners().values())

    def check(self):
        eligible = {
            (b.name, b.instance): b.peer_address
            for b in self.state.all('backend').values()
            if b.state == 'in'
        }
        for shard in self.state.all('budget_shard').values():
            key = (shard.owner, shard.owner_instance)
            if eligible:
                assert eligible[key] == shard.peer_address
            else:
                assert shard.owner == ''


def test_first_node_owns_all_and_later_ones_take_a_bounded_part():
    fleet = Fleet()
    fleet.register('n1')
    assert fleet.counts() == {'n1': BUDGET_SHARD_COUNT}
    assert len(fleet.register('n2')) == 0
    assert len(fleet.register('n3')) == ceil(BUDGET_SHARD_COUNT / 3)
    for number in range(4, 65):
        moved = fleet.register(f'n{number:02d}')
        assert len(moved) <= BUDGET_SHARD_COUNT / number + 1
    assert max(fleet.counts().values()) <= 3 * BUDGET_SHARD_COUNT // 64


def test_shards_of_a_lost_owner_go_to_the_others_with_the_fewest():
    fleet = Fleet()
    for name in ('n1', 'n2', 'n3'):
        fleet.register(name)
    owned = [n for n, (owner, _, _) in fleet.owners().items() if owner == 'n1']
    assert sorted(fleet.expire(n1='i1')) == sorted(owned)
    assert fleet.counts() == {
        'n2': BUDGET_SHARD_COUNT // 2,
        'n3': BUDGET_SHARD_COUNT // 2,
    }


@pytest.mark.parametrize('change', ['instance', 'state', 'address', 'expiry'])
def test_every_move_raises_the_epoch(change):
    fleet = Fleet()
    fleet.register('n1')
    before = fleet.owners()
    moved = {
        'instance': lambda: fleet.register('n1', 'i2'),
        'state': lambda: fleet.register('n1', state='draining'),
        'address': lambda: fleet.register('n1', port=2),
        'expiry': lambda: fleet.expire(n1='i1'),
    }[change]()
    assert sorted(moved) == list(SHARD_NAMES)
    after = fleet.owners()
    assert all(after[name][2] > before[name][2] for name in SHARD_NAMES)


def test_registration_that_changes_nothing_moves_nothing():
    fleet = Fleet()
    fleet.register('n1')
    fleet.register('n2')
    assert fleet.register('n1') == []
    assert fleet.expire(n1='another') == []


def test_organisations_map_to_these_shards():
    names = {budget_shard_of(f'organisation-{n}') for n in range(20_000)}
    assert names == set(SHARD_NAMES)


@pytest.mark.parametrize('seed', range(5))
def test_random_churn_leaves_every_shard_with_a_live_owner(seed):
    rng = random.Random(seed)
    fleet = Fleet()
    for step in range(200):
        name = f'n{rng.randrange(12)}'
        if rng.random() < 0.6:
            state = rng.choice(['in', 'in', 'draining'])
            fleet.register(name, f'i{rng.randrange(3)}', state)
        else:
            backend = fleet.state.get('backend', name)
            instance = backend.instance if backend else 'i0'
            fleet.expire(**{name: instance})
        assert step < 1 or len(fleet.owners()) in (0, BUDGET_SHARD_COUNT)
