"""
damasklanding.policy.routing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the backend server for a call.  The node's local backend server is
preferred, then those in its data centre, then any other.  Among several, two
are sampled at random and the one with the shorter expected time is chosen
(power of two choices).  The expected time follows from load reports,
outstanding calls and observed latencies.
"""

from hashlib import blake2b
from math import exp

from damasklanding.errors import Overloaded
from damasklanding.errors import Unavailable
from damasklanding.policy.successratio import SuccessRatio
from damasklanding.policy.types import CallResult
from damasklanding.policy.types import LoadReport

__all__ = ['Router']

SAMPLED_CHOICES = 2
MAX_CANDIDATES = 24
EXPLORE_RATIO = 0.02  # of the choices, made at random without a comparison
REPORT_MAX_AGE_MS = 2_000.0
LATENCY_SMOOTHING = 0.1
#: A backend server whose success ratio is below this multiple of the best one
#: gets only exploring choices.
MIN_RELATIVE_SUCCESS = 0.75
#: If no success ratio reaches this, the differences are mostly random and no
#: backend server is left out.
MIN_BEST_SUCCESS_RATIO = 0.5
LATENCY_DECAY_MS = 10_000.0
#: The local backend server is not preferred if its latency exceeds this
#: multiple of the lowest one.
SLOW_LATENCY_RATIO = 3.0
COLD_LIMIT_RATIO = 0.25  # of a cold remote server's limit, for one node
#: Time after a backend server has joined cold during which it counts as cold
#: without a load report.
JOINING_MS = 5_000.0
#: Time for which the backend servers of a data centre count as cold after its
#: return: two announcements, which come every 1.5 s.
RETURNED_COLD_MS = 3_000.0

FAILURE_POINTS = {
    CallResult.FAILED: 1,
    CallResult.RESET: 2,
    CallResult.TIMEOUT: 2,
}
#: Results that count for the success ratio of a backend server.
RATED_RESULTS = frozenset(
    (
        CallResult.OK,
        CallResult.FAILED,
        CallResult.REJECTED,
        CallResult.RESET,
        CallResult.TIMEOUT,
    )
)
EJECT_FAILURE_POINTS = 4  # sum over consecutive failures
BASE_EJECT_MS = 1_000.0
MAX_EJECT_MS = 30_000.0
MAX_EJECTED_RATIO = 0.5

#: Ratio of the calls that are sent although all backend servers shed their
#: rank; they probe whether that is still the case.
SHED_PROBE_RATIO = 0.2
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 5_000

_UNKNOWN = LoadReport()


class _BackendStats:
    """
    Statistics of this node about one backend server.

    :ivar outstanding: calls sent that have not ended.
    :ivar sent_since_report: those sent after the last load report.
    :ivar leaving_start: id of the start of the backend server that has said
        that it leaves.
    :ivar report: last load report.
    :ivar reported_ms: time of that report.
    :ivar failure_points: sum over consecutive failures.
    :ivar ejections: consecutive ejections.
    :ivar ejected_until_ms: end of the last ejection.
    :ivar success: ratio of the calls of this node that succeeded.
    :ivar latency_ms: smoothed latency, 0.0 if unknown.
    :ivar sampled_ms: time of the last update of the latency.
    :ivar cold_turn_ms: time from which this node may send the next call while
        the backend server is cold, None before the first.
    """

    __slots__ = (
        'cold_turn_ms',
        'ejected_until_ms',
        'ejections',
        'success',
        'latency_ms',
        'outstanding',
        'failure_points',
        'leaving_start',
        'report',
        'reported_ms',
        'sampled_ms',
        'sent_since_report',
    )

    def __init__(self):
        self.outstanding = 0
        self.sent_since_report = 0
        self.leaving_start = ''
        self.report = _UNKNOWN
        self.reported_ms = float('-inf')
        self.failure_points = 0
        self.ejections = 0
        self.ejected_until_ms = float('-inf')
        self.success = SuccessRatio()
        self.latency_ms = 0.0
        self.cold_turn_ms = None
        self.sampled_ms = 0.0
        self.cold_turn_ms = None

    def forget_failures(self):
        """Forget the failures of a start that has ended."""
        self.failure_points = 0
        self.ejections = 0
        self.ejected_until_ms = float('-inf')
        self.success = SuccessRatio()
        self.latency_ms = 0.0
        self.cold_turn_ms = None

    def success_ratio(self, now_ms):
        """
        Return the success ratio.

        It is the lower one of what this node has seen and of what the node
        beside the backend server reports of the calls of all nodes.
        """
        return min(self.success.current(now_ms), self.report.success_ratio)


