import json

import pytest

from damasklanding.decisions import LINES_PER_S
from damasklanding.decisions import Decision
from damasklanding.decisions import DecisionLog


@pytest.fixture()
def lines():
    return []


@pytest.fixture()
def clock():
    return [0.0]


@pytest.fixture()
def log(lines, clock):
    return DecisionLog(lines.append, 'n1', lambda: clock[0])


def refused(request_id, reason='overloaded'):
    return Decision(
        event='refused',
        request_id=request_id,
        reason=reason,
        outcome='not-run',
        queued=7,
    )


def note(log, request_id, reason='overloaded'):
    log.note('refused', reason, lambda: refused(request_id, reason))


def test_line_says_what_decided(log, lines):
    note(log, '9c41')
    (line,) = map(json.loads, lines)
    assert line['request_id'] == '9c41'
    assert line['reason'] == 'overloaded'
    assert line['outcome'] == 'not-run'
    assert line['queued'] == 7
    assert line['process'] == 'n1'


def test_lines_of_a_reason_are_capped_and_the_rest_is_counted(
    log, lines, clock
):
    for number in range(500):
        note(log, str(number))
    note(log, 'other', 'draining')
    assert len(lines) == LINES_PER_S + 1
    clock[0] += 1_001.0
    note(log, 'next')
    summary = json.loads(lines[-2])
    assert summary['event'] == 'left-out'
    assert summary['counts'] == {'refused overloaded': 500 - LINES_PER_S}
    assert json.loads(lines[-1])['request_id'] == 'next'
