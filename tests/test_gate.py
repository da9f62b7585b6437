from collections import Counter
from contextlib import ExitStack
from random import Random

import gevent
import pytest

from damasklanding.clock import monotonic_ms
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import Draining
from damasklanding.errors import Overloaded
from damasklanding.errors import ServerLimited
from damasklanding.policy.announcedlimiter import AnnouncedLimiter
from damasklanding.policy.gate import build_admission_gate
from damasklanding.policy.types import AdmissionRequest
from damasklanding.policy.types import CallResult


def make_request(organisation='a', importance=1, wait_ms=200, left_ms=1_000):
    return AdmissionRequest(
        organisation, importance, 1, monotonic_ms() + left_ms, wait_ms
    )


def hold(gate, release, ended, **fields):
    with gate.admit(make_request(**fields)) as slot:
        release.wait()
        slot.finish(CallResult.OK)
    ended.append(fields)


def test_slot_is_freed_and_passed_on():
    gate = build_admission_gate('s')
    release, ended = gevent.event.Event(), []
    greenlets = [
        gevent.spawn(hold, gate, release, ended, organisation=name)
        for name in 'abc'
    ]
    gevent.sleep(0.01)
    assert gate.load().running == 1
    assert gate.load().queued == 2
    release.set()
    gevent.joinall(greenlets, raise_error=True)
    assert len(ended) == 3
    assert (gate.load().running, gate.load().queued) == (0, 0)


@pytest.mark.parametrize(
    ('fields', 'error'),
    [
        ({'wait_ms': 20}, Overloaded),
        ({'wait_ms': 0}, Overloaded),
        ({'left_ms': 20}, DeadlineExceeded),
        ({'left_ms': -1}, DeadlineExceeded),
    ],
)
def test_refusals_leave_nothing_behind(fields, error):
    gate = build_admission_gate('s')
    with ExitStack() as stack:
        stack.enter_context(gate.admit(make_request()))
        with (
            pytest.raises(error) as caught,
            gate.admit(make_request(**fields)),
        ):
            pass
        assert caught.value.retry_after_ms > 0
        assert gate.load().queued == 0
    assert gate.load().running == 0


def test_draining_refuses_until_resumed():
    gate = build_admission_gate('s')
    gate.drain()
    with pytest.raises(Draining), gate.admit(make_request()):
        pass
    assert gate.load().draining
    gate.resume()
    with gate.admit(make_request()):
        assert gate.load().running == 1


def test_killed_waiter_leaves_the_queue():
    gate = build_admission_gate('s')
    release, ended = gevent.event.Event(), []
    first = gevent.spawn(hold, gate, release, ended)
    second = gevent.spawn(hold, gate, release, ended)
    gevent.sleep(0)
    assert gate.load().queued == 1
    second.kill()
    assert gate.load().queued == 0
    first.kill()
    assert gate.load().running == 0


def test_waiter_killed_after_its_slot_came_frees_it():
    gate = build_admission_gate('s')
    release, ended = gevent.event.Event(), []
    first = gevent.spawn(hold, gate, release, ended)
    second = gevent.spawn(hold, gate, release, ended)
    gevent.sleep(0)
    first.kill()
    assert gate.load().running == 1
    second.kill()
    assert gate.load().running == 0