class Router:
    """
    Chooses among the backend servers of a service.

    :param own_name: name of this node.
    :param own_data_centre: data centre of this node.
    :param now_ms: function that returns the current time in milliseconds.
    :param random: :class:`random.Random`.
    :param cold_rate_per_s: function of a service's name that returns the rate
        which a cold backend server of it bears, 0.0 if unknown.
    :param node_count: function that returns how many nodes share that rate.
    """

    def __init__(
        self,
        own_name,
        own_data_centre,
        now_ms,
        random,
        cold_rate_per_s=lambda _service: 0.0,
        node_count=lambda: 1,
    ):
        self._own_name = own_name
        self._own_data_centre = own_data_centre
        self._now_ms = now_ms
        self._random = random
        self._cold_rate_per_s = cold_rate_per_s
        self._node_count = node_count
        self._stats = {}
        self._candidates = {}
        self._returned_ms = {}

    def subset(self, backends):
        """
        Return the backend servers of a service that this node may call.

        The subset bounds the number of links of the node.  Up to half of
        ``MAX_CANDIDATES`` are in its own data centre and the rest elsewhere;
        if either has too few, the other fills up the subset.  Rendezvous
        hashing spreads the nodes evenly and changes few choices when backend
        servers come or go.

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
            in data centres that are out of service.
        :param request: any object with a ``rank``.
        :param excluded: names of backend servers that were already tried.
        :raises Unavailable: no backend server accepts calls.
        :raises Overloaded: all backend servers shed this rank.
        """
        now_ms = self._now_ms()
        usable = self._usable(candidates, excluded, now_ms)
        if not usable:
            raise Unavailable(
                'no backend server of the service accepts calls',
                retry_after_ms=MIN_RETRY_AFTER_MS,
            )
        if len(usable) == 1:
            self._refuse_if_shed(usable, request)
            return usable[0].backend
        healthy = self._without_failing(_healthy(usable, now_ms), now_ms)
        preferred = self._without_cold(healthy, now_ms)
        best = self._best_with_room(preferred, now_ms)
        if best is None and preferred is not healthy:
            best = self._best_with_room(healthy, now_ms)
        if best is not None:
            return best.backend
        self._refuse_if_shed(healthy, request)
        admitting = [c for c in healthy if self._has_rate(c)]
        return self._pick(admitting or healthy, now_ms).backend

    def _best_with_room(self, candidates, now_ms):
        """Return the best candidate of the nearest group that has room."""
        admitting = [c for c in candidates if self._has_rate(c)]
        for tier in self._tiers(admitting, now_ms):
            best = self._pick(tier, now_ms)
            if best is not None and self._has_capacity(best):
                return best
        return None

    def has_usable(self, candidates):
        """Return whether a backend server accepts calls, as far as known."""
        return bool(self._usable(candidates, (), self._now_ms()))

    def has_warm(self, candidates):
        """Return whether a backend server accepts calls and is warm."""
        now_ms = self._now_ms()
        return any(
            not self._is_warming(candidate, now_ms)
            for candidate in self._usable(candidates, (), now_ms)
        )

    def unusable(self, candidates):
        """Return why by name for backend servers that accept no calls."""
        now_ms = self._now_ms()
        usable = {c.backend.name for c in self._usable(candidates, (), now_ms)}
        return {
            backend.name: self._unusable_reason(backend, now_ms)
            for backend in candidates
            if backend.name not in usable
        }

    def _unusable_reason(self, backend, now_ms):
        stats = self._stats_of(backend.name)
        if stats.leaving_start and backend.start == stats.leaving_start:
            return f'its start {backend.start} has said that it leaves'
        age_ms = now_ms - stats.reported_ms
        return f'its node reported {age_ms:.0f} ms ago that it drains'

    def _without_failing(self, candidates, now_ms):
        """
        Leave out candidates that fail far more often than the others.

        A small ratio of the choices keeps them, to explore whether they have
        recovered.
        """
        ratios = [c.stats.success_ratio(now_ms) for c in candidates]
        best = max(ratios)
        if min(ratios) >= MIN_RELATIVE_SUCCESS * best:
            return candidates
        if self._random.random() < EXPLORE_RATIO:
            return candidates
        if best < MIN_BEST_SUCCESS_RATIO:
            return candidates
        return [
            candidate
            for candidate, ratio in zip(candidates, ratios, strict=True)
            if ratio >= MIN_RELATIVE_SUCCESS * best
        ]

    def _without_cold(self, candidates, now_ms):
        """
        Leave out cold candidates while another node's turn is due.

        A cold backend server bears a few calls a second from all nodes
        together.  If each of many nodes sent one when it joins, they would
        meet there and be refused.
        """
        cold = [c for c in candidates if self._is_cold(c, now_ms)]
        if not cold or len(cold) == len(candidates):
            return candidates
        waiting = [c for c in cold if not self._has_cold_turn(c, now_ms)]
        return [c for c in candidates if c not in waiting]

    def _is_cold(self, candidate, now_ms):
        backend = candidate.backend
        if backend.name == self._own_name:
            return False
        return self._is_warming(candidate, now_ms)

    def _is_warming(self, candidate, now_ms):
        backend = candidate.backend
        stats = candidate.stats
        returned_ms = self._returned_ms.get(backend.data_centre, float('-inf'))
        is_known = (
            stats.report is not _UNKNOWN
            # A node may report for a while from before the return.
            and not stats.report.is_out
            and stats.reported_ms >= returned_ms
        )
        if is_known:
            return stats.report.cold
        if now_ms - returned_ms < RETURNED_COLD_MS:
            return True
        age_ms = now_ms - candidate.joined_ms
        return backend.cold_start and age_ms < JOINING_MS

    def note_return(self, data_centre):
        """Note that a data centre has just been taken back into service."""
        self._returned_ms[data_centre] = self._now_ms()

    def cold_interval_ms(self, candidates):
        """
        Return the time between two calls of this node to a cold service.

        :return: 0.0 unless all its usable backend servers are cold and their
            rate is known.
        """
        now_ms = self._now_ms()
        usable = self._usable(candidates, (), now_ms)
        if not usable or not all(self._is_warming(c, now_ms) for c in usable):
            return 0.0
        return self._cold_interval_ms(usable[0].backend) / len(usable)

    def _has_cold_turn(self, candidate, now_ms):
        interval_ms = self._cold_interval_ms(candidate.backend)
        stats = candidate.stats
        if stats.cold_turn_ms is None:
            stats.cold_turn_ms = now_ms + self._random.random() * interval_ms
        return now_ms >= stats.cold_turn_ms

    def _cold_interval_ms(self, backend):
        """Return the time between the calls of one node to a cold server."""
        rate_per_s = self._cold_rate_per_s(backend.service)
        if not rate_per_s:
            return 0.0
        return 1000.0 * self._node_count() / rate_per_s

    def _usable(self, backends, excluded, now_ms):
        usable = []
        known = self._candidates
        for backend in backends:
            name = backend.name
            if name in excluded or backend.state != 'in' or backend.held_out:
                continue
            candidate = known.get(name)
            if candidate is None or candidate.backend is not backend:
                candidate = self._add_candidate(backend, candidate, now_ms)
            stats = candidate.stats
            if stats.leaving_start and backend.start == stats.leaving_start:
                continue
            if now_ms - stats.reported_ms > REPORT_MAX_AGE_MS:
                stats.report = _UNKNOWN
            is_draining = (
                stats.report.draining
                and stats.reported_ms >= candidate.kept_ms
            )
            if not is_draining:
                usable.append(candidate)
        return usable

    def _add_candidate(self, backend, previous, now_ms):
        stats = self._stats_of(backend.name)
        joined_ms = now_ms
        kept_ms = now_ms if backend.departure else float('-inf')
        if previous is not None:
            if previous.backend.departure and backend.departure:
                kept_ms = previous.kept_ms
            if previous.backend.instance != backend.instance:
                stats.forget_failures()
            elif previous.backend.start == backend.start:
                joined_ms = previous.joined_ms
        candidate = _Candidate(backend, stats, joined_ms, kept_ms)
        self._candidates[backend.name] = candidate
        return candidate

    def call_started(self, name):
        """Count a call that is sent to a backend server."""
        stats = self._stats_of(name)
        stats.outstanding += 1
        stats.sent_since_report += 1
        if stats.cold_turn_ms is not None:
            candidate = self._candidates[name]
            stats.cold_turn_ms = self._now_ms() + self._cold_interval_ms(
                candidate.backend
            )

    def call_finished(self, name, result, latency_ms):
        """
        Record the end of a call.

        :param name: name of the backend server.
        :param result: :class:`~damasklanding.policy.types.CallResult`.
        :param latency_ms: time since the call was sent.
        """
        stats = self._stats_of(name)
        stats.outstanding = max(0, stats.outstanding - 1)
        stats.sent_since_report = max(0, stats.sent_since_report - 1)
        if result in RATED_RESULTS:
            stats.success.note(result is CallResult.OK, self._now_ms())
        if result is CallResult.OK:
            stats.failure_points = 0
            stats.ejections = 0
            self._record_latency(stats, latency_ms)
        elif result in FAILURE_POINTS:
            self._record_failure(stats, FAILURE_POINTS[result])

    def update_load(self, name, report):
        """Record a load report received with an answer or a heartbeat."""
        if report is None:
            return
        stats = self._stats_of(name)
        stats.report = report
        stats.reported_ms = self._now_ms()
        stats.sent_since_report = 0
        # Kept beyond the report: the node may restart and forget it.
        if report.leaving_start:
            stats.leaving_start = report.leaving_start

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
            return  # this call was already in progress at the ejection
        stats.failure_points += failure_points
        if stats.failure_points < EJECT_FAILURE_POINTS:
            return
        pause_ms = min(MAX_EJECT_MS, BASE_EJECT_MS * 2**stats.ejections)
        stats.ejected_until_ms = now_ms + pause_ms
        stats.ejections += 1
        # A single failure after the pause ejects the backend server again.
        stats.failure_points = EJECT_FAILURE_POINTS - 1

    def _tiers(self, candidates, now_ms):
        """Yield groups of candidates in order of preference."""
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
        """Return one of the candidates, or None if there are none."""
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        if self._random.random() < EXPLORE_RATIO:
            return self._random.choice(candidates)
        if len(candidates) > SAMPLED_CHOICES:
            candidates = self._random.sample(candidates, SAMPLED_CHOICES)
        # What is unknown of one is taken to be as that of the other.
        known_ms = max(_time_ms(c, now_ms) for c in candidates)
        known_limit = max(1, *(c.stats.report.limit for c in candidates))
        return min(
            candidates,
            key=lambda c: _expected_ms(c, now_ms, known_ms, known_limit),
        )

    def _has_capacity(self, candidate):
        report = candidate.stats.report
        if not report.limit:
            return True
        if report.cold and candidate.backend.name != self._own_name:
            allowed = max(1, int(COLD_LIMIT_RATIO * report.limit))
            if candidate.stats.outstanding >= allowed:
                return False
        return _load(candidate) < report.limit

    def _has_rate(self, candidate):
        """Return whether the rate that a server names admits a call now."""
        report = candidate.stats.report
        if not report.rate_per_s:
            return True
        if report.wait_ms > 0:
            return False
        is_own = candidate.backend.name == self._own_name
        return is_own or not candidate.stats.outstanding

    def _refuse_if_shed(self, candidates, request):
        for candidate in candidates:
            if not candidate.stats.report.sheds(request.rank):
                return
        if self._random.random() < SHED_PROBE_RATIO:
            return
        wait_ms = int(min(c.stats.report.wait_ms for c in candidates))
        raise Overloaded(
            'all backend servers of the service shed calls of this rank',
            retry_after_ms=max(
                MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms)
            ),
        )


