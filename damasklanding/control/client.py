"""
damasklanding.control.client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reaches any control host that answers, for nodes and control hosts alike.
"""

import gevent

from damasklanding.clock import monotonic_ms
from damasklanding.errors import NotLeader
from damasklanding.errors import Unavailable
from damasklanding.messages import Propose

__all__ = ['ControlClient']

ATTEMPT_MS = 2_000
PAUSE_MS = 50


class ControlClient:
    """Sends requests to the control hosts in turn until one answers."""

    def __init__(self, pool, control_hosts, now_ms=monotonic_ms, view=None):
        """
        Start with the first control host.

        :param pool: :class:`~damasklanding.linkpool.LinkPool`.
        :param control_hosts: function that returns the first ones to try,
            as pairs of name and address.
        :param view: :class:`~damasklanding.node.view.FleetView` that tells
            of control hosts which have joined later.
        """
        self._pool = pool
        self._control_hosts = control_hosts
        self._view = view
        self._next = 0
        self._now_ms = now_ms

    def propose(self, group, payload, timeout_ms, kind='command'):
        """
        Have a command accepted; the same payload is resent until then.

        :param payload: carries an id of its own, so that a resend is
            applied once.
        :return: bytes of the outcome.
        :raises Unavailable: its message says whether the outcome is
            unknown.
        """
        message = Propose(group, payload, kind=kind)
        return self.request_any(message, timeout_ms).outcome

    def request_any(self, message, timeout_ms):
        """
        Send a message until one control host replies.

        :raises Unavailable: where none did in time.
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
                    raise _unanswered(message, timeout_ms, may_have_run)
                turn = self._next
                address = addresses[turn % len(addresses)]
                try:
                    link = self._pool.get(address)
                except Unavailable:
                    self._turn_from(turn)
                    continue
                try:
                    return link.request(message, min(left_ms, ATTEMPT_MS))
                except NotLeader:
                    self._turn_from(turn)
                except Unavailable:
                    may_have_run = True
                    self._drop_silent(address, link)
                    self._turn_from(turn)
            gevent.sleep(PAUSE_MS / 1000)

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

    def _turn_from(self, turn):
        if self._next == turn:
            self._next = turn + 1

    def _drop_silent(self, address, link):
        if link.silent_ms() > ATTEMPT_MS / 2:
            self._pool.close_link(address)


def _unanswered(message, timeout_ms, may_have_run):
    outcome = 'its outcome is unknown' if may_have_run else 'it did not run'
    return Unavailable(
        f'no control host answered {message.member} in {timeout_ms} ms, '
        f'{outcome}',
        'check the control hosts; the same request may be sent again',
        retry_after_ms=1_000,
    )
