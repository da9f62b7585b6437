"""
damasklanding.claims.state_machine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State machine of the replicated claims log.  It records which attempt may run
a request with an idempotency key, and the outcome.  It is deterministic: only
commands in the log advance its clock.
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
EXPIRY_SLOT_MS = 1_000

RUNNING = 0
RAN = 1
UNKNOWN = 2
RELEASED = 3

_OUTCOMES = {RAN: 'ran', UNKNOWN: 'unknown'}


class Answer(msgspec.Struct, array_like=True, gc=False):
    """The answer of the attempt that ran."""

    status: int
    headers: tuple[str, ...]
    body: bytes


class ClaimRecord(msgspec.Struct, array_like=True, gc=False):
    """
    One claim.

    :ivar attempt: attempt that holds the claim.
    :ivar fingerprint: digest of the request's content.
    :ivar expires_ms: time on the log's clock after which it is dropped.
    :ivar state: ``RUNNING``, ``RAN``, ``UNKNOWN`` or ``RELEASED``.
    :ivar answer: encoded :class:`Answer`, empty if none is kept.
    """

    organisation: str
    attempt: bytes
    fingerprint: bytes
    expires_ms: int
    state: int = RUNNING
    answer: bytes = b''


class Snapshot(msgspec.Struct, array_like=True):
    """
    Complete state of a :class:`ClaimStateMachine`.

    :ivar answered: keys whose answer is kept, oldest first.
    """

    now_ms: int
    ticker: str
    ticker_total_ms: int
    records: list[tuple[bytes, ClaimRecord]]
    answered: list[bytes]


_answer_decoder = msgspec.msgpack.Decoder(Answer)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


class ClaimStateMachine:
    """
    Claims by the digest of their key, with bounded memory.

    :ivar now_ms: the log's clock, which never runs ahead of real time.
    :ivar answer_bytes: total size of the kept answers.
    """

    def __init__(self):
        self._clear()
        self._handlers = {
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
        return encode(self._handlers[type(command)](command))

    def refusal(self, _error):
        """Return the encoded reply to an entry that can't be applied."""
        return encode(ClaimReply('malformed'))

    def snapshot(self):
        """Return the encoded state."""
        return encode(
            Snapshot(
                self.now_ms,
                self._ticker,
                self._ticker_total_ms,
                list(self._records.items()),
                list(self._keys_with_answer),
            )
        )

    def restore(self, data):
        """Replace the state with that of a snapshot."""
        self._clear()
        state = _snapshot_decoder.decode(data)
        self.now_ms = state.now_ms
        self._ticker = state.ticker
        self._ticker_total_ms = state.ticker_total_ms
        for key, record in state.records:
            self._insert(key, record)
        for key in state.answered:
            self._keys_with_answer[key] = None
            self.answer_bytes += len(self._records[key].answer)

    def _clear(self):
        self.now_ms = 0
        self.answer_bytes = 0
        self._ticker = ''
        self._ticker_total_ms = 0
        self._records = {}
        self._keys_with_answer = {}  # used as an ordered set, oldest first
        self._expiry_slots = {}  # lists of keys by the slot of their expiry
        self._organisation_counts = {}
        self._interned_names = {}

    def _insert(self, key, record):
        name = record.organisation
        record.organisation = self._interned_names.setdefault(name, name)
        self._records[key] = record
        self._organisation_counts[name] = (
            self._organisation_counts.get(name, 0) + 1
        )
        self._schedule(key, record)

    def _schedule(self, key, record):
        slot = -(-record.expires_ms // EXPIRY_SLOT_MS)
        self._expiry_slots.setdefault(slot, []).append(key)

    def _drop(self, key):
        record = self._records.pop(key)
        self._drop_answer(key, record)
        self._organisation_counts[record.organisation] -= 1
        if not self._organisation_counts[record.organisation]:
            del self._organisation_counts[record.organisation]
            del self._interned_names[record.organisation]

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
        return _settled_reply(record)

    def _claim_new(self, command):
        if self._is_full(command.organisation):
            return ClaimReply('full')
        record = ClaimRecord(
            command.organisation,
            command.attempt,
            command.fingerprint,
            self.now_ms + command.retention_ms,
        )
        self._insert(command.key, record)
        return ClaimReply('granted', command.attempt)

    def _is_full(self, organisation):
        held = self._organisation_counts.get(organisation, 0)
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
            return self._settle_without_claim(command)
        if record.attempt != command.attempt:
            return ClaimReply('stale')
        if record.state != RUNNING:
            return _settled_reply(record)
        if command.outcome == 'not-run':
            self._release(command.key, record)
        elif command.outcome == 'ran':
            record.state = RAN
            self._keep_answer(command, record)
        else:
            record.state = UNKNOWN
        return _settled_reply(record)

    def _settle_without_claim(self, command):
        # The claim that this command releases may be applied after it.  The
        # record makes sure that it is not granted then.
        if command.outcome != 'not-run' or self._is_full(command.organisation):
            return ClaimReply('stale')
        record = ClaimRecord(command.organisation, command.attempt, b'', 0)
        self._insert(command.key, record)
        self._release(command.key, record)
        return _settled_reply(record)

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
        self._keys_with_answer[command.key] = None
        self.answer_bytes += len(record.answer)
        while self.answer_bytes > MAX_ANSWER_BYTES:
            oldest = next(iter(self._keys_with_answer))
            self._drop_answer(oldest, self._records[oldest])

    def _drop_answer(self, key, record):
        if key in self._keys_with_answer:
            del self._keys_with_answer[key]
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
        first = self.now_ms // EXPIRY_SLOT_MS
        self.now_ms += passed_ms
        for slot in range(first, self.now_ms // EXPIRY_SLOT_MS + 1):
            self._expire_slot(slot)
        return ClaimReply('expired')

    def _expire_slot(self, slot):
        for key in self._expiry_slots.pop(slot, ()):
            record = self._records.get(key)
            if (
                record is not None
                and record.expires_ms <= slot * EXPIRY_SLOT_MS
            ):
                self._drop(key)


def _settled_reply(record):
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
