"""
damasklanding.operators
~~~~~~~~~~~~~~~~~~~~~~~

Tokens of the operators.  Only digests stay in memory; the file is read again
when it changes, so that a token is given or taken without a restart.
"""

import hashlib
import hmac
import os

from damasklanding.errors import BadSetting
from damasklanding.errors import Forbidden
from damasklanding.logs import StateLog

__all__ = ['OperatorTokens', 'parse_tokens']

MIN_TOKEN_LENGTH = 16


def _digest(token):
    return hashlib.sha256(token.encode('utf-8', 'replace')).digest()


def parse_tokens(text, source):
    """
    Return token digests to operator names.

    :param text: one operator and token a line; ``#`` starts a comment.
    :param source: name of the file, for errors.
    :raises BadSetting: names the line.
    """
    operators = {}
    for number, line in enumerate(text.splitlines(), 1):
        fields = line.partition('#')[0].split()
        if not fields:
            continue
        if len(fields) != 2 or len(fields[1]) < MIN_TOKEN_LENGTH:
            raise BadSetting(
                f'line {number} of {source} is not an operator and a token',
                'write a name, a space and a token of at least '
                f'{MIN_TOKEN_LENGTH} characters',
            )
        digest = _digest(fields[1])
        if operators.setdefault(digest, fields[0]) != fields[0]:
            raise BadSetting(
                f'line {number} of {source} repeats a token',
                'give each operator a token of its own',
            )
    return operators


class OperatorTokens:
    """The operators' token digests, as last read from their file."""

    def __init__(self, path):
        self._path = path
        self._stamp = None
        self._operators = {}
        self._log = StateLog('warning')
        self._log.states['operator tokens'] = 'read'
        self._read()

    def operator_of(self, token):
        """
        Return the name of the operator that holds a token.

        :raises Forbidden: unknown token.
        """
        self._refresh()
        digest = _digest(token)
        found = ''
        for known, operator in self._operators.items():
            if hmac.compare_digest(known, digest):
                found = operator
        if not found:
            raise Forbidden('the operator token is missing or unknown')
        return found

    def _refresh(self):
        try:
            if self._stat() != self._stamp:
                self._read()
            self._log.note('operator tokens', 'read')
        except (OSError, BadSetting) as error:
            self._log.note('operator tokens', 'kept as they were', error)

    def _stat(self):
        stat = os.stat(self._path)
        return stat.st_ino, stat.st_size, stat.st_mtime_ns

    def _read(self):
        try:
            stamp = self._stat()
            with open(self._path, encoding='utf-8') as file:
                text = file.read()
        except (OSError, UnicodeError) as error:
            raise BadSetting(
                f'--operator-tokens-file is {self._path!r}, {error}',
                'name a readable text file',
            ) from error
        self._operators = parse_tokens(text, self._path)
        self._stamp = stamp
