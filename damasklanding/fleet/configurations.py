"""
damasklanding.fleet.configurations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command handler for whole configurations.  A configuration replaces the
version that it is based on, and only resources that differ are changed.
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

#: Name of the only resource of kind ``configuration``.
CONFIGURATION_NAME = 'current'

MAX_REMEMBERED_DIGESTS = 8_192


def apply_configuration(state, command, revision):
    """
    Replace the whole configuration with one that is based on it.

    :raises Conflict: if the base version is not the one in force.
    :raises BadInput: if its version is not above the one in force.
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
    resources_by_kind = (
        ('profile', command.profiles),
        ('service', command.services),
        ('organisation', command.organisations),
        ('host_route', command.host_routes),
        ('configuration', [command.configuration]),
    )
    changes = []
    for kind, resources in resources_by_kind:
        changes += _replace_all(state, kind, resources, revision)
    return changes


def _replace_all(state, kind, resources, revision):
    changes = []
    for resource in resources:
        changes += put(state, kind, resource, revision)
    names = {resource.name for resource in resources}
    for name in sorted(set(state.all(kind)) - names):
        changes += remove(kind, name)
    return changes


class AppliedConfigurations:
    """
    The current configuration document and the digests of earlier ones.

    :ivar document: the current document, compressed.
    """

    def __init__(self):
        self.document = b''
        self._revisions = {}

    def record_applied(self, command, revision):
        """Record the document and the digest of an applied configuration."""
        self.document = command.document
        self._revisions[command.configuration.digest] = revision
        while len(self._revisions) > MAX_REMEMBERED_DIGESTS:
            del self._revisions[next(iter(self._revisions))]

    def revision_of(self, digest):
        """Return the revision that applied a document, None if unknown."""
        return self._revisions.get(digest)

    def digest_revisions(self):
        """Return pairs of digest and revision, for a snapshot."""
        return list(self._revisions.items())

    def restore(self, document, digests):
        """Restore the document and the digests from a snapshot."""
        self.document = document
        self._revisions = dict(digests)

    def current_document(self):
        """
        Return the current document, compressed.

        :raises Unavailable: if none has been applied.
        """
        if not self.document:
            raise Unavailable(
                'no whole configuration has been applied', 'put one first'
            )
        return self.document
