"""
damasklanding.linkpool
~~~~~~~~~~~~~~~~~~~~~~

Keeps at most one open link to each address and opens a new one on demand.
"""

from gevent.lock import BoundedSemaphore

from damasklanding.errors import LinkTimeout
from damasklanding.link import open_link

__all__ = ['LinkPool']


class LinkPool:
    """Opens links on first use and reuses them until they close."""

    def __init__(self, identity, secret, handlers=None, options=None):
        self._identity = identity
        self._secret = secret
        self._handlers = handlers
        self._options = options
        self._links = {}
        self._locks = {}

    def get(self, address):
        """
        Return an open link to an address, which is opened if need be.

        :raises Unavailable: the peer can't be reached.
        :raises Forbidden: the secrets differ.
        """
        link = self._links.get(address)
        if link is not None and not link.closed.is_set():
            return link
        lock = self._locks.setdefault(address, BoundedSemaphore(1))
        with lock:
            link = self._links.get(address)
            if link is None or link.closed.is_set():
                link = self._open(address)
            return link

    def peek(self, address):
        """Return the open link to an address, or None; opens no link."""
        link = self._links.get(address)
        if link is None or link.closed.is_set():
            return None
        return link

    def request(self, address, message, timeout_ms):
        """
        Send one message to an address and return the reply.

        A link that received nothing until the timeout is drained, so that
        the next request opens a new one.
        """
        link = self.get(address)
        try:
            return link.request(message, timeout_ms)
        except LinkTimeout:
            if link.silent_ms() >= timeout_ms:
                self.drain(address, link)
            raise

    def drain(self, address, link):
        """Remove a link from the pool; it closes after its last exchange."""
        if self._links.get(address) is link:
            del self._links[address]
        link.drain()

    def close_link(self, address):
        """Close the link to an address, if there is one."""
        link = self._links.pop(address, None)
        self._locks.pop(address, None)
        if link is not None:
            link.close()

    def close(self):
        """Close all links."""
        for address in list(self._links):
            self.close_link(address)

    def _open(self, address):
        link = open_link(
            address,
            self._identity,
            self._secret,
            self._handlers,
            self._options,
        )
        self._links[address] = link
        return link
