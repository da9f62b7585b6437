"""
damasklanding.control.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the control hosts, used by nodes and by control hosts.  It tries
the control hosts in turn until one answers.
"""

import gevent

from damasklanding.clock import monotonic_ms
from damasklanding.errors import NotLeader
from damasklanding.errors import Unavailable
from damasklanding.messages import Propose

__all__ = ['ControlClient']

ATTEMPT_TIMEOUT_MS = 2_000
ROUND_PAUSE_MS = 50


class ControlClient:
    """Sends requests to the control hosts in turn until one answers."""

    def __init__(self, pool, control_hosts, now_ms=monotonic_ms, view=None):
        """
        Create a client whose first request goes to the first control host.

        :param pool: :class:`~damasklanding.linkpool.LinkPool`.
        :param control_hosts: function that returns the configured control
            hosts as pairs of name and address; they are tried first.
        :param view: :class:`~damasklanding.node.view.FleetView` that lists
            the control hosts which have joined later.
        """
        self._pool = pool
        self._control_hosts = control_hosts
        self._view = view
        self._next = 0
        self._now_ms = now_ms

    def propose(self, group, payload, timeout_ms, kind='command'):
        """
        Propose a command and resend it until a control host answers.

        :param payload: encoded command; it contains a request id, so that a
            resent command is applied only once.
        :return: the encoded outcome.
        :raises Unavailable: no control host answered in time; the message
            says whether the outcome is unknown.
        """
        message = Propose(group, payload, kind=kind)
        return self.request_any(message, timeout_ms).outcome

    def request_any(self, message, timeout_ms):
        """
        Send a message until one control host replies.

        :raises Unavailable: no control host replied in time, or none is
            known.
        """
        deadline_ms = self._now_ms() + timeout_ms
        may_have_run = False
        while True:
            addresses = self._addresses()
            if not addresses:
                raise Unavailable('no other control host is known')
            for _ in addresses:
                left_ms = deadline_ms - self._now_ms()
                if left_ms <= 0:
                    raise _timeout_error(message, timeout_ms, may_have_run)
                position = self._next
                address = addresses[position % len(addresses)]
                try:
                    link = self._pool.get(address)
                except Unavailable:
                    self._advance_from(position)
                    continue
                try:
                    return link.request(
                        message, min(left_ms, ATTEMPT_TIMEOUT_MS)
                    )
                except NotLeader:
                    self._advance_from(position)
                except Unavailable:
                    may_have_run = True
                    self._close_silent_link(address, link)
                    self._advance_from(position)
            gevent.sleep(ROUND_PAUSE_MS / 1000)

    def _addresses(self):
        known = [address for _, address in self._control_hosts()]
        if self._view is None:
            return known
        joined = [
            host.peer_address
            for host in self._view.state.all('control_host').values()
            if host.peer_address not in known
        ]
        return known + joined

    def _advance_from(self, position):
        if self._next == position:
            self._next = position + 1

    def _close_silent_link(self, address, link):
        if link.silent_ms() > ATTEMPT_TIMEOUT_MS / 2:
            self._pool.close_link(address)


def _timeout_error(message, timeout_ms, may_have_run):
    outcome = 'its outcome is unknown' if may_have_run else 'it did not run'
    return Unavailable(
        f'no control host answered {message.member} in {timeout_ms} ms, '
        f'{outcome}',
        'check the control hosts; the same request may be sent again',
        retry_after_ms=1_000,
    )
