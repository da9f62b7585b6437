import bisect

import pytest

from damasklanding.policy.announcedlimiter import AnnouncedLimiter
from damasklanding.policy.types import CallResult


class Clock:
    now_ms = 0.0

    def __call__(self):
        return self.now_ms


def started_within(limiter, clock, length_ms, step_ms=1.0):
    """Start calls whenever there is capacity; return their start times."""
    times_ms = []
    end_ms = clock.now_ms + length_ms
    while clock.now_ms < end_ms:
        while limiter.has_capacity():
            call = limiter.begin('p')
            limiter.end(call, CallResult.OK, 1.0)
            times_ms.append(clock.now_ms)
        clock.now_ms += step_ms
    return times_ms


def answered_per_s(limiter, slots, clock):
    """Return the rate of a saturated server that is slow when nearly full."""
    ends = []
    answered = 0
    while clock.now_ms < 60_000.0:
        while limiter.has_capacity():
            service_ms = 30.0 if len(ends) < 0.95 * slots else 39.0
            end = clock.now_ms + service_ms, limiter.begin('p')
            bisect.insort(ends, end, key=lambda item: item[0])
        clock.now_ms, call = ends.pop(0)
        limiter.end(call, CallResult.OK, 30.0)
        answered += 1
    return answered / 60.0


@pytest.mark.parametrize('slots', [20, 23, 46, 150])
def test_overload_does_not_slow_a_server_by_filling_it(slots):
    clock = Clock()
    limiter = AnnouncedLimiter(clock, lambda: 12.0)
    limiter.announce(False, slots)
    all_slots_per_s = slots / 0.039
    assert answered_per_s(limiter, slots, clock) > 1.1 * all_slots_per_s


def test_unannounced_counts_as_cold():
    assert AnnouncedLimiter(Clock(), lambda: 12.0).cold


def test_slots_bound_the_calls_in_progress():
    limiter = AnnouncedLimiter(Clock(), lambda: 12.0)
    limiter.announce(False, 3)
    calls = []
    while limiter.has_capacity():
        calls.append(limiter.begin('p'))
    assert len(calls) == 3
    limiter.end(calls[0], CallResult.OK, 1.0)
    assert limiter.has_capacity()


def test_cold_one_gets_no_more_a_second_than_it_bears():
    clock = Clock()
    limiter = AnnouncedLimiter(clock, lambda: 12.0)
    limiter.announce(True, 70, 10_000)
    times_ms = started_within(limiter, clock, 5_000.0)
    for start_ms in times_ms:
        within = [t for t in times_ms if start_ms <= t < start_ms + 1_000]
        assert len(within) <= 12 * 1.5
    assert len(times_ms) >= 0.9 * 12 * 5


def test_cold_start_ends_when_it_was_said_to():
    clock = Clock()
    limiter = AnnouncedLimiter(clock, lambda: 12.0)
    limiter.announce(True, 70, 3_000)
    clock.now_ms = 2_999.0
    assert limiter.cold
    clock.now_ms = 3_001.0
    assert not limiter.cold
    assert limiter.pause_ms() == 0.0


def test_warm_one_that_falls_cold_again_is_paced():
    clock = Clock()
    limiter = AnnouncedLimiter(clock, lambda: 12.0)
    limiter.announce(False, 70)
    clock.now_ms = 60_000.0
    limiter.announce(True, 70, 3_000)
    assert len(started_within(limiter, clock, 1_000.0)) <= 12 * 1.5


def test_pause_says_when_the_next_call_may_start():
    clock = Clock()
    limiter = AnnouncedLimiter(clock, lambda: 10.0)
    limiter.announce(True, 70, 10_000)
    while limiter.has_capacity():
        limiter.begin('p')
    clock.now_ms += limiter.pause_ms() + 0.01
    assert limiter.has_capacity()
