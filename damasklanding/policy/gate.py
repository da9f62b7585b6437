"""
damasklanding.policy.gate
~~~~~~~~~~~~~~~~~~~~~~~~~

Admission control for the local backend server of a node.  A call gets a slot
at once, waits for one in a queue, or is refused before it has been sent to
the backend server.
"""

from contextlib import contextmanager

import gevent
from gevent.event import Event

from damasklanding.clock import monotonic_ms
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import Draining
from damasklanding.errors import Overloaded
from damasklanding.errors import ServerLimited
from damasklanding.policy.admissionlevel import AdmissionLevel
from damasklanding.policy.levels import importance_of_rank
from damasklanding.policy.limiter import AdaptiveLimiter
from damasklanding.policy.queue import WaitQueue
from damasklanding.policy.serverrate import ServerRate
from damasklanding.policy.successratio import SuccessRatio
from damasklanding.policy.successratio import turned_away_idle
from damasklanding.policy.throttle import RefusalLevels
from damasklanding.policy.types import CallResult
from damasklanding.policy.types import LoadReport

__all__ = ['AdmissionGate', 'Slot', 'build_admission_gate']

DRAINING_RETRY_AFTER_MS = 100
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 5_000
SERVICE_TIME_SMOOTHING = 0.1
#: A call is refused at once if its expected wait exceeds this multiple of its
#: allowed wait.
HOPELESS_WAIT_RATIO = 1.2
#: Expected wait of a new call, relative to the mean time of a call, above
#: which chains below the admission level may not begin.
FULL_PRESSURE = 1.0


def _nothing(*_args):
    return None


class Slot:
    """
    Permission to run one call at the backend server.

    :ivar call: entry in the limiter's calls in progress.
    :ivar waited_ms: time spent in the queue.
    :ivar result: :class:`~damasklanding.policy.types.CallResult`.
    :ivar service_time_ms: time at the backend server, None until finished.
    :ivar downstream_ms: time spent in downstream calls.
    """

    def __init__(self, call, now_ms, waited_ms):
        self.call = call
        self.waited_ms = waited_ms
        self.result = CallResult.CANCELLED
        self.service_time_ms = None
        self._response_started_ms = None
        self._now_ms = now_ms
        self._downstream_calls = 0
        self._downstream_since_ms = 0.0
        self.downstream_ms = 0.0

    def finish(self, result, service_time_ms=None):
        """
        Record the result of the call.

        :param result: :class:`~damasklanding.policy.types.CallResult`.
        :param service_time_ms: time at the backend server; measured from the
            start of the call if None.
        """
        self.result = result
        if service_time_ms is None:
            ended_ms = self._response_started_ms or self._now_ms()
            service_time_ms = ended_ms - self.call.started_ms
        self.service_time_ms = service_time_ms

    def response_started(self):
        """
        Mark that the head of the response has arrived.

        The speed of the rest depends on the caller, so it does not count as
        service time of the backend server.
        """
        self._response_started_ms = self._now_ms()
        self.call.exempt = True

    @contextmanager
    def downstream_call(self):
        """
        Measure a downstream call for the length of the block.

        Its time does not count as service time of the backend server.
        """
        now_ms = self._now_ms()
        if not self._downstream_calls:
            self._downstream_since_ms = now_ms
        self._downstream_calls += 1
        self.call.exempt = True
        try:
            yield
        finally:
            self._downstream_calls -= 1
            if not self._downstream_calls:
                self.downstream_ms += (
                    self._now_ms() - self._downstream_since_ms
                )

    def own_time_ms(self):
        """Return the service time without the time of downstream calls."""
        if self.service_time_ms is None:
            return 0.0
        return max(0.0, self.service_time_ms - self.downstream_ms)


