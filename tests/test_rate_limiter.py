import pytest

from damasklanding.budget.owner import MAX_OWNER_VIEW_AGE_MS
from damasklanding.budget.owner import START_DELAY_MS
from damasklanding.budget.rate_limiter import ReceivedGrant
from damasklanding.budget.token_cache import TokenBatch
from damasklanding.budget.token_cache import TokenCache
from damasklanding.errors import OverRate
from damasklanding.errors import Unavailable
from damasklanding.messages import GrantRequest
from damasklanding.messages import GrantReturn
from tests.budget_fleet import Fleet
from tests.budget_fleet import worst_excess


@pytest.fixture
def build(monkeypatch):
    fleets = []

    def build(count=3, started=True, **organisation):
        fleet = Fleet(monkeypatch, count, **organisation)
        fleets.append(fleet)
        fleet.assign(fleet.nodes[0])
        fleet.learn()
        if started:
            fleet.run_for(START_DELAY_MS + 3_000)
        return fleet

    yield build
    for fleet in fleets:
        fleet.close()


def grant_request_count(node):
    return sum(type(message) is GrantRequest for message in node.sent)


def test_new_owner_issues_nothing_until_earlier_owners_have_ended(build):
    fleet = build(started=False)
    fleet.run_for(START_DELAY_MS - 700)
    assert isinstance(fleet.error(fleet.nodes[1]), Unavailable)
    fleet.run_for(100)
    assert fleet.error(fleet.nodes[1]) is None


def test_all_nodes_together_keep_to_rate_and_burst(build):
    fleet = build(4)
    for _ in range(20):
        for node in fleet.nodes:
            for _ in range(10):
                fleet.take(node, 100)
        fleet.run_for(100)
    assert worst_excess(fleet.uses, 100, 100) <= 1e-6
    assert 250 <= len(fleet.uses) <= 300


def test_whole_burst_is_admitted_within_a_short_wait(build):
    fleet = build()
    assert fleet.admitted(fleet.nodes[1], 100) == 100


def test_owner_without_fresh_proof_stops(build):
    fleet = build()
    assert fleet.error(fleet.nodes[1]) is None
    fleet.time.run_for(MAX_OWNER_VIEW_AGE_MS + 500)
    job = fleet.take(fleet.nodes[1])
    fleet.time.run_for(500)
    assert isinstance(job.value, Unavailable)


def test_handover_moves_the_tokens_at_once(build):
    fleet = build()
    assert fleet.admitted(fleet.nodes[2], 60) == 60
    fleet.assign(fleet.nodes[1])
    fleet.learn()
    total = sum(fleet.admitted(node, 80) for node in fleet.nodes)
    assert total > 80
    assert worst_excess(fleet.uses, 100, 100) <= 1e-6
    refused = fleet.nodes[0].owner
    with pytest.raises(Unavailable):
        refused.grant(GrantRequest('acme', 2, 1, 1, 0, 'node-2'))


def test_handover_may_come_before_the_news_of_it(build):
    fleet = build()
    fleet.assign(fleet.nodes[1])
    fleet.nodes[0].learn()
    fleet.run_for(10)
    fleet.learn()
    assert fleet.admitted(fleet.nodes[1], 10) == 10


def test_owner_with_an_old_proof_hands_nothing_over(build):
    fleet = build()
    fleet.time.run_for(700)
    fleet.assign(fleet.nodes[1])
    fleet.learn()
    assert isinstance(fleet.error(fleet.nodes[2]), Unavailable)
    fleet.run_for(START_DELAY_MS)
    assert fleet.error(fleet.nodes[2]) is None


def test_handover_comes_from_the_latest_owner_only(build):
    fleet = build(4)
    first, second, third, entry = fleet.nodes
    fleet.assign(second)
    for _ in range(30):
        # The first owner's view is not updated while the second one starts.
        second.learn()
        entry.learn()
        fleet.time.run_for(100)
    job = fleet.take(entry, 100)
    fleet.time.run_for(50)
    assert job.value is True
    fleet.assign(third)
    first.learn()
    third.learn()
    fleet.time.run_for(50)
    request = GrantRequest('acme', fleet.revision, 1, 1, 0, 'node-3')
    with pytest.raises(Unavailable):
        third.owner.grant(request)
    second.learn()
    fleet.time.run_for(50)
    assert third.owner.grant(request).tokens == 1


def test_owner_that_never_started_hands_nothing_over(build):
    fleet = build(started=False)
    fleet.assign(fleet.nodes[1])
    fleet.learn()
    assert isinstance(fleet.error(fleet.nodes[2]), Unavailable)


