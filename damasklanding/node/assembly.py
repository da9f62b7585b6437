"""
damasklanding.node.assembly
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Wires the parts of a node's data path and gives them one life cycle.
"""

from dataclasses import replace
from functools import partial
import gc
from itertools import count
from random import Random

import gevent
from loguru import logger
import msgspec

from damasklanding.errors import DamasklandingError
from damasklanding.intake import Intake
from damasklanding.node.calls import CallTable
from damasklanding.node.calls import random_token
from damasklanding.node.crashes import CrashWatch
from damasklanding.node.dialect import DEFAULT_BACKEND_DIALECT
from damasklanding.node.dialect import read_no_notice
from damasklanding.node.egress import Egress
from damasklanding.node.entry import Entry
from damasklanding.node.forward import Forwarder
from damasklanding.node.gossip import CrashGossip
from damasklanding.node.http import Limits
from damasklanding.node.http import Listener
from damasklanding.node.ingress import Ingress
from damasklanding.node.load_report import LoadReportCache
from damasklanding.node.local_backend import LocalBackend
from damasklanding.node.peers import PeerCaller
from damasklanding.node.peerserver import PeerServer
from damasklanding.node.stopping import PlannedStop
from damasklanding.node.upstream import Upstream
from damasklanding.policy.chainadmission import ChainAdmission
from damasklanding.policy.coldturns import ColdTurns
from damasklanding.policy.dependencies import DependencyCheck
from damasklanding.policy.quarantine import Quarantine
from damasklanding.policy.retryshare import NO_RETRY_BOUND
from damasklanding.policy.retryshare import RetryShares
from damasklanding.policy.retryshare import ServiceBudget
from damasklanding.policy.routing import RETURNED_COLD_MS
from damasklanding.viewlog import explain

__all__ = ['Node', 'NodeStatus']

COLLECTOR_THRESHOLDS = (10_000, 50, 50)
DRAIN_POLL_MS = 20
#: A pool in use proves its connections many times a second.
SUSPECT_AFTER_MS = 1_000
IDLE_GRACE_MS = 500  # lets idle callers learn that the node leaves


class NodeStatus(msgspec.Struct):
    """Counts of a node's data path."""

    service: str
    draining: bool
    running: int
    caller_connections: int
    busy_callers: int
    busy_egress: int
    pooled_connections: int


def _tune_interpreter():
    """Keep long collections and greenlet records out of calls' path."""
    gevent.config.track_greenlet_tree = False
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def _nothing(*_args):
    return None


def _log_quarantine(fingerprint, crash_ids, duration_ms):
    logger.warning(
        'requests with fingerprint {} are quarantined for {} s after crashes '
        '{}',
        fingerprint.hex(),
        round(duration_ms / 1000),
        ' '.join(crash_ids),
    )


def _log_dependency(unusable_backends, service, profile, missing, refused):
    names = ', '.join(sorted(missing))
    if refused:
        reasons = {}
        for name in missing:
            reasons |= unusable_backends(name)
        logger.warning(
            'requests to {} of profile {} are refused: their chains need {}, '
            'which has no backend server that accepts calls ({})',
            service,
            profile,
            names,
            explain(reasons),
        )
        return
    logger.warning(
        'requests to {} of profile {} are admitted again: their chains need '
        '{}, which has a backend server that accepts calls',
        service,
        profile,
        names,
    )


