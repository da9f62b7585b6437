from itertools import pairwise

import pytest

from damasklanding.errors import Unavailable
from damasklanding.policy.coldturns import ColdTurns
from damasklanding.policy.dependencies import MAX_PROBE_INTERVAL_MS
from damasklanding.policy.dependencies import MIN_FAILURES_IN_ROW
from damasklanding.policy.dependencies import MIN_FIRST_FAILURES_IN_ROW
from damasklanding.policy.dependencies import MIN_NEEDS_IN_ROW
from damasklanding.policy.dependencies import DependencyCheck


class Fixture:
    """A check with a clock and a set of services that have servers."""

    def __init__(self):
        self.now_ms = 0.0
        self.interval_ms = 0.0
        self.available = set()
        self.empty = ()
        self.changes = []
        self.watched = []
        self.check = DependencyCheck(
            lambda: self.now_ms,
            self.available.__contains__,
            self.watched.append,
            lambda *change: self.changes.append(change),
            ColdTurns(
                lambda: self.now_ms, lambda: 0.0, lambda name: self.interval_ms
            ),
            lambda: self.empty,
        )

    def admits(self, profile='view'):
        try:
            self.check.check('desk', profile)
        except Unavailable:
            return False
        return True

    def fail(self, count=1, profile='view'):
        for _ in range(count):
            self.check.note('desk', profile, False, {'ledger'}, self.now_ms)

    def succeed(self, profile='view', admitted_ms=None, leaving=()):
        if admitted_ms is None:
            admitted_ms = self.now_ms
        self.check.note('desk', profile, True, (), admitted_ms, leaving)


@pytest.fixture
def fixture():
    return Fixture()


def test_requests_are_refused_once_enough_failed_in_a_row(fixture):
    fixture.fail(MIN_FAILURES_IN_ROW - 1)
    assert fixture.admits()
    fixture.fail()
    assert not fixture.admits()
    assert fixture.admits('register')
    assert fixture.changes == [('desk', 'view', frozenset({'ledger'}), True)]


def test_refusal_names_the_service_and_when_to_return(fixture):
    fixture.fail(MIN_FAILURES_IN_ROW)
    with pytest.raises(Unavailable, match='need ledger') as raised:
        fixture.check.check('desk', 'view')
    assert raised.value.retry_after_ms > 0


def test_requests_are_admitted_as_soon_as_the_service_has_a_server(fixture):
    fixture.fail(MIN_FAILURES_IN_ROW)
    fixture.available.add('ledger')
    assert fixture.admits()
    assert fixture.changes[-1][-1] is False
    fixture.available.clear()
    assert fixture.admits()


def test_kind_of_which_some_requests_need_no_missing_service_is_admitted(
    fixture,
):
    for _ in range(10):
        fixture.fail(MIN_FAILURES_IN_ROW - 1)
        fixture.succeed()
        assert fixture.admits()


def test_missing_service_is_watched_from_its_first_failure_on(fixture):
    fixture.fail(3)
    assert fixture.watched == ['ledger']


def test_other_failures_refuse_nothing(fixture):
    for _ in range(3 * MIN_FAILURES_IN_ROW):
        fixture.check.note('desk', 'view', False, (), 0.0)
    assert fixture.admits()


def test_probes_become_rare_but_never_end(fixture):
    fixture.fail(MIN_FAILURES_IN_ROW)
    admitted_ms = []
    while fixture.now_ms < 10 * MAX_PROBE_INTERVAL_MS:
        fixture.now_ms += 100.0
        if fixture.admits():
            admitted_ms.append(fixture.now_ms)
            fixture.fail()
    gaps_ms = [b - a for a, b in pairwise(admitted_ms)]
    assert gaps_ms == sorted(gaps_ms)
    assert max(gaps_ms) <= MAX_PROBE_INTERVAL_MS + 100.0


