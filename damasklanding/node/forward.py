"""
damasklanding.node.forward
~~~~~~~~~~~~~~~~~~~~~~~~~~

The dispatch loop: chooses a backend server, sends the call to it, directly
or through the node beside it, and tries again where that is allowed.
"""

from random import random

import gevent

from damasklanding.errors import DamasklandingError
from damasklanding.errors import Draining
from damasklanding.errors import PeerLost
from damasklanding.errors import ServerLimited
from damasklanding.errors import Unavailable
from damasklanding.errors import UpstreamFailed
from damasklanding.errors import UpstreamTimeout
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import UNKNOWN
from damasklanding.node.departure import ENDING
from damasklanding.node.dialect import SHED_STATUSES
from damasklanding.policy.retry import MAX_REROUTES
from damasklanding.policy.retry import AttemptOutcome
from damasklanding.policy.retry import FailedAttempt
from damasklanding.policy.retry import RetryDecision
from damasklanding.policy.retry import backoff_ms
from damasklanding.policy.retry import decide_retry
from damasklanding.policy.retryshare import ServiceBudget
from damasklanding.policy.types import CallResult
from damasklanding.policy.types import decode_load

__all__ = ['Forwarder']

#: Refusals that only name another node and cost no backend server.
_FREE = (Draining, ServerLimited, Unavailable)
#: Verdicts after which no node above may retry either.
_FINAL = frozenset(
    (
        RetryDecision.NO_ALLOWANCE,
        RetryDecision.NO_BUDGET,
        RetryDecision.NO_TIME,
        RetryDecision.TOLD_NOT_TO,
    )
)


