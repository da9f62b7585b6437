"""
damasklanding.node.ingress
~~~~~~~~~~~~~~~~~~~~~~~~~~

Serves the outbound listener of a host: requests of its callers and of its
backend server.  Routes a request by host name and path, authenticates it,
applies the rate limit of its organisation, and sends back the answer.
"""

from damasklanding.decisions import Decision
from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import KeyRefused
from damasklanding.errors import Unavailable
from damasklanding.errors import UpstreamFailed
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import RAN
from damasklanding.node.answers import stream_body
from damasklanding.node.bodies import body_from_request
from damasklanding.node.calls import Call
from damasklanding.node.calls import RetryAllowance
from damasklanding.node.connections import status_line
from damasklanding.node.disconnect import always_cancel
from damasklanding.node.entry import OVERLOAD_CODES
from damasklanding.node.view import key_digest
from damasklanding.policy.levels import level_of
from damasklanding.policy.trafficsplit import choose_part

__all__ = ['Ingress']

NO_CONFIGURATION_RETRY_AFTER_MS = 200
#: The longest wait for the organisation's rate limit, relative to the target
#: latency of the profile (or the request's timeout, if shorter).  A request
#: that waits longer is answered too late to be useful.
MAX_RATE_WAIT_RATIO = 0.25
#: Reasons recorded for requests that a backend server answered.
OK = 'ok'
FAILED = 'failed'


