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

CHOICES = 2
MOST_CANDIDATES = 24
EXPLORE_SHARE = 0.02  # of the choices are made without a comparison
REPORT_FRESH_MS = 2_000.0
LATENCY_SHARE = 0.1
NEARLY_ALL = 0.99  # good outcomes, which count as all
GOOD_SHARE = 0.1  # weight of one outcome in the share that is good
GOOD_FADE_MS = 4_000.0  # after which a bad share is half forgotten
#: Of the best share of good outcomes, below which a backend server is left
#: to the exploring choices.
SOUND_RATIO = 0.75
LEAST_BEST_SHARE = 0.5  # where none does better, chance decides too much
LATENCY_FADE_MS = 10_000.0
SLOW_RATIO = 3.0  # an own backend server this much slower is not preferred
COLD_SHARE = 0.25  # of a cold one's limit that one node may use

FAILURE_POINTS = {
    CallResult.FAILED: 1,
    CallResult.RESET: 2,
    CallResult.TIMEOUT: 2,
}
#: Results that tell something about the backend server itself.
JUDGED = frozenset(
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
        'good',
        'latency_ms',
        'outstanding',
        'points',
        'report',
        'reported_ms',
        'judged_ms',
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
        self.good = 1.0
        self.judged_ms = 0.0
        self.latency_ms = 0.0
        self.sampled_ms = 0.0

    def good_share(self, now_ms):
        """Return the share of good outcomes; bad ones fade."""
        if self.good > NEARLY_ALL:
            return 1.0
        kept = 0.5 ** ((now_ms - self.judged_ms) / GOOD_FADE_MS)
        return 1.0 - (1.0 - self.good) * kept

    def judge(self, good, now_ms):
        """Take in whether an outcome was good."""
        share = self.good_share(now_ms)
        self.good = share + GOOD_SHARE * (float(good) - share)
        self.judged_ms = now_ms


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
        self._candidates = {}

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
        :param work: whatever has an ``importance``.
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
            self._check_shed(usable, work)
            return usable[0].backend
        healthy = self._sound(_healthy(usable, now_ms), now_ms)
        for tier in self._tiers(healthy, now_ms):
            best = self._best(tier, now_ms)
            if best is not None and self._has_room(best):
                return best.backend
        self._check_shed(healthy, work)
        return self._best(healthy, now_ms).backend

    def _sound(self, candidates, now_ms):
        """Leave out those whose calls fail far more often than others'."""
        if all(candidate.peer.good > NEARLY_ALL for candidate in candidates):
            return candidates
        if self._random.random() < EXPLORE_SHARE:
            return candidates
        shares = [c.peer.good_share(now_ms) for c in candidates]
        best = max(shares)
        if best < LEAST_BEST_SHARE:
            return candidates
        return [
            candidate
            for candidate, share in zip(candidates, shares, strict=True)
            if share >= SOUND_RATIO * best
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
                candidate = known[name] = _Candidate(backend, self._peer(name))
            peer = candidate.peer
            if now_ms - peer.reported_ms > REPORT_FRESH_MS:
                peer.report = _UNKNOWN
            if not peer.report.draining:
                usable.append(candidate)
        return usable

    def call_started(self, name):
        """Count a call that was sent to a node."""
        peer = self._peer(name)
        peer.outstanding += 1
        peer.sent_since += 1

    def call_finished(self, name, result, latency_ms):
        """Learn from the end of a call."""
        peer = self._peer(name)
        peer.outstanding = max(0, peer.outstanding - 1)
        peer.sent_since = max(0, peer.sent_since - 1)
        if result in JUDGED:
            peer.judge(result is CallResult.OK, self._now_ms())
        if result is CallResult.OK:
            peer.points = 0
            peer.ejections = 0
            self._sample(peer, latency_ms)
        elif result in FAILURE_POINTS:
            self._failed(peer, FAILURE_POINTS[result])

    def update_load(self, name, report):
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

    def _best(self, candidates, now_ms):
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        if self._random.random() < EXPLORE_SHARE:
            return self._random.choice(candidates)
        if len(candidates) > CHOICES:
            candidates = self._random.sample(candidates, CHOICES)
        return min(candidates, key=lambda c: _expected_ms(c, now_ms))

    def _has_room(self, candidate):
        report = candidate.peer.report
        if not report.limit:
            return True
        if report.cold and candidate.backend.name != self._own_name:
            share = max(1, int(COLD_SHARE * report.limit))
            if candidate.peer.outstanding >= share:
                return False
        return _load(candidate) < report.limit

    def _check_shed(self, candidates, work):
        for candidate in candidates:
            if work.importance >= candidate.peer.report.shed_below:
                return
        if self._random.random() < PROBE_SHARE:
            return
        wait_ms = int(min(c.peer.report.wait_ms for c in candidates))
        raise Overloaded(
            'all backend servers of the service shed this importance',
            retry_after_ms=max(
                MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms)
            ),
        )


class _Candidate:
    """A backend server with what is known of it."""

    __slots__ = ('backend', 'peer')

    def __init__(self, backend, peer):
        self.backend = backend
        self.peer = peer


def _healthy(usable, now_ms):
    """Leave out ejected ones, but never more than a share of all."""
    healthy = [c for c in usable if now_ms >= c.peer.ejected_until_ms]
    ejected = len(usable) - len(healthy)
    if not healthy or ejected > MOST_EJECTED_SHARE * len(usable):
        return usable
    return healthy


def _is_slow(own, candidates, now_ms):
    times_ms = [_latency_ms(c, now_ms) for c in candidates if c is not own]
    known = [time_ms for time_ms in times_ms if time_ms]
    return bool(known) and _latency_ms(own, now_ms) > SLOW_RATIO * min(known)


def _load(candidate):
    """Return the calls that are there now, as far as known."""
    peer = candidate.peer
    report = peer.report
    return max(
        report.running + report.queued + peer.sent_since, peer.outstanding
    )


def _latency_ms(candidate, now_ms):
    """Return the time of a call seen from here; old samples fade."""
    peer = candidate.peer
    if not peer.latency_ms:
        return 0.0
    age_ms = now_ms - peer.sampled_ms
    return peer.latency_ms * exp(-age_ms / LATENCY_FADE_MS)


def _expected_ms(candidate, now_ms):
    report = candidate.peer.report
    time_ms = _latency_ms(candidate, now_ms) or report.service_time_ms
    limit = max(1, report.limit)
    queue_share = (_load(candidate) + 1) / limit
    return (time_ms + 1.0) * (0.5 + queue_share)
