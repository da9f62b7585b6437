"""
damasklanding.claims.state_machine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State machine of the replicated claims log: who may run a request that must
not repeat, and what became of it.  Deterministic; its clock moves only by
commands in the log.
"""

import msgspec

from damasklanding.claims.commands import MAX_ANSWER_BODY_BYTES
from damasklanding.claims.commands import ClaimReply
from damasklanding.claims.commands import ClaimRequest
from damasklanding.claims.commands import Expire
from damasklanding.claims.commands import SettleRequest
from damasklanding.claims.commands import decode_command
from damasklanding.claims.commands import encode

__all__ = ['ClaimStateMachine']

MAX_CLAIMS = 200_000
MAX_ORGANISATION_CLAIMS = MAX_CLAIMS // 4
MAX_ANSWER_BYTES = 32 * 1024 * 1024
RELEASED_RETENTION_MS = 120_000
SLOT_MS = 1_000

RUNNING = 0
RAN = 1
UNKNOWN = 2
RELEASED = 3

_OUTCOMES = {RAN: 'ran', UNKNOWN: 'unknown'}


class Answer(msgspec.Struct, array_like=True, gc=False):
    """The first answer, as long as it is kept."""

    status: int
    headers: tuple[str, ...]
    body: bytes


class Record(msgspec.Struct, array_like=True, gc=False):
    """
    One claim.

    :ivar answer: encoded :class:`Answer`, empty where none is kept.
    """

    organisation: str
    attempt: bytes
    fingerprint: bytes
    expires_ms: int
    state: int = RUNNING
    answer: bytes = b''


class Snapshot(msgspec.Struct, array_like=True):
    """All of a machine's state."""

    now_ms: int
    ticker: str
    ticker_total_ms: int
    records: list[tuple[bytes, Record]]
    answered: list[bytes]


_answer_decoder = msgspec.msgpack.Decoder(Answer)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


