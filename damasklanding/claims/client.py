"""
damasklanding.claims.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the claims log, which the control hosts replicate.  An entry node
claims a request with an idempotency key before it runs it.
"""

import hashlib
import os

import gevent
import msgspec

from damasklanding.claims.commands import CLAIMS_GROUP
from damasklanding.claims.commands import DIGEST_BYTES
from damasklanding.claims.commands import MAX_ANSWER_BODY_BYTES
from damasklanding.claims.commands import ClaimRequest
from damasklanding.claims.commands import SettleRequest
from damasklanding.claims.commands import claim_digest
from damasklanding.claims.commands import decode_reply
from damasklanding.claims.commands import encode
from damasklanding.errors import DamasklandingError
from damasklanding.errors import Overloaded
from damasklanding.errors import Unavailable

__all__ = ['ClaimClient']

MIN_CLAIM_TIMEOUT_MS = 1_000
MAX_CLAIM_TIMEOUT_MS = 4_000  # covers a leader election
MIN_POLL_INTERVAL_MS = 25
MAX_POLL_INTERVAL_MS = 400
SETTLE_TIMEOUT_MS = 1_000
MIN_SETTLE_RETRY_MS = 50
MAX_SETTLE_RETRY_MS = 2_000
SETTLE_GIVE_UP_MS = 60_000
MAX_PENDING_SETTLES = 2_000
MAX_PENDING_BODY_BYTES = 8 * 1024 * 1024
CLAIM_VALIDITY_RATIO = 0.9  # part of the retention for which a claim is valid


