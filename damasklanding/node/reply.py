"""
damasklanding.node.reply
~~~~~~~~~~~~~~~~~~~~~~~~

Reads one HTTP answer from a buffered connection.  The standard library's
response does the framing of bodies; only the head is read here, without its
mail parser, and with stricter checks.
"""

from http.client import HTTPException
from http.client import HTTPResponse
import re

__all__ = ['Reply', 'ReplyMalformed']

MAX_HEAD_BYTES = 64 * 1024

_STATUS_LINE = re.compile(r'HTTP/1\.([01]) ([1-5][0-9][0-9])(?: .*)?')
_HEADERS = re.compile(
    r"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00\r\n]*(?:\r\n|\Z))*"
).fullmatch
_DIGITS = re.compile(r'[0-9]{1,18}').fullmatch
_CHUNK_SIZE = re.compile(rb'([0-9a-fA-F]{1,15})[ \t]*(?:;.*)?\r\n').fullmatch
_ONCE = frozenset(('content-length', 'transfer-encoding'))


class ReplyMalformed(HTTPException):
    """
    An answer that can't be read without a doubt.

    :ivar nothing_received: whether the connection ended before any byte of it.
    """

    nothing_received = False


class Reply(HTTPResponse):
    """
    An answer on a connection that may carry more of them.

    :param until_close: whether a body may end with its connection.
    :ivar flat_headers: names in lower case and values, alternating.
    :ivar header_map: values by name.
    :ivar buffered: bytes that the reader held behind the head, None where
        that is not known.
    """

    def __init__(self, reader, method, until_close=False):
        # The parent would open a reader of its own for each answer.
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
        Read the head.

        :raises ReplyMalformed: it is cut, or its framing is in doubt.
        """
        while True:
            line, _, rest = self._read_head().partition('\r\n')
            found = _STATUS_LINE.fullmatch(line)
            if found is None:
                raise ReplyMalformed('the status line is malformed')
            if not found[2].startswith('1'):
                break
        self.version = 10 + int(found[1])
        self.status = self.code = int(found[2])
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
                raise ReplyMalformed('the head was cut or is too long')
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
            if name in _ONCE and header_map.get(name, value) != value:
                raise ReplyMalformed(f'two different headers {name}')
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
                raise ReplyMalformed('the body has two framings')
            self.chunked = True
        elif length is not None and _DIGITS(length):
            self.length = int(length)
        elif length is None and self._until_close:
            self.will_close = True
        else:
            raise ReplyMalformed('the body has no length')

    def _read_next_chunk_size(self):
        line = self.fp.readline(MAX_HEAD_BYTES)
        found = _CHUNK_SIZE(line)
        if found is None:
            raise ReplyMalformed('a chunk size is malformed')
        return int(found[1], 16)

    def _close_conn(self):
        """Leave the reader to the connection's next answer."""
        self.fp = None

    def close(self):
        """Let go of the reader."""
        self.fp = None

    def flush(self):
        """Do nothing; there is nothing to write."""
