import glob
from io import BytesIO
import os
import random
import tracemalloc

import pytest

from damasklanding.control.journal import Journal
from damasklanding.control.journal import Snapshot
from damasklanding.control.journal import Vote
from damasklanding.control.segment import MAX_BATCH_BYTES
from damasklanding.control.segment import encode_batches
from damasklanding.control.segment import read_batches
from damasklanding.control.storage import locked_folder
from damasklanding.errors import BadSetting
from damasklanding.errors import CorruptStore
from damasklanding.errors import Unavailable
from damasklanding.messages import LogEntry


def make_entries(first, count, term=1, size=20):
    return [
        LogEntry(term, index, 'command', bytes([index % 256]) * size)
        for index in range(first, first + count)
    ]


def open_journal(folder, **options):
    return Journal(str(folder / 'config'), **options)


def write_journal(folder, batches=5, size=20):
    """Write batches of three entries each and return them all."""
    journal = open_journal(folder)
    journal.vote = Vote(1, 'a')
    journal.sync_vote()
    for number in range(batches):
        journal.append(make_entries(3 * number + 1, 3, size=size))
        journal.sync()
    kept = journal.entries_from(1, 1_000, 1 << 30)
    journal.close()
    return kept


def segment_path(folder):
    (path,) = glob.glob(str(folder / 'config' / 'segment-*'))
    return path


def stored_entries(journal):
    first = journal.base_index + 1
    return journal.entries_from(first, 1_000_000, 1 << 40)


def test_what_was_synced_is_there_after_a_restart(tmp_path):
    kept = write_journal(tmp_path)
    journal = open_journal(tmp_path)
    assert stored_entries(journal) == kept
    assert journal.vote == Vote(1, 'a')
    assert journal.durable_index == 15
    journal.close()


def test_torn_tail_is_cut_at_every_length(tmp_path):
    kept = write_journal(tmp_path, batches=2, size=5)
    path = segment_path(tmp_path)
    with open(path, 'rb') as file:
        whole = file.read()
    for length in range(len(whole) - 1, len(whole) - 60, -1):
        with open(path, 'wb') as file:
            file.write(whole[:length])
        journal = open_journal(tmp_path)
        assert stored_entries(journal) == kept[:3]
        journal.append(make_entries(4, 1, term=2))
        journal.close()
        journal = open_journal(tmp_path)
        assert stored_entries(journal)[3:] == make_entries(4, 1, term=2)
        journal.close()


def test_tail_of_zeros_is_cut(tmp_path):
    kept = write_journal(tmp_path)
    with open(segment_path(tmp_path), 'ab') as file:
        file.write(bytes(5_000))
    journal = open_journal(tmp_path)
    assert stored_entries(journal) == kept
    journal.close()


@pytest.mark.parametrize('seed', range(40))
def test_damage_to_synced_bytes_is_refused_with_a_remedy(tmp_path, seed):
    kept = write_journal(tmp_path)
    path = segment_path(tmp_path)
    rng = random.Random(seed)
    with open(path, 'r+b') as file:
        file.seek(rng.randrange(os.path.getsize(path)))
        byte = file.read(1)[0]
        file.seek(-1, os.SEEK_CUR)
        file.write(bytes([byte ^ (1 << rng.randrange(8))]))
    with pytest.raises(CorruptStore, match='move the data folder aside'):
        open_journal(tmp_path)
    assert kept


@pytest.mark.parametrize('name', ['vote', 'snapshot'])
def test_damaged_small_file_is_refused(tmp_path, name):
    journal = open_journal(tmp_path)
    journal.append(make_entries(1, 9))
    journal.sync()
    journal.save_snapshot(Snapshot(5, 1, b'', b'state'))
    journal.close()
    path = tmp_path / 'config' / name
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(data)
    with pytest.raises(CorruptStore):
        open_journal(tmp_path)


def test_log_without_its_vote_is_refused(tmp_path):
    write_journal(tmp_path)
    os.unlink(tmp_path / 'config' / 'vote')
    with pytest.raises(CorruptStore, match='no vote'):
        open_journal(tmp_path)


def test_log_that_was_removed_is_noticed(tmp_path):
    write_journal(tmp_path)
    os.unlink(segment_path(tmp_path))
    with pytest.raises(CorruptStore, match='no log'):
        open_journal(tmp_path)


def test_snapshot_that_was_removed_is_noticed(tmp_path):
    write_journal(tmp_path)
    journal = open_journal(tmp_path)
    journal.save_snapshot(Snapshot(10, 1, b'', b'state'))
    journal.close()
    os.unlink(tmp_path / 'config' / 'snapshot')
    with pytest.raises(CorruptStore, match='lacks the snapshot'):
        open_journal(tmp_path)


