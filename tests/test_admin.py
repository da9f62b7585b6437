import io
import json
from urllib.parse import urlsplit

import gevent
import msgspec
import pytest

from damasklanding.fleet.commands import Outcome
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import DataCentre
from damasklanding.logs import configure_logs
from damasklanding.policy.types import LoadReport
from damasklanding.snapshot import decode_snapshot
from damasklanding.tallies import BurnRecorder
from damasklanding.telemetry import NodeTelemetry
from tests.fakes_admin import FakeControlHost
from tests.fakes_admin import Watcher
from tests.fakes_admin import make_app

EMI = 'emi-token-0123456789'
JUN = 'jun-token-0123456789'


class Response:
    def __init__(self, status, headers, body):
        self.status = int(status.split()[0])
        self.headers = dict(headers)
        self.body = body

    @property
    def json(self):
        return json.loads(self.body)


def call(app, method, url, body=None, token=EMI, **headers):
    parts = urlsplit(url)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    if body is None:
        data = b''
    environ = {
        'REQUEST_METHOD': method,
        'PATH_INFO': parts.path,
        'QUERY_STRING': parts.query,
        'CONTENT_LENGTH': str(len(data)),
        'wsgi.input': io.BytesIO(data),
        'wsgi.errors': io.StringIO(),
        'SERVER_NAME': 'c1',
        'SERVER_PORT': '80',
        'wsgi.url_scheme': 'http',
    }
    if token:
        environ['HTTP_AUTHORIZATION'] = f'Bearer {token}'
    for name, value in headers.items():
        environ['HTTP_' + name.upper()] = value
    started = []
    chunks = app(environ, lambda *answer: started.extend(answer[:2]))
    return Response(*started, b''.join(chunks))


@pytest.fixture()
def app_and_fakes(tmp_path):
    return make_app(tmp_path)


PROFILE = {'importance': 3, 'idempotent': False}
ORGANISATION = {'rate_per_s': 50, 'burst_requests': 100}
RESOURCE_BODIES = [
    ('profiles', 'booking', PROFILE),
    (
        'services',
        'plan-office',
        {'routes': [{'prefix': '/plan', 'profile': 'booking'}]},
    ),
    ('organisations', 'lender-1', ORGANISATION),
    ('data-centres', 'kushiro', {'region': 'doto'}),
    ('control-hosts', 'c1', {'peer_address': '127.0.0.1:7500'}),
]


@pytest.mark.parametrize(('collection', 'name', 'body'), RESOURCE_BODIES)
def test_put_get_list_delete(app_and_fakes, collection, name, body):
    app = app_and_fakes[0]
    path = f'/v1/{collection}/{name}'
    written = call(app, 'PUT', path, body)
    assert (written.status, written.json['revision']) == (200, 1)
    read = call(app, 'GET', path)
    assert read.headers['Etag'] == '"1"'
    assert read.json['item']['revision'] == 1
    assert read.json['age_ms'] == 0
    items = call(app, 'GET', f'/v1/{collection}').json['items']
    assert [item['name'] for item in items] == [name]
    assert call(app, 'DELETE', path).status == 200
    assert call(app, 'GET', path).status == 404


BAD_REQUESTS = [
    ('PUT', '/v1/profiles/p', {'improtance': 1}, 'improtance'),
    ('PUT', '/v1/profiles/p', {'importance': 9}, 'importance'),
    ('PUT', '/v1/profiles/p', {'discipline': 'random'}, 'discipline'),
    ('PUT', '/v1/profiles/p', {'name': 'other'}, 'another resource'),
    ('PUT', '/v1/profiles/P', {}, 'name'),
    ('PUT', '/v1/profiles/p', b'{"importance":', 'malformed'),
    ('PUT', '/v1/profiles/p', b'[' * 100_000, 'malformed'),
    ('PUT', '/v1/profiles/p', b'\xff\xfe', 'malformed'),
    ('PUT', '/v1/profiles/p', b'[]', 'not a JSON object'),
    ('PUT', '/v1/backends/n1', {}, 'not written by operators'),
    ('PUT', '/v1/organisations/o', {'rate_per_s': 0}, 'rate_per_s'),
    (
        'PUT',
        '/v1/services/s',
        {'routes': [{'prefix': '/x', 'profile': 'p', 'acess': 'open'}]},
        'acess',
    ),
    (
        'POST',
        '/v1/organisations/o/keys',
        {'key_id': 'k1', 'key': 'dlk_raw'},
        'field `key`',
    ),
    ('GET', '/v1/watchers?revision=last', None, 'revision'),
    ('GET', '/v1/history?limit=100000', None, 'limit'),
]


