"""
damasklanding.fleet.resources
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Validated models of all resources in the replicated configuration.  A
resource is identified by its kind and name.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = [
    'KINDS',
    'Backend',
    'BudgetShard',
    'Change',
    'Configuration',
    'ControlGroup',
    'ControlHost',
    'DataCentre',
    'HostRoute',
    'Key',
    'Organisation',
    'WeightedService',
    'Profile',
    'Resource',
    'Route',
    'Service',
    'decode_changes',
    'encode_changes',
]

Name = Annotated[str, Meta(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]
Address = Annotated[str, Meta(pattern=r'^[0-9a-f.:\[\]]+:\d{1,5}$')]
DurationMs = Annotated[int, Meta(ge=1, le=600_000)]


class Resource(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """
    Base of all resources.

    :ivar name: unique within the kind.
    :ivar revision: revision of the change that last wrote it.
    """

    name: Name
    revision: int = 0


class Profile(Resource, frozen=True, kw_only=True):
    """
    How requests of a route are treated under overload.

    :ivar importance: 0 to 3; higher is shed later.
    :ivar idempotent: whether a request may run more than once.
    :ivar longest_wait_ms: longest time a request may wait for a slot.
    :ivar timeout_ms: timeout of a request that carries no deadline.
    :ivar retries: attempts beyond the first, over the whole call chain.
    :ivar discipline: order within an organisation, ``fifo``, ``lifo`` or
        ``adaptive`` (oldest first, but newest first under lasting overload).
    :ivar weight: share of slots among profiles of equal importance.
    :ivar claim_retention_ms: how long an idempotency key is remembered.
    :ivar objective_ratio: service-level objective, good over all requests.
    :ivar objective_latency_ms: slower answers count as bad.
    """

    importance: Annotated[int, Meta(ge=0, le=3)] = 1
    idempotent: bool = True
    longest_wait_ms: Annotated[int, Meta(ge=0, le=600_000)] = 500
    timeout_ms: DurationMs = 5_000
    retries: Annotated[int, Meta(ge=0, le=3)] = 2
    discipline: str = 'adaptive'
    weight: Annotated[int, Meta(ge=1, le=1_000)] = 1
    claim_retention_ms: Annotated[int, Meta(ge=60_000, le=86_400_000)] = (
        3_600_000
    )
    objective_ratio: Annotated[float, Meta(gt=0, lt=1)] = 0.995
    objective_latency_ms: DurationMs = 1_000


class Route(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """
    A path prefix of a service.

    :ivar prefix: unique over all services; the longest match wins.
    :ivar profile: name of the profile that applies.
    :ivar access: ``open`` needs a key; ``internal`` is served only on the
        egress listener of a node.
    :ivar methods: allowed methods; empty allows all.
    """

    prefix: Annotated[str, Meta(pattern=r'^/[^\s?#]*$', max_length=200)]
    profile: Name
    access: str = 'open'
    methods: tuple[str, ...] = ()


class Service(Resource, frozen=True, kw_only=True):
    """
    A service with its routes.

    :ivar health_path: path of the health checks of its backend servers, empty
        if they have none.
    :ivar max_connections: maximum connections per backend server, 0 if
        unknown.
    :ivar cold_rate_per_s: requests per second that a backend server can serve
        after a cold start, 0 if unknown.
    """

    routes: tuple[Route, ...] = ()
    health_path: str = ''
    max_connections: Annotated[int, Meta(ge=0)] = 0
    cold_rate_per_s: Annotated[float, Meta(ge=0)] = 0.0


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """The share of a route's requests that goes to one service."""

    service: Name
    weight: Annotated[float, Meta(ge=0)] = 1.0


class HostRoute(Resource, frozen=True, kw_only=True):
    """
    A path prefix of a host name, split over one or more services.

    :ivar host: host name in lower case, without a port.
    :ivar prefix: unique within the host; the longest match wins.
    :ivar profile: name of the profile that applies.
    :ivar parts: services that the requests are spread over.
    :ivar keyless: whether requests come without a key.
    """

    host: str
    prefix: str
    profile: Name
    parts: tuple[WeightedService, ...]
    keyless: bool = False


class Configuration(Resource, frozen=True, kw_only=True):
    """
    The whole configuration that was applied last.

    :ivar version: version number assigned by the author.
    :ivar digest: SHA-256 of the document, hexadecimal.
    :ivar keyed: whether it defines organisations, so that requests need keys.
    :ivar idle_timeout_ms: time that a caller connection may stay idle.
    """

    version: int = 0
    digest: str = ''
    keyed: bool = False
    idle_timeout_ms: int = 0