class ClaimClient:
    """
    Claims requests and settles the claims for one entry node.

    :param control: has ``propose(group, payload, timeout_ms)``.
    :param now_ms: monotonic clock.
    :param groups: names of the claims logs; the key selects one of them.
    :param spawn: starts a function in the background.
    :param sleep: pauses for a number of seconds.
    """

    def __init__(
        self,
        control,
        now_ms,
        metrics,
        groups=(CLAIMS_GROUP,),
        spawn=gevent.spawn,
        sleep=gevent.sleep,
    ):
        self._control = control
        self._now_ms = now_ms
        self._metrics = metrics
        self._groups = groups
        self._spawn = spawn
        self._sleep = sleep
        self._pending_settles = 0
        self._pending_body_bytes = 0

    def claim(self, organisation, key, fingerprint, retention_ms, wait_ms):
        """
        Claim a request under its idempotency key.

        If another attempt may be running, wait for its outcome.

        :param key: the caller's idempotency key.
        :param fingerprint: digest of method, path and body, bytes.
        :param retention_ms: least time for which the key is kept.
        :param wait_ms: longest wait for another attempt's outcome.
        :return: :class:`damasklanding.claims.commands.ClaimReply` with the
            verdict ``granted``, ``settled``, ``running`` or ``mismatch``.
        :raises Unavailable: no quorum answered; the request must not run,
            and its outcome is ``not-run``.
        :raises Overloaded: the log has no room for another claim; the
            outcome is ``not-run`` too.
        """
        digest = claim_digest(organisation, key)
        request = ClaimRequest(
            organisation=organisation,
            key=digest,
            attempt=os.urandom(DIGEST_BYTES),
            fingerprint=hashlib.blake2b(
                fingerprint, digest_size=DIGEST_BYTES
            ).digest(),
            retention_ms=retention_ms,
        )
        try:
            reply = self._claim_or_wait(request, wait_ms)
        except BaseException:
            # The claim may have been granted or be granted later, but no
            # attempt will use it.
            self._release(request)
            raise
        self._metrics.add('claims_total', reply.verdict)
        if reply.verdict == 'full':
            raise _as_not_run(Overloaded('there is no room for another claim'))
        return reply

    def settle(
        self,
        organisation,
        key,
        attempt,
        outcome,
        status=0,
        headers=(),
        body=None,
    ):
        """
        Record the outcome of a granted claim, in the background.

        :param attempt: attempt in the reply that granted the claim.
        :param outcome: ``ran``, ``not-run`` (the key is free again) or
            ``unknown`` (final).
        :param headers: alternating names and values.
        :param body: the whole body, None if it is not available.
        """
        kept = body is not None and self._has_room_for_body(len(body))
        request = SettleRequest(
            organisation=organisation,
            key=claim_digest(organisation, key),
            attempt=attempt,
            outcome=outcome,
            kept=kept,
            status=status if kept else 0,
            headers=tuple(headers) if kept else (),
            body=body if kept else b'',
        )
        self._settle_in_background(request)

    def _has_room_for_body(self, size):
        return (
            size <= MAX_ANSWER_BODY_BYTES
            and self._pending_body_bytes + size <= MAX_PENDING_BODY_BYTES
        )

    def _claim_or_wait(self, request, wait_ms):
        payload = encode(request)
        deadline_ms = self._now_ms() + wait_ms
        pause_ms = MIN_POLL_INTERVAL_MS
        while True:
            sent_ms = self._now_ms()
            limit_ms = max(MIN_CLAIM_TIMEOUT_MS, deadline_ms - sent_ms)
            reply = self._propose(
                request.key, payload, min(MAX_CLAIM_TIMEOUT_MS, limit_ms)
            )
            if reply.verdict == 'granted':
                reply.valid_until_ms = (
                    sent_ms + request.retention_ms * CLAIM_VALIDITY_RATIO
                )
            if reply.verdict != 'running':
                return reply
            left_ms = deadline_ms - self._now_ms()
            if left_ms <= 0:
                return reply
            self._sleep(min(pause_ms, left_ms) / 1000)
            pause_ms = min(pause_ms * 2, MAX_POLL_INTERVAL_MS)

    def _propose(self, key, payload, timeout_ms):
        group = self._groups[key[0] % len(self._groups)]
        try:
            data = self._control.propose(group, payload, timeout_ms)
            reply = decode_reply(data)
        except (DamasklandingError, msgspec.MsgspecError) as error:
            self._metrics.add('claims_total', 'unreachable')
            raise _as_not_run(
                Unavailable(
                    f'the claim could not be decided ({error})',
                    'send it again with the same idempotency key',
                    retry_after_ms=1_000,
                )
            ) from error
        if reply.verdict in ('malformed', 'released'):
            raise _as_not_run(Unavailable(f'the claim was {reply.verdict}'))
        return reply

    def _release(self, request):
        self._settle_in_background(
            SettleRequest(
                organisation=request.organisation,
                key=request.key,
                attempt=request.attempt,
                outcome='not-run',
            )
        )

    def _settle_in_background(self, request):
        if self._pending_settles >= MAX_PENDING_SETTLES:
            self._metrics.add('claims_total', 'unsettled')
            return
        self._pending_settles += 1
        self._pending_body_bytes += len(request.body)
        self._spawn(self._settle, request)

    def _settle(self, request):
        try:
            settled = self._settle_with_retries(request)
        finally:
            self._pending_settles -= 1
            self._pending_body_bytes -= len(request.body)
        verdict = request.outcome if settled else 'unsettled'
        self._metrics.add('claims_total', verdict)

    def _settle_with_retries(self, request):
        payload = encode(request)
        give_up_ms = self._now_ms() + SETTLE_GIVE_UP_MS
        pause_ms = MIN_SETTLE_RETRY_MS
        group = self._groups[request.key[0] % len(self._groups)]
        while True:
            try:
                self._control.propose(group, payload, SETTLE_TIMEOUT_MS)
                return True
            except DamasklandingError:
                if self._now_ms() >= give_up_ms:
                    return False
            self._sleep(pause_ms / 1000)
            pause_ms = min(pause_ms * 2, MAX_SETTLE_RETRY_MS)


def _as_not_run(error):
    error.outcome = 'not-run'
    return error