@pytest.mark.parametrize(('method', 'path', 'body', 'named'), BAD_REQUESTS)
def test_bad_input_is_a_problem_that_names_the_field(
    app_and_fakes, method, path, body, named
):
    app, host, metrics, _ = app_and_fakes
    answer = call(app, method, path, body)
    assert answer.status == 400
    assert answer.headers['Content-Type'] == 'application/problem+json'
    assert answer.json['code'] == 'bad-input'
    assert named in answer.json['detail'] + answer.json['remedy']
    assert host.envelopes == []
    assert metrics.total('input_errors_total') == 1


@pytest.mark.parametrize('token', ['', 'emi-token-012345678', 'x'])
def test_token_is_required(app_and_fakes, token):
    answer = call(app_and_fakes[0], 'GET', '/v1/status', token=token)
    assert (answer.status, answer.json['code']) == (403, 'forbidden')


@pytest.mark.parametrize(
    ('path', 'status'),
    [('/v1/unknown', 404), ('/v2', 404), ('/v1/data-centres/x/up', 404)],
)
def test_unknown_path_is_a_problem(app_and_fakes, path, status):
    method = 'POST' if path.endswith('/up') else 'GET'
    answer = call(app_and_fakes[0], method, path)
    assert (answer.status, answer.json['code']) == (status, 'not-found')


def test_wrong_method_and_large_body_are_problems(app_and_fakes):
    app = app_and_fakes[0]
    assert call(app, 'PATCH', '/v1/status').json['code'] == 'not-found'
    large = call(app, 'PUT', '/v1/profiles/p', b' ' * 1_100_000)
    assert (large.status, large.json['code']) == (413, 'too-large')


def test_equal_numbers_race_to_one_winner(app_and_fakes):
    app = app_and_fakes[0]
    path = '/v1/profiles/booking'
    call(app, 'PUT', path, PROFILE)
    first = call(app, 'PUT', path, {'weight': 2}, if_match='"1"')
    second = call(app, 'PUT', path, {'weight': 3}, JUN, if_match='"1"')
    assert (first.status, second.status) == (200, 409)
    assert second.json['winner'] == 'emi'
    assert second.json['revision'] == 2
    absent = call(app, 'PUT', path, {}, if_none_match='*')
    assert absent.status == 409


def test_resend_gets_the_first_outcome_and_applies_once(app_and_fakes):
    app, host, _, _ = app_and_fakes
    path = '/v1/organisations/lender-1'
    sent = [
        call(app, 'PUT', path, ORGANISATION, request_id='r-1')
        for _ in range(3)
    ]
    assert [answer.json['revision'] for answer in sent] == [1, 1, 1]
    assert host.view.state.revision == 1
    other = call(app, 'PUT', path, ORGANISATION, JUN, request_id='r-1')
    assert other.json['revision'] == 2


def test_key_is_granted_by_digest_and_shown_by_handle_only(app_and_fakes):
    app, host, _, _ = app_and_fakes
    call(app, 'PUT', '/v1/organisations/lender-1', ORGANISATION)
    path = '/v1/organisations/lender-1/keys'
    body = {'key_id': 'k1', 'digest': 'a' * 64}
    assert call(app, 'POST', path, body).status == 200
    assert host.view.has_key('a' * 64)
    read = call(app, 'GET', '/v1/organisations/lender-1')
    assert read.json['item']['keys'] == ['k1']
    assert b'a' * 64 not in read.body
    assert call(app, 'GET', path).json['items'] == ['k1']
    assert call(app, 'DELETE', path + '/k1').status == 200
    assert not host.view.has_key('a' * 64)
    assert call(app, 'DELETE', path + '/k1').status == 404


def test_data_centre_and_backend_actions(app_and_fakes):
    app, host, _, _ = app_and_fakes
    host.put('data_centre', DataCentre(name='obihiro', region='doto'))
    host.put(
        'backend',
        Backend(
            name='n1',
            instance='i1',
            data_centre='obihiro',
            peer_address='127.0.0.1:7401',
        ),
    )
    for path, kind, field, value in (
        ('/v1/data-centres/obihiro/out', 'data_centre', 'out', True),
        ('/v1/data-centres/obihiro/in', 'data_centre', 'out', False),
        ('/v1/backends/n1/drain', 'backend', 'held_out', True),
        ('/v1/backends/n1/return', 'backend', 'held_out', False),
    ):
        assert call(app, 'POST', path).status == 200
        resource = host.view.state.get(kind, path.split('/')[3])
        assert getattr(resource, field) is value
    assert host.view.state.get('data_centre', 'obihiro').region == 'doto'
    answer = call(app, 'POST', '/v1/data-centres/nowhere/out')
    assert answer.status == 404


