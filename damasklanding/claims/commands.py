"""
damasklanding.claims.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands of the replicated claims log and their replies.  Keys and
fingerprints are sent as digests.
"""

import hashlib

import msgspec

__all__ = [
    'CLAIMS_GROUP',
    'MAX_ANSWER_BODY_BYTES',
    'ClaimReply',
    'ClaimRequest',
    'Expire',
    'SettleRequest',
    'claim_digest',
    'decode_command',
    'decode_reply',
    'encode',
    'request_fingerprint',
]

CLAIMS_GROUP = 'claims'
DIGEST_BYTES = 16
MAX_ANSWER_BODY_BYTES = 16 * 1024


class Command(msgspec.Struct, frozen=True, kw_only=True, tag_field='op'):
    """Base of all commands of the claims log."""


class ClaimRequest(Command, frozen=True, kw_only=True, tag='claim'):
    """
    Claims the right to run a request.

    :ivar key: digest of organisation and idempotency key.
    :ivar attempt: unique identifier of this attempt to run the request.
    :ivar fingerprint: digest of the request's content.
    :ivar retention_ms: time for which the claim is kept.
    """

    organisation: str
    key: bytes
    attempt: bytes
    fingerprint: bytes
    retention_ms: int


class SettleRequest(
    Command, frozen=True, kw_only=True, tag='settle', omit_defaults=True
):
    """
    Records the outcome of an attempt.

    :ivar outcome: ``ran``, ``not-run`` or ``unknown``.
    :ivar kept: whether status, headers and body hold the whole answer.
    """

    organisation: str
    key: bytes
    attempt: bytes
    outcome: str
    kept: bool = False
    status: int = 0
    headers: tuple[str, ...] = ()
    body: bytes = b''


class Expire(Command, frozen=True, kw_only=True, tag='expire'):
    """
    Advances the log's clock and drops claims whose retention has ended.

    :ivar ticker: unique identifier of the ticker that measured the time.
    :ivar total_ms: time since that ticker started, so that a repeated or late
        command does not advance the clock.
    """

    ticker: str
    total_ms: int


class ClaimReply(msgspec.Struct, omit_defaults=True):
    """
    Result of a command, with the outcome of a settled claim.

    :ivar verdict: ``granted``, ``running`` (another attempt may be running),
        ``settled``, ``mismatch`` (same key, another request), ``released``
        (this attempt was settled as not run), ``full`` (no room for another
        claim), ``stale`` (a settle without a matching claim), ``expired``
        (the clock was advanced) or ``malformed`` (a command that cannot be
        decoded).
    :ivar attempt: attempt that holds the claim.
    :ivar outcome: outcome of a settled claim, ``ran`` or ``unknown``.
    :ivar kept: whether status, headers and body hold the first answer.
    :ivar valid_until_ms: time on the client's clock after which the request
        of a granted claim must not be sent any more; set by the client.
    """

    verdict: str
    attempt: bytes = b''
    outcome: str = ''
    kept: bool = False
    status: int = 0
    headers: list[str] = []
    body: bytes = b''
    valid_until_ms: float = 0.0


_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(
    ClaimRequest | SettleRequest | Expire
)
_reply_decoder = msgspec.msgpack.Decoder(ClaimReply)

#: Encode a command or a reply to bytes.
encode = _encoder.encode


def decode_command(data):
    """Decode a command; raises ``msgspec.MsgspecError``."""
    return _command_decoder.decode(data)


def decode_reply(data):
    """Decode a :class:`ClaimReply`; raises ``msgspec.MsgspecError``."""
    return _reply_decoder.decode(data)


def _digest(parts):
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'little'))
        digest.update(part)
    return digest.digest()


def claim_digest(organisation, key):
    """Return the digest of an organisation's idempotency key."""
    return _digest((organisation.encode(), key.encode()))


def request_fingerprint(method, path, body):
    """Return the digest of a request's content; the body is bytes."""
    return _digest((method.encode(), path.encode(), body))
