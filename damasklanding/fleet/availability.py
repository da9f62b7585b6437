"""
damasklanding.fleet.availability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which backend servers may get work by the configuration, and which services an
order would leave without one.
"""

__all__ = ['services_emptied', 'unusable_reason']


def unusable_reason(state, backend):
    """
    Return why a backend server gets no work, empty if it may.

    :param state: :class:`~damasklanding.fleet.state.FleetState`.
    :param backend: :class:`~damasklanding.fleet.resources.Backend`.
    """
    data_centre = state.get('data_centre', backend.data_centre)
    if data_centre is not None and data_centre.out:
        return (
            f'{data_centre.name} is out of service since revision '
            f'{data_centre.revision}'
        )
    if backend.held_out:
        return 'an operator holds it out'
    if backend.state != 'in':
        return f'it is {backend.state}'
    return ''


def services_emptied(state, is_taken, newly=False):
    """
    Return the services that have no usable backend server under an order.

    Services that the order takes no backend server of are left out.  An order
    that holds already gives the same answer as the first time.  A backend
    server that leaves keeps no service usable.

    :param is_taken: function of a
        :class:`~damasklanding.fleet.resources.Backend`; returns whether the
        order takes it out of use.
    :param newly: leave out those that have no usable backend server now.
    :return: sorted list of names.
    """
    taken = set()
    kept = set()
    for backend in state.all('backend').values():
        is_usable = not unusable_reason(state, backend)
        if not is_taken(backend):
            if is_usable and not backend.departure:
                kept.add(backend.service)
        elif is_usable or not newly:
            taken.add(backend.service)
    return sorted(taken - kept - {''})
