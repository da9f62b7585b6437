"""
damasklanding.handshake
~~~~~~~~~~~~~~~~~~~~~~~

Mutual proof of the fleet secret at the start of a connection: each end
answers the other's nonce with an HMAC over both names and nonces.
"""

from dataclasses import dataclass
import hashlib
import hmac
import os

from damasklanding.errors import Forbidden
from damasklanding.errors import LinkClosed
from damasklanding.messages import PROTOCOL_VERSION
from damasklanding.messages import Challenge
from damasklanding.messages import Hello
from damasklanding.messages import Problem
from damasklanding.messages import Proof
from damasklanding.wire import decode_frame
from damasklanding.wire import encode_frame
from damasklanding.wire import frame_length

__all__ = ['Identity', 'accept_handshake', 'open_handshake']

NONCE_BYTES = 16


@dataclass(frozen=True)
class Identity:
    """
    Who a process is towards its peers.

    :ivar name: name of the node or control host.
    :ivar role: ``node``, ``control`` or ``tool``.
    :ivar instance: random per start of the process.
    """

    name: str
    role: str
    instance: str


def _proof(secret, side, first, second, hello, challenge):
    text = '\n'.join(
        (side, hello.name, hello.role, challenge.name, challenge.role)
    )
    data = b'|'.join((text.encode(), first, second))
    return hmac.new(secret, data, hashlib.sha256).digest()


def _read_exactly(sock, count):
    data = b''
    while len(data) < count:
        part = sock.recv(count - len(data))
        if not part:
            raise LinkClosed('the other end closed during the handshake')
        data += part
    return data


def _read_message(sock, cls):
    length = frame_length(_read_exactly(sock, 4))
    _, message = decode_frame(_read_exactly(sock, length))
    if type(message) is Problem:
        raise Forbidden(message.problem, message.remedy)
    if type(message) is not cls:
        raise Forbidden(f'expected {cls.member} in the handshake')
    return message


def _wrong_secret(name):
    return Forbidden(
        f'{name} does not hold the fleet secret',
        'give every process the same fleet secret',
    )


def _check_version(message):
    if message.version != PROTOCOL_VERSION:
        raise Forbidden(
            f'{message.name} speaks protocol version {message.version}',
            f'run a release that speaks version {PROTOCOL_VERSION}',
        )


def open_handshake(sock, identity, secret):
    """
    Prove the secret on a connection that this process has opened.

    :return: :class:`Identity` of the other end.
    :raises Forbidden: the other end does not hold the secret.
    """
    nonce = os.urandom(NONCE_BYTES)
    hello = Hello(identity.name, identity.role, identity.instance, nonce)
    sock.sendall(encode_frame(hello))
    challenge = _read_message(sock, Challenge)
    expected = _proof(
        secret, 'accept', nonce, challenge.nonce, hello, challenge
    )
    if not hmac.compare_digest(expected, challenge.proof):
        raise _wrong_secret(challenge.name)
    proof = _proof(secret, 'open', challenge.nonce, nonce, hello, challenge)
    sock.sendall(encode_frame(Proof(proof)))
    return Identity(challenge.name, challenge.role, challenge.instance)


def accept_handshake(sock, identity, secret):
    """Prove the secret on a connection that another process opened."""
    hello = _read_message(sock, Hello)
    _check_version(hello)
    nonce = os.urandom(NONCE_BYTES)
    challenge = Challenge(
        identity.name, identity.role, identity.instance, nonce, b''
    )
    challenge.proof = _proof(
        secret, 'accept', hello.nonce, nonce, hello, challenge
    )
    sock.sendall(encode_frame(challenge))
    proof = _read_message(sock, Proof)
    expected = _proof(secret, 'open', nonce, hello.nonce, hello, challenge)
    if not hmac.compare_digest(expected, proof.proof):
        raise _wrong_secret(hello.name)
    return Identity(hello.name, hello.role, hello.instance)
