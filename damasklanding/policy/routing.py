"""
damasklanding.policy.routing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Choice of the backend server for a call: the own one first, then the own
data centre, then any, each time the better of two by expected time, from
load reports, outstanding calls and outcomes.
"""

from hashlib import blake2b
from math import exp

from damasklanding.errors import Overloaded
from damasklanding.errors import Unavailable
from damasklanding.policy.types import CallResult
from damasklanding.policy.types import LoadReport

__all__ = ['Router']

SAMPLED_CHOICES = 2
MAX_CANDIDATES = 24
EXPLORE_RATIO = 0.02  # of the choices are made without a comparison
REPORT_MAX_AGE_MS = 2_000.0
LATENCY_SMOOTHING = 0.1
FULL_SUCCESS_RATIO = 0.99  # good outcomes, which count as all
SUCCESS_SMOOTHING = 0.1  # weight of one outcome in the share that is good
SUCCESS_HALF_LIFE_MS = 4_000.0  # after which a bad share is half forgotten
#: Of the best share of good outcomes, below which a backend server is left
#: to the exploring choices.
MIN_RELATIVE_SUCCESS = 0.75
MIN_BEST_SUCCESS_RATIO = 0.5  # where none does better, chance decides too much
LATENCY_DECAY_MS = 10_000.0
SLOW_LATENCY_RATIO = (
    3.0  # an own backend server this much slower is not preferred
)
COLD_LIMIT_RATIO = 0.25  # of a cold one's limit that one node may use

FAILURE_POINTS = {
    CallResult.FAILED: 1,
    CallResult.RESET: 2,
    CallResult.TIMEOUT: 2,
}
#: Results that tell something about the backend server itself.
RATED_RESULTS = frozenset(
    (
        CallResult.OK,
        CallResult.FAILED,
        CallResult.REJECTED,
        CallResult.RESET,
        CallResult.TIMEOUT,
    )
)
EJECT_POINTS = 4  # in a row
EJECT_MS = 1_000.0
MAX_EJECT_MS = 30_000.0
MAX_EJECTED_RATIO = 0.5

SHED_PROBE_RATIO = 0.2  # of shed calls, sent on to see whether it still sheds
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 5_000

_UNKNOWN = LoadReport()


class _BackendStats:
    """What this node knows about one backend server."""

    __slots__ = (
        'ejected_until_ms',
        'ejections',
        'success_ratio',
        'latency_ms',
        'outstanding',
        'failure_points',
        'report',
        'reported_ms',
        'rated_ms',
        'sampled_ms',
        'sent_since_report',
    )

    def __init__(self):
        self.outstanding = 0
        self.sent_since_report = 0
        self.report = _UNKNOWN
        self.reported_ms = float('-inf')
        self.failure_points = 0
        self.ejections = 0
        self.ejected_until_ms = float('-inf')
        self.success_ratio = 1.0
        self.rated_ms = 0.0
        self.latency_ms = 0.0
        self.sampled_ms = 0.0

    def current_success_ratio(self, now_ms):
        """Return the share of good outcomes; bad ones fade."""
        if self.success_ratio > FULL_SUCCESS_RATIO:
            return 1.0
        kept = 0.5 ** ((now_ms - self.rated_ms) / SUCCESS_HALF_LIFE_MS)
        return 1.0 - (1.0 - self.success_ratio) * kept

    def record_outcome(self, success, now_ms):
        """Take in whether an outcome was good."""
        share = self.current_success_ratio(now_ms)
        self.success_ratio = share + SUCCESS_SMOOTHING * (
            float(success) - share
        )
        self.rated_ms = now_ms