class AdmissionGate:
    """
    Admission control for one backend server.

    :param service: name of its service.
    :param limiter: :class:`~damasklanding.policy.limiter.AdaptiveLimiter`
        or an object with the same methods.
    :param queue: :class:`~damasklanding.policy.queue.WaitQueue`.
    :param levels: :class:`~damasklanding.policy.throttle.RefusalLevels`.
    :param server_rate:
        :class:`~damasklanding.policy.serverrate.ServerRate`.
    :param now_ms: function that returns the current time in milliseconds;
        the other parameters must use the same clock.
    :param on_level_change: function of the service, its admission level and
        the calls a second that it was set for; called when the level is first
        raised, and when it is back at 0.
    :ivar draining: whether new calls are refused.
    """

    def __init__(
        self,
        service,
        limiter,
        queue,
        levels,
        server_rate,
        now_ms=monotonic_ms,
        on_level_change=_nothing,
    ):
        self.service = service
        self.server_rate = server_rate
        self.limiter = limiter
        self.queue = queue
        self.levels = levels
        self.draining = False
        self._now_ms = now_ms
        self._service_times = _ServiceTimes()
        self._success = SuccessRatio()
        self._admission_level = AdmissionLevel(now_ms, self._note_level_change)
        self._on_level_change = on_level_change
        self._timer = None

    @contextmanager
    def admit(self, request):
        """
        Hold a slot for the length of the block.

        If the block does not finish the slot, the call counts as cancelled.

        :param request: :class:`~damasklanding.policy.types.AdmissionRequest`.
        :return: context manager that yields a :class:`Slot`.
        :raises Draining: the node refuses new calls.
        :raises Overloaded: no slot became free within the longest wait.
        :raises DeadlineExceeded: the call could not end before its deadline.
        """
        arrived_ms = self._now_ms()
        call, waited_ms = self._acquire(request, arrived_ms)
        slot = Slot(call, self._now_ms, waited_ms)
        try:
            yield slot
        finally:
            self._release(slot)

    def load(self):
        """Return the :class:`~damasklanding.policy.types.LoadReport`."""
        shed_below_rank = self.levels.shed_below()
        return LoadReport(
            service=self.service,
            limit=self.limiter.limit,
            running=self.limiter.running,
            queued=self.queue.length,
            service_time_ms=self._service_times.mean_ms,
            wait_ms=self._queue_wait_ms(self.queue.length),
            cold=self.limiter.cold,
            draining=self.draining,
            shed_below=importance_of_rank(shed_below_rank),
            shed_below_rank=shed_below_rank,
            admission_level=self.admission_level(),
            rate_per_s=(
                self.server_rate.rate_per_s
                if self.server_rate.is_limited
                else 0.0
            ),
            success_ratio=round(self._success.current(self._now_ms()), 3),
        )

    def admission_level(self):
        """Return the lowest level that there is room for, -1 for all."""
        return self._admission_level.current()

    def expected_wait_ms(self, request):
        """Return the expected queue wait of a new call."""
        if not self.queue.length and self._has_capacity():
            return 0.0
        return self._queue_wait_ms(self.queue.count_ahead_of(request))

    def announce(self, cold, slots=0, cold_for_ms=0):
        """
        Apply an announcement of the backend server.

        :param cold: whether it can handle only a reduced load now.
        :param slots: requests that it processes concurrently, 0 if unknown.
        :param cold_for_ms: remaining time of its cold start, if announced.
        """
        self.limiter.announce(cold, slots, cold_for_ms)
        self._dispatch()

    def note_rate(self, rate_per_s, sent_ms):
        """
        Take the rate that an answer of the backend server names.

        :param rate_per_s: infinite where it names none.
        :param sent_ms: time at which the request was sent.
        """
        former_per_s = self.server_rate.rate_per_s
        self.server_rate.note(rate_per_s, sent_ms)
        if self.server_rate.rate_per_s > former_per_s:
            self._dispatch()

    def expect_first_answer(self):
        """Be careful until the backend server may have named a rate."""
        self.server_rate.expect_first_answer()

    def forget_failures(self):
        """Forget the failures of a start that has ended."""
        self._success = SuccessRatio()

    def note_resend(self):
        """Count a call that is sent to the backend server once more."""
        self.server_rate.take()

    def drain(self):
        """Refuse new calls; calls that wait or run continue."""
        self.draining = True

    def resume(self):
        """Admit new calls again."""
        self.draining = False

    def _acquire(self, request, arrived_ms):
        if self.draining:
            raise Draining(
                f'the node of {self.service} is draining: no new calls',
                retry_after_ms=DRAINING_RETRY_AFTER_MS,
            )
        if arrived_ms >= request.deadline_at_ms:
            raise self._deadline_error(request)
        try:
            self._check_level(request)
            if not self.queue.length and self._has_capacity():
                call = self._begin(request.profile)
                waited_ms = 0.0
            else:
                call = self._wait_for_slot(request, arrived_ms)
                waited_ms = self._now_ms() - arrived_ms
        except (Overloaded, DeadlineExceeded):
            self.levels.note(request.rank, admitted=False)
            if request.onward:
                self._admission_level.note_refused()
            raise
        self.levels.note(request.rank, admitted=True)
        return call, waited_ms

    def _check_level(self, request):
        """
        Refuse a chain that there is no room for before its first call.

        Its entry node did not know yet that the backend server is overloaded.
        """
        pressure = self._pressure()
        self._admission_level.note_arrival(
            request.level, request.begins_chain, request.onward, pressure
        )
        if (
            request.onward
            and request.begins_chain
            and pressure > FULL_PRESSURE
            and not self._admission_level.has_room(request.level)
        ):
            raise self._overloaded_error(request)

    def _utilisation(self):
        if self.limiter.cold or self.server_rate.is_limited:
            return 1.0  # a rate limits the calls, not the slots
        return self.limiter.running / self.limiter.limit

    def _is_regulated(self):
        return (
            self._admission_level.is_active()
            and self._pressure() <= FULL_PRESSURE
        )

    def _pressure(self):
        """Return the expected wait relative to the mean time of a call."""
        queued = self.queue.length
        if not queued:
            return 0.0
        pressure = queued / self.limiter.limit
        mean_ms = self._service_times.mean_ms
        if mean_ms:
            rate_wait_ms = self.server_rate.wait_ms(queued + 1)
            pressure = max(pressure, rate_wait_ms / mean_ms)
        return pressure

    def _note_level_change(self, level, calls_per_s):
        self._on_level_change(self.service, level, calls_per_s)

    def _wait_for_slot(self, request, arrived_ms):
        latest_start_ms = (
            request.deadline_at_ms
            - self._service_times.profile_ms(request.profile)
        )
        leave_at_ms = min(
            latest_start_ms, arrived_ms + request.longest_wait_ms
        )
        refusal = (
            self._overloaded_error
            if leave_at_ms < latest_start_ms
            else self._deadline_error
        )
        allowed_ms = leave_at_ms - arrived_ms
        if allowed_ms <= 0 or self._is_wait_hopeless(request, allowed_ms):
            raise refusal(request)
        waiter = _Waiter()
        ticket = self.queue.offer(request, leave_at_ms, waiter)
        if ticket is None:
            raise self._overloaded_error(request)
        try:
            self._dispatch()
            waiter.event.wait(allowed_ms / 1000.0)
        except BaseException:
            self._abandon(ticket, waiter)
            raise
        self.queue.remove(ticket)
        if waiter.call is None:
            raise refusal(request)
        return waiter.call

    def _is_wait_hopeless(self, request, allowed_ms):
        ahead = self.queue.count_ahead_of(request)
        rate_wait_ms = self.server_rate.wait_ms(ahead + 1)
        if rate_wait_ms > HOPELESS_WAIT_RATIO * allowed_ms:
            return True
        if request.discipline != 'fifo' and self.queue.has_standing_queue():
            return False
        expected_ms = self._queue_wait_ms(ahead)
        return expected_ms > HOPELESS_WAIT_RATIO * allowed_ms

    def _abandon(self, ticket, waiter):
        self.queue.remove(ticket)
        if waiter.call is not None:
            self.limiter.end(waiter.call, CallResult.CANCELLED, 0.0)
            self._dispatch()

    def _release(self, slot):
        if slot.result is CallResult.OK:
            held_ms = self._now_ms() - slot.call.started_ms
            self._service_times.learn(slot.call.profile, held_ms)
        self._note_success(slot.result)
        self._admission_level.note_end(self._utilisation())
        self.limiter.end(
            slot.call, slot.result, slot.own_time_ms(), slot.downstream_ms
        )
        self._dispatch()

    def _note_success(self, result):
        if result in (CallResult.OK, CallResult.FAILED):
            self._success.note(result is CallResult.OK, self._now_ms())
        elif result is CallResult.SHED and turned_away_idle(
            self.limiter.running, self.limiter.limit
        ):
            self._success.note(False, self._now_ms())

    def _dispatch(self):
        if not self.queue.length:
            return
        while self.queue.length and self._has_capacity():
            ticket = self.queue.take(self._is_regulated())
            if ticket is None:
                return
            waiter = ticket.context
            waiter.call = self._begin(ticket.request.profile)
            waiter.event.set()
        if self.queue.length and (
            not self.limiter.running or self._pause_ms() > 0
        ):
            self._schedule_dispatch()

    def _has_capacity(self):
        return (
            self.limiter.has_capacity() and self.server_rate.wait_ms() <= 0.0
        )

    def _begin(self, profile):
        self.server_rate.take()
        return self.limiter.begin(profile)

    def _pause_ms(self):
        return max(self.limiter.pause_ms(), self.server_rate.wait_ms())

    def _schedule_dispatch(self):
        if self._timer is not None:
            self._timer.kill(block=False)
        pause_s = self._pause_ms() / 1000.0
        self._timer = gevent.spawn_later(pause_s, self._dispatch)

    def _queue_wait_ms(self, ahead):
        rate_wait_ms = self.server_rate.wait_ms(ahead + 1)
        if not ahead and self.limiter.running < self.limiter.limit:
            return rate_wait_ms
        slot_wait_ms = self._service_times.mean_ms / self.limiter.limit
        return max(rate_wait_ms, (ahead + 1) * slot_wait_ms)

    def _overloaded_error(self, request):
        if self.server_rate.is_limited:
            return ServerLimited(
                f'the backend server of {self.service} takes '
                f'{self.server_rate.rate_per_s:g} requests a second',
                retry_after_ms=self._retry_after_ms(request),
            )
        return Overloaded(
            f'no free slot at {self.service} within the longest wait',
            retry_after_ms=self._retry_after_ms(request),
        )

    def _deadline_error(self, request):
        return DeadlineExceeded(
            f'too little time left for a call to {self.service}',
            retry_after_ms=self._retry_after_ms(request),
        )

    def _retry_after_ms(self, request):
        wait_ms = int(self._queue_wait_ms(self.queue.count_ahead_of(request)))
        return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms))


