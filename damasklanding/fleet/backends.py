"""
damasklanding.fleet.backends
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rules of the nodes' registrations.  A registration is removed once its lease
has lapsed, but that an operator holds it out is remembered until an operator
returns it.
"""

import msgspec

from damasklanding.fleet.changes import existing
from damasklanding.fleet.changes import put
from damasklanding.fleet.changes import remove
from damasklanding.fleet.changes import require_choice
from damasklanding.fleet.shards import assign_shards

__all__ = ['expire_backends', 'hold_backend', 'register_backend']

STATES = ('in', 'draining')


def register_backend(state, command, revision):
    """Write a node's registration; ``held_out`` stays as it is."""
    backend = command.backend
    require_choice('state', backend.state, STATES)
    known = state.get('backend', backend.name)
    held_out = known is not None and known.held_out
    backend = msgspec.structs.replace(backend, held_out=held_out)
    changes = put(state, 'backend', backend, revision)
    return changes + assign_shards(state, {backend.name: backend}, revision)


def hold_backend(state, command, revision):
    """Drain a backend server, or return it to service."""
    backend = existing(state, 'backend', command.name)
    if not backend.instance and not command.held_out:
        return remove('backend', backend.name)
    backend = msgspec.structs.replace(backend, held_out=command.held_out)
    return put(state, 'backend', backend, revision)


def expire_backends(state, command, revision):
    """Remove registrations that still have the given instances."""
    changes = []
    gone = {}
    for name, instance in sorted(command.instances.items()):
        backend = state.get('backend', name)
        if backend is None or backend.instance != instance:
            continue
        gone[name] = None
        changes += _expire(state, backend, revision)
    if not gone:
        return []
    return changes + assign_shards(state, gone, revision)


def _expire(state, backend, revision):
    if not backend.held_out:
        return remove('backend', backend.name)
    backend = msgspec.structs.replace(backend, instance='', state='draining')
    return put(state, 'backend', backend, revision)