def test_same_owner_at_a_new_epoch_goes_on(build):
    fleet = build()
    fleet.assign(fleet.nodes[0])
    fleet.learn()
    assert fleet.admitted(fleet.nodes[1], 50) == 50


def test_drain_returns_once_the_shard_is_handed_over(build):
    fleet = build()
    owner = fleet.nodes[0].owner
    assert not owner.drain(30)
    fleet.assign(fleet.nodes[1])
    fleet.learn()
    fleet.run_for(10)
    assert owner.drain(30)


def test_concurrent_takers_share_one_request(build):
    fleet = build()
    assert fleet.admitted(fleet.nodes[1], 40) == 40
    assert grant_request_count(fleet.nodes[1]) == 1


def test_steady_demand_is_met_with_few_requests(build):
    fleet = build(rate=1_000.0, burst=1_000)
    node = fleet.nodes[1]
    for _ in range(200):
        fleet.take(node)
        fleet.run_for(5, step_ms=5)
    assert len(fleet.uses) == 200
    assert grant_request_count(node) < 40


@pytest.mark.parametrize('scarce', [True, False])
def test_unused_tokens_go_back_when_they_are_scarce(build, scarce):
    fleet = build(rate=1.0, burst=50)
    owner, entry = fleet.nodes[:2]
    fleet.run_for(60_000, step_ms=1_000)
    request = GrantRequest('acme', 2, 20, 20, 0, entry.name)
    grant = owner.owner.grant(request)
    cache = entry.rate_limiter._caches['acme'] = TokenCache(
        'acme', fleet.time()
    )
    cache.scarce = scarce
    received = ReceivedGrant(grant.epoch, grant.serial, grant.ttl_ms)
    cache.batches.append(TokenBatch(received, grant.tokens, fleet.time()))
    fleet.run_for(180, step_ms=20)
    returns = [m for m in entry.sent if type(m) is GrantReturn]
    assert [message.returned for message in returns] == [20] * scarce
    admitted = fleet.admitted(fleet.nodes[2], 49)
    assert admitted >= 48 if scarce else admitted <= 30


def test_waiting_requests_get_tokens_in_order_across_nodes(build):
    fleet = build(burst=20)
    fleet.admitted(fleet.nodes[1], 40)
    jobs = []
    for number in range(9):
        jobs.append(fleet.take(fleet.nodes[number % 3], 500))
        fleet.time.run_for(5)
    done = []
    for number, job in enumerate(jobs):
        job.link(lambda _job, number=number: done.append(number))
    fleet.run_for(600)
    assert all(job.value is True for job in jobs)
    assert done == sorted(done)


def test_excess_is_refused_at_once_and_without_asking(build):
    fleet = build(burst=20)
    node = fleet.nodes[1]
    for _ in range(100):
        fleet.take(node)
    fleet.time.run_for(5)
    before = grant_request_count(node)
    jobs = [fleet.take(node) for _ in range(100)]
    fleet.time.run_for(5)
    refused = [job.value for job in jobs if isinstance(job.value, OverRate)]
    assert len(refused) == 100
    assert all(error.retry_after_ms > 0 for error in refused)
    assert grant_request_count(node) <= before + 1


def test_unreachable_owner_is_not_taken_for_a_rate(build):
    fleet = build()
    owner, node = fleet.nodes[:2]
    fleet.cut.add((node.address, owner.address))
    error = fleet.error(node)
    assert isinstance(error, Unavailable)
    assert not isinstance(error, OverRate)


def test_refusal_names_the_owner_and_why_it_issued_nothing(build):
    fleet = build()
    owner, node = fleet.nodes[:2]
    fleet.cut.add((node.address, owner.address))
    error = fleet.error(node, wait_ms=400)
    assert 'was not reached in time (owner node-0: ' in error.problem


def test_lost_reply_costs_its_tokens_only(build):
    fleet = build()
    fleet.delays.extend([1.0, None])
    node = fleet.nodes[1]
    assert isinstance(fleet.error(node), Unavailable)
    assert fleet.admitted(node, 20) == 20


