import pytest

from damasklanding.errors import Unavailable
from damasklanding.errors import UpstreamFailed
from damasklanding.node.served_calls import LATE_FRAME_GRACE_MS
from damasklanding.node.served_calls import MAX_CALLS
from damasklanding.node.served_calls import MAX_KEPT_REPLY_BYTES
from damasklanding.node.served_calls import ServedCalls


class Clock:
    def __init__(self):
        self.now_ms = 0.0

    def __call__(self):
        return self.now_ms


def test_call_that_never_came_is_fenced_off():
    calls = ServedCalls(Clock())
    with pytest.raises(Unavailable) as raised:
        calls.resume('k', 100)
    assert raised.value.outcome == 'not-run'
    with pytest.raises(Unavailable) as raised:
        calls.begin('k', 100, None)
    assert raised.value.outcome == 'not-run'


def test_fence_outlasts_the_deadline():
    clock = Clock()
    calls = ServedCalls(clock)
    with pytest.raises(Unavailable):
        calls.resume('k', 100)
    clock.now_ms = 100 + LATE_FRAME_GRACE_MS - 1
    with pytest.raises(Unavailable):
        calls.begin('k', 100, None)


def test_reply_is_kept_until_it_expires():
    clock = Clock()
    calls = ServedCalls(clock)
    call = calls.begin('k', 100, object())
    calls.end(call, 'reply', 5)
    assert calls.resume('k', 100).reply == 'reply'
    clock.now_ms = 101 + LATE_FRAME_GRACE_MS
    calls.begin('other', 10_000, object())
    assert len(calls) == 1


def test_forgotten_call_is_unknown_and_never_called_not_run():
    calls = ServedCalls(Clock())
    for index in range(MAX_CALLS + 1):
        calls.begin(index, 100, object())
    with pytest.raises(UpstreamFailed):
        calls.resume(0, 100)
    assert calls.resume(5, 100)


def test_kept_replies_are_bounded():
    calls = ServedCalls(Clock())
    for index in range(3):
        call = calls.begin(index, 100, object())
        calls.end(call, 'reply', MAX_KEPT_REPLY_BYTES // 2)
    kept = [calls.resume(index, 100).reply for index in range(3)]
    assert kept == ['reply', 'reply', None]