@pytest.mark.parametrize('seed', [1, 2])
def test_every_call_ends_once_whatever_is_killed(seed):
    gate = build_admission_gate('s')
    random = Random(seed)
    ends = Counter()
    results = list(CallResult)

    def call(name):
        fields = {
            'organisation': random.choice('abc'),
            'importance': random.randrange(4),
            'wait_ms': random.choice((0, 5, 50)),
            'left_ms': random.choice((2, 20, 200)),
        }
        try:
            with gate.admit(make_request(**fields)) as slot:
                assert gate.limiter.running >= 1
                gevent.sleep(random.uniform(0, 0.003))
                if random.random() < 0.8:
                    slot.finish(random.choice(results))
        except (Overloaded, DeadlineExceeded) as error:
            assert error.retry_after_ms > 0
        finally:
            ends[name] += 1

    greenlets = []
    for index in range(300):
        greenlets.append(gevent.spawn(call, index))
        if random.random() < 0.2:
            random.choice(greenlets).kill(block=False)
        if random.random() < 0.3:
            gevent.sleep(0.001)
    gevent.joinall(greenlets, timeout=5)
    assert all(greenlet.ready() for greenlet in greenlets)
    assert all(greenlet.successful() for greenlet in greenlets)
    assert set(ends.values()) == {1}
    load = gate.load()
    assert (load.running, load.queued) == (0, 0)


def announced_gate(slots):
    gate = build_admission_gate(
        's', build_limiter=lambda now_ms: AnnouncedLimiter(now_ms, lambda: 0.0)
    )
    gate.announce(False, slots)
    return gate


def limited_gate(rate_per_s):
    """Return a gate with free slots whose server names a rate."""
    gate = announced_gate(100)
    gate.note_rate(rate_per_s, monotonic_ms())
    return gate


def serve(gate, served, **fields):
    with gate.admit(make_request(**fields)) as slot:
        slot.finish(CallResult.OK)
    served.append(fields)


def test_named_rate_bounds_calls_although_slots_are_free():
    gate = limited_gate(20.0)
    served = []
    greenlets = [
        gevent.spawn(serve, gate, served, wait_ms=500) for _ in range(30)
    ]
    gevent.joinall(greenlets, timeout=0.5)
    assert 5 <= len(served) <= 20 * 0.5 + 6
    assert gate.load().rate_per_s == 20.0


def test_wait_that_a_named_rate_makes_too_long_is_refused_at_once():
    gate = limited_gate(1.0)
    served = []
    serve(gate, served)
    began_ms = monotonic_ms()
    with pytest.raises(ServerLimited) as caught:
        serve(gate, served, wait_ms=400)
    assert monotonic_ms() - began_ms < 100
    assert caught.value.retry_after_ms > 400


def test_important_calls_get_what_a_named_rate_leaves():
    gate = limited_gate(20.0)
    served = []
    greenlets = [
        gevent.spawn(serve, gate, served, importance=importance, wait_ms=900)
        for _ in range(12)
        for importance in (0, 2)
    ]
    gevent.joinall(greenlets, timeout=0.6)
    by_importance = Counter(fields['importance'] for fields in served[6:])
    assert by_importance[2] >= 0.8 * by_importance.total()


def test_end_of_a_named_rate_admits_what_waits():
    gate = limited_gate(1.0)
    served = []
    serve(gate, served)
    waiting = gevent.spawn(serve, gate, served, wait_ms=1_000)
    gevent.sleep(0.01)
    gate.note_rate(float('inf'), monotonic_ms() + 1)
    waiting.join(0.1)
    assert len(served) == 2


def end_calls(gate, result, count):
    for _ in range(count):
        with gate.admit(make_request()) as slot:
            slot.finish(result, 5.0)


@pytest.mark.parametrize('result', [CallResult.SHED, CallResult.FAILED])
def test_idle_server_that_turns_calls_away_is_reported(result):
    gate = announced_gate(80)
    end_calls(gate, result, 8)
    assert gate.load().success_ratio < 0.5
    gate.forget_failures()
    assert gate.load().success_ratio == 1.0


def test_full_server_that_refuses_is_not_reported_as_unwell():
    gate = announced_gate(10)
    with ExitStack() as stack:
        for _ in range(7):
            stack.enter_context(gate.admit(make_request()))
        end_calls(gate, CallResult.SHED, 8)
        assert gate.load().success_ratio == 1.0


def test_cancelled_calls_say_nothing_of_the_server():
    gate = announced_gate(80)
    end_calls(gate, CallResult.CANCELLED, 8)
    assert gate.load().success_ratio == 1.0
