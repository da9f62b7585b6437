"""
damasklanding.control.journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The durable part of one replica: its vote, its latest snapshot and the log
after it.  A segment is a file of checksummed batches; each batch is synced
before the next is written, so that only the last one can be torn.
"""

import glob
import os

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
import msgspec

from damasklanding.control.segment import encode_batch
from damasklanding.control.segment import read_batches
from damasklanding.control.storage import in_thread
from damasklanding.control.storage import read_file
from damasklanding.control.storage import shielded
from damasklanding.control.storage import sync_folder
from damasklanding.control.storage import write_file
from damasklanding.errors import CorruptStore
from damasklanding.errors import Unavailable
from damasklanding.messages import LogEntry

__all__ = ['Journal', 'Snapshot', 'Vote']

VOTE_NAME = 'vote'
SNAPSHOT_NAME = 'snapshot'
SEGMENT_PATTERN = 'segment-*'


_encode = msgspec.msgpack.Encoder().encode


class Vote(msgspec.Struct, array_like=True, frozen=True):
    """The latest term seen and the candidate voted for in it."""

    term: int = 0
    voted_for: str = ''


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """
    State of a machine after the entry at an index.

    :ivar members: encoded membership in force at that index.
    """

    index: int = 0
    term: int = 0
    members: bytes = b''
    state: bytes = b''


