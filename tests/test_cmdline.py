from contextlib import ExitStack
import hashlib
import json

from click.testing import CliRunner
from gevent.threadpool import ThreadPool
import pytest

from damasklanding.cmdline import tool_group
from damasklanding.control.host import GroupStatus
from damasklanding.control.host import HostStatus
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import DataCentre
from damasklanding.fleet.resources import Organisation
from damasklanding.tallies import BurnRecorder
from tests.fakes_admin import FakeControlHost
from tests.fakes_admin import Watcher
from tests.fakes_admin import make_app
from tests.fakes_admin import run_server

CLOSED = '127.0.0.1:9'


class Fleet:
    """Runs the tool in a thread, so that gevent can serve the hosts."""

    def __init__(self, hosts, addresses, tokens):
        self.hosts = hosts
        self.host = hosts[0]
        self.addresses = addresses
        self._tokens = tokens
        self._threads = ThreadPool(1)

    def run(self, *arguments, admin=None, operator='emi'):
        environment = {
            'DAMASKLANDING_ADMIN': admin or ','.join(self.addresses),
            'DAMASKLANDING_TOKEN_FILE': self._tokens,
            'DAMASKLANDING_OPERATOR': operator,
        }
        return self._threads.apply(
            CliRunner().invoke,
            (tool_group(), list(arguments)),
            {'env': environment},
        )

    def json(self, *arguments, **fields):
        result = self.run(*arguments, '--json', **fields)
        assert result.exit_code == 0, result.output
        return json.loads(result.stdout)


@pytest.fixture()
def fleet(tmp_path):
    hosts = [FakeControlHost('c1'), FakeControlHost('c2')]
    made = [make_app(tmp_path, host) for host in hosts]
    with ExitStack() as stack:
        addresses = [stack.enter_context(run_server(app)) for app, *_ in made]
        fleet = Fleet(hosts, addresses, str(tmp_path / 'tokens'))
        fleet.telemetries = [parts[-1] for parts in made]
        yield fleet


def register(fleet, *names):
    for host in fleet.hosts:
        for name in names:
            host.put(
                'backend',
                Backend(
                    name=name,
                    instance='i',
                    data_centre='kushiro',
                    peer_address='127.0.0.1:7401',
                    service='plan-office',
                ),
            )


def test_put_keeps_fields_that_no_flag_names(fleet):
    put = ('profile', 'put', 'bookings')
    assert fleet.run(*put, '--importance', '3').exit_code == 0
    result = fleet.run(*put, '--no-idempotent', '--weight', '2')
    assert 'profile bookings changed, revision 2' in result.stdout
    profile = fleet.host.view.state.get('profile', 'bookings')
    assert (profile.importance, profile.idempotent) == (3, False)
    assert 'bookings' in fleet.run('profile', 'list').stdout
    assert fleet.json('profile', 'get', 'bookings')['weight'] == 2


def test_service_routes_from_flags(fleet):
    result = fleet.run(
        'service',
        'put',
        'plan-office',
        '--route',
        '/plans=bookings,GET+POST',
        '--route',
        '/lookup=internal-lookup,internal',
    )
    assert result.exit_code == 0, result.output
    first, second = fleet.host.view.state.get('service', 'plan-office').routes
    assert (first.methods, first.access) == (('GET', 'POST'), 'open')
    assert (second.prefix, second.access) == ('/lookup', 'internal')
    assert '/plans=bookings' in fleet.run('service', 'list').stdout


def test_key_is_shown_once_and_only_its_digest_is_sent(fleet, tmp_path):
    fleet.run(
        'organisation',
        'put',
        'lender-1',
        '--rate-per-s',
        '50',
        '--burst-requests',
        '100',
    )
    granted = fleet.json('key', 'grant', 'lender-1', '--key-id', 'k1')
    digest = hashlib.sha256(granted['key'].encode()).hexdigest()
    assert fleet.host.view.has_key(digest)
    assert granted['key'] not in repr(fleet.host.envelopes)
    assert fleet.run('key', 'list', 'lender-1').stdout == 'k1\n'
    kept = fleet.run('organisation', 'put', 'lender-1', '--weight', '3')
    assert kept.exit_code == 0
    assert fleet.host.view.has_key(digest)
    assert fleet.run('key', 'withdraw', 'lender-1', 'k1').exit_code == 0
    assert not fleet.host.view.has_key(digest)
    path = tmp_path / 'key'
    hidden = fleet.run('key', 'grant', 'lender-1', '--output', str(path))
    assert path.read_text().strip() not in hidden.output
    assert path.stat().st_mode & 0o777 == 0o600
    again = fleet.run('key', 'grant', 'lender-1', '--output', str(path))
    assert again.exit_code == 2