class _Candidate:
    """
    A backend server and its statistics.

    :ivar joined_ms: time at which this node first saw its present start.
    :ivar kept_ms: time at which this node saw that it is kept in use while it
        leaves; earlier reports that it drains are out of date.
    """

    __slots__ = ('backend', 'joined_ms', 'kept_ms', 'stats')

    def __init__(self, backend, stats, joined_ms, kept_ms):
        self.backend = backend
        self.stats = stats
        self.joined_ms = joined_ms
        self.kept_ms = kept_ms


def _healthy(usable, now_ms):
    """
    Leave out ejected candidates.

    If more than ``MAX_EJECTED_RATIO`` of them are ejected, all are kept.
    """
    healthy = [c for c in usable if now_ms >= c.stats.ejected_until_ms]
    ejected = len(usable) - len(healthy)
    if not healthy or ejected > MAX_EJECTED_RATIO * len(usable):
        return usable
    return healthy


def _is_slow(own, candidates, now_ms):
    """Return whether the local backend server is far slower than others."""
    times_ms = [_latency_ms(c, now_ms) for c in candidates if c is not own]
    known = [time_ms for time_ms in times_ms if time_ms]
    return bool(known) and _latency_ms(own, now_ms) > SLOW_LATENCY_RATIO * min(
        known
    )


def _load(candidate):
    """Return the estimated number of calls at a backend server now."""
    stats = candidate.stats
    report = stats.report
    return max(
        report.running + report.queued + stats.sent_since_report,
        stats.outstanding,
    )


def _latency_ms(candidate, now_ms):
    """Return the latency observed by this node; it decays with its age."""
    stats = candidate.stats
    if not stats.latency_ms:
        return 0.0
    age_ms = now_ms - stats.sampled_ms
    return stats.latency_ms * exp(-age_ms / LATENCY_DECAY_MS)


def _time_ms(candidate, now_ms):
    """Return the time of a call as seen or reported, 0.0 if unknown."""
    return (
        _latency_ms(candidate, now_ms)
        or candidate.stats.report.service_time_ms
    )


def _expected_ms(candidate, now_ms, known_ms, known_limit):
    """
    Return an estimate of a call's time, for comparisons only.

    :param known_ms: time that stands for one that is unknown.
    :param known_limit: limit that stands for one that is unknown.
    """
    time_ms = _time_ms(candidate, now_ms) or known_ms
    limit = candidate.stats.report.limit or known_limit
    utilisation = (_load(candidate) + 1) / limit
    return (time_ms + 1.0) * (0.5 + utilisation)
