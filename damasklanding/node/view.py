"""
damasklanding.node.view
~~~~~~~~~~~~~~~~~~~~~~~

The configuration as a node sees it: the state, the proof of its freshness
and indexes for routes, keys and backend servers.
"""

import hashlib
import hmac

from loguru import logger

from damasklanding.clock import monotonic_ms
from damasklanding.errors import KeyRefused
from damasklanding.errors import NotFound
from damasklanding.errors import StaleState
from damasklanding.fleet.availability import unusable_reason
from damasklanding.fleet.configurations import CONFIGURATION_NAME
from damasklanding.fleet.routeprofiles import MAX_IMPORTANCE
from damasklanding.fleet.state import FleetState

__all__ = ['FleetView', 'key_digest']


def key_digest(key):
    """Return the hexadecimal SHA-256 digest of a caller's key."""
    return hashlib.sha256(key.encode()).hexdigest()


class FleetView:
    """
    A node's replica of the configuration.

    :ivar state: :class:`FleetState`; changed only through this class.
    :ivar now_ms: clock.
    :ivar highest_importance: of all organisations.
    """

    def __init__(self, now_ms=monotonic_ms):
        self.state = FleetState()
        self.now_ms = now_ms
        self._confirmed_at_ms = None
        self._listeners = []
        self._routes = []
        self._host_routes = {}
        self._keys = {}
        self._backends = {}
        self.highest_importance = MAX_IMPORTANCE

    def subscribe(self, listener):
        """Call a function with the list of changes after each update."""
        self._listeners.append(listener)

    def apply(self, term, revision, changes):
        """Apply the changes of a later revision; see FleetState."""
        if not self.state.apply_changes(term, revision, changes):
            return False
        self._changed(changes)
        return True

    def replace(self, term, revision, changes):
        """Take a whole snapshot unless it is older."""
        changes = self.state.replace(term, revision, changes)
        self._changed(changes)

    def merge(self, changes):
        """Add resources that an extended watch has brought."""
        self.state.merge(changes)
        self._changed(changes)

    def confirm(self, confirmed_at_ms):
        """Note that the state held was current at a time on ``now_ms``."""
        if (
            self._confirmed_at_ms is None
            or confirmed_at_ms > self._confirmed_at_ms
        ):
            self._confirmed_at_ms = confirmed_at_ms

    def age_ms(self):
        """Return the age of the freshness proof, infinite without one."""
        if self._confirmed_at_ms is None:
            return float('inf')
        return self.now_ms() - self._confirmed_at_ms

    def require_fresh(self, limit_ms):
        """
        Check that the state was current within a limit.

        :raises StaleState: where that can't be proved.
        """
        if self.age_ms() > limit_ms:
            raise StaleState(
                f'the configuration has not been confirmed for {limit_ms} ms',
                retry_after_ms=1_000,
            )

    def route(self, method, path, internal_allowed):
        """
        Find the route of a request.

        :return: triple of service name, route and profile.
        :raises NotFound: no route, or one that is not for this side.
        """
        path = path.partition('?')[0]
        for prefix, service, route in self._routes:
            if not _covers(prefix, path):
                continue
            if route.access != 'open' and not internal_allowed:
                break
            if route.methods and method not in route.methods:
                break
            profile = self.state.get('profile', route.profile)
            if profile is None:
                break
            return service, route, profile
        raise NotFound(f'no route for {method} {path}')

    def configuration(self):
        """Return the whole configuration in force, None without one."""
        return self.state.get('configuration', CONFIGURATION_NAME)

    def host_route(self, host, path):
        """
        Find the route of a request by its host name and path.

        :return: :class:`~damasklanding.fleet.resources.HostRoute`.
        :raises NotFound: no route.
        """
        for route in self._host_routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        raise NotFound(f'no route for {host} {path}')

    def organisation(self, key):
        """
        Return the organisation that a key was granted to.

        :raises KeyRefused: unknown or withdrawn.
        """
        return self.organisation_by_digest(key_digest(key))

    def organisation_by_digest(self, digest):
        """
        Return the organisation that a key with this digest was granted to.

        :raises KeyRefused: unknown or withdrawn.
        """
        name, known = self._keys.get(digest, ('', ''))
        if not hmac.compare_digest(known, digest):
            raise KeyRefused('the key is unknown or was withdrawn')
        return self.state.get('organisation', name)

    def has_key(self, digest):
        """Return whether a key with this digest is granted now."""
        return digest in self._keys

    def backends(self, service):
        """Return the list of registered backend servers of a service."""
        return self._backends.get(service, ())

    def data_centre_out(self, name):
        """Return whether operators have taken a data centre out."""
        data_centre = self.state.get('data_centre', name)
        return data_centre is not None and data_centre.out

    def unusable_backends(self, service):
        """Return why by name for a service's servers that get no work."""
        reasons = {
            backend.name: unusable_reason(self.state, backend)
            for backend in self.backends(service)
        }
        return {name: reason for name, reason in reasons.items() if reason}

    def empty_services(self):
        """Return the services with backend servers of which none is usable."""
        return {
            service: reasons
            for service, backends in sorted(self._backends.items())
            if len(reasons := self.unusable_backends(service)) == len(backends)
        }

    def _changed(self, changes):
        kinds = {change.kind for change in changes}
        if 'service' in kinds:
            self._index_routes()
        if 'host_route' in kinds:
            self._index_host_routes()
        if 'organisation' in kinds:
            self._index_keys()
        if 'backend' in kinds:
            self._index_backends()
        for listener in self._listeners:
            try:
                listener(changes)
            except Exception:  # noqa: BLE001
                # The state has changed, and the other listeners must know.
                logger.exception('a listener of the configuration failed')

    def _index_routes(self):
        routes = [
            (route.prefix, service.name, route)
            for service in self.state.all('service').values()
            for route in service.routes
        ]
        self._routes = sorted(
            routes, key=lambda item: len(item[0]), reverse=True
        )

    def _index_host_routes(self):
        routes = {}
        for route in self.state.all('host_route').values():
            routes.setdefault(route.host, []).append(route)
        for some in routes.values():
            some.sort(key=lambda route: len(route.prefix), reverse=True)
        self._host_routes = routes

    def _index_keys(self):
        self._keys = {
            key.digest: (organisation.name, key.digest)
            for organisation in self.state.all('organisation').values()
            for key in organisation.keys
        }
        self.highest_importance = max(
            (
                MAX_IMPORTANCE if o.importance is None else o.importance
                for o in self.state.all('organisation').values()
            ),
            default=MAX_IMPORTANCE,
        )

    def _index_backends(self):
        backends = {}
        for backend in self.state.all('backend').values():
            if backend.service:
                backends.setdefault(backend.service, []).append(backend)
        self._backends = backends


def _covers(prefix, path):
    if not path.startswith(prefix):
        return False
    return (
        prefix.endswith('/')
        or len(path) == len(prefix)
        or path[len(prefix)] == '/'
    )
