"""
damasklanding.fleet.datacentres
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command handlers for data centres.
"""

import msgspec

from damasklanding.errors import BadInput
from damasklanding.fleet.changes import existing
from damasklanding.fleet.changes import put
from damasklanding.fleet.changes import remove
from damasklanding.fleet.resources import DataCentre
from damasklanding.fleet.resources import Name

__all__ = [
    'delete_data_centre',
    'require_data_centre_name',
    'set_data_centre',
]


def require_data_centre_name(state, name):
    """
    Check that a data centre can have a name.

    A name that is not known now passes, since all hosts of a data centre may
    be off.

    :raises BadInput: it can not; the error names the known data centres.
    """
    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError as error:
        known = ', '.join(_known_names(state))
        raise BadInput(
            f'no data centre can have the name {name!r}; '
            f'known are {known or "none"}',
            'give the name as in the settings of its hosts',
        ) from error


def _known_names(state):
    names = set(state.all('data_centre'))
    for kind in ('backend', 'control_host'):
        names.update(host.data_centre for host in state.all(kind).values())
    return sorted(names - {''})


def set_data_centre(state, command, revision):
    """
    Declare a data centre or set whether it is out of service.

    :raises BadInput: a data centre can not have that name.
    """
    require_data_centre_name(state, command.name)
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