class Forwarder:
    """
    Sends calls to the backend servers of a service.

    :param name: name of this node.
    :param local: :class:`~damasklanding.node.local_backend.LocalBackend`.
    :param own_load: function that returns this node's load report.
    :param peers: :class:`~damasklanding.node.peers.PeerCaller`.
    :param router: :class:`~damasklanding.policy.routing.Router`.
    :param budget: :class:`~damasklanding.policy.retry.RetryBudget`.
    :param shares: :class:`~damasklanding.policy.retryshare.RetryShares`.
    """

    def __init__(
        self,
        name,
        view,
        local,
        own_load,
        peers,
        router,
        budget,
        metrics,
        shares,
    ):
        self._name = name
        self._view = view
        self._local_backend = local
        self._own_load = own_load
        self._peers = peers
        self._router = router
        self._budget = budget
        self._shares = shares
        self._metrics = metrics
        self._now_ms = view.now_ms
        self._candidates = {}
        self._out = set()
        view.subscribe(self._on_changes)

    def forward(self, call):
        """
        Send a call and return the answer to it.

        The caller closes the answer.

        :return: :class:`~damasklanding.node.answers.Answer`.
        :raises DamasklandingError: no attempt brought an answer; its
            ``outcome`` covers all attempts.
        """
        self._budget.note_call()
        if not call.depth:
            self._shares.note_request(call.service)
        budget = ServiceBudget(self._budget, self._shares, call.service)
        tries = _Tries()
        while True:
            failure = self._try(call, tries)
            if failure is None:
                return tries.answer
            attempt = self._judge(call, tries, failure)
            verdict = decide_retry(attempt, budget)
            if verdict is not RetryDecision.RETRY or not self._pause(
                call, tries, attempt, failure
            ):
                return self._give_up(verdict, tries, failure)
            call.maybe_ran = not tries.proven
            call.maybe_sent = False
            tries.drop_stream()

    def has_backend(self, service):
        """Return whether a backend server of a service accepts calls."""
        return self._router.has_usable(self._candidates_of(service))

    def accepts_chains(self, service):
        """
        Return whether a backend server of a service accepts new chains.

        One that is about to end its departure serves those that have begun.
        """
        staying = [
            backend
            for backend in self._candidates_of(service)
            if backend.departure != ENDING
        ]
        return self._router.has_usable(staying)

    def has_other_backend(self, service):
        """
        Return whether another backend server can replace the local one.

        It must be warm and not leave as well.
        """
        others = [
            backend
            for backend in self._candidates_of(service)
            if backend.name != self._name and not backend.departure
        ]
        return self._router.has_warm(others)

    def cold_interval_ms(self, service):
        """
        Return the time between two calls of this node to a cold service.

        :return: 0.0 unless all its usable backend servers are cold.
        """
        candidates = self._candidates_of(service)
        self._update_own_load(candidates)
        return self._router.cold_interval_ms(candidates)

    def unusable_backends(self, service):
        """
        Return why by name for a service's servers that get no calls.

        It covers what the configuration says and what their nodes report.
        """
        reasons = self._view.unusable_backends(service)
        candidates = self._candidates_of(service)
        return reasons | self._router.unusable(candidates)

    def _try(self, call, tries):
        """Make one attempt; return None or the failed answer or error."""
        try:
            backend = self._choose(call, tries.excluded)
        except DamasklandingError as error:
            error.outcome = NOT_RUN
            # A failed attempt says more than that nothing else is left.
            failure = tries.failure or error
            failure.may_retry = False
            return failure
        tries.count += 1
        tries.excluded.add(backend.name)
        call.attempt = tries.count
        try:
            answer = self._attempt(backend, call)
        except DamasklandingError as error:
            tries.note(error)
            return error
        tries.answer = answer
        if not _failed(answer):
            return None
        tries.note(answer)
        return answer

    def _choose(self, call, excluded):
        candidates = self._candidates_of(call.service)
        self._update_own_load(candidates)
        return self._router.choose(candidates, call, excluded)

    def _update_own_load(self, candidates):
        for backend in candidates:
            if backend.name == self._name:
                self._router.update_load(self._name, self._own_load())
                break

    def _candidates_of(self, service):
        candidates = self._candidates.get(service)
        return self._index(service) if candidates is None else candidates

    def _index(self, service):
        candidates = [
            backend
            for backend in self._view.backends(service)
            if backend.state == 'in'
            and not backend.held_out
            and not self._view.data_centre_out(backend.data_centre)
        ]
        candidates = self._router.subset(candidates)
        self._candidates[service] = candidates
        return candidates

    def _on_changes(self, changes):
        for change in changes:
            if change.kind == 'data_centre':
                self._note_data_centre(change.name)
        if any(item.kind in ('backend', 'data_centre') for item in changes):
            self._candidates.clear()

    def _note_data_centre(self, name):
        if self._view.data_centre_out(name):
            self._out.add(name)
        elif name in self._out:
            self._out.discard(name)
            self._router.note_return(name)

    def _attempt(self, backend, call):
        name = backend.name
        started_ms = self._now_ms()
        result = CallResult.CANCELLED
        answer = None
        self._router.call_started(name)
        try:
            answer = self._send(backend, call)
            result = _result_of(answer)
            call.note_bottleneck(answer.bottleneck)
            if answer.load:
                self._router.update_load(name, decode_load(answer.load))
        except DamasklandingError as error:
            result = _result_of_error(error)
            self._note_load_of_refusal(name, call, error)
            raise
        finally:
            elapsed_ms = self._now_ms() - started_ms
            if answer is None or answer.release is None:
                self._router.call_finished(name, result, elapsed_ms)
        if answer.release is not None:
            self._finish_with(answer, name, result, elapsed_ms)
        return answer

    def _note_load_of_refusal(self, name, call, error):
        reply = getattr(error, 'reply', None)
        if reply is not None:
            load = decode_load(reply.load)
            self._router.update_load(name, load)
        elif name == self._name:
            load = self._own_load()
        else:
            return
        if load is not None:
            call.note_bottleneck((call.service, load.admission_level))

    def _finish_with(self, answer, name, result, elapsed_ms):
        release = answer.release

        def finish():
            self._router.call_finished(name, result, elapsed_ms)
            release()

        answer.release = finish

    def _send(self, backend, call):
        kind = 'first' if call.attempt == 1 else 'repeat'
        if backend.name == self._name:
            self._metrics.add('attempts_total', call.service, f'{kind}-own')
            return self._local_backend.serve(call)
        self._metrics.add('attempts_total', call.service, f'{kind}-peer')
        lent = call.allowance.lend()
        rest = 0
        try:
            answer = self._peers.call(backend.peer_address, call, lent)
            rest = answer.retries_left
            return answer
        except DamasklandingError as error:
            rest = error.retries_left
            if rest is None:
                rest = 0 if call.maybe_sent else lent
            raise
        finally:
            call.allowance.give_back(rest, lent)

    def _judge(self, call, tries, failure):
        outcome = failure.outcome
        if not call.body.repeatable():
            outcome = UNKNOWN if outcome == NOT_RUN else outcome
        free = outcome == NOT_RUN and isinstance(failure, _FREE)
        return FailedAttempt(
            AttemptOutcome(outcome),
            call.idempotent and call.body.repeatable(),
            call.allowance.left,
            failure.may_retry,
            call.deadline_at_ms - self._now_ms(),
            free_reroute=free,
            reroutes=tries.reroutes,
            importance=call.importance,
        )

    def _pause(self, call, tries, attempt, failure):
        """Account for a retry and wait before it; False without time."""
        if attempt.free_reroute and attempt.reroutes < MAX_REROUTES:
            tries.reroutes += 1
            return True
        call.allowance.spend()
        wait_ms = backoff_ms(tries.retries, random, failure.retry_after_ms)
        tries.retries += 1
        if wait_ms >= call.deadline_at_ms - self._now_ms():
            return False
        gevent.sleep(wait_ms / 1000)
        return True

    def _give_up(self, verdict, tries, failure):
        # Who sent the call may still hold a retry for a broken connection.
        lost = verdict is RetryDecision.NO_ALLOWANCE and isinstance(
            failure, PeerLost
        )
        if verdict in _FINAL and not lost:
            failure.may_retry = False
        if not tries.proven and failure.outcome == NOT_RUN:
            failure.outcome = UNKNOWN
        if isinstance(failure, DamasklandingError):
            raise failure
        return failure


