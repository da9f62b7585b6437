"""
damasklanding.composition
~~~~~~~~~~~~~~~~~~~~~~~~~

The composition root: builds the parts of a daemon from its settings, joins
them, and starts and stops them in order.
"""

import random
from uuid import uuid4

import gevent
from loguru import logger
import msgspec

from damasklanding.clock import monotonic_ms
from damasklanding.decisions import DecisionLog
from damasklanding.intake import Intake
from damasklanding.intake import IntakeLimits
from damasklanding.interfaces import END_SHARE
from damasklanding.interfaces import INTERFACES
from damasklanding.link import Identity
from damasklanding.link import LinkOptions
from damasklanding.link import parse_address
from damasklanding.linkpool import LinkPool
from damasklanding.linkserver import LinkServer
from damasklanding.logs import CappedLog
from damasklanding.metrics import Metrics
from damasklanding.seeds import seed_hosts_reader
from damasklanding.viewlog import ViewLog

__all__ = ['Daemon']

BEAT_MS = 300
CLOSE_TIMEOUT_MS = 100  # for requests that need no other process
CLIENT_LINE_INTERVAL_MS = 10_000
#: Part of ``max_connections`` that may be in the handshake of a link.
HANDSHAKE_SHARE = 0.2
LEADERLESS_MS = 3_000


class DaemonStatus(msgspec.Struct, frozen=True, kw_only=True):
    """
    A daemon's account of itself.

    :ivar age_ms: age of the proof of freshness, None without one.
    :ivar empty_services: services that have lost their last usable backend
        server, each with why its servers can't be used.
    """

    name: str
    data_centre: str
    term: int
    revision: int
    age_ms: int | None
    empty_services: dict[str, str]
    roles: list


class NodeRoleStatus(msgspec.Struct, frozen=True):
    """
    A node's account of itself.

    :ivar path: :class:`damasklanding.node.assembly.NodeStatus`.
    :ivar load: :class:`damasklanding.policy.types.LoadReport`.
    :ivar kept_server: :class:`damasklanding.node.presence.KeptServer` while
        the backend server leaves and is in use, else None.
    """

    path: object
    load: object
    kept_server: object = None


def _no_line(_line):
    return None


def _no_server():
    return None


def _throttle_log():
    """Return a function that logs when the throttle begins and ends."""
    log = CappedLog(monotonic_ms)

    def on_change(service, profile, importance, is_shed, answered, asked):
        text = 'most are refused' if is_shed else 'none is refused any more'
        log.write(
            'throttle',
            f'requests to {service} of profile {profile} and importance '
            f'{importance}: {text}, {answered:.0f} of {asked:.0f} were '
            f'answered lately',
        )

    return on_change


def _level_log():
    """Return a function that logs when an admission level is in force."""
    log = CappedLog(monotonic_ms)

    def on_change(service, level, calls_per_s):
        text = (
            f'has room for requests of level {level} and above, for '
            f'{calls_per_s:.0f} calls a second'
            if level
            else 'has room for all requests again'
        )
        log.write('admission level', f'the backend server of {service} {text}')

    return on_change


def _client_log(metrics):
    """Return a function that counts and logs clients that were cut."""
    next_line_ms = 0.0

    def note(action, bound):
        nonlocal next_line_ms
        metrics.add('clients_cut_total', action, bound)
        now_ms = monotonic_ms()
        if now_ms >= next_line_ms:
            next_line_ms = now_ms + CLIENT_LINE_INTERVAL_MS
            logger.warning(
                'connections of clients are {}: the bound of {} is reached',
                action,
                bound,
            )

    return note