class Journal:
    """
    Log, vote and snapshot of one replica under one folder.

    :ivar base_index: index before the first entry kept.
    :ivar snapshot: :class:`Snapshot`, the empty one before the first.
    :ivar vote: :class:`Vote`, durable once :meth:`sync_vote` has returned.
    """

    def __init__(self, folder, sync_file=os.fsync):
        self.folder = folder
        self.base_index = 0
        self.base_term = 0
        self.log_bytes = 0
        self.error = None
        self._entries = []
        self._pending = []
        self._writing = []
        self._rewrite = False
        self._stopping = False
        self._sync_file = sync_file
        self._appended = 0
        self._synced = 0
        self._wanted = Event()
        self._progress = Event()
        self._vote_lock = BoundedSemaphore(1)
        self._snapshot_lock = BoundedSemaphore(1)
        self._load()
        self._writer = gevent.spawn(self._write_loop)

    @property
    def last_index(self):
        """Return the index of the last entry, durable or not."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self):
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def durable_index(self):
        """Return the index up to which all entries are synced."""
        unsynced = [e.index for e in self._writing + self._pending]
        return min(unsynced) - 1 if unsynced else self.last_index

    def is_empty(self):
        """Return whether nothing was ever stored here."""
        return self.vote.term == 0 and self.last_index == 0

    def term_at(self, index):
        """Return the term of the entry at an index, None if not kept."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry(self, index):
        """Return the entry at an index that is kept."""
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index, max_entries, max_bytes):
        """Return consecutive entries from an index, at least one if any."""
        start = index - self.base_index - 1
        chosen = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.payload)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entries):
        """
        Add entries in memory; a known index replaces what stood from there.

        They are durable once a later :meth:`sync` has returned.
        """
        if not entries:
            return
        del self._entries[entries[0].index - self.base_index - 1 :]
        self._entries.extend(entries)
        self._pending.extend(entries)
        self._appended += 1
        self._wanted.set()

    def sync(self):
        """
        Return once all entries appended before the call are durable.

        :raises Unavailable: where the disk failed.
        """
        target = self._appended
        while self._synced < target:
            self._check()
            self._progress.wait()
        self._check()

    def sync_vote(self):
        """Return once the vote held is durable."""
        if self._durable_vote != self.vote:
            shielded(self._store_vote)

    def save_snapshot(self, snapshot, keep_entries=0):
        """
        Store a snapshot and drop the entries before it.

        :param keep_entries: how many of them to keep for slow followers.
        """
        shielded(self._store_snapshot, snapshot, keep_entries)

    def close(self, flush=True):
        """Stop writing; without flush, what was not synced is lost."""
        if flush and self.error is None:
            self.sync()
        self._stopping = True
        self._wanted.set()
        self._writer.join()
        self._wake()
        with self._vote_lock, self._snapshot_lock:
            self._file.close()

    def _store_vote(self):
        with self._vote_lock:
            self._check()
            vote = self.vote
            if vote != self._durable_vote:
                self._write_small(self._write_vote, vote)
                self._durable_vote = vote

    def _store_snapshot(self, snapshot, keep_entries):
        with self._snapshot_lock:
            self._check()
            if snapshot.index <= self.snapshot.index:
                return
            self._write_small(self._write_snapshot, snapshot)
            self.snapshot = snapshot
        if self.term_at(snapshot.index) == snapshot.term:
            self._drop_before(snapshot.index - keep_entries)
        else:
            self._reset(snapshot)
        self._rewrite = True
        self._appended += 1
        self._wanted.set()

    def _write_small(self, function, value):
        try:
            in_thread(function, value)
        except OSError as error:
            self._fail(error)
            self._check()

    def _fail(self, error):
        self.error = error
        _log_failure(self.folder, error)

    def _check(self):
        if self._stopping:
            raise Unavailable(f'{self.folder} is closed')
        if self.error is not None:
            raise Unavailable(
                f'{self.folder} can not be written ({self.error})',
                'check the disk and restart this control host',
            )

    def _drop_before(self, index):
        count = index - self.base_index
        if count <= 0:
            return
        self.base_term = self._entries[count - 1].term
        del self._entries[:count]
        self.base_index = index

    def _reset(self, snapshot):
        self._entries = []
        self._pending = []
        self.base_index = snapshot.index
        self.base_term = snapshot.term

    def _path(self, name):
        return os.path.join(self.folder, name)

    def _write_vote(self, vote):
        write_file(self._path(VOTE_NAME), _encode(vote))

    def _write_snapshot(self, snapshot):
        write_file(self._path(SNAPSHOT_NAME), _encode(snapshot))

    def _write_loop(self):
        while not self._stopping:
            self._wanted.wait()
            self._wanted.clear()
            try:
                while not self._stopping and self._synced < self._appended:
                    self._write_once()
            except OSError as error:
                self._fail(error)
                self._wake()
                return

    def _write_once(self):
        target = self._appended
        self._writing = self._pending
        self._pending = []
        if self._rewrite:
            self._rewrite = False
            in_thread(self._start_segment, self._whole_log())
        else:
            in_thread(self._write_batch, encode_batch(self._writing))
        self._writing = []
        self._synced = target
        self._wake()

    def _wake(self):
        progress = self._progress
        self._progress = Event()
        progress.set()

    def _whole_log(self):
        return encode_batch(self._entries, self.base_index, self.base_term)

    def _write_batch(self, data):
        self._file.write(data)
        self._file.flush()
        self._sync_file(self._file.fileno())
        self.log_bytes += len(data)

    def _start_segment(self, data):
        number = self._segment_number + 1
        path = self._path(f'segment-{number:012d}')
        file = open(f'{path}.new', 'wb')  # noqa: SIM115
        file.write(data)
        file.flush()
        self._sync_file(file.fileno())
        os.rename(f'{path}.new', path)
        sync_folder(self.folder)
        if self._file is not None:
            self._file.close()
        self._file = file
        self._segment_number = number
        self.log_bytes = len(data)
        self._remove_segments_before(number)

    def _segments(self):
        paths = sorted(glob.glob(self._path(SEGMENT_PATTERN)))
        return [path for path in paths if not path.endswith('.new')]

    def _remove_segments_before(self, number):
        for path in self._segments():
            if int(path.rpartition('-')[2]) < number:
                os.unlink(path)

    def _load(self):
        os.makedirs(self.folder, exist_ok=True)
        self._file = None
        self._segment_number = 0
        vote = read_file(self._path(VOTE_NAME))
        segments = self._segments()
        if vote is None and segments:
            raise CorruptStore(f'{self.folder} has a log but no vote')
        self.vote = Vote()
        if vote is not None:
            self.vote = msgspec.msgpack.decode(vote, type=Vote)
        self._durable_vote = self.vote
        self.snapshot = self._load_snapshot()
        if segments:
            self._load_segment(segments[-1])
            self._fit_to_snapshot(self.snapshot)
        elif self.vote.term:
            raise CorruptStore(f'{self.folder} has a vote but no log')
        else:
            self._write_vote(self.vote)
            self._reset(self.snapshot)
            self._start_segment(self._whole_log())

    def _load_snapshot(self):
        data = read_file(self._path(SNAPSHOT_NAME))
        if data is None:
            return Snapshot()
        return msgspec.msgpack.decode(data, type=Snapshot)

    def _load_segment(self, path):
        with open(path, 'rb') as file:
            data = file.read()
        end = 0
        for batch, after in read_batches(path, data):
            end = after
            if batch.base_index >= 0:
                self.base_index = batch.base_index
                self.base_term = batch.base_term
                self._entries = []
            self._take(path, batch)
        if not end:
            raise CorruptStore(f'{path} has no first batch')
        self._file = open(path, 'r+b')  # noqa: SIM115
        self._file.truncate(end)
        self._file.seek(end)
        os.fsync(self._file.fileno())
        self.log_bytes = end
        self._segment_number = int(path.rpartition('-')[2])
        self._remove_segments_before(self._segment_number)

    def _take(self, path, batch):
        for row in batch.entries:
            entry = LogEntry(*row)
            position = entry.index - self.base_index - 1
            if not 0 <= position <= len(self._entries):
                raise CorruptStore(f'{path} skips to entry {entry.index}')
            del self._entries[position:]
            self._entries.append(entry)

    def _fit_to_snapshot(self, snapshot):
        if self.base_index > snapshot.index:
            raise CorruptStore(f'{self.folder} lacks the snapshot of its log')
        if self.term_at(snapshot.index) == snapshot.term:
            return
        self._reset(snapshot)
        self._start_segment(self._whole_log())


def _log_failure(folder, error):
    from loguru import logger

    logger.error('{} can not be written: {}', folder, error)
