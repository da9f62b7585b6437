"""
damasklanding.fleet.backends
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command handlers for node registrations.  A registration is removed when its
lease expires, unless an operator has drained the node: then the record stays,
without an instance, until an operator returns the node to service.
"""

import msgspec

from damasklanding.fleet.changes import existing
from damasklanding.fleet.changes import put
from damasklanding.fleet.changes import remove
from damasklanding.fleet.changes import require_choice
from damasklanding.fleet.shards import assign_shards

__all__ = ['expire_backends', 'hold_backend', 'register_backend']

BACKEND_STATES = ('in', 'draining')
DEPARTURE_STAGES = ('', 'kept', 'ending')


def register_backend(state, command, revision):
    """Write a node's registration and keep its ``held_out`` flag."""
    backend = command.backend
    require_choice('state', backend.state, BACKEND_STATES)
    require_choice('departure', backend.departure, DEPARTURE_STAGES)
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
    """Remove the registrations whose instance still matches the command."""
    changes = []
    expired = {}
    for name, instance in sorted(command.instances.items()):
        backend = state.get('backend', name)
        if backend is None or backend.instance != instance:
            continue
        expired[name] = None
        changes += _expire_backend(state, backend, revision)
    if not expired:
        return []
    return changes + assign_shards(state, expired, revision)


def _expire_backend(state, backend, revision):
    if not backend.held_out:
        return remove('backend', backend.name)
    backend = msgspec.structs.replace(backend, instance='', state='draining')
    return put(state, 'backend', backend, revision)
