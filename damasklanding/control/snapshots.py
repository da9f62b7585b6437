"""
damasklanding.control.snapshots
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Snapshots of a replica's state.  A snapshot allows the log to be compacted; a
leader sends it to a peer that needs entries which the log no longer holds.
"""

from loguru import logger
import msgspec

from damasklanding.control.journal import Snapshot
from damasklanding.control.members import decode_members
from damasklanding.control.members import encode_members
from damasklanding.control.storage import shielded
from damasklanding.errors import DamasklandingError
from damasklanding.messages import SnapshotChunk
from damasklanding.messages import SnapshotReply

__all__ = [
    'SnapshotReceiver',
    'send_snapshot',
    'snapshot_due',
    'take_snapshot',
]

CHUNK_BYTES = 524_288
#: Entries before a snapshot that stay in the log, so that followers which are
#: only slightly behind need no snapshot.
MAX_RETAINED_ENTRIES = 1_024

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Snapshot).decode


def snapshot_due(replica):
    """
    Return whether the log has grown enough to be compacted.

    Its size counts as well as its length: an empty host has to take and to
    apply all that follows the snapshot, and each host keeps it in memory and
    reads it at a start.
    """
    timing = replica.timing
    entries = replica.applied_index - replica.journal.snapshot.index
    return (
        entries >= timing.snapshot_entries
        or replica.applier.bytes_since_snapshot >= timing.snapshot_bytes
    )


def take_snapshot(replica):
    """
    Store a snapshot of the applied state and compact the log.

    :raises Unavailable: the disk fails.
    """
    replica.journal.ensure_writable()
    index = replica.applied_index
    snapshot = Snapshot(
        index,
        replica.journal.term_at(index),
        encode_members(replica.membership.members_at(index)),
        replica.state_machine.snapshot(),
    )
    timing = replica.timing
    replica.journal.save_snapshot(
        snapshot,
        keep_entries=min(MAX_RETAINED_ENTRIES, timing.snapshot_entries // 4),
        keep_bytes=timing.snapshot_bytes // 4,
    )
    replica.membership.forget_before(index)


def send_snapshot(leadership, peer):
    """
    Send the latest snapshot to a peer in chunks.

    :return: whether the peer has installed it.
    """
    replica = leadership.replica
    snapshot = replica.journal.snapshot
    data = _encode(snapshot)
    offset = 0
    while offset < len(data):
        data_chunk = data[offset : offset + CHUNK_BYTES]
        last = offset + len(data_chunk) == len(data)
        chunk = SnapshotChunk(
            replica.group,
            leadership.term,
            replica.name,
            snapshot.index,
            snapshot.term,
            offset,
            data_chunk,
            last,
        )
        sent_ms = replica.now_ms()
        try:
            reply = replica.send(
                peer.name, chunk, replica.timing.snapshot_timeout_ms
            )
        except DamasklandingError:
            return False
        if not leadership.record_reply(peer, reply, sent_ms):
            return False
        if reply.offset != offset + len(data_chunk):
            return False
        offset = reply.offset
    peer.next_index = snapshot.index + 1
    return True


class SnapshotReceiver:
    """Receives the chunks of a snapshot from a leader."""

    def __init__(self, replica):
        self._replica = replica
        self._transfer_id = None
        self._received = bytearray()

    def handle(self, request):
        """
        Receive one chunk; the last one installs the snapshot.

        The reply holds the number of bytes received, 0 for a refused chunk.
        """
        replica = self._replica
        if request.term < replica.term:
            return self._reply(0)
        replica.follow_leader(request.term, request.leader)
        replica.journal.ensure_writable()
        replica.journal.sync_vote()
        transfer_id = (request.term, request.leader, request.last_index)
        if request.offset == 0:
            self._transfer_id = transfer_id
            self._received.clear()
        if transfer_id != self._transfer_id or request.offset != len(
            self._received
        ):
            return self._reply(0)
        self._received += request.data
        offset = len(self._received)
        if request.last:
            snapshot = _decode(bytes(self._received))
            self._transfer_id = None
            self._received.clear()
            shielded(install_snapshot, replica, snapshot)
        return self._reply(offset)

    def _reply(self, offset):
        replica = self._replica
        return SnapshotReply(replica.term, offset, replica.incarnation)


def install_snapshot(replica, snapshot):
    """Replace the state by a snapshot, unless the snapshot is older."""
    if snapshot.index <= replica.commit_index:
        return
    logger.info(
        '{}: a snapshot of entry {} ({} bytes) replaces the state of entry {}',
        replica.group,
        snapshot.index,
        len(snapshot.state),
        replica.applied_index,
    )
    replica.increment_counter('snapshots_installed_total')
    replica.applier.paused = True
    try:
        replica.journal.save_snapshot(snapshot)
        replica.state_machine.restore(snapshot.state)
        replica.reset_to_snapshot(snapshot, decode_members(snapshot.members))
    finally:
        replica.applier.paused = False
