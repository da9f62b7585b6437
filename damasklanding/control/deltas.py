"""
damasklanding.control.deltas
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The latest changes of a view, kept for its watchers, and their encoding.  The
log begins anew where a snapshot replaces the view, since a watcher may hold a
revision in between and be told of no removal by the change to the snapshot.
Changes that wait for a watcher are merged: of several writes of a resource
only the last one is sent.  Watchers with the same interests share one
encoding.
"""

from collections import deque
from dataclasses import dataclass

from damasklanding.fleet.packing import pack_changes
from damasklanding.fleet.resources import Change

__all__ = [
    'DeltaLog',
    'Interest',
]

MAX_KEPT_DELTAS = 4_096
#: Limit of the encoded resources in all kept changes.  The latest change is
#: kept even if it alone exceeds the limit.
MAX_KEPT_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True)
class Interest:
    """
    Which backend servers a watcher is told of.

    :ivar name: name of the watcher.
    :ivar services: services that it subscribes to.
    :ivar all_services: whether it subscribes to all of them.
    """

    name: str
    services: frozenset = frozenset()
    all_services: bool = False

    def includes(self, kind, resource):
        """Return whether the watcher receives a resource."""
        if kind != 'backend' or self.all_services:
            return True
        # A node needs its own registration to know whether to renew it.
        return resource.service in self.services or resource.name == self.name

    def may_hold(self, backend_name, service):
        """Return whether the watcher was told of a backend server before."""
        return (
            self.all_services
            or service in self.services
            or backend_name == self.name
        )


@dataclass(frozen=True)
class _Delta:
    """
    The changes of one revision.

    :ivar size: bytes of the changed resources.
    :ivar services_before: service of each changed backend server before.
    """

    term: int
    revision: int
    changes: list
    services_before: dict
    size: int


class DeltaLog:
    """
    The latest changes of a view.

    :param state: :class:`~damasklanding.fleet.state.FleetState` of the view.
    """

    def __init__(self, state):
        self._state = state
        self._deltas = deque()
        self._encodings = {}
        self._begin()

    def append(self, changes):
        """
        Keep the changes that led to the present revision.

        A node that relays may learn of a revision of which no change
        concerns it; its watchers are told of that revision too.

        :return: False if the revision is the same as before.
        """
        state = self._state
        if state.replacements != self._replacements:
            before = self._last_revision
            self._begin()
            return state.revision != before
        services_before = self._move_backends(changes)
        if state.revision == self._last_revision:
            return False
        self._last_revision = state.revision
        size = sum(len(c.name) + len(c.value or b'') for c in changes)
        self._deltas.append(
            _Delta(state.term, state.revision, changes, services_before, size)
        )
        self._kept_bytes += size
        while self._holds_too_much():
            dropped = self._deltas.popleft()
            self._first_revision = dropped.revision
            self._kept_bytes -= dropped.size
        self._encodings.clear()
        return True

    def reaches_back_to(self, revision):
        """Return whether all changes after a revision are kept."""
        return bool(revision) and revision >= self._first_revision

    def since(self, revision, interest, compressed):
        """
        Return the changes after a revision for a watcher, encoded.

        :param interest: :class:`Interest`.
        :param compressed: whether the watcher reads compressed changes.
        :return: tuple of term, revision, bytes and whether these are
            compressed; None if there are no changes.
        """
        pending = []
        for delta in reversed(self._deltas):
            if delta.revision <= revision:
                break
            pending.append(delta)
        if not pending:
            return None
        pending.reverse()
        last = pending[-1]
        return (
            last.term,
            last.revision,
            *self._encoded(revision, pending, interest, compressed),
        )

    def _begin(self):
        """Begin the log at the present revision, without changes."""
        state = self._state
        self._deltas.clear()
        self._kept_bytes = 0
        self._encodings.clear()
        self._replacements = state.replacements
        self._first_revision = state.revision
        self._last_revision = state.revision
        self._services = {
            name: backend.service
            for name, backend in state.all('backend').items()
        }

    def _holds_too_much(self):
        return len(self._deltas) > MAX_KEPT_DELTAS or (
            len(self._deltas) > 1 and self._kept_bytes > MAX_KEPT_BYTES
        )

    def _move_backends(self, changes):
        """Return the service that each changed backend server had before."""
        before = {}
        for change in changes:
            if change.kind != 'backend':
                continue
            service = self._services.pop(change.name, '')
            before.setdefault(change.name, service)
            backend = self._state.get('backend', change.name)
            if backend is not None:
                self._services[change.name] = backend.service
        return before

    def _encoded(self, revision, deltas, interest, compressed):
        names = {name for d in deltas for name in d.services_before}
        key = (
            revision,
            deltas[-1].revision,
            interest.all_services or interest.services,
            interest.name if interest.name in names else '',
            compressed,
        )
        encoded = self._encodings.get(key)
        if encoded is None:
            encoded = pack_changes(_merge(deltas, interest), compressed)
            self._encodings[key] = encoded
        return encoded


def _merge(deltas, interest):
    """Return the last change of each resource that a watcher is told of."""
    latest = {}
    held = set()
    for delta in deltas:
        for change in delta.changes:
            key = change.kind, change.name
            if change.kind == 'backend' and interest.may_hold(
                change.name, delta.services_before.get(change.name, '')
            ):
                held.add(change.name)
            latest.pop(key, None)
            latest[key] = change
    merged = []
    for change in latest.values():
        told = _told(change, interest, change.name in held)
        if told is not None:
            merged.append(told)
    return merged


def _told(change, interest, held):
    """
    Return what a watcher is told of a change, None if nothing.

    :param held: whether the watcher may hold the backend server.
    """
    if change.kind != 'backend':
        return change
    resource = change.resource()
    if resource is not None and interest.includes('backend', resource):
        return change
    return Change('backend', change.name) if held else None
