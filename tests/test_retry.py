import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from damasklanding.policy.retry import AttemptOutcome
from damasklanding.policy.retry import FailedAttempt
from damasklanding.policy.retry import RetryBudget
from damasklanding.policy.retry import RetryDecision
from damasklanding.policy.retry import backoff_ms
from damasklanding.policy.retry import decide_retry

ROOT_CALLS = 2_000


def attempt(**fields):
    values = {
        'outcome': AttemptOutcome.UNKNOWN,
        'idempotent': True,
        'retries_left': 1,
    }
    values.update(fields)
    return FailedAttempt(**values)


@pytest.mark.parametrize(
    ('fields', 'verdict'),
    [
        ({}, RetryDecision.RETRY),
        ({'idempotent': False}, RetryDecision.NOT_IDEMPOTENT),
        (
            {'idempotent': False, 'outcome': AttemptOutcome.NOT_RUN},
            RetryDecision.RETRY,
        ),
        (
            {'idempotent': False, 'outcome': AttemptOutcome.RAN},
            RetryDecision.NOT_IDEMPOTENT,
        ),
        ({'retries_left': 0}, RetryDecision.NO_ALLOWANCE),
        ({'may_retry': False}, RetryDecision.TOLD_NOT_TO),
        (
            {'outcome': AttemptOutcome.RAN, 'may_retry': False},
            RetryDecision.ANSWERED,
        ),
        (
            {'deadline_left_ms': 5.0, 'expected_ms': 10.0},
            RetryDecision.NO_TIME,
        ),
        (
            {
                'outcome': AttemptOutcome.NOT_RUN,
                'free_reroute': True,
                'retries_left': 0,
            },
            RetryDecision.RETRY,
        ),
        (
            {
                'outcome': AttemptOutcome.NOT_RUN,
                'free_reroute': True,
                'retries_left': 0,
                'reroutes': 2,
            },
            RetryDecision.NO_ALLOWANCE,
        ),
    ],
)
def test_verdicts(fields, verdict):
    assert decide_retry(attempt(**fields), RetryBudget()) is verdict


def test_empty_budget_stops_retries():
    budget = RetryBudget(reserve=0)
    assert decide_retry(attempt(), budget) is RetryDecision.NO_BUDGET


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.booleans(), max_size=300))
def test_budget_never_exceeds_its_share(steps):
    budget = RetryBudget(ratio=0.1, reserve=2)
    calls = spent = 0
    for is_call in steps:
        if is_call:
            budget.note_call()
            calls += 1
        else:
            spent += budget.try_spend()
        assert budget.tokens >= 0
        assert spent <= max(2, 0.1 * calls) + 1e-6


class Hop:
    """One service of a call chain, with the retry budget of its node."""

    def __init__(self):
        self.budget = RetryBudget()
        self.calls = 0


def call(hops, depth, allowance):
    """
    Call a chain whose last service fails.

    :param allowance: list with the retries that the chain has left.
    :return: whether the answer permits a retry.
    """
    if depth == len(hops):
        return True
    hop = hops[depth]
    hop.budget.note_call()
    while True:
        hop.calls += 1
        permits_retry = call(hops, depth + 1, allowance)
        failed = attempt(retries_left=allowance[0], may_retry=permits_retry)
        if decide_retry(failed, hop.budget) is not RetryDecision.RETRY:
            return False
        allowance[0] -= 1
        assert allowance[0] >= 0


@pytest.mark.parametrize('depth', [5, 29])
@pytest.mark.parametrize('allowance', [1, 3])
def test_failing_bottom_service_costs_a_tenth_more(depth, allowance):
    hops = [Hop() for _ in range(depth)]
    for _ in range(ROOT_CALLS):
        call(hops, 0, [allowance])
    assert max(hop.calls for hop in hops) <= 1.1 * ROOT_CALLS
    assert sum(hop.calls for hop in hops) <= 1.1 * ROOT_CALLS * depth


def test_backoff_is_jittered_and_honours_retry_after():
    generator = random.Random(1)
    waits = [backoff_ms(2, generator.random) for _ in range(100)]
    assert 0 <= min(waits) < max(waits) <= 40
    asked = [backoff_ms(0, generator.random, 300) for _ in range(100)]
    assert min(asked) >= 300
    assert len(set(asked)) > 90


def test_scarce_retries_go_to_what_matters_most():
    budget = RetryBudget(ratio=0.1, reserve=0)
    draw = random.Random(1).random
    spent = {3: 0, 1: 0}
    for _ in range(4_000):
        importance = 3 if draw() < 0.2 else 1
        budget.note_call()
        if draw() < 0.55:
            spent[importance] += budget.try_spend(importance)
    # A fifth of the calls is important.  About 440 of their attempts fail,
    # and the budget earns 400 retries.
    assert spent[3] > 350
    assert spent[1] < 50


def test_plentiful_retries_go_to_all():
    budget = RetryBudget(ratio=0.1, reserve=0)
    refused = 0
    for number in range(4_000):
        budget.note_call()
        if number > 200 and number % 20 == 0:
            refused += not budget.try_spend(0)
    assert refused == 0
