"""
damasklanding.node.reply
~~~~~~~~~~~~~~~~~~~~~~~~

Reads one HTTP response of a backend server from a buffered connection.  The
body is read by the standard library's :class:`http.client.HTTPResponse`.  Only
the head is parsed here, with stricter checks and without the standard
library's email parser.
"""

from http.client import HTTPException
from http.client import HTTPResponse
import re

__all__ = ['Reply', 'ReplyMalformed']

MAX_HEAD_BYTES = 64 * 1024
MAX_INTERIM_HEADS = 8  # 1xx responses before the final one
MAX_CHUNK_LINE_BYTES = 1_024

_STATUS_LINE = re.compile(r'HTTP/1\.([01]) ([1-5][0-9][0-9])(?: .*)?')
_HEADERS = re.compile(
    r"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00\r\n]*(?:\r\n|\Z))*"
).fullmatch
_DIGITS = re.compile(r'[0-9]{1,18}').fullmatch
_CHUNK_SIZE = re.compile(rb'([0-9a-fA-F]{1,15})[ \t]*(?:;.*)?\r\n').fullmatch
_SINGLE_HEADERS = frozenset(('content-length', 'transfer-encoding'))


class ReplyMalformed(HTTPException):
    """
    The response is malformed, or its framing is ambiguous.

    :ivar nothing_received: whether the connection closed before the first
        byte of the response.
    """

    nothing_received = False


class Reply(HTTPResponse):
    """
    An HTTP response on a connection that may carry more responses after it.

    :param until_close: whether the end of the connection may mark the end of
        a body.
    :ivar flat_headers: names in lower case and values, alternating.
    :ivar header_map: values by name.
    :ivar buffered: number of bytes that the reader held after the head, None
        if unknown.
    """

    def __init__(self, reader, method, until_close=False):
        # The parent's constructor is not called: it would create a new reader
        # for each response.
        self.fp = reader
        self.debuglevel = 0
        self._method = method
        self.headers = self.msg = None
        self.version = self.status = self.reason = None
        self.chunked = False
        self.chunk_left = None
        self.length = None
        self.will_close = True
        self.flat_headers = []
        self.header_map = {}
        self.buffered = None
        self._until_close = until_close

    def begin(self):
        """
        Read the head; skip interim (1xx) responses.

        :raises ReplyMalformed: the head is incomplete or malformed, or the
            framing of the body is ambiguous.
        """
        for _ in range(MAX_INTERIM_HEADS + 1):
            line, _, rest = self._read_head().partition('\r\n')
            matched = _STATUS_LINE.fullmatch(line)
            if matched is None:
                raise ReplyMalformed('the status line is malformed')
            if not matched[2].startswith('1'):
                break
        else:
            raise ReplyMalformed('too many interim responses came')
        self.version = 10 + int(matched[1])
        self.status = self.code = int(matched[2])
        self._read_headers(rest)
        self._read_framing()

    def _read_head(self):
        data = self.fp.peek(1)
        end = data.find(b'\r\n\r\n')
        if end >= 0:
            self.fp.read(end + 4)
            self.buffered = len(data) - end - 4
            return data[:end].decode('latin-1')
        if not data:
            error = ReplyMalformed('the connection closed')
            error.nothing_received = True
            raise error
        lines = []
        size = 0
        while True:
            line = self.fp.readline(MAX_HEAD_BYTES)
            size += len(line)
            if not line.endswith(b'\n') or size > MAX_HEAD_BYTES:
                raise ReplyMalformed('the head is incomplete or too long')
            line = line.rstrip(b'\r\n')
            if not line:
                return b'\r\n'.join(lines).decode('latin-1')
            lines.append(line)

    def _read_headers(self, text):
        if not _HEADERS(text):
            raise ReplyMalformed('a header line is malformed')
        header_map = self.header_map
        for line in text.split('\r\n') if text else ():
            name, _, value = line.partition(':')
            name = name.lower()
            value = value.strip(' \t')
            if (
                name in _SINGLE_HEADERS
                and header_map.get(name, value) != value
            ):
                raise ReplyMalformed(f'conflicting values of header {name}')
            header_map[name] = value
            self.flat_headers += (name, value)

    def _read_framing(self):
        encoding = self.header_map.get('transfer-encoding')
        length = self.header_map.get('content-length')
        connection = self.header_map.get('connection', '').lower()
        self.will_close = 'close' in connection or (
            self.version == 10 and 'keep-alive' not in connection
        )
        if self.status in (204, 304) or self._method == 'HEAD':
            self.length = 0
        elif encoding is not None:
            if encoding.lower() != 'chunked' or length is not None:
                raise ReplyMalformed('the framing of the body is ambiguous')
            self.chunked = True
        elif length is not None and _DIGITS(length):
            self.length = int(length)
        elif length is None and self._until_close:
            self.will_close = True
        else:
            raise ReplyMalformed('the body has no length')

    def _read_next_chunk_size(self):
        line = self.fp.readline(MAX_CHUNK_LINE_BYTES)
        matched = _CHUNK_SIZE(line)
        if matched is None:
            raise ReplyMalformed('a chunk size is malformed')
        return int(matched[1], 16)

    def _read_and_discard_trailer(self):
        """Skip the trailer; the parent's method reads one of any length."""
        size = 0
        while size <= MAX_HEAD_BYTES:
            line = self.fp.readline(MAX_HEAD_BYTES)
            if line in (b'\r\n', b'\n'):
                return
            if not line:
                raise ReplyMalformed('the trailer was cut short')
            size += len(line)
        raise ReplyMalformed('the trailer is too long')

    def _close_conn(self):
        """Detach the reader, which the next response will use."""
        self.fp = None

    def close(self):
        """Detach the reader."""
        self.fp = None

    def flush(self):
        """Do nothing, as a response has nothing to write."""
