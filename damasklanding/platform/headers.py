"""
damasklanding.platform.headers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads and writes the HTTP headers that the platform's callers and backend
servers use.
"""

import re

import msgspec

from damasklanding.errors import UpstreamFailed
from damasklanding.headers import HOP_BY_HOP
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import Answer
from damasklanding.node.dialect import BackendDialect
from damasklanding.node.dialect import BackendNotice
from damasklanding.node.dialect import CallerDialect
from damasklanding.node.dialect import CallerHead

__all__ = ['BACKEND_DIALECT', 'CALLER_DIALECT']

ATTEMPT_ID = 'damasklanding-attempt-id'
DEADLINE_MS = 'damasklanding-deadline-ms'
SIGNATURE = 'damasklanding-server-signature'
EXPECTED_INSTANCE = 'damasklanding-expected-instance'
CALLING_SERVICE = 'damasklanding-caller-service'
ORGANISATION = 'damasklanding-tenant'
NOT_EXECUTED = 'damasklanding-not-executed'
SERVER_LIMIT = 'server-limit'
SERVER_LEAVING = 'server-leaving'
KEY = 'authorization'
KEY_SCHEME = 'token '

#: Headers that each hop sets itself or that backend servers must not see.
_REPLACED = frozenset(
    (DEADLINE_MS, EXPECTED_INSTANCE, CALLING_SERVICE, ORGANISATION, KEY)
)
#: Headers that apply to one connection only; ``host`` and ``date`` are
#: forwarded.
_HOP_BY_HOP = (HOP_BY_HOP | {'connection'}) - {'host', 'date'}
_NOT_FORWARDED = _HOP_BY_HOP | _REPLACED

#: Statuses that tell the caller that a request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Statuses for an invalid request, which has not run either.
_INVALID_REQUEST_STATUSES = frozenset((400, 401, 404, 413, 431))
MISDIRECTED_STATUS = 421
UNKNOWN_OUTCOME_STATUS = 502
NOT_RUN_STATUS = 503
MAX_DEADLINE_DIGITS = 9
_is_decimal = re.compile(r'[0-9]{1,12}(?:\.[0-9]{1,30})?').fullmatch


class RefusalBody(msgspec.Struct):
    """Body of an error answer that the node generates itself."""

    error: str
    detail: str


_encode = msgspec.json.Encoder().encode


def _forwardable_headers(headers, header_map, left_out):
    """
    Return the headers without those that apply to one connection only.

    :param headers: names in lower case and values, alternating.
    :param header_map: the same headers as a mapping by name.
    :param left_out: names to leave out in addition.
    """
    connection = header_map.get('connection')
    if connection is not None:
        names = connection.lower().split(',')
        left_out = left_out.union(name.strip() for name in names)
    passed = []
    for index in range(0, len(headers), 2):
        name = headers[index]
        if name not in left_out:
            passed += (name, headers[index + 1])
    return passed


def _read_head(request):
    header_map = request.header_map
    deadline = header_map.get(DEADLINE_MS, '')
    known = deadline.isdecimal() and len(deadline) <= MAX_DEADLINE_DIGITS
    credentials = header_map.get(KEY, '')
    key = None
    if credentials[: len(KEY_SCHEME)].lower() == KEY_SCHEME:
        key = credentials[len(KEY_SCHEME) :].strip()
    return CallerHead(
        request_id=header_map.get(ATTEMPT_ID, ''),
        host=header_map.get('host', '').partition(':')[0].lower(),
        deadline_ms=int(deadline) if known else None,
        key=key,
    )


def _forwarded_headers(request, organisation, calling_service):
    headers = _forwardable_headers(
        request.headers, request.header_map, _NOT_FORWARDED
    )
    if calling_service:
        headers += (CALLING_SERVICE, calling_service)
    if organisation:
        headers += (ORGANISATION, organisation)
    return headers


def _header_pairs(answer):
    headers = answer.headers
    pairs = list(zip(headers[::2], headers[1::2], strict=True))
    if answer.parts is None:
        pairs.append(('content-length', str(len(answer.body))))
    elif answer.length is not None:
        pairs.append(('content-length', str(answer.length)))
    return pairs


def _error_answer(error):
    status = error.http_status
    if error.outcome == NOT_RUN:
        if (
            status not in _NOT_RUN_STATUSES
            and status not in _INVALID_REQUEST_STATUSES
        ):
            status = NOT_RUN_STATUS
    elif status in _NOT_RUN_STATUSES or status in _INVALID_REQUEST_STATUSES:
        status = UNKNOWN_OUTCOME_STATUS
    headers = ['content-type', 'application/json']
    if error.retry_after_ms and status in _NOT_RUN_STATUSES:
        headers += ('retry-after', f'{error.retry_after_ms / 1000:.3f}')
    body = _encode(RefusalBody(error.code, error.problem))
    return Answer(status, headers, body, outcome=error.outcome)


def _head_lines(call, _token, _address, instance, left_ms):
    lines = [f'{call.method} {call.target} HTTP/1.1']
    headers = call.headers
    for index in range(0, len(headers), 2):
        lines.append(f'{headers[index]}: {headers[index + 1]}')
    lines.append(f'{DEADLINE_MS}: {left_ms}')
    if instance:
        lines.append(f'{EXPECTED_INSTANCE}: {instance}')
    return lines


def _matches_call(reply, call, _token):
    named = reply.header_map.get(ATTEMPT_ID)
    return None if named is None else named == call.request_id


def _answer_headers(reply):
    return _forwardable_headers(
        reply.flat_headers, reply.header_map, _HOP_BY_HOP
    )


def _set_outcome(answer, reply, _call):
    status = answer.status
    if status == MISDIRECTED_STATUS or NOT_EXECUTED in reply.header_map:
        answer.outcome = NOT_RUN
        answer.may_retry = True
    elif status < 300 and SIGNATURE not in reply.header_map:
        raise UpstreamFailed('the backend server did not sign its answer')


def _read_notice(reply):
    """
    Return the notice of the server that was asked, None of any other.

    An answer that names no request may be a late one, of an earlier start.
    """
    header_map = reply.header_map
    if reply.status == MISDIRECTED_STATUS or ATTEMPT_ID not in header_map:
        return None
    named = header_map.get(SERVER_LIMIT)
    leaving = header_map.get(SERVER_LEAVING) == '1'
    if named is None:
        return BackendNotice(leaving=leaving)
    rate_per_s = float(named) if _is_decimal(named) else None
    return BackendNotice(rate_per_s, leaving)


CALLER_DIALECT = CallerDialect(
    _read_head, _forwarded_headers, _header_pairs, _error_answer
)
BACKEND_DIALECT = BackendDialect(
    _head_lines,
    _matches_call,
    _answer_headers,
    _set_outcome,
    until_close=True,
    read_notice=_read_notice,
)
