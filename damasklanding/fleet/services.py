"""
damasklanding.fleet.services
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command handlers for services and their routes.
"""

from damasklanding.errors import BadInput
from damasklanding.fleet.changes import existing
from damasklanding.fleet.changes import put
from damasklanding.fleet.changes import remove
from damasklanding.fleet.changes import require_choice

__all__ = ['delete_service', 'put_service']

ACCESS_CHOICES = ('open', 'internal')


def put_service(state, command, revision):
    """Create or replace a service with its routes."""
    service = command.service
    prefixes = _prefixes_of_others(state, service.name)
    for route in service.routes:
        _check_route(state, route, prefixes)
        prefixes[route.prefix] = service.name
    return put(state, 'service', service, revision)


def delete_service(state, name):
    """Remove a service with its routes."""
    existing(state, 'service', name)
    return remove('service', name)


def _prefixes_of_others(state, name):
    return {
        route.prefix: service.name
        for service in state.all('service').values()
        for route in service.routes
        if service.name != name
    }


def _check_route(state, route, prefixes):
    require_choice('access', route.access, ACCESS_CHOICES)
    if state.get('profile', route.profile) is None:
        raise BadInput(
            f'route {route.prefix} names profile {route.profile}, '
            'which does not exist',
            'create the profile first',
        )
    owner = prefixes.get(route.prefix)
    if owner is not None:
        raise BadInput(
            f'route {route.prefix} already exists in service {owner}',
            'choose another prefix',
        )
