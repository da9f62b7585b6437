import json

import pytest

from damasklanding.errors import Unavailable
from damasklanding.metrics import Metrics
from damasklanding.operations import operations_app


def call(app, path, method='GET'):
    seen = []
    environ = {'REQUEST_METHOD': method, 'PATH_INFO': path}
    body = b''.join(app(environ, lambda *answer: seen.extend(answer)))
    return int(seen[0].split()[0]), dict(seen[1]), body


def make(problem='', status=dict):
    metrics = Metrics()
    metrics.add('link_events_total', 'opened')
    metrics.set('configuration_revision', 7)
    return operations_app(metrics, lambda: problem, status)


def test_metrics_are_in_the_exposition_format():
    status, headers, body = call(make(), '/metrics')
    assert status == 200
    assert headers['Content-Type'].startswith('text/plain')
    assert b'damasklanding_link_events_total{event="opened"} 1' in body
    assert b'damasklanding_configuration_revision 7' in body


@pytest.mark.parametrize(('problem', 'status'), [('', 200), ('stale', 503)])
def test_health(problem, status):
    found, _, body = call(make(problem), '/health')
    assert (found, json.loads(body).get('problem', '')) == (status, problem)


def test_status_and_its_failure():
    assert call(make(status=lambda: {'a': 1}), '/status')[2] == b'{"a":1}'

    def broken():
        raise Unavailable('not yet')

    status, _, body = call(make(status=broken), '/status')
    assert (status, json.loads(body)['code']) == (503, 'unavailable')


@pytest.mark.parametrize(
    ('path', 'method', 'status'),
    [('/', 'GET', 404), ('/health', 'POST', 405), ('/health', 'HEAD', 200)],
)
def test_other_requests(path, method, status):
    found, headers, body = call(make(), path, method)
    assert found == status
    assert headers['Content-Length'] != '0'
    assert (body == b'') == (method == 'HEAD')
