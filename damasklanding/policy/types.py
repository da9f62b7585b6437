"""
damasklanding.policy.types
~~~~~~~~~~~~~~~~~~~~~~~~~~

Data types that the modules of this package share.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from damasklanding.policy.admissionlevel import NO_LEVEL
from damasklanding.policy.levels import RANKS
from damasklanding.policy.levels import UNKNOWN_LEVEL
from damasklanding.policy.levels import lowest_rank_of
from damasklanding.policy.levels import rank_of

__all__ = [
    'LoadReport',
    'CallResult',
    'AdmissionRequest',
    'decode_load',
    'encode_load',
]


class CallResult(Enum):
    """Result of a call, as far as it concerns the backend server."""

    OK = 'ok'
    FAILED = 'failed'  # an answer that reports a server error
    SHED = 'shed'  # the backend server answered that it has no capacity
    REJECTED = 'rejected'  # as SHED, although its node had admitted the call
    RESET = 'reset'  # the connection failed
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'  # says nothing about the backend server


@dataclass(slots=True)
class AdmissionRequest:
    """
    A call that requests a slot at a backend server.

    :ivar weight: weight of the organisation in fair scheduling.
    :ivar deadline_at_ms: deadline on the local monotonic clock.
    :ivar longest_wait_ms: maximum time in the queue.
    :ivar discipline: queue order within a profile of an organisation:
        ``fifo``, ``lifo`` or ``adaptive``, which during a standing overload
        serves the call first whose parent has had most answers, and of those
        the newest.
    :ivar profile_weight: weight of the profile among the profiles of the
        organisation.
    :ivar answered_before: number of earlier calls of the same parent that
        were answered; their work is lost if this call is refused.
    :ivar level: as returned by :func:`~damasklanding.policy.levels.level_of`.
    :ivar onward: whether a backend server made the call.
    :ivar begins_chain: whether it is the first call of its parent to the
        service.
    """

    organisation: str
    importance: int
    weight: int
    deadline_at_ms: float
    longest_wait_ms: int
    discipline: str = 'adaptive'
    profile: str = ''
    profile_weight: int = 1
    answered_before: int = 0
    level: int = UNKNOWN_LEVEL
    onward: bool = False
    begins_chain: bool = True

    @property
    def rank(self):
        """Return the rank, by which calls are served and shed."""
        return rank_of(self.level, self.importance)

    @property
    def turn(self):
        """Return the order in the queue: the rank, after chains begun."""
        return self.rank + (RANKS if self.answered_before else 0)


class LoadReport(msgspec.Struct, array_like=True):
    """
    Load of a node's local backend server, as reported to other nodes.

    :ivar service: name of its service, empty if the node has no backend
        server.
    :ivar limit: concurrency limit.
    :ivar running: calls in progress.
    :ivar queued: calls that wait for a slot.
    :ivar service_time_ms: smoothed time for which a call holds a slot.
    :ivar wait_ms: expected queue wait of a call that arrives now.
    :ivar cold: whether the backend server is treated as cold.
    :ivar draining: whether the node refuses new calls.
    :ivar shed_below: importance below which most calls are refused now.
    :ivar shed_below_rank: the same as a rank, which is finer.
    :ivar admission_level: lowest level of requests that the backend server
        has room for, -1 without an overload.
    :ivar rate_per_s: requests a second that the backend server takes from all
        hosts together, 0.0 if it names no limit.
    :ivar leaving_start: id of the start of the backend server that has said
        in an answer that it leaves, empty if none has.
    :ivar success_ratio: recent ratio of calls that the backend server
        neither failed nor turned away while nearly idle.
    :ivar is_out: whether its data centre takes no work, as far as the node
        knows.
    :ivar downstream: ``shed_below`` of overloaded services by name, as
        learned from downstream calls.
    """

    service: str = ''
    limit: int = 0
    running: int = 0
    queued: int = 0
    service_time_ms: float = 0.0
    wait_ms: float = 0.0
    cold: bool = False
    draining: bool = False
    shed_below: int = 0
    downstream: dict[str, int] = {}
    rate_per_s: float = 0.0
    leaving_start: str = ''
    success_ratio: float = 1.0
    is_out: bool = False
    shed_below_rank: int = 0
    admission_level: int = NO_LEVEL

    def sheds(self, rank):
        """Return whether most calls of a rank are refused now."""
        # Nodes of earlier releases report the importance alone.
        lowest = lowest_rank_of(self.shed_below)
        return rank < max(self.shed_below_rank, lowest)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LoadReport)


def encode_load(report):
    """Encode a load report to bytes."""
    return _encoder.encode(report)


def decode_load(data):
    """Decode a load report; return None for empty data."""
    if not data:
        return None
    return _decoder.decode(data)
