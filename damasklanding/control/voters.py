"""
damasklanding.control.voters
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which members of a replication group vote.  A learner becomes a voter in the
place of a lost one, in the same change of members, so that a lost voter never
raises the quorum beside its successor.
"""

import msgspec

from damasklanding.control.members import demoted
from damasklanding.control.members import quorum_size

__all__ = [
    'admit_learner',
    'hand_over_place',
    'losses_borne',
    'surplus_voter',
]


def admit_learner(members, name, incarnation, wanted_voters, silent_names):
    """
    Return the members with a learner as a voter, if there is a place for it.

    :param members: tuple of the group's members.
    :param name: name of the learner.
    :param incarnation: incarnation of its data folder.
    :param wanted_voters: number of voters that the group should have, 0 while
        it is unknown, None to admit every learner.
    :param silent_names: names of the voters that no longer answer, the
        longest silent first.
    :return: tuple of members; the given one if there is no place.
    """
    voter_count = sum(member.voter for member in members)
    if wanted_voters is None:
        return _exchanged(members, '', name, incarnation)
    if voter_count > wanted_voters > 0:
        return members
    if silent_names:
        return _exchanged(members, silent_names[0], name, incarnation)
    if voter_count < wanted_voters:
        return _exchanged(members, '', name, incarnation)
    return members


def hand_over_place(members, name, learners):
    """
    Return the members with a learner in the place of a voter that stops.

    :param name: name of the voter.
    :param learners: pairs of name and incarnation of the learners that are
        caught up.
    :return: tuple of members; the given one if there is no such learner.
    """
    votes = any(member.voter for member in members if member.name == name)
    if not votes or not learners:
        return members
    return _exchanged(members, name, *min(learners))


def surplus_voter(members, most_voters, silent_names, own_name):
    """
    Return the name of a voter to make a learner, None if there is none.

    Silent voters go first, the leader never.

    :param most_voters: number of voters that operators have set, 0 if they
        have set none.
    """
    names = [member.name for member in members if member.voter]
    if not most_voters or len(names) <= most_voters:
        return None
    others = [name for name in names if name != own_name]
    return silent_names[0] if silent_names else max(others)


def losses_borne(member_sets, answers):
    """
    Return how many more voters may be lost before the group stops.

    :param member_sets: sets of members of which each must give a quorum.
    :param answers: function that returns whether a member answers.
    """
    return min(
        sum(1 for member in members if member.voter and answers(member))
        - quorum_size(members)
        for members in member_sets
    )


def _exchanged(members, lost, name, incarnation):
    """Make the voter ``lost`` a learner and the learner ``name`` a voter."""
    return tuple(
        msgspec.structs.replace(member, incarnation=incarnation, voter=True)
        if member.name == name
        else demoted(member)
        if member.name == lost
        else member
        for member in members
    )
