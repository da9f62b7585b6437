"""
damasklanding.fleet.state
~~~~~~~~~~~~~~~~~~~~~~~~~

All resources at one revision.  Control hosts and nodes use the same class;
its revision never decreases.
"""

from damasklanding.fleet.resources import KINDS
from damasklanding.fleet.resources import Change

__all__ = ['FleetState']


class FleetState:
    """
    Resources by kind and name at a term and revision.

    :ivar term: term of the log entry that made the latest change.
    :ivar revision: index of that entry.
    :ivar replacements: how many snapshots have replaced all resources.
    """

    def __init__(self):
        self.term = 0
        self.revision = 0
        self.replacements = 0
        self._resources = {kind: {} for kind in KINDS}

    def get(self, kind, name):
        """Return a resource or None."""
        return self._resources[kind].get(name)

    def all(self, kind):
        """Return the resources of a kind by name; do not modify the dict."""
        return self._resources[kind]

    def position(self):
        """Return the pair of term and revision."""
        return self.term, self.revision

    def apply_changes(self, term, revision, changes):
        """
        Apply the changes of a later revision.

        :param changes: list of :class:`Change`.
        :return: False if the state is already at or past that position; then
            nothing is applied.
        """
        if (term, revision) <= (self.term, self.revision):
            return False
        self.merge(changes)
        self.term = term
        self.revision = revision
        return True

    def merge(self, changes):
        """
        Write resources without moving the revision.

        :raises msgspec.ValidationError: one is malformed; then none is
            written.
        """
        decoded = [
            (self._resources[change.kind], change.name, change.resource())
            for change in changes
        ]
        for resources, name, resource in decoded:
            if resource is None:
                resources.pop(name, None)
            else:
                resources[name] = resource

    def replace(self, term, revision, changes):
        """
        Replace all resources by a snapshot of an equal or later position.

        :return: list of changes from the old state to the new one.
        :raises msgspec.ValidationError: one is malformed; then the state
            stays as it is.
        """
        if (term, revision) < (self.term, self.revision):
            return []
        present = {(change.kind, change.name) for change in changes}
        removed = [
            Change(kind, name)
            for kind, resources in self._resources.items()
            for name in resources
            if (kind, name) not in present
        ]
        whole = removed + list(changes)
        self.merge(whole)
        self.term = term
        self.revision = revision
        self.replacements += 1
        return whole

    def snapshot(self, wanted=None):
        """
        Return all resources as changes.

        :param wanted: predicate of kind and resource, None for all resources.
        """
        return [
            Change.put(kind, resource)
            for kind, resources in self._resources.items()
            for resource in resources.values()
            if wanted is None or wanted(kind, resource)
        ]