EXIT_CASES = [
    (('profile', 'get', 'nothing'), 3, 'no profile nothing'),
    (('profile', 'put', 'Upper', '--weight', '1'), 2, 'name'),
    (('profile', 'put', 'p', '--importance', '7'), 2, 'importance'),
    (('profile', 'put', 'known'), 2, 'no flag says what to change'),
    (('profile', 'put', 'known', '--weight', '2', '--expect', '9'), 4, 'emi'),
    (('service', 'put', 's', '--route', '/x'), 2, 'has no profile'),
    (('data-centre', 'out', 'nowhere'), 3, 'nowhere'),
    (('status', '--token', 'wrong-token-01234567'), 5, 'token'),
    (('status', '--admin', CLOSED, '--timeout', '1'), 6, 'no control host'),
    (('profile', 'list', '--admin', 'localhost:1'), 2, '--admin'),
    (('profile', 'list', '--token-file', '/nonexistent'), 2, '--token-file'),
    (('profile', 'list', '--operator', 'nobody'), 2, 'holds 0 tokens'),
]


@pytest.mark.parametrize(('arguments', 'status', 'shown'), EXIT_CASES)
def test_error_gives_exit_status_and_remedy(fleet, arguments, status, shown):
    fleet.run('profile', 'put', 'known', '--weight', '1')
    result = fleet.run(*arguments)
    assert result.exit_code == status, result.output
    assert shown in result.output


def test_json_error_on_standard_error(fleet):
    result = fleet.run('profile', 'get', 'nothing', '--json')
    assert json.loads(result.stderr)['code'] == 'not-found'
    assert result.stdout == ''


def test_other_control_host_takes_over_and_a_resend_applies_once(fleet):
    second = fleet.addresses[1]
    result = fleet.run(
        'profile', 'put', 'p', '--weight', '2', admin=f'{CLOSED},{second}'
    )
    assert result.exit_code == 0, result.output
    assert len(fleet.hosts[1].envelopes) == 1
    resend = ('profile', 'put', 'q', '--weight', '2', '--request-id', 'r1')
    revisions = [fleet.json(*resend)['revision'] for _ in range(2)]
    assert revisions == [1, 1]
    assert fleet.host.view.state.revision == 1


def test_wait_names_those_that_lag(fleet):
    register(fleet, 'n1', 'n2')
    fleet.hosts[0].watching = [Watcher('n1', 'i', 9, 0)]
    fleet.hosts[1].watching = [Watcher('n2', 'i', 2, 0)]
    put = ('profile', 'put', 'p', '--weight', '2', '--wait')
    fleet.hosts[1].view.apply(1, 9, [])
    lagging = fleet.run(*put, '--wait-timeout', '0.2')
    assert lagging.exit_code == 8
    assert 'n2' in lagging.output
    assert 'n1' not in lagging.stderr
    fleet.hosts[1].watching = [
        Watcher('n2', 'i', 9, 0),
        Watcher('some-tool', 'i', 9, 0),
    ]
    assert fleet.json('wait', '3')['nodes'] == 2


def test_restarted_instance_counts_by_its_own_revision(fleet):
    register(fleet, 'n1')
    fleet.hosts[0].watching = [Watcher('n1', 'earlier', 9, 0)]
    result = fleet.run('wait', '1', '--wait-timeout', '0.1')
    assert result.exit_code == 8


def test_node_within_a_control_host_is_where_the_host_is(fleet):
    register(fleet, 'c1')
    admin = fleet.addresses[0]
    assert fleet.run('wait', '1', admin=admin).exit_code == 0
    late = fleet.run('wait', '2', '--wait-timeout', '0.1', admin=admin)
    assert (late.exit_code, 'c1' in late.output) == (8, True)


def test_unreachable_control_host_is_named_but_does_not_fail(fleet):
    register(fleet, 'n1')
    fleet.host.watching = [Watcher('n1', 'i', 9, 0)]
    admin = f'{fleet.addresses[0]},{CLOSED}'
    result = fleet.run(
        'profile', 'put', 'p', '--weight', '2', '--wait', admin=admin
    )
    assert result.exit_code == 0, result.output
    assert f'control host at {CLOSED} did not answer' in result.stderr


