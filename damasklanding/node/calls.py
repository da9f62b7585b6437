"""
damasklanding.node.calls
~~~~~~~~~~~~~~~~~~~~~~~~

A call to a backend server, and the table of calls that are running at the
local backend server.
"""

from dataclasses import dataclass
import os

import gevent

from damasklanding.errors import Forbidden
from damasklanding.policy.chainadmission import NO_BOTTLENECK
from damasklanding.policy.chainadmission import narrower
from damasklanding.policy.levels import UNKNOWN_LEVEL
from damasklanding.policy.levels import rank_of

__all__ = [
    'RetryAllowance',
    'Call',
    'CallTable',
    'ParentEnded',
    'RunningCall',
    'random_token',
]

TOKEN_BYTES = 12


class ParentEnded(gevent.GreenletExit):
    """Raised in an onward call when its parent call ends or is cancelled."""


class RetryAllowance:
    """
    The retries that a call chain may still make.

    Retries are lent to an attempt and the unspent ones are returned after it,
    so that concurrent attempts never spend the same retry twice.  If there
    are two or more, one is kept back: the lent ones are lost when the
    connection of the attempt breaks.

    :ivar left: number of retries left, without those lent.
    """

    __slots__ = ('left',)

    def __init__(self, left):
        self.left = left

    def lend(self):
        """Lend all retries to an attempt, but keep one of two or more."""
        kept = 1 if self.left > 1 else 0
        lent = self.left - kept
        self.left = kept
        return lent

    def give_back(self, unspent, lent):
        """Take back the unspent retries of those lent to an attempt."""
        self.left += max(0, min(unspent, lent))

    def spend(self):
        """Spend one retry; return False if none is left."""
        if self.left < 1:
            return False
        self.left -= 1
        return True


@dataclass(slots=True)
class Call:
    """
    A request that is forwarded to a backend server.

    :ivar request_id: id of the request.
    :ivar deadline_at_ms: deadline on the local monotonic clock.
    :ivar allowance: :class:`RetryAllowance`, shared along the call chain.
    :ivar depth: number of calls above this one in its chain.
    :ivar answered_before: number of earlier calls of the same parent that
        were answered.
    :ivar level: the same for all calls of a chain, see
        :func:`~damasklanding.policy.levels.level_of`.
    :ivar begins_chain: whether it is the first call of its parent to the
        service.
    :ivar bottleneck: :data:`~damasklanding.policy.chainadmission.Bottleneck`
        of the attempts that have ended.
    :ivar target: path and query as sent.
    :ivar headers: end-to-end headers, names and values alternating.
    :ivar body: :class:`~damasklanding.node.bodies.Body`.
    :ivar attempt: number of the current attempt, from 1.
    :ivar maybe_sent: whether the current attempt may have sent the request to
        a backend server.
    :ivar sent_ms: time at which the request was sent to the local backend
        server, None if it does not run there.
    :ivar resent_at_ms: time at which the request was sent again on a new
        connection, None if it was not.
    :ivar maybe_ran: whether an earlier attempt may have run the request.
    :ivar claimed: whether an idempotency key is claimed for the request, so
        that resends get its answer.
    :ivar before_send: called just before the request is sent, or None; raises
        if the request must not run any more.
    :ivar exchange: open exchange with the node that serves the call, or None.
    :ivar fingerprint: what the repeats of a request have in common, None
        until it is needed.
    """

    request_id: str
    service: str
    profile: str
    organisation: str
    importance: int
    deadline_at_ms: float
    allowance: RetryAllowance
    depth: int
    method: str
    target: str
    headers: list
    body: object
    idempotent: bool
    attempt: int = 0
    maybe_sent: bool = False
    sent_ms: float | None = None
    resent_at_ms: float | None = None
    maybe_ran: bool = False
    claimed: bool = False
    before_send: object = None
    exchange: object = None
    answered_before: int = 0
    fingerprint: bytes | None = None
    level: int = UNKNOWN_LEVEL
    begins_chain: bool = True
    bottleneck: tuple = NO_BOTTLENECK

    @property
    def rank(self):
        """Return the rank, by which calls are served and shed."""
        return rank_of(self.level, self.importance)

    def note_bottleneck(self, bottleneck):
        """Take in the bottleneck of a part of its chain."""
        self.bottleneck = narrower(self.bottleneck, bottleneck)

    def certainly_not_run(self):
        """Return whether certainly no attempt has run the request."""
        return not self.maybe_sent and not self.maybe_ran


