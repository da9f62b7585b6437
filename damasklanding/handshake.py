"""
damasklanding.handshake
~~~~~~~~~~~~~~~~~~~~~~~

Mutual authentication at the start of a connection.  Each end proves that it
holds the shared secret of the fleet: it answers the nonce of the other end
with an HMAC over the names, the roles and the nonces of both.
"""

from dataclasses import dataclass
import hashlib
import hmac
import os

from damasklanding.errors import Forbidden
from damasklanding.errors import LinkClosed
from damasklanding.messages import MESSAGE_LEVEL
from damasklanding.messages import PROTOCOL_VERSION
from damasklanding.messages import Challenge
from damasklanding.messages import Hello
from damasklanding.messages import Problem
from damasklanding.messages import Proof
from damasklanding.wire import decode_frame
from damasklanding.wire import encode_frame
from damasklanding.wire import frame_length

__all__ = ['Identity', 'accept_handshake', 'open_handshake']

MAX_MESSAGE_BYTES = 16 * 1024
NONCE_BYTES = 16


@dataclass(frozen=True)
class Identity:
    """
    Identifies a process to its peers.

    :ivar name: name of the node or control host.
    :ivar role: ``node``, ``control`` or ``tool``.
    :ivar instance: random id that each start of the process gets.
    :ivar level: level of the messages that it understands.
    """

    name: str
    role: str
    instance: str
    level: int = MESSAGE_LEVEL


def _compute_proof(
    secret, prover_side, verifier_nonce, prover_nonce, hello, challenge
):
    text = '\n'.join(
        (
            prover_side,
            hello.name,
            hello.role,
            challenge.name,
            challenge.role,
        )
    )
    data = b'|'.join((text.encode(), verifier_nonce, prover_nonce))
    return hmac.new(secret, data, hashlib.sha256).digest()


def _receive_exactly(sock, count):
    data = b''
    while len(data) < count:
        part = sock.recv(count - len(data))
        if not part:
            raise LinkClosed('the other end closed during the handshake')
        data += part
    return data


def _receive_message(sock, cls):
    length = frame_length(_receive_exactly(sock, 4))
    if length > MAX_MESSAGE_BYTES:
        raise Forbidden(f'a handshake message of {length} bytes')
    _, message = decode_frame(_receive_exactly(sock, length))
    if type(message) is Problem:
        raise Forbidden(message.problem, message.remedy)
    if type(message) is not cls:
        raise Forbidden(f'expected a {cls.member} message in the handshake')
    return message


def _wrong_secret_error(name):
    return Forbidden(
        f'{name} does not hold the fleet secret',
        'give every process the same fleet secret',
    )


def _check_version(message):
    if message.version != PROTOCOL_VERSION:
        raise Forbidden(
            f'{message.name} uses protocol version {message.version}',
            f'run a release that uses version {PROTOCOL_VERSION}',
        )


def open_handshake(sock, identity, secret):
    """
    Authenticate both ends of a connection that this process has opened.

    :return: :class:`Identity` of the other end.
    :raises Forbidden: the other end does not hold the secret or refused the
        handshake.
    :raises LinkClosed: the other end closed the connection.
    """
    nonce = os.urandom(NONCE_BYTES)
    hello = Hello(identity.name, identity.role, identity.instance, nonce)
    sock.sendall(encode_frame(hello))
    challenge = _receive_message(sock, Challenge)
    expected = _compute_proof(
        secret, 'accept', nonce, challenge.nonce, hello, challenge
    )
    if not hmac.compare_digest(expected, challenge.proof):
        raise _wrong_secret_error(challenge.name)
    proof = _compute_proof(
        secret, 'open', challenge.nonce, nonce, hello, challenge
    )
    sock.sendall(encode_frame(Proof(proof)))
    return Identity(
        challenge.name, challenge.role, challenge.instance, challenge.level
    )


def accept_handshake(sock, identity, secret):
    """
    Authenticate both ends of a connection that another process has opened.

    :return: :class:`Identity` of the other end.
    :raises Forbidden: the other end does not hold the secret or uses another
        protocol version.
    :raises LinkClosed: the other end closed the connection.
    """
    hello = _receive_message(sock, Hello)
    _check_version(hello)
    nonce = os.urandom(NONCE_BYTES)
    challenge = Challenge(
        identity.name, identity.role, identity.instance, nonce, b''
    )
    challenge.proof = _compute_proof(
        secret, 'accept', hello.nonce, nonce, hello, challenge
    )
    sock.sendall(encode_frame(challenge))
    proof = _receive_message(sock, Proof)
    expected = _compute_proof(
        secret, 'open', nonce, hello.nonce, hello, challenge
    )
    if not hmac.compare_digest(expected, proof.proof):
        raise _wrong_secret_error(hello.name)
    return Identity(hello.name, hello.role, hello.instance, hello.level)
