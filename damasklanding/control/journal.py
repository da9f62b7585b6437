"""
damasklanding.control.journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Durable storage of one replica: its vote, its latest snapshot and the log that
follows the snapshot.  The log is a segment file of checksummed batches.  Each
batch is synced before the next is written, so that a crash can leave only the
last batch incomplete.

After a failed write or sync the kernel may have dropped the unwritten pages
and report so only once, so that a later sync of the same file proves nothing.
The log and the vote are then written from memory to new files, and nothing
counts as durable until these are synced.
"""

from contextlib import suppress
import glob
import os

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
import msgspec

from damasklanding.control.segment import encode_batch
from damasklanding.control.segment import encode_batches
from damasklanding.control.segment import read_batches
from damasklanding.control.storage import create_file
from damasklanding.control.storage import in_thread
from damasklanding.control.storage import read_file
from damasklanding.control.storage import shielded
from damasklanding.control.storage import sync_folder
from damasklanding.control.storage import write_all
from damasklanding.control.storage import write_file
from damasklanding.errors import CorruptStore
from damasklanding.errors import Unavailable
from damasklanding.messages import LogEntry

__all__ = ['Journal', 'Snapshot', 'Vote']

VOTE_NAME = 'vote'
SNAPSHOT_NAME = 'snapshot'
SEGMENT_PATTERN = 'segment-*'
#: Pause between two attempts to write to a disk that fails.
DISK_RETRY_MS = 200


_encode = msgspec.msgpack.Encoder().encode


class Vote(msgspec.Struct, array_like=True, frozen=True):
    """The latest term seen and the candidate that got the vote in it."""

    term: int = 0
    voted_for: str = ''


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """
    State of the state machine after the entry at an index.

    :ivar members: encoded members in force at that index.
    """

    index: int = 0
    term: int = 0
    members: bytes = b''
    state: bytes = b''


