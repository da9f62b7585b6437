"""
damasklanding.node.egress
~~~~~~~~~~~~~~~~~~~~~~~~~

The loopback listener for the backend server beside this node: onward calls
within the context of a call that runs there, and announcements.
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
    The application behind the egress listener.

    :param table: :class:`~damasklanding.node.calls.CallTable`.
    :param forwarder: :class:`~damasklanding.node.forward.Forwarder`.
    :param budget: :class:`~damasklanding.policy.retry.RetryBudget`.
    :param on_announce: called with each
        :class:`~damasklanding.node.registration.Announcement`.
    """

    def __init__(
        self,
        settings,
        view,
        table,
        forwarder,
        budget,
        ensure_service,
        on_announce,
    ):
        self._settings = settings
        self._view = view
        self._table = table
        self._forwarder = forwarder
        self._budget = budget
        self._ensure_service = ensure_service
        self._on_announce = on_announce
        self._now_ms = view.now_ms
        self._wanted = set()

    def application(self, environ, start_response):
        """Answer one request; a WSGI application."""
        request = environ['damasklanding.request']
        try:
            answer = self._answer(request)
        except DamasklandingError as error:
            answer = answer_from_error(error)
        pairs = answer.header_pairs()
        pairs.append((MAY_RETRY, str(answer.may_retry).lower()))
        pairs.append((RETRIES_LEFT, str(answer.retries_left)))
        start_response(status_line(answer.status), pairs)
        if answer.parts is None:
            return (answer.body,)
        return stream_body(answer)

    def _answer(self, request):
        if request.path == ANNOUNCE_PATH and request.method == 'POST':
            return self._announce(request)
        try:
            running = self._table.find(request.header_map.get(CONTEXT, ''))
            call = self._call(request, running.call)
            digest = _digest(call)
            self._check_repeat(running, digest)
        except DamasklandingError as error:
            error.outcome = NOT_RUN
            raise
        with _child(running, call, request):
            return self._forward(call, running, digest)

    def _forward(self, call, running, digest):
        try:
            with running.slot.downstream_call():
                answer = self._forwarder.forward(call)
        except DamasklandingError as error:
            if call.certainly_not_run():
                error.outcome = NOT_RUN
            running.record_failure(digest, error.may_retry)
            error.retries_left = call.allowance.left
            raise
        if answer.status >= 500:
            running.record_failure(digest, answer.may_retry)
        answer.retries_left = call.allowance.left
        return answer

    def _announce(self, request):
        if request.length is None or request.length > MAX_ANNOUNCE_BYTES:
            raise TooLarge('an announcement of that size')
        self._on_announce(parse_announcement(request.read(request.length)))
        return Answer(204, [])

    def _call(self, request, parent):
        service, _, profile = self._view.route(
            request.method, request.path, internal_allowed=True
        )
        self._view.require_fresh(self._settings.fresh_limit_ms)
        if parent.depth >= MAX_DEPTH:
            raise Forbidden(
                f'the call chain is more than {MAX_DEPTH} deep',
                'look for services that call each other in a circle',
            )
        if service not in self._wanted:
            self._ensure_service(service)
            self._wanted.add(service)
        timeout_ms = profile.timeout_ms
        asked = request.header_map.get(DEADLINE_MS, '')
        if asked.isdecimal() and len(asked) < 10:
            timeout_ms = min(timeout_ms, int(asked))
        deadline_at_ms = self._now_ms() + timeout_ms
        return Call(
            request_id=parent.request_id,
            service=service,
            profile=profile.name,
            organisation=parent.organisation,
            importance=parent.importance,
            deadline_at_ms=min(deadline_at_ms, parent.deadline_at_ms),
            allowance=parent.allowance,
            depth=parent.depth + 1,
            method=request.method,
            target=request.target,
            headers=end_to_end_headers(request.headers),
            body=body_from_request(request, self._settings.max_body_bytes),
            idempotent=profile.idempotent,
        )

    def _check_repeat(self, running, digest):
        """Charge the backend server's own retry to the chain."""
        if digest not in running.failed_onward:
            return
        if running.call.allowance.spend() and self._budget.try_spend():
            return
        raise _exhausted()


def _exhausted():
    error = Overloaded(
        'the call chain has no retries left',
        'answer the call with an error instead of repeating this one',
    )
    error.may_retry = False
    return error


def _digest(call):
    text = f'{call.method} {call.target}\n'.encode('latin-1')
    return hashlib.sha256(text + (call.body.data or b'')).digest()


@contextmanager
def _child(running, call, request):
    """End this greenlet's call when its parent or its caller ends."""
    greenlet = gevent.getcurrent()
    running.children.add(greenlet)
    try:
        with request.disconnect_watcher.watching(call.body, always_cancel):
            yield
    finally:
        running.children.discard(greenlet)
