"""
damasklanding.snapshot
~~~~~~~~~~~~~~~~~~~~~~

Snapshots of the configuration as files with a checksum.  Equal states give
equal bytes, so the states of control hosts can be compared by checksum.
"""

import hashlib

import msgspec

from damasklanding.errors import CorruptStore
from damasklanding.fleet.resources import decode_changes
from damasklanding.fleet.resources import encode_changes

__all__ = ['Snapshot', 'decode_snapshot', 'encode_snapshot']

MAGIC = b'damasklanding-snapshot-1\n'
_FETCH_AGAIN = 'fetch it again, if need be from another control host'


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
    """Return the bytes of a snapshot of a ``FleetState``."""
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
    Verify and decode the bytes of a snapshot.

    :return: :class:`Snapshot`.
    :raises CorruptStore: the checksum or the content is wrong.
    """
    if not data.startswith(MAGIC):
        raise CorruptStore('this is not a snapshot of the fleet', _FETCH_AGAIN)
    checksum, _, content = data[len(MAGIC) :].partition(b'\n')
    if hashlib.sha256(content).hexdigest().encode() != checksum:
        raise CorruptStore(
            'the checksum does not match the content', _FETCH_AGAIN
        )
    try:
        decoded = msgspec.msgpack.decode(content, type=_Content)
        resources = {}
        for change in decode_changes(decoded.changes):
            resources.setdefault(change.kind, []).append(change.resource())
    except (msgspec.MsgspecError, KeyError) as error:
        raise CorruptStore(
            f'the content is malformed ({error})', _FETCH_AGAIN
        ) from error
    return Snapshot(
        term=decoded.term,
        revision=decoded.revision,
        checksum=checksum.decode(),
        resources=resources,
    )