def test_crash_in_the_very_first_open_is_harmless(tmp_path):
    open_journal(tmp_path).close()
    os.unlink(segment_path(tmp_path))
    journal = open_journal(tmp_path)
    assert journal.is_empty()
    journal.close()


def test_later_entries_replace_what_stood_from_their_index(tmp_path):
    write_journal(tmp_path)
    journal = open_journal(tmp_path)
    journal.append(make_entries(8, 2, term=2))
    assert journal.durable_index == 7
    journal.sync()
    journal.close()
    journal = open_journal(tmp_path)
    assert journal.last_index == 9
    assert [e.term for e in stored_entries(journal)] == [1] * 7 + [2, 2]
    journal.close()


def test_snapshot_cuts_the_log_and_keeps_the_rest(tmp_path):
    kept = write_journal(tmp_path)
    journal = open_journal(tmp_path)
    snapshot = Snapshot(10, 1, b'members', b'state')
    journal.save_snapshot(snapshot, keep_entries=2)
    journal.append(make_entries(16, 1))
    journal.close()
    journal = open_journal(tmp_path)
    assert journal.snapshot == snapshot
    assert journal.base_index == 8
    assert stored_entries(journal) == kept[8:] + make_entries(16, 1)
    journal.close()


def test_snapshot_past_the_log_replaces_it(tmp_path):
    write_journal(tmp_path)
    journal = open_journal(tmp_path)
    journal.save_snapshot(Snapshot(40, 3, b'', b'state'))
    assert (journal.last_index, journal.last_term) == (40, 3)
    journal.close()
    journal = open_journal(tmp_path)
    assert (journal.base_index, journal.last_index) == (40, 40)
    journal.close()


def test_crash_between_snapshot_and_cut_is_repaired(tmp_path):
    write_journal(tmp_path)
    journal = open_journal(tmp_path)
    journal._write_snapshot(Snapshot(40, 3, b'', b'state'))
    journal.close()
    journal = open_journal(tmp_path)
    assert (journal.last_index, journal.last_term) == (40, 3)
    journal.append(make_entries(41, 1, term=3))
    journal.close()
    journal = open_journal(tmp_path)
    assert stored_entries(journal) == make_entries(41, 1, term=3)
    journal.close()


def test_start_and_compaction_hold_the_log_once(tmp_path):
    # Guards against hosts that need several times the size of their log at
    # a start, are killed for it, and never come back.
    size, count = 500_000, 60
    write_journal(tmp_path, batches=count // 3, size=size)
    tracemalloc.start()
    try:
        journal = open_journal(tmp_path)
        _, opened_bytes = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        journal.save_snapshot(Snapshot(1, 1, b'', b'state'), keep_entries=1)
        journal.sync()
        _, compacted_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # A copy of a batch or two may stand beside the log, but none of the log.
    assert opened_bytes <= 1.25 * count * size
    assert compacted_bytes <= 1.25 * count * size
    journal.close()
    journal = open_journal(tmp_path)
    assert journal.last_index == count
    assert stored_entries(journal) == make_entries(1, count, size=size)
    journal.close()


@pytest.mark.parametrize('seed', range(20))
def test_segment_of_several_batches_is_read_as_it_was_written(seed):
    source = random.Random(seed)
    entries = [
        LogEntry(
            2, 7 + n, 'command', source.randbytes(source.randrange(900_000))
        )
        for n in range(source.randrange(8))
    ]
    batches = list(encode_batches(entries, 6, 1))
    read = list(read_batches('segment', BytesIO(b''.join(batches))))
    assert (read[0].base_index, read[0].base_term) == (6, 1)
    assert all(batch.base_index == -1 for batch in read[1:])
    assert [LogEntry(*row) for b in read for row in b.entries] == entries
    for batch in read:
        size = sum(len(payload) for _, _, _, payload in batch.entries)
        assert size <= MAX_BATCH_BYTES


def test_failing_disk_fails_every_waiter(tmp_path):
    def fail(_number):
        raise OSError(28, 'no space left')

    journal = open_journal(tmp_path)
    journal._sync_file = fail
    journal.append(make_entries(1, 1))
    for _ in range(2):
        with pytest.raises(Unavailable, match='no space left'):
            journal.sync()
    assert journal.durable_index == 0
    journal.vote = Vote(2, 'b')
    with pytest.raises(Unavailable, match='no space left'):
        journal.sync_vote()
    journal.close()


def test_folder_is_held_by_one_process(tmp_path):
    path = str(tmp_path / 'data')
    with (
        locked_folder(path),
        pytest.raises(BadSetting, match='--data-folder'),
        locked_folder(path),
    ):
        pass
    with locked_folder(path):
        pass
