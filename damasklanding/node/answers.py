"""
damasklanding.node.answers
~~~~~~~~~~~~~~~~~~~~~~~~~~

The answer to a call, and the problem document that reports an error to the
caller.
"""

from dataclasses import dataclass

import msgspec

from damasklanding.headers import HOP_BY_HOP
from damasklanding.headers import OUTCOME
from damasklanding.headers import PREFIX
from damasklanding.policy.chainadmission import NO_BOTTLENECK

__all__ = [
    'NOT_RUN',
    'RAN',
    'UNKNOWN',
    'Answer',
    'answer_from_error',
    'end_to_end_headers',
    'stream_body',
]

RAN = 'ran'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'

PROBLEM_TYPE = 'application/problem+json'


class ProblemDocument(msgspec.Struct):
    """Problem document as in RFC 9457, the body of an error answer."""

    title: str
    status: int
    code: str
    detail: str
    remedy: str
    outcome: str


_encode = msgspec.json.Encoder().encode


@dataclass(slots=True)
class Answer:
    """
    The answer to a call.

    :ivar headers: names in lower case and values, alternating.
    :ivar body: the whole body, empty if it is streamed.
    :ivar parts: iterator over a streamed body, else None.
    :ivar length: size of a streamed body in bytes, None if unknown.
    :ivar outcome: whether the request has run: ``ran``, ``not-run`` or
        ``unknown``.
    :ivar may_retry: whether an attempt at another backend server may succeed.
    :ivar retries_left: unspent retries of the call chain.
    :ivar retry_after_ms: time after which to retry, 0 if none was given.
    :ivar load: encoded load report of the node that answered.
    :ivar missing_services: services without a backend server that onward
        calls of the request needed.
    :ivar leaving_services: services that its chain called and whose last
        usable backend server leaves.
    :ivar bottleneck: :data:`~damasklanding.policy.chainadmission.Bottleneck`
        of the request's chain.
    :ivar release: function that frees the resources of a streamed body, None
        for other bodies.
    """

    status: int
    headers: list
    body: bytes = b''
    parts: object = None
    length: int | None = None
    outcome: str = RAN
    may_retry: bool = False
    retries_left: int = 0
    retry_after_ms: int = 0
    load: bytes = b''
    release: object = None
    missing_services: object = ()
    leaving_services: object = ()
    bottleneck: tuple = NO_BOTTLENECK

    def close(self):
        """Free the resources of a streamed body; may be called again."""
        release = self.release
        if release is not None:
            self.release = None
            release()

    def header_pairs(self):
        """Return the headers of the HTTP answer as (name, value) pairs."""
        headers = self.headers
        pairs = list(zip(headers[::2], headers[1::2], strict=True))
        pairs.append((OUTCOME, self.outcome))
        if self.parts is None:
            pairs.append(('content-length', str(len(self.body))))
        elif self.length is not None:
            pairs.append(('content-length', str(self.length)))
        return pairs


def answer_from_error(error):
    """Return an answer that reports an error as a problem document."""
    problem = ProblemDocument(
        title=error.code.replace('-', ' '),
        status=error.http_status,
        code=error.code,
        detail=error.problem,
        remedy=error.remedy,
        outcome=error.outcome,
    )
    headers = ['content-type', PROBLEM_TYPE]
    if error.retry_after_ms:
        retry_after_s = -(-int(error.retry_after_ms) // 1000)
        headers += ('retry-after', str(retry_after_s))
    return Answer(
        error.http_status,
        headers,
        _encode(problem),
        outcome=error.outcome,
        may_retry=error.may_retry,
        retries_left=error.retries_left or 0,
    )


def stream_body(answer):
    """Yield the parts of a streamed body, then close the answer."""
    try:
        yield from answer.parts
    finally:
        answer.close()


def end_to_end_headers(headers, kept_names=frozenset()):
    """
    Return the end-to-end headers: those valid beyond one connection.

    Headers with the product's own prefix are removed too.

    :param headers: names in lower case and values, alternating.
    :param kept_names: names with the product's prefix that are kept.
    """
    connection_headers = ()
    for index in range(0, len(headers), 2):
        if headers[index] == 'connection':
            value = headers[index + 1].lower()
            connection_headers = [name.strip() for name in value.split(',')]
    forwarded = []
    for index in range(0, len(headers), 2):
        name = headers[index]
        if name in HOP_BY_HOP or name in connection_headers:
            continue
        if name.startswith(PREFIX) and name not in kept_names:
            continue
        forwarded += (name, headers[index + 1])
    return forwarded