def test_order_that_empties_a_service_is_answered_with_its_name(
    app_and_fakes,
):
    app, host, _, _ = app_and_fakes
    host.put('data_centre', DataCentre(name='obihiro', region='doto'))
    host.put(
        'backend',
        Backend(
            name='n1',
            instance='i1',
            data_centre='obihiro',
            peer_address='127.0.0.1:7401',
            service='ledger',
        ),
    )
    for path in ('/v1/data-centres/obihiro/out', '/v1/backends/n1/drain'):
        checked = call(app, 'POST', f'{path}?unless_emptying=1')
        assert (checked.status, checked.json['code']) == (409, 'would-empty')
        assert 'ledger' in checked.json['detail']
        emptied = call(app, 'POST', path).json['emptied_services']
        assert emptied == ['ledger']
        again = call(app, 'POST', f'{path}?unless_emptying=1')
        assert (again.status, again.json['emptied_services']) == (
            200,
            ['ledger'],
        )
        back = path.replace('/out', '/in').replace('/drain', '/return')
        assert call(app, 'POST', back).status == 200


def test_fresh_read_is_refused_without_recent_proof(tmp_path):
    now = [0]
    app, *_ = make_app(tmp_path, FakeControlHost(now_ms=lambda: now[0]))
    now[0] = 5_001
    answer = call(app, 'GET', '/v1/profiles?fresh=1')
    assert (answer.status, answer.json['code']) == (503, 'stale-state')
    stale = call(app, 'GET', '/v1/profiles')
    assert (stale.status, stale.json['age_ms']) == (200, 5_001)


def test_watchers_name_those_who_lag(app_and_fakes):
    app, host, _, _ = app_and_fakes
    host.watching = [Watcher('n1', 'i', 7, 10), Watcher('n2', 'i', 6, 10)]
    answer = call(app, 'GET', '/v1/watchers?revision=7').json
    assert answer['lagging'] == ['n2']


def test_status_shows_loads_and_what_is_out(app_and_fakes):
    app, host, _, telemetry = app_and_fakes
    host.put('data_centre', DataCentre(name='obihiro', out=True))
    load = LoadReport('plan-office', limit=4, cold=True, rate_per_s=2.5)
    telemetry.receive('n1', 'i', NodeTelemetry(lambda: load).take())
    status = call(app, 'GET', '/v1/status').json
    assert status['control_host']['name'] == 'c1'
    assert status['loads']['n1']['cold'] is True
    assert status['loads']['n1']['rate_per_s'] == 2.5
    assert status['loads']['n1']['success_ratio'] == 1.0
    assert status['data_centres_out'] == ['obihiro']


def test_burn_and_history_and_snapshot(app_and_fakes):
    app, host, _, telemetry = app_and_fakes
    recorder = BurnRecorder()
    recorder.record('s', 'p', 'o', False, 'overloaded')
    telemetry.burn.add('n1', recorder.take_delta())
    burn = call(app, 'GET', '/v1/burn').json['burn']
    assert burn['windows'][0]['tallies'] == [['s', 'p', 'o', 'overloaded', 1]]
    call(app, 'PUT', '/v1/profiles/booking', PROFILE)
    (line,) = call(app, 'GET', '/v1/history?limit=5').json['items']
    assert line['operator'] == 'emi'
    snapshot = decode_snapshot(call(app, 'GET', '/v1/snapshot').body)
    assert [item.name for item in snapshot.resources['profile']] == ['booking']


def test_fault_in_a_handler_is_a_problem_without_details(app_and_fakes):
    app, host, _, _ = app_and_fakes
    lines = []
    configure_logs(sink=lines.append)
    host.history = lambda limit: 1 / 0
    answer = call(app, 'GET', '/v1/history')
    configure_logs()
    assert 'ZeroDivisionError' in lines[0]
    assert (answer.status, answer.json['code']) == (500, 'internal')
    assert b'division' not in answer.body


def test_token_file_is_read_again_and_a_bad_one_changes_nothing(tmp_path):
    app, *_ = make_app(tmp_path)
    path = tmp_path / 'tokens'
    path.write_text('emi another-token-0123456789  # new\n')
    assert call(app, 'GET', '/v1/status').status == 403
    fresh = call(app, 'GET', '/v1/status', token='another-token-0123456789')
    assert fresh.status == 200
    path.write_text('emi short\n')
    again = call(app, 'GET', '/v1/status', token='another-token-0123456789')
    assert again.status == 200


def test_follower_answers_a_write_once_it_can_read_it(app_and_fakes):
    app, host, _, _ = app_and_fakes
    written = []
    host.propose = lambda envelope: Outcome(revision=1)
    job = gevent.spawn(
        lambda: written.append(call(app, 'PUT', '/v1/profiles/p', {}))
    )
    gevent.sleep(0.05)
    assert written == []
    host.view.apply(1, 1, [])
    job.join(2)
    assert written[0].status == 200


def test_problem_of_every_kind_is_encodable(app_and_fakes):
    assert msgspec.json.decode(call(app_and_fakes[0], 'GET', '/x').body)[
        'remedy'
    ]
