"""
damasklanding.control.follower
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Handling of the leader's append requests, which carry entries or serve as
heartbeats, on a replica.
"""

from damasklanding.errors import CorruptStore
from damasklanding.messages import AppendReply

__all__ = ['handle_append_entries']


def handle_append_entries(replica, request):
    """
    Append the leader's entries and return the reply once they are durable.

    Entries are refused while the disk fails, so that the log in memory does
    not grow.

    :raises CorruptStore: the leader sent an entry that differs from a
        committed one.
    :raises Unavailable: the disk fails.
    """
    if request.term < replica.term:
        return _reply(replica, request, False, 0)
    replica.follow_leader(request.term, request.leader)
    if request.campaign:
        replica.election_requested.set()
    if request.entries:
        replica.journal.ensure_writable()
    retry_index = _append_new(replica, request)
    replica.journal.sync_vote()
    if retry_index is not None:
        return _reply(replica, request, False, retry_index)
    match_index = request.previous_index + len(request.entries)
    if match_index > replica.journal.durable_index:
        replica.journal.sync()
    if replica.term != request.term:
        return _reply(replica, request, False, 0)
    replica.commit(min(request.commit_index, match_index))
    return _reply(replica, request, True, match_index)


def _reply(replica, request, success, match_index):
    return AppendReply(
        replica.term, success, match_index, replica.incarnation, request.seq
    )


def _append_new(replica, request):
    """
    Append the entries that the journal lacks.

    :return: None, or, if the journal does not match the leader's log before
        these entries, the last index at which the logs may match, from
        which the leader continues.
    """
    journal = replica.journal
    previous = request.previous_index
    if previous > journal.last_index:
        return journal.last_index
    known = previous >= journal.base_index
    if known and journal.term_at(previous) != request.previous_term:
        return _index_before_term(replica, previous)
    new_entries = [
        entry
        for entry in request.entries
        if entry.index > journal.base_index
        and journal.term_at(entry.index) != entry.term
    ]
    if not new_entries:
        return None
    start = new_entries[0].index
    if start <= replica.commit_index:
        raise CorruptStore(f'entry {start} differs from the committed one')
    replica.append([e for e in request.entries if e.index >= start])
    return None


def _index_before_term(replica, index):
    """
    Return the last index before the entries of the term at an index.

    The leader then skips the entries of that term in one step.  Committed
    entries are not skipped.
    """
    journal = replica.journal
    term = journal.term_at(index)
    while index > replica.commit_index and journal.term_at(index) == term:
        index -= 1
    return index
