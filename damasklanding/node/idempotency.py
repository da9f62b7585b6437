"""
damasklanding.node.idempotency
~~~~~~~~~~~~~~~~~~~~~~~

Runs a request that carries an idempotency key at most once: claims the key
before the request is sent and records the outcome afterwards.
"""

from contextlib import contextmanager
import hashlib

from damasklanding.errors import AlreadyRunning
from damasklanding.errors import BadInput
from damasklanding.errors import ClaimUnknown
from damasklanding.errors import DamasklandingError
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import KeyReused
from damasklanding.errors import Unavailable
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import RAN
from damasklanding.node.answers import UNKNOWN
from damasklanding.node.answers import Answer

__all__ = ['IdempotencyClaims', 'fingerprint']

MAX_KEY_CHARS = 200
RUNNING_RETRY_AFTER_MS = 1_000


def fingerprint(call):
    """Return a digest that tells different requests of one key apart."""
    digest = hashlib.sha256(f'{call.method} {call.target}\n'.encode('latin-1'))
    digest.update(call.body.data or b'%d' % (call.body.length or 0))
    return digest.digest()


class IdempotencyClaims:
    """
    Claims idempotency keys and records the outcomes of their requests.

    :param claims: :class:`~damasklanding.claims.client.ClaimClient`.
    """

    def __init__(self, claims, now_ms):
        self._claims = claims
        self._now_ms = now_ms

    def claim(self, call, key, profile):
        """
        Claim the key for a request, or return the answer to the first one.

        :return: the granted
            :class:`~damasklanding.claims.commands.ClaimReply` and None, or
            None and the stored answer.
        :raises AlreadyRunning: the first request with this key has no outcome
            yet.
        :raises ClaimUnknown: the outcome of the first request is not known,
            or its answer was not stored.
        :raises KeyReused: the key was used for a different request before.
        :raises Unavailable: the claim could not be decided; the request has
            not run.
        """
        if not 0 < len(key) <= MAX_KEY_CHARS:
            raise BadInput(
                'the idempotency key is empty or too long',
                f'send 1 to {MAX_KEY_CHARS} characters',
            )
        left_ms = int(call.deadline_at_ms - self._now_ms())
        reply = self._claims.claim(
            call.organisation,
            key,
            fingerprint(call),
            profile.claim_retention_ms,
            max(left_ms, 0),
        )
        if reply.verdict != 'granted':
            return None, _kept_answer(reply)
        call.claimed = True
        call.before_send = self._with_expiry_check(
            reply.valid_until_ms, call.before_send
        )
        return reply, None

    def _with_expiry_check(self, valid_until_ms, before_send):
        def checked_before_send():
            if self._now_ms() >= valid_until_ms:
                raise DeadlineExceeded('the claim has expired')
            before_send()

        return checked_before_send

    @contextmanager
    def recorded_outcome(self, call, key, attempt):
        """
        Record the outcome of a claimed request at the end of the block.

        :return: context manager that yields a function; the block calls it
            with the answer.
        """
        answers = []
        try:
            yield answers.append
        except DamasklandingError as error:
            outcome = NOT_RUN if call.certainly_not_run() else error.outcome
            self._settle(call, key, attempt, outcome, None)
            raise
        except BaseException:
            outcome = NOT_RUN if call.certainly_not_run() else UNKNOWN
            self._settle(call, key, attempt, outcome, None)
            raise
        answer = answers[-1] if answers else None
        outcome = answer.outcome if answer else UNKNOWN
        self._settle(call, key, attempt, outcome, answer)

    def _settle(self, call, key, attempt, outcome, answer):
        status, headers, body = 0, (), None
        if answer is not None and answer.parts is None and outcome == RAN:
            status, headers, body = answer.status, answer.headers, answer.body
        self._claims.settle(
            call.organisation, key, attempt, outcome, status, headers, body
        )


def _kept_answer(reply):
    if reply.verdict == 'mismatch':
        raise KeyReused(
            'the idempotency key was used for a different request before'
        )
    if reply.verdict == 'running':
        raise AlreadyRunning(
            'the first request with this idempotency key is still running',
            retry_after_ms=RUNNING_RETRY_AFTER_MS,
        )
    if reply.verdict != 'settled':
        raise Unavailable('the claim could not be decided')
    if not reply.kept:
        error = ClaimUnknown(
            'the outcome of the first request with this idempotency key is '
            f'{reply.outcome}, and no answer was stored'
        )
        error.outcome = reply.outcome or UNKNOWN
        raise error
    return Answer(
        reply.status, list(reply.headers), reply.body, outcome=reply.outcome
    )
