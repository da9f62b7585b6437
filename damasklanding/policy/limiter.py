"""
damasklanding.policy.limiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Adaptive concurrency limit of one backend server.  Its node derives the limit
from service times and shed answers.  For a cold backend server the limit
follows the time since the start; for a warm one it follows the mean service
time.  An unexpected large rise of the service time holds back new calls until
single probes have shown whether the backend server has restarted cold or has
only become slower.
"""

from enum import Enum
from math import sqrt

from damasklanding.policy.inflight import InFlightCalls
from damasklanding.policy.latency import LargeRiseDetector
from damasklanding.policy.latency import LatencyBaselines
from damasklanding.policy.latency import LatencyWindow
from damasklanding.policy.latency import SlowdownTest
from damasklanding.policy.latency import SmallRiseDetector
from damasklanding.policy.types import CallResult
from damasklanding.policy.warmup import MIN_LIMIT
from damasklanding.policy.warmup import OverloadSignal
from damasklanding.policy.warmup import WarmUp
from damasklanding.policy.warmup import is_backend_slower

__all__ = ['AdaptiveLimiter', 'Phase']

MAX_LIMIT = 1_000

# Cold phase.  A load is proven once calls at it were answered with a smoothed
# latency ratio of at most PROVEN_MAX_LATENCY_RATIO.
PROVEN_MAX_LATENCY_RATIO = 1.25
LATENCY_RATIO_SMOOTHING = 0.2
PROVEN_LOAD_GROWTH = 1.3  # the limit may exceed the proven load by this factor
RISE_BATCH_RATIO = 0.25  # batch size as a ratio of the calls in progress

# Warm phase.  The limit follows the mean latency ratio of a window of answers.
GROW_BELOW_RATIO = 1.10
SHRINK_ABOVE_RATIO = 1.20
FAST_GROWTH_FACTOR = 1.5
SLOW_GROWTH_RATIO = 0.03
SHRINK_MIN_STDDEVS = 2.5  # a smaller excess of the mean counts as noise
SUSTAINED_LOAD_DECAY = 0.98  # factor for the sustained load at each decrease
MIN_SHRINK_FACTOR = 0.65
LIMIT_IN_USE_RATIO = 0.8  # a limit with a lower peak load does not grow
LOW_LOAD_RATIO = 0.75  # of the sustained load; baselines are learned below it
MIN_WINDOW_ANSWERS = 10
CEILING_MS = 5_000.0  # the limit may exceed that of a shed answer after this
LARGE_RISE_SLACK_LOG = 0.9
LARGE_RISE_ALARM_SUM = 2.0

# Held phase: conditions that end it.
PROBE_MIDPOINT_LOG = 0.3
PROBE_DECISION_SUM = 0.6
MIN_NORMAL_ANSWERS = 3
NORMAL_MAX_LATENCY_RATIO = 1.6
RESUME_LIMIT_RATIO = 0.25  # of the last limit, for a slower backend server

SHED_PAUSE_MS = 100.0  # after a single call in progress was shed
FAILURE_LATENCY_RATIO = 4.0  # latency ratio that a failure counts as
#: A shed answer at a load up to this ratio of the proven load is unexpected
#: and holds back new calls; at a higher load it only bounds the limit.
SHED_PROVEN_RATIO = 0.8

FAILURES = frozenset((CallResult.FAILED, CallResult.RESET, CallResult.TIMEOUT))


class Phase(Enum):
    """
    State that the limiter assumes for the backend server.

    In the phase ``HELD`` that state is unknown, and new calls are held back
    while single probes are sent.
    """

    COLD = 'cold'
    WARM = 'warm'
    HELD = 'held'


