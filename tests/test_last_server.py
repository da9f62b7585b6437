"""
The last usable backend server of a service leaves, in a fleet of processes.
"""

import json
import signal
import time

import gevent
from platform_fleet import ANNOUNCE_PORT
from platform_fleet import CALLER_PORT
from platform_fleet import PlatformFleet
from platform_fleet import eventually
from platform_fleet import platform_fleet
import pytest

from damasklanding.interfaces import LEAVE_SHARE

SERVICES = ('desk', 'desk', 'ledger', 'ledger')
LEDGERS = (2, 3)
OPERATIONS_PORT = 17_006
CONFIRM_S = 4.0
DRAIN_S = 2.0
REPORT_S = 0.5
BOUNDS = {
    'LEAVE_CONFIRM_MS': '4000ms',
    'LEAVE_DRAIN_MS': '2000ms',
    'REPORT_INTERVAL_MS': '1500ms',
}


class BoundedFleet(PlatformFleet):
    """
    A fleet whose settings name the bounds of a departure.

    :ivar leaving: numbers of the backend servers that leave.
    """

    def __init__(self, folder, services):
        super().__init__(folder, services)
        self.leaving = set()

    def _settings(self, ip):
        extra = {} if ip in self.control else dict(BOUNDS)
        extra['OPERATIONS_ADDRESS'] = f'{ip}:{OPERATIONS_PORT}'
        return super()._settings(ip) + [
            f'DAMASKLANDING_{name}={value}' for name, value in extra.items()
        ]

    def ask_operations(self, number, path):
        """Return the answer of a node's listener for operators."""
        ip = self.nodes[number]
        return self.call(ip, OPERATIONS_PORT, 'GET', path)[2].decode()


class Leaver:
    """
    A backend server that leaves.

    :ivar confirmed_s: time of the answer that confirmed it, None before.
    :ivar exits_s: time from which it is gone, None before it is known.
    """

    def __init__(self, fleet, number, how='draining'):
        self.fleet = fleet
        self.number = number
        self.how = how
        self.said_s = time.monotonic()
        self.confirmed_s = None
        self.exits_s = None
        self.greenlet = gevent.spawn(self._run)

    def _run(self):
        while self._say() != 200:
            gevent.sleep(REPORT_S)
        self.confirmed_s = time.monotonic()
        gevent.sleep(DRAIN_S + 0.3)
        self.exits_s = time.monotonic()
        leave(self.fleet, self.number)
        self.fleet.backends[self.number].stop()

    def _say(self):
        if self.how == 'draining':
            return self.fleet.announce(self.number, 'draining')
        return leave(self.fleet, self.number)


def leave(fleet, number):
    """Send the departure of a backend server; return the status."""
    backend = fleet.backends[number]
    path = f'/instances/{backend.instance}'
    ip = fleet.nodes[number]
    body = {'born': backend.born}
    return fleet.call(ip, ANNOUNCE_PORT, 'DELETE', path, body)[0]


def kept(fleet, number):
    """Return what the node says of the server that it keeps."""
    ip = fleet.nodes[number]
    text = fleet.log_of(ip)
    return [
        json.loads(line)['message']
        for line in text.splitlines()
        if 'is used for' in line
    ]


class Callers:
    """Callers that ask for the ledger at the desks all the while."""

    def __init__(self, fleet, path='/once/1'):
        self.path = path
        self.answers = []
        self.greenlet = gevent.spawn(self._run, fleet)

    def _run(self, fleet):
        index = 0
        while True:
            index += 1
            gevent.spawn(self._ask, fleet, index)
            gevent.sleep(0.02)

    def _ask(self, fleet, index):
        asked_s = time.monotonic()
        status = fleet.request(
            index % 2, self.path, request_id=f'{index}x', method='POST'
        )[0]
        self.answers.append((asked_s, status))

    def statuses(self, from_s, until_s):
        return [s for at_s, s in self.answers if from_s <= at_s < until_s]


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet(tmp_path, SERVICES, BoundedFleet) as made:
        for backend in made.backends:
            record_arrivals(backend)
        announcing = gevent.spawn(announce_others, made)
        yield made
        announcing.kill()


def announce_others(fleet):
    """Announce the servers that stay."""
    while True:
        for number, backend in enumerate(fleet.backends):
            if backend.is_up and number not in fleet.leaving:
                fleet.announce(number)
        gevent.sleep(1.0)


def record_arrivals(backend):
    backend.arrivals_s = []

    def work(_head):
        backend.arrivals_s.append(time.monotonic())

    backend.work = work


def let_leave(fleet, number, how='draining'):
    fleet.leaving.add(number)
    return Leaver(fleet, number, how)


def leave_one_ledger(fleet):
    """Let one of the two ledgers leave, which is not the last one."""
    leaver = let_leave(fleet, LEDGERS[0])
    leaver.greenlet.join()
    assert leaver.confirmed_s - leaver.said_s < 0.5


@pytest.mark.parametrize('how', ('draining', 'deleted'))
def test_no_request_is_refused_while_the_last_server_still_serves(fleet, how):
    leave_one_ledger(fleet)
    callers = Callers(fleet)
    gevent.sleep(0.5)
    leaver = let_leave(fleet, LEDGERS[1], how)
    leaver.greenlet.join()
    callers.greenlet.kill()
    gevent.sleep(0.3)
    waited_s = leaver.confirmed_s - leaver.said_s
    served = callers.statuses(leaver.said_s, leaver.confirmed_s)
    assert 1.5 <= waited_s <= CONFIRM_S
    assert set(served) == {200}
    after = callers.statuses(leaver.confirmed_s, leaver.exits_s)
    assert after.count(200) >= 0.5 * 0.5 * DRAIN_S / 0.02
    assert set(after) <= {200, 503}
    arrivals_s = fleet.backends[LEDGERS[1]].arrivals_s
    assert arrivals_s[-1] <= leaver.confirmed_s + DRAIN_S
    assert kept(fleet, LEDGERS[1])


