"""Lines about changes of the configuration that a process holds."""

from functools import partial
import json

import gevent
from platform_fleet import document
from platform_fleet import eventually
from platform_fleet import platform_fleet
import pytest

from damasklanding.fleet.configurations import CONFIGURATION_NAME
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import Configuration
from damasklanding.fleet.resources import DataCentre
from damasklanding.logs import CappedLog
from damasklanding.logs import configure_logs
from damasklanding.metrics import Metrics
from damasklanding.node.view import FleetView
from damasklanding.viewlog import ViewLog


def backend(name='k6', **fields):
    values = {
        'service': 'ledger',
        'data_centre': 'kushiro',
        'instance': 'run-1',
        'peer_address': '127.0.0.1:7400',
        'start': 'i-1@1000',
    }
    return Backend(name=name, **values | fields)


def put(kind, resource):
    return Change.put(kind, resource)


class Held:
    """A view with a clock, and the lines written about it."""

    def __init__(self, lines):
        self.lines = lines
        self.now_ms = 10_000.0
        self.view = FleetView(lambda: self.now_ms)
        self.metrics = Metrics()
        self.revision = 0
        self.view_log = ViewLog(self.view, self.metrics)

    def apply(self, *changes):
        del self.lines[:]
        self.revision += 1
        self.view.apply(3, self.revision, list(changes))
        return list(self.lines)

    def put(self, kind, resource):
        return self.apply(put(kind, resource))

    def set_out(self, out, revision=7):
        resource = DataCentre(name='kushiro', out=out, revision=revision)
        return self.put('data_centre', resource)


@pytest.fixture
def lines():
    written = []
    configure_logs('info', False, sink=written.append)
    yield written
    configure_logs()


@pytest.fixture
def held(lines):
    return Held(lines)


def only(lines, part):
    (line,) = [line for line in lines if part in line]
    return line


def test_order_to_evacuate_is_logged_with_its_revision_and_age(held):
    held.view.confirm(9_965.0)
    line = only(held.set_out(True), 'data centre kushiro')
    assert 'out of service since revision 7' in line
    assert '[term 3, revision 1, confirmed 35 ms ago]' in line


def test_order_that_is_taken_back_is_logged(held):
    held.set_out(True)
    assert only(held.set_out(False), 'kushiro is in service again')
    assert not held.set_out(False)


def test_backend_server_is_logged_when_it_comes_drains_and_leaves(held):
    came = held.put('backend', backend())
    assert only(came, 'k6 of ledger in kushiro is in')
    drained = held.put('backend', backend(state='draining'))
    assert only(drained, 'is draining, start i-1@1000, node run-1')
    left = held.apply(Change('backend', 'k6'))
    assert only(left, 'k6 of ledger in kushiro has left')


def test_new_start_of_a_backend_server_is_logged(held):
    held.put('backend', backend())
    assert only(held.put('backend', backend(start='i-1@2000')), 'i-1@2000')


def test_registration_that_says_the_same_is_not_logged(held):
    held.put('backend', backend())
    assert not held.put('backend', backend(revision=9, slots=4))


def test_version_that_comes_into_force_is_logged_once(held):
    resource = Configuration(name=CONFIGURATION_NAME, version=81)
    lines = held.put('configuration', resource)
    lines += held.put('configuration', resource)
    assert only(lines, 'version 81 is in force')


def test_snapshot_that_brings_the_same_again_logs_nothing(held):
    held.put('backend', backend())
    held.set_out(True)
    del held.lines[:]
    held.view.replace(3, 50, held.view.state.snapshot())
    assert not held.lines


def test_process_that_starts_with_an_order_logs_it(lines):
    view = FleetView(lambda: 0.0)
    resource = DataCentre(name='kushiro', out=True, revision=7)
    view.apply(3, 9, [put('data_centre', resource)])
    ViewLog(view)
    assert 'never confirmed' in only(lines, 'since revision 7')


def test_order_that_takes_the_last_server_names_the_service(held):
    held.put('backend', backend())
    line = only(held.set_out(True), 'service ledger')
    assert 'has no backend server that may be used' in line
    assert 'k6: kushiro is out of service since revision 7' in line
    assert held.metrics.value('services_without_server') == 1
    assert list(held.view_log.empty_services()) == ['ledger']
    assert only(held.set_out(False), 'ledger has a backend server again')
    assert held.metrics.value('services_without_server') == 0
    assert not held.view_log.empty_services()


def test_departure_of_the_last_server_names_the_service(held):
    held.put('backend', backend('k6'))
    held.put('backend', backend('o6', data_centre='obihiro'))
    assert not [s for s in held.set_out(True) if 'service ledger' in s]
    changed = backend('o6', data_centre='obihiro', state='draining')
    line = only(held.put('backend', changed), 'service ledger')
    assert 'k6: kushiro is out of service since revision 7' in line
    assert 'o6: it is draining' in line


def test_many_changes_at_once_write_few_lines(held):
    changes = [put('backend', backend(f'n{i}')) for i in range(500)]
    lines = held.apply(*changes)
    written = [line for line in lines if 'backend server n' in line]
    assert len(written) == CappedLog.LINES_PER_S
    held.view_log._log.summarise()
    left_out = 500 - CappedLog.LINES_PER_S
    assert f'{left_out} more lines' in held.lines[-1]


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet(tmp_path) as made:
        announcing = gevent.spawn(made.announce_often)
        yield made
        announcing.kill()


def each_has_written(fleet, processes, *parts):
    return all(
        any(all(map(line.__contains__, parts)) for line in lines)
        for lines in (fleet.log_of(ip).splitlines() for ip in processes)
    )


def test_one_process_alone_shows_why_a_service_has_no_usable_server(fleet):
    ledger = fleet.nodes[1]
    # A node that has just started follows no service yet.
    followers = [*fleet.control, ledger]
    by_each = partial(each_has_written, fleet, fleet.control + fleet.nodes)
    by_followers = partial(each_has_written, fleet, followers)
    assert fleet.operator('PUT', '/config', document(2, 1))[0] == 200
    eventually(lambda: by_each('configuration version 2 is in force'), 5)
    assert fleet.operator('POST', '/evacuation/kushiro')[0] == 200
    why = 'kushiro is out of service since revision'
    eventually(lambda: by_each(f'data centre {why}', 'confirmed'), 5)
    text = 'service ledger has no backend server that may be used'
    eventually(lambda: by_each(text, f'n1: {why}'), 5)
    before = fleet.log_of(ledger).count(f'data centre {why}')
    fleet.kill_all()
    eventually(
        lambda: fleet.log_of(ledger).count(f'data centre {why}') > before
    )
    path = '/evacuation/kushiro'
    eventually(lambda: fleet.operator('DELETE', path)[0] == 200)
    eventually(lambda: by_each('data centre kushiro is in service again'), 5)
    text = 'service ledger has a backend server again'
    eventually(lambda: by_followers(text), 5)
    fleet.backends[1].stop()
    status, body = fleet.send_announcement(1, 'draining')
    assert (status, json.loads(body)) == (200, {'emptiedServices': ['ledger']})
    text = 'backend server n1 of ledger'
    eventually(lambda: by_followers(text, 'is draining'), 5)
    assert 'backend server is draining: report' in fleet.log_of(ledger)