class AdaptiveLimiter:
    """
    Concurrency limit of one backend server, adapted to its latency.

    :param now_ms: function that returns the current time in milliseconds.
    :ivar phase: current :class:`Phase`.
    """

    def __init__(self, now_ms):
        self._now_ms = now_ms
        self._in_flight = InFlightCalls()
        self._baselines = LatencyBaselines()
        self._window = LatencyWindow()
        self._small_rise = SmallRiseDetector()
        self._large_rise = LargeRiseDetector(
            LARGE_RISE_SLACK_LOG, LARGE_RISE_ALARM_SUM
        )
        self._slowdown_test = SlowdownTest(
            PROBE_MIDPOINT_LOG, PROBE_DECISION_SUM
        )
        self._announced_cold = False
        self._pause_until_ms = float('-inf')
        self._last_warm_limit = 0.0
        self._limit = float(MIN_LIMIT)
        self._enter_cold(now_ms())

    @property
    def running(self):
        """Return the number of calls in progress."""
        return len(self._in_flight)

    @property
    def cold(self):
        """Return whether the backend server is not known to be warm."""
        return self.phase is not Phase.WARM

    @property
    def limit(self):
        """Return the concurrency limit, at least 1."""
        if self.phase is Phase.COLD:
            return self._update_cold_limit()
        if self.phase is Phase.HELD:
            return MIN_LIMIT
        return max(MIN_LIMIT, int(self._limit))

    def has_capacity(self):
        """Return whether a call may start now."""
        now_ms = self._now_ms()
        if now_ms < self._pause_until_ms or self.running >= self.limit:
            return False
        late = self._in_flight.overdue(
            now_ms, self._last_change_ms, self._baselines.late_after_ms
        )
        if late is not None:
            self._on_overload_signal(late, FAILURE_LATENCY_RATIO)
        return self.running < self.limit

    def pause_ms(self):
        """
        Return the milliseconds during which no call may start.

        Calls that end in the meantime do not shorten this time.
        """
        return max(0.0, self._pause_until_ms - self._now_ms())

    def begin(self, profile):
        """
        Add a call to the calls in progress.

        :return: :class:`~damasklanding.policy.inflight.Call`.
        """
        probe = self.phase is Phase.HELD
        return self._in_flight.begin(profile, self._now_ms(), probe)

    def end(self, call, result, own_time_ms, downstream_ms=0.0):
        """
        Remove a call and adapt the limit to its result.

        A call holds its slot while it makes downstream calls, but their
        latency and failures say nothing about this backend server.

        :param call: the value that :meth:`begin` returned.
        :param result: :class:`~damasklanding.policy.types.CallResult`.
        :param own_time_ms: service time without the time of downstream
            calls.
        :param downstream_ms: time of downstream calls.
        """
        self._in_flight.end(call)
        if result is CallResult.OK:
            self._on_success(call, own_time_ms, downstream_ms)
        elif result is CallResult.SHED:
            self._on_shed(call)
        elif result in FAILURES and not call.exempt:
            self._on_failure(call)

    def announce(self, cold, slots=0, cold_for_ms=0):
        """
        Apply an announcement of the backend server.

        Only a change from warm to cold has an effect.  Announcements are
        repeated, and a delayed one must not end a cold start.

        :param cold: whether the backend server announces a cold start.
        :param slots: not used, 0 if unknown; the limit is measured.
        :param cold_for_ms: not used; the end of a cold start is measured.
        """
        if cold and not self._announced_cold:
            self._last_warm_limit = 0.0
            self._enter_cold(self._now_ms())
        self._announced_cold = cold

    # Phase changes.

    def _enter_cold(self, since_ms, level=MIN_LIMIT):
        self.phase = Phase.COLD
        self._warm_up = WarmUp(since_ms, self._now_ms(), level)
        self._reset_measurements()

    def _enter_warm(self, limit, fast_growth, sustained=0.0):
        self.phase = Phase.WARM
        self._limit = float(limit)
        self._fast_growth = fast_growth
        self._overshot = False
        self._sustained_load = float(sustained or limit)
        self._first_shrink = None
        self._ceiling = MAX_LIMIT
        self._ceiling_until_ms = float('-inf')
        self._reset_measurements()

    def _enter_held(self, signal, ratio=FAILURE_LATENCY_RATIO):
        self.phase = Phase.HELD
        self._last_warm_limit = self._limit
        self._hold_trigger_ms = signal.started_ms
        self._restart_level = max(MIN_LIMIT, int(signal.running / ratio))
        self._normal_answers = 0
        self._slowdown_test.reset()
        self._reset_measurements()

    def _reset_measurements(self):
        self._last_change_ms = self._now_ms()
        self._proven_load = 0
        self._smoothed_ratio = 1.0
        self._window.reset()
        self._small_rise.reset()
        self._large_rise.reset()

    # Successful answers.

    def _on_success(self, call, time_ms, downstream_ms):
        name = call.profile
        ratio = self._baselines.ratio(name, time_ms, downstream_ms)
        if not self._baselines.known(name):
            self._baselines.learn(name, time_ms)
        if self.phase is Phase.HELD:
            self._on_success_held(call, ratio)
            return
        if call.started_ms < self._last_change_ms:
            return
        self._smoothed_ratio += LATENCY_RATIO_SMOOTHING * (
            ratio - self._smoothed_ratio
        )
        if self._smoothed_ratio <= PROVEN_MAX_LATENCY_RATIO:
            self._proven_load = max(self._proven_load, call.running)
        if self.phase is Phase.COLD:
            self._on_success_cold(call, ratio, time_ms)
        else:
            self._on_success_warm(call, ratio, time_ms)

    def _on_success_cold(self, call, ratio, time_ms):
        if call.running <= max(1, LOW_LOAD_RATIO * self._warm_up.level):
            self._baselines.learn(call.profile, time_ms)
        batch = max(1, int(RISE_BATCH_RATIO * call.running))
        if self._small_rise.add(ratio, self._baselines.log_stddev, batch):
            self._back_off_cold(call, self._small_rise.mean_ratio())

    def _on_success_warm(self, call, ratio, time_ms):
        if self._large_rise.add(ratio):
            self._on_large_rise(call, ratio)
            return
        low = call.running <= LOW_LOAD_RATIO * self._sustained_load
        if low and self._first_shrink is None:
            self._baselines.learn(call.profile, time_ms)
        self._window.add(ratio, call.running)
        if self._window.count >= max(MIN_WINDOW_ANSWERS, self._window_size()):
            self._adjust_limit()

    def _on_large_rise(self, call, ratio):
        """
        React to a large rise of the latency in the warm phase.

        At a load that had not been proven before, the limit was too high and
        is reduced.  Otherwise the backend server itself must have changed,
        and new calls are held back.
        """
        if (
            call.running <= PROVEN_LOAD_GROWTH * self._proven_load
            or self._overshot
        ):
            self._enter_held(call, self._large_rise.mean_ratio())
            return
        self._overshot = True
        self._fast_growth = False
        self._first_shrink = OverloadSignal(0.0, call.running, ratio)
        self._limit = max(self._proven_load, call.running / ratio, 1.0)
        self._reset_measurements()

    def _on_success_held(self, call, ratio):
        if call.probe:
            self._on_probe_answer(ratio)
        elif call.started_ms >= self._hold_trigger_ms:
            self._normal_answers = (
                0
                if ratio > NORMAL_MAX_LATENCY_RATIO
                else self._normal_answers + 1
            )
            if self._normal_answers >= MIN_NORMAL_ANSWERS:
                self._enter_warm(self._last_warm_limit, fast_growth=False)

    def _on_probe_answer(self, ratio):
        slower = self._slowdown_test.add(ratio)
        if slower is None:
            return
        ratio = self._slowdown_test.mean_ratio()
        if slower:
            self._baselines.scale(ratio)
            self._resume_slower_backend()
        else:
            if ratio > 1.0:
                self._baselines.scale(ratio)
            self._enter_cold(self._hold_trigger_ms, self._restart_level)

    def _resume_slower_backend(self):
        last_limit = self._last_warm_limit
        limit = max(2.0, RESUME_LIMIT_RATIO * last_limit)
        self._enter_warm(limit, fast_growth=True, sustained=last_limit)

    # Failures and shed answers.

    def _on_failure(self, call):
        if self.phase is Phase.HELD:
            if call.probe:
                self._resume_slower_backend()
        elif call.started_ms < self._last_change_ms:
            return
        elif self._large_rise.add(FAILURE_LATENCY_RATIO):
            self._on_overload_signal(call, FAILURE_LATENCY_RATIO)

    def _on_shed(self, call):
        if call.running <= MIN_LIMIT:
            self._pause_until_ms = self._now_ms() + SHED_PAUSE_MS
        if self.phase is Phase.HELD or call.started_ms < self._last_change_ms:
            return
        if self.phase is Phase.COLD:
            self._back_off_cold(call, 1.0)
            self._warm_up.level = max(MIN_LIMIT, call.running - 1)
        elif call.running > SHED_PROVEN_RATIO * self._proven_load:
            self._set_ceiling(call.running - 1)
        else:
            self._enter_held(call, float(call.running))

    def _on_overload_signal(self, call, ratio):
        if call.started_ms < self._last_change_ms:
            return
        if self.phase is Phase.WARM:
            self._on_large_rise(call, ratio)
        elif self.phase is Phase.COLD:
            self._back_off_cold(call, ratio)

    # Cold phase.

    def _update_cold_limit(self):
        """Return the limit, and enter the warm phase if it is due."""
        now_ms = self._now_ms()
        warm_up = self._warm_up
        target = warm_up.target_limit(now_ms, self._baselines.mean_ms())
        proven = max(warm_up.level, self._proven_load * PROVEN_LOAD_GROWTH + 1)
        limit = max(MIN_LIMIT, int(min(target, proven, MAX_LIMIT)))
        if self._last_warm_limit and limit >= self._last_warm_limit:
            self._enter_warm(limit, fast_growth=False)
        elif warm_up.is_over(now_ms):
            sustained = max(warm_up.level, self._proven_load)
            self._enter_warm(limit, warm_up.is_unbounded, sustained)
        return limit

    def _back_off_cold(self, call, ratio):
        if call.running <= MIN_LIMIT and ratio > 1.0:
            self._baselines.scale(ratio)
            self._reset_measurements()
            return
        signal = self._warm_up.signal(call, ratio)
        signals = self._warm_up.signals
        if signals and is_backend_slower(signals[-1], signal):
            self._baselines.scale(ratio)
            self._enter_warm(signals[-1].running, fast_growth=False)
            return
        sustained = self._warm_up.back_off(signal)
        if self._warm_up.is_steady():
            self._enter_warm(sustained, fast_growth=False)
        else:
            self._reset_measurements()

    # Warm phase.

    def _window_size(self):
        return self._limit if self._fast_growth else 2 * self._limit

    def _adjust_limit(self):
        ratio = self._window.ratio()
        noise = self._baselines.log_stddev / sqrt(self._window.count)
        in_use = self._window.peak_running >= LIMIT_IN_USE_RATIO * int(
            self._limit
        )
        self._window.reset()
        if ratio > max(SHRINK_ABOVE_RATIO, 1.0 + SHRINK_MIN_STDDEVS * noise):
            self._shrink(ratio)
            return
        self._first_shrink = None
        self._overshot = False
        if ratio < GROW_BELOW_RATIO and in_use:
            self._sustained_load = max(self._sustained_load, self._limit)
            self._grow()

    def _shrink(self, ratio):
        current = OverloadSignal(0.0, self._limit, ratio)
        if self._first_shrink is None:
            self._first_shrink = current
        elif is_backend_slower(self._first_shrink, current):
            self._baselines.scale(ratio)
            self._enter_warm(self._first_shrink.running, fast_growth=False)
            return
        self._fast_growth = False
        self._sustained_load *= SUSTAINED_LOAD_DECAY
        factor = max(MIN_SHRINK_FACTOR, GROW_BELOW_RATIO / ratio)
        self._limit = max(float(MIN_LIMIT), self._limit * factor)
        self._last_change_ms = self._now_ms()

    def _grow(self):
        if (
            self._fast_growth
            or self._limit < LOW_LOAD_RATIO * self._sustained_load
        ):
            limit = self._limit * FAST_GROWTH_FACTOR + 1
        else:
            limit = self._limit + max(1.0, SLOW_GROWTH_RATIO * self._limit)
        if self._now_ms() < self._ceiling_until_ms:
            limit = min(limit, float(self._ceiling))
        self._limit = min(float(MAX_LIMIT), limit)

    def _set_ceiling(self, limit):
        self._ceiling = max(MIN_LIMIT, limit)
        self._ceiling_until_ms = self._now_ms() + CEILING_MS
        self._limit = min(self._limit, float(self._ceiling))
        self._proven_load = min(self._proven_load, self._ceiling)
        self._fast_growth = False
        self._last_change_ms = self._now_ms()
        self._window.reset()
