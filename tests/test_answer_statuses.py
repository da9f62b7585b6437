"""Answers of backend servers whose status is none of HTTP's."""

from platform_fleet import eventually
from platform_fleet import platform_fleet
import pytest


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    with platform_fleet(tmp_path_factory.mktemp('fleet')) as made:
        yield made


@pytest.mark.parametrize('line', ['000 Broken', '099 Low', '600 High'])
@pytest.mark.parametrize('path', ['/desk/1', '/once/1'])
@pytest.mark.parametrize('number', [0, 1])
def test_status_that_is_no_status_never_reaches_a_caller(
    fleet, number, path, line
):
    for backend in fleet.backends:
        backend.requests.clear()
        backend.work = lambda head: line
    status, headers, body = fleet.request(number, path)
    assert any(backend.requests for backend in fleet.backends)
    assert status == 502
    assert 'damasklanding-server-signature' not in headers
    assert b'whole' not in body
    for backend in fleet.backends:
        backend.work = lambda head: None
    eventually(lambda: fleet.request(number, path)[0] == 200)
