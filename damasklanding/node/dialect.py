"""
damasklanding.node.dialect
~~~~~~~~~~~~~~~~~~~~~~~~~~

The parts of HTTP that differ between deployments, such as the names of
headers.  A dialect is a record of functions that the data path calls for the
requests of callers or the replies of backend servers.  The default dialect for
backend servers is defined here.
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
    'BackendNotice',
    'CallerDialect',
    'CallerHead',
    'read_no_notice',
]

#: Statuses with which a backend server sheds load.
SHED_STATUSES = frozenset((429, 503))
#: Statuses that leave open whether the request has run.
UNKNOWN_OUTCOME_STATUSES = frozenset((502, 503, 504))


@dataclass(frozen=True, slots=True)
class CallerHead:
    """
    The fields of a caller's request head that control how it is handled.

    :ivar request_id: id that the caller gave this attempt, empty if none.
    :ivar host: host name in lower case, without a port.
    :ivar deadline_ms: time that the caller waits for an answer, None if not
        given.
    :ivar key: key of the organisation, None if not given.
    """

    request_id: str
    host: str
    deadline_ms: int | None
    key: str | None


@dataclass(frozen=True)
class CallerDialect:
    """
    The functions that handle the HTTP of callers.

    :ivar read_head: function of a request that returns a
        :class:`CallerHead`.
    :ivar forwarded_headers: function of a request, the name of the
        organisation and the name of the calling service; returns the headers
        to forward, names and values alternating.
    :ivar header_pairs: function of an answer that returns its headers as
        (name, value) pairs.
    :ivar error_answer: function of an error that returns the answer that
        reports it.
    """

    read_head: object
    forwarded_headers: object
    header_pairs: object
    error_answer: object


@dataclass(frozen=True, slots=True)
class BackendNotice:
    """
    What a backend server says of itself in an answer.

    :ivar rate_per_s: requests a second that it takes from all hosts together,
        infinite where it names no limit, None where the limit can't be read.
    :ivar leaving: whether it takes no new work any more.
    """

    rate_per_s: float | None = float('inf')
    leaving: bool = False


def read_no_notice(_reply):
    """Return None, where answers say nothing of the backend server."""


@dataclass(frozen=True)
class BackendDialect:
    """
    The functions that handle the HTTP of backend servers.

    :ivar head_lines: function of a call, a context token, the address and
        instance of the backend server and the time left in milliseconds;
        returns the lines of the request's head.
    :ivar matches_call: function of a reply, a call and its context token;
        returns whether the reply belongs to the call, None if it names none.
    :ivar answer_headers: function of a reply; returns the headers to send
        back to the caller.
    :ivar set_outcome: function of an answer, a reply and a call; sets the
        answer's outcome from the reply, and raises if the reply can't be
        trusted.
    :ivar until_close: whether the end of the connection may mark the end of
        a reply's body.
    :ivar read_notice: function of a reply; returns its
        :class:`BackendNotice`, or None.
    """

    head_lines: object
    matches_call: object
    answer_headers: object
    set_outcome: object
    until_close: bool = False
    read_notice: object = read_no_notice


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


def _matches_call(reply, _call, token):
    # The request id would not do: all calls of a chain have the same.
    named = reply.header_map.get(CONTEXT)
    return None if named is None else named == token


def _answer_headers(reply):
    return end_to_end_headers(reply.flat_headers)


def _set_outcome(answer, reply, _call):
    """Set the outcome and the retry fields from the reply."""
    status = answer.status
    reported = reply.header_map.get(OUTCOME)
    if status < 500 and status != 429:
        return
    if reported == NOT_RUN and status in SHED_STATUSES:
        answer.outcome = NOT_RUN
    elif reported in (RAN, UNKNOWN):
        answer.outcome = reported
    elif status in UNKNOWN_OUTCOME_STATUSES:
        answer.outcome = UNKNOWN
    answer.may_retry = status >= 500 or answer.outcome == NOT_RUN
    retry_after = reply.header_map.get('retry-after', '')
    if retry_after.isdigit() and len(retry_after) < 6:
        answer.retry_after_ms = int(retry_after) * 1000


DEFAULT_BACKEND_DIALECT = BackendDialect(
    _head_lines, _matches_call, _answer_headers, _set_outcome
)
