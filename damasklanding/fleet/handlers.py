"""
damasklanding.fleet.handlers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Maps each command type to its handler and to the resource that it targets.
"""

from damasklanding.errors import BadInput
from damasklanding.fleet.backends import expire_backends
from damasklanding.fleet.backends import hold_backend
from damasklanding.fleet.backends import register_backend
from damasklanding.fleet.commands import ApplyConfiguration
from damasklanding.fleet.commands import DeleteResource
from damasklanding.fleet.commands import ExpireBackends
from damasklanding.fleet.commands import GrantKey
from damasklanding.fleet.commands import HoldBackend
from damasklanding.fleet.commands import PutControlGroup
from damasklanding.fleet.commands import PutControlHost
from damasklanding.fleet.commands import PutOrganisation
from damasklanding.fleet.commands import PutProfile
from damasklanding.fleet.commands import PutService
from damasklanding.fleet.commands import RegisterBackend
from damasklanding.fleet.commands import SetDataCentre
from damasklanding.fleet.commands import WithdrawKey
from damasklanding.fleet.configurations import CONFIGURATION_NAME
from damasklanding.fleet.configurations import apply_configuration
from damasklanding.fleet.controlhosts import delete_control_host
from damasklanding.fleet.controlhosts import put_control_group
from damasklanding.fleet.controlhosts import put_control_host
from damasklanding.fleet.datacentres import delete_data_centre
from damasklanding.fleet.datacentres import set_data_centre
from damasklanding.fleet.organisations import delete_organisation
from damasklanding.fleet.organisations import grant_key
from damasklanding.fleet.organisations import put_organisation
from damasklanding.fleet.organisations import withdraw_key
from damasklanding.fleet.profiles import delete_profile
from damasklanding.fleet.profiles import put_profile
from damasklanding.fleet.services import delete_service
from damasklanding.fleet.services import put_service

__all__ = ['compute_changes', 'is_registration_command', 'target_resource']

_DELETIONS = {
    'profile': delete_profile,
    'service': delete_service,
    'organisation': delete_organisation,
    'data_centre': delete_data_centre,
    'control_host': delete_control_host,
}


def _delete(state, command, _revision):
    handler = _DELETIONS.get(command.kind)
    if handler is None:
        raise BadInput(
            f'a {command.kind} can not be deleted',
            f'give one of {", ".join(_DELETIONS)}',
        )
    return handler(state, command.name)


#: Handler and target resource by command type.
_HANDLERS = {
    PutProfile: (put_profile, lambda c: ('profile', c.profile.name)),
    PutService: (put_service, lambda c: ('service', c.service.name)),
    PutOrganisation: (
        put_organisation,
        lambda c: ('organisation', c.organisation.name),
    ),
    GrantKey: (grant_key, lambda c: ('organisation', c.organisation)),
    WithdrawKey: (withdraw_key, lambda c: ('organisation', c.organisation)),
    SetDataCentre: (set_data_centre, lambda c: ('data_centre', c.name)),
    HoldBackend: (hold_backend, lambda c: ('backend', c.name)),
    RegisterBackend: (register_backend, lambda c: ('backend', c.backend.name)),
    ExpireBackends: (expire_backends, lambda c: ('backend', '')),
    PutControlHost: (
        put_control_host,
        lambda c: ('control_host', c.control_host.name),
    ),
    PutControlGroup: (put_control_group, lambda c: ('control_group', c.name)),
    ApplyConfiguration: (
        apply_configuration,
        lambda c: ('configuration', CONFIGURATION_NAME),
    ),
    DeleteResource: (_delete, lambda c: (c.kind, c.name)),
}

_REGISTRATION_COMMANDS = (RegisterBackend, ExpireBackends)


def compute_changes(state, command, revision):
    """
    Validate a command and compute the changes that it makes.

    :return: list of :class:`~damasklanding.fleet.resources.Change`.
    :raises BadInput: if the command is invalid in this state.
    :raises NotFound: if it names a resource that does not exist.
    """
    handler, _ = _HANDLERS[type(command)]
    return handler(state, command, revision)


def target_resource(command):
    """Return kind and name of the resource that a command targets."""
    _, target = _HANDLERS[type(command)]
    return target(command)


def is_registration_command(command):
    """Return whether a command maintains node registrations."""
    return isinstance(command, _REGISTRATION_COMMANDS)
