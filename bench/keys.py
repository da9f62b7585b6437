"""
bench.keys
~~~~~~~~~~

A key is withdrawn while its organisation calls without pause over open
connections and has requests in queues.  The last request that a backend
server begins for the organisation, counted from the operator's send of
the withdrawal, is measured; in two of three seeds the leading control host
fails at that moment, by a kill or by silence, and the tool asks it first.
The other organisation's answers count once the backend servers are warm.
"""

from bench.deployments import ORGANISATIONS
from bench.deployments import key_of
from bench.fleet import ADMIN_PORT
from bench.fleet import CALLER_PORT
from bench.fleet import TOKEN
from bench.fleet import running_fleet
from bench.load import Kind
from bench.load import Load
from bench.load import success_ratio
from bench.result import Bound
from bench.result import report_seeds
from bench.standin import now_ms
from damasklanding.adminclient import AdminClient
from damasklanding.adminclient import api_path
from damasklanding.adminclient import successful_replies

__all__ = ['run']

DATA_CENTRES = ('kushiro', 'asahikawa', 'obihiro')
NODES = 6
SLOTS = 4
SERVICE_MS = 40
DURATION_S = 12.0
WARM_UP_S = 4.0
WITHDRAW_AT_S = 5.0
RATE_PER_S = 250
OTHER_RATE_PER_S = 60
WITHDRAWN = ORGANISATIONS[0]
STAYING = ORGANISATIONS[1]
FAULTS = ('none', 'killed', 'silent')
BOUNDS = (
    Bound('withdrawn_last_run_ms', '<=', 2_000),
    Bound('others_success_ratio', '>=', 0.99),
    Bound('key_seen', '==', 0),
    Bound('wrong_organisation', '==', 0),
)


def run(options):
    """Run all seeds; returns the exit status."""
    return report_seeds(options, _run_seed, BOUNDS)


def _run_seed(seed, keep_logs):
    fault = FAULTS[(seed - 1) % len(FAULTS)]
    with running_fleet(keep_logs) as fleet:
        _start(fleet)
        span = {}
        load = Load([node.address(CALLER_PORT) for node in fleet.nodes], seed)
        events = [(WITHDRAW_AT_S, lambda: _withdraw(fleet, fault, span))]
        load.run(_kinds(), DURATION_S, events)
        for host in fleet.control:
            host.thaw()
        records = [
            record
            for standin in fleet.standins
            for record in fleet.records(standin)
        ]
    ran_ms = [
        record['at_ms']
        for record in records
        if record['started'] and record['organisation'] == WITHDRAWN
    ]
    others = [
        answer
        for answer in load.answers
        if answer.organisation == STAYING and answer.at_s >= WARM_UP_S
    ]
    return {
        'seed': seed,
        'fault': fault,
        'withdrawn_last_run_ms': max(ran_ms) - span['sent_ms'],
        'after_acceptance_ms': max(0.0, max(ran_ms) - span['accepted_ms']),
        'accepted_after_ms': span['accepted_ms'] - span['sent_ms'],
        'ran_before': sum(1 for at in ran_ms if at < span['sent_ms']),
        'refused_after': sum(
            1
            for answer in load.answers
            if answer.organisation == WITHDRAWN and answer.status == 401
        ),
        'others_success_ratio': success_ratio(others),
        'key_seen': sum(record['key_seen'] for record in records),
        'wrong_organisation': sum(
            record['organisation'] != record['expected'] for record in records
        ),
    }


def _start(fleet):
    fleet.add_control(3, DATA_CENTRES[0])
    for index in range(NODES):
        fleet.add_node(
            DATA_CENTRES[index % 3],
            'balance-desk',
            slots=SLOTS,
            service_ms=SERVICE_MS,
        )
    fleet.operator.configure(
        {
            'profiles': [
                {
                    'name': 'public-self-service',
                    'longest_wait_ms': 3_000,
                    'timeout_ms': 5_000,
                }
            ],
            'services': [
                {
                    'name': 'balance-desk',
                    'routes': [
                        {
                            'prefix': '/balance',
                            'profile': 'public-self-service',
                        }
                    ],
                }
            ],
            'organisations': [
                {'name': name, 'rate_per_s': 10_000, 'burst_requests': 10_000}
                for name in (WITHDRAWN, STAYING)
            ],
        }
    )
    for name in (WITHDRAWN, STAYING):
        fleet.operator.grant_key(name, key_of(name))
    fleet.wait_ready()


def _kinds():
    rates = ((WITHDRAWN, RATE_PER_S), (STAYING, OTHER_RATE_PER_S))
    return [
        Kind(
            name='balance',
            path='/balance/17',
            rate_per_s=_ramp(rate),
            organisation=name,
            key=key_of(name),
            timeout_ms=5_000,
        )
        for name, rate in rates
    ]


def _ramp(rate_per_s):
    return lambda at_s: rate_per_s * min(1.0, (at_s + 0.1) / WARM_UP_S)


def _leader(fleet, client):
    replies = successful_replies(client.call_all(api_path('status')))
    leader = replies[0].body['control_host']['groups'][0]['leader']
    return next(host for host in fleet.control if host.name == leader)


def _withdraw(fleet, fault, span):
    client = AdminClient(
        [host.address(ADMIN_PORT) for host in fleet.control], TOKEN
    )
    victim = _leader(fleet, client)
    client.addresses.sort(key=lambda item: item.split(':')[0] != victim.ip)
    if fault == 'killed':
        victim.kill()
    elif fault == 'silent':
        victim.freeze()
    span['sent_ms'] = now_ms()
    path = api_path('organisations', WITHDRAWN, 'keys', f'{WITHDRAWN}-key')
    client.call('DELETE', path)
    span['accepted_ms'] = now_ms()
    client.close()
