from collections import Counter
import random

from backend_model import admission_request
import msgspec
import pytest

from damasklanding.errors import Overloaded
from damasklanding.errors import Unavailable
from damasklanding.fleet.resources import Backend
from damasklanding.policy.routing import Router
from damasklanding.policy.types import CallResult
from damasklanding.policy.types import LoadReport


def backend(name, data_centre='dc-a', **fields):
    return Backend(
        name=name,
        instance='i',
        data_centre=data_centre,
        peer_address='127.0.0.1:1',
        service='s',
        **fields,
    )


FLEET = [
    backend('own'),
    backend('near-1'),
    backend('near-2'),
    backend('far-1', 'dc-b'),
    backend('far-2', 'dc-b'),
]


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
def router(clock):
    return Router('own', 'dc-a', lambda: clock[0], random.Random(1))


def report(router, name, running=0, limit=10, **fields):
    load = LoadReport('s', limit, running, service_time_ms=20.0, **fields)
    router.update_load(name, load)


def chosen(router, count, candidates=FLEET, **fields):
    work = admission_request(0, **fields)
    return Counter(
        router.choose(candidates, work, ()).name for _ in range(count)
    )


def test_own_then_near_then_far(router):
    for item in FLEET:
        report(router, item.name)
    assert set(chosen(router, 20)) == {'own'}
    report(router, 'own', running=10)
    assert set(chosen(router, 20)) <= {'near-1', 'near-2'}
    report(router, 'near-1', running=10)
    report(router, 'near-2', running=10)
    assert set(chosen(router, 20)) <= {'far-1', 'far-2'}


@pytest.mark.parametrize('fields', [{'state': 'draining'}, {'held_out': True}])
def test_leaving_backend_servers_get_nothing(router, fields):
    with pytest.raises(Unavailable):
        chosen(router, 1, [backend('near-1', **fields)])


def test_draining_report_counts_before_the_configuration(router):
    report(router, 'near-1', draining=True)
    assert set(chosen(router, 20, FLEET[1:3])) == {'near-2'}


def test_server_that_is_kept_again_is_used_despite_an_earlier_report(
    router, clock
):
    leaving = backend('n1')
    router.choose([leaving], admission_request(0), ())
    report(router, 'n1', draining=True)
    with pytest.raises(Unavailable):
        router.choose([leaving], admission_request(0), ())
    clock[0] += 100
    kept = backend('n1', departure='kept')
    assert router.choose([kept], admission_request(0), ()) is kept
    clock[0] += 100
    report(router, 'n1', draining=True)
    with pytest.raises(Unavailable):
        router.choose([kept], admission_request(0), ())


def test_excluded_are_not_tried_again(router):
    with pytest.raises(Unavailable):
        router.choose(FLEET[:1], admission_request(0), {'own'})


def test_outstanding_calls_count_before_any_report(router):
    counts = Counter()
    for _ in range(40):
        name = router.choose(FLEET[3:], admission_request(0), ()).name
        router.call_started(name)
        counts[name] += 1
    assert min(counts.values()) >= 15


def test_no_herd_to_a_cold_one(router):
    report(router, 'far-1', running=9, limit=10)
    report(router, 'far-2', limit=1, cold=True)
    counts = Counter()
    for _ in range(20):
        name = router.choose(FLEET[3:], admission_request(0), ()).name
        router.call_started(name)
        counts[name] += 1
    assert counts['far-2'] <= 3


def test_failing_one_is_left_alone_then_explored(router, clock):
    for _ in range(10):
        router.call_started('far-1')
        router.call_finished('far-1', CallResult.FAILED, 5.0)
    assert set(chosen(router, 50, FLEET[3:])) == {'far-2'}
    clock[0] += 60_000
    assert chosen(router, 50, FLEET[3:])['far-1'] > 0


def test_slow_one_gets_less(router):
    for _ in range(200):
        for name, latency_ms in (('far-1', 400.0), ('far-2', 20.0)):
            router.call_started(name)
            router.call_finished(name, CallResult.OK, latency_ms)
    assert chosen(router, 100, FLEET[3:])['far-1'] < 20


def test_low_importance_is_refused_where_all_shed_it(router):
    for item in FLEET:
        report(router, item.name, running=10, shed_below=2)
    refused = 0
    for _ in range(100):
        try:
            router.choose(FLEET, admission_request(0, importance=1), ())
        except Overloaded as error:
            assert error.retry_after_ms > 0
            refused += 1
    assert 50 <= refused < 100
    assert sum(chosen(router, 20, importance=2).values()) == 20


@pytest.mark.parametrize(
    'near, far, expected_near',
    [(10, 10, 10), (40, 40, 12), (4, 40, 4), (40, 4, 20), (0, 60, 0)],
)
def test_subset_bounds_the_links_and_prefers_no_one(near, far, expected_near):
    backends = [
        backend(f'near-{n}', data_centre='dc-a') for n in range(near)
    ] + [backend(f'far-{n}', data_centre='dc-b') for n in range(far)]
    counts = Counter()
    for number in range(200):
        name = f'near-{number}'
        router = Router(name, 'dc-a', lambda: 0.0, random.Random(1))
        chosen = router.subset(backends)
        names = [item.name for item in chosen]
        assert len(set(names)) == len(names) == min(24, near + far)
        own = [item.name for item in backends if item.name == name]
        assert set(own) <= set(names)
        assert len([n for n in names if n[:4] == 'near']) == expected_near
        counts.update(names)
    usual = sum(counts.values()) / max(1, near + far)
    assert min(counts[item.name] for item in backends) > usual / 4


