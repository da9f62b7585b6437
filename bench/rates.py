"""
bench.rates
~~~~~~~~~~~

One organisation sends five times its rate through all nodes while others
stay within theirs: in a steady fleet, while the node that owns the budget of
one of the others stops as planned, while the owner of a further one is
killed, and while that of a third one stands still for a time.
"""

from http.client import HTTPConnection
import re

import gevent

from bench.fleet import CALLER_PORT
from bench.fleet import OPERATIONS_PORT
from bench.fleet import running_fleet
from bench.invariants import Evidence
from bench.invariants import over_rate
from bench.load import Kind
from bench.load import Load
from bench.load import percentile
from bench.result import Bound
from bench.result import print_result
from bench.result import print_table
from bench.result import summarise
from bench.standin import now_ms
from damasklanding.fleet.shards import budget_shard_of

__all__ = ['conforming', 'run']

NODES = 6
RATE_PER_S = 40
BURST = 40
FLOODER = 'flooder'
OTHERS = ('org-1', 'org-2', 'org-3', 'org-4')
FLOOD_FACTOR = 5
WITHIN_SHARE = 0.9
DURATION_S = 15.0
WARM_UP_S = 4.0
WARM_UP_RATE_PER_S = 20
LOSS_AT_S = 5.0
FREEZE_S = 5.0
PATH = '/desk'
REFUSAL_CODES = ('over-rate', 'unavailable', 'stale-state', 'not-found')


def _freeze(node):
    node.freeze()
    gevent.spawn_later(FREEZE_S, node.thaw)


#: Name, organisation whose owner is lost, and how.
LOSSES = (
    ('stop', OTHERS[0], lambda node: node.stop()),
    ('kill', OTHERS[1], lambda node: node.kill()),
    ('freeze', OTHERS[2], _freeze),
)
BOUNDS = (
    Bound('over_admitted', '==', 0),
    Bound('false_refusals', '<=', 0.001),
    Bound('stop_over_admitted', '==', 0),
    Bound('kill_over_admitted', '==', 0),
    Bound('freeze_over_admitted', '==', 0),
)
#: Reported beside the bounds, from the worst seed.
SHOWN = (
    'stop_false_refusals',
    'kill_false_refusals',
    'kill_refused_s',
    'freeze_false_refusals',
    'flooder_admitted_per_s',
    'wait_p99_ms',
    'grants_per_s_node',
)


def run(options):
    """Run all seeds; returns the exit status."""
    runs = [_run_seed(seed, options.keep_logs) for seed in options.seed_list()]
    print_table(list(runs[0]), [list(run.values()) for run in runs])
    result = summarise(runs, BOUNDS)
    for name in SHOWN:
        result[f'{name}_worst'] = round(max(run[name] for run in runs), 4)
    print_result(result)
    return 0 if result['bounds_met'] else 1


def conforming(answers, rate_per_s, burst):
    """Return the answers to requests within rate and burst as sent."""
    level, last_s = float(burst), 0.0
    within = []
    for answer in sorted(answers, key=lambda answer: answer.at_s):
        gained = (answer.at_s - last_s) * rate_per_s
        level = min(float(burst), level + gained)
        last_s = answer.at_s
        if level >= 1.0:
            level -= 1.0
            within.append(answer)
    return within


def _run_seed(seed, keep_logs):
    with running_fleet(keep_logs) as fleet:
        _start(fleet)
        figures = {'seed': seed}
        before = _grants(fleet)
        figures.update(_steady(fleet, seed))
        grants = _grants(fleet) - before
        figures['grants_per_s_node'] = grants / DURATION_S / NODES
        for name, organisation, lose in LOSSES:
            figures.update(_loss(fleet, seed, name, organisation, lose))
        return figures