class Router:
    """
    Chooses among the backend servers of a service.

    :param own_name: name of this node.
    :param own_data_centre: its data centre.
    :param now_ms: clock.
    :param random: :class:`random.Random`.
    """

    def __init__(self, own_name, own_data_centre, now_ms, random):
        self._own_name = own_name
        self._own_data_centre = own_data_centre
        self._now_ms = now_ms
        self._random = random
        self._stats = {}
        self._candidates = {}

    def subset(self, backends):
        """
        Return the backend servers of a service that this node sends to.

        Bounds the node's links: half of ``MAX_CANDIDATES`` in its own data
        centre where there are so many, the rest elsewhere, by a hash that
        spreads the nodes evenly and moves few choices when servers change.

        :param backends: list of
            :class:`~damasklanding.fleet.resources.Backend`.
        """
        if len(backends) <= MAX_CANDIDATES:
            return backends
        ranked = sorted(backends, key=self._rank)
        near = [b for b in ranked if b.data_centre == self._own_data_centre]
        far = [b for b in ranked if b.data_centre != self._own_data_centre]
        own = [b for b in near if b.name == self._own_name]
        others = [b for b in near if b.name != self._own_name]
        chosen = (own + others)[: MAX_CANDIDATES // 2]
        chosen += far[: MAX_CANDIDATES - len(chosen)]
        missing = MAX_CANDIDATES - len(chosen)
        spare = [b for b in near if b not in chosen]
        return chosen + spare[:missing]

    def _rank(self, backend):
        return blake2b(f'{self._own_name}|{backend.name}'.encode()).digest()

    def choose(self, candidates, request, excluded=()):
        """
        Return the backend server for a call.

        :param candidates: list of
            :class:`~damasklanding.fleet.resources.Backend`, without those
            in data centres that are out.
        :param request: whatever has an ``importance``.
        :param excluded: names that were tried already.
        :raises Unavailable: there is none.
        :raises Overloaded: all shed calls of this importance.
        """
        now_ms = self._now_ms()
        usable = self._usable(candidates, excluded, now_ms)
        if not usable:
            raise Unavailable(
                'no backend server of the service takes work',
                retry_after_ms=MIN_RETRY_AFTER_MS,
            )
        if len(usable) == 1:
            self._refuse_if_shed(usable, request)
            return usable[0].backend
        healthy = self._without_failing(_healthy(usable, now_ms), now_ms)
        for tier in self._tiers(healthy, now_ms):
            best = self._pick(tier, now_ms)
            if best is not None and self._has_capacity(best):
                return best.backend
        self._refuse_if_shed(healthy, request)
        return self._pick(healthy, now_ms).backend

    def _without_failing(self, candidates, now_ms):
        """Leave out those whose calls fail far more often than others'."""
        if all(
            candidate.stats.success_ratio > FULL_SUCCESS_RATIO
            for candidate in candidates
        ):
            return candidates
        if self._random.random() < EXPLORE_RATIO:
            return candidates
        shares = [c.stats.current_success_ratio(now_ms) for c in candidates]
        best = max(shares)
        if best < MIN_BEST_SUCCESS_RATIO:
            return candidates
        return [
            candidate
            for candidate, share in zip(candidates, shares, strict=True)
            if share >= MIN_RELATIVE_SUCCESS * best
        ]

    def _usable(self, backends, excluded, now_ms):
        usable = []
        known = self._candidates
        for backend in backends:
            name = backend.name
            if name in excluded or backend.state != 'in' or backend.held_out:
                continue
            candidate = known.get(name)
            if candidate is None or candidate.backend is not backend:
                candidate = known[name] = _Candidate(
                    backend, self._stats_of(name)
                )
            stats = candidate.stats
            if now_ms - stats.reported_ms > REPORT_MAX_AGE_MS:
                stats.report = _UNKNOWN
            if not stats.report.draining:
                usable.append(candidate)
        return usable

    def call_started(self, name):
        """Count a call that was sent to a node."""
        stats = self._stats_of(name)
        stats.outstanding += 1
        stats.sent_since_report += 1

    def call_finished(self, name, result, latency_ms):
        """Learn from the end of a call."""
        stats = self._stats_of(name)
        stats.outstanding = max(0, stats.outstanding - 1)
        stats.sent_since_report = max(0, stats.sent_since_report - 1)
        if result in RATED_RESULTS:
            stats.record_outcome(result is CallResult.OK, self._now_ms())
        if result is CallResult.OK:
            stats.failure_points = 0
            stats.ejections = 0
            self._record_latency(stats, latency_ms)
        elif result in FAILURE_POINTS:
            self._record_failure(stats, FAILURE_POINTS[result])

    def update_load(self, name, report):
        """Take a load report that came with an answer or heartbeat."""
        if report is None:
            return
        stats = self._stats_of(name)
        stats.report = report
        stats.reported_ms = self._now_ms()
        stats.sent_since_report = 0

    def _stats_of(self, name):
        stats = self._stats.get(name)
        if stats is None:
            stats = self._stats[name] = _BackendStats()
        return stats

    def _record_latency(self, stats, latency_ms):
        known_ms = stats.latency_ms or latency_ms
        stats.latency_ms = known_ms + LATENCY_SMOOTHING * (
            latency_ms - known_ms
        )
        stats.sampled_ms = self._now_ms()

    def _record_failure(self, stats, failure_points):
        now_ms = self._now_ms()
        if now_ms < stats.ejected_until_ms:
            return  # one of several that were under way
        stats.failure_points += failure_points
        if stats.failure_points < EJECT_POINTS:
            return
        pause_ms = min(MAX_EJECT_MS, EJECT_MS * 2**stats.ejections)
        stats.ejected_until_ms = now_ms + pause_ms
        stats.ejections += 1
        # One more failure after the pause ejects it again.
        stats.failure_points = EJECT_POINTS - 1

    def _tiers(self, candidates, now_ms):
        own_name = self._own_name
        for own in candidates:
            if own.backend.name == own_name:
                if not _is_slow(own, candidates, now_ms):
                    yield [own]
                break
        data_centre = self._own_data_centre
        yield [c for c in candidates if c.backend.data_centre == data_centre]
        yield candidates

    def _pick(self, candidates, now_ms):
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        if self._random.random() < EXPLORE_RATIO:
            return self._random.choice(candidates)
        if len(candidates) > SAMPLED_CHOICES:
            candidates = self._random.sample(candidates, SAMPLED_CHOICES)
        return min(candidates, key=lambda c: _expected_ms(c, now_ms))

    def _has_capacity(self, candidate):
        report = candidate.stats.report
        if not report.limit:
            return True
        if report.cold and candidate.backend.name != self._own_name:
            share = max(1, int(COLD_LIMIT_RATIO * report.limit))
            if candidate.stats.outstanding >= share:
                return False
        return _load(candidate) < report.limit

    def _refuse_if_shed(self, candidates, request):
        for candidate in candidates:
            if request.importance >= candidate.stats.report.shed_below:
                return
        if self._random.random() < SHED_PROBE_RATIO:
            return
        wait_ms = int(min(c.stats.report.wait_ms for c in candidates))
        raise Overloaded(
            'all backend servers of the service shed this importance',
            retry_after_ms=max(
                MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms)
            ),
        )


