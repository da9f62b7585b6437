"""
damasklanding.node.peers
~~~~~~~~~~~~~~~~~~~~~~~~

Sends calls to the nodes beside other backend servers.
"""

import gevent

from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import LinkClosed
from damasklanding.errors import LinkTimeout
from damasklanding.errors import PeerLost
from damasklanding.errors import UpstreamFailed
from damasklanding.errors import UpstreamTimeout
from damasklanding.messages import CallAnswer
from damasklanding.messages import CallRequest
from damasklanding.messages import Resume
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import Answer
from damasklanding.node.bodies import receive_parts
from damasklanding.node.bodies import send_parts

__all__ = ['PeerCaller']

ANSWER_GRACE_MS = 25  # lets a refusal at the deadline arrive
PROVE_AFTER_MS = 100  # silence after which a link proves itself first
PROVE_REPEATABLE_AFTER_MS = 400
PROVE_TIMEOUT_MS = 150
OPEN_LIMIT_MS = 500
RESUME_LIMIT_MS = 3_000
RESUME_PAUSE_MS = 50
MAX_DEADLINE_MS = 0xFFFFFFFF


class PeerCaller:
    """
    Sends calls to other nodes.

    :param pool: :class:`~damasklanding.linkpool.LinkPool`.
    """

    def __init__(self, pool, now_ms):
        self._pool = pool
        self._now_ms = now_ms
        self._serial = 0

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
            # If this raises, no byte of the request has left.
            exchange.send(request, call.deadline_at_ms - self._now_ms())
            call.maybe_sent = True
            call.exchange = exchange
            answer = self._answer(exchange, call)
        except LinkClosed as error:
            exchange.close()
            call.exchange = None
            return self._resume(address, call, link, request.serial, error)
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
            link = self._pool.peek(address) or self._open(address)
            limit_ms = PROVE_REPEATABLE_AFTER_MS
            if not call.idempotent:
                limit_ms = PROVE_AFTER_MS
            if link.silent_ms() > limit_ms:
                link = self._prove(link, address)
        except DamasklandingError as error:
            error.outcome = NOT_RUN
            error.may_retry = True
            raise
        if call.before_send is not None:
            call.before_send()
        return link

    def _open(self, address):
        # A process that stands still accepts connections but no handshake.
        error = LinkTimeout(f'{address} opened no link in time')
        with gevent.Timeout(OPEN_LIMIT_MS / 1000, error):
            return self._pool.get(address)

    def _prove(self, link, address):
        try:
            link.check_alive(PROVE_TIMEOUT_MS)
        except (LinkClosed, LinkTimeout):
            self._pool.drain(address, link)
            return self._open(address)
        return link

    def _request(self, call, link, retries):
        left_ms = call.deadline_at_ms - self._now_ms()
        if left_ms <= 0:
            raise DeadlineExceeded('no time was left to send it to a node')
        data = call.body.data
        self._serial += 1
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
            serial=self._serial,
            answered_before=call.answered_before,
            level=call.level,
            begins_chain=call.begins_chain,
        )

    def _answer(self, exchange, call):
        if call.body.data is None:
            parts = call.body.parts()
            send_parts(exchange, parts, call.deadline_at_ms, self._now_ms)
        message = self._receive(exchange, call)
        if type(message) is not CallAnswer:
            raise BadInput('a peer sent something else than an answer')
        answer = _answer_of(message)
        if message.body_follows:
            length = message.body_length
            answer.length = None if length < 0 else length
            parts = receive_parts(exchange, call.deadline_at_ms, self._now_ms)
            answer.parts = _counted(parts, exchange, answer.length)
        return answer

    def _receive(self, exchange, call):
        left_ms = call.deadline_at_ms - self._now_ms()
        return exchange.receive(left_ms + ANSWER_GRACE_MS)

    def _resume(self, address, call, broken, serial, error):
        """Ask over a new connection what became of a call."""
        if call.body.data is None or not call.maybe_sent:
            raise _judged(error, call) from error
        until_ms = min(call.deadline_at_ms, self._now_ms() + RESUME_LIMIT_MS)
        while self._now_ms() < until_ms:
            message = self._ask(address, call, broken, serial)
            if message is not None:
                return _answer_of(message)
            if call.idempotent:
                break  # another attempt elsewhere is quicker
            gevent.sleep(RESUME_PAUSE_MS / 1000)
        raise _judged(error, call) from error

    def _ask(self, address, call, broken, serial):
        """Return the answer, None where the connection failed again."""
        try:
            link = self._pool.peek(address) or self._open(address)
            if link.peer.instance != broken.peer.instance:
                raise UpstreamFailed('the node restarted under the request')
            left_ms = call.deadline_at_ms - self._now_ms()
            request = Resume(serial, max(int(left_ms), 0))
            with link.exchange(request) as exchange:
                return self._receive(exchange, call)
        except (LinkClosed, LinkTimeout) as error:
            if getattr(error, 'reply', None) is not None:
                raise
            return None
        except DamasklandingError as error:
            raise _judged(error, call) from error


def _answer_of(message):
    return Answer(
        message.status,
        message.headers,
        message.body,
        outcome=message.outcome,
        may_retry=message.may_retry,
        retries_left=message.retries_left,
        retry_after_ms=message.retry_after_ms,
        load=message.load,
        missing_services=message.missing_services,
        leaving_services=message.leaving_services,
        bottleneck=message.bottleneck,
    )


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
            call.maybe_sent = False
        return error
    if not call.maybe_sent:
        error.outcome = NOT_RUN
        return error
    if isinstance(error, LinkTimeout):
        return UpstreamTimeout('the node did not answer in time')
    if isinstance(error, (LinkClosed, BadInput)):
        return PeerLost('the connection to the node broke')
    return error
