"""
damasklanding.control.election
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leader election of a replica: randomized timeouts, a pre-vote that disturbs
nobody, then a vote that is durable before it is given.
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
    """Call an election whenever no leader was heard for long enough."""
    step_ms = replica.timing.heartbeat_ms
    while True:
        before_ms = replica.now_ms()
        replica.election_requested.wait(step_ms / 1000)
        stalled_ms = replica.now_ms() - before_ms - step_ms
        try:
            if stalled_ms > replica.timing.election_min_ms / 2:
                replica.reset_election_timer()
            else:
                _check(replica)
        except DamasklandingError:
            replica.reset_election_timer()


def _check(replica):
    if replica.leadership is not None:
        replica.leadership.check_quorum()
    elif replica.election_requested.is_set():
        replica.election_requested.clear()
        campaign(replica, transfer=True)
    elif replica.election_due():
        campaign(replica)


def campaign(replica, transfer=False):
    """
    Try to become leader.

    :param transfer: the leader asked for it, so no pre-vote is needed.
    """
    replica.reset_election_timer()
    if not replica.is_voter():
        return
    if not transfer and not _wins(replica, replica.term + 1, True, False):
        return
    if replica.leadership is not None or replica.has_live_leader(transfer):
        return
    term = replica.term + 1
    replica.observe_term(term)
    replica.journal.vote = Vote(term, replica.name)
    replica.journal.sync_vote()
    won = _wins(replica, term, False, transfer)
    replica.increment_counter('elections_total', 'won' if won else 'lost')
    if not won:
        replica.increase_election_backoff()
        replica.reset_election_timer()
    if won and replica.term == term:
        replica.become_leader()


def grant_vote(replica, request):
    """Decide on a vote request and return the reply."""
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
        in_time = request.term > vote.term
    elif request.term == vote.term:
        in_time = vote.voted_for in ('', request.candidate)
    else:
        in_time = request.term > vote.term
    return in_time and _is_up_to_date(replica.journal, request)


def _is_up_to_date(journal, request):
    candidate = (request.last_term, request.last_index)
    return candidate >= (journal.last_term, journal.last_index)


def _wins(replica, term, pre_vote, transfer):
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
    jobs = [
        gevent.spawn(_ask, replica, name, request, replies)
        for name in _others(replica, member_sets)
    ]
    try:
        with gevent.Timeout(replica.election_min_ms / 1000, False):
            _count(replica, member_sets, granted, replies, len(jobs))
    finally:
        gevent.killall(jobs, block=False)
    return _has_quorum(member_sets, granted)


def _count(replica, member_sets, granted, replies, expected):
    for _ in range(expected):
        if _has_quorum(member_sets, granted):
            return
        name, reply = replies.get()
        if reply is None:
            continue
        replica.observe_term(reply.term)
        if reply.granted:
            granted[name] = reply.incarnation


def _others(replica, member_sets):
    names = {m.name for members in member_sets for m in members if m.voter}
    return sorted(names - {replica.name})


def _ask(replica, name, request, replies):
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
