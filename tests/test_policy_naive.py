"""
Differential test against a naive version without a limit, which serves calls
first in, first out.
"""

from backend_model import Model
from backend_model import admission_request
import pytest

from damasklanding.policy.inflight import InFlightCalls
from damasklanding.policy.types import CallResult


class NoLimit:
    """A limiter that admits every call."""

    def __init__(self):
        self.in_flight = InFlightCalls()
        self.running = 0

    def has_capacity(self):
        return True

    def pause_ms(self):
        return 0.0

    def begin(self, profile):
        return self.in_flight.begin(profile, 0.0, False)

    def end(self, call, result, own_time_ms, downstream_ms=0.0):
        self.in_flight.end(call)


def answers(naive, seed, load_ratio, until_ms=8_000):
    """Return the results of the jobs after 4 s, in order of arrival."""
    model = Model(20, seed=seed)
    if naive:
        model.limiter = NoLimit()
    rate_per_s = load_ratio * 20 / 20.9 * 1_000
    model.load(
        rate_per_s,
        0,
        until_ms,
        lambda at_ms: admission_request(at_ms, longest_wait_ms=1_900),
    )
    model.run(until_ms + 3_000)
    warm = [job for job in model.jobs if job.arrived_ms > 4_000]
    return [(job.arrived_ms, job.refused, job.result) for job in warm]


@pytest.mark.parametrize('seed', [1, 2])
def test_same_answers_without_overload(seed):
    ours = answers(False, seed, 0.3)
    assert ours == answers(True, seed, 0.3)
    assert {result for _, _, result in ours} == {CallResult.OK}


def test_more_whole_answers_under_overload():
    ours = answers(False, 1, 1.5)
    naive = answers(True, 1, 1.5)
    good = [
        sum(result is CallResult.OK for _, _, result in version)
        for version in (ours, naive)
    ]
    assert good[0] > 1.5 * good[1]
