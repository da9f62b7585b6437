import pytest

from damasklanding.control.members import Member
from damasklanding.control.members import Membership
from damasklanding.control.members import quorum_reached
from damasklanding.control.members import quorum_value

A, B, C, D = (Member(name, name) for name in 'abcd')
C2 = Member('c', 'c', 'second incarnation')
LEARNER = Member('e', 'e', voter=False)


@pytest.mark.parametrize(
    ('members', 'values', 'expected'),
    [
        ((A,), {'a': 7}, 7),
        ((A, B), {'a': 7, 'b': 3}, 3),
        ((A, B, C), {'a': 7, 'b': 3, 'c': 5}, 5),
        ((A, B, C, D), {'a': 7, 'b': 3, 'c': 5, 'd': 4}, 4),
        ((A, B, C, LEARNER), {'a': 7, 'b': 3, 'c': 5, 'e': 9}, 5),
    ],
)
def test_quorum_value_is_reached_by_more_than_half(members, values, expected):
    assert quorum_value(members, lambda m: values[m.name]) == expected
    for limit in range(1, 10):
        reached = quorum_reached(
            members, lambda m, limit=limit: values[m.name] >= limit
        )
        assert reached == (limit <= expected)


def test_change_needs_both_electorates_until_it_is_settled():
    membership = Membership(0, (A, B, C))
    membership.record_change(5, (A, B, C2))
    assert membership.active_member_sets() == ((A, B, C), (A, B, C2))
    membership.mark_committed(5)
    assert membership.active_member_sets() == ((A, B, C2),)
    assert not membership.has_commit_marker()
    membership.record_commit_marker(6, 5)
    assert not membership.is_change_complete(5)
    assert membership.is_change_complete(6)


def test_truncation_takes_back_a_change_and_a_marker():
    membership = Membership(0, (A, B, C))
    membership.record_change(5, (A, B, C2))
    membership.truncate(5)
    assert membership.active_member_sets() == ((A, B, C),)
    membership.record_change(7, (A, B))
    membership.record_commit_marker(8, 7)
    membership.truncate(8)
    assert membership.current == (A, B)
    assert not membership.has_commit_marker()
    # Truncating the marker does not undo that the change is committed.
    assert membership.is_change_committed()


def test_marker_that_runs_ahead_of_the_state_keeps_older_members():
    membership = Membership(0, (A, B, C))
    membership.record_change(5, (A, B))
    membership.record_commit_marker(6, 5)
    assert membership.members_at(4) == (A, B, C)
    assert membership.members_at(5) == (A, B)
    membership.forget_before(5)
    assert membership.members_at(5) == (A, B)