class _Candidate:
    """A backend server with what is known of it."""

    __slots__ = ('backend', 'stats')

    def __init__(self, backend, stats):
        self.backend = backend
        self.stats = stats


def _healthy(usable, now_ms):
    """Leave out ejected ones, but never more than a share of all."""
    healthy = [c for c in usable if now_ms >= c.stats.ejected_until_ms]
    ejected = len(usable) - len(healthy)
    if not healthy or ejected > MAX_EJECTED_RATIO * len(usable):
        return usable
    return healthy


def _is_slow(own, candidates, now_ms):
    times_ms = [_latency_ms(c, now_ms) for c in candidates if c is not own]
    known = [time_ms for time_ms in times_ms if time_ms]
    return bool(known) and _latency_ms(own, now_ms) > SLOW_LATENCY_RATIO * min(
        known
    )


def _load(candidate):
    """Return the calls that are there now, as far as known."""
    stats = candidate.stats
    report = stats.report
    return max(
        report.running + report.queued + stats.sent_since_report,
        stats.outstanding,
    )


def _latency_ms(candidate, now_ms):
    """Return the time of a call seen from here; old samples fade."""
    stats = candidate.stats
    if not stats.latency_ms:
        return 0.0
    age_ms = now_ms - stats.sampled_ms
    return stats.latency_ms * exp(-age_ms / LATENCY_DECAY_MS)


def _expected_ms(candidate, now_ms):
    report = candidate.stats.report
    time_ms = _latency_ms(candidate, now_ms) or report.service_time_ms
    limit = max(1, report.limit)
    queue_share = (_load(candidate) + 1) / limit
    return (time_ms + 1.0) * (0.5 + queue_share)
