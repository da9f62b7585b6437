"""
damasklanding.tallies
~~~~~~~~~~~~~~~~~~~~~

What a node counts toward the service level: requests by how they ended,
taken as a bounded delta by its heartbeats.
"""

import msgspec

__all__ = ['OTHER', 'BurnRecorder', 'Tally', 'fold_service']

MAX_DELTA_ROWS = 96
OTHER = '*'

#: Reasons that say nothing about the service: the caller's own doing.
CALLER_REASONS = frozenset(
    (
        'already-running',
        'bad-input',
        'caller-gone',
        'forbidden',
        'header-timeout',
        'headers-too-large',
        'key-refused',
        'key-reused',
        'not-found',
        'not-implemented',
        'over-rate',
        'too-large',
    )
)
GOOD = 'ok'


class Tally(msgspec.Struct, array_like=True, frozen=True):
    """
    Requests that ended alike.

    :ivar reason: empty for good requests.
    """

    service: str
    profile: str
    organisation: str
    reason: str
    count: int


class BurnRecorder:
    """Counts on a node what the next heartbeat reports."""

    def __init__(self):
        self._counts = {}

    def counted(self, labels, amount):
        """Record a count of ``requests_total``, with its labels."""
        service, profile, organisation, _, reason = labels
        if not service or reason in CALLER_REASONS:
            return
        good = reason == GOOD
        self.record(service, profile, organisation, good, reason, amount)

    def record(self, service, profile, organisation, good, reason='', count=1):
        """Count requests by how they ended."""
        key = (service, profile, organisation, '' if good else reason)
        self._counts[key] = self._counts.get(key, 0) + count

    def take_delta(self):
        """
        Return what was counted since the last call, encoded.

        The number of rows is bounded; rows beyond it lose their
        organisation, then their reason, but never their count.
        """
        if not self._counts:
            return b''
        counts, self._counts = self._counts, {}
        for fold in (_fold_organisation, _fold_reason, fold_service):
            if len(counts) <= MAX_DELTA_ROWS:
                break
            counts = _fold(counts, fold)
        return msgspec.msgpack.encode(
            [Tally(*key, count) for key, count in counts.items()]
        )


def _fold(counts, fold):
    kept = sorted(counts.items(), key=lambda item: item[1], reverse=True)
    folded = dict(kept[: MAX_DELTA_ROWS // 2])
    for key, count in kept[MAX_DELTA_ROWS // 2 :]:
        key = fold(key)
        folded[key] = folded.get(key, 0) + count
    return folded


def _fold_organisation(key):
    service, profile, _, reason = key
    return service, profile, OTHER, reason


def _fold_reason(key):
    service, profile, _, reason = key
    return service, profile, OTHER, OTHER if reason else ''


def fold_service(key):
    """Return the key that keeps only whether requests were good."""
    return OTHER, OTHER, OTHER, OTHER if key[3] else ''
