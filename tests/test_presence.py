import contextlib
import dataclasses

import gevent
import pytest

from damasklanding.errors import BadInput
from damasklanding.errors import DepartureDeferred
from damasklanding.logs import CappedLog
from damasklanding.logs import configure_logs
from damasklanding.node.departure import LeaveBounds
from damasklanding.node.presence import BackendPresence
from damasklanding.node.presence import BackendReport

REPORT = BackendReport(
    instance='i-1',
    address='10.0.0.1:80',
    service='desk',
    in_service=True,
    slots=70,
    cold_for_ms=0,
    started_at_ms=1_000,
    sequence=4,
)


@pytest.fixture()
def announced():
    return []


@pytest.fixture()
def presence(announced):
    return BackendPresence('10.0.0.1:80', announced.append)


def but(**changes):
    return dataclasses.replace(REPORT, **changes)


def test_report_is_announced(presence, announced):
    presence.handle_report(but(cold_for_ms=1_500))
    (announcement,) = announced
    assert announcement.service == 'desk'
    assert announcement.state == 'in'
    assert announcement.cold
    assert announcement.cold_for_ms == 1_500
    assert announcement.instance == 'i-1'
    assert announcement.slots == 70


def test_late_report_of_the_same_start_changes_nothing(presence, announced):
    presence.handle_report(but(in_service=False, sequence=5))
    presence.handle_report(REPORT)
    assert [a.state for a in announced] == ['draining']


def test_late_report_of_an_earlier_start_changes_nothing(presence, announced):
    presence.handle_report(
        but(instance='i-2', started_at_ms=2_000, sequence=1)
    )
    presence.handle_report(but(sequence=99))
    assert [a.instance for a in announced] == ['i-2']


def test_new_start_under_the_same_id_counts_anew(presence, announced):
    presence.handle_report(but(sequence=9))
    presence.record_departure('i-1')
    presence.handle_report(but(started_at_ms=2_000, sequence=1))
    assert [a.state for a in announced] == ['in', 'draining', 'in']


def test_one_that_left_does_not_come_back_by_a_late_report(
    presence, announced
):
    presence.handle_report(REPORT)
    presence.record_departure('i-1')
    presence.handle_report(but(sequence=5))
    assert [a.state for a in announced] == ['in', 'draining']


def test_departure_of_another_start_changes_nothing(presence, announced):
    presence.handle_report(but(instance='i-2', started_at_ms=2_000))
    presence.record_departure('i-1')
    presence.record_departure('i-2', started_at_ms=1_000)
    assert [a.state for a in announced] == ['in']


def test_other_address_is_refused(presence, announced):
    with pytest.raises(BadInput):
        presence.handle_report(but(address='10.0.0.9:80'))
    assert not announced


def test_no_run_of_wrong_numbers_shuts_the_true_reports_out(
    presence, announced
):
    runs = [
        (2**31, 2**32),
        (2**31, 2**31 + 1, 2**31 + 2),
        (10**6, 10**7, 10**8, 10**8 + 1),
        (5_000, 5_050, 5_100, 2**40),
    ]
    sequence = 4
    presence.handle_report(REPORT)
    for wrong in runs:
        for number in wrong:
            report = but(in_service=False, sequence=number)
            with contextlib.suppress(BadInput):
                presence.handle_report(report)
        for _ in range(2):
            sequence += 1
            with contextlib.suppress(BadInput):
                presence.handle_report(but(sequence=sequence))
        assert announced[-1].state == 'in', wrong


def test_wrong_reports_between_the_true_ones_keep_none_out(
    presence, announced
):
    presence.handle_report(REPORT)
    for number in (2**31, 2**31 + 1):
        with contextlib.suppress(BadInput):
            presence.handle_report(but(in_service=False, sequence=number))
    for step in (1, 2):
        with contextlib.suppress(BadInput):
            presence.handle_report(but(sequence=2**50 * step))
        presence.handle_report(but(sequence=4 + step))
    assert announced[-1].state == 'in'


def test_late_reports_do_not_take_a_leave_back(presence, announced):
    presence.handle_report(but(sequence=90))
    presence.handle_report(but(in_service=False, sequence=91))
    for sequence in (85, 86, 87, 88, 89, 90):
        presence.handle_report(but(sequence=sequence))
    assert announced[-1].state == 'draining'


def test_numbers_of_an_earlier_start_prove_nothing_about_a_later_one(
    presence, announced
):
    presence.handle_report(REPORT)
    with pytest.raises(BadInput):
        presence.handle_report(but(sequence=10**6))
    presence.handle_report(
        but(instance='i-2', started_at_ms=2_000, sequence=1)
    )
    with pytest.raises(BadInput):
        presence.handle_report(
            but(instance='i-2', started_at_ms=2_000, sequence=10**6 + 1)
        )
    assert len(announced) == 2


@pytest.fixture()
def lines():
    written = []
    configure_logs('info', False, sink=written.append)
    yield written
    configure_logs()


def test_state_of_a_start_is_logged_once_with_the_report_that_said_it(
    presence, lines
):
    presence.handle_report(but(cold_for_ms=1_500))
    presence.handle_report(but(cold_for_ms=500, sequence=5))
    presence.handle_report(but(sequence=6))
    presence.handle_report(but(in_service=False, sequence=7))
    states = [line.split('backend server ')[1] for line in lines]
    assert states == [
        'is in, cold: report 4 of i-1 (desk) started at 1000',
        'is in: report 6 of i-1 (desk) started at 1000',
        'is draining: report 7 of i-1 (desk) started at 1000',
    ]


