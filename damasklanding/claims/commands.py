"""
damasklanding.claims.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands of the replicated claims log and the reply to each.  Keys and
fingerprints travel as digests.
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
    Asks to be the attempt that runs a request.

    :ivar key: digest of organisation and idempotency key.
    :ivar attempt: unique per try to run it.
    :ivar fingerprint: digest of the request's content.
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
    Records what became of an attempt.

    :ivar outcome: ``ran``, ``not-run`` or ``unknown``.
    :ivar kept: whether status, headers and body are the whole answer.
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
    Moves the log's clock on and drops claims past their retention.

    :ivar ticker: unique per clock that measures.
    :ivar total_ms: time since that clock started; a repeated or late
        command moves nothing.
    """

    ticker: str
    total_ms: int


class ClaimReply(msgspec.Struct, omit_defaults=True):
    """
    Verdict on a claim, with the first outcome where there is one.

    :ivar verdict: ``granted``, ``running`` (another attempt may be running),
        ``settled``, ``mismatch`` (same key, another request), ``released``
        (this attempt was settled as not run), ``full`` (no room for another
        claim) or ``stale`` (a settle that came too late).
    :ivar outcome: of a settled claim, ``ran`` or ``unknown``.
    :ivar kept: whether the first answer follows.
    :ivar valid_until_ms: of a granted claim; not to be handed over later.
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
    """Return the digest of a request's content, body in bytes."""
    return _digest((method.encode(), path.encode(), body))
