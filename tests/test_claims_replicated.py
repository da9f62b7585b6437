from collections import Counter

import gevent
import pytest

from damasklanding.claims.client import ClaimClient
from damasklanding.claims.commands import CLAIMS_GROUP
from damasklanding.claims.state_machine import ClaimStateMachine
from damasklanding.clock import monotonic_ms
from damasklanding.control.client import ControlClient
from damasklanding.control.host import ControlHost
from damasklanding.errors import Unavailable
from damasklanding.link import Identity
from damasklanding.linkpool import LinkPool
from damasklanding.metrics import Metrics
from tests import control_cluster
from tests.control_cluster import SECRET
from tests.control_cluster import cluster
from tests.control_cluster import eventually

RETENTION_MS = 60_000


class ClaimsHost(ControlHost):
    """Control host that replicates a claims log."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.claims = self.add_group(CLAIMS_GROUP, ClaimStateMachine())


@pytest.fixture
def hosts(tmp_path, monkeypatch):
    monkeypatch.setattr(control_cluster, 'ControlHost', ClaimsHost)
    with cluster(tmp_path) as hosts:
        hosts.start_all()
        claims_leader(hosts)
        yield hosts


def claims_leader(hosts):
    def leaders():
        return [
            name
            for name, host in hosts.hosts.items()
            if host.claims.confirmed_age_ms() < 150
        ]

    eventually(leaders)
    return leaders()[0]


def client_of(hosts, addresses=None):
    pool = LinkPool(Identity('node', 'node', 'i'), SECRET)
    control = ControlClient(pool, lambda: addresses or hosts.addresses)
    return ClaimClient(control, monotonic_ms, Metrics())


def claim(client, key, wait_ms=4_000):
    return client.claim('acme', key, b'f', RETENTION_MS, wait_ms)


def serve(client, key, runs):
    """Run a request at most once; return the outcome for the caller."""
    try:
        reply = claim(client, key)
    except Unavailable as error:
        return error.outcome
    if reply.verdict != 'granted':
        return reply.verdict
    runs[key] += 1
    gevent.sleep(0.005)
    body = key.encode()
    client.settle('acme', key, reply.attempt, 'ran', 201, (), body)
    return 'ran'


def eventually_settled(client, key):
    def settled():
        try:
            return claim(client, key, 0).verdict == 'settled'
        except Unavailable:
            return False

    eventually(settled)
    return claim(client, key, 0)


def test_leader_killed_in_mid_claim_runs_nothing_twice(hosts):
    clients = [client_of(hosts) for _ in range(3)]
    runs = Counter()
    keys = [f'k{number}' for number in range(60)]

    def race(key):
        jobs = [gevent.spawn(serve, c, key, runs) for c in clients]
        gevent.joinall(jobs)
        return [job.value for job in jobs]

    jobs = []
    for number, key in enumerate(keys):
        jobs.append(gevent.spawn(race, key))
        gevent.sleep(0.005)
        if number == 25:
            hosts.kill(claims_leader(hosts))
    gevent.joinall(jobs, raise_error=True)
    assert max(runs.values()) == 1
    for key in keys:
        if runs[key]:
            assert eventually_settled(clients[0], key).body == key.encode()


def test_second_loss_right_after_a_repair_forgets_nothing(hosts):
    client = client_of(hosts)
    runs = Counter()
    for number in range(20):
        serve(client, f'k{number}', runs)
    for number in range(20):
        eventually_settled(client, f'k{number}')
    first = claims_leader(hosts)
    hosts.wipe(first)
    claims_leader(hosts)
    replica = hosts.start(first).claims
    eventually(lambda: replica.is_voter())
    leader = claims_leader(hosts)
    other = next(n for n in hosts.hosts if n not in (first, leader))
    hosts.kill(other)
    for number in range(20):
        serve(client_of(hosts), f'k{number}', runs)
    assert set(runs.values()) == {1}


def test_minority_refuses_with_not_run(hosts):
    name = claims_leader(hosts)
    address = dict(hosts.addresses)[name]
    client = client_of(hosts, ((name, address),))
    assert claim(client, 'before').verdict == 'granted'
    for other in [n for n in hosts.hosts if n != name]:
        hosts.kill(other)
    with pytest.raises(Unavailable) as caught:
        claim(client, 'after', 0)
    assert caught.value.outcome == 'not-run'


def test_isolated_leader_grants_nothing_that_others_grant(hosts):
    name = claims_leader(hosts)
    runs = Counter()
    hosts.isolate(name)
    replica = hosts.hosts[name].claims

    class Isolated:
        def propose(self, _group, payload, timeout_ms):
            return replica.propose(payload, min(timeout_ms, 500))

    inside = ClaimClient(Isolated(), monotonic_ms, Metrics())
    outside = client_of(hosts)
    jobs = [
        gevent.spawn(serve, client, 'k', runs) for client in (inside, outside)
    ]
    gevent.joinall(jobs, timeout=9)
    assert [job.value for job in jobs] == ['not-run', 'ran']
    hosts.rejoin(name)
    assert eventually_settled(client_of(hosts), 'k').kept
    assert runs == {'k': 1}