class Daemon:
    """
    One daemon process with the roles of its settings.

    :param write_line: function of a log line that never blocks.

    :ivar control: parts of the control role, or None.
    :ivar node: parts of the node role, or None.
    """

    def __init__(self, settings, write_line=_no_line):
        self.settings = settings
        self.write_line = write_line
        self.metrics = Metrics()
        self.intake = Intake(
            IntakeLimits(
                max_connections=settings.max_connections,
                max_held_bytes=settings.max_held_bytes,
                max_document_elements=settings.max_document_elements,
                header_timeout_ms=settings.header_timeout_ms,
                idle_timeout_ms=settings.idle_timeout_ms,
            ),
            _client_log(self.metrics),
        )
        self.control = None
        self.node = None
        role = 'control' if 'control' in settings.roles else 'node'
        self.identity = Identity(settings.name, role, uuid4().hex)
        self.handlers = {}
        options = LinkOptions(
            load_report=self._load_bytes,
            on_error=self._link_broken,
            on_load_report=self._load_came,
        )
        self.pool = LinkPool(
            self.identity, settings.secret, self.handlers, options
        )
        self.server = LinkServer(
            settings.peer_address,
            self.identity,
            settings.secret,
            self.handlers,
            options,
            self.intake.clients(HANDSHAKE_SHARE),
        )
        if 'control' in settings.roles:
            self.control = _ControlRole(self)
        if 'node' in settings.roles:
            self.node = _NodeRole(self)
        self.view_log = ViewLog(self.view, self.metrics)
        self.operations = _operations_server(self)

    @property
    def view(self):
        """Return the view of the configuration in this process."""
        return self.control.host.view if self.control else self.node.view

    def start(self):
        """Start all parts; the listeners for work come last."""
        self.server.start()
        self.intake.start()
        if self.operations is not None:
            self.operations.start()
        if self.control is not None:
            self.control.start()
        if self.node is not None:
            self.node.start()

    def stop(self):
        """Stop as planned: no running request is cut."""
        ends_at_ms = monotonic_ms() + END_SHARE * self.settings.stop_grace_ms
        if self.node is not None:
            self.node.stop(self.settings.drain_timeout_ms)
        if self.control is not None:
            self.control.stop(max(0, ends_at_ms - monotonic_ms()))
        if self.operations is not None:
            self.operations.stop(CLOSE_TIMEOUT_MS / 1000)
        self.intake.stop()
        self.server.stop()
        self.pool.close()

    def roles(self):
        """Return the roles of this process."""
        return [role for role in (self.control, self.node) if role is not None]

    def status(self):
        """Return a :class:`DaemonStatus`."""
        view = self.view
        age_ms = view.age_ms()
        return DaemonStatus(
            name=self.settings.name,
            data_centre=self.settings.data_centre,
            term=view.state.term,
            revision=view.state.revision,
            age_ms=None if age_ms == float('inf') else int(age_ms),
            empty_services=self.view_log.empty_services(),
            roles=[role.status() for role in self.roles()],
        )

    def problem(self):
        """Return what keeps this process from serving, empty if nothing."""
        return '; '.join(filter(None, (r.problem() for r in self.roles())))

    def _load_bytes(self):
        return self.node.load_bytes() if self.node else b''

    def _load_came(self, link):
        if self.node is not None:
            self.node.observe(link.peer.name, link.peer_load)

    def _link_broken(self, _link, error):
        code = getattr(error, 'code', type(error).__name__)
        self.metrics.add('link_events_total', code)


class _ControlRole:
    """A control host: the replicated logs, leases, watch and admin API."""

    def __init__(self, daemon):
        from damasklanding.control.host import ControlHost
        from damasklanding.control.watch import WatchServer
        from damasklanding.telemetry import FleetTelemetry

        settings = daemon.settings
        self.host = ControlHost(
            settings, daemon.identity, daemon.pool, daemon.metrics
        )
        interface = INTERFACES[settings.interface]
        self.services = interface.control_services(
            settings, self.host, daemon.intake
        )
        self.telemetry = FleetTelemetry()
        self.watch = WatchServer(self.host.view, self.beat)
        self.host.watchers = self.watch.watchers
        daemon.handlers.update(self.host.handlers())
        daemon.handlers.update(self.watch.handlers())
        if settings.admin_address:
            self.services.append(
                _admin_server(
                    settings,
                    self.host,
                    daemon.metrics,
                    self.telemetry,
                    daemon.intake,
                )
            )

    def start(self):
        """Join the other control hosts and serve the API."""
        self.host.start()
        for service in self.services:
            service.start()

    def stop(self, timeout_ms):
        """Let running requests end, hand leadership over and stop."""
        stops = [gevent.spawn(service.stop) for service in self.services]
        gevent.joinall(stops, timeout=timeout_ms / 1000)
        gevent.killall(stops)
        self.host.stop()

    def problem(self):
        """Return what keeps the control host from serving."""
        if self.host.view.age_ms() > LEADERLESS_MS:
            return 'no leader with a quorum is known'
        return ''

    def status(self):
        """Return the control host's status."""
        return self.host.status()

    def beat(self, name, instance, status):
        """Take a node's heartbeat."""
        self.host.leases.record_heartbeat(name, instance)
        self.telemetry.receive(name, instance, status)