def test_number_of_voting_control_hosts_is_put_and_shown(fleet):
    arguments = ('control-group', 'put', 'control', '--voters')
    assert fleet.run(*arguments, '7').exit_code == 0
    assert fleet.json('control-group', 'list')[0]['voters'] == 7
    assert fleet.run(*arguments, '12').exit_code == 2
    assert fleet.run('control-group', 'delete', 'control').exit_code == 2


def test_status_shows_how_many_losses_the_control_hosts_bear(
    fleet, monkeypatch
):
    group = GroupStatus(
        'config', 'leader', 'c1', 3, 9, 9, 9, 0, 12.0, (), 1, 2
    )
    status = HostStatus('c1', 'kushiro', 'life-1', 9, (group,))
    monkeypatch.setattr(fleet.host, 'status', lambda: status)
    assert '1 of 2' in fleet.run('status').stdout
    assert fleet.json('status')['control_hosts'][0]['bears'] == '1 of 2'


def test_backends_and_data_centres(fleet):
    register(fleet, 'n1')
    fleet.run('data-centre', 'put', 'kushiro', '--region', 'doto')
    refused = fleet.run('backend', 'drain', 'n1')
    assert refused.exit_code == 4
    assert 'last usable backend servers of plan-office' in refused.stderr
    assert fleet.json('backend', 'list')[0]['held_out'] is False
    forced = fleet.run('backend', 'drain', 'n1', '--force')
    assert forced.exit_code == 0
    assert 'no usable backend server is left of plan-office' in forced.stderr
    assert fleet.json('backend', 'list')[0]['held_out'] is True
    assert 'held out' in fleet.run('status').stdout
    assert fleet.run('data-centre', 'out', 'kushiro').exit_code == 0
    assert fleet.json('status')['data_centres_out'] == ['kushiro']
    assert fleet.run('data-centre', 'in', 'kushiro').exit_code == 0
    assert fleet.run('backend', 'return', 'n1').exit_code == 0
    assert 'kushiro' in fleet.run('data-centre', 'list').stdout


def test_order_that_empties_a_service_needs_force(fleet):
    register(fleet, 'n1')
    fleet.run('data-centre', 'put', 'kushiro', '--region', 'doto')
    refused = fleet.run('data-centre', 'out', 'kushiro')
    assert (refused.exit_code, '--force' in refused.stderr) == (4, True)
    assert fleet.json('status')['data_centres_out'] == []
    forced = fleet.run('data-centre', 'out', 'kushiro', '--force')
    assert forced.exit_code == 0
    status = fleet.json('status')
    assert status['data_centres_out'] == ['kushiro']
    why = status['empty_services']['plan-office']
    assert why.startswith('n1: kushiro is out of service since revision')
    text = 'service plan-office has no usable backend server: n1'
    assert text in fleet.run('status').stdout
    assert fleet.run('data-centre', 'in', 'kushiro').exit_code == 0
    assert fleet.json('status')['empty_services'] == {}


def test_order_that_leaves_a_server_needs_no_force(fleet):
    register(fleet, 'n1', 'n2')
    result = fleet.run('backend', 'drain', 'n1')
    assert (result.exit_code, result.stderr) == (0, '')
    assert fleet.run('backend', 'drain', 'n2').exit_code == 4
    # The order that has emptied the service may be sent again.
    assert fleet.run('backend', 'drain', 'n2', '--force').exit_code == 0
    assert fleet.run('backend', 'drain', 'n2').exit_code == 0


def test_watchers_and_history_and_version(fleet):
    fleet.host.watching = [Watcher('n1', 'i', 0, 7)]
    entry = {'revision': 1, 'issued_at_ms': 0, 'operator': 'emi'}
    fleet.host.history = lambda limit: [entry]
    assert fleet.json('watchers', '--revision', '1')[0]['lags'] is True
    assert '1970-01-01T00:00:00Z' in fleet.run('history').stdout
    assert 'damasklanding 0.' in fleet.run('version').stdout


def test_every_command_has_help(fleet):
    def walk(command, path):
        yield path
        for name, child in getattr(command, 'commands', {}).items():
            yield from walk(child, (*path, name))

    for path in walk(tool_group(), ()):
        result = CliRunner().invoke(tool_group(), [*path, '--help'])
        assert result.exit_code == 0
        assert 'Usage' in result.output


def test_organisation_needs_its_rate(fleet):
    result = fleet.run('organisation', 'put', 'lender-1', '--weight', '2')
    assert (result.exit_code, 'rate_per_s' in result.output) == (2, True)
    fleet.host.put(
        'organisation',
        Organisation(name='lender-1', rate_per_s=1, burst_requests=1),
    )
    result = fleet.run('organisation', 'delete', 'lender-1')
    assert result.exit_code == 0


