"""
damasklanding.node.peerserver
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Serves calls that other nodes send for the backend server beside this one.
"""

import gevent

from damasklanding.errors import DamasklandingError
from damasklanding.errors import LinkClosed
from damasklanding.errors import Unavailable
from damasklanding.errors import UpstreamFailed
from damasklanding.errors import UpstreamTimeout
from damasklanding.exchange import ExchangeCancelled
from damasklanding.exchange import problem_from_error
from damasklanding.messages import CallAnswer
from damasklanding.messages import CallRequest
from damasklanding.messages import Resume
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.bodies import WINDOW_BYTES
from damasklanding.node.bodies import Body
from damasklanding.node.bodies import receive_parts
from damasklanding.node.bodies import send_parts
from damasklanding.node.calls import Call
from damasklanding.node.calls import RetryAllowance
from damasklanding.node.served_calls import ServedCalls

__all__ = ['PeerServer']

ORPHAN_MS = 2_000  # a sender that has not asked again by then is gone


class PeerServer:
    """
    Serves calls from other nodes.

    :param local: :class:`~damasklanding.node.local_backend.LocalBackend`.
    :param load: function that returns this node's encoded
        :class:`~damasklanding.policy.types.LoadReport`.
    :param intake: :class:`~damasklanding.intake.Intake`.
    """

    def __init__(self, local, load, now_ms, intake):
        self._intake = intake
        self._local_backend = local
        self._load = load
        self._now_ms = now_ms
        self._served = ServedCalls(now_ms)

    def handlers(self):
        """Return the link handlers by message class."""
        return {CallRequest: self.serve, Resume: self.resume}

    def serve(self, exchange, message):
        """Serve one call; sends the answer or returns the problem."""
        call = self._call(exchange, message)
        size = WINDOW_BYTES if message.body_follows else len(message.body)
        try:
            self._intake.make_room(size)
        except Unavailable as error:
            return self._problem(error, call)
        try:
            return self._serve_call(exchange, message, call)
        finally:
            self._intake.give_back(size)

    def _serve_call(self, exchange, message, call):
        if message.body_follows:
            return self._serve(exchange, call, _keep_nothing)
        key = (exchange.link.peer.instance, message.serial)
        greenlet = gevent.getcurrent()
        try:
            served = self._served.begin(key, call.deadline_at_ms, greenlet)
        except DamasklandingError as error:
            return self._problem(error, call)
        call.before_send = self._surviving(
            exchange, served, message.idempotent
        )
        try:
            return self._serve(exchange, call, _keeping(served))
        except ExchangeCancelled:
            if not call.maybe_sent:
                served.reply = problem_from_error(_left_queue())
            raise
        finally:
            reply = served.reply
            served.reply = None
            self._served.end(
                served, reply, _size_of(reply), message.idempotent
            )

    def resume(self, exchange, message):
        """Return what became of a call that came over another link."""
        deadline_at_ms = self._now_ms() + message.deadline_ms
        key = (exchange.link.peer.instance, message.serial)
        served = self._served.resume(key, deadline_at_ms)
        served.resumed = True
        try:
            ended = served.wait(message.deadline_ms)
        except ExchangeCancelled:
            served.kill(ExchangeCancelled)
            raise
        if not ended:
            raise UpstreamTimeout('the request still runs')
        if served.reply is None:
            raise UpstreamFailed('the answer to the request was not kept')
        return served.reply

    def _surviving(self, exchange, served, repeatable):
        """Return a guard after which a broken link does not end a call."""

        def abandon():
            if not served.resumed:
                served.kill(ExchangeCancelled)

        def on_link_closed():
            # A call that must not repeat runs on: cut, it would be unknown.
            if repeatable:
                gevent.spawn_later(ORPHAN_MS / 1000, abandon)

        def before_send():
            exchange.mark_started()
            exchange.on_link_closed = on_link_closed

        return before_send

    def _serve(self, exchange, call, keep):
        try:
            answer = self._local_backend.serve(call)
        except DamasklandingError as error:
            problem = self._problem(error, call)
            keep(problem)
            return problem
        try:
            return self._send(exchange, call, answer, keep)
        finally:
            answer.close()

    def _send(self, exchange, call, answer, keep):
        message = self._message(answer, call)
        if answer.parts is None:
            keep(message)
            return message
        try:
            exchange.send(message)
            send_parts(
                exchange, answer.parts, call.deadline_at_ms, self._now_ms
            )
        except LinkClosed:
            return None
        except DamasklandingError as error:
            return self._problem(error, call)
        return None

    def _call(self, exchange, message):
        delay_ms = exchange.link.excess_delay_ms(message.sent_ms)
        deadline_at_ms = self._now_ms() + message.deadline_ms - delay_ms
        body = Body(message.body)
        if message.body_follows:
            length = message.body_length
            parts = receive_parts(exchange, deadline_at_ms, self._now_ms)
            body = Body(None, parts, None if length < 0 else length)
        return Call(
            request_id=message.request_id,
            service=message.service,
            profile=message.profile,
            organisation=message.organisation,
            importance=message.importance,
            deadline_at_ms=deadline_at_ms,
            allowance=RetryAllowance(message.retries_left),
            depth=message.depth,
            method=message.method,
            target=message.path,
            headers=message.headers,
            body=body,
            idempotent=message.idempotent,
            attempt=message.attempt,
            before_send=exchange.mark_started,
            answered_before=message.answered_before,
            level=message.level,
            begins_chain=message.begins_chain,
        )

    def _message(self, answer, call):
        return CallAnswer(
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            body_follows=answer.parts is not None,
            body_length=-1 if answer.length is None else answer.length,
            retries_left=call.allowance.left,
            may_retry=answer.may_retry,
            outcome=answer.outcome,
            retry_after_ms=answer.retry_after_ms,
            load=self._load(),
            missing_services=tuple(answer.missing_services),
            bottleneck=answer.bottleneck,
            leaving_services=tuple(answer.leaving_services),
        )

    def _problem(self, error, call):
        if not call.maybe_sent:
            error.outcome = NOT_RUN
        error.retries_left = call.allowance.left
        problem = problem_from_error(error)
        problem.load = self._load()
        return problem


def _keep_nothing(_reply):
    return None


def _keeping(served):
    """Return a function that keeps the reply to a call."""

    def keep(reply):
        served.reply = reply

    return keep


def _left_queue():
    error = Unavailable('the connection broke before the request was run')
    error.outcome = NOT_RUN
    return error


def _size_of(reply):
    return len(getattr(reply, 'body', b''))
