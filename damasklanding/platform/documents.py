"""
damasklanding.platform.documents
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes the platform's document of a whole configuration into the command
that applies it.
"""

import hashlib
import re
from typing import Annotated
import zlib

import msgspec

from damasklanding.errors import BadInput
from damasklanding.fleet.commands import ApplyConfiguration
from damasklanding.fleet.configurations import CONFIGURATION_NAME
from damasklanding.fleet.resources import Configuration
from damasklanding.fleet.resources import HostRoute
from damasklanding.fleet.resources import Key
from damasklanding.fleet.resources import Organisation
from damasklanding.fleet.resources import Service
from damasklanding.fleet.resources import WeightedService
from damasklanding.fleet.routeprofiles import importance_of_rank
from damasklanding.fleet.routeprofiles import route_profile
from damasklanding.options import parse_duration_ms

__all__ = ['decode_configuration']

MAX_TIMEOUT_MS = 600_000  # limit of the platform
#: A target latency must be below the timeout plus this limit of the platform.
MAX_TARGET_OVER_TIMEOUT_MS = 60_000
DEFAULT_IDLE_TIMEOUT_MS = 15_000
#: Valid rate for unlimited organisations, for which it is not enforced.
UNLIMITED_RATE_PER_S = 1.0

MAX_NUMBER = 1_000_000_000
_Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
_Real = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

_match_version = re.compile(r'[0-9a-f]{8}').fullmatch


class WeightedServiceDocument(msgspec.Struct):
    """An entry of ``weightedServices``."""

    service: str
    weight: _Real


class MatchDocument(msgspec.Struct, rename='camel'):
    """Requests that a rule applies to."""

    path_prefix: str


class ActionDocument(msgspec.Struct, rename='camel'):
    """Where a rule sends requests."""

    timeout: str
    max_attempts: _Integer = 1
    service: str = ''
    weighted_services: list[WeightedServiceDocument] = []


class RuleDocument(msgspec.Struct, rename='camel'):
    """
    One route.

    :ivar priority: rank, where 0 is the highest.
    :ivar public: whether requests come without a key.
    """

    match: MatchDocument
    action: ActionDocument
    route_type: str
    target_latency: str = '1000ms'
    priority: _Integer = 0
    public: bool = False


class ListenerDocument(msgspec.Struct):
    """The routes of one host name."""

    host: str
    rules: list[RuleDocument]


class ClusterDocument(msgspec.Struct, rename='camel'):
    """A service."""

    name: str
    health_path: str = ''
    max_connections: _Integer = 0
    warmup_per_s: _Real = 0.0


class TenantDocument(msgspec.Struct, rename='camel'):
    """An organisation; it is unlimited if both rate and burst are 0."""

    name: str
    api_keys: list[str] = []
    priority: _Integer | None = None
    rate_per_s: _Real = 0.0
    burst: _Real = 0.0


class LimitsDocument(msgspec.Struct, rename='camel'):
    """Limits on caller connections."""

    idle_timeout: str = f'{DEFAULT_IDLE_TIMEOUT_MS}ms'


class ConfigurationDocument(msgspec.Struct, rename='camel'):
    """The whole document."""

    version: str
    base_version: str
    listeners: list[ListenerDocument]
    clusters: list[ClusterDocument]
    tenants: list[TenantDocument] | None = None
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)


_decoder = msgspec.json.Decoder(ConfigurationDocument, strict=True)


def decode_configuration(data):
    """
    Return the :class:`ApplyConfiguration` command of a document.

    :raises BadInput: if the document is malformed or invalid.
    """
    try:
        document = _decoder.decode(data)
        return _build_command(document, data)
    except (msgspec.MsgspecError, OverflowError, RecursionError) as error:
        raise BadInput(f'the document is malformed ({error})') from error