CONFIGURATION = {
    'profiles': [{'name': 'bookings', 'importance': 3, 'idempotent': False}],
    'services': [
        {
            'name': 'plan-office',
            'routes': [{'prefix': '/plans', 'profile': 'bookings'}],
        }
    ],
    'organisations': [
        {'name': 'lender-1', 'rate_per_s': 50, 'burst_requests': 100}
    ],
    'data_centres': [{'name': 'kushiro', 'region': 'doto'}],
}


def results(result):
    return [line.split()[2] for line in result.stdout.splitlines()[1:]]


def test_apply_is_repeatable_and_writes_only_what_differs(fleet, tmp_path):
    path = tmp_path / 'kitami.json'
    path.write_text(json.dumps(CONFIGURATION))
    dry = fleet.run('apply', str(path), '--dry-run')
    assert 'would be created' in dry.stdout
    assert fleet.host.envelopes == []
    assert results(fleet.run('apply', str(path))) == ['created'] * 4
    fleet.run('data-centre', 'out', 'kushiro')
    again = fleet.run('apply', str(path), '--wait', admin=fleet.addresses[0])
    assert again.exit_code == 0, again.output
    assert results(again) == ['unchanged'] * 4
    assert fleet.host.view.data_centre_out('kushiro')
    text = json.dumps(CONFIGURATION).replace(
        '"importance": 3', '"importance": 2'
    )
    path.write_text(text)
    assert results(fleet.run('apply', str(path)))[0] == 'changed'


@pytest.mark.parametrize(
    ('text', 'named'),
    [
        ('{"profile": []}', 'profile'),
        ('{"profiles": [{"name": "p", "wieght": 1}]}', 'wieght'),
        ('{"profiles": [{"name": "p", "importance": 9}]}', 'importance'),
        ('profiles:', 'malformed'),
    ],
)
def test_apply_checks_the_whole_file_first(fleet, tmp_path, text, named):
    path = tmp_path / 'file.json'
    path.write_text(text)
    result = fleet.run('apply', str(path))
    assert (result.exit_code, named in result.output) == (2, True)
    assert fleet.host.envelopes == []


def test_snapshot_is_fetched_verified_and_restored(fleet, tmp_path):
    path = tmp_path / 'kitami.json'
    path.write_text(json.dumps(CONFIGURATION))
    fleet.run('apply', str(path))
    key = fleet.json('key', 'grant', 'lender-1')['key']
    copy = tmp_path / 'fleet.snapshot'
    assert fleet.run('snapshot', 'fetch', str(copy)).exit_code == 0
    line = fleet.json('snapshot', 'verify', str(copy))
    assert line['resources']['organisation'] == 1
    other = fleet.addresses[1]
    first = fleet.run('snapshot', 'restore', str(copy), admin=other)
    assert first.exit_code == 0, first.output
    digest = hashlib.sha256(key.encode()).hexdigest()
    assert fleet.hosts[1].view.has_key(digest)
    again = fleet.run('snapshot', 'restore', str(copy), admin=other)
    assert results(again) == ['unchanged'] * 4
    data = bytearray(copy.read_bytes())
    data[-1] ^= 1
    copy.write_bytes(bytes(data))
    damaged = fleet.run('snapshot', 'verify', str(copy))
    assert (damaged.exit_code, 'checksum' in damaged.output) == (7, True)


def test_control_hosts_that_differ_are_found(fleet):
    assert fleet.run('snapshot', 'verify').exit_code == 0
    for host, name in zip(fleet.hosts, ('a', 'b'), strict=True):
        host.put('data_centre', DataCentre(name=name))
    result = fleet.run('snapshot', 'verify')
    assert (result.exit_code, 'differ' in result.output) == (7, True)


def test_report_burn_sums_all_control_hosts(fleet, tmp_path):
    for telemetry in fleet.telemetries:
        recorder = BurnRecorder()
        for _ in range(10):
            recorder.record('plan-office', 'bookings', 'o', False, 'late')
        telemetry.burn.add('n1', recorder.take_delta())
    page = tmp_path / 'burn.html'
    result = fleet.run('report', 'burn', '--html', str(page))
    assert result.exit_code == 0, result.output
    assert 'late 20' in result.stdout
    assert 'page' in result.stdout
    assert 'Plotly.newPlot' in page.read_text()
    admin = f'{fleet.addresses[0]},{CLOSED}'
    report = fleet.json('report', 'burn', admin=admin)
    assert report['lines'][0]['bad'] == 10
    assert report['unreachable'] == [CLOSED]
