"""
damasklanding.node.local_backend
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs calls at the backend server beside this node: last checks, admission by
the gate, the call itself and what it showed about the backend server.
"""

from contextlib import contextmanager
from functools import partial

from damasklanding.decisions import Decision
from damasklanding.errors import BadInput
from damasklanding.errors import ConnectionSilent
from damasklanding.errors import DamasklandingError
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import Draining
from damasklanding.errors import Unavailable
from damasklanding.errors import UpstreamFailed
from damasklanding.errors import UpstreamTimeout
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.dialect import SHED_STATUSES
from damasklanding.policy.chainadmission import narrower
from damasklanding.policy.types import AdmissionRequest
from damasklanding.policy.types import CallResult

__all__ = ['LocalBackend', 'build_admission_request']

DEFAULT_LONGEST_WAIT_MS = 500
WAITED_MS = 1  # in the queue, after which all is checked again

#: Result by the kind of error, the first that fits.
_RESULTS = (
    (BadInput, CallResult.CANCELLED),
    (DeadlineExceeded, CallResult.CANCELLED),
    (UpstreamTimeout, CallResult.TIMEOUT),
    (ConnectionSilent, CallResult.CANCELLED),
    (UpstreamFailed, CallResult.RESET),
    (Unavailable, CallResult.RESET),
    (DamasklandingError, CallResult.CANCELLED),
)


def build_admission_request(call, view):
    """Return an :class:`~damasklanding.policy.types.AdmissionRequest`."""
    profile = view.state.get('profile', call.profile)
    organisation = view.state.get('organisation', call.organisation)
    return AdmissionRequest(
        call.organisation,
        call.importance,
        organisation.weight if organisation else 1,
        call.deadline_at_ms,
        profile.longest_wait_ms if profile else DEFAULT_LONGEST_WAIT_MS,
        profile.discipline if profile else 'adaptive',
        call.profile,
        profile.weight if profile else 1,
        call.answered_before,
        call.level,
        call.depth > 0,
        call.begins_chain,
    )


def _nothing():
    return None


