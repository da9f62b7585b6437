"""
damasklanding.control.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The machine behind the configuration's log.  It applies each command at most
once, checks the revision that the operator saw and keeps a short history.
"""

from collections import OrderedDict
from collections import deque

import msgspec

from damasklanding.errors import DamasklandingError
from damasklanding.fleet.commands import ApplyConfiguration
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import Outcome
from damasklanding.fleet.configurations import AppliedConfigurations
from damasklanding.fleet.resources import KINDS
from damasklanding.fleet.resources import Change
from damasklanding.fleet.rules import changes_of
from damasklanding.fleet.rules import is_membership
from damasklanding.fleet.rules import target_of

__all__ = ['ConfigurationStateMachine', 'HistoryEntry']

REMEMBERED_REQUESTS = 8_192
HISTORY_ENTRIES = 1_000


class HistoryEntry(msgspec.Struct, array_like=True, frozen=True):
    """
    One accepted change by an operator.

    :ivar issued_at_ms: wall clock of the control host that took it.
    """

    revision: int
    operator: str
    op: str
    kind: str
    name: str
    issued_at_ms: int


class Image(msgspec.Struct, array_like=True, frozen=True):
    """Everything a restart needs, in order."""

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
_decode_image = msgspec.msgpack.Decoder(Image).decode


class ConfigurationStateMachine:
    """
    Applies envelopes to the view's state.

    :ivar view: :class:`~damasklanding.node.view.FleetView`.
    :ivar applied: :class:`AppliedConfigurations`.
    """

    def __init__(self, view, metrics=None):
        self.view = view
        self._metrics = metrics
        self._requests = OrderedDict()
        self._operators = {}
        self._history = deque(maxlen=HISTORY_ENTRIES)
        self.applied = AppliedConfigurations()

    def apply(self, entry):
        """Apply one accepted entry and return the encoded outcome."""
        try:
            envelope = _decode_envelope(entry.payload)
        except msgspec.DecodeError as error:
            return _encode(
                Outcome(revision=0, error='bad-input', problem=str(error))
            )
        known = self._requests.get(envelope.request_id)
        if known is not None:
            return known
        outcome = _encode(self._carry_out(entry, envelope))
        self._remember(envelope.request_id, outcome)
        return outcome

    def history(self, limit):
        """Return the latest changes by operators, newest first."""
        return list(reversed(self._history))[:limit]

    def deleted(self, kind):
        """Return the names of a kind that operators have deleted."""
        present = self.view.state.all(kind)
        return {
            name
            for written, name in self._operators
            if written == kind and name not in present
        }

    def snapshot(self):
        """Return everything in bytes."""
        state = self.view.state
        operators = [(*key, who) for key, who in self._operators.items()]
        image = Image(
            state.term,
            state.revision,
            state.snapshot(),
            list(self._requests.items()),
            operators,
            list(self._history),
            self.applied.document,
            self.applied.image(),
        )
        return _encode(image)

    def restore(self, data):
        """Replace everything by an earlier snapshot's bytes."""
        image = _decode_image(data)
        self._requests = OrderedDict(image.requests)
        self._operators = {
            (kind, name): who for kind, name, who in image.operators
        }
        self._history = deque(image.history, maxlen=HISTORY_ENTRIES)
        self.applied.restore(image.document, image.digests)
        self.view.replace(image.term, image.revision, image.changes)

    def _carry_out(self, entry, envelope):
        state = self.view.state
        command = envelope.command
        whole = type(command) is ApplyConfiguration
        if whole:
            digest = command.configuration.digest
            revision = self.applied.revision_of(digest)
            if revision is not None:
                return Outcome(revision=revision)
        kind, name = target_of(command)
        known = state.get(kind, name) if kind in KINDS else None
        current = known.revision if known is not None else 0
        expected = envelope.expected_revision
        if expected is not None and expected != current:
            return self._conflict(kind, name, current, expected)
        try:
            changes = changes_of(state, command, entry.index)
        except DamasklandingError as error:
            return Outcome(
                revision=current, error=error.code, problem=error.problem
            )
        if not changes:
            return Outcome(revision=current)
        if whole:
            self.applied.note(command, entry.index)
        self.view.apply(entry.term, entry.index, changes)
        self._record(entry, envelope, kind, name)
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

    def _record(self, entry, envelope, kind, name):
        if self._metrics is not None:
            self._metrics.add('changes_total', kind)
        if is_membership(envelope.command) or not envelope.operator:
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

    def _remember(self, request_id, outcome):
        self._requests[request_id] = outcome
        while len(self._requests) > REMEMBERED_REQUESTS:
            self._requests.popitem(last=False)
