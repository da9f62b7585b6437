"""An allowance has one holder over each change between owner and shares."""

import pytest

from damasklanding.budget.owner import MAX_OWNER_VIEW_AGE_MS
from damasklanding.budget.owner import START_DELAY_MS
from damasklanding.budget.shares import FIRST_REQUESTS
from damasklanding.messages import PROOF_AGE_LEVEL
from damasklanding.messages import GrantRequest
from damasklanding.messages import ProofAgeRequest
from tests.budget_fleet import Fleet
from tests.budget_fleet import worst_excess

RATE_PER_S = 77.0
BURST = 77
NODES = 5
STEP_MS = 50
LEASE_MS = 2_000


@pytest.fixture
def build(monkeypatch):
    fleets = []

    def build(count=NODES, rate=RATE_PER_S, burst=BURST):
        fleet = Fleet(
            monkeypatch, count, rate, burst, least_wait_ms=0, has_shares=True
        )
        fleets.append(fleet)
        fleet.assign(fleet.nodes[0])
        fleet.learn()
        fleet.run_for(START_DELAY_MS + 3_000)
        return fleet

    yield build
    for fleet in fleets:
        fleet.close()


def ask(fleet, nodes, rate_per_s, duration_ms, core=True, wait_ms=100):
    """
    Send requests evenly to nodes; with a core, their views are confirmed.

    :return: the greenlets of the requests.
    """
    jobs = []
    owed = 0.0
    for _ in range(0, int(duration_ms), STEP_MS):
        owed += rate_per_s * STEP_MS / 1000
        while owed >= 1:
            owed -= 1
            jobs.append(fleet.take(nodes[len(jobs) % len(nodes)], wait_ms))
        fleet.time.run_for(STEP_MS)
        for node in fleet.nodes:
            if core and fleet.time() >= node.frozen_until_ms:
                node.learn()
            node.rate_limiter.sweep()
    return jobs


def served(jobs):
    return sum(job.value is True for job in jobs)


def assert_one_holder(fleet, rate=RATE_PER_S, burst=BURST, losses=0):
    """
    Check each window by rate and burst.

    :param losses: how often an owner was lost or replaced without a handover;
        each time shares and the new owner admit their first requests.
    """
    excess = worst_excess(fleet.uses, rate, burst)
    assert excess <= 2 * FIRST_REQUESTS * losses + 1e-6


def test_core_restarts_while_an_organisation_presses(build):
    # Guards against a burst that owner and shares both give out.
    fleet = build()
    for _ in range(3):
        ask(fleet, fleet.nodes, 4 * RATE_PER_S, 1_000)
        ask(fleet, fleet.nodes, 4 * RATE_PER_S, 3_500, core=False)
    ask(fleet, fleet.nodes, 4 * RATE_PER_S, 8_000)
    assert_one_holder(fleet)
    assert len(fleet.uses) >= 0.9 * RATE_PER_S * 21


@pytest.mark.parametrize('nodes', [1, 2, NODES])
def test_organisation_within_its_rate_is_served_without_a_core(build, nodes):
    fleet = build()
    ask(fleet, fleet.nodes[:nodes], 10, 3_000)
    jobs = ask(fleet, fleet.nodes[:nodes], 10, 6_000, core=False)
    assert served(jobs) == len(jobs)


def test_small_organisation_is_served_without_a_core(build):
    fleet = build(count=20, rate=2.0, burst=4)
    ask(fleet, fleet.nodes[:1], 1, 3_000)
    for node in fleet.nodes[1:]:
        ask(fleet, [node], 1, 1_000, core=False)
    ask(fleet, fleet.nodes, 1, 10_000, core=False)
    assert_one_holder(fleet, 2.0, 4)
    assert len(fleet.uses) >= 25


def cut_off(fleet, inside):
    for one in fleet.nodes:
        for other in fleet.nodes:
            if (one in inside) != (other in inside):
                fleet.cut.add((one.address, other.address))


def test_owner_cut_off_with_a_node_issues_no_more_than_their_part(build):
    fleet = build()
    inside = fleet.nodes[:2]
    cut_off(fleet, inside)
    fleet.time.run_for(MAX_OWNER_VIEW_AGE_MS)
    jobs = ask(fleet, inside, 4 * RATE_PER_S, 1_000, core=False)
    part = len(inside) / NODES
    assert 10 <= served(jobs) <= part * (RATE_PER_S + BURST) + 1


def test_owner_that_alone_has_no_proof_leaves_its_nodes_to_their_shares(
    build,
):
    fleet = build()
    owner, *others = fleet.nodes
    for _ in range(3):
        ask(fleet, fleet.nodes, 4 * RATE_PER_S, 500)
        for _ in range(40):
            fleet.time.run_for(STEP_MS)
            for node in others:
                node.learn()
        for _ in range(40):
            for node in others:
                node.learn()
            ask(fleet, others, 4 * RATE_PER_S, STEP_MS, core=False)
        assert len(fleet.uses) > 0
    ask(fleet, fleet.nodes, 4 * RATE_PER_S, 4_000)
    assert_one_holder(fleet)


def test_organisation_that_enters_through_many_nodes_is_served(build):
    fleet = build(count=40, rate=13.0, burst=13)
    ask(fleet, fleet.nodes, 10, 5_000)
    jobs = ask(fleet, fleet.nodes, 10, 5_000, core=False)
    assert served(jobs) == len(jobs)