class LocalBackend:
    """
    The backend server beside this node.

    :param service: function that returns the name of its service.
    :param gate: :class:`~damasklanding.policy.gate.AdmissionGate`.
    :param upstream: :class:`~damasklanding.node.upstream.Upstream`.
    :param table: :class:`~damasklanding.node.calls.CallTable`.
    :param crashes: :class:`~damasklanding.node.crashes.CrashWatch`.
    :param on_unreachable: called when it takes no connection.
    :param decisions: :class:`~damasklanding.decisions.DecisionLog`, or None.
    :param is_kept: function that returns whether the backend server leaves
        and is in use, as the last usable one of its service.
    :ivar draining: whether new work is refused.
    """

    def __init__(
        self,
        settings,
        service,
        view,
        gate,
        upstream,
        table,
        metrics,
        now_ms,
        crashes,
        on_unreachable=_nothing,
        decisions=None,
        is_kept=_nothing,
    ):
        self.draining = False
        self._is_kept = is_kept
        self._settings = settings
        self._service = service
        self._view = view
        self._gate = gate
        self._upstream = upstream
        self._table = table
        self._metrics = metrics
        self._now_ms = now_ms
        self._crashes = crashes
        self._on_unreachable = on_unreachable
        self._decisions = decisions

    def serve(self, call):
        """
        Run a call and return its answer.

        The slot is held until a streamed answer is closed.

        :param call: :class:`~damasklanding.node.calls.Call`.
        :return: :class:`~damasklanding.node.answers.Answer`.
        :raises Refusal: it was not handed to the backend server.
        :raises UpstreamFailed: it was, and failed.
        """
        try:
            self.check(call)
            held = self._admitted(call)
            running = held.__enter__()
            try:
                answer = self._run(call, running)
            except BaseException as error:
                held.__exit__(type(error), error, error.__traceback__)
                raise
            if answer.parts is None:
                held.__exit__(None, None, None)
            else:
                answer.release = partial(held.__exit__, None, None, None)
        except DamasklandingError as error:
            self._count(call, error.code)
            if self._decisions is not None:
                self._log(call, error)
            raise
        self._count(call, 'ok' if answer.status < 500 else 'failed')
        answer.retries_left = call.allowance.left
        answer.missing_services = running.missing_services
        answer.leaving_services = running.leaving_services
        if self._is_kept():
            answer.leaving_services.add(call.service)
        answer.bottleneck = narrower(
            call.bottleneck, (call.service, self._gate.admission_level())
        )
        return answer

    @contextmanager
    def _admitted(self, call):
        """Hold a slot and a place in the table of running calls."""
        with self._gate.admit(
            build_admission_request(call, self._view)
        ) as slot:
            if slot.waited_ms > WAITED_MS:
                self.check(call)
            running = self._table.add(call, slot)
            try:
                yield running
            finally:
                self._table.remove(running)
                if call.sent_ms is not None:
                    self._crashes.abandoned(call)

    def check(self, call):
        """
        Check that a call may be sent to the backend server now.

        :raises Refusal: it may not.
        """
        if self.draining or self._gate.draining:
            raise Draining('this node takes no new work')
        if call.service != self._service():
            raise Draining(f'no backend server of {call.service} is here')
        if self._view.data_centre_out(self._settings.data_centre):
            raise Draining('the data centre takes no new work')
        self._view.require_fresh(self._settings.fresh_limit_ms)
        if call.deadline_at_ms <= self._now_ms():
            raise DeadlineExceeded('the time ran out before it was started')
        self._crashes.check(call)

    def _run(self, call, running):
        slot = running.slot
        try:
            answer = self._upstream.call(call, running.token)
        except DamasklandingError as error:
            slot.finish(_result_of_error(error))
            if type(error) is Unavailable:
                self._crashes.refused_connection()
                self._on_unreachable()
            if not call.maybe_sent:
                error.outcome = NOT_RUN
            raise
        result = _result_of_answer(answer, running)
        answer.may_retry = answer.may_retry and running.may_retry
        if answer.parts is None:
            slot.finish(result, self._service_time_ms(call))
            self._crashes.answered(call, answer)
        else:
            slot.response_started()
            answered = partial(self._crashes.answered, call, answer)
            answer.parts = _finish_after(answer.parts, slot, result, answered)
        return answer

    def _log(self, call, error):
        event = 'refused' if error.outcome == NOT_RUN else 'failed'
        self._decisions.note(
            event, error.code, lambda: self._describe(call, error, event)
        )

    def _describe(self, call, error, event):
        load = self._gate.load()
        return Decision(
            event=event,
            request_id=call.request_id,
            reason=error.code,
            outcome=error.outcome,
            service=call.service,
            organisation=call.organisation,
            importance=call.importance,
            attempts=call.attempt,
            left_ms=int(call.deadline_at_ms - self._now_ms()),
            running=load.running,
            queued=load.queued,
            limit=load.limit,
            cold=load.cold,
            detail=error.problem,
        )

    def _service_time_ms(self, call):
        """Return the time since a resend, None without one."""
        if call.resent_at_ms is None:
            return None
        return self._now_ms() - call.resent_at_ms

    def _count(self, call, reason):
        self._metrics.add('calls_total', call.service, call.importance, reason)


def _result_of_error(error):
    for kind, result in _RESULTS:
        if isinstance(error, kind):
            return result
    return CallResult.CANCELLED


def _result_of_answer(answer, running):
    if answer.status in SHED_STATUSES and (
        answer.outcome == NOT_RUN or answer.retry_after_ms
    ):
        return CallResult.SHED
    if answer.status < 500:
        return CallResult.OK
    if running.had_onward_failure:
        return CallResult.CANCELLED
    return CallResult.FAILED


def _finish_after(parts, slot, result, answered):
    try:
        yield from parts
    except DamasklandingError as error:
        slot.finish(_result_of_error(error))
        raise
    slot.finish(result)
    answered()
