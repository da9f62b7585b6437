import pytest

from damasklanding.control.members import Member
from damasklanding.control.voters import admit_learner
from damasklanding.control.voters import hand_over_place
from damasklanding.control.voters import losses_borne
from damasklanding.control.voters import surplus_voter


def group(voters, learners=()):
    return tuple(
        [Member(name, f'{name}:1', 'life') for name in voters]
        + [Member(name, f'{name}:1', '', False) for name in learners]
    )


def voters_of(members):
    return ''.join(member.name for member in members if member.voter)


def admit(voters, wanted, silent='', learners='x'):
    members = group(voters, learners)
    return voters_of(admit_learner(members, 'x', 'new', wanted, list(silent)))


def test_learner_takes_the_place_of_a_silent_voter_in_one_change():
    assert admit('abcde', 5, 'd') == 'abcex'


def test_voter_that_lost_its_place_is_a_learner_whose_disk_counts_no_more():
    members = admit_learner(group('abcde', 'x'), 'x', 'new', 5, ['d'])
    lost, new = members[3], members[5]
    assert (lost.voter, lost.incarnation) == (False, '')
    assert (new.voter, new.incarnation) == (True, 'new')


def test_longest_silent_voter_goes_first():
    assert admit('abcde', 5, 'ed') == 'abcdx'


def test_learner_waits_while_no_voter_is_silent():
    assert admit('abcde', 5) == 'abcde'


@pytest.mark.parametrize('count', (3, 5, 7, 9))
def test_two_lost_voters_and_two_successors_keep_the_quorum(count):
    names = 'abcdefghi'[:count]
    members = group(names, 'xy')
    members = admit_learner(members, 'x', 'new', count, list(names[1:3]))
    members = admit_learner(members, 'y', 'new', count, [names[2]])
    assert len(voters_of(members)) == count
    assert set('xy') < set(voters_of(members))


def test_free_place_is_taken_at_once():
    assert admit('abc', 5) == 'abcx'


def test_silent_voter_is_replaced_before_the_group_grows():
    assert admit('abc', 5, 'c') == 'abx'


def test_while_the_number_is_unknown_only_lost_voters_are_replaced():
    assert admit('abc', 0) == 'abc'
    assert admit('abc', 0, 'c') == 'abx'


def test_operators_alone_decide_where_no_number_is_wanted():
    assert admit('abc', None, 'c') == 'abcx'


def test_group_that_is_to_shrink_admits_none():
    assert admit('abcde', 3, 'e') == 'abcde'


@pytest.mark.parametrize(
    'most,silent,expected',
    [
        (5, '', None),
        (0, '', None),
        (3, '', 'e'),
        (3, 'bc', 'b'),
    ],
)
def test_surplus_voter(most, silent, expected):
    assert surplus_voter(group('abcde'), most, list(silent), 'a') == expected


def test_leader_is_not_surplus():
    assert surplus_voter(group('abcde'), 3, [], 'e') == 'd'


def test_host_that_stops_hands_its_place_to_a_waiting_learner():
    members = group('abcde', 'xy')
    learners = [('y', 'new'), ('x', 'other')]
    assert voters_of(hand_over_place(members, 'b', learners)) == 'acdex'


def test_host_that_stops_keeps_its_place_while_none_waits():
    members = group('abcde', 'x')
    assert hand_over_place(members, 'b', []) is members
    assert hand_over_place(members, 'x', [('x', 'new')]) is members


def test_losses_are_counted_in_each_set_of_a_change_under_way():
    silent = {'d', 'e'}
    assert losses_borne([group('abcde')], lambda m: m.name not in silent) == 0
    assert losses_borne([group('abcx')], lambda m: m.name not in silent) == 1
    both = [group('abcde'), group('abcx')]
    assert losses_borne(both, lambda m: m.name not in silent) == 0
    assert losses_borne([group('abcde')], lambda m: True) == 2