class Ingress:
    """
    The WSGI application of a host's outbound listener.

    :param dialect: :class:`~damasklanding.node.dialect.CallerDialect`.
    :param forwarder: :class:`~damasklanding.node.forward.Forwarder`.
    :param rate_limiter:
        :class:`~damasklanding.budget.rate_limiter.RateLimiter`.
    :param throttle: :class:`~damasklanding.policy.throttle.AdaptiveThrottle`.
    :param dependencies:
        :class:`~damasklanding.policy.dependencies.DependencyCheck`.
    :param chain_admission:
        :class:`~damasklanding.policy.chainadmission.ChainAdmission`.
    :param table: :class:`~damasklanding.node.calls.CallTable`.
    :param watch_service: function of a service's name, called before the
        first call to it; makes its backend servers known.
    :param random: :class:`random.Random`.
    :param planned_stop:
        :class:`~damasklanding.node.stopping.PlannedStop`.
    :param decisions: :class:`~damasklanding.decisions.DecisionLog`; None
        disables logging.
    """

    def __init__(
        self,
        settings,
        view,
        dialect,
        forwarder,
        rate_limiter,
        throttle,
        dependencies,
        chain_admission,
        table,
        watch_service,
        metrics,
        random,
        planned_stop,
        decisions=None,
    ):
        self._settings = settings
        self._view = view
        self._dialect = dialect
        self._forwarder = forwarder
        self._rate_limiter = rate_limiter
        self._throttle = throttle
        self._dependencies = dependencies
        self._chain_admission = chain_admission
        self._table = table
        self._watch_service = watch_service
        self._metrics = metrics
        self._random = random
        self._planned_stop = planned_stop
        self._decisions = decisions
        self._now_ms = view.now_ms
        self._watched_services = set()

    def application(self, environ, start_response):
        """Handle one request."""
        request = environ['damasklanding.request']
        state = _RequestState(self._now_ms())
        detail = ''
        try:
            answer = _require_ran(self._handle(request, state))
            reason = OK if answer.status < 500 else FAILED
        except DamasklandingError as error:
            detail = error.problem
            if state.call is None or state.call.certainly_not_run():
                error.outcome = NOT_RUN
            answer = self._dialect.error_answer(error)
            reason = error.code
        if state.admitted:
            self._record_throttle_outcome(state.call, reason)
        self._metrics.add(
            'requests_total',
            state.service,
            state.profile,
            state.organisation,
            answer.outcome,
            reason,
        )
        if reason != OK and self._decisions is not None:
            self._decisions.note(
                'answered',
                reason,
                lambda: self._build_decision(state, answer, reason, detail),
            )
        start_response(
            status_line(answer.status), self._dialect.header_pairs(answer)
        )
        if answer.parts is None:
            return (answer.body,)
        return stream_body(answer)

    def _handle(self, request, state):
        head = self._dialect.read_head(request)
        state.request_id = head.request_id
        configuration = self._view.configuration()
        if configuration is None:
            raise Unavailable(
                'this node has no configuration yet',
                retry_after_ms=NO_CONFIGURATION_RETRY_AFTER_MS,
            )
        route = self._view.host_route(head.host, request.path)
        self._view.require_fresh(self._settings.fresh_limit_ms)
        profile = self._view.state.get('profile', route.profile)
        state.profile = profile.name
        organisation = None
        if configuration.keyed and not route.keyless:
            organisation = self._authenticate(head)
            state.organisation = organisation.name
            timeout_ms = _timeout_ms(head, profile)
            wait_ms = MAX_RATE_WAIT_RATIO * min(
                profile.objective_latency_ms, timeout_ms
            )
            # Refuses a request over the rate limit before the work below.
            self._rate_limiter.check(organisation, wait_ms)
        destination = choose_part(route.parts, self._random.random())
        state.service = destination.service
        call = self._build_call(request, head, state, profile, organisation)
        request.deadline_at_ms = call.deadline_at_ms
        call.body = body_from_request(request, self._settings.max_body_bytes)
        state.call = call
        if call.deadline_at_ms <= self._now_ms():
            raise DeadlineExceeded('the request arrived with no time left')
        if state.parent is None:
            self._planned_stop.check(call)
        # This try block does the same as DisconnectWatcher.watching.  The
        # context manager would cost each call as much as the guarded code.
        request.disconnect_watcher.watch(call.body, always_cancel)
        try:
            if organisation is None:
                return self._forward_onward(call, state.parent)
            return_tokens = self._rate_limiter.take(organisation, wait_ms)
            try:
                answer = self._forward(call, state)
            except DamasklandingError as error:
                if error.outcome == NOT_RUN or call.certainly_not_run():
                    return_tokens()
                raise
            if answer.outcome == NOT_RUN:
                return_tokens()
            return answer
        finally:
            call.body.on_end = None
            request.disconnect_watcher.stop()

    def _forward(self, call, state):
        self._dependencies.check(call.service, call.profile)
        self._chain_admission.check(call.service, call.profile, call.level)
        self._throttle.check(call.service, call.profile, call.importance)
        state.admitted = True
        self._ensure_watched(call.service)
        admitted_ms = self._now_ms()
        try:
            answer = self._forwarder.forward(call)
        finally:
            self._chain_admission.note(
                call.service, call.profile, call.bottleneck
            )
        self._dependencies.note(
            call.service,
            call.profile,
            answer.status < 500,
            answer.missing_services,
            admitted_ms,
            answer.leaving_services,
        )
        return answer

    def _forward_onward(self, call, parent):
        self._ensure_watched(call.service)
        try:
            answer = self._forwarder.forward(call)
        except DamasklandingError:
            if parent is not None and not self._forwarder.has_backend(
                call.service
            ):
                parent.missing_services.add(call.service)
            raise
        finally:
            if parent is not None:
                parent.call.note_bottleneck(call.bottleneck)
        if parent is not None:
            parent.record_answer(answer)
        return answer

    def _authenticate(self, head):
        if head.key is None:
            raise KeyRefused('the request has no key')
        organisation = self._view.organisation_by_digest(key_digest(head.key))
        if organisation is None:
            raise KeyRefused('the key is unknown or was withdrawn')
        return organisation

    def _build_call(self, request, head, state, profile, organisation):
        if not head.request_id:
            raise BadInput(
                'the request has no id', 'send one with each attempt'
            )
        importance = profile.importance
        parent = None
        if organisation is None:
            # A call inherits the importance of the request that made it.
            parent = self._table.parent_of(head.request_id)
        if parent is not None:
            state.parent = parent
            request.onward = True
            importance = parent.call.importance
            level = parent.call.level
            state.organisation = parent.call.organisation
        elif organisation is not None and organisation.importance is not None:
            importance = organisation.importance
        if parent is None:
            level = level_of(
                head.request_id,
                importance,
                profile.importance,
                self._view.highest_importance,
            )
        return Call(
            request_id=head.request_id,
            service=state.service,
            profile=profile.name,
            organisation=state.organisation,
            importance=importance,
            deadline_at_ms=state.arrived_ms + _timeout_ms(head, profile),
            allowance=RetryAllowance(profile.retries),
            depth=0 if parent is None else parent.call.depth + 1,
            method=request.method,
            target=request.target,
            headers=self._dialect.forwarded_headers(
                request,
                organisation.name if organisation is not None else '',
                self._settings.backend_service,
            ),
            body=None,
            idempotent=profile.idempotent,
            answered_before=parent.answered_onward if parent else 0,
            level=level,
            begins_chain=parent is None
            or parent.begins_chain_to(state.service),
        )

    def _build_decision(self, state, answer, reason, detail):
        call = state.call
        now_ms = self._now_ms()
        age_ms = self._view.age_ms()
        configuration = self._view.configuration()
        return Decision(
            event='answered',
            request_id=state.request_id,
            reason=reason,
            outcome=answer.outcome,
            service=state.service,
            organisation=state.organisation,
            importance=call.importance if call else 0,
            status=answer.status,
            attempts=call.attempt if call else 0,
            took_ms=int(now_ms - state.arrived_ms),
            left_ms=int(call.deadline_at_ms - now_ms) if call else 0,
            config_version=configuration.version if configuration else 0,
            view_age_ms=-1 if age_ms == float('inf') else int(age_ms),
            detail=detail,
        )

    def _record_throttle_outcome(self, call, reason):
        # A failure of a backend server mostly means that an onward call of it
        # was refused.  A draining or unreachable backend server says nothing
        # about load.
        overloaded = reason in OVERLOAD_CODES or reason == FAILED
        self._throttle.note(
            call.service, call.profile, call.importance, overloaded
        )

    def _ensure_watched(self, service):
        if service not in self._watched_services:
            self._watch_service(service)
            self._watched_services.add(service)


