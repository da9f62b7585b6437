"""
damasklanding.control.timing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Intervals, timeouts and compaction thresholds of a replica.
"""

from dataclasses import dataclass

__all__ = ['Timing']


@dataclass(frozen=True)
class Timing:
    """
    Intervals, timeouts and compaction thresholds of a replica.

    :ivar heartbeat_ms: interval of the leader's heartbeats.
    :ivar election_min_ms: minimum election timeout.  Votes are refused for so
        long after the last contact from a leader.
    :ivar election_max_ms: maximum election timeout.  A leader that no quorum
        answers for so long steps down.
    :ivar lost_after_ms: silence after which a caught-up learner takes the
        place of a voter.
    :ivar request_timeout_ms: timeout of a request with log entries or with a
        forwarded proposal.
    :ivar snapshot_timeout_ms: timeout of one chunk of a snapshot.
    :ivar snapshot_entries: applied entries since the last snapshot that cause
        a new one.
    :ivar snapshot_bytes: size of the payloads of the applied entries since
        the last snapshot that causes a new one.  A quarter of it stays in
        the log for followers that are slightly behind.
    """

    heartbeat_ms: int = 100
    election_min_ms: int = 400
    election_max_ms: int = 800
    lost_after_ms: int = 1_000
    request_timeout_ms: int = 1_000
    snapshot_timeout_ms: int = 5_000
    snapshot_entries: int = 4_096
    snapshot_bytes: int = 8_388_608