def test_probe_that_is_answered_ends_the_refusals(fixture):
    fixture.fail(MIN_FAILURES_IN_ROW)
    fixture.now_ms = MAX_PROBE_INTERVAL_MS
    assert fixture.admits()
    fixture.succeed()
    assert all(fixture.admits() for _ in range(10))


def test_refusals_do_not_flap_while_the_view_still_has_a_server(fixture):
    fixture.available.add('ledger')
    for _ in range(5):
        fixture.fail(MIN_FAILURES_IN_ROW)
        assert fixture.admits()
    assert not fixture.changes
    fixture.available.clear()
    assert not fixture.admits()
    fixture.available.add('ledger')
    assert fixture.admits()
    assert [change[-1] for change in fixture.changes] == [True, False]


def test_request_from_before_the_loss_of_a_service_ends_no_refusals(fixture):
    before_ms = fixture.now_ms
    fixture.now_ms += 300.0
    fixture.fail(MIN_FAILURES_IN_ROW - 1)
    fixture.succeed(admitted_ms=before_ms)
    fixture.fail()
    assert not fixture.admits()
    fixture.succeed(admitted_ms=before_ms)
    assert not fixture.admits()
    assert [change[-1] for change in fixture.changes] == [True]


def test_restarted_entry_runs_few_chains_that_need_an_emptied_service(
    fixture,
):
    fixture.empty = ('ledger',)
    run = 0
    ends_ms = []
    while fixture.now_ms < 2_000.0:
        fixture.now_ms += 25.0
        if fixture.admits():
            run += 1
            ends_ms.append(fixture.now_ms + 500.0)
        while ends_ms and ends_ms[0] <= fixture.now_ms:
            ends_ms.pop(0)
            fixture.fail()
    assert run <= MIN_FAILURES_IN_ROW


def test_kind_that_needs_no_emptied_service_is_admitted_after_its_first_answer(
    fixture,
):
    fixture.empty = ('ledger',)
    assert fixture.admits('pull')
    assert not fixture.admits('pull')
    fixture.now_ms += 250.0
    assert fixture.admits('pull')
    fixture.succeed('pull')
    assert all(fixture.admits('pull') for _ in range(100))


def test_kind_that_was_answered_before_a_service_was_emptied_is_not_held_up(
    fixture,
):
    fixture.succeed()
    fixture.empty = ('ledger',)
    fixture.fail(MIN_FIRST_FAILURES_IN_ROW)
    assert all(fixture.admits() for _ in range(100))


def test_no_request_has_to_fail_after_the_last_server_was_seen_to_leave(
    fixture,
):
    fixture.available.add('ledger')
    for _ in range(MIN_NEEDS_IN_ROW):
        assert fixture.admits()
        fixture.succeed(leaving={'ledger'})
    assert fixture.watched == ['ledger']
    assert fixture.admits()
    fixture.available.clear()
    assert not fixture.admits()
    assert fixture.admits('register')
    assert fixture.changes == [('desk', 'view', frozenset({'ledger'}), True)]


def test_kind_of_which_only_some_requests_need_a_service_is_admitted(fixture):
    fixture.available.add('ledger')
    for _ in range(3 * MIN_NEEDS_IN_ROW):
        fixture.succeed(leaving={'ledger'})
        fixture.succeed()
        assert fixture.admits()
    fixture.available.clear()
    assert fixture.admits()


def test_service_whose_servers_are_not_known_yet_refuses_nothing(fixture):
    for _ in range(MIN_NEEDS_IN_ROW):
        fixture.succeed(leaving={'ledger'})
    assert fixture.admits()


def test_kind_is_admitted_again_when_its_needed_service_returns(fixture):
    fixture.available.add('ledger')
    for _ in range(MIN_NEEDS_IN_ROW):
        fixture.succeed(leaving={'ledger'})
    assert fixture.admits()
    fixture.available.clear()
    assert not fixture.admits()
    fixture.available.add('ledger')
    assert fixture.admits()
    fixture.succeed()
    fixture.available.clear()
    assert fixture.admits()