def test_tokens_lapse_by_when_they_were_asked_for(build):
    fleet = build()
    owner, node = fleet.nodes[:2]
    for _ in range(40):
        fleet.take(node)
        fleet.run_for(10, step_ms=10)
    fleet.time.run_for(250)
    fleet.delays.extend([1.0, 150.0])
    requested_ms = fleet.time()
    job = fleet.take(node)
    fleet.time.run_for(160)
    assert job.value is True
    assert node.rate_limiter._caches['acme'].available(fleet.time()) > 0
    fleet.cut.add((node.address, owner.address))
    fleet.time.run_until(requested_ms + 200)
    assert isinstance(fleet.error(node), Unavailable)


def test_deleted_organisation_gets_nothing(build):
    fleet = build()
    node = fleet.nodes[1]
    assert fleet.error(node) is None
    owner = fleet.nodes[0]
    owner.view.state.all('organisation').pop('acme')
    assert isinstance(fleet.error(node), Unavailable)


def test_owner_may_learn_of_an_organisation_after_the_entry_node(build):
    fleet = build()
    node, owner = fleet.nodes[1], fleet.nodes[0]
    known = owner.view.state.all('organisation')
    organisation = known.pop('acme')
    job = fleet.take(node, 400)
    fleet.run_for(100)
    known['acme'] = organisation
    fleet.run_for(100)
    assert job.value is True


def test_flood_is_refused_in_one_pass(build):
    fleet = build(burst=10)
    jobs = [fleet.take(fleet.nodes[1]) for _ in range(5_000)]
    fleet.time.run_for(5)
    refused = sum(isinstance(job.value, OverRate) for job in jobs)
    assert refused > 4_900


@pytest.mark.parametrize(('rate', 'burst'), [(20.0, 20), (500.0, 400)])
def test_rate_change_is_in_force_after_one_life_of_tokens(build, rate, burst):
    fleet = build()
    for node in fleet.nodes:
        fleet.take(node)
    fleet.run_for(50)
    fleet.set_rate(rate, burst)
    fleet.learn()
    since_ms = fleet.time() + 200
    for _ in range(30):
        for node in fleet.nodes:
            for _ in range(20):
                fleet.take(node)
        fleet.run_for(50)
    later = [at_ms for at_ms in fleet.uses if at_ms >= since_ms]
    assert worst_excess(later, rate, burst) <= 1e-6
    expected = rate * (fleet.time() - since_ms) / 1000
    assert len(later) >= expected * 0.9


def test_rate_that_comes_too_late_is_not_waited_for(build):
    fleet = build(burst=10, least_wait_ms=0)
    node = fleet.nodes[1]
    for _ in range(60):
        fleet.take(node, 500)
    fleet.time.run_for(10)
    job = fleet.take(node, 20)
    fleet.time.run_for(45)
    assert isinstance(job.value, OverRate)


def test_refused_callers_come_back_when_the_rate_has_room(build):
    fleet = build(rate=100.0, burst=20)
    node = fleet.nodes[1]
    jobs = [fleet.take(node) for _ in range(80)]
    fleet.time.run_for(5)
    refused = [job.value for job in jobs if isinstance(job.value, OverRate)]
    assert len(refused) == 40
    # The last caller waits for all that were refused before it, 10 ms each.
    assert max(error.retry_after_ms for error in refused) >= 400


def test_token_of_a_request_that_never_ran_serves_another(build):
    fleet = build(burst=20, least_wait_ms=0)
    node = fleet.nodes[1]
    jobs = [fleet.take(node) for _ in range(40)]
    fleet.time.run_for(5)
    assert isinstance(jobs[-1].value, OverRate)
    fleet.uses.pop()
    node.put_back()
    job = fleet.take(node)
    fleet.time.run_for(1)
    assert job.value is True


def test_token_put_back_after_its_life_is_worth_nothing(build):
    fleet = build(burst=20, least_wait_ms=0)
    node, owner = fleet.nodes[1], fleet.nodes[0]
    for _ in range(40):
        fleet.take(node)
    fleet.time.run_for(300)
    fleet.cut.add((node.address, owner.address))
    node.put_back()
    assert node.rate_limiter._caches['acme'].available(fleet.time()) == 0


def test_check_refuses_what_would_be_refused_and_nothing_else(build):
    fleet = build(burst=20, least_wait_ms=0)
    node = fleet.nodes[1]
    organisation = fleet.organisation
    node.rate_limiter.check(organisation, 0)
    for _ in range(40):
        fleet.take(node)
    fleet.time.run_for(5)
    with pytest.raises(OverRate):
        node.rate_limiter.check(organisation, 0)
    fleet.run_for(1_000)
    job = fleet.take(node)
    fleet.time.run_for(5)
    assert job.value is True
    node.rate_limiter.check(organisation, 0)
