"""
damasklanding.node.egress
~~~~~~~~~~~~~~~~~~~~~~~~~

Serves the loopback listener for the local backend server: its onward calls,
each in the context of a running call, and its announcements.
"""

from contextlib import contextmanager
import hashlib

import gevent

from damasklanding.errors import DamasklandingError
from damasklanding.errors import Forbidden
from damasklanding.errors import Overloaded
from damasklanding.errors import TooLarge
from damasklanding.headers import CONTEXT
from damasklanding.headers import DEADLINE_MS
from damasklanding.headers import MAY_RETRY
from damasklanding.headers import RETRIES_LEFT
from damasklanding.node.announce import ANNOUNCE_PATH
from damasklanding.node.announce import MAX_ANNOUNCE_BYTES
from damasklanding.node.announce import parse_announcement
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import Answer
from damasklanding.node.answers import answer_from_error
from damasklanding.node.answers import end_to_end_headers
from damasklanding.node.answers import stream_body
from damasklanding.node.bodies import body_from_request
from damasklanding.node.calls import Call
from damasklanding.node.connections import status_line
from damasklanding.node.disconnect import always_cancel

__all__ = ['Egress']

MAX_DEPTH = 64


class Egress:
    """
    The WSGI application of the egress listener.

    :param table: :class:`~damasklanding.node.calls.CallTable`.
    :param forwarder: :class:`~damasklanding.node.forward.Forwarder`.
    :param retry_budget: :class:`~damasklanding.policy.retry.RetryBudget`.
    :param watch_service: function of a service's name, called before the
        first call to it; makes its backend servers known.
    :param on_announce: called with each
        :class:`~damasklanding.node.registration.Announcement`.
    """

    def __init__(
        self,
        settings,
        view,
        table,
        forwarder,
        retry_budget,
        watch_service,
        on_announce,
    ):
        self._settings = settings
        self._view = view
        self._table = table
        self._forwarder = forwarder
        self._retry_budget = retry_budget
        self._watch_service = watch_service
        self._on_announce = on_announce
        self._now_ms = view.now_ms
        self._watched_services = set()

    def application(self, environ, start_response):
        """Handle one request."""
        request = environ['damasklanding.request']
        try:
            answer = self._handle(request)
        except DamasklandingError as error:
            answer = answer_from_error(error)
        pairs = answer.header_pairs()
        pairs.append((MAY_RETRY, str(answer.may_retry).lower()))
        pairs.append((RETRIES_LEFT, str(answer.retries_left)))
        start_response(status_line(answer.status), pairs)
        if answer.parts is None:
            return (answer.body,)
        return stream_body(answer)

    def _handle(self, request):
        if request.path == ANNOUNCE_PATH and request.method == 'POST':
            return self._announce(request)
        try:
            running = self._table.find(request.header_map.get(CONTEXT, ''))
            call = self._build_call(request, running)
            digest = _request_digest(call)
            self._charge_retry(running, digest)
        except DamasklandingError as error:
            error.outcome = NOT_RUN
            raise
        with _tracked_child(running, call, request):
            return self._forward(call, running, digest)

    def _forward(self, call, running, digest):
        parent = running.call
        try:
            with running.slot.downstream_call():
                answer = self._forwarder.forward(call)
        except DamasklandingError as error:
            parent.note_bottleneck(call.bottleneck)
            if call.certainly_not_run():
                error.outcome = NOT_RUN
            running.record_failure(digest, error.may_retry)
            if not self._forwarder.has_backend(call.service):
                running.missing_services.add(call.service)
            error.retries_left = call.allowance.left
            raise
        parent.note_bottleneck(call.bottleneck)
        running.record_answer(answer)
        if answer.status >= 500:
            running.record_failure(digest, answer.may_retry)
        answer.retries_left = call.allowance.left
        return answer

    def _announce(self, request):
        if request.length is None or request.length > MAX_ANNOUNCE_BYTES:
            raise TooLarge('the announcement is too large or has no length')
        self._on_announce(parse_announcement(request.read(request.length)))
        return Answer(204, [])

    def _build_call(self, request, running):
        parent = running.call
        service, _, profile = self._view.route(
            request.method, request.path, internal_allowed=True
        )
        self._view.require_fresh(self._settings.fresh_limit_ms)
        if parent.depth >= MAX_DEPTH:
            raise Forbidden(
                f'the call chain is more than {MAX_DEPTH} calls deep',
                'look for services that call each other in a cycle',
            )
        if service not in self._watched_services:
            self._watch_service(service)
            self._watched_services.add(service)
        timeout_ms = profile.timeout_ms
        deadline_header = request.header_map.get(DEADLINE_MS, '')
        if deadline_header.isdecimal() and len(deadline_header) < 10:
            timeout_ms = min(timeout_ms, int(deadline_header))
        deadline_at_ms = min(
            self._now_ms() + timeout_ms, parent.deadline_at_ms
        )
        request.deadline_at_ms = deadline_at_ms
        return Call(
            request_id=parent.request_id,
            service=service,
            profile=profile.name,
            organisation=parent.organisation,
            importance=parent.importance,
            deadline_at_ms=deadline_at_ms,
            allowance=parent.allowance,
            depth=parent.depth + 1,
            method=request.method,
            target=request.target,
            headers=end_to_end_headers(request.headers),
            body=body_from_request(request, self._settings.max_body_bytes),
            idempotent=profile.idempotent,
            answered_before=running.answered_onward,
            level=parent.level,
            begins_chain=running.begins_chain_to(service),
        )

    def _charge_retry(self, running, digest):
        """Count a call that repeats a failed one as a retry of the chain."""
        if digest not in running.failed_onward:
            return
        if running.call.allowance.spend() and self._retry_budget.try_spend():
            return
        raise _no_retries_left_error()


def _no_retries_left_error():
    error = Overloaded(
        'the call chain has no retries left',
        'answer the call with an error instead of repeating this one',
    )
    error.may_retry = False
    return error


def _request_digest(call):
    text = f'{call.method} {call.target}\n'.encode('latin-1')
    return hashlib.sha256(text + (call.body.data or b'')).digest()


@contextmanager
def _tracked_child(running, call, request):
    """Cancel this greenlet when its parent ends or its caller disconnects."""
    greenlet = gevent.getcurrent()
    running.children.add(greenlet)
    try:
        with request.disconnect_watcher.watching(call.body, always_cancel):
            yield
    finally:
        running.children.discard(greenlet)
