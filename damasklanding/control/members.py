"""
damasklanding.control.members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Membership of a replication group and its quorums.  While a change of members
is not committed, decisions need a quorum of the members before the change and
a quorum of those after it (joint consensus).
"""

import msgspec

from damasklanding.errors import BadInput

__all__ = [
    'BOOTSTRAP_INCARNATION',
    'Member',
    'MemberChange',
    'Membership',
    'changed_members',
    'decode_change',
    'decode_members',
    'demoted',
    'encode_change',
    'encode_members',
    'quorum_reached',
    'quorum_size',
    'quorum_value',
]

#: Incarnation of the data folders of a newly bootstrapped fleet.
BOOTSTRAP_INCARNATION = 'founding'


class Member(msgspec.Struct, array_like=True, frozen=True):
    """
    One replica of a group.

    :ivar incarnation: identifier of the data folder whose votes and
        acknowledgements count; empty while the group has recorded none.
    :ivar voter: whether the replica counts in quorums.  A learner receives
        all entries but does not count.
    """

    name: str
    address: str
    incarnation: str = BOOTSTRAP_INCARNATION
    voter: bool = True


class MemberChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    An operator's change of a group's members.

    :ivar action: ``add`` adds a learner, ``move`` changes the address,
        ``demote`` makes a voter a learner, ``remove`` removes and
        ``hand-over`` makes a waiting learner a voter in the place of one that
        stops.
    :ivar name: name of the host.
    :ivar address: new address of the host, for ``add`` and ``move`` only.
    """

    action: str
    name: str
    address: str = ''


_change_decoder = msgspec.msgpack.Decoder(MemberChange)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[Member, ...])


def encode_members(members):
    """Encode a tuple of members to bytes."""
    return _encoder.encode(members)


def decode_members(data):
    """Decode a tuple of members; empty bytes give an empty tuple."""
    return _decoder.decode(data) if data else ()


def encode_change(change):
    """Encode a change of members to bytes."""
    return _encoder.encode(change)


def decode_change(data):
    """
    Decode a change of members.

    :raises BadInput: the bytes hold no valid change.
    """
    try:
        return _change_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise BadInput(f'malformed change of members ({error})') from error


def changed_members(members, change):
    """
    Return the members after a change.

    The result equals ``members`` if the change was made before.

    :raises BadInput: the action is unknown, or no voter would be left.
    """
    apply_change = _CHANGE_FUNCTIONS.get(change.action)
    if apply_change is None:
        raise BadInput(
            f'action is {change.action!r}',
            f'give {" or ".join(_CHANGE_FUNCTIONS)}',
        )
    return apply_change(members, change)


def _add(members, change):
    for member in members:
        if member.name == change.name:
            return _move(members, change)
    return (*members, Member(change.name, change.address, '', False))


def _move(members, change):
    return tuple(
        msgspec.structs.replace(member, address=change.address)
        if member.name == change.name
        else member
        for member in members
    )


def _remove(members, change):
    others = tuple(m for m in members if m.name != change.name)
    _require_voter(others, change)
    return others


def _demote(members, change):
    changed = tuple(
        demoted(member) if member.name == change.name else member
        for member in members
    )
    _require_voter(changed, change)
    return changed


def _require_voter(members, change):
    if not any(member.voter for member in members):
        raise BadInput(
            f'{change.name} is the last voter', 'add another host first'
        )


def demoted(member):
    """Return a member as a learner, whose data folder no longer counts."""
    return msgspec.structs.replace(member, incarnation='', voter=False)


_CHANGE_FUNCTIONS = {
    'add': _add,
    'demote': _demote,
    'move': _move,
    'remove': _remove,
}


def quorum_value(members, value_of):
    """
    Return the highest value that a quorum of the voters has reached.

    :param value_of: function that returns the value of a member; for a member
        whose data folder does not count it must return the lowest value.
    """
    reached = sorted(value_of(member) for member in members if member.voter)
    return reached[(len(reached) - 1) // 2]


def quorum_size(members):
    """Return the number of voters that make a quorum."""
    return sum(member.voter for member in members) // 2 + 1


def quorum_reached(members, satisfies):
    """Return whether a quorum of the voters satisfies a predicate."""
    voters = [member for member in members if member.voter]
    return sum(map(satisfies, voters)) >= quorum_size(members)


class Membership:
    """
    The members of a group by log index, as read from the log of this replica.

    A change takes effect as soon as its entry is in the log.  Once the change
    is committed, the leader appends a marker entry that says so.  The change
    is complete when the marker is committed too, since a quorum then knows
    that the change is committed.

    :ivar current: members after the latest change, committed or not.
    """

    def __init__(self, index, members):
        self._changes = [(index, members)]
        self._base_index = index
        self._committed_index = index
        self._marker_index = 0
        self._marked_change_index = index

    @property
    def current(self):
        """Return the members after the latest change, committed or not."""
        return self._changes[-1][1]

    @property
    def last_change_index(self):
        """Return the log index of the latest change."""
        return self._changes[-1][0]

    def record_change(self, index, members):
        """Record the members that the log entry at an index sets."""
        self.truncate(index)
        self._changes.append((index, members))

    def truncate(self, index):
        """Remove the changes and the marker at or after an index."""
        while len(self._changes) > 1 and self._changes[-1][0] >= index:
            self._changes.pop()
        if self._marker_index >= index:
            self._marker_index = 0
            self._marked_change_index = self._base_index

    def mark_committed(self, index):
        """Record that the change at an index is committed."""
        self._committed_index = max(self._committed_index, index)

    def forget_before(self, index):
        """Forget the members that were replaced at or before an index."""
        while len(self._changes) > 1 and self._changes[1][0] <= index:
            self._changes.pop(0)

    def record_commit_marker(self, marker_index, index):
        """
        Record a marker entry of the log for a committed change.

        :param marker_index: index of the marker entry.
        :param index: index of the committed change.
        """
        self.mark_committed(index)
        self._marker_index = marker_index
        self._marked_change_index = index

    def has_commit_marker(self):
        """Return whether the log marks the latest change as committed."""
        return self._marked_change_index >= self.last_change_index

    def is_change_complete(self, commit_index):
        """Return whether the marker of the latest change is committed."""
        return self.has_commit_marker() and self._marker_index <= commit_index

    def is_change_committed(self):
        """Return whether the latest change is known to be committed."""
        return self._committed_index >= self.last_change_index

    def active_member_sets(self):
        """Return the sets of members of which each must give a quorum."""
        if self.is_change_committed() or len(self._changes) == 1:
            return (self.current,)
        return (self._changes[-2][1], self.current)

    def members_at(self, index):
        """Return the members in force after the entry at an index."""
        known_members = [m for start, m in self._changes if start <= index]
        return known_members[-1]

    def get(self, name):
        """Return the current member with a name, or None."""
        for member in self.current:
            if member.name == name:
                return member
        return None
