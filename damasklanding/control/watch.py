"""
damasklanding.control.watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Serves the configuration to watchers: a snapshot, then deltas.  Every
heartbeat reply reports how long ago the state was last confirmed as current.
A control host serves nodes; a node serves other nodes in the same way if
they have lost contact with the control hosts.
"""

from dataclasses import dataclass
from dataclasses import replace

import gevent
import msgspec

from damasklanding.control.deltas import DeltaLog
from damasklanding.control.deltas import Interest
from damasklanding.fleet.packing import pack_changes
from damasklanding.fleet.resources import Change
from damasklanding.messages import NEVER_CONFIRMED_AGE_MS
from damasklanding.messages import Beat
from damasklanding.messages import BeatReply
from damasklanding.messages import Watch
from damasklanding.messages import WatchDelta
from damasklanding.messages import WatchSnapshot

__all__ = ['Watcher', 'WatcherStatus', 'WatchServer']

WATCHER_TIMEOUT_MS = 5_000
#: The first change after a pause is sent at once; those that follow within
#: this time are sent together.
GATHER_MS = 100


@dataclass
class Watcher:
    """
    One connected watcher.

    :ivar interest: backend servers that it is told of.
    :ivar compressed: whether it reads compressed changes.
    :ivar revision: revision up to which changes have been sent.
    :ivar confirmed_revision: revision that the watcher last reported.
    """

    instance: str
    exchange: object
    interest: Interest
    compressed: bool
    revision: int
    confirmed_revision: int = 0
    heard_ms: float = 0.0


class WatcherStatus(msgspec.Struct, frozen=True, kw_only=True):
    """
    Status of a watcher as its server knows it.

    :ivar revision: revision in force at the watcher.
    :ivar silent_ms: time since its last heartbeat.
    """

    name: str
    instance: str
    revision: int
    silent_ms: int


class _Wake:
    """Wakes a watcher's greenlet because there are further changes."""


_WAKE = _Wake()


def _ignore(*_args):
    return None


class WatchServer:
    """
    Sends the changes of a view to its watchers.

    :param view: :class:`damasklanding.node.view.FleetView`.
    :param on_heartbeat: called for each heartbeat with the watcher's name, its
        instance and its encoded status.
    """

    def __init__(self, view, on_heartbeat=_ignore):
        self._view = view
        self._on_heartbeat = on_heartbeat
        self._watchers = {}
        self._deltas = DeltaLog(view.state)
        self._gathering = False
        view.subscribe(self._append_delta)

    def handlers(self):
        """Return the link handlers by message class."""
        return {Watch: self.serve}

    def watchers(self):
        """Return a list of :class:`WatcherStatus`."""
        now_ms = self._view.now_ms()
        return [
            WatcherStatus(
                name=watcher.interest.name,
                instance=watcher.instance,
                revision=watcher.confirmed_revision,
                silent_ms=int(now_ms - watcher.heard_ms),
            )
            for watcher in self._watchers.values()
        ]

    def serve(self, exchange, message):
        """Serve one watcher until its exchange ends."""
        if message.hosts_only:
            return self._control_hosts()
        watcher = Watcher(
            message.instance,
            exchange,
            Interest(
                message.name,
                frozenset(message.services),
                message.all_services,
            ),
            message.compressed,
            message.revision,
            message.revision,
            self._view.now_ms(),
        )
        try:
            self._start(watcher)
            while True:
                received = exchange.receive(WATCHER_TIMEOUT_MS)
                self._send_changes(watcher)
                if type(received) is Beat:
                    self._answer_heartbeat(watcher, received)
        finally:
            self._watchers.pop(id(exchange), None)

    def _control_hosts(self):
        """Return the control hosts as a snapshot that has no revision."""
        hosts = self._view.state.all('control_host').values()
        changes = [Change.put('control_host', host) for host in hosts]
        data, compressed = pack_changes(changes, compressed=True)
        return WatchSnapshot(0, 0, data, compressed=compressed)

    def _append_delta(self, changes):
        if self._deltas.append(changes) and not self._gathering:
            self._flush()

    def _flush(self):
        """Send what waits, and gather further changes for a while."""
        self._gathering = True
        self._wake_watchers()
        gevent.spawn_later(
            GATHER_MS / 1000, self._end_gathering, self._view.state.revision
        )

    def _end_gathering(self, sent_revision):
        if self._view.state.revision == sent_revision:
            self._gathering = False
        else:
            self._flush()

    def _wake_watchers(self):
        for watcher in self._watchers.values():
            watcher.exchange.deliver(_WAKE)

    def _start(self, watcher):
        self._watchers[id(watcher.exchange)] = watcher
        self._send_changes(watcher)

    def _send_changes(self, watcher):
        """Send what a watcher lacks, all of it where changes were dropped."""
        if self._view.state.revision <= watcher.revision:
            return
        if self._deltas.reaches_back_to(watcher.revision):
            self._send_deltas(watcher)
        else:
            self._send_snapshot(watcher)

    def _send_snapshot(self, watcher):
        state = self._view.state
        changes = state.snapshot(watcher.interest.includes)
        watcher.revision = state.revision
        data, compressed = pack_changes(changes, watcher.compressed)
        watcher.exchange.send(
            WatchSnapshot(
                state.term, state.revision, data, compressed=compressed
            )
        )

    def _send_deltas(self, watcher):
        sent = self._deltas.since(
            watcher.revision, watcher.interest, watcher.compressed
        )
        if sent is not None:
            delta = WatchDelta(*sent)
            watcher.revision = delta.revision
            watcher.exchange.send(delta)

    def _answer_heartbeat(self, watcher, beat):
        watcher.heard_ms = self._view.now_ms()
        watcher.confirmed_revision = beat.revision
        self._on_heartbeat(
            watcher.interest.name, watcher.instance, beat.status
        )
        for service in beat.services:
            self._add_service(watcher, service)
        state = self._view.state
        watcher.exchange.send(
            BeatReply(
                beat.seq,
                state.term,
                state.revision,
                int(min(self._view.age_ms(), NEVER_CONFIRMED_AGE_MS)),
            )
        )

    def _add_service(self, watcher, service):
        interest = watcher.interest
        watcher.interest = replace(
            interest, services=interest.services | {service}
        )
        state = self._view.state
        changes = [
            Change.put('backend', backend)
            for backend in self._view.backends(service)
        ]
        data, compressed = pack_changes(changes, watcher.compressed)
        watcher.exchange.send(
            WatchSnapshot(
                state.term, state.revision, data, service, compressed
            )
        )
