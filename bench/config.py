"""
bench.config
~~~~~~~~~~~~

Changes of configuration by the administration API while nodes are asked
which one is in force: first undisturbed, then with the leading control host
killed and started again.  A change adds a route; a node that has it refuses
a request without a key, one that has not knows no such route.
"""

from dataclasses import dataclass
from dataclasses import field
from http.client import HTTPConnection
from http.client import HTTPException

import gevent

from bench.fleet import ADMIN_PORT
from bench.fleet import CALLER_PORT
from bench.fleet import TOKEN
from bench.fleet import running_fleet
from bench.load import percentile
from bench.result import Bound
from bench.result import print_result
from bench.result import print_table
from bench.result import summarise
from bench.standin import now_ms
from damasklanding.adminclient import AdminClient
from damasklanding.adminclient import api_path
from damasklanding.adminclient import successful_replies

__all__ = ['run']

NODES = 9
DATA_CENTRES = ('kushiro', 'asahikawa', 'obihiro')
CHANGES = 100
KILL_AT_CHANGE = 30
RESTART_AT_CHANGE = 70
CHANGE_PAUSE_S = 0.02
POLL_S = 0.004
GIVE_UP_S = 15.0
IN_FORCE_STATUS = 401
BOUNDS = (
    Bound('in_force_p99_ms', '<=', 1_000),
    Bound('killed_in_force_p99_ms', '<=', 1_000),
    Bound('reverts', '==', 0),
    Bound('never_in_force', '==', 0),
)


def run(options):
    """Run all seeds; returns the exit status."""
    runs = [_run_seed(seed, options.keep_logs) for seed in options.seed_list()]
    print_table(list(runs[0]), [list(run.values()) for run in runs])
    result = summarise(runs, BOUNDS)
    result['killed_longest_ms'] = max(run['killed_longest_ms'] for run in runs)
    print_result(result)
    return 0 if result['bounds_met'] else 1


@dataclass
class Follower:
    """
    Asks one node without pause which change is in force there.

    :ivar seen_ms: time by change at which it was first in force.
    :ivar reverts: how often a change that was in force was not any more.
    """

    address: str
    newest: int = -1
    reverts: int = 0
    seen_ms: dict = field(default_factory=dict)
    connection: object = None

    def follow(self, sent):
        """Follow the changes of a list that grows; until killed."""
        while True:
            wanted = min(self.newest + 1, len(sent) - 1)
            if wanted > self.newest and self._in_force(wanted):
                self.newest = wanted
                self.seen_ms[wanted] = now_ms()
                continue
            if self.newest >= 0 and not self._in_force(self.newest):
                self.reverts += 1
            gevent.sleep(POLL_S)

    def _in_force(self, change):
        try:
            if self.connection is None:
                host, port = self.address.rsplit(':', 1)
                self.connection = HTTPConnection(host, int(port), timeout=5)
            self.connection.request('GET', f'/change-{change}')
            answer = self.connection.getresponse()
            answer.read()
        except (OSError, HTTPException):
            self.connection = None
            return self.newest >= change
        return answer.status == IN_FORCE_STATUS


def _run_seed(seed, keep_logs):
    with running_fleet(keep_logs) as fleet:
        fleet.add_control(3, DATA_CENTRES[0])
        for index in range(NODES):
            fleet.add_node(DATA_CENTRES[index % 3])
        fleet.wait_ready(minimum=0)
        client = AdminClient(
            [host.address(ADMIN_PORT) for host in fleet.control], TOKEN
        )
        client.call('PUT', api_path('profiles', 'probe'), {})
        calm = _phase(fleet, client, {})
        victim = _leader(fleet, client)
        killed = _phase(
            fleet,
            client,
            {KILL_AT_CHANGE: victim.kill, RESTART_AT_CHANGE: victim.start},
        )
        client.close()
    return {
        'seed': seed,
        'in_force_p50_ms': percentile(calm.times_ms, 0.5),
        'in_force_p99_ms': percentile(calm.times_ms, 0.99),
        'killed_in_force_p99_ms': percentile(killed.times_ms, 0.99),
        'killed_longest_ms': max(killed.times_ms),
        'reverts': calm.reverts + killed.reverts,
        'never_in_force': calm.missing + killed.missing,
    }


@dataclass
class Phase:
    """
    Figures of one series of changes.

    :ivar times_ms: of each change and node, from the send of the change
        until it is in force there.
    :ivar missing: pairs of change and node that never came to be.
    """

    times_ms: list
    reverts: int
    missing: int


def _phase(fleet, client, events):
    service = f'probe-{len(events)}'
    sent = []
    followers = [Follower(node.address(CALLER_PORT)) for node in fleet.nodes]
    jobs = [gevent.spawn(item.follow, sent) for item in followers]
    _start_over(client, service)
    times_ms = []
    for change in range(CHANGES):
        if change in events:
            events[change]()
        times_ms.append(now_ms())
        sent.append(change)
        client.call('PUT', api_path('services', service), _service(change))
        gevent.sleep(CHANGE_PAUSE_S)
    until_ms = now_ms() + GIVE_UP_S * 1000
    while now_ms() < until_ms and any(
        item.newest < CHANGES - 1 for item in followers
    ):
        gevent.sleep(POLL_S)
    gevent.killall(jobs)
    return Phase(
        [
            item.seen_ms[change] - times_ms[change]
            for item in followers
            for change in item.seen_ms
        ],
        sum(item.reverts for item in followers),
        sum(CHANGES - len(item.seen_ms) for item in followers),
    )


def _start_over(client, service):
    """Remove the routes of an earlier series, which has the same paths."""
    for item in client.call('GET', api_path('services'))['items']:
        if item['name'] != service:
            client.call('DELETE', api_path('services', item['name']))
    gevent.sleep(1)


def _service(change):
    return {
        'routes': [
            {'prefix': f'/change-{number}', 'profile': 'probe'}
            for number in range(change + 1)
        ]
    }


def _leader(fleet, client):
    replies = successful_replies(client.call_all(api_path('status')))
    leader = replies[0].body['control_host']['groups'][0]['leader']
    return next(host for host in fleet.control if host.name == leader)
