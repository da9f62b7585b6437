"""
damasklanding.fleet.controlhosts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command handlers for the control host addresses that are published to nodes
and operators, and for the number of control hosts that vote.
"""

import msgspec

from damasklanding.errors import BadInput
from damasklanding.fleet.changes import existing
from damasklanding.fleet.changes import put
from damasklanding.fleet.changes import remove
from damasklanding.fleet.resources import ControlGroup

__all__ = [
    'CONTROL_GROUP_NAME',
    'VOTER_COUNTS',
    'delete_control_host',
    'put_control_group',
    'put_control_host',
    'configured_voters',
    'wanted_voters',
]

CONTROL_GROUP_NAME = 'control'
VOTER_COUNTS = (1, 3, 5, 7, 9)


def put_control_host(state, command, revision):
    """
    Write the addresses of a control host.

    A command that names no data centre keeps the one that is known.
    """
    host = command.control_host
    known = state.get('control_host', host.name)
    if known is not None and not host.data_centre:
        host = msgspec.structs.replace(host, data_centre=known.data_centre)
    changes = put(state, 'control_host', host, revision)
    group = _control_group(state)
    if command.is_founder and host.name not in group.founders:
        founders = (*group.founders, host.name)
        group = msgspec.structs.replace(group, founders=founders)
        changes += put(state, 'control_group', group, revision)
    return changes


def put_control_group(state, command, revision):
    """
    Set how many control hosts vote.

    :raises BadInput: the number is even or too high, or the group has
        another name.
    """
    if command.name != CONTROL_GROUP_NAME:
        raise BadInput(
            f'no control group {command.name}', f'name it {CONTROL_GROUP_NAME}'
        )
    if command.voters not in VOTER_COUNTS:
        raise BadInput(
            f'voters is {command.voters}',
            f'give one of {", ".join(map(str, VOTER_COUNTS))}',
        )
    group = msgspec.structs.replace(
        _control_group(state), voters=command.voters
    )
    return put(state, 'control_group', group, revision)


def delete_control_host(state, name):
    """Remove a control host from the list."""
    existing(state, 'control_host', name)
    return remove('control_host', name)


def configured_voters(state):
    """Return the number of voters that operators have set, 0 for none."""
    return _control_group(state).voters


def wanted_voters(state):
    """
    Return how many control hosts should vote, 0 while that is unknown.

    Without a number that operators have set it is the number of founders, or
    one more if that is even: an even number bears no more losses.
    """
    group = _control_group(state)
    if group.voters or not group.founders:
        return group.voters
    count = len(group.founders)
    return min(count if count % 2 else count + 1, VOTER_COUNTS[-1])


def _control_group(state):
    known = state.get('control_group', CONTROL_GROUP_NAME)
    return known or ControlGroup(name=CONTROL_GROUP_NAME)
