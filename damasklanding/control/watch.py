"""
damasklanding.control.watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Serves the configuration to watchers: a snapshot, then deltas.  Every
heartbeat reply reports how long ago the state was last confirmed as current.
A control host serves nodes; a node serves other nodes in the same way if
they have lost contact with the control hosts.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

import msgspec

from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import encode_changes
from damasklanding.messages import NEVER_CONFIRMED_AGE_MS
from damasklanding.messages import Beat
from damasklanding.messages import BeatReply
from damasklanding.messages import Watch
from damasklanding.messages import WatchDelta
from damasklanding.messages import WatchSnapshot

__all__ = ['Watcher', 'WatcherStatus', 'WatchServer']

MAX_KEPT_DELTAS = 4_096
WATCHER_TIMEOUT_MS = 5_000


@dataclass
class Watcher:
    """
    One connected watcher.

    :ivar revision: revision up to which changes have been sent.
    :ivar confirmed_revision: revision that the watcher last reported.
    :ivar services: services whose backend servers the watcher subscribes to.
    """

    name: str
    instance: str
    exchange: object
    revision: int
    all_services: bool
    services: set = field(default_factory=set)
    confirmed_revision: int = 0
    heard_ms: float = 0.0

    def subscribes_to(self, kind, resource):
        """Return whether the watcher receives a resource."""
        if kind != 'backend' or self.all_services:
            return True
        # A node needs its own registration to know whether to renew it.
        return resource.service in self.services or resource.name == self.name


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


class _Delta:
    """
    The changes of one revision, encoded once for watchers that get them all.

    :ivar unfiltered: whether every watcher gets all of the changes.
    """

    __slots__ = ('_encoded', 'changes', 'unfiltered', 'revision', 'term')

    def __init__(self, term, revision, changes):
        self.term = term
        self.revision = revision
        self.changes = changes
        self.unfiltered = all(change.kind != 'backend' for change in changes)
        self._encoded = None

    def encoded_for(self, watcher):
        """Return the encoded changes that a watcher gets."""
        if not (self.unfiltered or watcher.all_services):
            return encode_changes(_filter_changes(self.changes, watcher))
        if self._encoded is None:
            self._encoded = encode_changes(self.changes)
        return self._encoded


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
        self._deltas = deque(maxlen=MAX_KEPT_DELTAS)
        self._first_revision = view.state.revision
        view.subscribe(self._append_delta)

    def handlers(self):
        """Return the link handlers by message class."""
        return {Watch: self.serve}

    def watchers(self):
        """Return a list of :class:`WatcherStatus`."""
        now_ms = self._view.now_ms()
        return [
            WatcherStatus(
                name=watcher.name,
                instance=watcher.instance,
                revision=watcher.confirmed_revision,
                silent_ms=int(now_ms - watcher.heard_ms),
            )
            for watcher in self._watchers.values()
        ]

    def serve(self, exchange, message):
        """Serve one watcher until its exchange ends."""
        watcher = Watcher(
            message.name,
            message.instance,
            exchange,
            message.revision,
            message.all_services,
            set(message.services),
            message.revision,
            self._view.now_ms(),
        )
        self._watchers[id(exchange)] = watcher
        try:
            self._start(watcher)
            while True:
                received = exchange.receive(WATCHER_TIMEOUT_MS)
                self._send_deltas(watcher)
                if type(received) is Beat:
                    self._answer_heartbeat(watcher, received)
        finally:
            self._watchers.pop(id(exchange), None)

    def _append_delta(self, changes):
        state = self._view.state
        last = self._deltas[-1].revision if self._deltas else None
        if state.revision == last or not changes:
            return
        if len(self._deltas) == MAX_KEPT_DELTAS:
            self._first_revision = self._deltas[0].revision
        self._deltas.append(_Delta(state.term, state.revision, changes))
        for watcher in self._watchers.values():
            watcher.exchange.deliver(_WAKE)

    def _start(self, watcher):
        if watcher.revision and watcher.revision >= self._first_revision:
            self._send_deltas(watcher)
        elif self._view.state.revision > watcher.revision:
            self._send_snapshot(watcher)

    def _send_snapshot(self, watcher):
        state = self._view.state
        changes = state.snapshot(watcher.subscribes_to)
        watcher.revision = state.revision
        watcher.exchange.send(
            WatchSnapshot(state.term, state.revision, encode_changes(changes))
        )

    def _send_deltas(self, watcher):
        pending = []
        for delta in reversed(self._deltas):
            if delta.revision <= watcher.revision:
                break
            pending.append(delta)
        if not pending:
            return
        pending.reverse()
        last = pending[-1]
        watcher.revision = last.revision
        watcher.exchange.send(
            WatchDelta(
                last.term, last.revision, _encoded_for(watcher, pending)
            )
        )

    def _answer_heartbeat(self, watcher, beat):
        watcher.heard_ms = self._view.now_ms()
        watcher.confirmed_revision = beat.revision
        self._on_heartbeat(watcher.name, watcher.instance, beat.status)
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
        watcher.services.add(service)
        state = self._view.state
        changes = [
            Change.put('backend', backend)
            for backend in self._view.backends(service)
        ]
        watcher.exchange.send(
            WatchSnapshot(
                state.term, state.revision, encode_changes(changes), service
            )
        )


def _encoded_for(watcher, deltas):
    """Return the changes of consecutive deltas for a watcher, encoded."""
    if len(deltas) == 1:
        return deltas[0].encoded_for(watcher)
    changes = [change for delta in deltas for change in delta.changes]
    return encode_changes(_filter_changes(changes, watcher))


def _filter_changes(changes, watcher):
    filtered = []
    for change in changes:
        if change.kind == 'backend' and not watcher.all_services:
            resource = change.resource()
            if resource is not None and not watcher.subscribes_to(
                'backend', resource
            ):
                # The backend may have left a service that the watcher
                # subscribes to, so the watcher is told to remove it.
                change = Change('backend', change.name)
        filtered.append(change)
    return filtered
