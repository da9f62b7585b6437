import json
import signal
import time

from platform_fleet import KEY
from platform_fleet import document
from platform_fleet import eventually
from platform_fleet import platform_fleet
from platform_fleet import rule
import pytest


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    with platform_fleet(tmp_path_factory.mktemp('fleet')) as made:
        yield made


def test_request_reaches_the_backend_server_as_it_should(fleet):
    backend = fleet.backends[1]
    backend.requests.clear()
    status, headers, body = fleet.request(0, '/once/2?a=b', request_id='77')
    assert (status, body) == (200, b'whole')
    assert headers['damasklanding-server-signature'] == 's.1'
    (head,) = backend.requests
    assert head['line'] == 'GET /once/2?a=b HTTP/1.1'
    assert head['host'] == 'h.example'
    assert head['damasklanding-attempt-id'] == '77'
    assert head['damasklanding-tenant'] == 'lender'
    assert head['damasklanding-caller-service'] == 'desk'
    assert head['damasklanding-expected-instance'] == 'i-1'
    assert 0 < int(head['damasklanding-deadline-ms']) <= 2_000
    assert KEY not in str(head)


def test_keys_and_routes_decide_who_is_served(fleet):
    assert fleet.request(0, '/desk/1', key='wrong')[0] == 401
    assert fleet.request(0, '/desk/1', key='')[0] == 401
    assert fleet.request(0, '/inner/1', key='')[0] == 200
    assert fleet.request(0, '/nowhere/1')[0] == 404


def test_changes_are_acknowledged_again_and_races_have_one_winner(fleet):
    first = document(5, 1, [rule('r-9', '/new/', 'desk')])
    assert fleet.operator('PUT', '/config', first)[0] == 200
    assert fleet.operator('PUT', '/config', first, number=1)[0] == 200
    assert fleet.operator('PUT', '/config', document(6, 1), 2)[0] == 412
    invalid = document(7, 5, [rule('r-8', '/bad/', 'no-such')])
    assert fleet.operator('PUT', '/config', invalid)[0] == 400
    eventually(lambda: fleet.request(0, '/new/1')[0] == 200, 2)


def test_every_control_host_reads_what_was_put_at_once(fleet):
    change = document(9, 5, [rule('r-9', '/new/', 'desk')])
    assert fleet.operator('PUT', '/config', change)[0] == 200
    assert fleet.operator('PUT', '/config', change, number=1)[0] == 200
    for number in range(3):
        status, _, body = fleet.operator('GET', '/config', number=number)
        assert status == 200, body
        assert b'"version": "00000009"' in body
        assert b'/new/' in body


def test_evacuated_data_centre_gets_nothing_until_it_returns(fleet):
    for number in (0, 1):  # the second one sends the same order again
        status, _, body = fleet.operator(
            'POST', '/evacuation/kushiro', number=number
        )
        emptied = json.loads(body)['emptiedServices']
        assert (status, emptied) == (200, ['desk', 'ledger'])
    eventually(lambda: fleet.request(0, '/desk/1')[0] == 503, 5)
    assert fleet.operator('DELETE', '/evacuation/kushiro')[0] == 200
    fleet.announce(0)
    eventually(lambda: fleet.request(0, '/desk/1')[0] == 200, 5)


def test_draining_backend_server_gets_nothing_from_its_answer_on(fleet):
    assert fleet.announce(0, 'draining') == 200
    fleet.backends[0].requests.clear()
    status, headers, _ = fleet.request(1, '/desk/1')
    assert status == 503
    assert not fleet.backends[0].requests
    assert float(headers.get('retry-after', '0.1')) > 0
    assert fleet.announce(0) == 200
    eventually(lambda: fleet.request(1, '/desk/1')[0] == 200, 5)


def test_unchanged_announcement_ends_a_pause_after_a_refused_connection(
    fleet,
):
    fleet.backends[0].stop()
    eventually(lambda: fleet.request(1, '/desk/1')[0] == 503, 5)
    fleet.backends[0].start()
    assert fleet.announce(0) == 200
    eventually(lambda: fleet.request(1, '/desk/1')[0] == 200, 2)


def test_every_node_serves_every_service_after_all_processes_were_killed(
    fleet,
):
    fleet.kill_all()
    killed_s = time.monotonic()
    for number in (0, 1):
        eventually(lambda number=number: fleet.announce(number) == 200)
    for number in (0, 1):
        for path in ('/desk/1', '/once/1'):
            eventually(
                lambda number=number, path=path: (
                    fleet.request(number, path)[0] == 200
                )
            )
    assert time.monotonic() - killed_s < 15


def test_changed_settings_end_no_process(fleet):
    for process in fleet.processes.values():
        process.send_signal(signal.SIGHUP)
    assert fleet.request(0, '/desk/1')[0] == 200
    assert all(p.poll() is None for p in fleet.processes.values())


def test_planned_stop_cuts_nothing_and_no_key_is_logged(fleet):
    ip = fleet.nodes[1]
    for control in fleet.control[:2]:
        # Without a quorum a node can neither hand over its shards nor
        # deregister.
        fleet.processes[control].send_signal(signal.SIGSTOP)
    started_s = time.monotonic()
    fleet.processes[ip].send_signal(signal.SIGTERM)
    eventually(lambda: fleet.ready(1) != 200, 2)
    status, _, body = fleet.request(1, '/desk/1')
    assert (status, body) == (200, b'whole')
    assert fleet.processes[ip].wait(10) == 0
    assert time.monotonic() - started_s < fleet.grace_s + 2
    logs = fleet.logs()
    assert KEY.encode() not in logs
    assert b'"request_id":"9c41"' in logs
    assert b'key-refused' in logs
