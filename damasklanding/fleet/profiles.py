"""
damasklanding.fleet.profiles
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command handlers for profiles.
"""

from damasklanding.errors import BadInput
from damasklanding.fleet.changes import existing
from damasklanding.fleet.changes import put
from damasklanding.fleet.changes import remove
from damasklanding.fleet.changes import require_choice

__all__ = ['delete_profile', 'put_profile']

DISCIPLINES = ('fifo', 'lifo', 'adaptive')


def put_profile(state, command, revision):
    """Create or replace a profile."""
    profile = command.profile
    require_choice('discipline', profile.discipline, DISCIPLINES)
    return put(state, 'profile', profile, revision)


def delete_profile(state, name):
    """
    Remove a profile that no route uses.

    :raises BadInput: if a service uses it; the error names the service.
    """
    existing(state, 'profile', name)
    for service in state.all('service').values():
        if any(route.profile == name for route in service.routes):
            raise BadInput(
                f'profile {name} is used by service {service.name}',
                'give its routes another profile first',
            )
    return remove('profile', name)
