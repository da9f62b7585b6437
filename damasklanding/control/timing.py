"""
damasklanding.control.timing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Intervals and limits of a replica.
"""

from dataclasses import dataclass

__all__ = ['Timing']


@dataclass(frozen=True)
class Timing:
    """
    Intervals of a replica, and when it cuts its log.

    :ivar election_min_ms: votes are refused for so long after a leader was
        heard.
    :ivar request_timeout_ms: for entries and forwarded proposals.
    :ivar election_max_ms: a leader without a quorum's answers for so long
        steps down.
    """

    heartbeat_ms: int = 100
    election_min_ms: int = 400
    election_max_ms: int = 800
    request_timeout_ms: int = 1_000
    snapshot_timeout_ms: int = 5_000
    snapshot_entries: int = 4_096
    snapshot_bytes: int = 8_388_608
