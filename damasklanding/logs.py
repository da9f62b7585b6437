"""
damasklanding.logs
~~~~~~~~~~~~~~~~~~

Log lines on standard output, as text or as one JSON object a line.  Counters
come first; lines are for changes of state.  Keys, tokens and secrets are
masked before a line is written.
"""

from collections import Counter
import re
import sys

import gevent
from loguru import logger
import msgspec

__all__ = [
    'KEY_PREFIX',
    'CappedLog',
    'StateLog',
    'configure_logs',
    'mask_secrets',
]

#: Start of every key that the command-line tool generates.
KEY_PREFIX = 'dlk_'
MASK = '***'

_SECRETS = re.compile(
    rf'(?P<lead>{KEY_PREFIX}|\bBearer\s+|'
    r'\bdamasklanding-key["\']?\s*[:=,]\s*["\']?|\bsecret["\']?\s*[:=]\s*)'
    r'(?P<value>[^\s"\',;]+)',
    re.IGNORECASE,
)


def mask_secrets(text):
    """Return a text with keys, tokens and secrets masked."""
    return _SECRETS.sub(rf'\g<lead>{MASK}', text)


class LogLine(msgspec.Struct, omit_defaults=True):
    """One line of the JSON form."""

    time: str
    level: str
    message: str
    process: str
    module: str
    line: int
    error: str = ''
    fields: dict[str, str] = {}


def configure_logs(level='info', as_json=False, process='', sink=None):
    """
    Send all log lines to standard output.

    :param level: lowest level that is written.
    :param as_json: one JSON object a line in place of text.
    :param process: name of this process in the fleet.
    :param sink: function of one line, in place of standard output.
    """
    form = _json_line if as_json else _text_line
    write = sink or _write_to_stdout

    def emit(message):
        write(form(message.record, process))

    logger.remove()
    logger.add(
        emit,
        level=level.upper(),
        format='{message}',
        backtrace=False,
        diagnose=False,
        catch=True,
    )


def _write_to_stdout(line):
    sys.stdout.write(line + '\n')
    sys.stdout.flush()


def _error_text(record):
    exception = record['exception']
    if exception is None or exception.type is None:
        return ''
    return mask_secrets(f'{exception.type.__name__}: {exception.value}')


def _text_line(record, process):
    parts = [
        record['time'].isoformat(timespec='milliseconds'),
        record['level'].name.ljust(7),
        process,
        mask_secrets(record['message']).replace('\n', '\\n'),
        _error_text(record).replace('\n', '\\n'),
    ]
    return ' '.join(part for part in parts if part)


def _json_line(record, process):
    line = LogLine(
        time=record['time'].isoformat(timespec='milliseconds'),
        level=record['level'].name.lower(),
        message=mask_secrets(record['message']),
        process=process,
        module=record['name'] or '',
        line=record['line'],
        error=_error_text(record),
        fields={
            name: mask_secrets(str(value))
            for name, value in record['extra'].items()
        },
    )
    return msgspec.json.encode(line).decode()


class StateLog:
    """
    Logs a subject's state when it differs from the last one logged.

    :ivar states: last state by subject; bounded, the oldest is forgotten.
    """

    MAX_SUBJECTS = 4_096

    def __init__(self, level='info'):
        self.states = {}
        self._level = level.upper()

    def note(self, subject, state, text=''):
        """
        Write a line if a subject's state has changed.

        :return: whether it had.
        """
        if self.states.get(subject) == state:
            return False
        self.states.pop(subject, None)
        self.states[subject] = state
        while len(self.states) > self.MAX_SUBJECTS:
            del self.states[next(iter(self.states))]
        logger.log(self._level, '{}: {} {}', subject, state, text)
        return True


class CappedLog:
    """
    Logs at most so many lines a second of each kind and counts the others.

    :param now_ms: function that returns the current time in milliseconds.
    """

    LINES_PER_S = 20
    WINDOW_MS = 1_000

    def __init__(self, now_ms):
        self._now_ms = now_ms
        self._since_ms = now_ms()
        self._written = Counter()
        self._left_out = Counter()
        self._timer = None

    def write(self, kind, text, level='INFO'):
        """Write a line, or count it where its kind has filled the cap."""
        now_ms = self._now_ms()
        if now_ms - self._since_ms >= self.WINDOW_MS:
            self._since_ms = now_ms
            self._written.clear()
        if self._written[kind] < self.LINES_PER_S:
            self._written[kind] += 1
            # The line names the module that writes it.
            logger.opt(depth=1).log(level, '{}', text)
            return
        self._left_out[kind] += 1
        if self._timer is None:
            self._timer = gevent.spawn_later(
                self.WINDOW_MS / 1000, self.summarise
            )

    def summarise(self):
        """Write how many lines of each kind were left out."""
        self._timer = None
        for kind, count in sorted(self._left_out.items()):
            logger.info('{}: {} more lines were left out', kind, count)
        self._left_out.clear()
