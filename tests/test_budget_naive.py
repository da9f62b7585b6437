"""Compares a fleet's rate limiting with a single token bucket."""

import os

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from damasklanding.budget.owner import START_DELAY_MS
from tests.budget_fleet import Fleet
from tests.budget_fleet import worst_excess

EXAMPLES = int(os.environ.get('DAMASKLANDING_FUZZ_EXAMPLES', '25'))
NODES = 4
WAIT_MS = 400
BATCH = st.tuples(
    st.floats(0, 400), st.integers(1, 30), st.integers(0, NODES - 1)
)
PLANS = st.sampled_from(
    [(100.0, 100), (100.0, 20), (5.0, 5), (300.0, 60), (2.0, 4)]
)


class NaiveBucket:
    """Reference token bucket that sees every request."""

    def __init__(self, rate_per_s, burst):
        self.rate_per_s = rate_per_s
        self.burst = self.level = float(burst)
        self.at_ms = 0.0

    def admit(self, now_ms):
        gained = (now_ms - self.at_ms) * self.rate_per_s / 1000
        self.level = min(self.burst, self.level + gained)
        self.at_ms = now_ms
        if self.level < 1:
            return False
        self.level -= 1
        return True


def run(plan, batches, within_only):
    """Return the fleet's results, the reference verdicts and the uses."""
    patch = pytest.MonkeyPatch()
    fleet = Fleet(patch, NODES, *plan)
    try:
        fleet.assign(fleet.nodes[0])
        fleet.learn()
        fleet.run_for(START_DELAY_MS + 100 + 1_000 * plan[1] / plan[0])
        naive = NaiveBucket(*plan)
        naive.at_ms = fleet.time()
        jobs, verdicts = [], []
        for pause_ms, count, node in batches:
            fleet.run_for(pause_ms, step_ms=25)
            for _ in range(count):
                verdict = naive.admit(fleet.time())
                if verdict or not within_only:
                    verdicts.append(verdict)
                    jobs.append(fleet.take(fleet.nodes[node], WAIT_MS))
        fleet.run_for(1_000, step_ms=25)
        return [job.value for job in jobs], verdicts, fleet.uses
    finally:
        fleet.close()
        patch.undo()


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(PLANS, st.lists(BATCH, max_size=30))
def test_whatever_one_bucket_admits_is_admitted(plan, batches):
    values, verdicts, uses = run(plan, batches, within_only=True)
    assert len(values) == sum(verdicts)
    assert [value for value in values if value is not True] == []
    assert worst_excess(uses, *plan) <= 1e-6


def test_burst_to_its_last_token_is_admitted():
    batches = [
        (0.0, 18, 0),
        (0.0, 1, 3),
        (286.9, 14, 0),
        (0.0, 6, 0),
        (86.3, 21, 3),
        (0.0, 22, 2),
        (0.0, 20, 0),
        (0.0, 14, 1),
        (0.0, 30, 1),
        (349.6, 16, 0),
        (0.0, 5, 0),
        (157.2, 22, 0),
    ]
    values, _, _ = run((100.0, 100), batches, within_only=True)
    assert [value for value in values if value is not True] == []


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(PLANS, st.lists(BATCH, max_size=30))
def test_under_excess_about_as_many_are_admitted(plan, batches):
    values, verdicts, uses = run(plan, batches, within_only=False)
    admitted = sum(value is True for value in values)
    # A few tokens lapse unused; waiting may admit more than one bucket does.
    assert admitted >= 0.8 * sum(verdicts) - plan[0] * 0.2 - 1
    assert worst_excess(uses, *plan) <= 1e-6
