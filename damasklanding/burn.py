"""
damasklanding.burn
~~~~~~~~~~~~~~~~~~

Service-level burn.  A control host sums what nodes counted over three
windows.  The burn rate of a window is its bad ratio over the ratio that the
profile's objective allows: at 1 the error budget lasts exactly its period.
"""

import msgspec

from damasklanding.clock import monotonic_ms
from damasklanding.tallies import OTHER
from damasklanding.tallies import Tally
from damasklanding.tallies import fold_service

__all__ = [
    'WINDOWS',
    'BurnReport',
    'BurnStore',
    'Window',
    'burn_rate',
    'judge',
    'merge_reports',
]

MAX_KEYS = 8_192
MAX_ORGANISATIONS = 2_048
MIN_BAD_REQUESTS = 5

PAGE = 'page'
TICKET = 'ticket'
OK = 'ok'


class Window(msgspec.Struct, frozen=True):
    """
    A span of time that burn is summed over.

    :ivar bucket_ms: resolution; the window slides by whole buckets.
    """

    name: str
    span_ms: int
    bucket_ms: int


WINDOWS = (
    Window('5m', 300_000, 10_000),
    Window('1h', 3_600_000, 60_000),
    Window('6h', 21_600_000, 300_000),
)

#: Judgement, the two windows that must both burn, and the rate of each.
JUDGEMENTS = (
    (PAGE, ('5m', '1h'), 14.4),
    (TICKET, ('1h', '6h'), 6.0),
)


class BucketSums(msgspec.Struct):
    """
    Sums of one window at the time of the report.

    :ivar series: for each bucket its start, as age in milliseconds, and the
        good and bad requests by service and profile.
    """

    window: str
    tallies: list[Tally]
    series: list['Bucket'] = []


class Bucket(msgspec.Struct):
    """Requests of one service and profile in one bucket of time."""

    age_ms: int
    service: str
    profile: str
    good: int
    bad: int


class BurnReport(msgspec.Struct):
    """
    What one control host has summed.

    :ivar covered_ms: time since the host began to sum.
    """

    covered_ms: int
    windows: list[BucketSums]


class _Ring:
    """Sums by bucket of time for one window."""

    def __init__(self, window):
        self.window = window
        self._buckets = {}

    def add(self, now_ms, key, count):
        start_ms = now_ms - now_ms % self.window.bucket_ms
        bucket = self._buckets.get(start_ms)
        if bucket is None:
            bucket = self._buckets[start_ms] = {}
            self._expire(now_ms)
        bucket[key] = bucket.get(key, 0) + count

    def sums(self, now_ms, with_series):
        self._expire(now_ms)
        totals = {}
        for bucket in self._buckets.values():
            for key, count in bucket.items():
                totals[key] = totals.get(key, 0) + count
        return BucketSums(
            self.window.name,
            [Tally(*key, count) for key, count in sorted(totals.items())],
            list(self._series(now_ms)) if with_series else [],
        )

    def _series(self, now_ms):
        for start_ms, bucket in sorted(self._buckets.items()):
            pairs = {}
            for (service, profile, _, reason), count in bucket.items():
                pair = pairs.setdefault((service, profile), [0, 0])
                pair[bool(reason)] += count
            for (service, profile), (good, bad) in sorted(pairs.items()):
                age_ms = int(now_ms - start_ms)
                yield Bucket(age_ms, service, profile, good, bad)

    def _expire(self, now_ms):
        oldest_ms = now_ms - self.window.span_ms
        for start_ms in list(self._buckets):
            if start_ms + self.window.bucket_ms <= oldest_ms:
                del self._buckets[start_ms]


class BurnStore:
    """Sums on a control host what its nodes report."""

    def __init__(self, now_ms=monotonic_ms):
        self._now_ms = now_ms
        self._began_ms = now_ms()
        self._rings = [_Ring(window) for window in WINDOWS]
        self._keys = set()
        self._organisations = set()
        self.malformed = 0

    def add(self, node, delta):
        """
        Add what a node has counted; a malformed delta is only counted.

        :param node: name of the node.
        :param delta: bytes that a node's BurnRecorder gave.
        """
        if not delta:
            return
        try:
            tallies = _decode_tallies(delta)
        except msgspec.MsgspecError:
            self.malformed += 1
            return
        now_ms = self._now_ms()
        for tally in tallies:
            if tally.count <= 0:
                self.malformed += 1
                continue
            key = self._bounded(tally)
            for ring in self._rings:
                ring.add(now_ms, key, tally.count)

    def report(self, with_series=False):
        """
        Return the :class:`BurnReport` of now.

        :param with_series: whether to add the sums of each bucket.
        """
        now_ms = self._now_ms()
        return BurnReport(
            int(now_ms - self._began_ms),
            [ring.sums(now_ms, with_series) for ring in self._rings],
        )

    def _bounded(self, tally):
        organisation = _known(
            self._organisations, tally.organisation, MAX_ORGANISATIONS
        )
        key = (tally.service, tally.profile, organisation, tally.reason)
        if key in self._keys or len(self._keys) < MAX_KEYS:
            self._keys.add(key)
            return key
        return fold_service(key)


_decode_tallies = msgspec.msgpack.Decoder(list[Tally]).decode


def _known(names, name, limit):
    if name in names or len(names) < limit:
        names.add(name)
        return name
    return OTHER


def burn_rate(good, bad, objective_ratio):
    """Return the burn rate of a window, 0 where it saw no request."""
    total = good + bad
    if not total:
        return 0.0
    return (bad / total) / (1.0 - objective_ratio)


def judge(rates, bad_requests):
    """
    Judge burn rates over a short and a long window together.

    :param rates: burn rate by window name.
    :param bad_requests: bad requests by window name; too few judge nothing.
    :return: ``page``, ``ticket`` or ``ok``.
    """
    for judgement, windows, threshold in JUDGEMENTS:
        if all(
            rates[name] >= threshold and bad_requests[name] >= MIN_BAD_REQUESTS
            for name in windows
        ):
            return judgement
    return OK


def merge_reports(reports):
    """
    Sum the reports of several control hosts.

    Each heartbeat reaches one control host, so that no request counts twice.
    """
    totals = {window.name: {} for window in WINDOWS}
    series = {window.name: [] for window in WINDOWS}
    for report in reports:
        for sums in report.windows:
            tallies = totals[sums.window]
            for tally in sums.tallies:
                key = msgspec.structs.astuple(tally)[:4]
                tallies[key] = tallies.get(key, 0) + tally.count
            series[sums.window].extend(sums.series)
    return BurnReport(
        max((report.covered_ms for report in reports), default=0),
        [
            BucketSums(
                name,
                [Tally(*key, count) for key, count in sorted(counts.items())],
                series[name],
            )
            for name, counts in totals.items()
        ],
    )
