from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from damasklanding.budget.bucket import MIN_TTL_MS
from damasklanding.budget.bucket import Bucket
from damasklanding.budget.bucket import plan_bucket
from tests.budget_fleet import worst_excess

EPSILON = 1e-6


@pytest.mark.parametrize(
    ('rate', 'burst', 'ttl_ms', 'capacity', 'rate_per_ms'),
    [
        (100, 100, 200, 80, 0.1),
        (100, 20, 100, 10, 0.1),
        (1, 1, 200, 1, 0.001 / 1.2),
        (1000, 10, MIN_TTL_MS, 1, 10 / 41),
        (10, 2, 100, 1, 0.01),
    ],
)
def test_plan(rate, burst, ttl_ms, capacity, rate_per_ms):
    plan = plan_bucket(rate, burst)
    assert plan.ttl_ms == ttl_ms
    assert plan.capacity == pytest.approx(capacity)
    assert plan.rate_per_ms == pytest.approx(rate_per_ms)


STEP = st.tuples(
    st.sampled_from(('issue', 'reserve', 'return', 'wait')),
    st.integers(0, 40),
    st.floats(0, 1),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.sampled_from([0.5, 3, 10, 50, 300, 5000]),
    st.integers(1, 60),
    st.lists(STEP, max_size=60),
)
def test_use_at_any_time_of_a_tokens_life_keeps_the_bound(rate, burst, steps):
    plan = plan_bucket(rate, burst)
    now_ms = 0.0
    bucket = Bucket(plan, now_ms, plan.capacity)
    live = []
    uses = []
    for kind, number, part in steps:
        if kind == 'wait':
            now_ms += part * number * 10
        elif kind == 'return':
            if live:
                serial, unused = live.pop(number % len(live))
                assert bucket.take_back(serial, unused, now_ms) <= unused
                assert bucket.take_back(serial, unused, now_ms) == 0
        else:
            serial = bucket.next_serial()
            first_ms = 0.0
            if kind == 'issue':
                tokens = bucket.issue(number, number // 2, now_ms)
                spacing_ms = 0.0
            else:
                first_ms = bucket.ms_to_next_token(now_ms)
                tokens = bucket.reserve(number, part * 600, now_ms)
                spacing_ms = 1 / plan.rate_per_ms
            kept = round(tokens * part)
            uses += [
                now_ms
                + first_ms
                + spacing_ms * index
                + plan.ttl_ms * (1 - part)
                for index in range(kept)
            ]
            live.append((serial, tokens - kept))
    assert worst_excess(uses, rate, burst) <= EPSILON


def test_burst_of_one_keeps_single_tokens_apart_by_more_than_their_life():
    plan = plan_bucket(10, 1)
    bucket = Bucket(plan, 0.0, plan.capacity)
    issued = [now_ms for now_ms in range(2_000) if bucket.issue(5, 0, now_ms)]
    gaps = [
        later - sooner
        for sooner, later in zip(issued, issued[1:], strict=False)
    ]
    assert min(gaps) >= 100 + plan.ttl_ms


def test_hand_back_leaves_the_level_as_if_never_issued():
    plan = plan_bucket(100, 100)
    plain = Bucket(plan, 0.0, 80)
    other = Bucket(plan, 0.0, 80)
    serial = other.next_serial()
    other.issue(30, 30, 10.0)
    for bucket in (plain, other):
        bucket.next_serial()
        bucket.issue(20, 20, 50.0)
    assert other.level(60.0) < plain.level(60.0)
    assert other.take_back(serial, 30, 60.0) == 30
    assert other.level(60.0) == pytest.approx(plain.level(60.0))


def test_lapsed_tokens_do_not_come_back():
    bucket = Bucket(plan_bucket(100, 100), 0.0, 80)
    serial = bucket.next_serial()
    tokens = bucket.issue(30, 30, 0.0)
    assert bucket.take_back(serial, tokens, 200.0) == 0


def test_reserved_tokens_are_due_as_they_are_refilled():
    bucket = Bucket(plan_bucket(100, 100), 0.0, 0.0)
    assert bucket.ms_to_next_token(0.0) == pytest.approx(10)
    assert bucket.reserve(5, 100, 0.0) == 5
    assert bucket.ms_to_next_token(0.0) == pytest.approx(60)
    assert bucket.reserve(50, 100, 0.0) == 5
    assert bucket.reserve(90, 9_000, 0.0) == 40
    assert bucket.issue(1, 1, 400.0) == 0


def test_raise_counts_outstanding_tokens_in_advance():
    bucket = Bucket(plan_bucket(100, 100), 0.0, 80)
    bucket.set_plan(plan_bucket(200, 100), 0.0)
    assert bucket.level(0.0) == pytest.approx(60)


def test_no_asker_takes_all_that_is_left_ahead_of_requests():
    bucket = Bucket(plan_bucket(100, 100), 0.0, 80)
    assert bucket.issue(50, 0, 0.0) == 5
    assert bucket.issue(50, 50, 0.0) == 50


def test_tokens_are_scarce_below_half_of_the_capacity():
    bucket = Bucket(plan_bucket(100, 100), 0.0, 80)
    bucket.issue(40, 40, 0.0)
    assert not bucket.is_scarce(0.0)
    bucket.issue(1, 1, 0.0)
    assert bucket.is_scarce(0.0)