class RunningCall:
    """
    A call that is running at the local backend server.

    :ivar call: :class:`Call`.
    :ivar token: context token; the backend server sends it with each onward
        call.
    :ivar slot: :class:`~damasklanding.policy.gate.Slot` of the call.
    :ivar children: greenlets of the open onward calls.
    :ivar answered_onward: number of onward calls that were answered.
    :ivar called_services: services that onward calls were made to.
    :ivar failed_onward: digests of the onward calls that have failed.
    :ivar had_onward_failure: whether an onward call has failed.
    :ivar may_retry: False once a failed onward call has excluded retries.
    :ivar missing_services: services without a backend server that onward
        calls needed.
    :ivar leaving_services: services that onward calls reached and whose last
        usable backend server leaves.
    """

    __slots__ = (
        'answered_onward',
        'call',
        'called_services',
        'children',
        'failed_onward',
        'had_onward_failure',
        'leaving_services',
        'may_retry',
        'missing_services',
        'slot',
        'token',
    )

    def __init__(self, call, token, slot):
        self.call = call
        self.token = token
        self.slot = slot
        self.children = set()
        self.answered_onward = 0
        self.failed_onward = set()
        self.had_onward_failure = False
        self.may_retry = True
        self.missing_services = set()
        self.leaving_services = set()
        self.called_services = set()

    def begins_chain_to(self, service):
        """Return whether a new onward call is the first to its service."""
        begins_chain = service not in self.called_services
        self.called_services.add(service)
        return begins_chain

    def record_answer(self, answer):
        """Record the answer to an onward call."""
        if answer.status < 500:
            self.answered_onward += 1
        else:
            self.missing_services.update(answer.missing_services)
        self.leaving_services.update(answer.leaving_services)

    def record_failure(self, digest, may_retry):
        """Record an onward call that failed."""
        self.failed_onward.add(digest)
        self.had_onward_failure = True
        self.may_retry = self.may_retry and may_retry


def random_token():
    """Return a random context token that can't be guessed."""
    return os.urandom(TOKEN_BYTES).hex()


class CallTable:
    """
    The calls that are running at the local backend server.

    :param new_token: function that returns a new context token.
    """

    def __init__(self, new_token=random_token):
        self._running = {}
        self._by_request = {}
        self._new_token = new_token

    def __len__(self):
        return len(self._running)

    def add(self, call, slot):
        """Add a call that is about to run; return its :class:`RunningCall`."""
        token = self._new_token()
        running = RunningCall(call, token, slot)
        self._running[token] = running
        self._by_request[call.request_id] = running
        return running

    def remove(self, running):
        """Remove a call and cancel its open onward calls."""
        self._running.pop(running.token, None)
        request_id = running.call.request_id
        if self._by_request.get(request_id) is running:
            del self._by_request[request_id]
        for greenlet in running.children:
            greenlet.kill(ParentEnded, block=False)

    def sent_calls(self):
        """Return the calls that the backend server has not answered."""
        return [
            running.call
            for running in self._running.values()
            if running.call.sent_ms is not None
        ]

    def parent_of(self, request_id):
        """
        Return the running call that made a request, None if unknown.

        :param request_id: id of the request.  Backend servers may form it
            from the id of the running call, a dot and a suffix.
        """
        parent_id, _, own_part = request_id.rpartition('.')
        return self._by_request.get(parent_id) if own_part else None

    def find(self, token):
        """
        Return the running call with the given context token.

        :raises Forbidden: no running call has this token.
        """
        running = self._running.get(token)
        if running is None:
            error = Forbidden(
                'the context matches no call that is running here',
                'send the context header of the request being served',
            )
            error.outcome = 'not-run'
            raise error
        return running
