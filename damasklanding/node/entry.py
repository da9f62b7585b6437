"""
damasklanding.node.entry
~~~~~~~~~~~~~~~~~~~~~~~~

Requests of callers: identity, rate, at most once, and the answer.
"""

from contextlib import contextmanager
import os

import gevent

from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import KeyRefused
from damasklanding.errors import Overloaded
from damasklanding.errors import Refusal
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

__all__ = ['OVERLOAD_CODES', 'Entry']

REQUEST_ID_BYTES = 8
#: Codes of failures for lack of slots or time along the chain.
OVERLOAD_CODES = frozenset(
    (Overloaded.code, DeadlineExceeded.code, UpstreamTimeout.code)
)


class Entry:
    """
    The application behind the caller listener.

    :param forwarder: :class:`~damasklanding.node.forward.Forwarder`.
    :param rate_limiter:
        :class:`~damasklanding.budget.rate_limiter.RateLimiter`.
    :param claims: :class:`~damasklanding.claims.client.ClaimClient`.
    :param throttle: :class:`~damasklanding.policy.throttle.AdaptiveThrottle`.
    :param ensure_service: function that makes a service's backend servers
        known.
    """

    def __init__(
        self,
        settings,
        view,
        forwarder,
        rate_limiter,
        claims,
        throttle,
        ensure_service,
        metrics,
    ):
        self._settings = settings
        self._view = view
        self._forwarder = forwarder
        self._rate_limiter = rate_limiter
        self._once = IdempotencyClaims(claims, view.now_ms)
        self._throttle = throttle
        self._ensure_service = ensure_service
        self._metrics = metrics
        self._now_ms = view.now_ms
        self._wanted = set()
        self._open = {}
        view.subscribe(self._on_changes)

    def application(self, environ, start_response):
        """Answer one request; a WSGI application."""
        request = environ['damasklanding.request']
        passage = _Passage(self._now_ms())
        try:
            answer = self._answer(request, passage)
            reason = self._judge(answer, passage)
        except DamasklandingError as error:
            if passage.call is None or passage.call.certainly_not_run():
                error.outcome = passage.outcome or NOT_RUN
            reason = error.code
            answer = answer_from_error(error)
        self._count(passage, answer, reason)
        if passage.checked:
            self._note_throttle_outcome(passage, answer, reason)
        start_response(status_line(answer.status), answer.header_pairs())
        if answer.parts is None:
            return (answer.body,)
        return stream_body(answer)

    def _answer(self, request, passage):
        passage.service, _, profile = self._view.route(
            request.method, request.path, internal_allowed=False
        )
        passage.profile = profile.name
        passage.objective_latency_ms = profile.objective_latency_ms
        self._view.require_fresh(self._settings.fresh_limit_ms)
        organisation, digest = self._authenticate(request)
        passage.organisation = organisation.name
        call = self._call(request, passage, profile)
        call.body = body_from_request(request, self._settings.max_body_bytes)
        passage.call = call
        with self._followed(call, digest, request):
            self._take(call, organisation, profile)
            passage.checked = True
            self._make_known(call.service)
            key = request.header_map.get(IDEMPOTENCY_KEY)
            if key is None or profile.idempotent:
                return self._forwarder.forward(call)
            return self._answer_once(call, key, profile, passage)

    def _answer_once(self, call, key, profile, passage):
        try:
            granted, kept = self._once.claim(call, key, profile)
        except DamasklandingError as error:
            # What it says is of the first request with the key.
            passage.outcome = error.outcome
            raise
        if kept is not None:
            return kept
        with self._once.recorded_outcome(call, key, granted.attempt) as settle:
            answer = self._forwarder.forward(call)
            settle(answer)
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

    def _call(self, request, passage, profile):
        timeout_ms = profile.timeout_ms
        asked = request.header_map.get(DEADLINE_MS)
        if asked is not None:
            if not asked.isdecimal() or len(asked) > 9:
                raise BadInput(f'{DEADLINE_MS} is not a number of ms')
            timeout_ms = min(timeout_ms, int(asked))
        return Call(
            request_id=os.urandom(REQUEST_ID_BYTES).hex(),
            service=passage.service,
            profile=profile.name,
            organisation=passage.organisation,
            importance=profile.importance,
            deadline_at_ms=self._now_ms() + timeout_ms,
            allowance=RetryAllowance(profile.retries),
            depth=0,
            method=request.method,
            target=request.target,
            headers=end_to_end_headers(request.headers),
            body=None,
            idempotent=profile.idempotent,
        )

    def _take(self, call, organisation, profile):
        left_ms = call.deadline_at_ms - self._now_ms()
        if left_ms <= 0:
            raise DeadlineExceeded('the request brought no time')
        wait_ms = min(profile.longest_wait_ms, int(left_ms))
        put_back = self._rate_limiter.take(organisation, wait_ms)
        try:
            self._throttle.check(call.service, call.profile, call.importance)
        except Refusal:
            put_back()
            raise

    def _make_known(self, service):
        if service not in self._wanted:
            self._ensure_service(service)
            self._wanted.add(service)

    @contextmanager
    def _followed(self, call, digest, request):
        """Tie a call to its key and its caller while it is under way."""

        def before_send():
            if not self._view.has_key(digest):
                raise _withdrawn()

        def should_cancel():
            # A claimed request that was handed over runs on, so that a
            # resend gets its answer.
            return not (call.claimed and call.maybe_sent)

        call.before_send = before_send
        open_call = _OpenCall(call)
        calls = self._open.get(digest)
        if calls is None:
            calls = self._open[digest] = set()
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
            if not calls and self._open.get(digest) is calls:
                del self._open[digest]

    def _on_changes(self, changes):
        if not any(change.kind == 'organisation' for change in changes):
            return
        for digest in [d for d in self._open if not self._view.has_key(d)]:
            for open_call in list(self._open.pop(digest)):
                open_call.withdraw()

    def _judge(self, answer, passage):
        if answer.status >= 500:
            return 'failed'
        took_ms = self._now_ms() - passage.arrived_ms
        return 'late' if took_ms > passage.objective_latency_ms else 'ok'

    def _count(self, passage, answer, reason):
        self._metrics.add(
            'requests_total',
            passage.service,
            passage.profile,
            passage.organisation,
            answer.outcome,
            reason,
        )

    def _note_throttle_outcome(self, passage, answer, reason):
        # A failed answer that no retry would mend is that of a chain which
        # was refused, or ran out of time or retries, further down.
        overloaded = reason in OVERLOAD_CODES or (
            answer.status >= 500 and not answer.may_retry
        )
        call = passage.call
        self._throttle.note(
            call.service, call.profile, call.importance, overloaded
        )


class _Passage:
    """
    What is known of a request so far.

    :ivar arrived_ms: when its head had been read.
    :ivar checked: whether it was let through by rate and throttle.
    :ivar outcome: outcome of an earlier request with the same key.
    """

    __slots__ = (
        'arrived_ms',
        'call',
        'checked',
        'objective_latency_ms',
        'organisation',
        'outcome',
        'profile',
        'service',
    )

    def __init__(self, arrived_ms):
        self.arrived_ms = arrived_ms
        self.call = None
        self.checked = False
        self.objective_latency_ms = 0
        self.organisation = ''
        self.outcome = None
        self.profile = ''
        self.service = ''


class _OpenCall:
    """A call that is tied to a key."""

    __slots__ = ('call', 'greenlet')

    def __init__(self, call):
        self.call = call
        self.greenlet = gevent.getcurrent()

    def withdraw(self):
        """Stop the call unless a backend server has begun to run it."""
        exchange = self.call.exchange
        if exchange is not None:
            gevent.spawn(exchange.withdraw)
        elif not self.call.maybe_sent:
            self.greenlet.kill(_withdrawn(), block=False)


def _withdrawn():
    error = KeyRefused('the key was withdrawn')
    error.outcome = NOT_RUN
    return error
