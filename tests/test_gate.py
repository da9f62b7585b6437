from collections import Counter
from contextlib import ExitStack
from random import Random

import gevent
import pytest

from damasklanding.clock import monotonic_ms
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import Draining
from damasklanding.errors import Overloaded
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
