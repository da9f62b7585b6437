"""
damasklanding.node.answers
~~~~~~~~~~~~~~~~~~~~~~~~~~

The answer to a call, and the problem document that reports an error.
"""

from dataclasses import dataclass

import msgspec

from damasklanding.headers import HOP_BY_HOP
from damasklanding.headers import OUTCOME
from damasklanding.headers import PREFIX

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
    """Body of a refusal, after RFC 9457."""

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
    :ivar body: the whole body, unless it is streamed.
    :ivar parts: iterator over a streamed body, else None.
    :ivar length: size of a streamed body, None where unknown.
    :ivar outcome: ``ran``, ``not-run`` or ``unknown``.
    :ivar may_retry: whether another attempt elsewhere may help.
    :ivar retries_left: allowance of the chain that came back.
    :ivar release: lets go of what a streamed body holds, None for others.
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

    def close(self):
        """Let go of what a streamed body holds; harmless when repeated."""
        release = self.release
        if release is not None:
            self.release = None
            release()

    def header_pairs(self):
        """Return the headers of the HTTP answer as pairs."""
        headers = self.headers
        pairs = list(zip(headers[::2], headers[1::2], strict=True))
        pairs.append((OUTCOME, self.outcome))
        if self.parts is None:
            pairs.append(('content-length', str(len(self.body))))
        elif self.length is not None:
            pairs.append(('content-length', str(self.length)))
        return pairs


def answer_from_error(error):
    """Return the answer that reports an error, a problem document."""
    document = ProblemDocument(
        title=error.code.replace('-', ' '),
        status=error.http_status,
        code=error.code,
        detail=error.problem,
        remedy=error.remedy,
        outcome=error.outcome,
    )
    headers = ['content-type', PROBLEM_TYPE]
    if error.retry_after_ms:
        seconds = -(-int(error.retry_after_ms) // 1000)
        headers += ('retry-after', str(seconds))
    return Answer(
        error.http_status,
        headers,
        _encode(document),
        outcome=error.outcome,
        may_retry=error.may_retry,
        retries_left=error.retries_left or 0,
    )


def stream_body(answer):
    """Yield a streamed body and close the answer after it."""
    try:
        yield from answer.parts
    finally:
        answer.close()


def end_to_end_headers(headers, kept=frozenset()):
    """
    Return the headers that go further than one connection.

    :param headers: names in lower case and values, alternating.
    :param kept: names with the product's prefix that stay.
    """
    nominated = ()
    for index in range(0, len(headers), 2):
        if headers[index] == 'connection':
            value = headers[index + 1].lower()
            nominated = [name.strip() for name in value.split(',')]
    passed = []
    for index in range(0, len(headers), 2):
        name = headers[index]
        if name in HOP_BY_HOP or name in nominated:
            continue
        if name.startswith(PREFIX) and name not in kept:
            continue
        passed += (name, headers[index + 1])
    return passed
