"""
damasklanding.node.requesthead
~~~~~~~~~~~~~~~~~~~~~~~~

Parses the heads of HTTP requests.  The checks are strict, so that no parser
behind this one can interpret an accepted head differently.
"""

from dataclasses import dataclass
import re
from urllib.parse import unquote

import gevent

from damasklanding.clock import monotonic_ms
from damasklanding.errors import BadInput
from damasklanding.errors import HeadersTooLarge
from damasklanding.errors import HeaderTimeout
from damasklanding.errors import NotImplementedHere

__all__ = ['BodyBroken', 'Request', 'parse_head']

MAX_HEADERS = 100

_TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST_LINE = re.compile(
    rf'({_TOKEN}) (/[\x21-\x7e\x80-\xff]*) HTTP/1\.([01])'
).fullmatch
# A value is matched by a single character class, which prevents backtracking:
# the time is linear in the length of any input.
_HEADERS = re.compile(
    rf'(?:{_TOKEN}:[\t\x20-\x7e\x80-\xff]*(?:\r\n|\Z))*'
).fullmatch
_DIGITS = re.compile(r'[0-9]{1,18}').fullmatch
_UNSAFE_PATH = re.compile(r'//|/\.\.?(?:/|$)|\\|\x00').search
_SINGLE_HEADERS = frozenset(
    (
        'content-length',
        'host',
        'idempotency-key',
        'transfer-encoding',
        'damasklanding-key',
        'damasklanding-context',
        'damasklanding-deadline-ms',
    )
)


class BodyBroken(BadInput):
    """The request body ended early or its chunks are malformed."""

    code = 'body-broken'
    remedy = 'send the whole body with a matching length'


@dataclass(slots=True)
class Request:
    """
    A request head that passed all checks.

    :ivar target: path and query as sent.
    :ivar path: decoded path without the query.
    :ivar headers: names in lower case and values, alternating.
    :ivar header_map: values by name; the last one if a name repeats.
    :ivar length: announced length of the body, None for a chunked one.
    :ivar body: file-like reader of the body.
    :ivar disconnect_watcher: watcher of the caller's connection, a
        :class:`~damasklanding.node.disconnect.DisconnectWatcher`.
    :ivar client: :class:`~damasklanding.intake.Client` for which its body is
        held, None where it is not read from a connection.
    :ivar deadline_at_ms: time by which its body has to come and its answer has
        to be taken, None while it is not known.
    :ivar onward: whether the backend server beside this node made it for a
        call that is running there.
    """

    method: str
    target: str
    path: str
    minor_version: int
    headers: list
    header_map: dict
    length: int | None = 0
    body: object = None
    disconnect_watcher: object = None
    client: object = None
    deadline_at_ms: float | None = None
    onward: bool = False

    def header(self, name):
        """Return the value of a header, None if it is missing."""
        return self.header_map.get(name)

    def read(self, size):
        """
        Return up to ``size`` bytes of the body, empty at its end.

        :raises BodyBroken: the body ended early or is malformed.
        :raises HeaderTimeout: the caller sent nothing for too long, or the
            time of the request has ended.
        """
        try:
            if self.deadline_at_ms is None or self.client is None:
                return self.body.read(size)
            left_ms = self.deadline_at_ms - monotonic_ms()
            with gevent.Timeout(max(left_ms, 0) / 1000, TimeoutError):
                return self.body.read(size)
        except TimeoutError as error:
            raise HeaderTimeout(
                'no more of the body arrived in time'
            ) from error
        except OSError as error:
            raise BodyBroken('the body ended early or is malformed') from error


def parse_head(head):
    """
    Parse a request line and headers.

    :param head: bytes up to, not including, the empty line.
    :return: :class:`Request` without a body.
    :raises BadInput: the head is malformed, or another parser could
        interpret it differently.
    """
    line, _, rest = head.decode('latin-1').partition('\r\n')
    matched = _REQUEST_LINE(line)
    if matched is None:
        raise BadInput('the request line is malformed', 'send HTTP/1.1')
    method, target, minor = matched.groups()
    path = target.partition('?')[0]
    if '%' in path:
        path = unquote(path, 'latin-1')
    if _UNSAFE_PATH(path):
        raise BadInput(
            'the path has empty or relative segments',
            'send the path in its normal form',
        )
    headers, header_map = _parse_headers(rest)
    request = Request(method, target, path, int(minor), headers, header_map)
    _check_framing(request)
    return request


def _parse_headers(text):
    if not _HEADERS(text):
        raise BadInput('a header line is malformed')
    lines = text.split('\r\n') if text else ()
    if len(lines) > MAX_HEADERS:
        raise HeadersTooLarge(f'more than {MAX_HEADERS} headers')
    headers = []
    header_map = {}
    for line in lines:
        name, _, value = line.partition(':')
        name = name.lower()
        if name in header_map and name in _SINGLE_HEADERS:
            raise BadInput(f'the header {name} occurs twice')
        value = value.strip(' \t')
        header_map[name] = value
        headers += (name, value)
    return headers, header_map


def _check_framing(request):
    encoding = request.header_map.get('transfer-encoding')
    length = request.header_map.get('content-length')
    if encoding is None:
        if length is not None:
            if not _DIGITS(length):
                raise BadInput('the content length is not a valid number')
            request.length = int(length)
        return
    if length is not None or not request.minor_version:
        raise BadInput(
            'the framing of the body is ambiguous',
            'send either a length or chunks, and chunks only with HTTP/1.1',
        )
    if encoding.lower() != 'chunked':
        raise NotImplementedHere(f'transfer encoding {encoding[:20]!r}')
    request.length = None
