"""
damasklanding.control.applier
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Applies accepted entries to a replica's machine, in order and in one
greenlet, and cuts the log once it has grown.
"""

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from damasklanding.control.snapshots import snapshot_due
from damasklanding.control.snapshots import take_snapshot
from damasklanding.errors import Unavailable

__all__ = ['Applier']

CHUNK_ENTRIES = 64  # other greenlets run after so many


class Applier:
    """
    Position and loop of the machine.

    :ivar index: of the latest entry applied.
    :ivar paused: set while a received snapshot replaces the machine's state.
    """

    def __init__(self, replica):
        self.index = replica.journal.snapshot.index
        self.paused = False
        self._replica = replica
        self._wanted = Event()
        self._progress = Event()
        self._snapshot_lock = BoundedSemaphore(1)

    def wake(self):
        """Look for accepted entries that are not applied yet."""
        self._wanted.set()

    def reset_to_snapshot(self, index):
        """Go on after a snapshot that has replaced the machine's state."""
        self.index = index
        self._note_progress()
        self.wake()

    def wait(self, index, timeout_ms):
        """Return whether an index was applied in time."""
        with gevent.Timeout(timeout_ms / 1000, False):
            while self.index < index:
                self._progress.wait()
        return self.index >= index

    def run(self):
        """Apply for as long as the replica takes part."""
        while True:
            self._wanted.wait()
            self._wanted.clear()
            while self._apply_some():
                gevent.sleep(0)
            if snapshot_due(self._replica):
                gevent.spawn(self._cut_log)

    def _apply_some(self):
        replica = self._replica
        if self.paused:
            return False
        last = min(replica.commit_index, self.index + CHUNK_ENTRIES)
        for index in range(self.index + 1, last + 1):
            self._apply(replica.journal.entry(index))
        self._note_progress()
        return self.index < replica.commit_index

    def _apply(self, entry):
        replica = self._replica
        outcome = b''
        if entry.kind == 'command':
            outcome = replica.state_machine.apply(entry)
        self.index = entry.index
        if entry.kind == 'members':
            replica.on_members_committed(entry.index)
        replica.proposals.resolve(entry, outcome)

    def _note_progress(self):
        progress = self._progress
        self._progress = Event()
        progress.set()

    def _cut_log(self):
        with self._snapshot_lock:
            if self.paused or not snapshot_due(self._replica):
                return
            try:
                take_snapshot(self._replica)
            except Unavailable:
                self._replica.step_down('its log can not be cut')