class _NodeRole:
    """A node: the data path and what keeps it in the fleet."""

    def __init__(self, daemon):
        from damasklanding.budget.owner import BudgetOwner
        from damasklanding.budget.rate_limiter import RateLimiter
        from damasklanding.claims.client import ClaimClient
        from damasklanding.control.client import ControlClient
        from damasklanding.control.watch import WatchServer
        from damasklanding.fleet.resources import Backend
        from damasklanding.node.assembly import Node
        from damasklanding.node.registration import Registration
        from damasklanding.node.view import FleetView
        from damasklanding.node.watch import WatchClient
        from damasklanding.policy.gate import build_admission_gate
        from damasklanding.policy.retry import RetryBudget
        from damasklanding.policy.retryshare import RetryBound
        from damasklanding.policy.retryshare import RetryShares
        from damasklanding.policy.routing import Router
        from damasklanding.policy.throttle import AdaptiveThrottle
        from damasklanding.policy.types import decode_load
        from damasklanding.telemetry import NodeTelemetry

        settings = daemon.settings
        identity = daemon.identity
        control = daemon.control
        self.view = control.host.view if control else FleetView()
        self.settings = settings
        self.intake = daemon.intake
        self._owners = 0
        self._counted_at = None
        self.interface = INTERFACES[settings.interface]
        self.gate = build_admission_gate(
            '',
            build_limiter=self.interface.limiter(self._cold_rate_per_s),
            on_level_change=_level_log(),
        )
        self.telemetry = NodeTelemetry(self.gate.load, daemon.metrics)
        self._fresh_limit_ms = settings.fresh_limit_ms
        self._decode_load = decode_load
        seeds = seed_hosts_reader(settings)
        client = ControlClient(daemon.pool, seeds, view=self.view)
        self.registration = Registration(
            Backend(
                name=settings.name,
                instance=identity.instance,
                data_centre=settings.data_centre,
                peer_address=settings.advertise_address
                or settings.peer_address,
            ),
            self.view,
            lambda payload, timeout_ms: client.propose(
                'config', payload, timeout_ms
            ),
            monotonic_ms,
        )
        self.watch = WatchClient(
            self.view,
            daemon.pool,
            identity,
            seeds,
            random.Random(identity.instance),
            self.telemetry.take,
            data_centre=settings.data_centre,
        )
        reach = self._reach(daemon.pool, identity)
        self.owner = BudgetOwner(
            self.view,
            identity.name,
            identity.instance,
            monotonic_ms,
            daemon.metrics,
            daemon.pool,
            reach=reach,
        )
        self.rate_limiter = RateLimiter(
            self.view,
            daemon.pool,
            self.owner,
            monotonic_ms,
            daemon.metrics,
            identity.name,
            reach=reach,
            **self.interface.rate_options(self._owner_count),
        )
        self.router = Router(
            identity.name,
            settings.data_centre,
            monotonic_ms,
            random.Random(identity.instance),
            self._cold_rate_of,
            self._owner_count,
        )
        self.node = Node(
            settings,
            self.view,
            daemon.pool,
            self.gate,
            self.router,
            RetryBudget(
                ratio=settings.retry_ratio, reserve=settings.retry_reserve
            ),
            self.rate_limiter,
            ClaimClient(client, monotonic_ms, daemon.metrics),
            daemon.metrics,
            AdaptiveThrottle(
                monotonic_ms,
                random.Random(identity.instance).random,
                self.interface.throttle_settings(),
                _throttle_log(),
            ),
            on_announce=self.registration.announce,
            ensure_service=self.watch.ensure_service,
            dialects=self.interface.dialects(),
            decisions=DecisionLog(
                daemon.write_line, settings.name, monotonic_ms
            ),
            intake=daemon.intake,
            retry_shares=RetryShares(
                RetryBound(
                    settings.retry_fleet_ratio,
                    settings.retry_fleet_slack,
                    settings.retry_window_ms,
                ),
                self._owner_count,
                monotonic_ms,
            ),
        )
        self.leaving = False
        self.kept_server = _no_server
        daemon.metrics.collect_with(self._set_kept_servers)
        self._metrics = daemon.metrics
        self.services = self.interface.node_services(self)
        daemon.handlers.update(self.owner.handlers())
        daemon.handlers.update(self.node.handlers())
        if control is None:
            relay = WatchServer(self.view)
            daemon.handlers.update(relay.handlers())
        else:
            self.watch = _LocalWatch(
                control, identity.name, identity.instance, self.telemetry.take
            )

    def start(self):
        """Follow the configuration, register and serve."""
        self.watch.start()
        self.registration.start()
        self.rate_limiter.start()
        self.node.start()
        for service in self.services:
            service.start()

    def stop(self, drain_timeout_ms):
        """Leave the fleet, let running requests end, then stop."""
        is_needed = not self.gate.draining and self.is_last_server()
        self.leaving = True
        # The last backend server of a service stays in use until the callers
        # of this node have left.
        if not is_needed:
            self.registration.leave()
        drain_ms, handover_ms = self.interface.leave(self, drain_timeout_ms)
        self.registration.leave()
        started_ms = monotonic_ms()
        handover = gevent.spawn(self.owner.drain, handover_ms)
        self.node.drain(drain_ms)
        handover.join(_left_s(started_ms + handover_ms))
        # Without a quorum neither ends in time; the lease ends both.
        if handover.value:
            left_s = _left_s(started_ms + max(drain_ms, handover_ms))
            with gevent.Timeout(min(handover_ms / 1000, left_s), False):
                self.registration.withdraw()
        self.registration.stop()
        self.rate_limiter.stop()
        self.watch.stop()
        for service in self.services:
            service.stop(CLOSE_TIMEOUT_MS / 1000)
        self.node.stop()

    def not_ready(self):
        """Return why callers should go to other nodes, empty if nothing."""
        if self.leaving:
            return 'this node stops'
        if self.view.configuration() is None:
            return 'this node has no configuration yet'
        return ''

    def may_have_service(self, name):
        """Return whether the configuration has a service, as far as known."""
        if self.view.configuration() is None:
            return True
        return self.view.state.get('service', name) is not None

    def services_emptied_without_own(self):
        """
        Return the services that only the local backend server keeps usable.

        :return: empty while the servers of its service are not known.
        """
        from damasklanding.fleet.availability import services_emptied

        if not self.watch.knows_service(self.node.service):
            return []
        own = self.settings.name
        return services_emptied(
            self.view.state, lambda backend: backend.name == own
        )

    def is_last_server(self):
        """
        Return whether no other backend server can replace the local one.

        :return: False while it is not in use itself, and while this node does
            not know.
        """
        own = self.view.state.get('backend', self.settings.name)
        return (
            own is not None
            and not self.leaving
            and not own.held_out
            and not self.view.data_centre_out(own.data_centre)
            and self.view.age_ms() <= self.settings.leave_confirm_ms
            and self.watch.knows_service(self.node.service)
            and self.may_have_service(self.node.service)
            and not self.node.has_other_backend()
        )

    def _reach(self, pool, identity):
        from damasklanding.budget.reach import Reach

        if not self.interface.issues_without_proof:
            return None
        return Reach(
            self.view,
            identity.name,
            monotonic_ms,
            pool,
            random.Random(identity.instance),
        )

    def _owner_count(self):
        """Return the number of nodes; each owns some of the shards."""
        position = self.view.state.position()
        if self._counted_at != position:
            shards = self.view.state.all('budget_shard').values()
            self._owners = len({shard.owner for shard in shards} - {''})
            self._counted_at = position
        return self._owners

    def _cold_rate_per_s(self):
        return self._cold_rate_of(self.gate.service)

    def _cold_rate_of(self, name):
        service = self.view.state.get('service', name)
        return service.cold_rate_per_s if service is not None else 0.0

    def problem(self):
        """Return what keeps the node from serving, empty if nothing."""
        if self.view.age_ms() > self._fresh_limit_ms:
            return 'the configuration is not proved fresh'
        return ''

    def observe(self, name, load):
        """Take the encoded load report of another node."""
        if load:
            self.router.update_load(name, self._decode_load(load))

    def load_bytes(self):
        """Return this node's encoded load report."""
        return self.node.load_report_cache.encoded()

    def status(self):
        """Return the status of the data path and of its admission."""
        return NodeRoleStatus(
            self.node.status(), self.gate.load(), self.kept_server()
        )

    def _set_kept_servers(self):
        is_kept = self.kept_server() is not None
        self._metrics.set('last_servers_kept', int(is_kept))


