"""Which voters a leader holds for lost, and when a learner is let in."""

from types import SimpleNamespace

from damasklanding.control.member_changes import record_incarnation
from damasklanding.control.members import Member
from damasklanding.control.members import Membership
from damasklanding.control.members import decode_members
from damasklanding.control.replication import Leadership
from damasklanding.control.replication import Progress
from damasklanding.control.timing import Timing

NOW_MS = 100_000.0
TIMING = Timing()
LIMIT_MS = TIMING.lost_after_ms
COMMIT_INDEX = 10


def lead(silent_ms=(), count=5, learner_match=COMMIT_INDEX, wanted=5):
    """Return the leadership of c0 with a learner and some silent voters."""
    members = [Member(f'c{n}', f'c{n}:1', 'life') for n in range(count)]
    members.append(Member('new', 'new:1', '', False))
    membership = Membership(0, tuple(members))
    appended = []

    def append_as_leader(kind, payload):
        appended.append((kind, decode_members(payload)))
        return COMMIT_INDEX + 1

    replica = SimpleNamespace(
        name='c0',
        term=1,
        timing=TIMING,
        membership=membership,
        commit_index=COMMIT_INDEX,
        journal=SimpleNamespace(last_index=COMMIT_INDEX - 1),
        now_ms=lambda: NOW_MS,
        wanted_voters=lambda: wanted,
        append_as_leader=append_as_leader,
    )
    leadership = Leadership(replica)
    leadership.update_peers = lambda: None
    leadership.appended = appended
    silent = dict(silent_ms)
    for member in members[1:]:
        peer = Progress(member.name, 1, 0.0)
        peer.incarnation = member.incarnation or 'new-life'
        peer.acknowledged_ms = NOW_MS - silent.get(member.name, 10.0)
        peer.match_index = COMMIT_INDEX
        leadership.peers[member.name] = peer
    leadership.peers['new'].match_index = learner_match
    return leadership


def voters_after(leadership):
    record_incarnation(leadership, leadership.peers['new'])
    if not leadership.appended:
        return None
    ((_, members),) = leadership.appended
    return [member.name for member in members if member.voter]


def test_silent_voter_loses_its_place_to_a_learner_that_has_caught_up():
    leadership = lead({'c1': LIMIT_MS + 1})
    assert voters_after(leadership) == ['c0', 'c2', 'c3', 'c4', 'new']


def test_silent_voter_stays_while_the_learner_has_not_caught_up():
    leadership = lead({'c1': 60_000}, learner_match=COMMIT_INDEX - 1)
    assert voters_after(leadership) is None


def test_voter_stays_until_its_silence_has_lasted():
    assert lead({'c1': LIMIT_MS - 1}).silent_voters() == []
    assert voters_after(lead({'c1': LIMIT_MS - 1})) is None


def test_longest_silent_is_first_and_the_leader_never_among_them():
    silent_ms = {'c0': 90_000, 'c1': LIMIT_MS + 1, 'c2': LIMIT_MS + 2}
    assert lead(silent_ms).silent_voters() == ['c2', 'c1']


def test_leader_does_not_replace_itself():
    leadership = lead({'c1': LIMIT_MS + 1})
    leadership.peers['c0'] = Progress('c0', 1, 0.0)
    assert leadership.silent_voters() == ['c1']


def test_learner_is_no_voter_that_is_lost():
    assert lead({'new': 60_000}).silent_voters() == []


def test_no_voter_is_lost_while_the_leader_may_have_stood_still():
    silent_ms = dict.fromkeys(('c1', 'c2', 'c3', 'c4'), 60_000)
    assert lead(silent_ms).silent_voters() == []


def test_silence_of_a_new_peer_begins_when_it_is_added():
    leadership = lead()
    peer = Progress('c1', 1, NOW_MS - 5.0)
    leadership.peers['c1'] = peer
    assert leadership.silent_voters() == []
    peer.added_ms = NOW_MS - LIMIT_MS - 1
    assert leadership.silent_voters() == ['c1']


def test_restarting_voter_keeps_the_number_of_voters_when_it_loses_its_place():
    leadership = lead({'c1': LIMIT_MS + 1})
    record_incarnation(leadership, leadership.peers['new'])
    ((_, members),) = leadership.appended
    assert sum(member.voter for member in members) == 5
    assert 'c1' in [member.name for member in members if not member.voter]