class Key(msgspec.Struct, frozen=True, kw_only=True):
    """
    An organisation's key, held as a digest only.

    :ivar key_id: public identifier, used to list and withdraw the key.
    :ivar digest: SHA-256 of the key, hexadecimal.
    """

    key_id: Name
    digest: Annotated[str, Meta(pattern=r'^[0-9a-f]{64}$')]


class Organisation(Resource, frozen=True, kw_only=True):
    """
    A caller organisation with its rate, burst, weight and keys.

    :ivar rate_per_s: requests a second over all hosts together.
    :ivar burst_requests: bucket size over all hosts together.
    :ivar weight: share of slots under overload.
    :ivar importance: overrides the profile's importance, None to keep that.
    :ivar unlimited: whether rate and burst are not enforced.
    """

    rate_per_s: Annotated[float, Meta(gt=0, le=10_000_000)]
    burst_requests: Annotated[int, Meta(ge=1, le=100_000_000)]
    weight: Annotated[int, Meta(ge=1, le=1_000)] = 1
    importance: Annotated[int, Meta(ge=0, le=3)] | None = None
    unlimited: bool = False
    keys: tuple[Key, ...] = ()


class DataCentre(Resource, frozen=True, kw_only=True):
    """A data centre; while ``out`` is set, it gets no new work."""

    region: str = ''
    out: bool = False


class Backend(Resource, frozen=True, kw_only=True):
    """
    The registration of a node and of its backend server.

    The resource name is the node's name.  A node without a backend
    server registers with an empty service.

    :ivar instance: random id of one run of the node, empty once its lease
        has expired.
    :ivar peer_address: address of the node's peer listener.
    :ivar state: ``in``, or ``draining`` while it accepts no new work.
    :ivar held_out: whether an operator has drained it.
    :ivar cold_start: whether it announced itself as cold when it last joined.
    :ivar slots: announced concurrency limit, 0 if unknown.
    :ivar start: id of the present start of the backend server, empty if it
        names none.
    :ivar departure: ``kept`` or ``ending`` while the backend server leaves and
        is in use since no other one can take its place; once it is
        ``ending``, for chains that have begun.
    """

    instance: str
    data_centre: Name
    peer_address: Address
    service: str = ''
    state: str = 'in'
    held_out: bool = False
    cold_start: bool = True
    slots: int = 0
    start: str = ''
    departure: str = ''


class BudgetShard(Resource, frozen=True, kw_only=True):
    """
    The node that owns the budgets of one shard of the organisations.

    The resource's revision is the fencing epoch of its ownership.

    :ivar owner: name of the owning node, empty while none is assigned.
    :ivar previous_owner: name of the node that owned it before.
    """

    owner: str = ''
    previous_owner: str = ''
    owner_instance: str = ''
    peer_address: str = ''


class ControlHost(Resource, frozen=True, kw_only=True):
    """
    A control host known to the fleet.

    :ivar peer_address: listener for nodes and other control hosts.
    :ivar admin_address: listener of the administration API.
    :ivar data_centre: data centre that it stands in, empty if unknown.
    """

    peer_address: Address
    admin_address: str = ''
    data_centre: str = ''


class ControlGroup(Resource, frozen=True, kw_only=True):
    """
    How many control hosts vote.

    :ivar founders: names of the control hosts that the fleet was founded
        with.
    :ivar voters: number that operators have set, 0 for that of the founders.
    """

    founders: tuple[Name, ...] = ()
    voters: Annotated[int, Meta(ge=0, le=9)] = 0


KINDS = {
    'profile': Profile,
    'service': Service,
    'organisation': Organisation,
    'data_centre': DataCentre,
    'backend': Backend,
    'budget_shard': BudgetShard,
    'control_host': ControlHost,
    'control_group': ControlGroup,
    'host_route': HostRoute,
    'configuration': Configuration,
}


class Change(msgspec.Struct, frozen=True):
    """
    One written or removed resource.

    :ivar kind: a key of :data:`KINDS`.
    :ivar value: the encoded resource, or None if it was removed.
    """

    kind: str
    name: str
    value: bytes | None = None

    @classmethod
    def put(cls, kind, resource):
        """Return the change that writes a resource."""
        return cls(kind, resource.name, _encode(resource))

    def resource(self):
        """Return the decoded resource, None if it was removed."""
        if self.value is None:
            return None
        return msgspec.msgpack.decode(self.value, type=KINDS[self.kind])


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(list[Change])


def encode_changes(changes):
    """Encode a list of changes to bytes."""
    return _encode(changes)


def decode_changes(data):
    """Decode bytes to a list of changes."""
    return _decoder.decode(data)
