"""
bench.load
~~~~~~~~~~

An open-loop load generator: calls start at their time whether or not
earlier ones have ended, and callers may retry hard.
"""

from dataclasses import dataclass
from dataclasses import field
from http.client import HTTPConnection
from http.client import HTTPException
import json
import random
import socket
import time
from uuid import uuid4

import gevent
from gevent.pool import Pool

__all__ = [
    'Answer',
    'Caller',
    'Kind',
    'Load',
    'percentile',
    'success_ratio',
]

MAX_IN_FLIGHT = 4_000


@dataclass
class Kind:
    """
    A kind of request.

    :ivar rate_per_s: a number, or a function of the time since the start in
        seconds.
    :ivar tries: how often a caller tries in all.
    :ivar retry_wait_ms: wait before a caller's next try.
    :ivar keyed: whether each request carries an idempotency key, the same
        on a retry.
    """

    name: str
    path: str
    rate_per_s: object
    organisation: str = ''
    key: str = ''
    method: str = 'GET'
    body: bytes | None = None
    timeout_ms: int = 2_000
    tries: int = 1
    retry_wait_ms: int = 50
    keyed: bool = False
    headers: dict = field(default_factory=dict)


@dataclass(slots=True)
class Answer:
    """
    What became of one request, over all its tries.

    :ivar at_s: start, since the start of the load.
    :ivar status: of the last try, 0 without an answer.
    :ivar whole: whether the body was complete and its own request's.
    :ivar outcome: ran, not-run, unknown, or empty without an answer.
    """

    kind: str
    organisation: str
    work: str
    at_s: float
    latency_ms: float = 0.0
    status: int = 0
    outcome: str = ''
    whole: bool = False
    tries: int = 0
    crossed: bool = False
    code: str = ''

    @property
    def good(self):
        """Return whether it is a whole successful answer."""
        return self.whole and 200 <= self.status < 300


class Caller:
    """Kept-alive connections to entry nodes."""

    def __init__(self):
        self._idle = {}

    def call(self, address, kind, work, timeout_ms):
        """
        Send one request.

        :return: triple of status, headers (lower-case dict) and body.
        :raises OSError, HTTPException: where no whole answer came.
        """
        connection = self._take(address)
        connection.sock.settimeout(timeout_ms / 1000)
        headers = {'X-Work-Id': work, **kind.headers}
        if kind.key:
            headers['Damasklanding-Key'] = kind.key
            headers['X-Expected-Organisation'] = kind.organisation
        if kind.keyed:
            headers['Idempotency-Key'] = work
        try:
            connection.request(kind.method, kind.path, kind.body, headers)
            answer = connection.getresponse()
            body = answer.read()
        except BaseException:
            connection.close()
            raise
        if answer.will_close:
            connection.close()
        else:
            self._idle.setdefault(address, []).append(connection)
        names = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, names, body

    def _take(self, address):
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.sock is not None and not _ended(connection.sock):
                return connection
            connection.close()
        host, port = address.rsplit(':', 1)
        connection = HTTPConnection(host, int(port), timeout=2)
        connection.connect()
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection


class Load:
    """
    Runs kinds of requests against entry nodes and keeps the answers.

    :ivar answers: list of :class:`Answer`.
    """

    def __init__(self, addresses, seed=1):
        self.addresses = list(addresses)
        self.answers = []
        self.random = random.Random(seed)
        self._caller = Caller()
        self._pool = Pool(MAX_IN_FLIGHT)
        self._started_s = 0.0

    def run(self, kinds, duration_s, events=()):
        """
        Run for a time; then wait for what is still running.

        :param events: pairs of seconds since the start and a function.
        """
        self.start(kinds, duration_s, events)
        self.join()

    def start(self, kinds, duration_s, events=()):
        """Start without waiting; :meth:`join` waits."""
        self._started_s = time.monotonic()
        self._jobs = [
            gevent.spawn(self._generate, kind, duration_s) for kind in kinds
        ]
        for at_s, function in events:
            self._jobs.append(gevent.spawn_later(at_s, function))

    def join(self):
        """Wait until the time is over and every request has ended."""
        gevent.joinall(self._jobs, raise_error=True)
        self._pool.join()

    def elapsed_s(self):
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def _generate(self, kind, duration_s):
        due_s = 0.0
        while True:
            rate = kind.rate_per_s
            rate = rate(due_s) if callable(rate) else rate
            due_s += self.random.expovariate(rate) if rate > 0 else 0.05
            if due_s >= duration_s:
                return
            delay_s = due_s - self.elapsed_s()
            if delay_s > 0:
                gevent.sleep(delay_s)
            if rate > 0:
                self._pool.spawn(self._request, kind, due_s)

    def _request(self, kind, at_s):
        work = uuid4().hex
        answer = Answer(kind.name, kind.organisation, work, at_s)
        self.answers.append(answer)
        begun_s = time.monotonic()
        while answer.tries < kind.tries:
            answer.tries += 1
            self._try(kind, answer, begun_s)
            if answer.good or 400 <= answer.status < 429:
                break
            left_ms = kind.timeout_ms - (time.monotonic() - begun_s) * 1000
            if answer.tries == kind.tries or left_ms <= kind.retry_wait_ms:
                break
            gevent.sleep(
                kind.retry_wait_ms / 1000 * self.random.uniform(0.5, 1.5)
            )
        answer.latency_ms = (time.monotonic() - begun_s) * 1000

    def _try(self, kind, answer, begun_s):
        address = self.random.choice(self.addresses)
        left_ms = kind.timeout_ms - (time.monotonic() - begun_s) * 1000
        answer.status, answer.whole, answer.outcome = 0, False, ''
        try:
            status, headers, body = self._caller.call(
                address, kind, answer.work, max(left_ms, 1)
            )
        except (OSError, HTTPException):
            return
        answer.status = status
        answer.whole = True
        answer.outcome = headers.get('damasklanding-outcome', '')
        answer.code = _problem_code(headers, body)
        if status == 200 and body.startswith(b'work='):
            expected = f'work={answer.work};'.encode()
            answer.crossed = not body.startswith(expected)


def _problem_code(headers, body):
    if headers.get('content-type') != 'application/problem+json':
        return ''
    return json.loads(body).get('code', '')


def _ended(sock):
    sock.setblocking(False)
    try:
        sock.recv(1, socket.MSG_PEEK)
        return True
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.setblocking(True)


def percentile(values, share):
    """Return the value below which a share lies, NaN without values."""
    if not values:
        return float('nan')
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def success_ratio(answers, within_ms=None):
    """Return the share of whole answers, in time where a time is given."""
    if not answers:
        return float('nan')
    good = [
        answer
        for answer in answers
        if answer.good
        and (within_ms is None or answer.latency_ms <= within_ms)
    ]
    return len(good) / len(answers)