def test_subset_moves_few_choices_when_a_server_goes():
    backends = [backend(f'far-{n}', data_centre='dc-b') for n in range(60)]
    router = Router('node', 'dc-a', lambda: 0.0, random.Random(1))
    before = {item.name for item in router.subset(backends)}
    gone = backends.pop()
    after = {item.name for item in router.subset(backends)}
    assert len(before - after) == (gone.name in before)


@pytest.mark.parametrize(
    'result', [CallResult.FAILED, CallResult.REJECTED, CallResult.TIMEOUT]
)
def test_backend_server_that_fails_half_of_its_calls_is_left_to_probes(
    router, clock, result
):
    for item in FLEET:
        report(router, item.name)
    for number in range(60):
        clock[0] += 5.0
        router.call_finished(
            'own', result if number % 2 else CallResult.OK, 20.0
        )
        for name in ('near-1', 'near-2'):
            router.call_finished(name, CallResult.OK, 20.0)
    shares = chosen(router, 200)
    assert shares['own'] < 20
    # While it gets no calls, its failures decay, so that it is chosen again.
    clock[0] += 30_000.0
    for item in FLEET:
        report(router, item.name)
    assert chosen(router, 50)['own'] > 40


def test_backend_servers_that_all_fail_alike_share_the_calls(router, clock):
    for item in FLEET:
        report(router, item.name)
    for number in range(200):
        clock[0] += 5.0
        for item in FLEET:
            result = CallResult.OK if number % 5 == 0 else CallResult.FAILED
            router.call_finished(item.name, result, 20.0)
    clock[0] += 31_000.0
    for item in FLEET:
        report(router, item.name)
        router.call_finished(item.name, CallResult.FAILED, 20.0)
    assert chosen(router, 50)['own'] > 25


def test_server_that_started_again_is_used_however_long_it_was_gone(
    router, clock
):
    for item in FLEET[1:3]:
        report(router, item.name)
    while clock[0] < 20_000.0:
        name = router.choose(FLEET[1:3], admission_request(0), ()).name
        is_lost = name == 'near-1'
        result = CallResult.RESET if is_lost else CallResult.OK
        router.call_started(name)
        router.call_finished(name, result, 20.0)
        clock[0] += 10.0
    restarted = msgspec.structs.replace(FLEET[1], instance='i2')
    assert chosen(router, 100, [restarted, FLEET[2]])['near-1'] > 20


def test_server_that_said_it_leaves_gets_nothing_until_its_next_start(
    router, clock
):
    leaving = backend('near-1', start='i-1@5')
    other = backend('near-2', start='i-2@5')
    report(router, 'near-1', leaving_start='i-1@5')
    clock[0] += 60_000.0
    report(router, 'near-1')
    report(router, 'near-2', running=5)
    restarted_node = msgspec.structs.replace(leaving, instance='another')
    assert set(chosen(router, 50, [restarted_node, other])) == {'near-2'}
    assert not router.has_usable([restarted_node])
    next_start = msgspec.structs.replace(leaving, start='i-1@6')
    assert 'near-1' in chosen(router, 50, [next_start, other])


def test_server_with_a_named_rate_is_used_only_while_it_admits_calls(router):
    limited, other = backend('near-1'), backend('near-2')
    report(router, 'near-2', running=5)
    report(router, 'near-1', rate_per_s=10.0, wait_ms=40.0)
    assert set(chosen(router, 50, [limited, other])) == {'near-2'}
    report(router, 'near-1', rate_per_s=10.0)
    assert 'near-1' in chosen(router, 50, [limited, other])
    router.call_started('near-1')
    picked = chosen(router, 50, [limited, other])
    assert picked['near-1'] <= 5


def cold_router(clock, nodes):
    return Router(
        'own',
        'dc-a',
        lambda: clock[0],
        random.Random(1),
        lambda _service: 5.0,
        lambda: nodes,
    )


def test_cold_server_is_used_while_the_warm_ones_are_full(clock):
    router = cold_router(clock, 1_000)
    report(router, 'far-1', running=10, limit=10)
    report(router, 'far-2', limit=4, cold=True)
    assert set(chosen(router, 20, FLEET[3:])) == {'far-2'}
    report(router, 'far-1', running=2, limit=10)
    assert set(chosen(router, 20, FLEET[3:])) == {'far-1'}


def test_cold_servers_share_the_calls_where_none_is_warm(clock):
    router = cold_router(clock, 1_000)
    for name in ('far-1', 'far-2'):
        report(router, name, limit=4, cold=True)
    assert set(chosen(router, 20, FLEET[3:])) == {'far-1', 'far-2'}


def test_cold_server_gets_one_call_of_a_node_in_its_interval(clock):
    router = cold_router(clock, 10)  # one call in 2 s
    calls = Counter()
    while clock[0] < 20_000:
        clock[0] += 10.0
        report(router, 'far-1', limit=10)
        report(router, 'far-2', limit=4, cold=True)
        name = router.choose(FLEET[3:], admission_request(0), ()).name
        router.call_started(name)
        router.call_finished(name, CallResult.OK, 20.0)
        calls[name] += 1
    assert 8 <= calls['far-2'] <= 10


def test_server_of_unknown_time_and_limit_draws_no_herd(router):
    for _ in range(20):
        router.call_started('far-1')
        router.call_finished('far-1', CallResult.OK, 200.0)
    report(router, 'far-1', running=2)
    counts = chosen(router, 200, FLEET[3:])
    assert counts['far-2'] >= 20  # it is explored
    for _ in range(5):
        router.call_started('far-2')
    assert chosen(router, 200, FLEET[3:])['far-1'] >= 150
