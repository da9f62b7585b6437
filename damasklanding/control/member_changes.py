"""
damasklanding.control.member_changes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Changes of a replication group's members by its leader.  One change is made
at a time; each is a log entry, and a later marker entry records that it is
committed.
"""

import msgspec

from damasklanding.control.members import changed_members
from damasklanding.control.members import encode_members
from damasklanding.control.members import quorum_reached
from damasklanding.control.voters import admit_learner
from damasklanding.control.voters import hand_over_place
from damasklanding.errors import BadInput
from damasklanding.errors import Conflict

__all__ = [
    'record_incarnation',
    'append_commit_marker',
    'members_after_change',
]


def members_after_change(leadership, change):
    """
    Validate an operator's change and return the members after it.

    :param change: :class:`~damasklanding.control.members.MemberChange`.
    :raises Conflict: an earlier change is not complete yet.
    :raises BadInput: the change is invalid, or the remaining voters that are
        alive now would not form a quorum.
    """
    current = leadership.replica.membership.current
    if change.action == 'hand-over':
        members = hand_over_place(
            current, change.name, leadership.caught_up_learners()
        )
    else:
        members = changed_members(current, change)
    if members == current:
        return members
    if not _may_start_change(leadership):
        raise Conflict(
            'another change of members is under way',
            'wait until it is complete and send this again',
        )
    if change.action != 'hand-over' and not quorum_reached(
        members, lambda m: m in current and leadership.is_alive(m)
    ):
        raise BadInput(
            f'without {change.name} no quorum answers now',
            'bring the other control hosts back first',
        )
    return members


def append_commit_marker(leadership):
    """Append a marker that the latest change of members is committed."""
    if leadership.is_transferring:
        return
    membership = leadership.replica.membership
    if membership.is_change_committed() and not membership.has_commit_marker():
        leadership.append(
            'settled', str(membership.last_change_index).encode()
        )


def record_incarnation(leadership, peer):
    """
    Record the incarnation of a peer that has a new data folder.

    This is done once the peer has caught up with the committed entries.  A
    learner becomes a voter with it, as soon as there is a place for it.
    """
    replica = leadership.replica
    member = replica.membership.get(peer.name)
    if member is None or member.incarnation == peer.incarnation:
        return
    caught_up = peer.match_index >= replica.commit_index
    if not caught_up or not _may_start_change(leadership):
        return
    current = replica.membership.current
    if member.voter:
        members = _with_incarnation(current, member, peer.incarnation)
    else:
        members = admit_learner(
            current,
            member.name,
            peer.incarnation,
            replica.wanted_voters(),
            leadership.silent_voters(),
        )
    if members != current:
        leadership.append('members', encode_members(members))


def _with_incarnation(members, member, incarnation):
    updated = msgspec.structs.replace(member, incarnation=incarnation)
    return tuple(updated if known is member else known for known in members)


def _may_start_change(leadership):
    replica = leadership.replica
    return (
        not leadership.is_transferring
        and replica.commit_index >= leadership.first_index
        and replica.membership.is_change_complete(replica.commit_index)
    )
