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

__all__ = ['Batch', 'encode_batch', 'encode_batches', 'read_batches']

SECTOR_BYTES = 512
MAX_BATCH_BYTES = 1_048_576  # of the payloads in one batch of a new segment

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


def encode_batches(entries, base_index, base_term):
    """
    Yield the encoded batches of a new segment.

    There is at least one, which is empty without entries.  A batch of several
    entries holds at most ``MAX_BATCH_BYTES`` of payloads.
    """
    batch, payload_bytes = [], 0
    for entry in entries:
        payload_bytes += len(entry.payload)
        if batch and payload_bytes > MAX_BATCH_BYTES:
            yield encode_batch(batch, base_index, base_term)
            batch, payload_bytes = [], len(entry.payload)
            base_index, base_term = -1, 0
        batch.append(entry)
    yield encode_batch(batch, base_index, base_term)


def _is_zero_filled(data):
    return not any(bytes(data))


def read_batches(path, file):
    """
    Yield the batches of an open file, one in memory at a time.

    An incomplete batch at the end of the file ends the iteration, since a
    crash during a write leaves one.  Its unwritten part can be missing or
    filled with zeros.

    :raises CorruptStore: the data is damaged in a way that an interrupted
        write can't cause.
    """
    while True:
        offset = file.tell()
        header = file.read(_HEADER.size)
        if len(header) < _HEADER.size:
            return
        length, checksum, header_checksum = _HEADER.unpack(header)
        if zlib.crc32(header[: _PREFIX.size]) != header_checksum:
            if _is_zero_filled(file.read()):
                return
            raise CorruptStore(f'{path} is damaged at byte {offset}')
        body = file.read(length)
        if len(body) < length:
            return
        if zlib.crc32(body) != checksum:
            is_last = not file.read(1)
            end = body if length >= SECTOR_BYTES else header + body
            if is_last and _is_zero_filled(end[-SECTOR_BYTES:]):
                return
            raise CorruptStore(f'{path} is damaged at byte {offset}')
        yield _decode_batch(body)
