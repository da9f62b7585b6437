"""
damasklanding.policy.types
~~~~~~~~~~~~~~~~~~~~~~~~~~

Plain data that the decisions under overload share.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

__all__ = [
    'LoadReport',
    'CallResult',
    'AdmissionRequest',
    'decode_load',
    'encode_load',
]


class CallResult(Enum):
    """What a call to a backend server showed about it."""

    OK = 'ok'
    FAILED = 'failed'  # an answer that reports a server error
    SHED = 'shed'  # an answer that says the backend server had no room
    REJECTED = 'rejected'  # the same, though its node had found room there
    RESET = 'reset'  # the connection broke
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'  # says nothing about the backend server


@dataclass(slots=True)
class AdmissionRequest:
    """
    A call that wants a slot at a backend server.

    :ivar weight: share of its organisation.
    :ivar deadline_at_ms: on the local monotonic clock.
    :ivar longest_wait_ms: bound of the time in the queue.
    :ivar discipline: queue order within an organisation.
    :ivar profile_weight: share of its profile among the organisation's.
    """

    organisation: str
    importance: int
    weight: int
    deadline_at_ms: float
    longest_wait_ms: int
    discipline: str = 'adaptive'
    profile: str = ''
    profile_weight: int = 1


class LoadReport(msgspec.Struct, array_like=True):
    """
    A node's account of the backend server beside it.

    :ivar service: empty where there is none.
    :ivar limit: concurrency limit.
    :ivar service_time_ms: smoothed time of a call.
    :ivar wait_ms: expected wait of a call that comes now.
    :ivar shed_below: importance below which calls are refused now.
    :ivar downstream: ``shed_below`` of overloaded services by name, as
        learned from calls further down.
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


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LoadReport)


def encode_load(report):
    """Encode a load report to bytes."""
    return _encoder.encode(report)


def decode_load(data):
    """Decode a load report, None where there is none."""
    if not data:
        return None
    return _decoder.decode(data)
