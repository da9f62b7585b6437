"""
damasklanding.control.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State machine of the configuration's replicated log.  It applies each command
at most once, rejects a command whose expected revision is not the current
one and keeps a short history of changes.
"""

from collections import OrderedDict
from collections import deque

import msgspec

from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.fleet.commands import ApplyConfiguration
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import Outcome
from damasklanding.fleet.configurations import AppliedConfigurations
from damasklanding.fleet.handlers import compute_changes
from damasklanding.fleet.handlers import is_registration_command
from damasklanding.fleet.handlers import target_resource
from damasklanding.fleet.resources import KINDS
from damasklanding.fleet.resources import Change

__all__ = ['ConfigurationStateMachine', 'HistoryEntry']

MAX_REMEMBERED_REQUESTS = 8_192
MAX_HISTORY_ENTRIES = 1_000


class HistoryEntry(msgspec.Struct, array_like=True, frozen=True):
    """
    One change that an operator made and that was accepted.

    :ivar issued_at_ms: wall-clock time on the control host that received it.
    """

    revision: int
    operator: str
    op: str
    kind: str
    name: str
    issued_at_ms: int


class SnapshotImage(msgspec.Struct, array_like=True, frozen=True):
    """Contents of a snapshot; the order of the fields is the encoding."""

    term: int
    revision: int
    changes: list[Change]
    requests: list[tuple[str, bytes]]
    operators: list[tuple[str, str, str]]
    history: list[HistoryEntry]
    document: bytes = b''
    digests: list[tuple[str, int]] = []


_encode = msgspec.msgpack.Encoder().encode
_decode_envelope = msgspec.msgpack.Decoder(Envelope).decode
_decode_image = msgspec.msgpack.Decoder(SnapshotImage).decode


class ConfigurationStateMachine:
    """
    Applies the envelopes in committed entries to a view.

    :ivar view: :class:`~damasklanding.node.view.FleetView`.
    :ivar applied: :class:`AppliedConfigurations` that holds the documents of
        whole configurations.
    """

    def __init__(self, view, metrics=None):
        self.view = view
        self._metrics = metrics
        self._requests = OrderedDict()
        self._operators = {}
        self._history = deque(maxlen=MAX_HISTORY_ENTRIES)
        self.applied = AppliedConfigurations()

    def apply(self, entry):
        """
        Apply one committed entry and return the encoded outcome.

        An entry that raises has changed nothing; see :meth:`refusal`.
        """
        try:
            envelope = _decode_envelope(entry.payload)
        except msgspec.DecodeError as error:
            return _encode(
                Outcome(revision=0, error='bad-input', problem=str(error))
            )
        known = self._requests.get(envelope.request_id)
        if known is not None:
            return known
        outcome = _encode(self._execute(entry, envelope))
        self._remember_outcome(envelope.request_id, outcome)
        return outcome

    def refusal(self, error):
        """Return the encoded outcome of an entry that can't be applied."""
        return _encode(
            Outcome(
                revision=0,
                error=BadInput.code,
                problem=f'the change can not be applied ({error})',
            )
        )

    def history(self, limit):
        """Return the latest changes by operators, newest first."""
        return list(reversed(self._history))[:limit]

    def deleted(self, kind):
        """Return the names of a kind that operators have deleted."""
        present = self.view.state.all(kind)
        return {
            name
            for written_kind, name in self._operators
            if written_kind == kind and name not in present
        }

    def snapshot(self):
        """Return the whole state, encoded."""
        state = self.view.state
        operators = [
            (*key, operator) for key, operator in self._operators.items()
        ]
        image = SnapshotImage(
            state.term,
            state.revision,
            state.snapshot(),
            list(self._requests.items()),
            operators,
            list(self._history),
            self.applied.document,
            self.applied.digest_revisions(),
        )
        return _encode(image)

    def restore(self, data):
        """Replace the whole state by an encoded snapshot."""
        image = _decode_image(data)
        self._requests = OrderedDict(image.requests)
        self._operators = {
            (kind, name): operator for kind, name, operator in image.operators
        }
        self._history = deque(image.history, maxlen=MAX_HISTORY_ENTRIES)
        self.applied.restore(image.document, image.digests)
        self.view.replace(image.term, image.revision, image.changes)

    def _execute(self, entry, envelope):
        state = self.view.state
        command = envelope.command
        is_configuration = type(command) is ApplyConfiguration
        if is_configuration:
            digest = command.configuration.digest
            revision = self.applied.revision_of(digest)
            if revision is not None:
                return Outcome(revision=revision)
        kind, name = target_resource(command)
        known = state.get(kind, name) if kind in KINDS else None
        current = known.revision if known is not None else 0
        expected = envelope.expected_revision
        if expected is not None and expected != current:
            return self._conflict(kind, name, current, expected)
        try:
            changes = compute_changes(state, command, entry.index)
        except DamasklandingError as error:
            return Outcome(
                revision=current, error=error.code, problem=error.problem
            )
        if not changes:
            return Outcome(revision=current)
        self.view.apply(entry.term, entry.index, changes)
        if is_configuration:
            self.applied.record_applied(command, entry.index)
        self._record_change(entry, envelope, kind, name)
        return Outcome(revision=entry.index)

    def _conflict(self, kind, name, current, expected):
        winner = self._operators.get((kind, name), '')
        by = f' by {winner}' if winner else ''
        return Outcome(
            revision=current,
            error='conflict',
            problem=(
                f'{kind} {name} is at revision {current}{by}, '
                f'not at {expected}'
            ),
            winner=winner,
        )

    def _record_change(self, entry, envelope, kind, name):
        if self._metrics is not None:
            self._metrics.add('changes_total', kind)
        if is_registration_command(envelope.command) or not envelope.operator:
            return
        self._operators[kind, name] = envelope.operator
        op = type(envelope.command).__name__
        self._history.append(
            HistoryEntry(
                entry.index,
                envelope.operator,
                op,
                kind,
                name,
                envelope.issued_at_ms,
            )
        )

    def _remember_outcome(self, request_id, outcome):
        self._requests[request_id] = outcome
        while len(self._requests) > MAX_REMEMBERED_REQUESTS:
            self._requests.popitem(last=False)
