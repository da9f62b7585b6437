import gevent
import pytest

from damasklanding.budget.holdings import Holdings
from damasklanding.budget.owner import START_DELAY_MS
from damasklanding.budget.owner import Owner
from damasklanding.errors import LinkClosed
from damasklanding.errors import OverRate
from damasklanding.errors import Unavailable
from damasklanding.fleet.resources import BudgetShard
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import Organisation
from damasklanding.metrics import Metrics
from damasklanding.node.view import FleetView
from damasklanding.node.view import budget_shard_of

ORGANISATION = Organisation(name='acme', rate_per_s=100, burst_requests=100)
SHARD = budget_shard_of('acme')


class Clock:
    def __init__(self):
        self.ms = 10_000.0

    def __call__(self):
        return self.ms


class Node:
    """A view, an owner and holdings on a shared clock and network."""

    def __init__(self, name, clock, network):
        self.name = name
        self.address = f'127.0.0.1:{len(network) + 1}'
        self.clock = clock
        self.view = FleetView(clock)
        self.metrics = Metrics()
        self.owner = Owner(
            self.view, name, 'i1', clock, self.metrics, self, gevent.spawn
        )
        self.holdings = Holdings(
            self.view, self, self.owner, clock, self.metrics, name
        )
        self.network = network
        self.sent = []
        network[self.address] = self

    def request(self, address, message, _timeout_ms):
        node = self.network.get(address)
        if node is None:
            raise LinkClosed(f'no connection to {address}')
        self.sent.append(message)
        return node.owner.handlers()[type(message)](None, message)

    def assign(self, owner, revision):
        shard = BudgetShard(
            name=SHARD,
            revision=revision,
            owner=owner.name,
            owner_instance='i1',
            peer_address=owner.address,
        )
        self.view.apply(
            1,
            revision,
            [
                Change.put('organisation', ORGANISATION),
                Change.put('budget_shard', shard),
            ],
        )
        self.view.confirm(self.clock())


def fleet(count=2):
    clock = Clock()
    network = {}
    nodes = [Node(f'node-{n}', clock, network) for n in range(count)]
    for node in nodes:
        node.assign(nodes[0], 5)
    return clock, nodes


def confirm(nodes):
    for node in nodes:
        node.view.confirm(node.clock())


def admitted(node, count, wait_ms=0):
    total = 0
    for _ in range(count):
        try:
            node.holdings.take(ORGANISATION, wait_ms)
            total += 1
        except (OverRate, Unavailable):
            pass
        gevent.sleep(0)
    return total


def start(clock, nodes):
    clock.ms += START_DELAY_MS + 3_000
    confirm(nodes)


def test_new_owner_issues_nothing_until_earlier_owners_have_ended():
    clock, nodes = fleet()
    clock.ms += START_DELAY_MS - 1
    confirm(nodes)
    with pytest.raises(Unavailable):
        nodes[1].holdings.take(ORGANISATION, 0)
    clock.ms += 1
    with pytest.raises(OverRate):
        nodes[1].holdings.take(ORGANISATION, 0)
    clock.ms += 100
    nodes[1].holdings.take(ORGANISATION, 0)


def test_all_nodes_together_get_no_more_than_the_burst():
    clock, nodes = fleet(4)
    start(clock, nodes)
    total = sum(admitted(node, 60) for node in nodes)
    assert 70 <= total <= 80


def test_owner_without_fresh_proof_stops():
    clock, nodes = fleet()
    start(clock, nodes)
    nodes[1].holdings.take(ORGANISATION, 0)
    clock.ms += 1_500
    with pytest.raises(Unavailable):
        nodes[1].holdings.take(ORGANISATION, 0)


def test_handover_moves_the_tokens_at_once():
    clock, nodes = fleet(3)
    start(clock, nodes)
    assert admitted(nodes[2], 20) == 20
    for node in nodes:
        node.assign(nodes[1], 9)
    gevent.sleep(0.01)
    with pytest.raises(Unavailable):
        nodes[0].owner._require_tenure('acme', 5)
    total = sum(admitted(node, 100) for node in nodes)
    assert 40 <= total <= 60


def test_owner_with_an_old_proof_hands_nothing_over():
    clock, nodes = fleet(3)
    start(clock, nodes)
    clock.ms += 700
    for node in nodes:
        node.assign(nodes[1], 9)
    gevent.sleep(0.01)
    with pytest.raises(Unavailable):
        nodes[2].holdings.take(ORGANISATION, 0)


def test_concurrent_takers_share_one_request():
    clock, nodes = fleet()
    start(clock, nodes)
    jobs = [
        gevent.spawn(nodes[1].holdings.take, ORGANISATION, 500)
        for _ in range(30)
    ]
    gevent.joinall(jobs, timeout=2)
    assert all(job.successful() for job in jobs)
    assert len(nodes[1].sent) <= 3


def test_unused_tokens_go_back_before_they_lapse():
    clock, nodes = fleet()
    start(clock, nodes)
    holdings = nodes[1].holdings
    for _ in range(40):
        admitted(nodes[1], 1)
        clock.ms += 10
        confirm(nodes)
        holdings.sweep()
        gevent.sleep(0)
    clock.ms += 120
    holdings.sweep()
    gevent.sleep(0.01)
    assert nodes[0].metrics.value('grants_total', 'returned') > 0


def test_taker_waits_in_order_for_the_next_token():
    clock, nodes = fleet()
    start(clock, nodes)
    admitted(nodes[1], 100)
    done = []
    jobs = []
    for number in range(3):
        job = gevent.spawn(nodes[1].holdings.take, ORGANISATION, 500)
        job.link_value(lambda _job, number=number: done.append(number))
        jobs.append(job)
    for _ in range(60):
        gevent.sleep(0.002)
        clock.ms += 2
    gevent.joinall(jobs, timeout=2)
    assert done == [0, 1, 2]


def test_unreachable_owner_is_not_taken_for_a_rate():
    clock, nodes = fleet()
    start(clock, nodes)
    del nodes[0].network[nodes[0].address]
    with pytest.raises(Unavailable):
        nodes[1].holdings.take(ORGANISATION, 0)
