"""
bench.relay
~~~~~~~~~~~

A relay between two processes whose connections can be made silent.
"""

from dataclasses import dataclass
from dataclasses import field

import gevent
from gevent import socket as gsocket
from gevent.server import StreamServer

__all__ = ['Relay']

BLOCK_BYTES = 65_536


@dataclass
class Relay:
    """
    Relays connections to a target; open ones can be made silent.

    A silent connection stays open and loses every byte, while new ones
    work: what a middlebox does that has lost track of it.

    :ivar passed_bytes: passed on so far, in both directions.
    """

    listen: str
    target: str
    pairs: list = field(default_factory=list)
    server: object = None
    passed_bytes: int = 0

    def start(self):
        """Start to relay."""
        host, port = self.listen.rsplit(':', 1)
        self.server = StreamServer((host, int(port)), self._accept)
        self.server.start()

    @property
    def address(self):
        """Return the address in use, with the port that was given out."""
        return '%s:%d' % self.server.address[:2]

    def silence(self):
        """Make all open connections silent for good."""
        for state in self.pairs:
            state['silent'] = True
        self.pairs = []

    def _accept(self, sock, _address):
        host, port = self.target.rsplit(':', 1)
        try:
            other = gsocket.create_connection((host, int(port)), 1)
        except OSError:
            sock.close()
            return
        other.settimeout(None)
        state = {'silent': False}
        self.pairs.append(state)
        for side in (sock, other):
            side.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
        jobs = [
            gevent.spawn(self._pump, sock, other, state),
            gevent.spawn(self._pump, other, sock, state),
        ]
        gevent.joinall(jobs)

    def _pump(self, source, target, state):
        try:
            while True:
                data = source.recv(BLOCK_BYTES)
                if not data:
                    break
                if not state['silent']:
                    self.passed_bytes += len(data)
                    target.sendall(data)
        except OSError:
            pass
        if not state['silent']:
            for sock in (source, target):
                sock.close()
