"""
damasklanding.fleet.packing
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Encodes changes of the configuration for messages, compressed with zlib where
the receiver reads that.
"""

import zlib

import msgspec

from damasklanding.errors import BadInput
from damasklanding.fleet.resources import decode_changes
from damasklanding.fleet.resources import encode_changes

__all__ = ['pack_changes', 'unpack_changes']

#: Shorter changes gain little from compression.
MIN_COMPRESSED_BYTES = 256
COMPRESSION_LEVEL = 6
#: Limit of the changes of one message once they are decompressed.
MAX_CHANGES_BYTES = 64 * 1024 * 1024


def pack_changes(changes, compressed):
    """
    Encode changes for a message.

    :param compressed: whether the receiver reads compressed changes.
    :return: pair of bytes and whether they are compressed.
    """
    data = encode_changes(changes)
    if not compressed or len(data) < MIN_COMPRESSED_BYTES:
        return data, False
    return zlib.compress(data, COMPRESSION_LEVEL), True


def unpack_changes(message):
    """
    Decode the changes of a message.

    :param message: :class:`~damasklanding.messages.WatchSnapshot` or
        :class:`~damasklanding.messages.WatchDelta`.
    :return: list of :class:`~damasklanding.fleet.resources.Change`.
    :raises BadInput: they can't be decoded.
    """
    data = message.changes
    if message.compressed:
        data = _decompress(data)
    try:
        return decode_changes(data)
    except msgspec.MsgspecError as error:
        raise BadInput(
            f'changes cannot be read ({error})',
            'run the same release on all hosts',
        ) from error


def _decompress(data):
    decompressor = zlib.decompressobj()
    try:
        changes = decompressor.decompress(data, MAX_CHANGES_BYTES)
    except zlib.error as error:
        raise BadInput(
            f'compressed changes cannot be read ({error})',
            'check that a damasklanding process is at the other end',
        ) from error
    if not decompressor.eof:
        raise BadInput(
            'compressed changes are cut off or too long',
            f'send changes of at most {MAX_CHANGES_BYTES} bytes',
        )
    return changes
