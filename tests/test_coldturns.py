"""Entries of many nodes after a service has got cold backend servers again."""

import random

import pytest

from damasklanding.errors import Unavailable
from damasklanding.fleet.resources import Backend
from damasklanding.policy.coldturns import MAX_INTERVAL_FACTOR
from damasklanding.policy.coldturns import ColdTurns
from damasklanding.policy.coldturns import Turn
from damasklanding.policy.dependencies import MIN_FAILURES_IN_ROW
from damasklanding.policy.dependencies import DependencyCheck
from damasklanding.policy.routing import RETURNED_COLD_MS
from damasklanding.policy.routing import Router
from damasklanding.policy.types import LoadReport

NODES = 13
COLD_RATE_PER_S = 12.0
CHAINS_PER_S = 560
CALLS_A_CHAIN = 4
COLD_S = RETURNED_COLD_MS / 1000.0


def server(name='k6', data_centre='kushiro', cold_start=False):
    return Backend(
        name=name,
        instance='i',
        data_centre=data_centre,
        peer_address='127.0.0.1:1',
        service='ledger',
        cold_start=cold_start,
    )


class Entry:
    """The part of an entry node that decides about chains."""

    def __init__(self, number, clock):
        self.usable = []
        self.router = Router(
            f'n{number}',
            'obihiro',
            lambda: clock[0],
            random.Random(number),
            lambda _service: COLD_RATE_PER_S,
            lambda: NODES,
        )
        self.turns = ColdTurns(
            lambda: clock[0],
            random.Random(number).random,
            lambda _service: self.router.cold_interval_ms(self.usable),
        )
        self.check = DependencyCheck(
            lambda: clock[0],
            lambda _service: self.router.has_usable(self.usable),
            lambda _service: None,
            lambda *_change: None,
            self.turns,
        )
        for _ in range(MIN_FAILURES_IN_ROW):
            self.end(False)

    def admits(self):
        try:
            self.check.check('desk', 'view')
        except Unavailable as error:
            assert error.retry_after_ms > 0
            return False
        return True

    def end(self, succeeded):
        missing = () if succeeded or self.usable else {'ledger'}
        self.check.note('desk', 'view', succeeded, missing, 0.0)

    def take_back(self, data_centre='kushiro'):
        self.router.note_return(data_centre)
        self.usable = [server()]


@pytest.fixture
def clock():
    return [10_000.0]


def test_chains_after_a_return_are_as_many_as_a_cold_server_bears(clock):
    entries = [Entry(number, clock) for number in range(NODES)]
    assert not any(entry.admits() for entry in entries)
    for entry in entries:
        entry.take_back()
    luck = random.Random(1)
    begun_ms = clock[0]
    let_in = whole = 0
    while clock[0] < begun_ms + RETURNED_COLD_MS:
        clock[0] += 1000.0 / CHAINS_PER_S
        entry = luck.choice(entries)
        if not entry.admits():
            continue
        let_in += 1
        borne = COLD_RATE_PER_S * (clock[0] - begun_ms) / 1000.0
        is_whole = (whole + 1) * CALLS_A_CHAIN <= borne
        whole += is_whole
        entry.end(is_whole)
    assert 0 < let_in <= COLD_RATE_PER_S * COLD_S
    clock[0] += 1.0
    assert all(entry.admits() for entry in entries for _ in range(20))


def test_all_chains_are_admitted_as_soon_as_one_server_is_warm(clock):
    entry = Entry(1, clock)
    entry.take_back()
    assert not all(entry.admits() for _ in range(20))
    entry.usable.append(server('o6', 'obihiro'))
    assert all(entry.admits() for _ in range(20))


def test_report_of_a_warm_server_ends_the_turns(clock):
    entry = Entry(1, clock)
    warm = LoadReport('ledger', limit=46)
    entry.router.update_load('k6', warm)
    clock[0] += 1.0
    entry.take_back()
    assert not all(entry.admits() for _ in range(20))
    entry.router.update_load('k6', LoadReport('ledger', 46, is_out=True))
    assert not all(entry.admits() for _ in range(20))
    entry.router.update_load('k6', warm)
    assert all(entry.admits() for _ in range(20))


def test_report_of_a_cold_server_keeps_the_turns(clock):
    entry = Entry(1, clock)
    entry.usable = [server(cold_start=True)]
    for _ in range(40):
        clock[0] += 200.0
        cold = LoadReport('ledger', limit=46, cold=True)
        entry.router.update_load('k6', cold)
        admitted = sum(entry.admits() for _ in range(20))
        assert admitted <= 1


def test_turns_of_a_service_become_rarer_with_each_chain_that_fails(clock):
    turns = ColdTurns(lambda: clock[0], lambda: 0.0, lambda _name: 100.0)
    gaps_ms = []
    last_ms = clock[0]
    while len(gaps_ms) < 10:
        if turns.take('ledger') is Turn.DUE:
            gaps_ms.append(clock[0] - last_ms)
            last_ms = clock[0]
            turns.note('ledger', False)
        clock[0] += 10.0
    assert gaps_ms[1:] == sorted(gaps_ms[1:])
    assert max(gaps_ms) <= 100.0 * MAX_INTERVAL_FACTOR
    for _ in range(10):
        turns.note('ledger', True)
    clock[0] += 100.0 * MAX_INTERVAL_FACTOR
    assert turns.take('ledger') is Turn.DUE
    clock[0] += 100.0
    assert turns.take('ledger') is Turn.DUE


def test_service_whose_cold_rate_is_unknown_needs_no_turns(clock):
    turns = ColdTurns(lambda: clock[0], lambda: 0.0, lambda _name: 0.0)
    assert turns.take('ledger') is Turn.WARM