class _Tries:
    """
    Attempts made for one call.

    :ivar proven: whether all of them were proven not to have run.
    :ivar failure: the last failed answer or error.
    """

    __slots__ = (
        'answer',
        'count',
        'excluded',
        'failure',
        'proven',
        'reroutes',
        'retries',
    )

    def __init__(self):
        self.answer = None
        self.count = 0
        self.excluded = set()
        self.failure = None
        self.proven = True
        self.reroutes = 0
        self.retries = 0

    def note(self, failure):
        """Take in a failed attempt."""
        self.failure = failure
        self.proven = self.proven and failure.outcome == NOT_RUN

    def drop_stream(self):
        """Close a failed answer before the next attempt."""
        if getattr(self.failure, 'parts', None) is not None:
            self.failure.close()
            self.failure = None


def _failed(answer):
    return answer.status >= 500 or answer.outcome == NOT_RUN


def _result_of(answer):
    if answer.status in SHED_STATUSES and (
        answer.outcome == NOT_RUN or answer.retry_after_ms
    ):
        return CallResult.REJECTED
    return CallResult.FAILED if answer.status >= 500 else CallResult.OK


def _result_of_error(error):
    if isinstance(error, UpstreamTimeout):
        return CallResult.TIMEOUT
    if isinstance(error, (UpstreamFailed, Unavailable)):
        return CallResult.RESET
    if error.outcome == NOT_RUN:
        return CallResult.SHED
    return CallResult.CANCELLED
