import random

import pytest

from damasklanding.errors import Overloaded
from damasklanding.policy.throttle import CHAIN_LENIENCY
from damasklanding.policy.throttle import DEFAULT_LENIENCY
from damasklanding.policy.throttle import HEADROOM
from damasklanding.policy.throttle import LEAST_REQUESTS
from damasklanding.policy.throttle import MEMORY_MS
from damasklanding.policy.throttle import Pressure
from damasklanding.policy.throttle import RefusalLevels


def run(pressure, clock, seconds, rate_per_s, answers, importance=1):
    """Drive requests; answers tells whether one that is let through works."""
    passed = 0
    for index in range(seconds * rate_per_s):
        clock[0] += 1_000 / rate_per_s
        try:
            pressure.check('balance', 'p', importance)
        except Overloaded as error:
            assert error.retry_after_ms > 0
            continue
        passed += 1
        pressure.note('balance', 'p', importance, not answers(index))
    return passed


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
def pressure(clock):
    return Pressure(lambda: clock[0], random.Random(1).random)


def test_nothing_is_refused_while_chains_are_answered(pressure, clock):
    assert run(pressure, clock, 10, 100, lambda index: True) == 1_000


def test_little_passes_while_all_chains_fail_and_all_soon_after(
    pressure, clock
):
    run(pressure, clock, 3, 100, lambda index: False)
    assert run(pressure, clock, 5, 100, lambda index: False) < 75
    run(pressure, clock, 4, 100, lambda index: True)
    assert run(pressure, clock, 2, 100, lambda index: True) >= 195


def test_passes_about_what_is_answered(pressure, clock):
    capacity = [0.0]
    last = [0.0]

    def answers(index):
        capacity[0] = min(5, capacity[0] + (clock[0] - last[0]) * 0.03)
        last[0] = clock[0]
        if capacity[0] < 1:
            return False
        capacity[0] -= 1
        return True

    run(pressure, clock, 5, 100, answers)
    passed = run(pressure, clock, 10, 100, answers)
    bound = HEADROOM * 300 + 10_000 / MEMORY_MS * LEAST_REQUESTS
    assert 300 <= passed <= 1.05 * bound


def test_importance_has_accounts_of_its_own(pressure, clock):
    run(pressure, clock, 3, 100, lambda index: False)
    assert pressure.refused_share('balance', 'p', 1) > 0.5
    assert run(pressure, clock, 1, 100, lambda index: True, 3) == 100


def test_levels_shed_by_share_and_forget(clock):
    levels = RefusalLevels(lambda: clock[0])
    for _ in range(20):
        levels.note(0, admitted=False)
        levels.note(1, admitted=False)
        levels.note(3, admitted=True)
    assert levels.shed_below() == 2
    clock[0] += 5_000
    assert levels.shed_below() == 0


def test_sudden_demand_with_slow_answers_is_not_refused(pressure, clock):
    for _ in range(200):  # 40 a second, none of them answered yet
        clock[0] += 25.0
        pressure.check('catalog', 'browse', 1)
    assert pressure.refused_share('catalog', 'browse', 1) == 0.0


def test_little_headroom_wastes_little_work_on_chains_that_fail(clock):
    def answered_one_in_five(index):
        return index % 5 == 0

    passed = {}
    for leniency in (DEFAULT_LENIENCY, CHAIN_LENIENCY):
        draw = random.Random(1).random
        pressure = Pressure(lambda: clock[0], draw, leniency)
        passed[leniency] = run(pressure, clock, 40, 100, answered_one_in_five)
    assert passed[CHAIN_LENIENCY] < 0.75 * passed[DEFAULT_LENIENCY]


def test_chains_at_one_node_of_many_are_refused_at_low_rates_too(clock):
    draw = random.Random(1).random
    pressure = Pressure(lambda: clock[0], draw, CHAIN_LENIENCY)
    passed = run(pressure, clock, 60, 10, lambda index: index % 10 == 0)
    assert passed < 0.5 * 600
