"""
damasklanding.fleet.organisations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command handlers for organisations and their keys.
"""

import msgspec

from damasklanding.errors import BadInput
from damasklanding.errors import NotFound
from damasklanding.fleet.changes import existing
from damasklanding.fleet.changes import put
from damasklanding.fleet.changes import remove

__all__ = [
    'delete_organisation',
    'grant_key',
    'put_organisation',
    'withdraw_key',
]

MAX_KEYS_PER_ORGANISATION = 64


def put_organisation(state, command, revision):
    """Create an organisation without keys, or update it and keep its keys."""
    organisation = command.organisation
    known = state.get('organisation', organisation.name)
    keys = known.keys if known is not None else ()
    organisation = msgspec.structs.replace(organisation, keys=keys)
    return put(state, 'organisation', organisation, revision)


def grant_key(state, command, revision):
    """
    Add a key to an organisation.

    :raises BadInput: if the key id or the digest is already in use, or the
        organisation has the maximum number of keys.
    """
    organisation = existing(state, 'organisation', command.organisation)
    _check_new_key(state, organisation, command.key)
    keys = (*organisation.keys, command.key)
    organisation = msgspec.structs.replace(organisation, keys=keys)
    return put(state, 'organisation', organisation, revision)


def withdraw_key(state, command, revision):
    """Remove a key from an organisation."""
    organisation = existing(state, 'organisation', command.organisation)
    keys = tuple(
        key for key in organisation.keys if key.key_id != command.key_id
    )
    if len(keys) == len(organisation.keys):
        raise NotFound(
            f'{organisation.name} has no key {command.key_id}',
            'list its keys and correct the key id',
        )
    organisation = msgspec.structs.replace(organisation, keys=keys)
    return put(state, 'organisation', organisation, revision)


def delete_organisation(state, name):
    """Remove an organisation; its keys stop working."""
    existing(state, 'organisation', name)
    return remove('organisation', name)


def _check_new_key(state, organisation, key):
    if len(organisation.keys) >= MAX_KEYS_PER_ORGANISATION:
        raise BadInput(
            f'{organisation.name} has {MAX_KEYS_PER_ORGANISATION} keys',
            'withdraw one that is no longer used',
        )
    if any(known.key_id == key.key_id for known in organisation.keys):
        raise BadInput(
            f'{organisation.name} has a key {key.key_id} already',
            'choose another key id',
        )
    for other in state.all('organisation').values():
        if any(known.digest == key.digest for known in other.keys):
            raise BadInput(
                'the same key was granted before', 'draw a new random key'
            )
