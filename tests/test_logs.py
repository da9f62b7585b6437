import json

import gevent
from loguru import logger
import pytest

from damasklanding.clock import monotonic_ms
from damasklanding.logs import CappedLog
from damasklanding.logs import StateLog
from damasklanding.logs import configure_logs
from damasklanding.logs import mask_secrets

KEY = 'dlk_Zm9vYmFyYmF6cXV4'


@pytest.fixture()
def lines():
    written = []
    yield written
    configure_logs()


SECRETS = [
    (f'granted {KEY} now', 'granted dlk_*** now'),
    ('Authorization: Bearer abc.def', 'Authorization: Bearer ***'),
    ('damasklanding-key: hunter2', 'damasklanding-key: ***'),
    ("{'damasklanding-key': 'hunter2'}", "{'damasklanding-key': '***'}"),
    ('secret=0123456789abcdef', 'secret=***'),
    ('--secret-file is missing', '--secret-file is missing'),
    ('nothing to hide', 'nothing to hide'),
]


@pytest.mark.parametrize(('text', 'masked'), SECRETS)
def test_secrets_are_masked(text, masked):
    assert mask_secrets(text) == masked


def test_json_line_holds_fields_and_no_key(lines):
    configure_logs('info', True, 'n1', lines.append)
    logger.bind(peer='n2', key=KEY).info('link {} lost', KEY)
    logger.debug('not written')
    (line,) = map(json.loads, lines)
    assert line['message'] == 'link dlk_*** lost'
    assert (line['process'], line['level']) == ('n1', 'info')
    assert line['fields'] == {'peer': 'n2', 'key': 'dlk_***'}


def test_exception_shows_kind_without_local_values(lines):
    configure_logs('info', False, 'n1', lines.append)
    key = KEY
    try:
        raise ValueError(f'bad {key}\nsecond line')
    except ValueError:
        logger.exception('failed')
    (line,) = lines
    assert line.endswith('n1 failed ValueError: bad dlk_***\\nsecond line')


def test_state_is_logged_on_change_only(lines):
    configure_logs('info', False, sink=lines.append)
    log = StateLog()
    noted = [log.note('peer n2', state) for state in ('up', 'up', 'down')]
    assert noted == [True, False, True]
    assert len(lines) == 2


def test_subjects_are_bounded(lines):
    configure_logs('error', False, sink=lines.append)
    log = StateLog()
    for number in range(StateLog.MAX_SUBJECTS + 10):
        log.note(number, 'up')
    assert len(log.states) == StateLog.MAX_SUBJECTS


def test_lines_of_one_kind_are_capped_and_the_rest_is_counted(lines):
    configure_logs('info', False, sink=lines.append)
    now_ms = [0.0]
    log = CappedLog(lambda: now_ms[0])
    for number in range(CappedLog.LINES_PER_S + 7):
        log.write('order', f'order {number}')
    log.write('version', 'version 1')
    assert len(lines) == CappedLog.LINES_PER_S + 1
    log.summarise()
    assert lines[-1].endswith('order: 7 more lines were left out')
    now_ms[0] += CappedLog.WINDOW_MS
    log.write('order', 'order 99')
    assert lines[-1].endswith('order 99')


def test_count_of_left_out_lines_follows_within_the_window(lines):
    configure_logs('info', False, sink=lines.append)
    log = CappedLog(monotonic_ms)
    for number in range(CappedLog.LINES_PER_S + 1):
        log.write('order', f'order {number}')
    gevent.sleep(1.5 * CappedLog.WINDOW_MS / 1000)
    assert lines[-1].endswith('order: 1 more lines were left out')
