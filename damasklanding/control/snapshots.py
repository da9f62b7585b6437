"""
damasklanding.control.snapshots
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Takes a replica's snapshot so that its log can be cut, sends it to a peer
that is behind the log, and installs a received one.
"""

import msgspec

from damasklanding.control.journal import Snapshot
from damasklanding.control.members import decode_members
from damasklanding.control.members import encode_members
from damasklanding.control.storage import shielded
from damasklanding.errors import DamasklandingError
from damasklanding.messages import SnapshotChunk
from damasklanding.messages import SnapshotReply

__all__ = ['Incoming', 'send_snapshot', 'snapshot_due', 'take_snapshot']

CHUNK_BYTES = 524_288
KEPT_ENTRIES = 1_024  # for followers that are only a little behind

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Snapshot).decode


def snapshot_due(replica):
    """Return whether the log has grown enough to be cut."""
    journal = replica.journal
    entries = replica.applied_index - journal.snapshot.index
    return (
        entries >= replica.timing.snapshot_entries
        or entries > KEPT_ENTRIES
        and journal.log_bytes >= replica.timing.snapshot_bytes
    )


def take_snapshot(replica):
    """Store the applied state and drop the entries that it covers."""
    index = replica.applied_index
    snapshot = Snapshot(
        index,
        replica.journal.term_at(index),
        encode_members(replica.membership.members_at(index)),
        replica.state_machine.snapshot(),
    )
    keep = min(KEPT_ENTRIES, replica.timing.snapshot_entries // 4)
    replica.journal.save_snapshot(snapshot, keep)
    replica.membership.forget_before(index)


def send_snapshot(leadership, peer):
    """
    Send the stored snapshot to a peer.

    :return: whether the peer has it now.
    """
    replica = leadership.replica
    snapshot = replica.journal.snapshot
    data = _encode(snapshot)
    offset = 0
    while offset < len(data):
        part = data[offset : offset + CHUNK_BYTES]
        last = offset + len(part) == len(data)
        chunk = SnapshotChunk(
            replica.group,
            leadership.term,
            replica.name,
            snapshot.index,
            snapshot.term,
            offset,
            part,
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
        if reply.offset != offset + len(part):
            return False
        offset = reply.offset
    peer.next_index = snapshot.index + 1
    return True


class Incoming:
    """Collects the parts of a snapshot from a leader."""

    def __init__(self, replica):
        self._replica = replica
        self._source = None
        self._data = bytearray()

    def handle(self, request):
        """Take one part; install the snapshot with the last one."""
        replica = self._replica
        if request.term < replica.term:
            return self._reply(0)
        replica.follow_leader(request.term, request.leader)
        replica.journal.sync_vote()
        source = (request.term, request.leader, request.last_index)
        if request.offset == 0:
            self._source = source
            self._data.clear()
        if source != self._source or request.offset != len(self._data):
            return self._reply(0)
        self._data += request.data
        offset = len(self._data)
        if request.last:
            snapshot = _decode(bytes(self._data))
            self._source = None
            self._data.clear()
            shielded(install_snapshot, replica, snapshot)
        return self._reply(offset)

    def _reply(self, offset):
        replica = self._replica
        return SnapshotReply(replica.term, offset, replica.incarnation)


def install_snapshot(replica, snapshot):
    """Replace an older state by a snapshot of committed entries."""
    if snapshot.index <= replica.commit_index:
        return
    replica.applier.paused = True
    try:
        replica.journal.save_snapshot(snapshot)
        replica.state_machine.restore(snapshot.state)
        replica.reset_to_snapshot(snapshot, decode_members(snapshot.members))
    finally:
        replica.applier.paused = False
