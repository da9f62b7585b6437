"""
damasklanding.policy.limiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Adaptive concurrency limit of one backend server, learned at its own node
from service times and shed answers.  A cold backend server is paced by the
time since its start; a warm one by the mean of its service times; a sign of
trouble holds new calls until single probes have told which of the two it is.
"""

from enum import Enum
from math import sqrt

from damasklanding.policy.inflight import InFlightCalls
from damasklanding.policy.latency import Baselines
from damasklanding.policy.latency import Fall
from damasklanding.policy.latency import Rise
from damasklanding.policy.latency import Verdict
from damasklanding.policy.latency import Window
from damasklanding.policy.types import CallResult
from damasklanding.policy.warmup import COLD_LIMIT
from damasklanding.policy.warmup import Sign
from damasklanding.policy.warmup import WarmUp
from damasklanding.policy.warmup import is_slower

__all__ = ['AdaptiveLimiter', 'Phase']

MAX_LIMIT = 1_000

# Cold.
PROVEN_RATIO = 1.25
SMOOTH_SHARE = 0.2
PROVEN_GROWTH = 1.3  # above the highest load that was answered in time
BATCH_SHARE = 0.25  # of the calls in progress

# Warm: by the mean ratio of a window of answers.
GROW_BELOW = 1.10
SHRINK_ABOVE = 1.20
FAST_GROWTH = 1.5
SLOW_GROWTH = 0.03
SURE_SCORES = 2.5
BORNE_DECAY = 0.98  # of the load once borne, with each shrinking
SHRINK_MOST = 0.65
IN_USE_SHARE = 0.8
LOW_LOAD_SHARE = 0.75
MIN_WINDOW = 10
CEILING_MS = 5_000.0  # a shed answer's limit is tried again after this time
FALL_RATIO_LOG = 0.9
FALL_ALARM = 2.0

# Held: what ends it.
SLOWER_LOG = 0.3
PROBED_ENOUGH = 0.6
NORMAL_ANSWERS = 3
SLOWER_RATIO = 1.6
RESUME_SHARE = 0.25
SHED_PAUSE_MS = 100.0
FAILURE_RATIO = 4.0  # a failure counts like an answer of such a ratio
PROVEN_SHARE = 0.8  # a shed answer below this share of the proven load

TROUBLE = frozenset((CallResult.FAILED, CallResult.RESET, CallResult.TIMEOUT))


class Phase(Enum):
    """What the limiter takes the backend server for."""

    COLD = 'cold'
    WARM = 'warm'
    HELD = 'held'


