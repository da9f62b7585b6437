from damasklanding.control.members import Member
from damasklanding.control.reconcile import LOST_AFTER_MS
from damasklanding.control.reconcile import lost_member


def voters(count):
    return tuple(Member(f'c{n}', f'10.0.0.{n}:7000') for n in range(count))


def silent_for(**silent_ms):
    return lambda member: silent_ms.get(member.name, 0.0)


def test_silent_voter_goes_once_a_newcomer_votes():
    silent = silent_for(c1=LOST_AFTER_MS + 1)
    assert lost_member(voters(6), silent, 'c0') == 'c1'


def test_silent_voter_without_a_successor_stays():
    silent = silent_for(c1=60_000.0)
    assert lost_member(voters(5), silent, 'c0') is None


def test_restarting_voter_stays():
    silent = silent_for(c1=LOST_AFTER_MS - 1)
    assert lost_member(voters(6), silent, 'c0') is None


def test_newcomer_that_does_not_vote_yet_takes_no_place():
    members = (*voters(5), Member('c5', '10.0.0.5:7000', '', False))
    assert lost_member(members, silent_for(c1=60_000.0), 'c0') is None


def test_longest_silent_goes_first_and_never_the_leader():
    silent = silent_for(c0=90_000.0, c1=3_000.0, c2=4_000.0)
    assert lost_member(voters(6), silent, 'c0') == 'c2'
