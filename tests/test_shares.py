import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from damasklanding.budget.shares import FIRST_REQUESTS
from damasklanding.budget.shares import MAX_GAIN_MS
from damasklanding.budget.shares import LocalShares
from damasklanding.fleet.resources import Organisation

RATE_PER_S = 70.0
BURST = 140


def shares(node_count, has_first_token=False):
    return LocalShares(node_count, lambda: 0.0 if has_first_token else 1e9)


def organisation():
    return Organisation(
        name='lender', rate_per_s=RATE_PER_S, burst_requests=BURST
    )


@given(
    node_count=st.integers(1, 14),
    gaps_ms=st.lists(st.floats(0, 400), min_size=1, max_size=300),
)
def test_all_parts_together_stay_within_the_budget(node_count, gaps_ms):
    nodes = [shares(lambda: node_count) for _ in range(node_count)]
    admitted_ms = []
    now_ms = 0.0
    for gap_ms in gaps_ms:
        now_ms += gap_ms
        for node in nodes:
            while node.take(organisation(), 1.0, now_ms):
                admitted_ms.append(now_ms)
    for start_ms in set(admitted_ms):
        within = [t for t in admitted_ms if start_ms <= t <= start_ms + 5_000]
        assert len(within) <= RATE_PER_S * 5 + BURST + 1e-6


def test_part_follows_the_portion():
    node = shares(lambda: 10)
    taken = 0
    for now_ms in range(0, 60_000, 5):
        taken += node.take(organisation(), 0.5, float(now_ms))
    expected = 0.05 * 60 * RATE_PER_S
    assert abs(taken - expected) <= 2


def test_new_nodes_make_the_parts_smaller():
    counts = [1]
    node = shares(lambda: counts[0])
    assert not node.take(organisation(), 1.0, 0.0)
    taken = sum(node.take(organisation(), 1.0, 1_000.0) for _ in range(500))
    assert taken == 70
    counts[0] = 100
    taken = sum(node.take(organisation(), 1.0, 2_000.0) for _ in range(500))
    assert taken <= 2


def test_part_begins_empty_each_time_the_owner_has_answered():
    node = shares(lambda: 1)
    for start_ms in (0.0, 60_000.0):
        assert not node.take(organisation(), 1.0, start_ms)
        assert node.take(organisation(), 1.0, start_ms + 1_000)
        node.end('lender')


def test_part_gains_little_in_times_in_which_it_is_not_asked_for():
    node = shares(lambda: 1)
    node.take(organisation(), 1.0, 0.0)
    taken = sum(node.take(organisation(), 1.0, 60_000.0) for _ in range(500))
    assert taken == RATE_PER_S * MAX_GAIN_MS / 1_000


@pytest.mark.parametrize('node_count', [5, 26, 200])
def test_first_requests_of_all_parts_are_few(node_count):
    rng = random.Random(1)
    taken = []
    for _ in range(200):
        nodes = [
            LocalShares(lambda: node_count, rng.random)
            for _ in range(node_count)
        ]
        taken.append(
            sum(node.take(organisation(), 1.0, 0.0) for node in nodes)
        )
    assert sum(taken) <= 1.1 * FIRST_REQUESTS * len(taken)
    assert max(taken) <= 20  # the users' tolerance


def test_part_with_a_first_token_admits_one_request_at_once():
    node = shares(lambda: 200, has_first_token=True)
    assert node.take(organisation(), 0.4, 0.0)
    assert not node.take(organisation(), 0.4, 0.0)
