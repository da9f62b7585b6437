"""
damasklanding.webapi
~~~~~~~~~~~~~~~~~~~~

Plumbing of the administration API on bottle: tokens, bodies, preconditions
and errors as problem documents.
"""

import uuid

import bottle
import msgspec

from damasklanding.documents import MAX_DOCUMENT_BYTES
from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.errors import Forbidden
from damasklanding.errors import NotFound
from damasklanding.errors import TooLarge
from damasklanding.wsgi import max_document_elements

__all__ = [
    'bearer_token',
    'expected_revision',
    'framework_error',
    'json_answer',
    'problem_answer',
    'request_body',
    'request_id',
    'whole_number',
]

MAX_REQUEST_ID_LENGTH = 64
PROBLEM_TYPE = 'application/problem+json'


class Problem(msgspec.Struct, omit_defaults=True):
    """Body of an error, after RFC 9457 with the error's code and remedy."""

    title: str
    status: int
    code: str
    detail: str
    remedy: str
    retry_after_ms: int | None = None
    winner: str = ''
    revision: int | None = None


def bearer_token():
    """Return the operator token of the request."""
    scheme, _, token = bottle.request.get_header(
        'Authorization', ''
    ).partition(' ')
    if scheme.lower() != 'bearer' or not token.strip():
        raise Forbidden('the request has no operator token')
    return token.strip()


def json_answer(body):
    """Encode an answer as JSON; bytes pass as they are."""
    if isinstance(body, bytes):
        return body
    bottle.response.content_type = 'application/json'
    return msgspec.json.encode(body)


def problem_answer(error):
    """Set the status of an error and return its problem document."""
    bottle.response.status = error.http_status
    bottle.response.content_type = PROBLEM_TYPE
    if error.retry_after_ms:
        seconds = -(-error.retry_after_ms // 1000)
        bottle.response.set_header('Retry-After', str(seconds))
    return msgspec.json.encode(
        Problem(
            title=type(error).__name__,
            status=error.http_status,
            code=error.code,
            detail=error.problem,
            remedy=error.remedy,
            retry_after_ms=error.retry_after_ms,
            winner=getattr(error, 'winner', ''),
            revision=getattr(error, 'revision', None),
        )
    )


def framework_error(response):
    """Return the problem document of an error that bottle found."""
    kinds = {404: NotFound, 405: NotFound, 413: TooLarge, 500: None}
    kind = kinds.get(response.status_code, BadInput)
    error = kind(response.body) if kind else DamasklandingError('a fault')
    bottle.response.status = response.status_code
    body = problem_answer(error)
    response.content_type = PROBLEM_TYPE
    return body


def whole_number(name, default, high):
    """Return a whole number from the query."""
    text = bottle.request.query.get(name, '')
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and int(text) <= high):
        raise BadInput(f'{name} is {text!r}', f'give a number up to {high}')
    return int(text)


def request_body(limit_bytes=MAX_DOCUMENT_BYTES):
    """
    Return the body of the request, a JSON document.

    Bottle would keep one without a length in a file of any size.

    :raises TooLarge: it is larger than the limit, or has more elements than
        the server takes.
    :raises BadInput: it ended before its length was reached.
    """
    length = bottle.request.content_length
    body = b''
    if length <= limit_bytes:
        body = bottle.request.environ['wsgi.input'].read(limit_bytes + 1)
    if max(length, len(body)) > limit_bytes:
        raise TooLarge(f'the body exceeds {limit_bytes} bytes')
    if len(body) < length:
        raise BadInput('the body was cut short')
    max_elements = max_document_elements(bottle.request.environ)
    if _count_elements(body) > max_elements:
        raise TooLarge(f'the body has more than {max_elements} elements')
    return body


def _count_elements(document):
    """
    Return a bound of the values in a JSON document.

    Each takes many times its size in the document when it is decoded.
    """
    return sum(document.count(character) for character in b',[{')


def request_id():
    """Return the Request-Id that was sent, or a new one."""
    given = bottle.request.get_header('Request-Id', '')
    if not given:
        return uuid.uuid4().hex
    if len(given) > MAX_REQUEST_ID_LENGTH or not given.isprintable():
        raise BadInput(
            'Request-Id is malformed',
            f'give at most {MAX_REQUEST_ID_LENGTH} printable characters',
        )
    return given


def expected_revision():
    """Return the revision that the precondition names, None for any."""
    if bottle.request.get_header('If-None-Match', '').strip() == '*':
        return 0
    match = bottle.request.get_header('If-Match', '').strip()
    text = match.strip('"') or bottle.request.query.get(
        'expected_revision', ''
    )
    if text in ('', '*'):
        return None
    if not (text.isascii() and text.isdigit()):
        raise BadInput(
            f'the expected revision is {text!r}',
            'send If-Match with the revision of the last read',
        )
    return int(text)
