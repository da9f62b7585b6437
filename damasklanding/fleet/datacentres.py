"""
damasklanding.fleet.datacentres
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command handlers for data centres.
"""

from damasklanding.errors import BadInput
from damasklanding.fleet.changes import existing
from damasklanding.fleet.changes import put
from damasklanding.fleet.changes import remove
from damasklanding.fleet.resources import DataCentre

__all__ = ['delete_data_centre', 'set_data_centre']


def set_data_centre(state, command, revision):
    """Declare a data centre or set whether it is out of service."""
    known = state.get('data_centre', command.name)
    region = command.region or (known.region if known is not None else '')
    data_centre = DataCentre(name=command.name, region=region, out=command.out)
    return put(state, 'data_centre', data_centre, revision)


def delete_data_centre(state, name):
    """
    Remove a data centre that has no backend servers.

    :raises BadInput: if backend servers are registered in it.
    """
    existing(state, 'data_centre', name)
    count = sum(
        backend.data_centre == name
        for backend in state.all('backend').values()
    )
    if count:
        raise BadInput(
            f'{count} nodes are registered in data centre {name}',
            'take it out and stop them first',
        )
    return remove('data_centre', name)
