"""
crowd_clients
~~~~~~~~~~~~~

What clients that misbehave send on a connection.  Each function gets a method,
a path and a socket.
"""

import gevent
from platform_fleet import KEY

HEAD = (
    '{method} {path} HTTP/1.1\r\nHost: h.example\r\n'
    'Damasklanding-Attempt-Id: c1\r\nDamasklanding-Deadline-Ms: 60000\r\n'
    f'Authorization: Token {KEY}\r\n'
)
BODY_BYTES = 64_000
LONG_BODY_BYTES = 1_000_000
OVERSIZE_BYTES = 1 << 36


def head(method, path, *lines):
    text = HEAD.format(method=method, path=path)
    return (text + ''.join(f'{line}\r\n' for line in lines) + '\r\n').encode()


def send_body_in_one_piece(method, path, sock):
    sock.sendall(
        head(method, path, f'Content-Length: {BODY_BYTES}')
        + b'x' * (BODY_BYTES - 1)
    )


def send_whole_body(method, path, sock):
    """Send a request that has to wait for a slot of its backend server."""
    path = path.replace('crowd', 'wait')
    sock.sendall(head(method, path, f'Content-Length: {BODY_BYTES}'))
    sock.sendall(b'x' * BODY_BYTES)


def send_long_body(method, path, sock):
    sock.sendall(head(method, path, f'Content-Length: {LONG_BODY_BYTES}'))
    sock.sendall(b'x' * (LONG_BODY_BYTES - 1))


def send_body_in_small_pieces(method, path, sock):
    sock.sendall(head(method, path, f'Content-Length: {BODY_BYTES}'))
    for _ in range(BODY_BYTES // 1_000 - 1):
        sock.sendall(b'x' * 1_000)
        gevent.sleep(0.005)


def send_body_in_chunks(method, path, sock):
    sock.sendall(head(method, path, 'Transfer-Encoding: chunked'))
    sock.sendall(b'2\r\nxx\r\n' * (BODY_BYTES // 2 - 1))


def send_oversize_body(method, path, sock):
    sock.sendall(head(method, path, f'Content-Length: {OVERSIZE_BYTES}'))
    for _ in range(64):
        sock.sendall(b'x' * 65_536)


def send_many_fields(method, path, sock):
    fields = [f'{name:x}:' for name in range(1_500)]
    sock.sendall(head(method, path, *fields)[:-2])


def send_half_a_head(method, path, sock):
    sock.sendall(head(method, path)[:-2] + b'X-Note: ' + b'x' * 8_000)


def send_head_slowly(method, path, sock):
    for byte in head(method, path, 'X-Note: ' + 'x' * 8_000)[:-2]:
        sock.sendall(bytes((byte,)))
        gevent.sleep(0.02)


def send_many_elements(method, path, sock):
    """Send a whole document that is small and has very many elements."""
    document = b'{"tenants":[{"name":"t","apiKeys":[' + b'"",' * 300_000
    document += b'""]}],"version":"00000063","baseVersion":"00000001",'
    document += b'"clusters":[],"listeners":[]}'
    sock.sendall(head(method, path, f'Content-Length: {len(document)}'))
    sock.sendall(document)


def send_nothing(_method, _path, _sock):
    pass


def send_requests_ahead(method, path, sock):
    request = head(method, path, 'Content-Length: 0')
    for _ in range(100):
        sock.sendall(request * 100)


def ask_for_an_answer(method, path, sock):
    sock.sendall(head(method, path))


def read_an_answer_slowly(method, path, sock):
    sock.sendall(head(method, path))
    while sock.recv(1):
        gevent.sleep(0.05)


def send_one_by_one_unread(method, path, sock):
    for _ in range(1_000):
        sock.sendall(head(method, path, 'Content-Length: 0'))
        gevent.sleep(0.002)
