"""
damasklanding.control.segment
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

File format of a log segment: a sequence of batches, each with a checksummed
header.  A batch is synced before the next is written, so that a crash can
leave only the last batch incomplete.
"""

import struct
import zlib

import msgspec

from damasklanding.errors import CorruptStore

__all__ = ['Batch', 'encode_batch', 'read_batches']

SECTOR_BYTES = 512

#: Length of the body, checksum of the body, checksum of these two fields.
_HEADER = struct.Struct('<III')
_PREFIX = struct.Struct('<II')
_CHECKSUM = struct.Struct('<I')


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """
    Body of one batch of a segment.

    :ivar entries: term, index, kind and payload of each entry.
    :ivar base_index: index of the entry before the first one, in the first
        batch of a segment; -1 in all other batches.
    :ivar base_term: term of the entry at ``base_index``.
    """

    entries: list[tuple[int, int, str, bytes]]
    base_index: int = -1
    base_term: int = 0


_encode = msgspec.msgpack.Encoder().encode
_decode_batch = msgspec.msgpack.Decoder(Batch).decode


def encode_batch(entries, base_index=-1, base_term=0):
    """Encode a batch with its header to bytes."""
    rows = [(e.term, e.index, e.kind, e.payload) for e in entries]
    body = _encode(Batch(rows, base_index, base_term))
    prefix = _PREFIX.pack(len(body), zlib.crc32(body))
    return prefix + _CHECKSUM.pack(zlib.crc32(prefix)) + body


def _is_zero_filled(data):
    return not any(bytes(data))


def read_batches(path, data):
    """
    Yield each batch with the offset of its end.

    An incomplete batch at the end of the file ends the iteration, since a
    crash during a write leaves one.  Its unwritten part can be missing or
    filled with zeros.

    :raises CorruptStore: the data is damaged in a way that an interrupted
        write can't cause.
    """
    offset = 0
    data = memoryview(data)
    while offset < len(data):
        remaining = data[offset:]
        if len(remaining) < _HEADER.size:
            return
        length, checksum, header_checksum = _HEADER.unpack_from(remaining)
        body = remaining[_HEADER.size : _HEADER.size + length]
        if zlib.crc32(remaining[: _PREFIX.size]) != header_checksum:
            if _is_zero_filled(remaining[_HEADER.size :]):
                return
            raise CorruptStore(f'{path} is damaged at byte {offset}')
        if len(body) < length:
            return
        if zlib.crc32(body) != checksum:
            is_last = len(remaining) == _HEADER.size + length
            if is_last and _is_zero_filled(remaining[-SECTOR_BYTES:]):
                return
            raise CorruptStore(f'{path} is damaged at byte {offset}')
        offset += _HEADER.size + length
        yield _decode_batch(body), offset
