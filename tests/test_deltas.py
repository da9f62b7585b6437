import msgspec
import pytest

from damasklanding.control.deltas import DeltaLog
from damasklanding.control.deltas import Interest
from damasklanding.errors import BadInput
from damasklanding.fleet.packing import pack_changes
from damasklanding.fleet.packing import unpack_changes
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import DataCentre
from damasklanding.messages import WatchDelta
from damasklanding.node.view import FleetView


def put_backend(name, service):
    return Change.put(
        'backend',
        Backend(
            name=name,
            instance='i',
            data_centre='dc',
            peer_address='127.0.0.1:9',
            service=service,
        ),
    )


def put_centre(name, out=False):
    return Change.put('data_centre', DataCentre(name=name, out=out))


class Log:
    """A view whose changes are kept in a log of deltas."""

    def __init__(self):
        self.view = FleetView()
        self.view.apply(1, 1, [put_centre('dc')])
        self.deltas = DeltaLog(self.view.state)
        self.view.subscribe(self.deltas.append)

    def apply(self, *changes):
        self.view.apply(1, self.view.state.revision + 1, list(changes))

    def since(self, revision, interest, compressed=False):
        sent = self.deltas.since(revision, interest, compressed)
        return unpack_changes(WatchDelta(*sent))


def test_only_the_last_write_of_a_resource_is_sent():
    log = Log()
    for number in range(6):
        log.apply(put_centre('dc-b', out=bool(number % 2)))
    log.apply(put_centre('dc-c'))
    changes = log.since(1, Interest('n'))
    assert [change.name for change in changes] == ['dc-b', 'dc-c']
    assert changes[0].resource().out


def test_write_after_a_removal_is_sent_and_a_removal_after_a_write():
    log = Log()
    log.apply(put_centre('dc-b'))
    log.apply(Change('data_centre', 'dc-b'), put_centre('dc-c'))
    log.apply(put_centre('dc-b'), Change('data_centre', 'dc-c'))
    view = FleetView()
    view.apply(1, 1, [put_centre('dc-c')])
    view.apply(1, 4, log.since(1, Interest('n')))
    assert list(view.state.all('data_centre')) == ['dc-b']


def test_watcher_hears_nothing_of_servers_of_other_services():
    log = Log()
    log.apply(put_backend('n1', 'stock'))
    log.apply(put_backend('n2', 'desk'))
    log.apply(Change('backend', 'n1'))
    desk = Interest('n', frozenset(('desk',)))
    assert [c.name for c in log.since(1, desk)] == ['n2']
    everything = Interest('n', all_services=True)
    assert [c.name for c in log.since(1, everything)] == ['n2', 'n1']


def test_watcher_is_told_that_a_server_left_its_service():
    log = Log()
    log.apply(put_backend('n1', 'desk'))
    log.apply(put_backend('n1', 'stock'), put_backend('n1', 'archive'))
    desk = Interest('n', frozenset(('desk',)))
    assert log.since(2, desk) == [Change('backend', 'n1')]
    log.apply(put_backend('n1', 'stock'))
    assert log.since(3, desk) == []
    assert log.since(1, desk) == [Change('backend', 'n1')]


def test_watcher_hears_of_its_own_registration():
    log = Log()
    log.apply(put_backend('n1', 'desk'), put_backend('n2', 'desk'))
    log.apply(Change('backend', 'n1'))
    assert log.since(1, Interest('n1')) == [Change('backend', 'n1')]
    assert log.since(1, Interest('n2')) == [put_backend('n2', 'desk')]


def test_revision_without_changes_is_passed_on():
    log = Log()
    log.apply()
    assert log.deltas.since(1, Interest('n'), False)[1] == 2
    assert log.deltas.since(2, Interest('n'), False) is None


def test_log_says_how_far_it_reaches_back():
    log = Log()
    log.apply(put_centre('dc-b'))
    assert log.deltas.reaches_back_to(1)
    assert not log.deltas.reaches_back_to(0)


def test_compression_saves_what_repeats():
    log = Log()
    log.apply(*(put_backend(f'n{number}', 'desk') for number in range(100)))
    interest = Interest('n', all_services=True)
    plain = log.deltas.since(1, interest, False)
    packed = log.deltas.since(1, interest, True)
    assert len(packed[2]) * 4 < len(plain[2])
    assert log.since(1, interest, True) == log.since(1, interest, False)


def test_cut_or_oversized_changes_are_refused(monkeypatch):
    data, compressed = pack_changes(
        [put_centre(f'd{n}') for n in range(99)], 1
    )
    assert compressed
    with pytest.raises(BadInput):
        unpack_changes(WatchDelta(1, 2, data[:-9], True))
    with pytest.raises(BadInput):
        unpack_changes(WatchDelta(1, 2, b'no zlib data', True))
    with pytest.raises(BadInput):
        unpack_changes(WatchDelta(1, 2, b'\xc1', False))
    monkeypatch.setattr('damasklanding.fleet.packing.MAX_CHANGES_BYTES', 64)
    with pytest.raises(BadInput):
        unpack_changes(WatchDelta(1, 2, data, True))


def test_plain_changes_of_an_older_process_are_read():
    changes = [put_centre('dc-b')]
    data = msgspec.msgpack.encode(changes)
    assert unpack_changes(WatchDelta(1, 2, data)) == changes
