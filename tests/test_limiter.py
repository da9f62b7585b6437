from backend_model import Model
from backend_model import admission_request
import pytest

from damasklanding.policy.limiter import AdaptiveLimiter
from damasklanding.policy.limiter import Phase
from damasklanding.policy.types import CallResult


def saturated(slots, seed, until_ms, load_ratio=1.3, **fields):
    """Return a model with a load relative to its slots."""
    model = Model(slots=slots, seed=seed, **fields)
    # The mean service time of the model is 20.9 ms.
    rate_per_s = load_ratio * slots / 20.9 * 1_000
    model.load(rate_per_s, 0, until_ms, admission_request)
    return model


def goodput(model, from_ms, until_ms):
    """Return the rate of successful calls relative to the slots."""
    done = sum(
        job.result is CallResult.OK and from_ms <= job.ended_ms < until_ms
        for job in model.jobs
    )
    return done / (until_ms - from_ms) * 20.9 / model.slots


@pytest.mark.parametrize('sheds', [False, True])
@pytest.mark.parametrize(('slots', 'seed'), [(4, 1), (20, 1), (70, 1)])
def test_finds_about_the_slots(slots, seed, sheds):
    model = saturated(slots, seed, 6_000, sheds=sheds)
    assert model.limiter.limit == 1
    model.run(5_000)
    assert 0.75 * slots <= model.limiter.limit <= 1.4 * slots + 1
    model.run(6_000)
    assert goodput(model, 4_000, 6_000) > 0.85


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_cold_start_is_paced_below_what_it_bears(seed):
    model = saturated(20, seed, 8_000)
    model.restart_cold(4_000)
    model.limiter.announce(True)
    model.run(8_000)
    above = sum(job.over_capacity for job in model.jobs)
    assert above <= 0.02 * len(model.jobs)
    assert goodput(model, 6_000, 8_000) > 0.8


def test_slower_backend_server_keeps_its_concurrency():
    model = saturated(20, 1, 10_000, load_ratio=0.9)
    model.run(5_000)
    model.slowdown_factor = 3.0
    model.run(10_000)
    assert goodput(model, 6_000, 10_000) > 0.85 / 3


def test_unannounced_fall_holds_new_calls():
    model = saturated(20, 1, 12_000, load_ratio=0.9)
    model.run(6_000)
    assert model.limiter.phase is Phase.WARM
    model.restart_cold(3_000)
    model.run(7_000)
    assert model.limiter.cold
    started = [t for t, _, _ in model.starts if t > 6_200]
    assert len(started) <= 3
    model.run(12_000)
    assert goodput(model, 11_000, 12_000) > 0.8


def test_single_probes_while_all_is_shed():
    now = [0.0]
    limiter = AdaptiveLimiter(lambda: now[0])
    starts = 0
    for now[0] in range(0, 10_000, 10):
        if limiter.has_capacity():
            limiter.end(limiter.begin('p'), CallResult.SHED, 1.0)
            starts += 1
    assert limiter.limit <= 2
    assert starts <= 200
    assert limiter.running == 0


def test_repeated_announcement_restarts_nothing():
    model = saturated(20, 1, 8_000)
    model.limiter.announce(True)
    model.run(4_000)
    limit = model.limiter.limit
    model.limiter.announce(True)
    assert model.limiter.limit == limit
    model.limiter.announce(False)
    model.limiter.announce(True)
    assert model.limiter.limit == 1


def test_failures_of_onward_calls_are_not_held_against_it():
    model = saturated(20, 1, 6_000, load_ratio=0.5)
    model.run(6_000)
    limit = model.limiter.limit
    for _ in range(100):
        call = model.limiter.begin('p')
        call.exempt = True
        model.limiter.end(call, CallResult.FAILED, 20.0, 10.0)
    assert model.limiter.limit == limit
    for _ in range(5):
        call = model.limiter.begin('p')
        model.limiter.end(call, CallResult.FAILED, 20.0)
    assert model.limiter.limit == 1
