"""
damasklanding.node.entry
~~~~~~~~~~~~~~~~~~~~~~~~

Serves callers on the caller listener: authenticates a request, applies the
rate limit of its organisation, runs a request with an idempotency key at most
once, and sends back the answer.
"""

from contextlib import contextmanager
import os

import gevent

from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import KeyRefused
from damasklanding.errors import Overloaded
from damasklanding.errors import Quarantined
from damasklanding.errors import Refusal
from damasklanding.errors import ServerLimited
from damasklanding.errors import UpstreamTimeout
from damasklanding.headers import DEADLINE_MS
from damasklanding.headers import IDEMPOTENCY_KEY
from damasklanding.headers import KEY
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import answer_from_error
from damasklanding.node.answers import end_to_end_headers
from damasklanding.node.answers import stream_body
from damasklanding.node.bodies import body_from_request
from damasklanding.node.calls import Call
from damasklanding.node.calls import RetryAllowance
from damasklanding.node.connections import status_line
from damasklanding.node.idempotency import IdempotencyClaims
from damasklanding.node.view import key_digest
from damasklanding.policy.levels import level_of

__all__ = ['OVERLOAD_CODES', 'Entry']

REQUEST_ID_BYTES = 8
#: Codes of errors that count as overload: a service in the call chain had no
#: free slot or ran out of time.
OVERLOAD_CODES = frozenset(
    (
        Overloaded.code,
        ServerLimited.code,
        DeadlineExceeded.code,
        UpstreamTimeout.code,
    )
)


