"""
damasklanding.policy.crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports of crashes of backend servers, as nodes exchange them.  Clocks differ
between hosts, so the reports carry ages.
"""

from dataclasses import dataclass
from hashlib import blake2b

__all__ = [
    'FINGERPRINT_BYTES',
    'Crash',
    'QuarantineState',
    'Quarantined',
    'Suspect',
    'fingerprint',
]

FINGERPRINT_BYTES = 12


def fingerprint(method, target, organisation, body):
    """
    Return what identifies requests with the same path, caller and body.

    :param method: HTTP method.
    :param target: path and query.
    :param organisation: name of the caller's organisation.
    :param body: body as bytes; of a streamed one, the bytes at hand.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for text in (method, target, organisation):
        part = text.encode('utf-8', 'surrogateescape')
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(body)
    return digest.digest()


@dataclass(frozen=True, slots=True)
class Suspect:
    """
    A request that was running when a backend server ended.

    :ivar running_ms: time from its start to the crash.
    """

    fingerprint: bytes
    running_ms: int


@dataclass(frozen=True, slots=True)
class Crash:
    """
    An unplanned end of a backend server.

    :ivar crash_id: names the backend server and its start.
    :ivar age_ms: time since the crash.
    :ivar suspects: :class:`Suspect` of each request that was running.
    :ivar cleared: fingerprints of former suspects that were answered since.
    """

    crash_id: str
    age_ms: int
    suspects: tuple[Suspect, ...]
    cleared: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class Quarantined:
    """
    A quarantine whose crashes may be forgotten.

    :ivar times: how many times the fingerprint was quarantined.
    :ivar left_ms: time until the release, negative after it.
    :ivar cleared: whether the quarantine was annulled by an answer.
    """

    fingerprint: bytes
    times: int
    left_ms: int
    cleared: bool = False


@dataclass(frozen=True, slots=True)
class QuarantineState:
    """
    What the nodes of a service exchange.

    Quarantines that follow from the crashes are not listed; each node derives
    them.
    """

    crashes: tuple[Crash, ...] = ()
    quarantined: tuple[Quarantined, ...] = ()