class Journal:
    """
    Log, vote and snapshot of one replica, stored in one folder.

    One greenlet writes the log in batches, so that concurrent callers of
    :meth:`sync` share a disk sync.

    :ivar base_index: index of the entry before the first one in the log.
    :ivar base_term: term of the entry at ``base_index``.
    :ivar log_bytes: size of the current segment file.
    :ivar error: the error of the disk since which nothing could be written, or
        None.
    :ivar snapshot: latest :class:`Snapshot`, an empty one if there is none.
    :ivar vote: :class:`Vote`, durable once :meth:`sync_vote` has returned.
    """

    def __init__(self, folder, sync_file=os.fsync):
        self.folder = folder
        self.base_index = 0
        self.base_term = 0
        self.log_bytes = 0
        self.error = None
        self._entries = []
        self._pending_entries = []
        self._in_flight_entries = []
        self._rewrite_requested = False
        self._stopping = Event()
        self._sync_file = sync_file
        self._requested_writes = 0
        self._completed_writes = 0
        self._write_requested = Event()
        self._write_completed = Event()
        self._vote_lock = BoundedSemaphore(1)
        self._snapshot_lock = BoundedSemaphore(1)
        self._load()
        self._writer = gevent.spawn(self._write_loop)

    @property
    def last_index(self):
        """Return the index of the last entry, whether durable or not."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self):
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def durable_index(self):
        """Return the index up to which all entries are on disk."""
        unsynced = [
            e.index for e in self._in_flight_entries + self._pending_entries
        ]
        return min(unsynced) - 1 if unsynced else self.last_index

    def is_empty(self):
        """Return whether no vote and no entry was ever stored here."""
        return self.vote.term == 0 and self.last_index == 0

    def term_at(self, index):
        """Return the term of the entry at an index, None if unknown."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry(self, index):
        """Return the entry at an index, which must be in the log."""
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index, max_entries, max_bytes):
        """
        Return consecutive entries from an index on, within both limits.

        The first entry is returned even if it exceeds ``max_bytes``.
        """
        start = index - self.base_index - 1
        selected = []
        payload_bytes = 0
        for entry in self._entries[start : start + max_entries]:
            payload_bytes += len(entry.payload)
            if selected and payload_bytes > max_bytes:
                break
            selected.append(entry)
        return selected

    def append(self, entries):
        """
        Append entries, replacing any at the same or later indexes.

        The entries are durable once a later :meth:`sync` has returned.
        """
        if not entries:
            return
        del self._entries[entries[0].index - self.base_index - 1 :]
        self._entries.extend(entries)
        self._pending_entries.extend(entries)
        self._requested_writes += 1
        self._write_requested.set()

    def ensure_writable(self):
        """
        Return if the last write to the disk succeeded.

        :raises Unavailable: if it failed or the journal is closed.
        """
        if self._stopping.is_set():
            raise Unavailable(f'{self.folder} is closed')
        if self.error is not None:
            raise Unavailable(
                f'{self.folder} can not be written ({self.error})',
                'check the disk; writing is tried again until it succeeds',
            )

    def sync(self):
        """
        Return once all entries appended before the call are durable.

        :raises Unavailable: if the disk failed or the journal is closed.
        """
        target = self._requested_writes
        while self._completed_writes < target:
            self.ensure_writable()
            self._write_completed.wait()
        self.ensure_writable()

    def sync_vote(self):
        """Return once the current vote is durable."""
        if self._durable_vote != self.vote:
            shielded(self._store_vote)

    def save_snapshot(self, snapshot, keep_entries=0, keep_bytes=float('inf')):
        """
        Store a snapshot and drop the entries that it covers.

        :param keep_entries: how many of these entries to keep at most for
            followers that are slightly behind.
        :param keep_bytes: size of the payloads of the kept entries at most.
        """
        shielded(self._store_snapshot, snapshot, keep_entries, keep_bytes)

    def close(self, flush=True):
        """
        Stop writing and close the files.

        :param flush: whether to sync first; otherwise entries that are not
            yet on disk are lost.
        """
        if flush:
            with suppress(Unavailable):
                self.sync()
        self._stopping.set()
        self._write_requested.set()
        self._writer.join()
        self._notify_waiters()
        with self._vote_lock, self._snapshot_lock:
            self._close_file()

    def _store_vote(self):
        with self._vote_lock:
            self.ensure_writable()
            try:
                self._replace_vote()
            except OSError as error:
                self._record_failure(error)
                self.ensure_writable()

    def _replace_vote(self):
        vote = self.vote
        if vote != self._durable_vote:
            in_thread(self._write_vote, vote)
            self._durable_vote = vote

    def _store_snapshot(self, snapshot, keep_entries, keep_bytes):
        with self._snapshot_lock:
            self.ensure_writable()
            if snapshot.index <= self.snapshot.index:
                return
            try:
                in_thread(self._write_snapshot, snapshot)
            except OSError as error:
                self._record_failure(error)
                self.ensure_writable()
            self.snapshot = snapshot
        if self.term_at(snapshot.index) == snapshot.term:
            self._drop_through(
                self._last_to_drop(snapshot.index, keep_entries, keep_bytes)
            )
        else:
            self._clear_log(snapshot)
        self._rewrite_requested = True
        self._requested_writes += 1
        self._write_requested.set()

    def _record_failure(self, error):
        if self.error is None:
            _log('error', '{} can not be written: {}', self.folder, error)
        self.error = error
        self._write_requested.set()
        self._notify_waiters()

    def _last_to_drop(self, index, keep_entries, keep_bytes):
        """Return the last index to drop so that entries up to one are kept."""
        first_index = max(self.base_index, index - keep_entries)
        kept_bytes = 0
        while index > first_index:
            kept_bytes += len(self.entry(index).payload)
            if kept_bytes > keep_bytes:
                break
            index -= 1
        return index

    def _drop_through(self, index):
        count = index - self.base_index
        if count <= 0:
            return
        self.base_term = self._entries[count - 1].term
        del self._entries[:count]
        self.base_index = index

    def _clear_log(self, snapshot):
        self._entries = []
        self._pending_entries = []
        self.base_index = snapshot.index
        self.base_term = snapshot.term

    def _path(self, name):
        return os.path.join(self.folder, name)

    def _write_vote(self, vote):
        write_file(self._path(VOTE_NAME), _encode(vote), self._sync_file)

    def _write_snapshot(self, snapshot):
        data = _encode(snapshot)
        write_file(self._path(SNAPSHOT_NAME), data, self._sync_file)

    def _write_loop(self):
        while not self._stopping.is_set():
            self._write_requested.wait()
            self._write_requested.clear()
            while not self._stopping.is_set() and self._has_work():
                try:
                    if self.error is None:
                        self._write_pending()
                    else:
                        self._write_to_new_files()
                except OSError as error:
                    self._record_failure(error)
                    self._stopping.wait(DISK_RETRY_MS / 1000)

    def _has_work(self):
        return (
            self.error is not None
            or self._completed_writes < self._requested_writes
        )

    def _write_pending(self):
        target = self._requested_writes
        self._in_flight_entries = self._pending_entries
        self._pending_entries = []
        if self._rewrite_requested:
            self._rewrite_log()
        else:
            in_thread(self._write_batch, encode_batch(self._in_flight_entries))
        self._in_flight_entries = []
        self._completed_writes = target
        self._notify_waiters()

    def _write_to_new_files(self):
        """Write log and vote from memory to new files after a failure."""
        target = self._requested_writes
        self._in_flight_entries += self._pending_entries
        self._pending_entries = []
        self._rewrite_log()
        self._in_flight_entries = []
        self._completed_writes = target
        with self._vote_lock:
            self._replace_vote()
        self.error = None
        self._notify_waiters()
        _log('info', '{} can be written again', self.folder)

    def _rewrite_log(self):
        if not self._segment_number:
            in_thread(self._write_vote, Vote())
        number = self._segment_number + 1
        in_thread(self._start_segment, self._encode_log(), number)
        self._rewrite_requested = False

    def _notify_waiters(self):
        event = self._write_completed
        self._write_completed = Event()
        event.set()

    def _encode_log(self):
        entries = list(self._entries)  # is encoded while others are appended
        return encode_batches(entries, self.base_index, self.base_term)

    def _write_batch(self, data):
        write_all(self._file, data)
        self._sync_file(self._file.fileno())
        self.log_bytes += len(data)

    def _start_segment(self, batches, number):
        path = self._path(f'segment-{number:012d}')
        file = create_file(f'{path}.new', batches, self._sync_file)
        try:
            os.rename(f'{path}.new', path)
            sync_folder(self.folder)
        except OSError:
            file.close()
            raise
        self._close_file()
        self._file = file
        self._segment_number = number
        self.log_bytes = file.tell()
        self._remove_segments_before(number)

    def _close_file(self):
        if self._file is not None:
            with suppress(OSError):
                self._file.close()
            self._file = None

    def _segment_paths(self):
        paths = sorted(glob.glob(self._path(SEGMENT_PATTERN)))
        return [path for path in paths if not path.endswith('.new')]

    def _remove_segments_before(self, number):
        for path in self._segment_paths():
            if int(path.rpartition('-')[2]) < number:
                os.unlink(path)

    def _load(self):
        os.makedirs(self.folder, exist_ok=True)
        self._file = None
        self._segment_number = 0
        vote = read_file(self._path(VOTE_NAME))
        segments = self._segment_paths()
        if vote is None and segments:
            raise CorruptStore(f'{self.folder} has a log but no vote')
        self.vote = Vote()
        if vote is not None:
            self.vote = msgspec.msgpack.decode(vote, type=Vote)
        self._durable_vote = None
        self.snapshot = self._load_snapshot()
        if segments:
            self._load_segment(segments[-1])
            self._match_log_to_snapshot(self.snapshot)
        elif self.vote.term:
            raise CorruptStore(f'{self.folder} has a vote but no log')
        else:
            self._clear_log(self.snapshot)
        try:
            self._write_what_was_read()
        except OSError as error:
            self._in_flight_entries = list(self._entries)
            self._record_failure(error)

    def _write_what_was_read(self):
        """
        Write vote and log to new files.

        What was read can stand in the page cache alone, if a sync failed
        before an earlier process ended.
        """
        for path in glob.glob(self._path('*.new')):
            os.unlink(path)
        self._write_vote(self.vote)
        self._durable_vote = self.vote
        self._start_segment(self._encode_log(), max(1, self._segment_number))

    def _load_snapshot(self):
        data = read_file(self._path(SNAPSHOT_NAME))
        if data is None:
            return Snapshot()
        return msgspec.msgpack.decode(data, type=Snapshot)

    def _load_segment(self, path):
        is_empty = True
        with open(path, 'rb') as file:
            for batch in read_batches(path, file):
                is_empty = False
                if batch.base_index >= 0:
                    self.base_index = batch.base_index
                    self.base_term = batch.base_term
                    self._entries = []
                self._load_entries(path, batch)
        if is_empty:
            raise CorruptStore(f'{path} has no complete first batch')
        self._segment_number = int(path.rpartition('-')[2])

    def _load_entries(self, path, batch):
        for row in batch.entries:
            entry = LogEntry(*row)
            position = entry.index - self.base_index - 1
            if not 0 <= position <= len(self._entries):
                raise CorruptStore(
                    f'{path} holds entry {entry.index} out of order'
                )
            del self._entries[position:]
            self._entries.append(entry)

    def _match_log_to_snapshot(self, snapshot):
        if self.base_index > snapshot.index:
            raise CorruptStore(f'{self.folder} lacks the snapshot of its log')
        if self.term_at(snapshot.index) == snapshot.term:
            return
        self._clear_log(snapshot)


def _log(level, text, *arguments):
    from loguru import logger

    logger.log(level.upper(), text, *arguments)
