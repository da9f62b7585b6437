"""
damasklanding.node.dialect
~~~~~~~~~~~~~~~~~~~~~~~~~~

What varies in how callers and backend servers of a deployment speak HTTP:
records of functions that the data path calls, and the product's own set for
backend servers.
"""

from dataclasses import dataclass

from damasklanding.headers import CONTEXT
from damasklanding.headers import DEADLINE_MS
from damasklanding.headers import IMPORTANCE
from damasklanding.headers import ORGANISATION
from damasklanding.headers import OUTCOME
from damasklanding.headers import REQUEST_ID
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import RAN
from damasklanding.node.answers import UNKNOWN
from damasklanding.node.answers import end_to_end_headers

__all__ = [
    'DEFAULT_BACKEND_DIALECT',
    'SHED_STATUSES',
    'BackendDialect',
    'CallerDialect',
    'CallerHead',
]

SHED_STATUSES = frozenset((429, 503))
UNSURE_STATUSES = frozenset((502, 503, 504))


@dataclass(frozen=True, slots=True)
class CallerHead:
    """
    What a caller's request says to the system.

    :ivar request_id: the caller's id of this attempt, empty without one.
    :ivar host: host name in lower case, without a port.
    :ivar deadline_ms: how long the caller waits, None where it does not say.
    :ivar key: the organisation's key, None without one.
    """

    request_id: str
    host: str
    deadline_ms: int | None
    key: str | None


@dataclass(frozen=True)
class CallerDialect:
    """
    How callers speak.

    :ivar read_head: function of a request that returns a
        :class:`CallerHead`.
    :ivar forwarded_headers: function of a request, the name of the
        organisation and that of the calling service; returns the headers
        that go on, names and values alternating.
    :ivar header_pairs: function of an answer that returns its headers as
        pairs.
    :ivar error_answer: function of an error that returns the answer to it.
    """

    read_head: object
    forwarded_headers: object
    header_pairs: object
    error_answer: object


@dataclass(frozen=True)
class BackendDialect:
    """
    How a backend server speaks.

    :ivar head_lines: function of call, context token, address, instance and
        time left in milliseconds; returns the lines of a request's head.
    :ivar matches_call: function of reply and call; whether the one answers
        the other.
    :ivar answer_headers: function of a reply that returns those that go
        back.
    :ivar set_outcome: function of answer, reply and call that sets what the
        reply says about having run; raises where it can't be trusted.
    :ivar until_close: whether the body of a reply may end with its
        connection.
    """

    head_lines: object
    matches_call: object
    answer_headers: object
    set_outcome: object
    until_close: bool = False


def _head_lines(call, token, address, _instance, left_ms):
    lines = [
        f'{call.method} {call.target} HTTP/1.1\r\nhost: {address}',
        f'{CONTEXT}: {token}',
        f'{ORGANISATION}: {call.organisation}',
        f'{REQUEST_ID}: {call.request_id}',
        f'{DEADLINE_MS}: {left_ms}',
        f'{IMPORTANCE}: {call.importance}',
    ]
    headers = call.headers
    for index in range(0, len(headers), 2):
        lines.append(f'{headers[index]}: {headers[index + 1]}')
    return lines


def _matches_call(_reply, _call):
    return True


def _answer_headers(reply):
    return end_to_end_headers(reply.flat_headers)


def _set_outcome(answer, reply, _call):
    """Set the outcome that an answer of the backend server states."""
    status = answer.status
    stated = reply.header_map.get(OUTCOME)
    if status < 500 and status != 429:
        return
    if stated == NOT_RUN and status in SHED_STATUSES:
        answer.outcome = NOT_RUN
    elif stated in (RAN, UNKNOWN):
        answer.outcome = stated
    elif status in UNSURE_STATUSES:
        answer.outcome = UNKNOWN
    answer.may_retry = status >= 500 or answer.outcome == NOT_RUN
    retry_after = reply.header_map.get('retry-after', '')
    if retry_after.isdigit() and len(retry_after) < 6:
        answer.retry_after_ms = int(retry_after) * 1000


DEFAULT_BACKEND_DIALECT = BackendDialect(
    _head_lines, _matches_call, _answer_headers, _set_outcome
)
