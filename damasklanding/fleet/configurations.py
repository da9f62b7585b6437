"""
damasklanding.fleet.configurations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rules of whole configurations: each replaces the one that it builds on, and
only what differs becomes a change.
"""

from damasklanding.errors import BadInput
from damasklanding.errors import Conflict
from damasklanding.errors import Unavailable
from damasklanding.fleet.changes import put
from damasklanding.fleet.changes import remove

__all__ = [
    'CONFIGURATION_NAME',
    'AppliedConfigurations',
    'apply_configuration',
]

#: Name of the one resource of its kind.
CONFIGURATION_NAME = 'current'

REMEMBERED_DIGESTS = 8_192


def apply_configuration(state, command, revision):
    """
    Put a whole configuration in the place of the one that it builds on.

    :raises Conflict: another version is in force.
    :raises BadInput: its version is not above the one in force.
    """
    known = state.get('configuration', CONFIGURATION_NAME)
    current = known.version if known is not None else 0
    version = command.configuration.version
    if command.base_version != current:
        raise Conflict(
            f'version {current} is in force, not {command.base_version}',
            'read the configuration, decide again and send it',
        )
    if version <= current:
        raise BadInput(
            f'version {version} is not above {current}',
            'give a higher version',
        )
    wanted = (
        ('profile', command.profiles),
        ('service', command.services),
        ('organisation', command.organisations),
        ('host_route', command.host_routes),
        ('configuration', [command.configuration]),
    )
    changes = []
    for kind, resources in wanted:
        changes += _replace(state, kind, resources, revision)
    return changes


def _replace(state, kind, resources, revision):
    changes = []
    for resource in resources:
        changes += put(state, kind, resource, revision)
    names = {resource.name for resource in resources}
    for name in sorted(set(state.all(kind)) - names):
        changes += remove(kind, name)
    return changes


class AppliedConfigurations:
    """
    Documents of the configurations that were applied.

    :ivar document: the current one, compressed.
    """

    def __init__(self):
        self.document = b''
        self._revisions = {}

    def record_applied(self, command, revision):
        """Keep the document of a configuration that was applied."""
        self.document = command.document
        self._revisions[command.configuration.digest] = revision
        while len(self._revisions) > REMEMBERED_DIGESTS:
            del self._revisions[next(iter(self._revisions))]

    def revision_of(self, digest):
        """Return the revision that applied a document, None without one."""
        return self._revisions.get(digest)

    def digest_revisions(self):
        """Return the digests by revision, for a snapshot."""
        return list(self._revisions.items())

    def restore(self, document, digests):
        """Take what a snapshot held."""
        self.document = document
        self._revisions = dict(digests)

    def current_document(self):
        """
        Return the current document, compressed.

        :raises Unavailable: none has been applied.
        """
        if not self.document:
            raise Unavailable(
                'no whole configuration has been applied', 'put one first'
            )
        return self.document
