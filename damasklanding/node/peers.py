"""
damasklanding.node.peers
~~~~~~~~~~~~~~~~~~~~~~~~

The hop between two nodes: sending a call to the node beside a backend
server, and serving calls that other nodes send.
"""

from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import LinkClosed
from damasklanding.errors import LinkTimeout
from damasklanding.errors import PeerLost
from damasklanding.errors import Unavailable
from damasklanding.errors import UpstreamFailed
from damasklanding.errors import UpstreamTimeout
from damasklanding.link import problem_from_error
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import Answer
from damasklanding.node.bodies import Body
from damasklanding.node.bodies import receive_parts
from damasklanding.node.bodies import send_parts
from damasklanding.node.calls import Allowance
from damasklanding.node.calls import Call
from damasklanding.policy.work import encode_load
from damasklanding.wire import CallAnswer
from damasklanding.wire import CallRequest

__all__ = ['PeerCaller', 'PeerServer']

ANSWER_GRACE_MS = 25  # lets a refusal at the deadline arrive
PROVE_AFTER_MS = 100  # silence after which a link proves itself first
PROVE_REPEATABLE_AFTER_MS = 400
PROVE_TIMEOUT_MS = 150
MAX_DEADLINE_MS = 0xFFFFFFFF


class PeerCaller:
    """
    Sends calls to other nodes.

    :param pool: :class:`~damasklanding.links.LinkPool`.
    """

    def __init__(self, pool, now_ms):
        self._pool = pool
        self._now_ms = now_ms

    def call(self, address, call, retries):
        """
        Send a call and return the answer.

        The exchange stays open until a streamed answer is closed.

        :param address: peer listener of the node.
        :param call: :class:`~damasklanding.node.calls.Call`.
        :param retries: allowance that travels with it.
        :return: :class:`~damasklanding.node.answers.Answer`.
        :raises Unavailable: no connection; not run.
        :raises UpstreamFailed: the connection broke after it was sent.
        :raises DamasklandingError: what the other node reported.
        """
        link = self._proven_link(address, call)
        request = self._request(call, link, retries)
        exchange = link.open_exchange()
        try:
            exchange.send(request)
            call.handed = True
            call.exchange = exchange
            answer = self._answer(exchange, call)
        except DamasklandingError as error:
            _end(exchange, error)
            raise _judged(error, call) from error
        except BaseException:
            exchange.cancel()
            raise
        finally:
            call.exchange = None
        if answer.parts is None:
            exchange.close()
        else:
            answer.release = exchange.cancel
        return answer

    def _proven_link(self, address, call):
        try:
            link = self._pool.get(address)
            limit_ms = PROVE_REPEATABLE_AFTER_MS
            if not call.idempotent:
                limit_ms = PROVE_AFTER_MS
            if link.silent_ms() > limit_ms:
                link = self._prove(link, address)
        except DamasklandingError as error:
            error.outcome = NOT_RUN
            error.may_retry = True
            raise
        if call.guard is not None:
            call.guard()
        return link

    def _prove(self, link, address):
        try:
            link.prove(PROVE_TIMEOUT_MS)
        except (LinkClosed, LinkTimeout):
            self._pool.replace(address, link)
            return self._pool.get(address)
        return link

    def _request(self, call, link, retries):
        left_ms = call.deadline_at_ms - self._now_ms()
        if left_ms <= 0:
            raise DeadlineExceeded('no time was left to send it to a node')
        data = call.body.data
        return CallRequest(
            request_id=call.request_id,
            service=call.service,
            profile=call.profile,
            organisation=call.organisation,
            importance=call.importance,
            deadline_ms=min(int(left_ms), MAX_DEADLINE_MS),
            sent_ms=int(link.age_ms()),
            retries_left=retries,
            depth=call.depth,
            method=call.method,
            path=call.target,
            headers=call.headers,
            body=data or b'',
            body_follows=data is None,
            body_length=-1 if call.body.length is None else call.body.length,
            idempotent=call.idempotent,
            attempt=call.attempt,
        )

    def _answer(self, exchange, call):
        if call.body.data is None:
            parts = call.body.parts()
            send_parts(exchange, parts, call.deadline_at_ms, self._now_ms)
        left_ms = call.deadline_at_ms - self._now_ms()
        message = exchange.receive(left_ms + ANSWER_GRACE_MS)
        if type(message) is not CallAnswer:
            raise BadInput('a peer sent something else than an answer')
        answer = Answer(
            message.status,
            message.headers,
            message.body,
            outcome=message.outcome,
            may_retry=message.may_retry,
            retries_left=message.retries_left,
            retry_after_ms=message.retry_after_ms,
            load=message.load,
        )
        if message.body_follows:
            length = message.body_length
            answer.length = None if length < 0 else length
            parts = receive_parts(exchange, call.deadline_at_ms, self._now_ms)
            answer.parts = _counted(parts, exchange, answer.length)
        return answer


def _end(exchange, error):
    if getattr(error, 'reply', None) is None:
        exchange.cancel()
    else:
        exchange.close()


def _counted(parts, exchange, length):
    size = 0
    try:
        for part in parts:
            size += len(part)
            yield part
    except DamasklandingError as error:
        _end(exchange, error)
        raise
    exchange.close()
    if length is not None and size != length:
        raise UpstreamFailed('the body was cut short between nodes')


def _judged(error, call):
    """Return the error of an attempt with a truthful outcome."""
    if getattr(error, 'reply', None) is not None:
        if error.outcome == NOT_RUN:
            call.handed = False
        return error
    if not call.handed:
        return error
    if isinstance(error, LinkTimeout):
        return UpstreamTimeout('the node did not answer in time')
    if isinstance(error, (LinkClosed, BadInput)):
        return PeerLost('the connection to the node broke')
    return error


class PeerServer:
    """
    Serves calls from other nodes.

    :param local: :class:`~damasklanding.node.local.Local`.
    :param load: function that returns this node's
        :class:`~damasklanding.policy.work.LoadReport`.
    """

    def __init__(self, local, load, now_ms):
        self._local = local
        self._load = load
        self._now_ms = now_ms

    def handlers(self):
        """Return the link handlers by message class."""
        return {CallRequest: self.serve}

    def serve(self, exchange, message):
        """Serve one call; sends the answer or returns the problem."""
        call = self._call(exchange, message)
        try:
            self._serve(exchange, call)
        except Unavailable as error:
            if type(error) is LinkClosed:
                return None
            return self._problem(error, call)
        except DamasklandingError as error:
            return self._problem(error, call)
        return None

    def _serve(self, exchange, call):
        answer = self._local.serve(call)
        try:
            exchange.send(self._message(answer, call))
            if answer.parts is not None:
                send_parts(
                    exchange, answer.parts, call.deadline_at_ms, self._now_ms
                )
        finally:
            answer.close()

    def _call(self, exchange, message):
        delay_ms = exchange.link.delay_ms(message.sent_ms)
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
            allowance=Allowance(message.retries_left),
            depth=message.depth,
            method=message.method,
            target=message.path,
            headers=message.headers,
            body=body,
            idempotent=message.idempotent,
            attempt=message.attempt,
            guard=exchange.start,
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
            load=encode_load(self._load()),
        )

    def _problem(self, error, call):
        if not call.handed:
            error.outcome = NOT_RUN
        error.retries_left = call.allowance.left
        problem = problem_from_error(error)
        problem.load = encode_load(self._load())
        return problem