@pytest.mark.parametrize('dead', ['killed', 'frozen', 'cut off'])
def test_owner_is_lost_while_an_organisation_presses(build, dead):
    fleet = build()
    for _ in range(3):
        owner = next(n for n in fleet.nodes if n.name == fleet.shard.owner)
        heir = fleet.nodes[(fleet.nodes.index(owner) + 1) % NODES]
        others = [n for n in fleet.nodes if n is not owner]
        ask(fleet, fleet.nodes, 4 * RATE_PER_S, 1_000)
        if dead == 'frozen':
            owner.frozen_until_ms = fleet.time() + 5_000
        else:
            for node in others:
                fleet.cut.add((node.address, owner.address))
        ask(fleet, others, 4 * RATE_PER_S, LEASE_MS)
        fleet.assign(heir)
        ask(fleet, others, 4 * RATE_PER_S, START_DELAY_MS + 1_500)
        fleet.cut.clear()
        if dead == 'killed':
            owner.restart()
        ask(fleet, fleet.nodes, 4 * RATE_PER_S, 2_000)
    assert_one_holder(fleet, losses=3)
    assert len(fleet.uses) >= 0.5 * RATE_PER_S * 25


@pytest.mark.parametrize('frozen_ms', [400, 900, 1_400])
def test_owner_that_is_frozen_shortly_takes_over_what_was_given(
    build, frozen_ms
):
    fleet = build()
    owner, *others = fleet.nodes
    for _ in range(4):
        ask(fleet, fleet.nodes, 4 * RATE_PER_S, 700)
        owner.frozen_until_ms = fleet.time() + frozen_ms
        ask(fleet, others, 4 * RATE_PER_S, frozen_ms)
    ask(fleet, fleet.nodes, 4 * RATE_PER_S, 4_000)
    assert_one_holder(fleet)


def test_small_organisations_are_served_soon_after_an_owner_ends(build):
    """Their rate is far below one request a second and node."""
    fleet = build(count=26, rate=0.5, burst=4)
    owner, heir, *rest = fleet.nodes
    ask(fleet, fleet.nodes, 0.4, 10_000)
    owner.frozen_until_ms = fleet.time() + 60_000
    ask(fleet, (heir, *rest), 0.4, LEASE_MS)
    fleet.assign(heir)
    for node in (heir, *rest):
        node.learn()
    jobs = ask(fleet, (heir, *rest), 4, 500)
    jobs += ask(fleet, (heir, *rest), 0.4, 10_000)
    assert len(jobs) == 6
    assert served(jobs) == len(jobs)


def test_nodes_join_while_shares_are_in_use(build):
    fleet = build()
    owner, *others = fleet.nodes
    owner.frozen_until_ms = fleet.time() + 3_000
    ask(fleet, others[:1], 4 * RATE_PER_S, 1_000)
    ask(fleet, others, 4 * RATE_PER_S, 2_000)
    ask(fleet, fleet.nodes, 4 * RATE_PER_S, 4_000)
    assert_one_holder(fleet)


def test_new_owner_serves_at_once_and_takes_over_what_is_left(build):
    fleet = build()
    heir = fleet.nodes[1]
    others = fleet.nodes[1:]
    jobs = ask(fleet, fleet.nodes, 60, 3_000)
    fleet.assign(heir)
    for node in others:
        node.learn()
    for _ in range(10):
        fleet.time.run_for(10)
        for node in others:
            node.learn()
            fleet.take(node, 100)
    fleet.learn()
    jobs += ask(fleet, fleet.nodes, 60, 3_000)
    jobs += ask(fleet, fleet.nodes, 10 * RATE_PER_S, 2_000)
    assert served(jobs) >= 6 * 60 + BURST
    assert_one_holder(fleet)


def test_organisation_within_its_rate_is_served_soon_after_an_owner_ends(
    build,
):
    fleet = build(count=15)
    owner, heir, *rest = fleet.nodes
    ask(fleet, fleet.nodes, 60, 3_000)
    for node in (heir, *rest):
        fleet.cut.add((node.address, owner.address))
    ask(fleet, (heir, *rest), 60, LEASE_MS)
    fleet.assign(heir)
    fleet.learn()
    ask(fleet, (heir, *rest), 60, 500)
    jobs = ask(fleet, (heir, *rest), 60, 2_000)
    assert served(jobs) == len(jobs)


def test_owner_takes_what_shares_admitted_off_its_bucket_once(build):
    # Its answers can be lost, and the same total comes again.
    fleet = build()
    owner = fleet.nodes[0].owner
    epoch = fleet.shard.revision
    for spent in (9, 9, 9, 12, 12):
        owner.grant(GrantRequest('acme', epoch, 0, 0, 0, 'node-1', spent))
    owner.grant(GrantRequest('acme', epoch, 0, 0, 0, 'node-2', 3))
    bucket = owner._ownerships[fleet.shard.name].entries['acme'].bucket
    assert bucket.level(fleet.time()) == bucket.plan.capacity - 15


def test_nodes_of_an_earlier_release_are_not_asked_for_their_proof(build):
    # They would close the link, with all requests on it.
    fleet = build()
    for node in fleet.nodes[1:]:
        node.level = PROOF_AGE_LEVEL - 1
    fleet.time.run_for(MAX_OWNER_VIEW_AGE_MS)
    jobs = ask(fleet, fleet.nodes, 4 * RATE_PER_S, 3_000, core=False)
    assert served(jobs) >= RATE_PER_S * 3 / NODES
    assert not any(
        type(message) is ProofAgeRequest
        for node in fleet.nodes
        for message in node.sent
    )
    assert_one_holder(fleet)
