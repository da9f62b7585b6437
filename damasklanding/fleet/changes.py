"""
damasklanding.fleet.changes
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Helpers shared by the command handlers of all resource kinds.
"""

import msgspec

from damasklanding.errors import BadInput
from damasklanding.errors import NotFound
from damasklanding.fleet.resources import Change

__all__ = ['existing', 'put', 'remove', 'require_choice']


def put(state, kind, resource, revision):
    """
    Return the changes that write a resource, or none if it is unchanged.

    :param revision: index of the log entry that makes the change.
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

    :raises NotFound: if it does not exist.
    """
    resource = state.get(kind, name)
    if resource is None:
        raise NotFound(f'there is no {kind} {name}')
    return resource


def require_choice(field, value, choices):
    """
    Check that a value is one of the allowed choices.

    :raises BadInput: if it is not; the error names the field and the
        choices.
    """
    if value not in choices:
        raise BadInput(
            f'{field} is {value!r}', f'give one of {", ".join(choices)}'
        )
