"""
damasklanding.control.applier
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Applies committed entries to a replica's state machine, in log order and in one
greenlet, and compacts the log once it has grown.
"""

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from damasklanding.control.snapshots import snapshot_due
from damasklanding.control.snapshots import take_snapshot
from damasklanding.errors import Unavailable

__all__ = ['Applier']

MAX_BATCH_ENTRIES = 64  # other greenlets run between two batches


class Applier:
    """
    Applies entries for one replica.

    :ivar index: index of the latest entry that was applied.
    :ivar bytes_since_snapshot: size of the payloads of the entries applied
        since the last snapshot was taken.
    :ivar paused: whether applying is paused because a received snapshot is
        replacing the state.
    """

    def __init__(self, replica):
        self.index = replica.journal.snapshot.index
        self.bytes_since_snapshot = 0
        self.paused = False
        self._replica = replica
        self._apply_requested = Event()
        self._entries_applied = Event()
        self._snapshot_lock = BoundedSemaphore(1)

    def wake(self):
        """Wake the loop to apply newly committed entries."""
        self._apply_requested.set()

    def reset_to_snapshot(self, index):
        """Continue after the index of a snapshot that replaced the state."""
        self.index = index
        self.bytes_since_snapshot = 0
        self._notify_waiters()
        self.wake()

    def wait(self, index, timeout_ms):
        """Wait for an entry; return whether it was applied in time."""
        with gevent.Timeout(timeout_ms / 1000, False):
            while self.index < index:
                self._entries_applied.wait()
        return self.index >= index

    def run(self):
        """Apply committed entries until the greenlet is killed."""
        while True:
            self._apply_requested.wait()
            self._apply_requested.clear()
            while self._apply_batch():
                gevent.sleep(0)
            if snapshot_due(self._replica):
                gevent.spawn(self._compact_log)

    def _apply_batch(self):
        replica = self._replica
        if self.paused:
            return False
        last = min(replica.commit_index, self.index + MAX_BATCH_ENTRIES)
        for index in range(self.index + 1, last + 1):
            self._apply(replica.journal.entry(index))
        self._notify_waiters()
        return self.index < replica.commit_index

    def _apply(self, entry):
        replica = self._replica
        outcome = b''
        if entry.kind == 'command':
            outcome = self._apply_command(entry)
        self.index = entry.index
        self.bytes_since_snapshot += len(entry.payload)
        if entry.kind == 'members':
            replica.on_members_committed(entry.index)
        replica.proposals.resolve(entry, outcome)

    def _apply_command(self, entry):
        """
        Return the outcome of a command.

        One that raises does so on every host and at every start, so that it
        is refused and the next one is applied.
        """
        state_machine = self._replica.state_machine
        try:
            return state_machine.apply(entry)
        except MemoryError:
            raise  # other hosts may have enough
        except Exception as error:  # noqa: BLE001
            self._replica.note_refused_entry(entry, error)
            return state_machine.refusal(error)

    def _notify_waiters(self):
        event = self._entries_applied
        self._entries_applied = Event()
        event.set()

    def _compact_log(self):
        with self._snapshot_lock:
            if self.paused or not snapshot_due(self._replica):
                return
            covered_bytes = self.bytes_since_snapshot
            try:
                take_snapshot(self._replica)
            except Unavailable:
                self._replica.hand_over_leadership(
                    'its log can not be compacted'
                )
                return
            # A snapshot received meanwhile may have reset the count.
            self.bytes_since_snapshot = max(
                0, self.bytes_since_snapshot - covered_bytes
            )