def _build_command(document, data):
    services = {cluster.name for cluster in document.clusters}
    organisations = [_organisation(t) for t in document.tenants or ()]
    _check_keys(document.tenants or ())
    profiles = {}
    routes = {}
    for listener in document.listeners:
        for rule in listener.rules:
            profile = _profile(rule)
            profiles[profile.name] = profile
            route = _route(listener.host.lower(), rule, profile, services)
            if route.name in routes:
                raise BadInput(
                    f'two routes share {route.host} {route.prefix}',
                    'leave one of them out',
                )
            routes[route.name] = route
    configuration = Configuration(
        name=CONFIGURATION_NAME,
        version=_parse_version('version', document.version),
        digest=hashlib.sha256(data).hexdigest(),
        keyed=document.tenants is not None,
        idle_timeout_ms=_parse_ms('idleTimeout', document.limits.idle_timeout),
    )
    return ApplyConfiguration(
        base_version=_parse_version('baseVersion', document.base_version),
        configuration=configuration,
        profiles=list(profiles.values()),
        services=[_service(cluster) for cluster in document.clusters],
        organisations=organisations,
        host_routes=list(routes.values()),
        document=zlib.compress(data, 1),
    )


def _parse_version(field, text):
    if not _match_version(text):
        raise BadInput(f'{field} is {text!r}', 'give eight hex digits')
    return int(text, 16)


def _parse_ms(field, text):
    try:
        return round(parse_duration_ms(text))
    except ValueError as error:
        raise BadInput(f'{field} is {text!r}, {error}') from error


def _profile(rule):
    action = rule.action
    timeout_ms = _parse_ms('timeout', action.timeout)
    target_latency_ms = _parse_ms('targetLatency', rule.target_latency)
    if not 0 < timeout_ms <= MAX_TIMEOUT_MS:
        raise BadInput(
            f'a timeout is {action.timeout}',
            f'give more than 0 and at most {MAX_TIMEOUT_MS} ms',
        )
    if target_latency_ms >= timeout_ms + MAX_TARGET_OVER_TIMEOUT_MS:
        raise BadInput(
            f'a targetLatency is {rule.target_latency}, far above its '
            f'timeout of {action.timeout}',
            'lower it',
        )
    if rule.route_type not in ('idempotent', 'non_idempotent'):
        raise BadInput(
            f'routeType is {rule.route_type!r}',
            'give idempotent or non_idempotent',
        )
    return route_profile(
        importance=importance_of_rank(rule.priority),
        idempotent=rule.route_type == 'idempotent',
        timeout_ms=timeout_ms,
        target_latency_ms=target_latency_ms,
        attempts=action.max_attempts,
        keyless=rule.public,
    )


def _route(host, rule, profile, services):
    prefix = rule.match.path_prefix
    parts = [
        WeightedService(p.service, p.weight)
        for p in rule.action.weighted_services
    ]
    if rule.action.service:
        parts.append(WeightedService(rule.action.service))
    if not parts:
        raise BadInput(f'route {host} {prefix} names no service')
    for part in parts:
        if part.service not in services:
            raise BadInput(
                f'route {host} {prefix} names the unknown service '
                f'{part.service}',
                'define the service or name another',
            )
        if not part.weight >= 0:
            raise BadInput(
                f'route {host} {prefix} has a weight of {part.weight}',
                'give 0 or more',
            )
    name = hashlib.sha256(f'{host} {prefix}'.encode()).hexdigest()[:32]
    return HostRoute(
        name=name,
        host=host,
        prefix=prefix,
        profile=profile.name,
        parts=tuple(parts),
        keyless=rule.public,
    )


def _service(cluster):
    return Service(
        name=cluster.name,
        health_path=cluster.health_path,
        max_connections=max(0, cluster.max_connections),
        cold_rate_per_s=max(0.0, cluster.warmup_per_s),
    )


def _organisation(tenant):
    limited = tenant.rate_per_s > 0 or tenant.burst > 0
    importance = None
    if tenant.priority is not None:
        importance = importance_of_rank(tenant.priority)
    return Organisation(
        name=tenant.name,
        rate_per_s=tenant.rate_per_s or UNLIMITED_RATE_PER_S,
        burst_requests=max(1, int(tenant.burst)),
        importance=importance,
        unlimited=not limited,
        keys=tuple(_key(key) for key in tenant.api_keys),
    )


def _key(text):
    digest = hashlib.sha256(text.encode()).hexdigest()
    return Key(key_id=digest[:16], digest=digest)


def _check_keys(tenants):
    owners = {}
    names = set()
    for tenant in tenants:
        if tenant.name in names:
            raise BadInput(f'organisation {tenant.name} is defined twice')
        names.add(tenant.name)
        for key in tenant.api_keys:
            if owners.setdefault(key, tenant.name) != tenant.name:
                raise BadInput(
                    f'{tenant.name} and {owners[key]} share a key',
                    'give each a key of its own',
                )
