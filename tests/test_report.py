import json

import msgspec
import pytest

from damasklanding import page
from damasklanding.burn import BurnStore
from damasklanding.errors import BadSetting
from damasklanding.page import burn_page
from damasklanding.report import burn_text
from damasklanding.report import fleet_burn
from damasklanding.tallies import Tally

OBJECTIVES = {'bookings': 0.99}
ROWS = [
    Tally('plan-office', 'bookings', 'lender-1', '', 900),
    Tally('plan-office', 'bookings', 'lender-2', '', 60),
    Tally('plan-office', 'bookings', 'lender-2', 'overloaded', 30),
    Tally('plan-office', 'bookings', 'lender-2', 'late', 10),
    Tally('plan-office', 'bookings', 'lender-3', 'late', 1),
    Tally('balance-desk', 'public', 'lender-1', '', 10),
]


def reports(*, hosts=2, reason=''):
    stores = [BurnStore(lambda: 60_000) for _ in range(hosts)]
    rows = ROWS + ([Tally('s', 'p', 'o', reason, 9)] if reason else [])
    for number, row in enumerate(rows):
        stores[number % hosts].add('n', msgspec.msgpack.encode([row]))
    return [store.report(with_series=True) for store in stores]


def test_lines_sum_hosts_and_judge():
    fleet = fleet_burn(reports(), OBJECTIVES, ['127.0.0.9:7600'])
    desk, plan = fleet.lines
    assert (desk.service, desk.judgement, desk.bad) == (
        'balance-desk',
        'ok',
        0,
    )
    assert (plan.good, plan.bad) == (960, 41)
    assert plan.burn_rates['5m'] == pytest.approx(4.096, abs=0.001)
    assert plan.objective_ratio == 0.99
    assert [share.reason for share in plan.reasons] == ['overloaded', 'late']
    assert plan.worst.organisation == 'lender-2'
    assert plan.worst.good_ratio == 0.6
    text = burn_text(fleet)
    assert 'overloaded 30' in text
    assert '127.0.0.9:7600 did not answer' in text


def test_empty_report_says_so():
    assert 'no requests' in burn_text(fleet_burn([], {}))


def test_page_is_self_contained_and_escapes_names():
    reason = '<script>alert(1)</script>'
    fleet = fleet_burn(reports(reason=reason), OBJECTIVES, ['127.0.0.9:1'])
    text = burn_page(fleet, OBJECTIVES, 0)
    assert reason not in text
    assert '127.0.0.9:1: its share is missing' in text
    assert 'plan-office' in text
    assert 'src="http' not in text
    assert text.count('Plotly.newPlot') >= 3


def test_page_without_plotly_names_the_remedy(monkeypatch):
    def missing():
        raise BadSetting('--html needs plotly', 'install it')

    monkeypatch.setattr(page, '_graph_objects', missing)
    with pytest.raises(BadSetting):
        burn_page(fleet_burn(reports(), {}), {}, 0)


def test_report_is_json():
    fleet = fleet_burn(reports(), OBJECTIVES)
    lines = json.loads(msgspec.json.encode(fleet))['lines']
    assert lines[1]['worst']['organisation'] == 'lender-2'