class ClaimStateMachine:
    """
    Claims by digest, with bounded memory.

    :ivar now_ms: the log's clock; never runs ahead of real time.
    :ivar answer_bytes: size of the answers kept.
    """

    def __init__(self):
        self._clear()
        self._appliers = {
            ClaimRequest: self._claim,
            SettleRequest: self._settle,
            Expire: self._expire,
        }

    def __len__(self):
        return len(self._records)

    def apply(self, entry):
        """
        Apply one entry of the log.

        :return: encoded :class:`damasklanding.claims.commands.ClaimReply`.
        """
        try:
            command = decode_command(entry.payload)
        except msgspec.MsgspecError:
            return encode(ClaimReply('malformed'))
        return encode(self._appliers[type(command)](command))

    def snapshot(self):
        """Return all state as bytes."""
        return encode(
            Snapshot(
                self.now_ms,
                self._ticker,
                self._ticker_total_ms,
                list(self._records.items()),
                list(self._answered),
            )
        )

    def restore(self, data):
        """Replace all state by that of a snapshot."""
        self._clear()
        state = _snapshot_decoder.decode(data)
        self.now_ms = state.now_ms
        self._ticker = state.ticker
        self._ticker_total_ms = state.ticker_total_ms
        for key, record in state.records:
            self._put(key, record)
        for key in state.answered:
            self._answered[key] = None
            self.answer_bytes += len(self._records[key].answer)

    def _clear(self):
        self.now_ms = 0
        self.answer_bytes = 0
        self._ticker = ''
        self._ticker_total_ms = 0
        self._records = {}
        self._answered = {}  # keys whose answer is kept, oldest first
        self._slots = {}  # keys by the slot of time in which they expire
        self._counts = {}
        self._names = {}

    def _put(self, key, record):
        name = record.organisation
        record.organisation = self._names.setdefault(name, name)
        self._records[key] = record
        self._counts[name] = self._counts.get(name, 0) + 1
        self._schedule(key, record)

    def _schedule(self, key, record):
        slot = -(-record.expires_ms // SLOT_MS)
        self._slots.setdefault(slot, []).append(key)

    def _drop(self, key):
        record = self._records.pop(key)
        self._forget_answer(key, record)
        self._counts[record.organisation] -= 1
        if not self._counts[record.organisation]:
            del self._counts[record.organisation]
            del self._names[record.organisation]

    def _claim(self, command):
        record = self._records.get(command.key)
        if record is None:
            return self._claim_new(command)
        if record.state == RELEASED:
            return self._claim_released(record, command)
        if record.fingerprint != command.fingerprint:
            return ClaimReply('mismatch')
        if record.state == RUNNING:
            own = record.attempt == command.attempt
            return ClaimReply('granted' if own else 'running', record.attempt)
        return _settled(record)

    def _claim_new(self, command):
        if self._full(command.organisation):
            return ClaimReply('full')
        record = Record(
            command.organisation,
            command.attempt,
            command.fingerprint,
            self.now_ms + command.retention_ms,
        )
        self._put(command.key, record)
        return ClaimReply('granted', command.attempt)

    def _full(self, organisation):
        held = self._counts.get(organisation, 0)
        return (
            len(self._records) >= MAX_CLAIMS or held >= MAX_ORGANISATION_CLAIMS
        )

    def _claim_released(self, record, command):
        if record.attempt == command.attempt:
            return ClaimReply('released')
        record.attempt = command.attempt
        record.fingerprint = command.fingerprint
        record.state = RUNNING
        record.expires_ms = self.now_ms + command.retention_ms
        self._schedule(command.key, record)
        return ClaimReply('granted', command.attempt)

    def _settle(self, command):
        record = self._records.get(command.key)
        if record is None:
            return self._settle_unseen(command)
        if record.attempt != command.attempt:
            return ClaimReply('stale')
        if record.state != RUNNING:
            return _settled(record)
        if command.outcome == 'not-run':
            self._release(command.key, record)
        elif command.outcome == 'ran':
            record.state = RAN
            self._keep_answer(command, record)
        else:
            record.state = UNKNOWN
        return _settled(record)

    def _settle_unseen(self, command):
        # The claim may still come, late, from a node that has given it up.
        if command.outcome != 'not-run' or self._full(command.organisation):
            return ClaimReply('stale')
        record = Record(command.organisation, command.attempt, b'', 0)
        self._put(command.key, record)
        self._release(command.key, record)
        return _settled(record)

    def _release(self, key, record):
        record.state = RELEASED
        record.expires_ms = self.now_ms + RELEASED_RETENTION_MS
        self._schedule(key, record)

    def _keep_answer(self, command, record):
        if not command.kept or len(command.body) > MAX_ANSWER_BODY_BYTES:
            return
        record.answer = encode(
            Answer(command.status, command.headers, command.body)
        )
        self._answered[command.key] = None
        self.answer_bytes += len(record.answer)
        while self.answer_bytes > MAX_ANSWER_BYTES:
            oldest = next(iter(self._answered))
            self._forget_answer(oldest, self._records[oldest])

    def _forget_answer(self, key, record):
        if key in self._answered:
            del self._answered[key]
            self.answer_bytes -= len(record.answer)
            record.answer = b''

    def _expire(self, command):
        if command.ticker == self._ticker:
            passed_ms = max(0, command.total_ms - self._ticker_total_ms)
        else:
            self._ticker = command.ticker
            self._ticker_total_ms = command.total_ms
            passed_ms = 0
        self._ticker_total_ms += passed_ms
        first = self.now_ms // SLOT_MS
        self.now_ms += passed_ms
        for slot in range(first, self.now_ms // SLOT_MS + 1):
            self._expire_slot(slot)
        return ClaimReply('expired')

    def _expire_slot(self, slot):
        for key in self._slots.pop(slot, ()):
            record = self._records.get(key)
            if record is not None and record.expires_ms <= slot * SLOT_MS:
                self._drop(key)


def _settled(record):
    if record.state == RELEASED:
        return ClaimReply('released', record.attempt)
    reply = ClaimReply('settled', record.attempt, _OUTCOMES[record.state])
    if record.answer:
        answer = _answer_decoder.decode(record.answer)
        reply.kept = True
        reply.status = answer.status
        reply.headers = list(answer.headers)
        reply.body = answer.body
    return reply