class Entry:
    """
    The WSGI application of the caller listener.

    :param forwarder: :class:`~damasklanding.node.forward.Forwarder`.
    :param rate_limiter:
        :class:`~damasklanding.budget.rate_limiter.RateLimiter`.
    :param claims: :class:`~damasklanding.claims.client.ClaimClient`.
    :param throttle: :class:`~damasklanding.policy.throttle.AdaptiveThrottle`.
    :param dependencies:
        :class:`~damasklanding.policy.dependencies.DependencyCheck`.
    :param chain_admission:
        :class:`~damasklanding.policy.chainadmission.ChainAdmission`.
    :param watch_service: function of a service's name, called before the
        first call to it; makes its backend servers known.
    :param planned_stop:
        :class:`~damasklanding.node.stopping.PlannedStop`.
    """

    def __init__(
        self,
        settings,
        view,
        forwarder,
        rate_limiter,
        claims,
        throttle,
        dependencies,
        chain_admission,
        watch_service,
        metrics,
        planned_stop,
    ):
        self._settings = settings
        self._view = view
        self._forwarder = forwarder
        self._rate_limiter = rate_limiter
        self._idempotency_claims = IdempotencyClaims(claims, view.now_ms)
        self._throttle = throttle
        self._dependencies = dependencies
        self._chain_admission = chain_admission
        self._watch_service = watch_service
        self._metrics = metrics
        self._planned_stop = planned_stop
        self._now_ms = view.now_ms
        self._watched_services = set()
        self._open_calls = {}
        view.subscribe(self._on_changes)

    def application(self, environ, start_response):
        """Handle one request."""
        request = environ['damasklanding.request']
        state = _RequestState(self._now_ms())
        try:
            answer = self._handle(request, state)
            reason = self._classify_answer(answer, state)
        except DamasklandingError as error:
            if state.call is None or state.call.certainly_not_run():
                error.outcome = state.outcome or NOT_RUN
            reason = error.code
            answer = answer_from_error(error)
        self._count_request(state, answer, reason)
        if state.admitted:
            self._record_throttle_outcome(state, answer, reason)
        start_response(status_line(answer.status), answer.header_pairs())
        if answer.parts is None:
            return (answer.body,)
        return stream_body(answer)

    def _handle(self, request, state):
        state.service, _, profile = self._view.route(
            request.method, request.path, internal_allowed=False
        )
        state.profile = profile.name
        state.objective_latency_ms = profile.objective_latency_ms
        self._view.require_fresh(self._settings.fresh_limit_ms)
        organisation, digest = self._authenticate(request)
        state.organisation = organisation.name
        call = self._build_call(request, state, profile)
        request.deadline_at_ms = call.deadline_at_ms
        call.body = body_from_request(request, self._settings.max_body_bytes)
        state.call = call
        self._planned_stop.check(call)
        with self._tracked(call, digest, request):
            self._admit(call, organisation, profile)
            state.admitted = True
            self._ensure_watched(call.service)
            key = request.header_map.get(IDEMPOTENCY_KEY)
            if key is None or profile.idempotent:
                return self._forward(call)
            return self._forward_claimed(call, key, profile, state)

    def _forward(self, call):
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

    def _forward_claimed(self, call, key, profile, state):
        try:
            claim_reply, kept_answer = self._idempotency_claims.claim(
                call, key, profile
            )
        except DamasklandingError as error:
            # The outcome is that of the first request with this key.
            state.outcome = error.outcome
            raise
        if kept_answer is not None:
            return kept_answer
        with self._idempotency_claims.recorded_outcome(
            call, key, claim_reply.attempt
        ) as set_answer:
            answer = self._forward(call)
            set_answer(answer)
        return answer

    def _authenticate(self, request):
        key = request.header_map.get(KEY)
        if key is None:
            raise KeyRefused(f'the request has no {KEY} header')
        digest = key_digest(key)
        organisation = self._view.organisation_by_digest(digest)
        if organisation is None:
            raise KeyRefused('the key is unknown or was withdrawn')
        return organisation, digest

    def _build_call(self, request, state, profile):
        timeout_ms = profile.timeout_ms
        deadline_header = request.header_map.get(DEADLINE_MS)
        if deadline_header is not None:
            if not deadline_header.isdecimal() or len(deadline_header) > 9:
                raise BadInput(f'{DEADLINE_MS} is not a whole number of ms')
            timeout_ms = min(timeout_ms, int(deadline_header))
        request_id = os.urandom(REQUEST_ID_BYTES).hex()
        return Call(
            request_id=request_id,
            service=state.service,
            profile=profile.name,
            organisation=state.organisation,
            importance=profile.importance,
            deadline_at_ms=self._now_ms() + timeout_ms,
            allowance=RetryAllowance(profile.retries),
            depth=0,
            method=request.method,
            target=request.target,
            headers=end_to_end_headers(request.headers),
            body=None,
            idempotent=profile.idempotent,
            level=level_of(
                request_id,
                profile.importance,
                profile.importance,
                self._view.highest_importance,
            ),
        )

    def _admit(self, call, organisation, profile):
        left_ms = call.deadline_at_ms - self._now_ms()
        if left_ms <= 0:
            raise DeadlineExceeded('the request arrived with no time left')
        wait_ms = min(profile.longest_wait_ms, int(left_ms))
        return_tokens = self._rate_limiter.take(organisation, wait_ms)
        try:
            self._dependencies.check(call.service, call.profile)
            self._chain_admission.check(call.service, call.profile, call.level)
            self._throttle.check(call.service, call.profile, call.importance)
        except DamasklandingError:
            return_tokens()
            raise

    def _ensure_watched(self, service):
        if service not in self._watched_services:
            self._watch_service(service)
            self._watched_services.add(service)

    @contextmanager
    def _tracked(self, call, digest, request):
        """
        Track an open call until the end of the block.

        The call is cancelled when its key is withdrawn or when its caller
        closes the connection.
        """

        def before_send():
            if not self._view.has_key(digest):
                raise _key_withdrawn_error()

        def should_cancel():
            # A claimed request that was sent to a backend server runs to its
            # end, so that a resend with the same key gets its answer.
            return not (call.claimed and call.maybe_sent)

        call.before_send = before_send
        open_call = _OpenCall(call)
        calls = self._open_calls.get(digest)
        if calls is None:
            calls = self._open_calls[digest] = set()
        calls.add(open_call)
        try:
            before_send()
            with request.disconnect_watcher.watching(call.body, should_cancel):
                yield
        except Refusal:
            if call.certainly_not_run():
                before_send()
            raise
        finally:
            calls.discard(open_call)
            if not calls and self._open_calls.get(digest) is calls:
                del self._open_calls[digest]

    def _on_changes(self, changes):
        if not any(change.kind == 'organisation' for change in changes):
            return
        for digest in [
            d for d in self._open_calls if not self._view.has_key(d)
        ]:
            for open_call in list(self._open_calls.pop(digest)):
                open_call.cancel()

    def _classify_answer(self, answer, state):
        if answer.status >= 500:
            return 'failed'
        took_ms = self._now_ms() - state.arrived_ms
        return 'late' if took_ms > state.objective_latency_ms else 'ok'

    def _count_request(self, state, answer, reason):
        self._metrics.add(
            'requests_total',
            state.service,
            state.profile,
            state.organisation,
            answer.outcome,
            reason,
        )

    def _record_throttle_outcome(self, state, answer, reason):
        # A failed answer that excludes a retry means that a call further down
        # the chain was refused or ran out of time or retries.
        overloaded = reason in OVERLOAD_CODES or (
            answer.status >= 500
            and not answer.may_retry
            and reason != Quarantined.code
        )
        call = state.call
        self._throttle.note(
            call.service, call.profile, call.importance, overloaded
        )


class _RequestState:
    """
    The state of one request while it is handled.

    :ivar arrived_ms: time at which its head had been read.
    :ivar admitted: whether it passed the rate limiter and the throttle.
    :ivar outcome: outcome of an earlier request with the same idempotency
        key, None without one.
    """

    __slots__ = (
        'arrived_ms',
        'call',
        'admitted',
        'objective_latency_ms',
        'organisation',
        'outcome',
        'profile',
        'service',
    )

    def __init__(self, arrived_ms):
        self.arrived_ms = arrived_ms
        self.call = None
        self.admitted = False
        self.objective_latency_ms = 0
        self.organisation = ''
        self.outcome = None
        self.profile = ''
        self.service = ''


class _OpenCall:
    """An open call, which is cancelled when its key is withdrawn."""

    __slots__ = ('call', 'greenlet')

    def __init__(self, call):
        self.call = call
        self.greenlet = gevent.getcurrent()

    def cancel(self):
        """Cancel the call unless a backend server has begun to run it."""
        exchange = self.call.exchange
        if exchange is not None:
            gevent.spawn(exchange.withdraw)
        elif not self.call.maybe_sent:
            self.greenlet.kill(_key_withdrawn_error(), block=False)


def _key_withdrawn_error():
    error = KeyRefused('the key was withdrawn')
    error.outcome = NOT_RUN
    return error