class Node:
    """
    The data path of one node.

    :param settings: :class:`~damasklanding.settings.Settings`.
    :param view: :class:`~damasklanding.node.view.FleetView`.
    :param pool: :class:`~damasklanding.linkpool.LinkPool`.
    :param gate: :class:`~damasklanding.policy.gate.AdmissionGate`.
    :param router: :class:`~damasklanding.policy.routing.Router`.
    :param retry_budget: :class:`~damasklanding.policy.retry.RetryBudget`.
    :param retry_shares: :class:`~damasklanding.policy.retryshare.RetryShares`;
        None sets no bound for all nodes together.
    :param throttle: :class:`~damasklanding.policy.throttle.AdaptiveThrottle`.
    :param rate_limiter:
        :class:`~damasklanding.budget.rate_limiter.RateLimiter`.
    :param claims: :class:`~damasklanding.claims.client.ClaimClient`.
    :param metrics: :class:`~damasklanding.metrics.Metrics`.
    :param on_announce: called with each
        :class:`~damasklanding.node.registration.Announcement`.
    :param ensure_service: function of a service's name, called before its
        first use.
    :param decisions: :class:`~damasklanding.decisions.DecisionLog`; None
        logs none.
    :param intake: :class:`~damasklanding.intake.Intake` of the process; None
        for one of its own.
    :param dialects: pair of
        :class:`~damasklanding.node.dialect.CallerDialect` and
        :class:`~damasklanding.node.dialect.BackendDialect` where callers
        are routed by host name, None for the product's own interface.
    :ivar service: service of the backend server beside this node.
    :ivar load_report_cache:
        :class:`~damasklanding.node.load_report.LoadReportCache`.
    """

    def __init__(
        self,
        settings,
        view,
        pool,
        gate,
        router,
        retry_budget,
        rate_limiter,
        claims,
        metrics,
        throttle,
        on_announce=_nothing,
        ensure_service=_nothing,
        dialects=None,
        decisions=None,
        retry_shares=None,
        intake=None,
    ):
        self.service = ''
        self._out = False
        self._settings = settings
        self._intake = intake or Intake()
        self._gate = gate
        self._announced = None
        self._start = ''
        self._started_ms = float('-inf')
        self._leaving_start = ''
        self._planned_stop = PlannedStop(view.now_ms, metrics)
        self._on_announce = on_announce
        self._metrics = metrics
        self._now_ms = now_ms = view.now_ms
        # Without an egress listener nobody sees the tokens.
        self._table = CallTable(count().__next__ if dialects else random_token)
        caller_dialect, backend_dialect = dialects or (
            None,
            DEFAULT_BACKEND_DIALECT,
        )
        self._lose_backend = self._pause if dialects else _nothing
        quarantine = Quarantine(
            now_ms, _log_quarantine, Random(settings.name).random()
        )
        self._gossip = CrashGossip(
            settings.name,
            lambda: self.service or settings.backend_service,
            view,
            pool,
            quarantine,
            ensure_service,
        )
        self._crashes = CrashWatch(
            settings.name,
            settings.backend_address,
            self._own_service,
            self._table,
            quarantine,
            metrics,
            now_ms,
            self._gossip,
            self._on_crash,
        )
        self._upstream = Upstream(
            settings.backend_address,
            now_ms,
            backend_dialect,
            SUSPECT_AFTER_MS if dialects else 0,
            self._check_send,
            self._crashes.broke_off,
            self._note_notice,
            self._take_repeat,
        )
        self._local_backend = LocalBackend(
            settings,
            self._own_service,
            view,
            gate,
            self._upstream,
            self._table,
            metrics,
            now_ms,
            self._crashes,
            self._lose_backend,
            decisions,
            self._is_kept,
        )
        self._names_limits = backend_dialect.read_notice is not read_no_notice
        self._expect_first_answer()
        self.load_report_cache = load_report_cache = LoadReportCache(
            self._load_report, now_ms
        )
        peers = PeerCaller(pool, now_ms)
        self._retry_budget = retry_budget
        self._retry_shares = retry_shares or RetryShares(
            NO_RETRY_BOUND, int, now_ms
        )
        forwarder = Forwarder(
            settings.name,
            view,
            self._local_backend,
            load_report_cache.report,
            peers,
            router,
            retry_budget,
            metrics,
            self._retry_shares,
        )
        self._forwarder = forwarder
        dependencies = DependencyCheck(
            now_ms,
            forwarder.accepts_chains,
            partial(gevent.spawn, ensure_service),
            partial(_log_dependency, forwarder.unusable_backends),
            ColdTurns(
                now_ms,
                Random(settings.name).random,
                forwarder.cold_interval_ms,
            ),
            view.empty_services,
        )
        chain_admission = ChainAdmission(now_ms)
        self.egress = None
        if caller_dialect is not None:
            entry = Ingress(
                settings,
                view,
                caller_dialect,
                forwarder,
                rate_limiter,
                throttle,
                dependencies,
                chain_admission,
                self._table,
                ensure_service,
                metrics,
                Random(settings.name),
                self._planned_stop,
                decisions,
            )
            view.subscribe(self._follow_limits)
            view.subscribe(self._follow_data_centre)
        else:
            entry = Entry(
                settings,
                view,
                forwarder,
                rate_limiter,
                claims,
                throttle,
                dependencies,
                chain_admission,
                ensure_service,
                metrics,
                self._planned_stop,
            )
            egress = Egress(
                settings,
                view,
                self._table,
                forwarder,
                retry_budget,
                ensure_service,
                self.announce,
            )
            self.egress = self._listener(
                'egress', settings.egress_address, egress
            )
        self._view = view
        self._peer_server = PeerServer(
            self._local_backend,
            load_report_cache.encoded,
            now_ms,
            self._intake,
        )
        self.callers = self._listener('caller', settings.caller_address, entry)

    def start(self):
        """Start both listeners."""
        _tune_interpreter()
        for listener in self._listeners():
            listener.start()
        self._gossip.start()

    def handlers(self):
        """Return the link handlers of the data path by message class."""
        return self._peer_server.handlers() | self._gossip.handlers()

    def stop_keep_alive(self):
        """Tell callers to close their connections with the next answer."""
        self.callers.draining = True

    def limit_admission(self, timeout_ms):
        """Take only requests that will end within a time from now."""
        self._planned_stop.begin(self._now_ms() + timeout_ms)

    def drain(self, timeout_ms):
        """
        Let what runs finish and take only what will end in time.

        Calls that run at the backend server go on making onward calls.
        Caller connections are closed once they are idle, or told to close
        with their next answer.

        :return: whether all had finished in time.
        """
        from loguru import logger

        started_ms = self._now_ms()
        idle_until_ms = started_ms + min(IDLE_GRACE_MS, timeout_ms)
        self.limit_admission(timeout_ms)
        self.callers.draining = True
        self._local_backend.draining = True
        self._gate.drain()
        with gevent.Timeout(max(timeout_ms, 1) / 1000, False):
            while self._now_ms() < idle_until_ms or self._busy():
                self._close_unneeded(self._now_ms() >= idle_until_ms)
                gevent.sleep(DRAIN_POLL_MS / 1000)
        self.callers.end()
        if self._busy():
            # Requests that have come unread are refused.
            gevent.sleep(DRAIN_POLL_MS / 1000)
        logger.info(
            'planned stop: cut {} requests of callers and {} calls at the '
            'backend server',
            self.callers.busy_count(),
            len(self._table),
        )
        return not self._busy()

    def _close_unneeded(self, close_idle):
        """Close what the backend server's running calls do not need."""
        takes_onward = self.egress is None and len(self._table) > 0
        if not takes_onward and not self.callers.closed:
            self.callers.close()
        if close_idle:
            self.callers.close_idle(takes_onward)

    def stop(self):
        """Close the listeners and all connections."""
        for listener in self._listeners():
            listener.stop(timeout=0)
        self._gossip.stop()
        self._upstream.close()

    def status(self):
        """Return the :class:`NodeStatus`."""
        return NodeStatus(
            service=self.service,
            draining=self._local_backend.draining,
            running=len(self._table),
            caller_connections=len(self.callers.connections),
            busy_callers=self.callers.busy_count(),
            busy_egress=self.egress.busy_count() if self.egress else 0,
            pooled_connections=self._upstream.idle_count(),
        )

    def has_other_backend(self):
        """Return whether another backend server can replace the local one."""
        return self._forwarder.has_other_backend(self.service)

    def _busy(self):
        return len(self._table) or not all(
            listener.is_idle() for listener in self._listeners()
        )

    def _listeners(self):
        return [part for part in (self.egress, self.callers) if part]

    def _own_service(self):
        return self.service

    def _is_kept(self):
        return self._announced is not None and self._announced.departure != ''

    def announce(self, announcement):
        """Take an announcement of the backend server beside this node."""
        if announcement.start != self._start:
            self._switch_start(announcement.start)
        if self._leaving_start and announcement.start == self._leaving_start:
            announcement = replace(announcement, state='draining')
        if announcement != self._announced:
            self._announced = announcement
            self._crashes.announce(announcement)
            self.service = announcement.service
            self._gate.service = announcement.service
            self._upstream.switch_instance(announcement.instance)
            self._follow(announcement)
        self._on_announce(announcement)

    def _follow(self, announcement):
        if self._local_backend.draining:
            return
        if announcement.state == 'draining':
            self._gate.drain()
            return
        self._gate.resume()
        self._gate.announce(
            announcement.cold, announcement.slots, announcement.cold_for_ms
        )

    def _switch_start(self, start):
        """Forget what an earlier start of the backend server has said."""
        self._start = start
        self._started_ms = self._now_ms()
        self._leaving_start = ''
        self._gate.forget_failures()
        self._expect_first_answer()

    def _expect_first_answer(self):
        if self._names_limits:
            self._gate.expect_first_answer()

    def _check_send(self, call):
        """Check a call just before it is sent to the backend server."""
        self._crashes.check(call)
        is_resend = call.sent_ms is not None
        if is_resend:
            self._gate.note_resend()

    def _take_repeat(self, call):
        """
        Take a repeat of a call to the backend server from the budgets.

        :return: whether there was one, and the call may still be sent.
        """
        try:
            self._local_backend.check(call)
        except DamasklandingError:
            return False
        budget = ServiceBudget(
            self._retry_budget, self._retry_shares, call.service
        )
        return budget.try_spend(call.importance)

    def _note_notice(self, call, notice):
        """Take what the backend server says of itself in an answer."""
        if call.sent_ms < self._started_ms:
            return
        if notice.rate_per_s is not None:
            self._gate.note_rate(notice.rate_per_s, call.sent_ms)
        if notice.leaving and self._start != self._leaving_start:
            self._take_leave()

    def _take_leave(self):
        """
        Send nothing more to the present start of the backend server.

        What gets no requests gives no answers, so that nothing could tell
        that it stays after all: this holds until it starts again.
        """
        logger.info('the backend server {} says that it leaves', self._start)
        self._leaving_start = self._start
        self._gate.drain()
        self.load_report_cache.expire()
        if self._announced is not None:
            self._announced = replace(self._announced, state='draining')
            self._crashes.announce(self._announced)
            self._on_announce(self._announced)

    def _load_report(self):
        report = self._gate.load()
        report.leaving_start = self._leaving_start
        report.is_out = self._view.data_centre_out(self._settings.data_centre)
        return report

    def _on_crash(self):
        self._upstream.close()
        self._lose_backend()

    def _pause(self):
        """Take no new work for the backend server until it is announced."""
        # Otherwise an announcement equal to the last one would be ignored.
        self._announced = None
        self._gate.drain()

    def _follow_data_centre(self, changes):
        """
        Pace the backend server when its data centre takes work again.

        It may have fallen cold meanwhile, which its next announcement tells.
        """
        if not any(change.kind == 'data_centre' for change in changes):
            return
        was_out = self._out
        self._out = self._view.data_centre_out(self._settings.data_centre)
        if was_out and not self._out:
            # Otherwise an announcement equal to the last one would be ignored.
            self._announced = None
            self._gate.announce(True, 0, RETURNED_COLD_MS)
            self.load_report_cache.expire()

    def _follow_limits(self, changes):
        if not any(change.kind == 'configuration' for change in changes):
            return
        configuration = self._view.configuration()
        if configuration is not None and configuration.idle_timeout_ms:
            self.callers.limits = replace(
                self.callers.limits,
                idle_timeout_ms=configuration.idle_timeout_ms,
            )

    def _listener(self, name, address, part):
        settings = self._settings
        limits = Limits(
            settings.max_header_bytes,
            settings.max_body_bytes,
            settings.header_timeout_ms,
            settings.idle_timeout_ms,
        )

        def on_bad_input(error):
            self._metrics.add('input_errors_total', name, error.code)

        return Listener(
            address, part.application, limits, on_bad_input, self._intake
        )
