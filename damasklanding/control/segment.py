"""
damasklanding.control.segment
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Format of a log segment: batches behind checksummed headers.  Each batch is
synced before the next is written, so that only the last one can be torn.
"""

import struct
import zlib

import msgspec

from damasklanding.errors import CorruptStore

__all__ = ['Batch', 'encode_batch', 'read_batches']

SECTOR_BYTES = 512

#: Length of the body, its checksum, checksum of both.
_HEADER = struct.Struct('<III')
_PREFIX = struct.Struct('<II')
_CHECKSUM = struct.Struct('<I')


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """
    Body of one batch of a segment.

    :ivar base_index: index before the first entry; set in the first batch
        of a segment only.
    """

    entries: list[tuple[int, int, str, bytes]]
    base_index: int = -1
    base_term: int = 0


_encode = msgspec.msgpack.Encoder().encode
_decode_batch = msgspec.msgpack.Decoder(Batch).decode


def encode_batch(entries, base_index=-1, base_term=0):
    """Return the bytes of one batch, header included."""
    rows = [(e.term, e.index, e.kind, e.payload) for e in entries]
    body = _encode(Batch(rows, base_index, base_term))
    prefix = _PREFIX.pack(len(body), zlib.crc32(body))
    return prefix + _CHECKSUM.pack(zlib.crc32(prefix)) + body


def _unwritten(data):
    return not any(bytes(data))


def read_batches(path, data):
    """
    Yield batches with the offset after each, up to a torn tail.

    :raises CorruptStore: damage that an interrupted write can't explain.
    """
    offset = 0
    data = memoryview(data)
    while offset < len(data):
        rest = data[offset:]
        if len(rest) < _HEADER.size:
            return
        length, checksum, header_checksum = _HEADER.unpack_from(rest)
        body = rest[_HEADER.size : _HEADER.size + length]
        if zlib.crc32(rest[: _PREFIX.size]) != header_checksum:
            if _unwritten(rest[_HEADER.size :]):
                return
            raise CorruptStore(f'{path} is damaged at byte {offset}')
        if len(body) < length:
            return
        if zlib.crc32(body) != checksum:
            is_last = len(rest) == _HEADER.size + length
            if is_last and _unwritten(rest[-SECTOR_BYTES:]):
                return
            raise CorruptStore(f'{path} is damaged at byte {offset}')
        offset += _HEADER.size + length
        yield _decode_batch(body), offset
