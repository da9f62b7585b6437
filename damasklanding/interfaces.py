"""
damasklanding.interfaces
~~~~~~~~~~~~~~~~~~~~~~~~

What varies with how callers, backend servers and operators of a deployment
speak: one record of functions for each interface, by its name in the
settings.  The parts are imported only by processes that use them.
"""

from dataclasses import dataclass

import gevent

from damasklanding.clock import monotonic_ms
from damasklanding.link import parse_address

__all__ = ['INTERFACES', 'Interface']

HANDOVER_TIMEOUT_MS = 3_000
#: Shares of the time from SIGTERM to SIGKILL: callers are sent away within
#: two questions a second apart, and the last tenth is for closing.
LEAVE_SHARE = 0.45
END_SHARE = 0.9
#: Time from SIGTERM during which most callers do not know of the stop yet, so
#: that a refusal costs them more than it saves.
UNAWARE_MS = 2_900


@dataclass(frozen=True)
class Interface:
    """
    The variable parts of a daemon; each is a function.

    :ivar control_services: of settings, control host and
        :class:`~damasklanding.intake.Intake`; services that run beside it.
    :ivar dialects: returns those of callers and backend servers, or None.
    :ivar limiter: of a function that returns the cold rate; returns what
        builds the gate's limiter from a clock.
    :ivar throttle_settings: returns how much of failing chains is let through.
    :ivar rate_options: of a function that counts nodes; arguments of
        :class:`~damasklanding.budget.rate_limiter.RateLimiter`.
    :ivar issues_without_proof: whether budget owners issue a part of their
        budgets while the control hosts can't be reached.
    :ivar node_services: of the node role; further listeners.
    :ivar leave: of the node role and the drain timeout; serves callers until
        they have gone, and returns the milliseconds left for draining and,
        beside it, for handing over.
    """

    control_services: object
    dialects: object
    limiter: object
    throttle_settings: object
    rate_options: object
    issues_without_proof: bool
    node_services: object
    leave: object


def _own_control_services(_settings, host, _intake):
    from damasklanding.claims.commands import CLAIMS_GROUP
    from damasklanding.claims.state_machine import ClaimStateMachine
    from damasklanding.claims.ticker import Ticker

    claims = host.add_group(CLAIMS_GROUP, ClaimStateMachine())
    return [
        Ticker(claims.propose, lambda: claims.role == 'leader', monotonic_ms)
    ]


def _own_limiter(_cold_rate_per_s):
    from damasklanding.policy.limiter import AdaptiveLimiter

    return AdaptiveLimiter


def _own_throttle_settings():
    from damasklanding.policy.throttle import DEFAULT_THROTTLE_SETTINGS

    return DEFAULT_THROTTLE_SETTINGS


def _own_leave(_role, drain_timeout_ms):
    return drain_timeout_ms, min(drain_timeout_ms, HANDOVER_TIMEOUT_MS)


def _platform_control_services(settings, host, intake):
    from damasklanding.platform.operators import operator_app
    from damasklanding.wsgi import wsgi_server

    address = parse_address(settings.operator_address)
    return [wsgi_server(address, operator_app(host), intake)]


def _platform_dialects():
    from damasklanding.platform.headers import BACKEND_DIALECT
    from damasklanding.platform.headers import CALLER_DIALECT

    return CALLER_DIALECT, BACKEND_DIALECT


def _platform_limiter(cold_rate_per_s):
    from damasklanding.policy.announcedlimiter import AnnouncedLimiter

    return lambda now_ms: AnnouncedLimiter(now_ms, cold_rate_per_s)


def _platform_throttle_settings():
    from damasklanding.policy.throttle import CHAIN_THROTTLE_SETTINGS

    return CHAIN_THROTTLE_SETTINGS


def _platform_rate_options(count_nodes):
    from damasklanding.budget.shares import LocalShares

    # Routes say how soon an answer is wanted, so that a longer wait than a
    # part of that is of no use.
    return {
        'shares': LocalShares(count_nodes),
        'node_count': lambda: max(1, count_nodes()),
        'least_wait_ms': 0,
    }


def _platform_node_services(role):
    from damasklanding.node.departure import LeaveBounds
    from damasklanding.node.presence import BackendPresence
    from damasklanding.operations import readiness_app
    from damasklanding.platform.announcements import announcement_app
    from damasklanding.wsgi import wsgi_server

    settings = role.settings
    presence = BackendPresence(
        settings.backend_address,
        role.node.announce,
        role.may_have_service,
        bounds=LeaveBounds(
            settings.leave_confirm_ms,
            settings.leave_drain_ms,
            settings.report_interval_ms,
        ),
        is_last=role.is_last_server,
    )
    role.kept_server = presence.kept_server
    apps = (
        (
            settings.announce_address,
            announcement_app(presence, role.services_emptied_without_own),
        ),
        (settings.readiness_address, readiness_app(role.not_ready)),
    )
    return [
        wsgi_server(parse_address(at), app, role.intake) for at, app in apps
    ]


def _platform_leave(role, _drain_timeout_ms):
    grace_ms = role.settings.stop_grace_ms
    ends_at_ms = monotonic_ms() + END_SHARE * grace_ms
    leave_ms = LEAVE_SHARE * grace_ms
    unaware_ms = min(UNAWARE_MS, leave_ms)
    role.node.stop_keep_alive()
    gevent.sleep(unaware_ms / 1000)
    role.node.limit_admission(ends_at_ms - monotonic_ms())
    gevent.sleep((leave_ms - unaware_ms) / 1000)
    left_ms = ends_at_ms - monotonic_ms()
    return left_ms, left_ms


INTERFACES = {
    'own': Interface(
        control_services=_own_control_services,
        dialects=lambda: None,
        limiter=_own_limiter,
        throttle_settings=_own_throttle_settings,
        rate_options=lambda _count_nodes: {},
        issues_without_proof=False,
        node_services=lambda _role: [],
        leave=_own_leave,
    ),
    'platform': Interface(
        control_services=_platform_control_services,
        dialects=_platform_dialects,
        limiter=_platform_limiter,
        throttle_settings=_platform_throttle_settings,
        rate_options=_platform_rate_options,
        issues_without_proof=True,
        node_services=_platform_node_services,
        leave=_platform_leave,
    ),
}
