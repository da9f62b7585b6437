import random

import pytest

from damasklanding.policy.retry import RetryBudget
from damasklanding.policy.retryshare import NO_RETRY_BOUND
from damasklanding.policy.retryshare import RetryBound
from damasklanding.policy.retryshare import RetryShares
from damasklanding.policy.retryshare import ServiceBudget

BOUND = RetryBound(ratio=0.2, slack=213, window_ms=10_000)


def shares(bound=BOUND, nodes=1):
    clock = [0.0]
    return RetryShares(bound, lambda: nodes, lambda: clock[0]), clock


def test_node_has_its_part_of_the_slack_and_its_own_requests():
    own, _ = shares(nodes=71)
    assert own.has_room('ledger')
    for _ in range(2):
        own.note_repeat('ledger')
    assert not own.has_room('ledger')
    assert own.has_room('desk')
    for _ in range(10):
        own.note_request('ledger')
    assert own.has_room('ledger')


def test_repeats_count_until_the_window_has_passed():
    own, clock = shares(nodes=213)
    own.note_repeat('ledger')
    clock[0] = 9_900.0
    assert not own.has_room('ledger')
    clock[0] = 10_600.0
    assert own.has_room('ledger')


def test_each_node_has_one_repeat_however_many_there_are():
    own, _ = shares(nodes=6_900)
    assert own.has_room('ledger')


def test_no_slack_sets_no_bound():
    own, _ = shares(NO_RETRY_BOUND, nodes=0)
    for _ in range(1_000):
        own.note_repeat('ledger')
    assert own.has_room('ledger')


def test_refused_share_spends_nothing_of_the_budget():
    own, _ = shares(nodes=213)
    budget = RetryBudget(reserve=5)
    service = ServiceBudget(budget, own, 'ledger')
    assert service.try_spend(3)
    before = budget.tokens
    assert not service.try_spend(3)
    assert budget.tokens == before


def test_empty_budget_uses_nothing_of_the_share():
    own, _ = shares(nodes=213)
    assert not ServiceBudget(RetryBudget(reserve=0), own, 'ledger').try_spend(
        3
    )
    assert ServiceBudget(RetryBudget(reserve=5), own, 'ledger').try_spend(3)


def most_repeats(bound, nodes=200, calls_per_s=5.0, refused_ratio=0.21):
    """
    Play 30 s in which the last service of chains refuses part of its calls.

    Of the calls one in ten is a caller's request, the rest are calls of
    chains.  The refusals begin after 13 s.

    :return: pair of the most repeats beyond the bound in a window, and of
        all repeats in that window.
    """
    luck = random.Random(3)
    clock = [0.0]
    fleet = [
        (
            RetryBudget(ratio=0.1, reserve=1),
            RetryShares(bound, lambda: nodes, lambda: clock[0]),
        )
        for _ in range(nodes)
    ]
    requests, repeats = [], []
    while clock[0] < 30_000.0:
        clock[0] += 1000.0 / (nodes * calls_per_s)
        budget, own = luck.choice(fleet)
        budget.note_call()
        if luck.random() < 0.1:
            own.note_request('ledger')
            requests.append(clock[0])
        if clock[0] < 13_000.0 or luck.random() >= refused_ratio:
            continue
        if ServiceBudget(budget, own, 'ledger').try_spend(3):
            repeats.append(clock[0])
    return max(
        (
            _count(repeats, end) - 0.2 * _most_asked(requests, end) - 213,
            _count(repeats, end),
        )
        for end in range(13_000, 30_001, 250)
    )


def _count(times_ms, end_ms):
    return sum(end_ms - 10_000 < at_ms <= end_ms for at_ms in times_ms)


def _most_asked(requests, end_ms):
    """
    Return the requests by which a window is judged.

    They are those of the window, of the one half a window earlier or of the
    one before, whichever has most.
    """
    ends = (end_ms, end_ms - 5_000, end_ms - 10_000)
    return max(_count(requests, end) for end in ends)


def test_repeats_of_a_large_fleet_stay_within_the_bound():
    over, sent = most_repeats(BOUND)
    assert over <= 0
    assert sent >= 200  # the bound is used, not avoided


def test_budgets_of_single_nodes_together_exceed_it():
    over, _ = most_repeats(NO_RETRY_BOUND)
    assert over > 0


@pytest.mark.parametrize('nodes', [15, 81])
def test_smaller_fleets_stay_within_it_too(nodes):
    over, _ = most_repeats(BOUND, nodes=nodes, calls_per_s=1_000 / nodes)
    assert over <= 0
