"""
damasklanding.fleet.controlhosts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command handlers for the control host addresses that are published to nodes
and operators.
"""

import msgspec

from damasklanding.fleet.changes import existing
from damasklanding.fleet.changes import put
from damasklanding.fleet.changes import remove

__all__ = ['delete_control_host', 'put_control_host']


def put_control_host(state, command, revision):
    """
    Write the addresses of a control host.

    A command that names no data centre keeps the one that is known.
    """
    host = command.control_host
    known = state.get('control_host', host.name)
    if known is not None and not host.data_centre:
        host = msgspec.structs.replace(host, data_centre=known.data_centre)
    return put(state, 'control_host', host, revision)


def delete_control_host(state, name):
    """Remove a control host from the list."""
    existing(state, 'control_host', name)
    return remove('control_host', name)