def _left_s(until_ms):
    return max(0, until_ms - monotonic_ms()) / 1000


class _LocalWatch:
    """Stands for the watch of a node that shares a control host's view."""

    def __init__(self, control, name, instance, take_status):
        self._control = control
        self._name = name
        self._instance = instance
        self._take_status = take_status
        self._greenlet = None

    def start(self):
        """Start to renew the node's lease."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop renewing."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def ensure_service(self, _service):
        """Do nothing: the view holds all backend servers."""

    def knows_service(self, _service):
        """Return True: the view holds all backend servers."""
        return True

    def _run(self):
        while True:
            self._control.beat(self._name, self._instance, self._take_status())
            gevent.sleep(BEAT_MS / 1000)


def _admin_server(settings, host, metrics, telemetry, intake):
    from damasklanding.control.admin import admin_app
    from damasklanding.operators import OperatorTokens
    from damasklanding.wsgi import wsgi_server

    tokens = OperatorTokens(settings.operator_tokens_file)
    app = admin_app(host, tokens, metrics, telemetry)
    return wsgi_server(parse_address(settings.admin_address), app, intake)


def _operations_server(daemon):
    from damasklanding.operations import operations_app
    from damasklanding.wsgi import wsgi_server

    address = daemon.settings.operations_address
    if not address:
        return None
    app = operations_app(daemon.metrics, daemon.problem, daemon.status)
    return wsgi_server(parse_address(address), app, daemon.intake)
