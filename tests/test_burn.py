from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from damasklanding import burn
from damasklanding.burn import MAX_KEYS
from damasklanding.burn import BurnStore
from damasklanding.burn import burn_rate
from damasklanding.burn import judge
from damasklanding.burn import merge_reports
from damasklanding.metrics import Metrics
from damasklanding.policy.types import LoadReport
from damasklanding.tallies import MAX_DELTA_ROWS
from damasklanding.tallies import BurnRecorder
from damasklanding.tallies import Tally
from damasklanding.telemetry import FORGET_AFTER_MS
from damasklanding.telemetry import FleetTelemetry
from damasklanding.telemetry import NodeTelemetry


def decode(delta):
    return msgspec.msgpack.decode(delta, type=list[Tally]) if delta else []


def sums(store, window):
    report = store.report()
    return next(item for item in report.windows if item.window == window)


def counts(store, window):
    tallies = sums(store, window).tallies
    good = sum(tally.count for tally in tallies if not tally.reason)
    return good, sum(tally.count for tally in tallies) - good


ENDED = [
    ('ok', ('', 1)),
    ('late', ('late', 1)),
    ('failed', ('failed', 1)),
    ('overloaded', ('overloaded', 1)),
    ('stale-state', ('stale-state', 1)),
    ('over-rate', None),
    ('key-refused', None),
    ('not-found', None),
]


@pytest.mark.parametrize(('reason', 'expected'), ENDED)
def test_only_what_the_fleet_answers_for_burns(reason, expected):
    metrics = Metrics()
    telemetry = NodeTelemetry(metrics=metrics)
    metrics.add('requests_total', 's', 'p', 'o', 'ran', reason)
    metrics.add('requests_total', '', '', '', 'not-run', reason)
    delta = decode(telemetry.burn.take_delta())
    found = [(row.reason, row.count) for row in delta]
    assert found == ([expected] if expected else [])


ROWS = st.tuples(
    st.sampled_from(['s1', 's2', 's3', 's4']),
    st.sampled_from(['p1', 'p2']),
    st.integers(0, 60).map(str),
    st.sampled_from(['', 'overloaded', 'late', 'failed']),
)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(ROWS, max_size=400))
def test_delta_is_bounded_and_loses_no_count(rows):
    recorder = BurnRecorder()
    for service, profile, organisation, reason in rows:
        recorder.record(service, profile, organisation, not reason, reason)
    tallies = decode(recorder.take_delta())
    assert len(tallies) <= MAX_DELTA_ROWS
    assert sum(tally.count for tally in tallies) == len(rows)
    bad = sum(tally.count for tally in tallies if tally.reason)
    assert bad == sum(1 for row in rows if row[3])
    assert recorder.take_delta() == b''


def test_delta_of_hostile_width_is_bounded():
    recorder = BurnRecorder()
    for number in range(2_000):
        recorder.record(f's{number}', 'p', 'o', False, f'r{number}')
    tallies = decode(recorder.take_delta())
    assert len(tallies) <= MAX_DELTA_ROWS
    assert sum(tally.count for tally in tallies) == 2_000


@settings(derandomize=True, max_examples=25, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 400_000), st.booleans()), max_size=60)
)
def test_windows_match_a_plain_list(events):
    now = [0]
    store = BurnStore(lambda: now[0])
    seen = []
    for step_ms, good in events:
        now[0] += step_ms
        recorder = BurnRecorder()
        recorder.record('s', 'p', 'o', good, 'failed')
        store.add('n', recorder.take_delta())
        seen.append((now[0], good))
    for window in burn.WINDOWS:
        least = [good for at, good in seen if at > now[0] - window.span_ms]
        most = [
            good
            for at, good in seen
            if at > now[0] - window.span_ms - window.bucket_ms
        ]
        total = sum(counts(store, window.name))
        assert len(least) <= total <= len(most)


def test_store_is_bounded_under_many_names():
    store = BurnStore(lambda: 0)
    rows = [Tally(f's{n}', 'p', 'o', 'x', 1) for n in range(MAX_KEYS + 500)]
    store.add('n', msgspec.msgpack.encode(rows))
    tallies = sums(store, '5m').tallies
    assert len(tallies) == MAX_KEYS + 1
    assert sum(tally.count for tally in tallies) == MAX_KEYS + 500


@pytest.mark.parametrize('delta', [b'\xff', b'{', b'\x91\x91\x01', b'\xc0'])
def test_malformed_delta_is_counted_and_dropped(delta):
    store = BurnStore(lambda: 0)
    store.add('n', delta)
    store.add('n', msgspec.msgpack.encode([Tally('s', 'p', 'o', '', -5)]))
    assert store.malformed == 2
    assert counts(store, '5m') == (0, 0)


RATES = [(995, 5, 0.995, 1.0), (0, 0, 0.995, 0.0), (0, 10, 0.9, 10.0)]


@pytest.mark.parametrize(('good', 'bad', 'objective', 'rate'), RATES)
def test_burn_rate(good, bad, objective, rate):
    assert burn_rate(good, bad, objective) == pytest.approx(rate)


JUDGED = [
    ((20, 20, 20), 50, 'page'),
    ((20, 2, 2), 50, 'ok'),  # just begun: the long window has to agree
    ((0, 20, 20), 50, 'ticket'),  # over, yet much was spent
    ((1, 7, 7), 50, 'ticket'),
    ((1, 1, 1), 50, 'ok'),
    ((20, 20, 20), 2, 'ok'),  # too few requests to judge
]


@pytest.mark.parametrize(('rates', 'bad', 'judgement'), JUDGED)
def test_two_windows_judge_together(rates, bad, judgement):
    names = [window.name for window in burn.WINDOWS]
    rates = dict(zip(names, rates, strict=True))
    assert judge(rates, dict.fromkeys(names, bad)) == judgement


def test_merge_sums_hosts():
    stores = [BurnStore(lambda: 0) for _ in range(3)]
    for number, store in enumerate(stores, 1):
        row = Tally('s', 'p', 'o', 'late', number)
        store.add('n', msgspec.msgpack.encode([row]))
    merged = merge_reports([store.report() for store in stores])
    assert merged.windows[0].tallies == [Tally('s', 'p', 'o', 'late', 6)]
    assert merge_reports([]).windows[0].tallies == []


def test_burn_rides_on_one_heartbeat_in_a_period():
    now = [0]
    node = NodeTelemetry(now_ms=lambda: now[0])
    fleet = FleetTelemetry(lambda: now[0])
    seen = []
    for now[0] in range(0, 6_001, 300):
        node.burn.record('s', 'p', 'o', True)
        fleet.receive('n', 'i', node.take())
        seen.append(counts(fleet.burn, '5m')[0])
    assert seen == [1] * 10 + [11] * 10 + [21]


def test_telemetry_keeps_the_last_load_and_forgets_the_silent():
    now = [0]
    fleet = FleetTelemetry(lambda: now[0])
    node = NodeTelemetry(lambda: LoadReport(service='s', running=3))
    node.burn.record('s', 'p', 'o', True)
    fleet.receive('n1', 'i', node.take())
    fleet.receive('n2', 'i', b'\xff\xff')
    fleet.receive('n3', 'i', b'')
    now[0] = 1_000
    assert fleet.loads()['n1'].running == 3
    assert fleet.loads()['n1'].age_ms == 1_000
    assert counts(fleet.burn, '5m') == (1, 0)
    assert fleet.malformed == 1
    now[0] = FORGET_AFTER_MS + 1
    assert fleet.loads() == {}
