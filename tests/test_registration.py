import gevent
import pytest

from damasklanding.clock import monotonic_ms
from damasklanding.fleet.resources import Backend
from damasklanding.logs import configure_logs
from damasklanding.node.registration import ANNOUNCE_LEASE_MS
from damasklanding.node.registration import Announcement
from damasklanding.node.registration import Registration
from damasklanding.node.view import FleetView

OWN = Backend(
    name='n1',
    instance='run-1',
    data_centre='kushiro',
    peer_address='127.0.0.1:7400',
)


@pytest.fixture
def lines():
    written = []
    configure_logs('info', False, sink=written.append)
    yield written
    configure_logs()


def test_reason_why_a_node_asks_for_no_work_is_logged_on_change(lines):
    skipped_ms = [0.0]
    registration = Registration(
        OWN,
        FleetView(),
        lambda payload, timeout_ms: None,
        lambda: monotonic_ms() + skipped_ms[0],
    )
    registration.start()
    gevent.sleep(0.01)
    for state in ('in', 'in', 'draining', 'in'):
        registration.announce(Announcement('desk', state))
        gevent.sleep(0.01)
    skipped_ms[0] = ANNOUNCE_LEASE_MS + 1
    registration.leave()
    gevent.sleep(0.01)
    registration.stop()
    told = [line.split('registration: ')[1].strip() for line in lines]
    assert told == [
        'in',
        'the backend server drains',
        'in',
        'this node stops',
    ]


def test_silent_backend_server_is_given_as_the_reason(lines):
    now_ms = [0.0]
    registration = Registration(
        OWN, FleetView(), lambda payload, timeout_ms: None, lambda: now_ms[0]
    )
    registration.announce(Announcement('desk'))
    now_ms[0] = ANNOUNCE_LEASE_MS + 1
    registration.start()
    gevent.sleep(0.01)
    registration.stop()
    assert registration.wanted().state == 'draining'
    assert f'no announcement for over {ANNOUNCE_LEASE_MS} ms' in lines[0]
