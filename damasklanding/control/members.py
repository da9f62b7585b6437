"""
damasklanding.control.members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The membership of a replication group and its quorums.  A change of members
needs a quorum of the members before it and of those after it.
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
    'encode_change',
    'encode_members',
    'quorum_reached',
    'quorum_value',
]

#: Incarnation of the data folders that found a fleet.
BOOTSTRAP_INCARNATION = 'founding'


class Member(msgspec.Struct, array_like=True, frozen=True):
    """
    One replica of a group.

    :ivar incarnation: of the data folder whose votes and acknowledgements
        count; empty where none does yet.
    :ivar voter: False for a learner, which is caught up but never counted.
    """

    name: str
    address: str
    incarnation: str = BOOTSTRAP_INCARNATION
    voter: bool = True


class MemberChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    An operator's change of a group's members.

    :ivar action: ``add``, as a learner that votes once it has caught up,
        ``move``, to another address, or ``remove``.
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
    """Decode a tuple of members, the empty one from no bytes."""
    return _decoder.decode(data) if data else ()


def encode_change(change):
    """Encode a change of members to bytes."""
    return _encoder.encode(change)


def decode_change(data):
    """
    Decode a change of members.

    :raises BadInput: where the bytes hold none.
    """
    try:
        return _change_decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise BadInput(f'a malformed change of members ({error})') from error


def changed_members(members, change):
    """
    Return the members after a change; the same ones where it stands.

    :raises BadInput: where the change makes no sense.
    """
    rule = _CHANGES.get(change.action)
    if rule is None:
        raise BadInput(
            f'action is {change.action!r}', f'give {" or ".join(_CHANGES)}'
        )
    return rule(members, change)


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
    if not any(member.voter for member in others):
        raise BadInput(
            f'{change.name} is the last voter', 'add another host first'
        )
    return others


_CHANGES = {'add': _add, 'move': _move, 'remove': _remove}


def quorum_value(members, values):
    """
    Return the highest value that a quorum of the voters has reached.

    :param values: function of a member; the lowest for one that does not
        count.
    """
    reached = sorted(values(member) for member in members if member.voter)
    return reached[(len(reached) - 1) // 2]


def quorum_reached(members, granted):
    """Return whether a quorum of the voters satisfies a function."""
    voters = [member for member in members if member.voter]
    return sum(map(granted, voters)) > len(voters) // 2


class Membership:
    """
    The members by log index, as far as the log is known here.

    :ivar current: members in force since the latest change, committed or
        not.
    """

    def __init__(self, index, members):
        self._changes = [(index, members)]
        self._base_index = index
        self._settled = index
        self._marked_at = 0
        self._marked = index

    @property
    def current(self):
        """Return the latest members."""
        return self._changes[-1][1]

    @property
    def last_change_index(self):
        """Return the index of the latest change."""
        return self._changes[-1][0]

    def record_change(self, index, members):
        """Note the members that an entry of the log sets."""
        self.truncate(index)
        self._changes.append((index, members))

    def truncate(self, index):
        """Forget the changes at and after an index."""
        while len(self._changes) > 1 and self._changes[-1][0] >= index:
            self._changes.pop()
        if self._marked_at >= index:
            self._marked_at = 0
            self._marked = self._base_index

    def mark_committed(self, index):
        """Note that the change at an index is known to be committed."""
        self._settled = max(self._settled, index)

    def forget_before(self, index):
        """Drop the members that were replaced at or before an index."""
        while len(self._changes) > 1 and self._changes[1][0] <= index:
            self._changes.pop(0)

    def record_commit_marker(self, marker_index, index):
        """Note the log's marker that the change at an index is settled."""
        self.mark_committed(index)
        self._marked_at = marker_index
        self._marked = index

    def has_commit_marker(self):
        """Return whether the log marks the latest change as settled."""
        return self._marked >= self.last_change_index

    def is_change_complete(self, commit_index):
        """Return whether a quorum knows that the change is settled."""
        return self.has_commit_marker() and self._marked_at <= commit_index

    def is_change_committed(self):
        """Return whether the latest change is known to be committed."""
        return self._settled >= self.last_change_index

    def active_member_sets(self):
        """Return each set of members whose quorum is needed now."""
        if self.is_change_committed() or len(self._changes) == 1:
            return (self.current,)
        return (self._changes[-2][1], self.current)

    def members_at(self, index):
        """Return the members in force after an index."""
        known = [m for start, m in self._changes if start <= index]
        return known[-1]

    def get(self, name):
        """Return the member of a name, None without one."""
        for member in self.current:
            if member.name == name:
                return member
        return None
