"""
damasklanding.linkserver
~~~~~~~~~~~~~~~~~~~~~~~~

Accepts links from other processes that hold the shared secret of the fleet.
"""

import gevent
from gevent.server import StreamServer

from damasklanding.errors import DamasklandingError
from damasklanding.errors import LinkTimeout
from damasklanding.exchange import problem_from_error
from damasklanding.handshake import accept_handshake
from damasklanding.intake import Intake
from damasklanding.link import HANDSHAKE_TIMEOUT_MS
from damasklanding.link import Link
from damasklanding.link import LinkOptions
from damasklanding.link import parse_address
from damasklanding.link import set_socket_options
from damasklanding.wire import encode_frame

__all__ = ['LinkServer']


class LinkServer:
    """
    Listens for links on one address.

    :param clients: :class:`~damasklanding.intake.Clients` among which a
        connection counts until it has shown the secret; None for its own.
    :ivar links: set of the open links.
    :ivar refused: count of connections that failed the handshake.
    """

    def __init__(
        self,
        address,
        identity,
        secret,
        handlers,
        options=None,
        clients=None,
    ):
        self.links = set()
        self._clients = Intake().clients() if clients is None else clients
        self.refused = 0
        self._stopping = False
        self._identity = identity
        self._secret = secret
        self._handlers = handlers
        self._options = options or LinkOptions()
        self._server = StreamServer(
            parse_address(address), self._handle_connection
        )

    @property
    def address(self):
        """Return the address with the port that the system has assigned."""
        host, port = self._server.address[:2]
        return f'{host}:{port}'

    def start(self):
        """Start accepting links."""
        self._server.start()

    def stop(self):
        """Stop accepting links and close the open ones."""
        self._stopping = True
        self._server.stop(timeout=0)
        for link in list(self.links):
            link.close()

    def stop_accepting(self):
        """Stop accepting links; open links stay open."""
        self._server.close()

    def _handle_connection(self, sock, _address):
        with self._clients.admitted(sock) as client:
            peer = self._shake_hands(sock, client)
        if peer is None:
            return
        if self._stopping:
            sock.close()
            return
        link = Link(sock, peer, self._handlers, False, self._options)
        self.links.add(link)
        link.start()
        try:
            link.closed.wait()
        finally:
            self.links.discard(link)

    def _shake_hands(self, sock, client):
        """Return the identity of the other end, None if it is refused."""
        if client is None:
            self.refused += 1
            sock.close()
            return None
        client.waiting = True
        try:
            set_socket_options(sock)
            with gevent.Timeout(
                HANDSHAKE_TIMEOUT_MS / 1000,
                LinkTimeout('the handshake was not finished in time'),
            ):
                return accept_handshake(sock, self._identity, self._secret)
        except (OSError, DamasklandingError) as error:
            self.refused += 1
            self._send_refusal(sock, error)
            return None

    def _send_refusal(self, sock, error):
        try:
            if isinstance(error, DamasklandingError):
                sock.sendall(encode_frame(problem_from_error(error)))
        except OSError:
            pass
        sock.close()
