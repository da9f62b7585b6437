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
from damasklanding.policy.work import LoadReport
from damasklanding.policy.work import Result

__all__ = ['Router']

CHOICES = 2
MOST_CANDIDATES = 24
EXPLORE_SHARE = 0.02  # of the choices are made without a comparison
REPORT_FRESH_MS = 2_000.0
LATENCY_SHARE = 0.1
LATENCY_FADE_MS = 10_000.0
SLOW_RATIO = 3.0  # an own backend server this much slower is not preferred
COLD_SHARE = 0.25  # of a cold one's limit that one node may use

FAILURE_POINTS = {Result.FAILED: 1, Result.RESET: 2, Result.TIMEOUT: 2}
EJECT_POINTS = 4  # in a row
EJECT_MS = 1_000.0
MAX_EJECT_MS = 30_000.0
MOST_EJECTED_SHARE = 0.5

PROBE_SHARE = 0.2  # of shed calls, sent on to see whether it still sheds
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 5_000

_UNKNOWN = LoadReport()


class _Peer:
    """What this node knows about one backend server."""

    __slots__ = (
        'ejected_until_ms',
        'ejections',
        'latency_ms',
        'outstanding',
        'points',
        'report',
        'reported_ms',
        'sampled_ms',
        'sent_since',
    )

    def __init__(self):
        self.outstanding = 0
        self.sent_since = 0
        self.report = _UNKNOWN
        self.reported_ms = float('-inf')
        self.points = 0
        self.ejections = 0
        self.ejected_until_ms = float('-inf')
        self.latency_ms = 0.0
        self.sampled_ms = 0.0


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
        self._peers = {}

    def subset(self, backends):
        """
        Return the backend servers of a service that this node sends to.

        Bounds the node's links: half of ``MOST_CANDIDATES`` in its own data
        centre where there are so many, the rest elsewhere, by a hash that
        spreads the nodes evenly and moves few choices when servers change.

        :param backends: list of
            :class:`~damasklanding.fleet.resources.Backend`.
        """
        if len(backends) <= MOST_CANDIDATES:
            return backends
        ranked = sorted(backends, key=self._rank)
        near = [b for b in ranked if b.data_centre == self._own_data_centre]
        far = [b for b in ranked if b.data_centre != self._own_data_centre]
        own = [b for b in near if b.name == self._own_name]
        others = [b for b in near if b.name != self._own_name]
        chosen = (own + others)[: MOST_CANDIDATES // 2]
        chosen += far[: MOST_CANDIDATES - len(chosen)]
        missing = MOST_CANDIDATES - len(chosen)
        spare = [b for b in near if b not in chosen]
        return chosen + spare[:missing]

    def _rank(self, backend):
        return blake2b(f'{self._own_name}|{backend.name}'.encode()).digest()

    def choose(self, candidates, work, excluded=()):
        """
        Return the backend server for a call.

        :param candidates: list of
            :class:`~damasklanding.fleet.resources.Backend`, without those
            in data centres that are out.
        :param work: :class:`~damasklanding.policy.work.Work`.
        :param excluded: names that were tried already.
        :raises Unavailable: there is none.
        :raises Overloaded: all shed calls of this importance.
        """
        usable = [
            backend
            for backend in candidates
            if backend.name not in excluded and self._takes_work(backend)
        ]
        if not usable:
            raise Unavailable(
                'no backend server of the service takes work',
                retry_after_ms=MIN_RETRY_AFTER_MS,
            )
        if len(usable) == 1:
            self._check_shed(usable, work)
            return usable[0]
        healthy = self._healthy(usable)
        for tier in self._tiers(healthy):
            best = self._best(tier)
            if best is not None and self._has_room(best.name):
                return best
        self._check_shed(healthy, work)
        return self._best(healthy)

    def started(self, name):
        """Count a call that was sent to a node."""
        peer = self._peer(name)
        peer.outstanding += 1
        peer.sent_since += 1

    def finished(self, name, result, latency_ms):
        """Learn from the end of a call."""
        peer = self._peer(name)
        peer.outstanding = max(0, peer.outstanding - 1)
        peer.sent_since = max(0, peer.sent_since - 1)
        if result is Result.OK:
            peer.points = 0
            peer.ejections = 0
            self._sample(peer, latency_ms)
        elif result in FAILURE_POINTS:
            self._failed(peer, FAILURE_POINTS[result])

    def observed(self, name, report):
        """Take a load report that came with an answer or heartbeat."""
        if report is None:
            return
        peer = self._peer(name)
        peer.report = report
        peer.reported_ms = self._now_ms()
        peer.sent_since = 0

    def _peer(self, name):
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = _Peer()
        return peer

    def _sample(self, peer, latency_ms):
        known_ms = peer.latency_ms or latency_ms
        peer.latency_ms = known_ms + LATENCY_SHARE * (latency_ms - known_ms)
        peer.sampled_ms = self._now_ms()

    def _failed(self, peer, points):
        now_ms = self._now_ms()
        if now_ms < peer.ejected_until_ms:
            return  # one of several that were under way
        peer.points += points
        if peer.points < EJECT_POINTS:
            return
        pause_ms = min(MAX_EJECT_MS, EJECT_MS * 2**peer.ejections)
        peer.ejected_until_ms = now_ms + pause_ms
        peer.ejections += 1
        # One more failure after the pause ejects it again.
        peer.points = EJECT_POINTS - 1

    def _report(self, name):
        peer = self._peer(name)
        if self._now_ms() - peer.reported_ms > REPORT_FRESH_MS:
            return _UNKNOWN
        return peer.report

    def _takes_work(self, backend):
        if backend.state != 'in' or backend.held_out:
            return False
        return not self._report(backend.name).draining

    def _healthy(self, usable):
        """Leave out ejected ones, but never more than a share of all."""
        now_ms = self._now_ms()
        healthy = [
            backend
            for backend in usable
            if now_ms >= self._peer(backend.name).ejected_until_ms
        ]
        ejected = len(usable) - len(healthy)
        if not healthy or ejected > MOST_EJECTED_SHARE * len(usable):
            return usable
        return healthy

    def _tiers(self, backends):
        own = [b for b in backends if b.name == self._own_name]
        if own and not self._is_slow(own[0], backends):
            yield own
        yield [b for b in backends if b.data_centre == self._own_data_centre]
        yield backends

    def _is_slow(self, own, backends):
        own_ms = self._latency_ms(own.name)
        others = [
            self._latency_ms(b.name) for b in backends if b.name != own.name
        ]
        known = [latency_ms for latency_ms in others if latency_ms]
        return bool(known) and own_ms > SLOW_RATIO * min(known)

    def _best(self, backends):
        if not backends:
            return None
        if len(backends) > 1 and self._random.random() < EXPLORE_SHARE:
            return self._random.choice(backends)
        if len(backends) > CHOICES:
            backends = self._random.sample(backends, CHOICES)
        return min(backends, key=self._expected_ms)

    def _load(self, name):
        """Return the calls that are there now, as far as known."""
        peer = self._peer(name)
        report = self._report(name)
        return max(
            report.running + report.queued + peer.sent_since, peer.outstanding
        )

    def _latency_ms(self, name):
        """Return the time of a call seen from here; old samples fade."""
        peer = self._peer(name)
        age_ms = self._now_ms() - peer.sampled_ms
        return peer.latency_ms * exp(-age_ms / LATENCY_FADE_MS)

    def _expected_ms(self, backend):
        report = self._report(backend.name)
        time_ms = self._latency_ms(backend.name) or report.service_time_ms
        limit = max(1, report.limit)
        queue_share = (self._load(backend.name) + 1) / limit
        return (time_ms + 1.0) * (0.5 + queue_share)

    def _has_room(self, name):
        report = self._report(name)
        if not report.limit:
            return True
        if report.cold and name != self._own_name:
            share = max(1, int(COLD_SHARE * report.limit))
            if self._peer(name).outstanding >= share:
                return False
        return self._load(name) < report.limit

    def _check_shed(self, backends, work):
        reports = [self._report(backend.name) for backend in backends]
        if any(work.importance >= report.shed_below for report in reports):
            return
        if self._random.random() < PROBE_SHARE:
            return
        wait_ms = int(min(report.wait_ms for report in reports))
        raise Overloaded(
            'all backend servers of the service shed this importance',
            retry_after_ms=max(
                MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms)
            ),
        )
