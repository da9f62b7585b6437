import random

import pytest

from damasklanding.errors import Overloaded
from damasklanding.policy.serverrate import UNLIMITED
from damasklanding.policy.serverrate import ServerRate
from damasklanding.policy.throttle import CHAIN_THROTTLE_SETTINGS
from damasklanding.policy.throttle import DECAY_MS
from damasklanding.policy.throttle import DEFAULT_THROTTLE_SETTINGS
from damasklanding.policy.throttle import MIN_REQUESTS
from damasklanding.policy.throttle import REQUESTS_PER_ANSWER
from damasklanding.policy.throttle import AdaptiveThrottle
from damasklanding.policy.throttle import RefusalLevels


def run(throttle, clock, seconds, rate_per_s, answers, importance=1):
    """
    Send requests at a rate and return the number of admitted ones.

    :param answers: function that takes the index of an admitted request and
        returns whether it succeeds.
    """
    passed = 0
    for index in range(seconds * rate_per_s):
        clock[0] += 1_000 / rate_per_s
        try:
            throttle.check('balance', 'p', importance)
        except Overloaded as error:
            assert error.retry_after_ms > 0
            continue
        passed += 1
        throttle.note('balance', 'p', importance, not answers(index))
    return passed


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
def throttle(clock):
    return AdaptiveThrottle(lambda: clock[0], random.Random(1).random)


def test_nothing_is_refused_while_chains_are_answered(throttle, clock):
    assert run(throttle, clock, 10, 100, lambda index: True) == 1_000


def test_little_passes_while_all_chains_fail_and_all_soon_after(
    throttle, clock
):
    run(throttle, clock, 3, 100, lambda index: False)
    assert run(throttle, clock, 5, 100, lambda index: False) < 75
    run(throttle, clock, 4, 100, lambda index: True)
    assert run(throttle, clock, 2, 100, lambda index: True) >= 195


def test_passes_about_what_is_answered(throttle, clock):
    capacity = [0.0]
    last = [0.0]

    def answers(index):
        capacity[0] = min(5, capacity[0] + (clock[0] - last[0]) * 0.03)
        last[0] = clock[0]
        if capacity[0] < 1:
            return False
        capacity[0] -= 1
        return True

    run(throttle, clock, 5, 100, answers)
    passed = run(throttle, clock, 10, 100, answers)
    bound = REQUESTS_PER_ANSWER * 300 + 10_000 / DECAY_MS * MIN_REQUESTS
    assert 300 <= passed <= 1.05 * bound


def test_refusal_names_the_counts_that_decided_it(throttle, clock):
    run(throttle, clock, 3, 100, lambda index: False)
    with pytest.raises(Overloaded, match=r'\(0 of \d+ answered\)'):
        while True:
            throttle.check('balance', 'p', 1)


def test_importance_has_accounts_of_its_own(throttle, clock):
    run(throttle, clock, 3, 100, lambda index: False)
    assert throttle.refused_ratio('balance', 'p', 1) > 0.5
    assert run(throttle, clock, 1, 100, lambda index: True, 3) == 100


def test_levels_shed_by_share_and_forget(clock):
    levels = RefusalLevels(lambda: clock[0])
    for _ in range(20):
        levels.note(0, admitted=False)
        levels.note(1, admitted=False)
        levels.note(3, admitted=True)
    assert levels.shed_below() == 2
    clock[0] += 5_000
    assert levels.shed_below() == 0


def test_sudden_demand_with_slow_answers_is_not_refused(throttle, clock):
    for _ in range(200):  # 40 requests per second, none answered yet
        clock[0] += 25.0
        throttle.check('catalog', 'browse', 1)
    assert throttle.refused_ratio('catalog', 'browse', 1) == 0.0


def test_little_headroom_wastes_little_work_on_chains_that_fail(clock):
    def answered_one_in_five(index):
        return index % 5 == 0

    passed = {}
    for settings in (DEFAULT_THROTTLE_SETTINGS, CHAIN_THROTTLE_SETTINGS):
        draw = random.Random(1).random
        throttle = AdaptiveThrottle(lambda: clock[0], draw, settings)
        passed[settings] = run(throttle, clock, 40, 100, answered_one_in_five)
    assert (
        passed[CHAIN_THROTTLE_SETTINGS]
        < 0.75 * passed[DEFAULT_THROTTLE_SETTINGS]
    )


@pytest.mark.parametrize('rate_per_s', [10, 50, 100, 400])
@pytest.mark.parametrize(
    'settings', [DEFAULT_THROTTLE_SETTINGS, CHAIN_THROTTLE_SETTINGS]
)
def test_release_after_an_overload_takes_no_longer_at_a_busier_node(
    clock, settings, rate_per_s
):
    # Service is due 15 s after a return; start, election and a budget's new
    # owner may take 11 s of them.
    throttle = AdaptiveThrottle(
        lambda: clock[0], random.Random(1).random, settings
    )
    run(throttle, clock, 6, rate_per_s, lambda index: False)
    run(throttle, clock, 4, rate_per_s, lambda index: True)
    passed = run(throttle, clock, 4, rate_per_s, lambda index: True)
    assert passed >= 0.95 * 4 * rate_per_s


def test_chains_at_one_node_of_many_are_refused_at_low_rates_too(clock):
    draw = random.Random(1).random
    throttle = AdaptiveThrottle(
        lambda: clock[0], draw, CHAIN_THROTTLE_SETTINGS
    )
    passed = run(throttle, clock, 60, 10, lambda index: index % 10 == 0)
    assert passed < 0.5 * 600


def refused_after_a_limit(clock, seed):
    """
    Return the refused of 80 requests, 3 s after a server's limit has ended.

    Four nodes get 40 requests a second, of which the server takes 10.4 while
    its limit is in force.
    """
    draw = random.Random(seed).random
    throttles = [
        AdaptiveThrottle(lambda: clock[0], draw, CHAIN_THROTTLE_SETTINGS)
        for _ in range(4)
    ]
    rate = ServerRate(lambda: clock[0])
    rate.note(10.4, clock[0])
    refused = 0
    for index in range(280):
        clock[0] += 25.0
        if index == 80:
            rate.note(UNLIMITED, clock[0])
        throttle = throttles[index % len(throttles)]
        try:
            throttle.check('desk', 'p', 1)
        except Overloaded:
            refused += index >= 200
            continue
        is_overloaded = rate.wait_ms() > 0.0
        if not is_overloaded:
            rate.take()
        throttle.note('desk', 'p', 1, is_overloaded)
    return refused


def test_release_after_a_limit_does_not_depend_on_chance(clock):
    """Guards against a throttle that stays closed at hosts with few calls."""
    refused = {seed: refused_after_a_limit(clock, seed) for seed in range(400)}
    assert not {seed: count for seed, count in refused.items() if count}


def test_begin_and_end_of_refusals_are_reported_once_with_their_counts(clock):
    changes = []
    throttle = AdaptiveThrottle(
        lambda: clock[0],
        random.Random(1).random,
        on_change=lambda *change: changes.append(change),
    )
    run(throttle, clock, 2, 200, lambda index: True)
    assert not changes
    run(throttle, clock, 2, 200, lambda index: False)
    ((*kind, is_shed, answered, asked),) = changes
    assert (kind, is_shed) == (['balance', 'p', 1], True)
    assert answered < asked / 2
    run(throttle, clock, 10, 200, lambda index: True)
    assert [change[3] for change in changes] == [True, False]
