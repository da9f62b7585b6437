"""
Stand-in backend servers and clients after the users' pages.

A server echoes the attempt id, signs what it has run, rejects with
``Damasklanding-Not-Executed`` what it has not, and announces itself to the
node beside it.  What else it does is given by a function of the request.
"""

import asyncio
import hashlib
import json
import os
import socket
import struct
import time


class Server:
    """
    One backend server.

    :param behave: coroutine function of the server and a :class:`Request`
        that answers it; None answers each with 200 after ``work_s``.
    """

    def __init__(self, fleet, side, service, name, behave=None, work_s=0.02):
        self.record = fleet.record
        self.side = side
        self.service = service
        self.name = name
        self.address = side.fields['appAddress']
        self.announce_address = side.fields['bindAddresses']['control']
        self.behave = behave
        self.work_s = work_s
        self.slots = 149
        self.state = 'ready'
        self.sequence = 0
        self.starts = 0
        self.instance = ''
        self.born = 0
        self.runs = []
        self.writers = set()
        self._server = None
        self._beats = None

    async def start(self, instance=None):
        """Start to listen and to announce itself."""
        self.starts += 1
        self.instance = instance or f'i-{self.name}-{self.starts}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=2**20, reuse_address=True
        )
        self._beats = asyncio.create_task(self._announce())

    async def stop(self):
        """End at once, as a crash does."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def stop_announcing(self):
        """Send no more announcements."""
        self._beats.cancel()

    def report(self):
        """Return the body of an announcement."""
        self.sequence += 1
        return json.dumps(
            {
                'address': self.address,
                'born': self.born,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.side.fields['zone'],
                    'maxConcurrency': self.slots,
                },
                'status': {
                    'state': self.state,
                    'sequence': self.sequence,
                    'warmupLeft': '0ms',
                },
            }
        ).encode()

    async def call_control(self, method, body=b''):
        """Send one announcement or departure; return the status or None."""
        host, _, port = self.announce_address.rpartition(':')
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    host, int(port), local_addr=(host, 0)
                )
                try:
                    writer.write(
                        f'{method} /instances/{self.instance} HTTP/1.1\r\n'
                        f'Host: {host}\r\nContent-Type: application/json\r\n'
                        f'Content-Length: {len(body)}\r\n'
                        'Connection: close\r\n\r\n'.encode()
                        + body
                    )
                    line = await reader.readline()
                    return int(line.split()[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, IndexError, ValueError):
            return None

    async def _announce(self):
        while True:
            await self.call_control('PUT', self.report())
            await asyncio.sleep(1.5)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        request = await read_request(reader)
        if request is None:
            return False
        request.reader = reader
        request.writer = writer
        request.server = self
        expected = request.headers.get('damasklanding-expected-instance')
        if expected not in (None, self.instance):
            await request.read_body()
            await request.reject(421)
            return True
        if self.behave is not None:
            return await self.behave(self, request)
        await request.read_body()
        request.note_run()
        await asyncio.sleep(self.work_s)
        await request.answer(200, body_of(request.id))
        return True


class Request:
    """A request as a server has read it."""

    def __init__(self, method, path, headers, pairs):
        self.method = method
        self.path = path
        self.headers = headers
        self.pairs = pairs
        self.body = b''
        self.reader = self.writer = self.server = None

    @property
    def id(self):
        """Return the attempt id."""
        return self.headers.get('damasklanding-attempt-id', '')

    async def read_body(self):
        """Read the body."""
        self.body = await read_body(self.reader, self.headers)
        return self.body

    def reset(self):
        """Reset the connection."""
        sock = self.writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()

    def note_run(self):
        """Note that the work on it begins."""
        server = self.server
        server.runs.append((time.monotonic(), self))
        server.record.write(
            f'{server.name} ({server.instance}) runs {self.id} '
            f'{self.method} {self.path} body {digest(self.body)}'
        )

    def head(self, status, length, more=()):
        """Return the head of an answer."""
        lines = [f'HTTP/1.1 {status} Status']
        lines.append(f'Damasklanding-Attempt-Id: {self.id}')
        if length is not None:
            lines.append(f'Content-Length: {length}')
        lines += more
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()

    def signed(self, body):
        """Return the header with which a server signs what it has run."""
        return (
            'Damasklanding-Server-Signature: '
            f'{self.server.instance}.{digest(body)}'
        )

    async def answer(self, status, body, more=()):
        """Send a whole answer."""
        more = [self.signed(body), *more]
        self.writer.write(self.head(status, len(body), more) + body)
        await self.writer.drain()

    async def reject(self, status, more=()):
        """Say that it has not run."""
        more = ['Damasklanding-Not-Executed: 1', *more]
        self.writer.write(self.head(status, 0, more))
        await self.writer.drain()


def digest(data):
    """Return a short digest of bytes."""
    return f'{len(data)}:{hashlib.sha256(data).hexdigest()[:12]}'


def body_of(request_id, size=600):
    """Return a body that tells which request it belongs to."""
    unit = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (unit * (size // len(unit) + 1))[:size]


async def read_head(reader):
    """Return the lines of a head, None at the end of the connection."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    return data.decode('latin-1').split('\r\n')[:-2]


def parse_headers(lines):
    """Return headers by lower-case name, and as pairs."""
    pairs = []
    for line in lines:
        name, _, value = line.partition(':')
        pairs.append((name.lower(), value.strip()))
    return dict(pairs), pairs


async def read_request(reader):
    """Return the next request without its body, None if there is none."""
    lines = await read_head(reader)
    if lines is None:
        return None
    method, path, _ = lines[0].split(' ')
    return Request(method, path, *parse_headers(lines[1:]))


async def read_body(reader, headers):
    """Read a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Answer:
    """What a client has got; ``status`` is 0 without a whole answer."""

    def __init__(self, status=0, headers=None, body=b'', note=''):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.note = note

    @property
    def signature(self):
        """Return the signature of the server, empty without one."""
        return self.headers.get('damasklanding-server-signature', '')


async def read_answer(reader):
    """Return the next answer."""
    while True:
        lines = await read_head(reader)
        if lines is None:
            return Answer(note='closed')
        status = int(lines[0].split(' ')[1])
        if status >= 200:
            break
    headers, _ = parse_headers(lines[1:])
    if 'content-length' in headers or 'transfer-encoding' in headers:
        body = await read_body(reader, headers)
    else:
        body = await reader.read()
    return Answer(status, headers, body)


def new_id():
    """Return a new attempt id."""
    return os.urandom(8).hex()


def request_bytes(
    method, host, path, request_id, deadline_ms, body=b'', key=None, more=()
):
    """Return a whole request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'Damasklanding-Attempt-Id: {request_id}',
        f'Damasklanding-Deadline-Ms: {deadline_ms}',
        *more,
    ]
    if key is not None:
        lines.append(f'Authorization: Token {key}')
    if body or method in ('POST', 'PUT'):
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


async def ask(address, data, limit_s):
    """Send one request over a new connection and return the answer."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=2**20, local_addr=(host, 0)
            )
            writer.write(data)
            await writer.drain()
            return await read_answer(reader)
    except TimeoutError:
        return Answer(note='no answer in time')
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(note=f'broke off ({type(error).__name__})')
    finally:
        if writer is not None:
            writer.close()
