"""
damasklanding.policy.routing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Choice of the backend server for a call, by known load, outstanding calls
and outcomes.
"""

from damasklanding.errors import Overloaded
from damasklanding.errors import Unavailable
from damasklanding.policy.work import LoadReport
from damasklanding.policy.work import Result

__all__ = ['Router']

CHOICES = 2
REPORT_FRESH_MS = 2_000
RETRY_AFTER_MS = 200
FAILURES = frozenset((Result.FAILED, Result.RESET, Result.TIMEOUT))
EJECT_AFTER = 3  # failures in a row
EJECT_MS = 1_000
MAX_EJECT_MS = 30_000

_UNKNOWN = LoadReport()


class _Peer:
    """What this node knows about one backend server."""

    def __init__(self):
        self.outstanding = 0
        self.report = _UNKNOWN
        self.reported_ms = float('-inf')
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = float('-inf')
        self.latency_ms = 0.0


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

    def choose(self, candidates, work, excluded=()):
        """
        Return the backend server for a call.

        :param candidates: list of
            :class:`~damasklanding.fleet.resources.Backend`, without those
            in data centres that are out.
        :param work: :class:`~damasklanding.policy.work.Work`.
        :param excluded: names that were tried already.
        :raises Unavailable: there is none.
        :raises Overloaded: none has room for this importance.
        """
        usable = [
            backend
            for backend in candidates
            if backend.name not in excluded and self._takes_work(backend)
        ]
        if not usable:
            raise Unavailable(
                'no backend server of the service takes work',
                retry_after_ms=RETRY_AFTER_MS,
            )
        healthy = [b for b in usable if not self._ejected(b)] or usable
        for tier in self._tiers(healthy):
            best = self._best(tier)
            if best is not None and self._has_room(best):
                return best
        return self._least_wait(healthy, work)

    def started(self, name):
        """Count a call that was sent to a node."""
        self._peer(name).outstanding += 1

    def finished(self, name, result, latency_ms):
        """Learn from the end of a call."""
        peer = self._peer(name)
        peer.outstanding = max(0, peer.outstanding - 1)
        if result is Result.OK:
            peer.failures = 0
            peer.ejections = 0
            peer.latency_ms += 0.1 * (latency_ms - peer.latency_ms)
        elif result in FAILURES:
            self._failed(peer)

    def observed(self, name, report):
        """Take a load report that came with an answer or heartbeat."""
        if report is None:
            return
        peer = self._peer(name)
        peer.report = report
        peer.reported_ms = self._now_ms()

    def _peer(self, name):
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = _Peer()
        return peer

    def _failed(self, peer):
        peer.failures += 1
        if peer.failures < EJECT_AFTER:
            return
        pause_ms = min(MAX_EJECT_MS, EJECT_MS * 2**peer.ejections)
        peer.ejected_until_ms = self._now_ms() + pause_ms
        peer.ejections += 1
        peer.failures = 0

    def _report(self, name):
        peer = self._peer(name)
        if self._now_ms() - peer.reported_ms > REPORT_FRESH_MS:
            return _UNKNOWN
        return peer.report

    def _takes_work(self, backend):
        if backend.state != 'in' or backend.held_out:
            return False
        return not self._report(backend.name).draining

    def _ejected(self, backend):
        peer = self._peer(backend.name)
        return self._now_ms() < peer.ejected_until_ms

    def _tiers(self, backends):
        own = [b for b in backends if b.name == self._own_name]
        near = [b for b in backends if b.data_centre == self._own_data_centre]
        return own, near, backends

    def _best(self, backends):
        if not backends:
            return None
        if len(backends) > CHOICES:
            backends = self._random.sample(backends, CHOICES)
        return min(backends, key=self._score)

    def _load(self, name):
        report = self._report(name)
        return max(
            report.running + report.queued, self._peer(name).outstanding
        )

    def _score(self, backend):
        report = self._report(backend.name)
        limit = max(1, report.limit)
        return (self._load(backend.name) + 1) / limit

    def _has_room(self, backend):
        report = self._report(backend.name)
        if not report.limit:
            return True
        return self._load(backend.name) < report.limit

    def _least_wait(self, backends, work):
        open_ = [
            b
            for b in backends
            if work.importance >= self._report(b.name).shed_below
        ]
        if not open_:
            raise Overloaded(
                'no backend server of the service has room',
                retry_after_ms=RETRY_AFTER_MS,
            )
        return self._best(open_)
