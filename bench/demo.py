"""
bench.demo
~~~~~~~~~~

Kitami in small: control hosts and nodes in three data centres on loopback
addresses, stand-in backend servers, organisations with keys, and traffic
through a surge, a withdrawn key and a data centre out and back.  Operators'
actions go through the command-line tool.
"""

from dataclasses import dataclass
import json
import os
import subprocess
import sys
import time

import gevent

from bench.deployments import KITAMI
from bench.deployments import SCALE
from bench.fleet import ADMIN_PORT
from bench.fleet import CALLER_PORT
from bench.fleet import TOKEN
from bench.fleet import running_fleet
from bench.invariants import Evidence
from bench.invariants import check_all
from bench.load import Kind
from bench.load import Load
from bench.load import success_ratio
from bench.result import Bound
from bench.result import print_result
from bench.result import print_table
from bench.standin import now_ms

__all__ = ['run']

CONFIGURATION = os.path.join(
    os.path.dirname(os.path.dirname(__file__)), 'examples', 'kitami.json'
)
RATE_PER_S = 80
SURGE = 7
WARM_S = 4.0
SURGE_S = (6.0, 10.0)
WITHDRAW_AT_S = 13.0
OUT_AT_S = 14.5
BACK_AT_S = 19.0
DURATION_S = 23.0
CENTRE_OUT = 'obihiro'
#: Backend servers in each data centre by service.
COUNTS = {'balance-desk': 1, 'plan-office': 1, 'letter-archive': 1}
COUNTS['call-ledger'] = 1
IMPORTANT = ('plan', 'history')