def test_servers_that_leave_at_the_same_moment_serve_on_for_a_while(fleet):
    callers = Callers(fleet)
    gevent.sleep(0.5)
    leavers = [let_leave(fleet, number) for number in LEDGERS]
    gevent.joinall([leaver.greenlet for leaver in leavers])
    callers.greenlet.kill()
    first_s = min(leaver.confirmed_s for leaver in leavers)
    served = callers.statuses(first_s + 0.5, first_s + 1.2)
    assert served.count(200) >= 0.8 * len(served)
    for leaver in leavers:
        arrivals_s = fleet.backends[leaver.number].arrivals_s
        assert arrivals_s[-1] <= leaver.confirmed_s + DRAIN_S


def test_operators_see_which_server_is_kept_and_for_how_long(fleet):
    leave_one_ledger(fleet)
    number = LEDGERS[1]
    assert 'last_servers_kept 0' in fleet.ask_operations(number, '/metrics')
    leaver = let_leave(fleet, number)
    gevent.sleep(0.6)
    status = json.loads(fleet.ask_operations(number, '/status'))
    kept_server = status['roles'][0]['kept_server']
    assert kept_server['service'] == 'ledger'
    assert kept_server['instance'] == fleet.backends[number].instance
    assert not kept_server['is_confirmed']
    assert 2_500 <= kept_server['left_ms'] <= 3_600
    assert 'last_servers_kept 1' in fleet.ask_operations(number, '/metrics')
    leaver.greenlet.join()
    status = json.loads(fleet.ask_operations(number, '/status'))
    assert status['roles'][0]['kept_server'] is None


def test_return_of_another_server_ends_the_wait(fleet):
    leave_one_ledger(fleet)
    leaver = let_leave(fleet, LEDGERS[1])
    gevent.sleep(0.6)
    assert leaver.confirmed_s is None
    other = fleet.backends[LEDGERS[0]]
    other.born += 1_000
    other.start()
    fleet.leaving.discard(LEDGERS[0])
    eventually(lambda: leaver.confirmed_s is not None, 2.0)
    assert leaver.confirmed_s - leaver.said_s < 1.9
    leaver.greenlet.join()


def test_node_that_restarts_during_the_wait_confirms_at_once(fleet):
    leave_one_ledger(fleet)
    leaver = let_leave(fleet, LEDGERS[1])
    gevent.sleep(0.6)
    assert leaver.confirmed_s is None
    ip = fleet.nodes[LEDGERS[1]]
    fleet.processes[ip].kill()
    fleet.processes[ip].wait()
    fleet.run(ip)
    eventually(lambda: fleet.ready(LEDGERS[1]) == 200)
    ready_s = time.monotonic()
    eventually(lambda: leaver.confirmed_s is not None, 2.0)
    assert leaver.confirmed_s - ready_s < 2 * REPORT_S
    arrivals_s = fleet.backends[LEDGERS[1]].arrivals_s
    before = len(arrivals_s)
    assert fleet.request(0, '/once/1', request_id='after')[0] == 503
    assert len(arrivals_s) == before
    leaver.greenlet.join()


def calling_ledger(fleet, number):
    """Return the work of a desk that needs three calls to the ledger."""

    def work(head):
        for index in range(3):
            headers = {
                'Host': 'h.example',
                'Damasklanding-Attempt-Id': (
                    f'{head["damasklanding-attempt-id"]}.{index}'
                ),
                'Damasklanding-Deadline-Ms': '1000',
            }
            ip = fleet.nodes[number]
            answer = fleet.call(
                ip, CALLER_PORT, 'GET', '/inner/1', headers=headers
            )
            if answer[0] != 200:
                return '500 Internal Server Error'
        return None

    return work


def test_chains_do_not_fail_where_the_last_server_has_left(fleet):
    leave_one_ledger(fleet)
    for number in (0, 1):
        fleet.backends[number].work = calling_ledger(fleet, number)
    callers = Callers(fleet, '/desk/1')
    gevent.sleep(1.0)
    leaver = let_leave(fleet, LEDGERS[1])
    leaver.greenlet.join()
    gevent.sleep(1.0)
    callers.greenlet.kill()
    statuses = callers.statuses(leaver.said_s, time.monotonic())
    assert statuses.count(200) >= 0.5 * CONFIRM_S / 0.02
    assert statuses.count(503) >= 0.5 / 0.02
    # Each of the two entries lets a probe through now and then.
    assert statuses.count(500) <= 4


def test_last_server_serves_on_while_callers_leave_its_stopping_node(fleet):
    leave_one_ledger(fleet)
    callers = Callers(fleet)
    gevent.sleep(0.5)
    process = fleet.processes[fleet.nodes[LEDGERS[1]]]
    stopped_s = time.monotonic()
    process.send_signal(signal.SIGTERM)
    eventually(lambda: process.poll() is not None, fleet.grace_s)
    callers.greenlet.kill()
    gevent.sleep(0.3)
    leave_s = LEAVE_SHARE * fleet.grace_s
    served = callers.statuses(stopped_s, stopped_s + leave_s - 0.1)
    assert set(served) == {200}
    rest = callers.statuses(stopped_s, time.monotonic())
    assert set(rest) <= {200, 503}
