"""
damasklanding.control.election
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leader election of a replica.  Election timeouts are randomized; a candidate
first holds a pre-vote, which changes no term, and then the vote proper.  A
vote is durable before it is sent.
"""

import gevent
from gevent.queue import Queue

from damasklanding.control.journal import Vote
from damasklanding.control.members import quorum_reached
from damasklanding.errors import DamasklandingError
from damasklanding.messages import VoteReply
from damasklanding.messages import VoteRequest

__all__ = ['campaign', 'grant_vote', 'run_elections']


def run_elections(replica):
    """
    Start an election whenever the leader's heartbeats fail to arrive.

    If the loop itself ran late, the election timer restarts instead, since
    this process may have been too slow to read the heartbeats.
    """
    step_ms = replica.timing.heartbeat_ms
    while True:
        started_ms = replica.now_ms()
        replica.election_requested.wait(step_ms / 1000)
        stall_ms = replica.now_ms() - started_ms - step_ms
        try:
            if stall_ms > replica.timing.election_min_ms / 2:
                replica.reset_election_timer()
            else:
                _check_leader(replica)
        except DamasklandingError:
            replica.reset_election_timer()


def _check_leader(replica):
    if replica.leadership is not None:
        replica.leadership.check_quorum()
    elif replica.election_requested.is_set():
        replica.election_requested.clear()
        campaign(replica, transfer=True)
    elif replica.election_due():
        campaign(replica)


def campaign(replica, transfer=False):
    """
    Hold an election with this replica as the candidate.

    :param transfer: whether the leader has asked for the election; it then
        needs no pre-vote.
    """
    replica.reset_election_timer()
    if not replica.is_voter() or replica.journal.error is not None:
        return
    if not transfer and not _wins_votes(
        replica, replica.term + 1, True, False
    ):
        return
    if replica.leadership is not None or replica.has_live_leader(transfer):
        return
    term = replica.term + 1
    replica.observe_term(term)
    replica.journal.vote = Vote(term, replica.name)
    replica.journal.sync_vote()
    won = _wins_votes(replica, term, False, transfer)
    replica.increment_counter('elections_total', 'won' if won else 'lost')
    if not won:
        replica.increase_election_backoff()
        replica.reset_election_timer()
    if won and replica.term == term:
        replica.become_leader()


def grant_vote(replica, request):
    """
    Grant or refuse a vote; return the reply once it is durable.

    :raises Unavailable: the disk fails, so that no vote can be stored.
    """
    replica.journal.ensure_writable()
    granted = _may_grant(replica, request)
    if granted and not request.pre_vote:
        replica.observe_term(request.term)
        replica.journal.vote = Vote(request.term, request.candidate)
        replica.reset_election_timer()
        replica.journal.sync_vote()
        granted = replica.term == request.term
    return VoteReply(replica.term, granted, replica.incarnation)


def _may_grant(replica, request):
    if replica.has_live_leader(request.transfer):
        return False
    vote = replica.journal.vote
    if request.pre_vote:
        term_allows_vote = request.term > vote.term
    elif request.term == vote.term:
        term_allows_vote = vote.voted_for in ('', request.candidate)
    else:
        term_allows_vote = request.term > vote.term
    return term_allows_vote and _is_up_to_date(replica.journal, request)


def _is_up_to_date(journal, request):
    candidate = (request.last_term, request.last_index)
    return candidate >= (journal.last_term, journal.last_index)


def _wins_votes(replica, term, pre_vote, transfer):
    request = VoteRequest(
        replica.group,
        term,
        replica.name,
        replica.journal.last_index,
        replica.journal.last_term,
        pre_vote,
        replica.incarnation,
        transfer,
    )
    member_sets = replica.membership.active_member_sets()
    granted = {replica.name: replica.incarnation}
    replies = Queue()
    greenlets = [
        gevent.spawn(_request_vote, replica, name, request, replies)
        for name in _other_voters(replica, member_sets)
    ]
    try:
        with gevent.Timeout(replica.election_min_ms / 1000, False):
            _collect_votes(
                replica, member_sets, granted, replies, len(greenlets)
            )
    finally:
        gevent.killall(greenlets, block=False)
    return _has_quorum(member_sets, granted)


def _collect_votes(replica, member_sets, granted, replies, expected):
    for _ in range(expected):
        if _has_quorum(member_sets, granted):
            return
        name, reply = replies.get()
        if reply is None:
            continue
        replica.observe_term(reply.term)
        if reply.granted:
            granted[name] = reply.incarnation


def _other_voters(replica, member_sets):
    names = {m.name for members in member_sets for m in members if m.voter}
    return sorted(names - {replica.name})


def _request_vote(replica, name, request, replies):
    timeout_ms = replica.election_min_ms / 2
    try:
        reply = replica.send(name, request, timeout_ms)
    except DamasklandingError:
        reply = None
    replies.put((name, reply))


def _has_quorum(member_sets, granted):
    return all(
        quorum_reached(members, lambda m: granted.get(m.name) == m.incarnation)
        for members in member_sets
    )
