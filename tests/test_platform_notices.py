from contextlib import contextmanager
import time

import gevent
from platform_fleet import eventually
from platform_fleet import platform_fleet
import pytest

ONE_DESK = ('desk', 'ledger', 'ledger', 'ledger')
TWO_DESKS = ('desk', 'desk', 'ledger', 'ledger')
WINDOW_S = 4.0
#: Time after the first notice from which a named limit binds.
STABLE_S = 3.0
DRAIN_S = 2.0
LIMIT_PER_S = 10.4


@contextmanager
def announced_fleet(folder, services):
    with platform_fleet(folder, services) as made:
        announcing = gevent.spawn(made.announce_often, 1.0)
        for backend in made.backends:
            record_arrivals(backend)
        yield made
        announcing.kill()


@pytest.fixture
def one_desk(tmp_path):
    with announced_fleet(tmp_path, ONE_DESK) as made:
        yield made


@pytest.fixture
def two_desks(tmp_path):
    with announced_fleet(tmp_path, TWO_DESKS) as made:
        yield made


def record_arrivals(backend, work_s=0.0):
    """Note the time and the request id of each request that arrives."""
    backend.arrivals = []

    def work(head):
        request_id = head['damasklanding-attempt-id']
        backend.arrivals.append((time.monotonic(), request_id))
        gevent.sleep(work_s)

    backend.work = work


def arrivals_since(backend, from_s):
    return [at_s for at_s, _ in backend.arrivals if at_s >= from_s]


def restart_node(fleet, number):
    ip = fleet.nodes[number]
    fleet.processes[ip].kill()
    fleet.processes[ip].wait()
    fleet.run(ip)


def ask(fleet, numbers, rate_per_s, duration_s):
    """Ask at nodes in turn at a rate; return the statuses."""
    statuses = []

    batch = time.monotonic_ns()

    def request(number, index):
        request_id = f'{number}x{batch}x{index}'
        answer = fleet.request(number, '/desk/1', request_id=request_id)
        statuses.append(answer[0])

    greenlets = []
    for index in range(int(rate_per_s * duration_s)):
        number = numbers[index % len(numbers)]
        greenlets.append(gevent.spawn(request, number, index))
        gevent.sleep(1.0 / rate_per_s)
    gevent.joinall(greenlets, timeout=10)
    return statuses


def most_in_window(arrivals_s):
    return max(
        sum(first_s <= at_s < first_s + WINDOW_S for at_s in arrivals_s)
        for first_s in arrivals_s
    )


def allowed_in_window(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


def test_server_gets_no_more_than_the_limit_that_it_names(one_desk):
    desk = one_desk.backends[0]
    desk.notices = [f'Server-Limit: {LIMIT_PER_S}']
    began_s = time.monotonic()
    statuses = ask(one_desk, [0, 1, 2, 3], 80, 8)
    arrivals_s = arrivals_since(desk, began_s + STABLE_S)
    assert most_in_window(arrivals_s) <= allowed_in_window(LIMIT_PER_S)
    assert len(arrivals_s) >= 0.6 * LIMIT_PER_S * (8 - STABLE_S)
    assert set(statuses) == {200, 503}
    assert statuses.count(200) == len(arrivals_since(desk, began_s))


def test_named_limit_holds_while_the_node_beside_the_server_restarts(one_desk):
    desk = one_desk.backends[0]
    record_arrivals(desk, work_s=0.2)
    desk.notices = [f'Server-Limit: {LIMIT_PER_S}']
    began_s = time.monotonic()
    asking = gevent.spawn(ask, one_desk, [1, 2, 3], 80, 12)
    gevent.sleep(STABLE_S)
    restart_node(one_desk, 0)
    asking.join()
    arrivals_s = arrivals_since(desk, began_s + STABLE_S)
    assert arrivals_s[-1] > began_s + 10
    assert most_in_window(arrivals_s) <= allowed_in_window(LIMIT_PER_S)


def test_limit_ends_with_the_first_answer_that_names_none(one_desk):
    desk = one_desk.backends[0]
    desk.notices = [f'Server-Limit: {LIMIT_PER_S}']
    ask(one_desk, [0, 1, 2, 3], 40, 2)
    desk.notices = []
    ask(one_desk, [0, 1, 2, 3], 40, 3)
    statuses = ask(one_desk, [0, 1, 2, 3], 40, 2)
    assert statuses.count(200) >= 0.99 * len(statuses)


def test_requests_beyond_a_named_limit_go_to_other_servers(two_desks):
    limited = two_desks.backends[0]
    limited.notices = [f'Server-Limit: {LIMIT_PER_S}']
    ask(two_desks, [0, 1, 2, 3], 40, 1)
    began_s = time.monotonic()
    statuses = ask(two_desks, [0, 1, 2, 3], 40, 6)
    assert statuses.count(200) >= 0.99 * len(statuses)
    arrivals_s = arrivals_since(limited, began_s)
    assert most_in_window(arrivals_s) <= allowed_in_window(LIMIT_PER_S)


def test_leaving_server_gets_nothing_although_it_announces_itself(two_desks):
    leaving = two_desks.backends[0]
    leaving.notices = ['Server-Leaving: 1']
    began_s = time.monotonic()
    statuses = ask(two_desks, [0, 1, 2], 60, 6)
    assert not arrivals_since(leaving, began_s + DRAIN_S)
    assert statuses.count(200) >= 0.99 * len(statuses)


def test_leaving_server_gets_nothing_from_those_told_after_its_node_restarts(
    two_desks,
):
    leaving = two_desks.backends[0]
    record_arrivals(leaving, work_s=0.2)
    leaving.notices = ['Server-Leaving: 1']
    ask(two_desks, [2, 3], 60, 2)
    told = {int(request_id[0]) for _, request_id in leaving.arrivals}
    assert told
    restart_node(two_desks, 0)
    eventually(lambda: two_desks.announce(0) == 200)
    leaving.arrivals.clear()
    statuses = ask(two_desks, sorted(told), 40, 5)
    assert not leaving.arrivals
    assert statuses.count(200) >= 0.99 * len(statuses)


def test_next_start_of_a_server_that_left_is_used(two_desks):
    desk = two_desks.backends[0]
    desk.notices = ['Server-Leaving: 1']
    ask(two_desks, [0, 1, 2], 40, 2)
    desk.notices = []
    desk.born += 1
    assert two_desks.announce(0) == 200
    desk.arrivals.clear()
    eventually(lambda: ask(two_desks, [0, 2], 20, 0.5) and desk.arrivals, 5)
