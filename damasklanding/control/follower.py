"""
damasklanding.control.follower
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How a replica takes entries and heartbeats from the leader.
"""

from damasklanding.errors import CorruptStore
from damasklanding.messages import AppendReply

__all__ = ['handle_append_entries']


def handle_append_entries(replica, request):
    """
    Append a leader's entries and return the reply once they are durable.

    :raises CorruptStore: the leader contradicts an accepted entry.
    """
    if request.term < replica.term:
        return _reply(replica, request, False, 0)
    replica.follow_leader(request.term, request.leader)
    if request.campaign:
        replica.election_requested.set()
    hint = _append_new(replica, request)
    replica.journal.sync_vote()
    if hint is not None:
        return _reply(replica, request, False, hint)
    if request.entries:
        replica.journal.sync()
    if replica.term != request.term:
        return _reply(replica, request, False, 0)
    match_index = request.previous_index + len(request.entries)
    replica.commit(min(request.commit_index, match_index))
    return _reply(replica, request, True, match_index)


def _reply(replica, request, success, match_index):
    return AppendReply(
        replica.term, success, match_index, replica.incarnation, request.seq
    )


def _append_new(replica, request):
    """Append what is new; where the logs differ, return where to go on."""
    journal = replica.journal
    previous = request.previous_index
    if previous > journal.last_index:
        return journal.last_index
    known = previous >= journal.base_index
    if known and journal.term_at(previous) != request.previous_term:
        return _before_term_of(replica, previous)
    fresh = [
        entry
        for entry in request.entries
        if entry.index > journal.base_index
        and journal.term_at(entry.index) != entry.term
    ]
    if not fresh:
        return None
    start = fresh[0].index
    if start <= replica.commit_index:
        raise CorruptStore(f'an accepted entry {start} differs')
    replica.append([e for e in request.entries if e.index >= start])
    return None


def _before_term_of(replica, index):
    """Return the index before the whole run of a term, to skip it at once."""
    journal = replica.journal
    term = journal.term_at(index)
    while index > replica.commit_index and journal.term_at(index) == term:
        index -= 1
    return index
