"""Many calls at once under hang-ups, cuts, late answers and broken links."""

from collections import Counter
import os
import random

import gevent
from nodes import SocketBackend
from nodes import connect
from nodes import fleet
from nodes import read_reply
from nodes import send_request
import pytest

SEEDS = range(1, 1 + int(os.environ.get('DAMASKLANDING_FAULT_SEEDS', '2')))
CALLS = 150
FAULTS = ('late', 'cut', 'twice', 'close', 'shed', 'unsure')


class Faulty:
    """A backend server that echoes a request's name or does worse."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.runs = Counter()
        self.keys_seen = 0

    def serve(self, sock):
        while data := sock.recv(65_536):
            self.keys_seen += b'damasklanding-key' in data.lower()
            name = data.split(b' ', 2)[1].rpartition(b'/')[2]
            fault = None
            if self.random.random() < 0.3:
                fault = self.random.choice(FAULTS)
            if fault == 'shed':
                sock.sendall(
                    b'HTTP/1.1 503 E\r\ndamasklanding-outcome: not-run\r\n'
                    b'content-length: 0\r\n\r\n'
                )
                continue
            self.runs[name] += 1
            if not self._answer(sock, name, fault):
                return

    def _answer(self, sock, name, fault):
        gevent.sleep(self.random.random() * 0.02)
        body = name * 50
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
        if fault == 'close':
            sock.close()
            return False
        if fault == 'unsure':
            sock.sendall(b'HTTP/1.1 503 E\r\ncontent-length: 0\r\n\r\n')
            return True
        if fault == 'late':
            gevent.sleep(0.35)
        if fault == 'cut':
            sock.sendall(head + body[:-3])
            sock.close()
            return False
        sock.sendall((head + body) * (2 if fault == 'twice' else 1))
        return True


def one_call(site, name, chance, results):
    booking = chance.random() < 0.5
    path = f'/book/{name}' if booking else f'/short/{name}'
    sock = connect(site.node.callers.bound_address)
    send_request(sock, path, 'POST' if booking else 'GET')
    if chance.random() < 0.1:
        gevent.sleep(chance.random() * 0.03)
        sock.close()
        results.append((name, booking, None))
        return
    file = sock.makefile('rb')
    try:
        reply = read_reply(file)
    except (OSError, ValueError):
        reply = None
    results.append((name, booking, reply))
    sock.close()


def break_links(sites, chance):
    while True:
        gevent.sleep(0.08)
        site = chance.choice(sites)
        for link in list(site.links.links):
            link.close()


@pytest.mark.parametrize('seed', SEEDS)
def test_every_answer_is_its_own_and_every_outcome_is_true(seed):
    chance = random.Random(seed)
    results = []
    with fleet() as made:
        sites = [made.add('entry')]
        backends = [Faulty(seed * 10 + index) for index in range(3)]
        for index, backend in enumerate(backends):
            sites.append(
                made.add(f'server-{index}', SocketBackend(backend.serve))
            )
        made.publish_all()
        breaker = gevent.spawn(break_links, sites, random.Random(seed))
        jobs = []
        for index in range(CALLS):
            site = chance.choice(sites)
            name = f'call-{index}'
            jobs.append(gevent.spawn(one_call, site, name, chance, results))
            gevent.sleep(0.004)
        gevent.joinall(jobs, timeout=20, raise_error=True)
        breaker.kill()
        gevent.sleep(0.4)
        assert [len(site.node._table) for site in sites] == [0] * 4
    assert len(results) == CALLS
    runs = sum((backend.runs for backend in backends), Counter())
    check(results, runs)
    assert not any(backend.keys_seen for backend in backends)


def check(results, runs):
    good = 0
    for name, booking, reply in results:
        count = runs[name.encode()]
        if booking:
            assert count <= 1, name
        if reply is None:
            continue
        if reply.status == 200:
            good += 1
            assert reply.body == name.encode() * 50
            assert reply.outcome == 'ran'
        if reply.outcome == 'not-run':
            assert count == 0, (name, reply.status, reply.body)
    assert good > CALLS * 0.6
