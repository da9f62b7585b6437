"""Many nodes and a few backend servers that join cold."""

from collections import Counter
import heapq
import random

from backend_model import admission_request

from damasklanding.fleet.resources import Backend
from damasklanding.policy.routing import Router
from damasklanding.policy.types import CallResult
from damasklanding.policy.types import LoadReport

REQUEST = admission_request(0)
COLD_RATE_PER_S = 5.6
LONGEST_WAIT_MS = 300.0
COLD_MS = 3_000.0
CALL_MS = 160.0


class Server:
    """A backend server and the node beside it, which admits by its rate."""

    def __init__(self, number, cold):
        self.backend = Backend(
            name=f's{number}',
            instance='i',
            data_centre=f'dc-{number % 5}',
            peer_address='127.0.0.1:1',
            service='ledger',
            cold_start=cold,
            slots=26,
        )
        self.cold = cold
        self.next_ms = 0.0
        self.running = 0

    def is_cold(self, now_ms):
        return self.cold and now_ms < COLD_MS

    def report(self, now_ms):
        return LoadReport(
            'ledger',
            limit=26,
            running=self.running,
            service_time_ms=CALL_MS,
            cold=self.is_cold(now_ms),
        )

    def admit(self, now_ms):
        """Return the wait of a call, None if it is refused."""
        if not self.is_cold(now_ms):
            return 0.0 if self.running < 26 else None
        wait_ms = max(0.0, self.next_ms - now_ms)
        if wait_ms > LONGEST_WAIT_MS:
            return None
        self.next_ms = now_ms + wait_ms + 1000.0 / COLD_RATE_PER_S
        return wait_ms


def play(nodes, calls_per_s, knows_rate=True, until_ms=5_000.0):
    """
    Play the time after four backend servers have joined nine others.

    :return: pair of the ratio of calls that are refused in the first three
        seconds, and the calls of each server after these.
    """
    luck = random.Random(7)
    clock = [0.0]
    servers = [Server(number, number >= 9) for number in range(13)]
    by_name = {server.backend.name: server for server in servers}
    fleet = [server.backend for server in servers]
    options = (lambda _s: COLD_RATE_PER_S, lambda: nodes) if knows_rate else ()
    routers = [
        Router(
            f'n{n}',
            f'dc-{n % 5}',
            lambda: clock[0],
            random.Random(n),
            *options,
        )
        for n in range(nodes)
    ]
    for router in routers:
        for server in servers[:9]:
            router.update_load(server.backend.name, server.report(0.0))
            for _ in range(3):
                router.call_started(server.backend.name)
                router.call_finished(
                    server.backend.name, CallResult.OK, CALL_MS
                )
    ends = []
    calls = refused = 0
    later = Counter()
    while clock[0] < until_ms:
        clock[0] += 1000.0 / (nodes * calls_per_s)
        while ends and ends[0][0] <= clock[0]:
            _, _, router, server = heapq.heappop(ends)
            server.running -= 1
            name = server.backend.name
            router.call_finished(name, CallResult.OK, CALL_MS)
            router.update_load(name, server.report(clock[0]))
        router = luck.choice(routers)
        server = by_name[router.choose(fleet, REQUEST, ()).name]
        name = server.backend.name
        router.call_started(name)
        wait_ms = server.admit(clock[0])
        if clock[0] < COLD_MS:
            calls += 1
            refused += wait_ms is None
        else:
            later[name] += 1
        if wait_ms is None:
            router.call_finished(name, CallResult.SHED, 1.0)
            router.update_load(name, server.report(clock[0]))
            continue
        server.running += 1
        ended_ms = clock[0] + wait_ms + CALL_MS
        heapq.heappush(ends, (ended_ms, calls + luck.random(), router, server))
    return refused / calls, later


def test_servers_that_join_a_large_fleet_get_what_they_bear():
    refused_ratio, _ = play(200, 1.5)
    assert refused_ratio <= 0.01


def test_each_node_for_itself_overruns_them():
    refused_ratio, _ = play(200, 1.5)
    refused_alone, _ = play(200, 1.5, knows_rate=False)
    assert refused_ratio * 3 <= refused_alone


def test_servers_that_joined_get_their_part_once_warm():
    _, later = play(200, 1.5, until_ms=8_000.0)
    mean = sum(later.values()) / 13
    assert min(later[f's{number}'] for number in range(9, 13)) >= 0.3 * mean


def test_small_fleets_use_cold_servers_too():
    refused_ratio, later = play(15, 20.0, until_ms=8_000.0)
    assert refused_ratio <= 0.02
    assert min(later[f's{number}'] for number in range(9, 13)) > 0
