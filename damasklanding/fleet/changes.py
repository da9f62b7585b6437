"""
damasklanding.fleet.changes
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Helpers that the rules of all aggregates share.
"""

import msgspec

from damasklanding.errors import BadInput
from damasklanding.errors import NotFound
from damasklanding.fleet.resources import Change

__all__ = ['existing', 'put', 'remove', 'require_choice']


def put(state, kind, resource, revision):
    """
    Return the changes that write a resource, none where nothing differs.

    :param revision: index of the entry that makes the change.
    """
    known = state.get(kind, resource.name)
    if known is not None:
        resource = msgspec.structs.replace(resource, revision=known.revision)
        if resource == known:
            return []
    resource = msgspec.structs.replace(resource, revision=revision)
    return [Change.put(kind, resource)]


def remove(kind, name):
    """Return the changes that remove a resource."""
    return [Change(kind, name)]


def existing(state, kind, name):
    """
    Return a resource.

    :raises NotFound: where there is none.
    """
    resource = state.get(kind, name)
    if resource is None:
        raise NotFound(f'there is no {kind} {name}')
    return resource


def require_choice(field, value, choices):
    """
    Check a value against a closed list.

    :raises BadInput: names the field and the choices.
    """
    if value not in choices:
        raise BadInput(
            f'{field} is {value!r}', f'give one of {", ".join(choices)}'
        )
