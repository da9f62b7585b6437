import random

from backend_model import admission_request

from damasklanding.fleet.resources import Backend
from damasklanding.policy.routing import Router
from damasklanding.policy.successratio import SuccessRatio
from damasklanding.policy.successratio import turned_away_idle
from damasklanding.policy.types import CallResult
from damasklanding.policy.types import LoadReport

REQUEST = admission_request(0)
REPORT_EVERY_MS = 1_000.0


def test_failures_lower_the_ratio_and_fade():
    ratio = SuccessRatio()
    for _ in range(20):
        ratio.note(False, 0.0)
    assert ratio.current(0.0) < 0.2
    assert ratio.current(4_000.0) < 0.6
    assert ratio.current(60_000.0) > 0.99


def test_successes_bring_the_ratio_back():
    ratio = SuccessRatio()
    for _ in range(20):
        ratio.note(False, 0.0)
    for _ in range(60):
        ratio.note(True, 0.0)
    assert ratio.current(0.0) == 1.0


def test_only_a_refusal_with_room_left_counts():
    assert turned_away_idle(1, 1)
    assert turned_away_idle(5, 80)
    assert not turned_away_idle(70, 80)


class RefusingServer:
    """A backend server that turns part of its calls away while idle."""

    def __init__(self, name, data_centre, refused_ratio):
        self.backend = Backend(
            name=name,
            instance='i',
            data_centre=data_centre,
            peer_address='127.0.0.1:1',
            service='ledger',
        )
        self.refused_ratio = refused_ratio
        self.success = SuccessRatio()
        self.refusals = 0

    def report(self, now_ms, shared):
        ratio = self.success.current(now_ms) if shared else 1.0
        return LoadReport('ledger', 80, 2, success_ratio=ratio)

    def take(self, luck, now_ms):
        served = luck.random() >= self.refused_ratio
        self.success.note(served, now_ms)
        self.refusals += not served
        return served


def play(nodes, servers, calls_per_s, refused_ratio, shared=True):
    """
    Play ten seconds in which five backend servers refuse part of the calls.

    Each call may be tried twice.

    :param calls_per_s: calls of each node.
    :param shared: whether reports carry the success ratio.
    :return: pair of the ratio of calls that fail, and of tries refused.
    """
    luck = random.Random(5)
    fleet = [
        RefusingServer(f's{n}', f'dc-{n % 5}', refused_ratio * (n < 5))
        for n in range(servers)
    ]
    by_name = {server.backend.name: server for server in fleet}
    candidates = [server.backend for server in fleet]
    clock = [0.0]
    routers = [
        Router(f'n{n}', f'dc-{n % 5}', lambda: clock[0], random.Random(f'{n}'))
        for n in range(nodes)
    ]
    calls = failed = 0
    next_report_ms = REPORT_EVERY_MS
    while clock[0] < 10_000.0:
        clock[0] += 1000.0 / (calls_per_s * nodes)
        if clock[0] >= next_report_ms:
            next_report_ms += REPORT_EVERY_MS
            for router in routers:
                for server in fleet:
                    load = server.report(clock[0], shared)
                    router.update_load(server.backend.name, load)
        router = luck.choice(routers)
        calls += 1
        tried = set()
        while len(tried) < 2:
            name = router.choose(candidates, REQUEST, tried).name
            tried.add(name)
            router.call_started(name)
            served = by_name[name].take(luck, clock[0])
            router.update_load(name, by_name[name].report(clock[0], shared))
            result = CallResult.OK if served else CallResult.REJECTED
            router.call_finished(name, result, 20.0)
            if served:
                break
        else:
            failed += 1
    return failed / calls, sum(s.refusals for s in fleet) / calls


def test_refusing_servers_cost_a_large_fleet_few_calls():
    # Five of the thirteen backend servers of a deep service refuse 55 of 100
    # calls while they are nearly idle; 200 nodes call them, each rarely.
    failed, refused = play(200, 13, 3.0, 0.55)
    assert failed <= 0.01
    assert refused <= 0.05


def test_without_reports_each_node_learns_by_failures_of_its_own():
    _, refused = play(200, 13, 3.0, 0.55)
    _, refused_alone = play(200, 13, 3.0, 0.55, shared=False)
    assert refused * 2 <= refused_alone


def test_refusing_servers_are_used_again_once_they_take_calls():
    ratio = SuccessRatio()
    for _ in range(30):
        ratio.note(False, 0.0)
    clock = [0.0]
    router = Router('n', 'dc-0', lambda: clock[0], random.Random(2))
    fleet = [RefusingServer(f's{n}', 'dc-0', 0.0).backend for n in range(4)]
    counts = []
    for clock[0] in (0.0, 9_000.0):
        load = LoadReport('ledger', 80, success_ratio=ratio.current(clock[0]))
        router.update_load('s0', load)
        picks = [router.choose(fleet, REQUEST, ()).name for _ in range(400)]
        counts.append(picks.count('s0'))
    assert counts[0] <= 20
    assert counts[1] >= 60
