import random

import pytest

from damasklanding.budget.reach import Reach
from damasklanding.fleet.resources import BudgetShard
from damasklanding.fleet.resources import Change
from damasklanding.node.view import FleetView


class NoPool:
    """Link pool without any link."""

    def peek(self, _address):
        return None


def shard(number, owner):
    resource = BudgetShard(
        name=f's{number}',
        owner=owner,
        peer_address=f'127.0.0.1:{7_000 + number}',
    )
    return Change.put('budget_shard', resource)


@pytest.fixture
def view():
    view = FleetView(lambda: 0.0)
    view.apply(1, 1, [shard(1, 'own'), shard(2, 'b')])
    return view


@pytest.fixture
def reach(view):
    return Reach(
        view,
        'own',
        lambda: 0.0,
        NoPool(),
        random.Random(1),
        spawn=lambda *_: None,
    )


def test_part_follows_the_owners_in_the_configuration(view, reach):
    reach.note_heard('b')
    assert reach.part() == 1.0
    view.apply(1, 2, [shard(3, 'c'), shard(4, 'd')])
    assert reach.part() == 0.5
    view.apply(1, 3, [shard(2, 'c')])
    assert reach.part() == pytest.approx(1 / 3)
    view.replace(2, 3, [shard(1, 'own')])
    assert reach.part() == 1.0


def test_owners_are_read_once_a_revision(view, reach, monkeypatch):
    """Guards nodes of a large fleet against a walk over all shards a call."""
    read = []
    all_of = view.state.all
    monkeypatch.setattr(
        view.state, 'all', lambda kind: read.append(kind) or all_of(kind)
    )
    for _ in range(100):
        reach.part()
    view.apply(1, 2, [shard(3, 'c')])
    for _ in range(100):
        reach.part()
    assert read == ['budget_shard'] * 2
