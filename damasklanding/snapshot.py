"""
damasklanding.snapshot
~~~~~~~~~~~~~~~~~~~~~~

A snapshot of the configuration as one file with its checksum.  Equal states
give equal bytes, so that control hosts can be compared by checksum.
"""

import hashlib

import msgspec

from damasklanding.errors import CorruptStore
from damasklanding.fleet.resources import decode_changes
from damasklanding.fleet.resources import encode_changes

__all__ = ['Snapshot', 'decode_snapshot', 'encode_snapshot']

MAGIC = b'damasklanding-snapshot-1\n'
_REMEDY = 'fetch it again, from another control host if need be'


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """
    A decoded snapshot.

    :ivar checksum: SHA-256 of the content, hexadecimal.
    :ivar resources: resources by kind.
    """

    term: int
    revision: int
    checksum: str
    resources: dict[str, list]


class _Content(msgspec.Struct, frozen=True, array_like=True):
    term: int
    revision: int
    changes: bytes


def encode_snapshot(state):
    """Return the bytes of a snapshot of a FleetState."""
    changes = sorted(
        state.snapshot(), key=lambda change: (change.kind, change.name)
    )
    content = msgspec.msgpack.encode(
        _Content(state.term, state.revision, encode_changes(changes))
    )
    checksum = hashlib.sha256(content).hexdigest()
    return MAGIC + checksum.encode() + b'\n' + content


def decode_snapshot(data):
    """
    Check the bytes of a snapshot and return it decoded.

    :raises CorruptStore: where the checksum or the content is wrong.
    """
    if not data.startswith(MAGIC):
        raise CorruptStore('this is no snapshot of the fleet', _REMEDY)
    checksum, _, content = data[len(MAGIC) :].partition(b'\n')
    if hashlib.sha256(content).hexdigest().encode() != checksum:
        raise CorruptStore('the checksum does not match the content', _REMEDY)
    try:
        decoded = msgspec.msgpack.decode(content, type=_Content)
        resources = {}
        for change in decode_changes(decoded.changes):
            resources.setdefault(change.kind, []).append(change.resource())
    except (msgspec.MsgspecError, KeyError) as error:
        raise CorruptStore(
            f'the content is malformed ({error})', _REMEDY
        ) from error
    return Snapshot(
        term=decoded.term,
        revision=decoded.revision,
        checksum=checksum.decode(),
        resources=resources,
    )