class AdaptiveLimiter:
    """
    Concurrency limit of one backend server.

    :param now_ms: clock.
    """

    def __init__(self, now_ms):
        self._now_ms = now_ms
        self._in_flight = InFlightCalls()
        self._baselines = Baselines()
        self._window = Window()
        self._rise = Rise()
        self._fall = Fall(FALL_RATIO_LOG, FALL_ALARM)
        self._verdict = Verdict(SLOWER_LOG, PROBED_ENOUGH)
        self._announced_cold = False
        self._pause_until_ms = float('-inf')
        self._known_limit = 0.0
        self._limit = float(COLD_LIMIT)
        self._start_cold(now_ms())

    @property
    def running(self):
        """Return the number of calls in progress."""
        return len(self._in_flight)

    @property
    def cold(self):
        """Return whether the backend server counts as cold."""
        return self.phase is not Phase.WARM

    @property
    def limit(self):
        """Return the limit in calls, at least 1."""
        if self.phase is Phase.COLD:
            return self._cold_limit()
        if self.phase is Phase.HELD:
            return COLD_LIMIT
        return max(COLD_LIMIT, int(self._limit))

    def has_room(self):
        """Return whether a call may start now."""
        now_ms = self._now_ms()
        if now_ms < self._pause_until_ms or self.running >= self.limit:
            return False
        late = self._in_flight.overdue(
            now_ms, self._acted_ms, self._baselines.late_ms
        )
        if late is not None:
            self._sign(late, FAILURE_RATIO)
        return self.running < self.limit

    def pause_ms(self):
        """Return how long no call may start whatever ends meanwhile."""
        return max(0.0, self._pause_until_ms - self._now_ms())

    def begin(self, profile):
        """
        Count a call as running.

        :return: :class:`~damasklanding.policy.inflight.Call`.
        """
        probe = self.phase is Phase.HELD
        return self._in_flight.begin(profile, self._now_ms(), probe)

    def end(self, call, result, own_time_ms, downstream_ms=0.0):
        """
        Take a call off and learn from its result.

        A call that made onward calls holds its slot meanwhile, but their
        time and failures say nothing about this backend server.

        :param own_time_ms: service time without that of onward calls.
        :param downstream_ms: time of onward calls.
        """
        self._in_flight.end(call)
        if result is CallResult.OK:
            self._answered(call, own_time_ms, downstream_ms)
        elif result is CallResult.SHED:
            self._shed(call)
        elif result in TROUBLE and not call.exempt:
            self._failed(call)

    def announce(self, cold, slots=0, cold_for_ms=0):
        """
        Note the backend server's own word.

        Only a change to cold counts: announcements are repeated, and one
        that is late must not end a cold start.

        :param slots: upper hint, 0 where unknown.
        :param cold_for_ms: not used; the end of a cold start is measured.
        """
        if cold and not self._announced_cold:
            self._known_limit = 0.0
            self._start_cold(self._now_ms())
        self._announced_cold = cold

    # Phases.

    def _start_cold(self, since_ms, level=COLD_LIMIT):
        self.phase = Phase.COLD
        self._warm_up = WarmUp(since_ms, self._now_ms(), level)
        self._restart()

    def _start_warm(self, limit, fast, borne=0.0):
        self.phase = Phase.WARM
        self._limit = float(limit)
        self._fast = fast
        self._overshot = False
        self._borne = float(borne or limit)
        self._shrunk_from = None
        self._ceiling = MAX_LIMIT
        self._ceiling_until_ms = float('-inf')
        self._restart()

    def _start_held(self, sign, ratio=FAILURE_RATIO):
        self.phase = Phase.HELD
        self._known_limit = self._limit
        self._sign_started_ms = sign.started_ms
        self._held_level = max(COLD_LIMIT, int(sign.running / ratio))
        self._normal = 0
        self._verdict.reset()
        self._restart()

    def _restart(self):
        self._acted_ms = self._now_ms()
        self._proven = 0
        self._smooth = 1.0
        self._window.reset()
        self._rise.reset()
        self._fall.reset()

    # Answers.

    def _answered(self, call, time_ms, downstream_ms):
        name = call.profile
        ratio = self._baselines.ratio(name, time_ms, downstream_ms)
        if not self._baselines.known(name):
            self._baselines.learn(name, time_ms)
        if self.phase is Phase.HELD:
            self._answered_held(call, ratio)
            return
        if call.started_ms < self._acted_ms:
            return
        self._smooth += SMOOTH_SHARE * (ratio - self._smooth)
        if self._smooth <= PROVEN_RATIO:
            self._proven = max(self._proven, call.running)
        if self.phase is Phase.COLD:
            self._answered_cold(call, ratio, time_ms)
        else:
            self._answered_warm(call, ratio, time_ms)

    def _answered_cold(self, call, ratio, time_ms):
        if call.running <= max(1, LOW_LOAD_SHARE * self._warm_up.level):
            self._baselines.learn(call.profile, time_ms)
        batch = max(1, int(BATCH_SHARE * call.running))
        if self._rise.add(ratio, self._baselines.spread, batch):
            self._back_off_cold(call, self._rise.mean_ratio())

    def _answered_warm(self, call, ratio, time_ms):
        if self._fall.add(ratio):
            self._fell(call, ratio)
            return
        low = call.running <= LOW_LOAD_SHARE * self._borne
        if low and self._shrunk_from is None:
            self._baselines.learn(call.profile, time_ms)
        self._window.add(ratio, call.running)
        if self._window.count >= max(MIN_WINDOW, self._window_size()):
            self._adjust()

    def _fell(self, call, ratio):
        """Tell a limit that was never tried before from a change."""
        if call.running <= PROVEN_GROWTH * self._proven or self._overshot:
            self._start_held(call, self._fall.mean_ratio())
            return
        self._overshot = True
        self._fast = False
        self._shrunk_from = Sign(0.0, call.running, ratio)
        self._limit = max(self._proven, call.running / ratio, 1.0)
        self._restart()

    def _answered_held(self, call, ratio):
        if call.probe:
            self._probed(ratio)
        elif call.started_ms >= self._sign_started_ms:
            self._normal = 0 if ratio > SLOWER_RATIO else self._normal + 1
            if self._normal >= NORMAL_ANSWERS:
                self._start_warm(self._known_limit, fast=False)

    def _probed(self, ratio):
        slower = self._verdict.add(ratio)
        if slower is None:
            return
        ratio = self._verdict.mean_ratio()
        if slower:
            self._baselines.scale(ratio)
            self._resume_slower()
        else:
            if ratio > 1.0:
                self._baselines.scale(ratio)
            self._start_cold(self._sign_started_ms, self._held_level)

    def _resume_slower(self):
        known = self._known_limit
        limit = max(2.0, RESUME_SHARE * known)
        self._start_warm(limit, fast=True, borne=known)

    # Signs of trouble.

    def _failed(self, call):
        if self.phase is Phase.HELD:
            if call.probe:
                self._resume_slower()
        elif call.started_ms < self._acted_ms:
            return
        elif self._fall.add(FAILURE_RATIO):
            self._sign(call, FAILURE_RATIO)

    def _shed(self, call):
        if call.running <= COLD_LIMIT:
            self._pause_until_ms = self._now_ms() + SHED_PAUSE_MS
        if self.phase is Phase.HELD or call.started_ms < self._acted_ms:
            return
        if self.phase is Phase.COLD:
            self._back_off_cold(call, 1.0)
            self._warm_up.level = max(COLD_LIMIT, call.running - 1)
        elif call.running > PROVEN_SHARE * self._proven:
            self._set_ceiling(call.running - 1)
        else:
            self._start_held(call, float(call.running))

    def _sign(self, call, ratio):
        if call.started_ms < self._acted_ms:
            return
        if self.phase is Phase.WARM:
            self._fell(call, ratio)
        elif self.phase is Phase.COLD:
            self._back_off_cold(call, ratio)

    # Cold.

    def _cold_limit(self):
        now_ms = self._now_ms()
        warm_up = self._warm_up
        target = warm_up.target(now_ms, self._baselines.mean_ms())
        proven = max(warm_up.level, self._proven * PROVEN_GROWTH + 1)
        limit = max(COLD_LIMIT, int(min(target, proven, MAX_LIMIT)))
        if self._known_limit and limit >= self._known_limit:
            self._start_warm(limit, fast=False)
        elif warm_up.is_over(now_ms):
            borne = max(warm_up.level, self._proven)
            self._start_warm(limit, warm_up.unbounded, borne)
        return limit

    def _back_off_cold(self, call, ratio):
        if call.running <= COLD_LIMIT and ratio > 1.0:
            self._baselines.scale(ratio)
            self._restart()
            return
        sign = self._warm_up.sign(call, ratio)
        signs = self._warm_up.signs
        if signs and is_slower(signs[-1], sign):
            self._baselines.scale(ratio)
            self._start_warm(signs[-1].running, fast=False)
            return
        borne = self._warm_up.back_off(sign)
        if self._warm_up.is_steady():
            self._start_warm(borne, fast=False)
        else:
            self._restart()

    # Warm.

    def _window_size(self):
        return self._limit if self._fast else 2 * self._limit

    def _adjust(self):
        ratio = self._window.ratio()
        noise = self._baselines.spread / sqrt(self._window.count)
        in_use = self._window.most_running >= IN_USE_SHARE * int(self._limit)
        self._window.reset()
        if ratio > max(SHRINK_ABOVE, 1.0 + SURE_SCORES * noise):
            self._shrink(ratio)
            return
        self._shrunk_from = None
        self._overshot = False
        if ratio < GROW_BELOW and in_use:
            self._borne = max(self._borne, self._limit)
            self._grow()

    def _shrink(self, ratio):
        now = Sign(0.0, self._limit, ratio)
        if self._shrunk_from is None:
            self._shrunk_from = now
        elif is_slower(self._shrunk_from, now):
            self._baselines.scale(ratio)
            self._start_warm(self._shrunk_from.running, fast=False)
            return
        self._fast = False
        self._borne *= BORNE_DECAY
        factor = max(SHRINK_MOST, GROW_BELOW / ratio)
        self._limit = max(float(COLD_LIMIT), self._limit * factor)
        self._acted_ms = self._now_ms()

    def _grow(self):
        if self._fast or self._limit < LOW_LOAD_SHARE * self._borne:
            limit = self._limit * FAST_GROWTH + 1
        else:
            limit = self._limit + max(1.0, SLOW_GROWTH * self._limit)
        if self._now_ms() < self._ceiling_until_ms:
            limit = min(limit, float(self._ceiling))
        self._limit = min(float(MAX_LIMIT), limit)

    def _set_ceiling(self, limit):
        self._ceiling = max(COLD_LIMIT, limit)
        self._ceiling_until_ms = self._now_ms() + CEILING_MS
        self._limit = min(self._limit, float(self._ceiling))
        self._proven = min(self._proven, self._ceiling)
        self._fast = False
        self._acted_ms = self._now_ms()
        self._window.reset()