class Tool:
    """Runs the command-line tool as an operator would."""

    def __init__(self, fleet):
        self._environment = dict(
            os.environ,
            DAMASKLANDING_ADMIN=','.join(
                host.address(ADMIN_PORT) for host in fleet.control
            ),
            DAMASKLANDING_TOKEN=TOKEN,
        )

    def run(self, *arguments, quiet=False):
        """Run a command and return what it prints."""
        if not quiet:
            print(f'$ damasklanding {" ".join(arguments)}', flush=True)
        done = subprocess.run(
            [sys.executable, '-m', 'damasklanding.cmdline', *arguments],
            env=self._environment,
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode:
            raise RuntimeError(done.stderr.strip())
        return done.stdout


@dataclass
class Marks:
    """Machine times of the operators' actions, as sent."""

    withdrawn_ms: float = 0.0
    out_ms: float = 0.0
    back_ms: float = 0.0


def run(options):
    """Run the demonstration; returns the exit status."""
    begun_s = time.monotonic()
    with running_fleet(options.keep_logs) as fleet:
        tool = Tool(fleet)
        _say('starting 3 control hosts, 12 nodes and 12 backend servers')
        _start(fleet)
        tool = Tool(fleet)
        print(tool.run('apply', CONFIGURATION, '--wait'))
        keys = _grant_keys(tool)
        fleet.wait_ready()
        _say('traffic: surge, then a key withdrawn, a data centre out and in')
        load, marks, started_ms = _traffic(fleet, tool, keys, options)
        print(tool.run('status'))
        print(tool.run('report', 'burn'))
        rows = _judge(fleet, load, marks, started_ms)
    return _print(rows, time.monotonic() - begun_s)


def _say(text):
    print(f'-- {text}', flush=True)


def _start(fleet):
    fleet.add_control(3, *KITAMI.data_centres)
    for service in KITAMI.services:
        for centre in KITAMI.data_centres:
            for _ in range(COUNTS[service.name]):
                fleet.add_node(
                    centre,
                    service.name,
                    slots=service.slots // SCALE,
                    connections=service.connections // SCALE,
                    service_ms=service.service_ms,
                    routes=service.routes,
                )


def _grant_keys(tool):
    names = [item['name'] for item in _configuration()['organisations']]
    jobs = [gevent.spawn(_grant_key, tool, name) for name in names]
    gevent.joinall(jobs, raise_error=True)
    print(
        f'$ damasklanding key grant {names[0]}   (and {len(names) - 1} more)'
    )
    return {name: job.value for name, job in zip(names, jobs, strict=True)}


def _grant_key(tool, name):
    text = tool.run(
        'key', 'grant', name, '--key-id', 'demo', '--json', quiet=True
    )
    return json.loads(text)['key']


def _configuration():
    with open(CONFIGURATION) as file:
        return json.load(file)


def _rate(at_s):
    if at_s < WARM_S:
        return RATE_PER_S * (0.1 + 0.9 * at_s / WARM_S)
    surge = SURGE_S[0] <= at_s < SURGE_S[1]
    return RATE_PER_S * (SURGE if surge else 1)


def _kinds(keys):
    organisations = _configuration()['organisations']
    whole = sum(item['rate_per_s'] for item in organisations)
    return [
        Kind(
            name=name,
            path=path,
            method=method,
            rate_per_s=lambda at_s, part=share * item['rate_per_s'] / whole: (
                _rate(at_s) * part
            ),
            organisation=item['name'],
            key=keys[item['name']],
            body=b'{"amount": 1}' if method == 'POST' else None,
            keyed=keyed,
            timeout_ms=5_000,
        )
        for name, path, method, share, keyed in KITAMI.requests
        for item in organisations
    ]


def _traffic(fleet, tool, keys, options):
    marks = Marks()
    withdrawn = list(keys)[-1]

    def withdraw():
        marks.withdrawn_ms = now_ms()
        tool.run('key', 'withdraw', withdrawn, 'demo')

    def out():
        marks.out_ms = now_ms()
        tool.run('data-centre', 'out', CENTRE_OUT)

    def back():
        marks.back_ms = now_ms()
        tool.run('data-centre', 'in', CENTRE_OUT)

    load = Load(
        [node.address(CALLER_PORT) for node in fleet.nodes],
        options.first_seed,
    )
    started_ms = now_ms()
    load.run(
        _kinds(keys),
        DURATION_S,
        [(WITHDRAW_AT_S, withdraw), (OUT_AT_S, out), (BACK_AT_S, back)],
    )
    return load, marks, started_ms


def _judge(fleet, load, marks, started_ms):
    """Return triples of what was promised, its bound and the figure."""
    withdrawn = _configuration()['organisations'][-1]['name']
    records = {s.name: fleet.records(s) for s in fleet.standins}
    centres = {s.name: s.data_centre for s in fleet.standins}
    kept = [a for a in load.answers if a.organisation != withdrawn]
    evidence = Evidence(
        records,
        centres,
        load.answers,
        started_ms,
        root_paths=tuple(path for _, path, *_ in KITAMI.requests),
        single_run_paths=('/plans',),
        withdrawn_ms={withdrawn: marks.withdrawn_ms},
        out_ms={CENTRE_OUT: (marks.out_ms, marks.back_ms)},
        rates={
            item['name']: (item['rate_per_s'], item['burst_requests'])
            for item in _configuration()['organisations']
        },
    )
    rows = [
        (
            'success before the surge',
            '>=',
            0.99,
            _share(kept, WARM_S, SURGE_S[0]),
        ),
        ('success in the surge', '>=', 0.5, _share(kept, *SURGE_S)),
        ('important success in the surge', '>=', 0.99, _important(kept)),
        (
            'success after the surge',
            '>=',
            0.99,
            _share(kept, 12, WITHDRAW_AT_S),
        ),
        (
            'success while a data centre is out',
            '>=',
            0.995,
            _share(kept, OUT_AT_S, BACK_AT_S),
        ),
        ('success once it is back', '>=', 0.99, _share(kept, BACK_AT_S, 99)),
        (
            'last run after the withdrawal, s',
            '<=',
            2.0,
            _last_run_s(evidence, withdrawn, marks),
        ),
        (
            'last new work in the data centre out, s',
            '<=',
            3.0,
            _last_work_s(evidence, marks),
        ),
    ]
    rows += [
        (name.replace('_', ' '), '==', 0, count)
        for name, count in check_all(evidence).items()
    ]
    return rows


def _share(answers, from_s, to_s):
    return success_ratio([a for a in answers if from_s <= a.at_s < to_s])


def _important(answers):
    important = [a for a in answers if a.kind in IMPORTANT]
    return _share(important, *SURGE_S)


def _last_run_s(evidence, organisation, marks):
    times = [
        record['at_ms'] - marks.withdrawn_ms
        for record in evidence.root_records()
        if record['started'] and record['organisation'] == organisation
    ]
    return max(0.0, *times) / 1000


def _last_work_s(evidence, marks):
    times = [
        record['at_ms'] - marks.out_ms
        for name, records in evidence.records.items()
        if evidence.centres[name] == CENTRE_OUT
        for record in records
        if record['at_ms'] < marks.back_ms
    ]
    return max([0.0, *times]) / 1000


def _print(rows, took_s):
    table = []
    result = {}
    for name, sign, limit, value in rows:
        kept = Bound(name, sign, limit).met(value)
        table.append([name, f'{sign} {limit}', value, 'yes' if kept else 'NO'])
        result[name.replace(' ', '_').replace(',', '')] = round(value, 4)
    print_table(['what', 'bound', 'measured', 'kept'], table)
    result['bounds_met'] = all(row[-1] == 'yes' for row in table)
    result['took_s'] = round(took_s, 1)
    print_result(result)
    return 0 if result['bounds_met'] else 1
