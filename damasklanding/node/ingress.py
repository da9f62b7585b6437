"""
damasklanding.node.ingress
~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests of the callers and of the backend server on this host, routed by
host name and path: key, rate, route, and the answer.
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
from damasklanding.policy.trafficsplit import choose_part

__all__ = ['Ingress']

NO_CONFIGURATION_RETRY_MS = 200
#: Of the time within which an answer is worth most, that a request may wait
#: for its organisation's rate; what waits longer is answered too late.
RATE_WAIT_SHARE = 0.25
#: Reasons of answers that came from a backend server.
OK = 'ok'
FAILED = 'failed'


class Ingress:
    """
    The application behind a host's outbound listener.

    :param dialect: :class:`~damasklanding.node.dialect.CallerDialect`.
    :param forwarder: :class:`~damasklanding.node.forward.Forwarder`.
    :param rate_limiter:
        :class:`~damasklanding.budget.rate_limiter.RateLimiter`.
    :param throttle: :class:`~damasklanding.policy.throttle.AdaptiveThrottle`.
    :param table: :class:`~damasklanding.node.calls.CallTable`.
    :param ensure_service: function that makes a service's backend servers
        known.
    :param random: :class:`random.Random`.
    :param decisions: :class:`~damasklanding.decisions.DecisionLog`, or None.
    """

    def __init__(
        self,
        settings,
        view,
        dialect,
        forwarder,
        rate_limiter,
        throttle,
        table,
        ensure_service,
        metrics,
        random,
        decisions=None,
    ):
        self._settings = settings
        self._view = view
        self._dialect = dialect
        self._forwarder = forwarder
        self._rate_limiter = rate_limiter
        self._throttle = throttle
        self._table = table
        self._ensure_service = ensure_service
        self._metrics = metrics
        self._random = random
        self._decisions = decisions
        self._now_ms = view.now_ms
        self._wanted = set()

    def application(self, environ, start_response):
        """Answer one request; a WSGI application."""
        request = environ['damasklanding.request']
        passage = _Passage(self._now_ms())
        detail = ''
        try:
            answer = _trusted(self._answer(request, passage))
            reason = OK if answer.status < 500 else FAILED
        except DamasklandingError as error:
            detail = error.problem
            if passage.call is None or passage.call.certainly_not_run():
                error.outcome = NOT_RUN
            answer = self._dialect.error_answer(error)
            reason = error.code
        if passage.checked:
            self._note_throttle_outcome(passage.call, reason)
        self._metrics.add(
            'requests_total',
            passage.service,
            passage.profile,
            passage.organisation,
            answer.outcome,
            reason,
        )
        if reason != OK and self._decisions is not None:
            self._decisions.note(
                'answered',
                reason,
                lambda: self._describe(passage, answer, reason, detail),
            )
        start_response(
            status_line(answer.status), self._dialect.header_pairs(answer)
        )
        if answer.parts is None:
            return (answer.body,)
        return stream_body(answer)

    def _answer(self, request, passage):
        head = self._dialect.read_head(request)
        passage.request_id = head.request_id
        configuration = self._view.configuration()
        if configuration is None:
            raise Unavailable(
                'this node has no configuration yet',
                retry_after_ms=NO_CONFIGURATION_RETRY_MS,
            )
        route = self._view.host_route(head.host, request.path)
        self._view.require_fresh(self._settings.fresh_limit_ms)
        profile = self._view.state.get('profile', route.profile)
        passage.profile = profile.name
        organisation = None
        if configuration.keyed and not route.keyless:
            organisation = self._authenticate(head)
            passage.organisation = organisation.name
            timeout_ms = _timeout_ms(head, profile)
            wait_ms = RATE_WAIT_SHARE * min(
                profile.objective_latency_ms, timeout_ms
            )
            # What is refused anyway costs no more than this.
            self._rate_limiter.check(organisation, wait_ms)
        part = choose_part(route.parts, self._random.random())
        passage.service = part.service
        call = self._call(request, head, passage, profile, organisation)
        call.body = body_from_request(request, self._settings.max_body_bytes)
        passage.call = call
        if call.deadline_at_ms <= self._now_ms():
            raise DeadlineExceeded('the request brought no time')
        # As the block of Hangup.watching, whose making would cost each call
        # as much as what it guards.
        request.disconnect_watcher.watch(call.body, always_cancel)
        try:
            if organisation is None:
                self._make_known(call.service)
                return self._forwarder.forward(call)
            put_back = self._rate_limiter.take(organisation, wait_ms)
            try:
                answer = self._forward(call, passage)
            except DamasklandingError as error:
                if error.outcome == NOT_RUN or call.certainly_not_run():
                    put_back()
                raise
            if answer.outcome == NOT_RUN:
                put_back()
            return answer
        finally:
            call.body.on_end = None
            request.disconnect_watcher.stop()

    def _forward(self, call, passage):
        self._throttle.check(call.service, call.profile, call.importance)
        passage.checked = True
        self._make_known(call.service)
        return self._forwarder.forward(call)

    def _authenticate(self, head):
        if head.key is None:
            raise KeyRefused('the request has no key')
        organisation = self._view.organisation_by_digest(key_digest(head.key))
        if organisation is None:
            raise KeyRefused('the key is unknown or was withdrawn')
        return organisation

    def _call(self, request, head, passage, profile, organisation):
        if not head.request_id:
            raise BadInput('the request has no id', 'send one with each try')
        importance = profile.importance
        parent = None
        if organisation is None:
            # A call keeps the importance of the request that it is part of.
            parent = self._table.parent_of(head.request_id)
        if parent is not None:
            importance = parent.call.importance
            passage.organisation = parent.call.organisation
        elif organisation is not None and organisation.importance is not None:
            importance = organisation.importance
        return Call(
            request_id=head.request_id,
            service=passage.service,
            profile=profile.name,
            organisation=passage.organisation,
            importance=importance,
            deadline_at_ms=passage.arrived_ms + _timeout_ms(head, profile),
            allowance=RetryAllowance(profile.retries),
            depth=0,
            method=request.method,
            target=request.target,
            headers=self._dialect.forwarded_headers(
                request,
                organisation.name if organisation is not None else '',
                self._settings.backend_service,
            ),
            body=None,
            idempotent=profile.idempotent,
        )

    def _describe(self, passage, answer, reason, detail):
        call = passage.call
        now_ms = self._now_ms()
        age_ms = self._view.age_ms()
        configuration = self._view.configuration()
        return Decision(
            event='answered',
            request_id=passage.request_id,
            reason=reason,
            outcome=answer.outcome,
            service=passage.service,
            organisation=passage.organisation,
            importance=call.importance if call else 0,
            status=answer.status,
            attempts=call.attempt if call else 0,
            took_ms=int(now_ms - passage.arrived_ms),
            left_ms=int(call.deadline_at_ms - now_ms) if call else 0,
            config_version=configuration.version if configuration else 0,
            view_age_ms=-1 if age_ms == float('inf') else int(age_ms),
            detail=detail,
        )

    def _note_throttle_outcome(self, call, reason):
        # A backend server that fails has mostly had a call refused; one that
        # drains or can't be reached says nothing about load.
        overloaded = reason in OVERLOAD_CODES or reason == FAILED
        self._throttle.note(
            call.service, call.profile, call.importance, overloaded
        )

    def _make_known(self, service):
        if service not in self._wanted:
            self._ensure_service(service)
            self._wanted.add(service)


def _timeout_ms(head, profile):
    """Return the time that a request has in all."""
    if head.deadline_ms is None:
        return profile.timeout_ms
    return min(profile.timeout_ms, head.deadline_ms)


class _Passage:
    """
    What is known of a request so far.

    :ivar arrived_ms: when its head had been read.
    :ivar checked: whether it was let through by rate and throttle.
    """

    __slots__ = (
        'arrived_ms',
        'call',
        'checked',
        'organisation',
        'profile',
        'request_id',
        'service',
    )

    def __init__(self, arrived_ms):
        self.arrived_ms = arrived_ms
        self.call = None
        self.checked = False
        self.organisation = ''
        self.profile = ''
        self.request_id = ''
        self.service = ''


def _trusted(answer):
    """
    Return an answer of a backend server that may go back as it is.

    :raises Unavailable: it states that the request has not run.
    :raises UpstreamFailed: whether it has run is not known.
    """
    if answer.outcome == RAN:
        return answer
    answer.close()
    if answer.outcome == NOT_RUN:
        raise _not_run(answer)
    raise UpstreamFailed('the attempts left open whether the request has run')


def _not_run(answer):
    error = Unavailable(
        'the backend servers that were tried took no more requests',
        retry_after_ms=answer.retry_after_ms or None,
    )
    error.outcome = NOT_RUN
    return error
