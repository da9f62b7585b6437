import random

import pytest

from damasklanding.policy.serverrate import MIN_RATE_PER_S
from damasklanding.policy.serverrate import UNLIMITED
from damasklanding.policy.serverrate import ServerRate

WINDOW_MS = 4_000.0


class Clock:
    def __init__(self):
        self.now_ms = 0.0

    def __call__(self):
        return self.now_ms


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def rate(clock):
    return ServerRate(clock)


def send_all(rate, clock, duration_ms):
    """Send whenever the rate allows it; return the times."""
    sent_ms = []
    end_ms = clock.now_ms + duration_ms
    while clock.now_ms < end_ms:
        while rate.wait_ms() <= 0.0 and len(sent_ms) < 10_000:
            rate.take()
            sent_ms.append(clock.now_ms)
        clock.now_ms += 1.0
    return sent_ms


def test_nothing_is_limited_before_a_rate_is_named(rate):
    assert rate.wait_ms(1_000) == 0.0
    assert not rate.is_limited


@pytest.mark.parametrize('named_per_s', [0.7, 3.0, 10.4, 28.4, 500.0])
def test_each_window_stays_below_the_named_rate(rate, clock, named_per_s):
    rate.note(named_per_s, 0.0)
    sent_ms = send_all(rate, clock, 5 * WINDOW_MS)
    most = max(
        sum(first <= at < first + WINDOW_MS for at in sent_ms)
        for first in sent_ms
    )
    assert most <= 1.5 * named_per_s * WINDOW_MS / 1000 + 5
    assert len(sent_ms) >= 0.95 * named_per_s * 5 * WINDOW_MS / 1000


def test_rate_of_zero_leaves_probes_that_find_its_end(rate, clock):
    rate.note(0.0, 0.0)
    sent_ms = send_all(rate, clock, 10_000.0)
    assert 2 <= len(sent_ms) <= 10 * MIN_RATE_PER_S + 2


def test_pause_does_not_add_up_to_a_burst(rate, clock):
    rate.note(20.0, 0.0)
    clock.now_ms += 60_000.0
    assert len(send_all(rate, clock, 1_000.0)) <= 1.5 * 20


def test_repeated_naming_does_not_refill_the_bucket(rate, clock):
    rate.note(5.0, 0.0)
    sent = 0
    for _ in range(4_000):
        clock.now_ms += 1.0
        rate.note(random.Random(sent).choice((5.0, 4.9)), clock.now_ms)
        if rate.wait_ms() <= 0.0:
            rate.take()
            sent += 1
    assert sent <= 5.0 * 4 + 2


def test_answer_without_a_rate_ends_it_unless_it_may_be_older(rate, clock):
    clock.now_ms = 100.0
    rate.note(5.0, 50.0)
    rate.note(UNLIMITED, 90.0)
    assert rate.is_limited
    rate.note(UNLIMITED, 101.0)
    assert not rate.is_limited


def test_few_requests_are_sent_before_the_first_answer(rate, clock):
    rate.expect_first_answer()
    assert 5 <= len(send_all(rate, clock, 1_000.0)) <= 26
    rate.note(UNLIMITED, clock.now_ms)
    assert not rate.is_limited


def test_another_start_forgets_the_rate(rate, clock):
    rate.note(1.0, 0.0)
    rate.expect_first_answer()
    rate.note(UNLIMITED, 0.0)
    assert not rate.is_limited