def _timeout_ms(head, profile):
    """Return the total time that a request may take."""
    if head.deadline_ms is None:
        return profile.timeout_ms
    return min(profile.timeout_ms, head.deadline_ms)


class _RequestState:
    """
    The state of one request while it is handled.

    :ivar arrived_ms: time at which its head had been read.
    :ivar admitted: whether it passed the rate limiter and the throttle.
    :ivar parent: :class:`~damasklanding.node.calls.RunningCall` that made it,
        None for a request of a caller.
    """

    __slots__ = (
        'arrived_ms',
        'call',
        'admitted',
        'organisation',
        'parent',
        'profile',
        'request_id',
        'service',
    )

    def __init__(self, arrived_ms):
        self.arrived_ms = arrived_ms
        self.call = None
        self.admitted = False
        self.organisation = ''
        self.parent = None
        self.profile = ''
        self.request_id = ''
        self.service = ''


def _require_ran(answer):
    """
    Return the answer if its request has run; close it otherwise.

    :raises Unavailable: the request has not run.
    :raises UpstreamFailed: it is not known whether the request has run.
    """
    if answer.outcome == RAN:
        return answer
    answer.close()
    if answer.outcome == NOT_RUN:
        raise _not_run_error(answer)
    raise UpstreamFailed('it is not known whether the request has run')


def _not_run_error(answer):
    error = Unavailable(
        'the backend servers that were tried accepted no more requests',
        retry_after_ms=answer.retry_after_ms or None,
    )
    error.outcome = NOT_RUN
    return error
