"""
damasklanding.node.requestbody
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the body of an HTTP request from a buffered connection.
"""

import re

from gevent.pywsgi import Input

__all__ = ['RequestBody']

MAX_CHUNK_LINE_BYTES = 8 * 1024
MAX_TRAILER_BYTES = 16 * 1024

_CHUNK_LINE = re.compile(rb'([0-9a-fA-F]{1,16})(?:;[^\r\n]*)?\r\n').fullmatch
_TRAILER_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n]*\r\n"
).fullmatch


class RequestBody(Input):
    """
    A request body, with a length or in chunks.

    The parent reads chunk lines byte by byte and a trailer of any length.
    """

    def _chunked_read(self, length=None, use_readline=False):
        self._send_100_continue()
        # Objects of their own for the parts could take far more memory than
        # the parts: a chunk may hold a single byte.
        data = bytearray()
        try:
            while length != 0 and self.chunk_length != 0:
                if self.position >= self.chunk_length:
                    self._start_chunk()
                    continue
                size = self.chunk_length - self.position
                if length is not None:
                    size = min(size, length)
                    length -= size
                data += self._read_chunk_part(size)
        except OSError:
            self._chunked_input_error = True
            raise
        return bytes(data)

    def _start_chunk(self):
        matched = _CHUNK_LINE(self.rfile.readline(MAX_CHUNK_LINE_BYTES))
        if matched is None:
            raise OSError('a chunk line is malformed or too long')
        self.chunk_length = int(matched[1], 16)
        self.position = 0
        if not self.chunk_length:
            self._skip_trailer()

    def _skip_trailer(self):
        size = 0
        while (line := self.rfile.readline(MAX_TRAILER_BYTES)) != b'\r\n':
            size += len(line)
            if size > MAX_TRAILER_BYTES or not _TRAILER_LINE(line):
                raise OSError('the trailer is malformed or too long')

    def _read_chunk_part(self, size):
        part = self.rfile.read(size)
        self.position += len(part)
        if len(part) < size:
            raise OSError('the body ended within a chunk')
        if (
            self.position == self.chunk_length
            and self.rfile.read(2) != b'\r\n'
        ):
            raise OSError('a chunk does not end in CRLF')
        return part