def _start(fleet):
    fleet.add_control(3)
    for _ in range(NODES):
        fleet.add_node('dc-a', 'desk', slots=60, service_ms=5)
    organisations = [
        {'name': name, 'rate_per_s': RATE_PER_S, 'burst_requests': BURST}
        for name in (FLOODER, *OTHERS)
    ]
    fleet.operator.configure(
        {
            'profiles': [{'name': 'desk'}],
            'services': [
                {
                    'name': 'desk',
                    'routes': [{'prefix': PATH, 'profile': 'desk'}],
                }
            ],
            'organisations': organisations,
        }
    )
    for organisation in organisations:
        name = organisation['name']
        fleet.operator.grant_key(name, f'key-of-{name}')
    fleet.wait_ready()
    warm_up = Load(_addresses(fleet.nodes))
    warm_up.run(_kinds(WARM_UP_RATE_PER_S, 1.0), WARM_UP_S)
    _records(fleet)


def _addresses(nodes):
    return [node.address(CALLER_PORT) for node in nodes]


def _kinds(rate_per_s=RATE_PER_S * WITHIN_SHARE, flood_factor=FLOOD_FACTOR):
    rates = dict.fromkeys(OTHERS, rate_per_s)
    rates[FLOODER] = RATE_PER_S * flood_factor
    return [
        Kind(name, PATH, rate, name, f'key-of-{name}')
        for name, rate in rates.items()
    ]


def _records(fleet):
    return {
        standin.name: fleet.records(standin, take=True)
        for standin in fleet.standins
        if standin.popen.poll() is None
    }


def _steady(fleet, seed):
    load, over_admitted = _load(fleet, fleet.nodes, seed)
    within = _within(load)
    admitted = [
        a for a in load.answers if a.good and a.organisation == FLOODER
    ]
    return {
        'over_admitted': over_admitted,
        'false_refusals': _refused_share(within),
        'within_requests': len(within),
        'flooder_admitted_per_s': len(admitted) / DURATION_S,
        'wait_p99_ms': percentile([a.latency_ms for a in within], 0.99),
    }


def _loss(fleet, seed, name, organisation, lose):
    owner = _owner(fleet, organisation)
    staying = [node for node in fleet.nodes if node is not owner]
    load, over_admitted = _load(
        fleet, staying, seed, [(LOSS_AT_S, lambda: lose(owner))]
    )
    if lose is not _freeze:
        owner.wait()
        fleet.nodes.remove(owner)
    within = _within(load)
    refused = [a for a in load.answers if a.code in REFUSAL_CODES[1:]]
    last_s = max((answer.at_s for answer in refused), default=LOSS_AT_S)
    return {
        f'{name}_over_admitted': over_admitted,
        f'{name}_false_refusals': _refused_share(within),
        f'{name}_refused_s': max(0.0, last_s - LOSS_AT_S),
    }


def _owner(fleet, organisation):
    shard = budget_shard_of(organisation)
    name = fleet.operator.view.state.get('budget_shard', shard).owner
    return next(node for node in fleet.nodes if node.name == name)


def _load(fleet, nodes, seed, events=()):
    load = Load(_addresses(nodes), seed)
    started_ms = now_ms()
    load.run(_kinds(), DURATION_S, events)
    evidence = Evidence(
        records=_records(fleet),
        centres={},
        answers=load.answers,
        started_ms=started_ms,
        root_paths=(PATH,),
        rates=dict.fromkeys((FLOODER, *OTHERS), (RATE_PER_S, BURST)),
    )
    return load, over_rate(evidence)


def _within(load):
    within = []
    for name in OTHERS:
        answers = [a for a in load.answers if a.organisation == name]
        within += conforming(answers, RATE_PER_S, BURST)
    return within


def _refused_share(answers):
    refused = [a for a in answers if a.code in REFUSAL_CODES]
    return len(refused) / max(1, len(answers))


def _grants(fleet):
    return sum(_counted(node, 'granted', 'dry') for node in fleet.nodes)


def _counted(node, *results):
    connection = HTTPConnection(node.ip, OPERATIONS_PORT, timeout=5)
    try:
        connection.request('GET', '/metrics')
        text = connection.getresponse().read().decode()
    except OSError:
        return 0  # a node without an operations listener
    finally:
        connection.close()
    found = re.findall(r'grants_total\{result="([^"]+)"\} (\S+)', text)
    return sum(float(value) for result, value in found if result in results)
