"""
damasklanding.fleet.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands that change the replicated configuration.  Each is sent in an
envelope whose request id deduplicates resends and whose expected revision
detects concurrent changes.
"""

import msgspec

from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import Configuration
from damasklanding.fleet.resources import ControlHost
from damasklanding.fleet.resources import HostRoute
from damasklanding.fleet.resources import Key
from damasklanding.fleet.resources import Organisation
from damasklanding.fleet.resources import Profile
from damasklanding.fleet.resources import Service

__all__ = [
    'ApplyConfiguration',
    'Command',
    'DeleteResource',
    'Envelope',
    'ExpireBackends',
    'GrantKey',
    'HoldBackend',
    'Outcome',
    'PutControlGroup',
    'PutControlHost',
    'PutOrganisation',
    'PutProfile',
    'PutService',
    'RegisterBackend',
    'SetDataCentre',
    'WithdrawKey',
]


class Command(msgspec.Struct, frozen=True, kw_only=True, tag_field='op'):
    """Base of all commands."""


class PutProfile(Command, frozen=True, kw_only=True, tag=True):
    """Create or replace a profile."""

    profile: Profile


class PutService(Command, frozen=True, kw_only=True, tag=True):
    """Create or replace a service with its routes."""

    service: Service


class PutOrganisation(Command, frozen=True, kw_only=True, tag=True):
    """
    Create an organisation or change its rate, burst and weight.

    The keys of an existing organisation stay as they are.
    """

    organisation: Organisation


class GrantKey(Command, frozen=True, kw_only=True, tag=True):
    """Add a key to an organisation."""

    organisation: str
    key: Key


class WithdrawKey(Command, frozen=True, kw_only=True, tag=True):
    """Remove a key from an organisation."""

    organisation: str
    key_id: str


class SetDataCentre(Command, frozen=True, kw_only=True, tag=True):
    """Declare a data centre, or take it out of or back into service."""

    name: str
    out: bool = False
    region: str = ''


class HoldBackend(Command, frozen=True, kw_only=True, tag=True):
    """Drain a backend server, or return it to service."""

    name: str
    held_out: bool


class RegisterBackend(Command, frozen=True, kw_only=True, tag=True):
    """Write a node's own registration and keep its ``held_out`` flag."""

    backend: Backend


class ExpireBackends(Command, frozen=True, kw_only=True, tag=True):
    """
    Remove registrations whose lease has expired or whose node has left.

    Each is removed only if it still has the given instance.
    """

    instances: dict[str, str]


class PutControlHost(Command, frozen=True, kw_only=True, tag=True):
    """
    Write the addresses of a control host.

    :ivar is_founder: whether the host was started to found the fleet.
    """

    control_host: ControlHost
    is_founder: bool = False


class PutControlGroup(Command, frozen=True, kw_only=True, tag=True):
    """Set how many control hosts vote."""

    name: str
    voters: int


class ApplyConfiguration(Command, frozen=True, kw_only=True, tag=True):
    """
    Replace all profiles, services, organisations and host routes at once.

    :ivar base_version: version that must be in force, 0 for the first.
    :ivar configuration: version, digest and settings of the new
        configuration.
    :ivar document: the document as it was sent, compressed; it stays on the
        control hosts.
    """

    base_version: int
    configuration: Configuration
    profiles: list[Profile]
    services: list[Service]
    organisations: list[Organisation]
    host_routes: list[HostRoute]
    document: bytes


class DeleteResource(Command, frozen=True, kw_only=True, tag=True):
    """Remove a profile, service, organisation, data centre or host."""

    kind: str
    name: str


AnyCommand = (
    PutProfile
    | PutService
    | PutOrganisation
    | GrantKey
    | WithdrawKey
    | SetDataCentre
    | HoldBackend
    | RegisterBackend
    | ExpireBackends
    | PutControlHost
    | PutControlGroup
    | DeleteResource
    | ApplyConfiguration
)


class Envelope(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """
    A command with the data to deduplicate resends and detect conflicts.

    :ivar request_id: unique per requested change; a resend carries the same
        id.
    :ivar operator: operator who sent the command, reported to the loser of a
        conflict.
    :ivar expected_revision: the resource's revision as the operator saw it,
        0 for a resource that must not exist yet, None for any.
    :ivar issued_at_ms: wall clock time of issue, used only in the history.
    """

    request_id: str
    operator: str
    command: AnyCommand
    expected_revision: int | None = None
    issued_at_ms: int = 0


class Outcome(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """
    Result of a command; a resend gets the result of the first send.

    :ivar revision: revision of the change, or the current one of the
        resource on a conflict.
    :ivar error: error code, empty on success.
    :ivar winner: on a conflict, the operator whose change stands.
    """

    revision: int
    error: str = ''
    problem: str = ''
    winner: str = ''
