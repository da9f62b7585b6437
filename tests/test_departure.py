from hypothesis import given
from hypothesis import strategies as st
import pytest

from damasklanding.node.departure import END_MARGIN_MS
from damasklanding.node.departure import ENDING
from damasklanding.node.departure import GONE
from damasklanding.node.departure import KEPT
from damasklanding.node.departure import LAST_CALLS_MS
from damasklanding.node.departure import Departure
from damasklanding.node.departure import LeaveBounds

BOUNDS = LeaveBounds(
    confirm_ms=4_000, drain_ms=2_000, report_interval_ms=1_500
)


class Server:
    """A departure on a clock of its own."""

    def __init__(self, bounds=BOUNDS, may_wait=True):
        self.now_ms = 10_000.0
        self.is_last = True
        self.departure = Departure(
            bounds, lambda: self.is_last, lambda: self.now_ms, may_wait
        )

    def report_every(self, interval_ms):
        """Report until the departure is confirmed; return how long it took."""
        started_ms = self.now_ms
        while not self.departure.confirm():
            assert self.departure.stage() == KEPT
            self.now_ms += interval_ms
        return self.now_ms - started_ms


@pytest.mark.parametrize('interval_ms', (100, 450, 700, 1_000, 1_500, 1_900))
def test_last_server_is_kept_and_confirmed_within_the_bound(interval_ms):
    server = Server()
    waited_ms = server.report_every(interval_ms)
    assert BOUNDS.report_interval_ms <= waited_ms <= BOUNDS.confirm_ms
    assert server.departure.stage() == KEPT


def test_confirmed_server_is_used_until_shortly_before_it_may_exit():
    server = Server()
    server.report_every(500)
    confirmed_ms = server.now_ms
    stages = []
    while server.departure.stage() != GONE:
        if stages[-1:] != [server.departure.stage()]:
            stages.append(server.departure.stage())
        server.now_ms += 10
    used_ms = server.now_ms - confirmed_ms
    assert stages == [KEPT, ENDING]
    assert used_ms <= BOUNDS.drain_ms - END_MARGIN_MS + 10
    assert used_ms > LAST_CALLS_MS


def test_replaceable_server_is_confirmed_at_once():
    server = Server()
    server.is_last = False
    assert server.departure.confirm()
    assert server.departure.stage() == GONE


def test_wait_ends_as_soon_as_another_server_is_usable():
    server = Server()
    assert not server.departure.confirm()
    server.now_ms += 300
    server.is_last = False
    assert server.departure.stage() == GONE
    assert server.departure.confirm()


def test_servers_that_left_at_the_same_moment_are_used_until_they_exit():
    server = Server()
    server.is_last = False
    assert server.departure.confirm()
    server.now_ms += 100
    server.is_last = True
    assert server.departure.stage() == KEPT
    server.now_ms += BOUNDS.drain_ms - END_MARGIN_MS
    assert server.departure.stage() == GONE


def test_departure_that_began_before_this_process_is_confirmed_at_once():
    server = Server(may_wait=False)
    assert server.departure.confirm()
    assert server.departure.stage() == GONE


def test_departure_without_a_bound_is_confirmed_at_once():
    server = Server(LeaveBounds())
    assert server.departure.confirm()
    assert server.departure.stage() == GONE


def test_server_that_reports_no_more_is_given_up_after_the_bound():
    server = Server()
    assert not server.departure.confirm()
    server.now_ms += BOUNDS.confirm_ms
    assert server.departure.stage() == GONE
    assert server.departure.confirm()
    assert server.departure.stage() == GONE


def test_server_that_exits_is_not_used_any_more():
    server = Server()
    assert not server.departure.confirm()
    server.departure.end()
    assert server.departure.stage() == GONE
    assert server.departure.confirm()


STEPS = st.lists(
    st.sampled_from(('confirm', 'end', 'last', 10, 500, 1_500, 3_000)),
    max_size=20,
)


@given(STEPS)
def test_questions_about_a_departure_change_nothing(steps):
    asked, unasked = Server(), Server()
    for step in steps:
        asked.departure.stage()
        asked.departure.is_over()
        asked.departure.is_confirmed()
        asked.departure.left_ms()
        for server in (asked, unasked):
            if step == 'last':
                server.is_last = not server.is_last
            elif isinstance(step, int):
                server.now_ms += step
        if step in ('confirm', 'end'):
            answers = [
                getattr(server.departure, step)()
                for server in (asked, unasked)
            ]
            assert answers[0] == answers[1]
    assert asked.departure.stage() == unasked.departure.stage()
    assert asked.departure.left_ms() == unasked.departure.left_ms()