class _Waiter:
    """
    A greenlet that waits in the queue.

    :ivar event: set once the call has a slot.
    :ivar call: entry in the limiter's calls in progress, None before that.
    """

    __slots__ = ('call', 'event')

    def __init__(self):
        self.event = Event()
        self.call = None


class _ServiceTimes:
    """
    Smoothed times for which calls hold a slot, including downstream calls.

    :ivar mean_ms: smoothed time over all profiles.
    """

    def __init__(self):
        self.mean_ms = 0.0
        self._by_profile = {}

    def profile_ms(self, profile):
        """Return the smoothed time of a profile, or 0.0 if unknown."""
        return self._by_profile.get(profile, 0.0)

    def learn(self, profile, time_ms):
        """Add a sample."""
        self.mean_ms += SERVICE_TIME_SMOOTHING * (time_ms - self.mean_ms)
        smoothed_ms = self._by_profile.get(profile, time_ms)
        smoothed_ms += SERVICE_TIME_SMOOTHING * (time_ms - smoothed_ms)
        self._by_profile[profile] = smoothed_ms


def build_admission_gate(
    service,
    now_ms=monotonic_ms,
    build_limiter=AdaptiveLimiter,
    on_level_change=_nothing,
):
    """
    Return an :class:`AdmissionGate` with its own limiter and queue.

    :param service: name of the service.
    :param now_ms: function that returns the current time in milliseconds.
    :param build_limiter: function that takes ``now_ms`` and returns the
        limiter.
    :param on_level_change: see :class:`AdmissionGate`.
    """
    return AdmissionGate(
        service,
        build_limiter(now_ms),
        WaitQueue(now_ms),
        RefusalLevels(now_ms),
        ServerRate(now_ms),
        now_ms,
        on_level_change,
    )
