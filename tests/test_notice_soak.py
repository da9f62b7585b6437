"""Limits, leaves, restarts and freezes of nodes that overlap at random."""

from dataclasses import dataclass
from dataclasses import field
import http.client
import os
import random
import signal
import time

import gevent
from gevent import socket as gsocket
from platform_fleet import CALLER_PORT
from platform_fleet import KEY
from platform_fleet import platform_fleet
import pytest

SEEDS = range(1, 1 + int(os.environ.get('DAMASKLANDING_FAULT_SEEDS', '1')))
SERVICES = ('desk', 'desk', 'desk', 'ledger', 'ledger')
DESKS = (0, 1, 2)
DURATION_S = 24.0
CLIENTS_PER_NODE = 3
PAUSE_S = 0.04  # of a client between two requests
STABLE_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
DRAIN_S = 2.0
LIMITS_PER_S = (0.0, 0.7, 4.0, 10.4, 28.4)


@dataclass
class Notice:
    """A span in which a start of a server names a limit or says it leaves."""

    server: int
    limit_per_s: float | None
    began_s: float
    ended_s: float = float('inf')
    told_s: dict = field(default_factory=dict)


@dataclass
class Arrival:
    server: int
    entry: int
    sent_s: float
    at_s: float


class Soak:
    """
    A fleet, its clients and what they saw.

    :ivar excused_s: times at which a node was restarted or frozen, by node.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.arrivals = []
        self.notices = []
        self.excused_s = {number: [] for number in range(len(SERVICES))}
        self.sent_s = {}
        self.statuses = []
        self._serial = 0
        for number in DESKS:
            backend = fleet.backends[number]
            backend.work = self._record(number)
            backend.open_notice = None

    def _record(self, number):
        def work(head):
            request_id = head['damasklanding-attempt-id']
            sent_s = self.sent_s.get(request_id)
            if sent_s is not None:
                entry = int(request_id.partition('x')[0])
                now_s = time.monotonic()
                self.arrivals.append(Arrival(number, entry, sent_s, now_s))
            gevent.sleep(0.02)

        return work

    # Clients.

    def client(self, entry):
        """Use one connection to a node for as long as it lasts."""
        ip = self.fleet.nodes[entry]
        connection = None
        while True:
            gevent.sleep(PAUSE_S)
            self._serial += 1
            request_id = f'{entry}x{self._serial}'
            self.sent_s[request_id] = time.monotonic()
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(ip, CALLER_PORT)
                    # It would open a socket that blocks all greenlets.
                    connection.auto_open = False
                    connection.sock = gsocket.create_connection(
                        (ip, CALLER_PORT), 1
                    )
                self._request(connection, entry, request_id)
            except (OSError, http.client.HTTPException):
                if connection is not None:
                    connection.close()
                connection = None

    def _request(self, connection, entry, request_id):
        headers = {
            'Host': 'h.example',
            'Damasklanding-Attempt-Id': request_id,
            'Damasklanding-Deadline-Ms': '1500',
            'Authorization': f'Token {KEY}',
        }
        connection.request('GET', '/desk/1', headers=headers)
        answer = connection.getresponse()
        answer.read()
        self.statuses.append(answer.status)
        # The stand-in numbers its notices in a header of its own.
        number = answer.headers.get('Notice-Number')
        if number is not None:
            told_s = self.notices[int(number)].told_s
            told_s.setdefault(entry, time.monotonic())

    # Disturbances.

    def disturb(self, end_s):
        kinds = (
            self._limit,
            self._limit,
            self._leave,
            self._restart,
            self._terminate,
            self._freeze,
        )
        running = []
        while time.monotonic() < end_s:
            kind = self.random.choice(kinds)
            running.append(gevent.spawn(kind))
            gevent.sleep(self.random.uniform(0.3, 2.5))
        gevent.joinall(running, timeout=15)

    def _open_notice(self, limit_per_s, line):
        free = [
            number
            for number in DESKS
            if self.fleet.backends[number].open_notice is None
        ]
        if len(free) < 2:
            return None, None
        backend = self.fleet.backends[number := self.random.choice(free)]
        notice = Notice(number, limit_per_s, time.monotonic())
        backend.open_notice = notice
        self.notices.append(notice)
        index = len(self.notices) - 1
        backend.notices = [line, f'Notice-Number: {index}']
        return backend, notice

    def _close_notice(self, backend, notice):
        notice.ended_s = time.monotonic()
        backend.notices = []
        backend.open_notice = None

    def _limit(self):
        limit_per_s = self.random.choice(LIMITS_PER_S)
        backend, notice = self._open_notice(
            limit_per_s, f'Server-Limit: {limit_per_s}'
        )
        if notice is not None:
            gevent.sleep(self.random.uniform(2, 12))
            self._close_notice(backend, notice)

    def _leave(self):
        backend, notice = self._open_notice(None, 'Server-Leaving: 1')
        if notice is not None:
            gevent.sleep(self.random.uniform(3, 8))
            # Another start under the same id.
            backend.stop()
            self._close_notice(backend, notice)
            gevent.sleep(0.3)
            backend.born += 1
            backend.start()

    def _excuse(self, number):
        self.excused_s[number].append(time.monotonic())

    def _restart(self):
        self._end_process(signal.SIGKILL)

    def _terminate(self):
        self._end_process(signal.SIGTERM)

    def _end_process(self, number_of_signal):
        number = self.random.randrange(len(SERVICES))
        ip = self.fleet.nodes[number]
        process = self.fleet.processes[ip]
        if process.poll() is not None:
            return
        self._excuse(number)
        process.send_signal(number_of_signal)
        while process.poll() is None:
            gevent.sleep(0.02)
        gevent.sleep(self.random.uniform(0, 1))
        if self.fleet.processes[ip] is process:
            self.fleet.run(ip)
        self._excuse(number)

    def _freeze(self):
        number = self.random.randrange(len(SERVICES))
        process = self.fleet.processes[self.fleet.nodes[number]]
        if process.poll() is not None:
            return
        self._excuse(number)
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(self.random.uniform(0.3, 3))
        process.send_signal(signal.SIGCONT)
        self._excuse(number)

    # Checks.

    def check(self):
        for notice in self.notices:
            if notice.limit_per_s is None:
                self._check_leave(notice)
            else:
                self._check_limit(notice)
        served = self.statuses.count(200)
        assert served >= 0.5 * len(self.statuses), (
            served,
            len(self.statuses),
        )

    def _is_excused(self, notice, entry):
        return any(at_s > notice.began_s for at_s in self.excused_s[entry])

    def _check_leave(self, notice):
        for arrival in self.arrivals:
            told_s = notice.told_s.get(arrival.entry)
            if (
                arrival.server == notice.server
                and notice.began_s < arrival.at_s < notice.ended_s
                and told_s is not None
                and not self._is_excused(notice, arrival.entry)
            ):
                assert arrival.sent_s <= told_s + DRAIN_S, (notice, arrival)

    def _check_limit(self, notice):
        at_s = [
            arrival.at_s
            for arrival in self.arrivals
            if arrival.server == notice.server
            and notice.began_s + STABLE_S < arrival.at_s < notice.ended_s
            and notice.told_s.get(arrival.entry, float('inf'))
            < arrival.at_s - TOLD_S
            and not self._is_excused(notice, arrival.entry)
        ]
        allowed = 1.5 * notice.limit_per_s * WINDOW_S + 5
        for first_s in at_s:
            got = sum(first_s <= each < first_s + WINDOW_S for each in at_s)
            assert got <= allowed, (notice, got, allowed)


@pytest.mark.parametrize('seed', SEEDS)
def test_notices_hold_while_nodes_restart_and_freeze(seed, tmp_path):
    with platform_fleet(tmp_path, SERVICES) as fleet:
        soak = Soak(fleet, seed)
        greenlets = [gevent.spawn(fleet.announce_often, 0.5)]
        for entry in range(len(SERVICES)):
            for _ in range(CLIENTS_PER_NODE):
                greenlets.append(gevent.spawn(soak.client, entry))
        soak.disturb(time.monotonic() + DURATION_S)
        gevent.killall(greenlets)
        soak.check()
        assert soak.notices
