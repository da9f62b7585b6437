"""
damasklanding.telemetry
~~~~~~~~~~~~~~~~~~~~~~~

What a node tells its control host with each heartbeat: its load and the
burn since the last one.  Telemetry is kept in memory and never decides.
"""

import msgspec

from damasklanding.burn import BurnStore
from damasklanding.clock import monotonic_ms
from damasklanding.policy.admissionlevel import NO_LEVEL
from damasklanding.policy.types import LoadReport
from damasklanding.tallies import BurnRecorder

__all__ = ['FleetTelemetry', 'NodeLoad', 'NodeTelemetry']

BURN_PERIOD_MS = 3_000
MAX_NODES = 16_384
FORGET_AFTER_MS = 30_000


class _Status(msgspec.Struct, array_like=True, omit_defaults=True):
    load: LoadReport | None = None
    burn: bytes = b''


class NodeLoad(msgspec.Struct, kw_only=True):
    """
    The last load that a node reported.

    :ivar age_ms: how long ago; the other fields are those of LoadReport.
    """

    age_ms: int
    service: str
    limit: int
    running: int
    queued: int
    service_time_ms: float
    wait_ms: float
    cold: bool
    draining: bool
    shed_below: int
    rate_per_s: float = 0.0
    success_ratio: float = 1.0
    shed_below_rank: int = 0
    admission_level: int = NO_LEVEL


class NodeTelemetry:
    """
    Node side: builds the status of the next heartbeat.

    Burn rides on one heartbeat in a period, so that its cost in bytes does
    not depend on how often nodes beat.

    :param load_report: returns the node's LoadReport.
    :param metrics: its counts of requests are recorded, where it is given.
    :ivar burn: :class:`damasklanding.tallies.BurnRecorder`.
    """

    def __init__(self, load_report=None, metrics=None, now_ms=monotonic_ms):
        self.burn = BurnRecorder()
        self._load_report = load_report
        self._now_ms = now_ms
        self._burn_due_ms = now_ms()
        if metrics is not None:
            metrics.listen('requests_total', self.burn.counted)

    def take(self):
        """Return the bytes for the heartbeat's status."""
        load = self._load_report() if self._load_report else None
        return msgspec.msgpack.encode(_Status(load, self._take_burn()))

    def _take_burn(self):
        now_ms = self._now_ms()
        if now_ms < self._burn_due_ms:
            return b''
        delta = self.burn.take_delta()
        if delta:
            self._burn_due_ms = now_ms + BURN_PERIOD_MS
        return delta


class FleetTelemetry:
    """
    Control side: keeps the last load of each node and the burn of all.

    :ivar burn: :class:`damasklanding.burn.BurnStore`.
    :ivar malformed: statuses that could not be read.
    """

    def __init__(self, now_ms=monotonic_ms):
        self.burn = BurnStore(now_ms)
        self.malformed = 0
        self._now_ms = now_ms
        self._loads = {}

    def receive(self, node, _instance, status):
        """Take the status that a node's heartbeat carried."""
        if not status:
            return
        try:
            decoded = _decode_status(status)
        except msgspec.MsgspecError:
            self.malformed += 1
            return
        self.burn.add(node, decoded.burn)
        if decoded.load is not None and (
            node in self._loads or len(self._loads) < MAX_NODES
        ):
            self._loads[node] = (self._now_ms(), decoded.load)

    def loads(self):
        """Return :class:`NodeLoad` by node; the silent are forgotten."""
        now_ms = self._now_ms()
        self._loads = {
            node: (at_ms, load)
            for node, (at_ms, load) in self._loads.items()
            if now_ms - at_ms <= FORGET_AFTER_MS
        }
        return {
            node: _node_load(load, int(now_ms - at_ms))
            for node, (at_ms, load) in sorted(self._loads.items())
        }


_decode_status = msgspec.msgpack.Decoder(_Status).decode


def _node_load(load, age_ms):
    fields = msgspec.structs.asdict(load)
    for name in ('downstream', 'leaving_start', 'is_out'):
        del fields[name]
    return NodeLoad(age_ms=age_ms, **fields)