def test_departure_is_logged_and_one_of_another_start_too(presence, lines):
    presence.handle_report(REPORT)
    presence.record_departure('i-9')
    presence.record_departure('i-1', 1_000)
    assert 'departure of i-9 started at 0 is ignored' in lines[1]
    assert 'the latest report is 4 of i-1 (desk)' in lines[1]
    assert 'is leaving: a departure of i-1' in lines[2]


def test_refused_report_is_logged_with_its_reason_and_the_latest(
    presence, lines
):
    presence.handle_report(REPORT)
    with contextlib.suppress(BadInput):
        presence.handle_report(but(sequence=9_000_000))
    assert 'report of 9000000 of i-1 (desk)' in lines[1]
    assert 'far ahead' in lines[1]
    assert 'the latest is 4 of i-1 (desk) started at 1000' in lines[1]


def test_run_of_refused_reports_writes_few_lines(presence, lines):
    presence.handle_report(REPORT)
    for sequence in range(1_000_000, 2_000_000_000, 1_000_000):
        with contextlib.suppress(BadInput):
            presence.handle_report(but(sequence=sequence))
    assert len(lines) <= 2 * CappedLog.LINES_PER_S


def test_departure_says_how_long_the_server_was_there_unused(lines, announced):
    clock = [5_000.0]
    presence = BackendPresence(
        '10.0.0.1:80', announced.append, now_ms=lambda: clock[0]
    )
    presence.handle_report(REPORT)
    presence.handle_report(but(in_service=False, sequence=5))
    clock[0] += 2_350
    presence.record_departure('i-1')
    assert 'draining' in lines[-2]
    assert '2350 ms after its report that it drains' in lines[-1]


BOUNDS = LeaveBounds(
    confirm_ms=4_000, drain_ms=2_000, report_interval_ms=1_500
)


class LastServer:
    """The last backend server of a service, on a clock of its own."""

    def __init__(self, announced):
        self.announced = announced
        self.now_ms = 10_000.0
        self.is_last = True
        self.presence = BackendPresence(
            '10.0.0.1:80',
            announced.append,
            now_ms=lambda: self.now_ms,
            bounds=BOUNDS,
            is_last=lambda: self.is_last,
        )
        self.presence.handle_report(REPORT)

    def state(self):
        latest = self.announced[-1]
        return latest.state, latest.departure

    def pass_ms(self, duration_ms):
        """Let time pass, and let the stages be followed."""
        self.now_ms += duration_ms
        gevent.sleep(0.12)

    def drain(self, sequence=5):
        """Report that it drains; return whether that is confirmed."""
        try:
            self.presence.handle_report(
                but(in_service=False, sequence=sequence)
            )
        except DepartureDeferred:
            return False
        return True

    def delete(self):
        try:
            self.presence.record_departure('i-1')
        except DepartureDeferred:
            return False
        return True


@pytest.fixture()
def last(announced):
    return LastServer(announced)


def test_last_server_stays_in_until_it_is_confirmed_and_for_a_while(last):
    assert not last.drain()
    assert last.state() == ('in', 'kept')
    last.pass_ms(2_500)
    assert last.drain(6)
    assert last.state() == ('in', 'kept')
    last.pass_ms(1_000)
    assert last.state() == ('in', 'ending')
    last.pass_ms(500)
    assert last.state() == ('draining', '')


def test_no_answer_confirms_a_departure_before_its_time(last):
    assert not last.drain(5)
    assert not last.drain(5)
    assert not last.drain(4)
    last.presence.handle_report(REPORT)
    assert last.state() == ('in', 'kept')


def test_last_server_that_sends_its_departure_first_is_kept_as_long(last):
    assert not last.delete()
    assert last.state() == ('in', 'kept')
    last.presence.handle_report(but(sequence=6))
    assert not last.drain(7)
    last.pass_ms(2_500)
    assert last.delete()
    assert last.state() == ('in', 'kept')
    last.pass_ms(1_600)
    assert last.state() == ('draining', '')


def test_last_server_that_exits_unconfirmed_gets_nothing_more(last):
    assert not last.drain()
    assert last.delete()
    assert last.state() == ('draining', '')


def test_departure_that_is_taken_back_leaves_nothing_behind(last):
    assert not last.drain(5)
    last.presence.handle_report(but(sequence=6))
    assert last.state() == ('in', '')
    last.pass_ms(5_000)
    assert last.state() == ('in', '')


def test_new_start_under_the_same_id_ends_the_departure(last):
    assert not last.drain(5)
    last.presence.handle_report(but(started_at_ms=2_000, sequence=1))
    assert last.state() == ('in', '')
    last.pass_ms(5_000)
    assert last.state() == ('in', '')


def test_stages_are_announced_once_each(last):
    assert not last.drain()
    for _ in range(3):
        last.pass_ms(10)
    assert [a.departure for a in last.announced] == ['', 'kept']


def test_usable_server_ends_the_wait_between_two_reports(last):
    assert not last.drain()
    last.is_last = False
    last.pass_ms(10)
    assert last.state() == ('draining', '')
    assert last.drain(6)


def test_kept_server_is_named_with_the_time_left(last):
    assert last.presence.kept_server() is None
    assert not last.drain()
    last.pass_ms(1_000)
    kept = last.presence.kept_server()
    assert (kept.service, kept.instance) == ('desk', 'i-1')
    assert not kept.is_confirmed
    assert kept.left_ms == 3_000
