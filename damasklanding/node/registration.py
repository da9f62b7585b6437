"""
damasklanding.node.registration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Registers a node and the backend server beside it, and keeps the entry in
the configuration equal to what the backend server announces.
"""

from dataclasses import dataclass
from uuid import uuid4

import gevent
from gevent.event import Event
import msgspec

from damasklanding.errors import DamasklandingError
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import ExpireBackends
from damasklanding.fleet.commands import RegisterBackend
from damasklanding.logs import StateLog

__all__ = ['Announcement', 'Registration']

CHECK_MS = 250
PROPOSE_TIMEOUT_MS = 2_000
ANNOUNCE_LEASE_MS = 5_000  # a backend server silent for longer is left out


@dataclass(frozen=True)
class Announcement:
    """
    What a backend server says of itself.

    :ivar state: ``in`` or ``draining``.
    :ivar cold: whether it bears only a little load now.
    :ivar slots: its concurrency, 0 where it does not say.
    :ivar instance: id of its present start, empty where it does not say.
    :ivar cold_for_ms: how much longer it stays cold, 0 where it does not
        say.
    :ivar started_at_ms: when it started, on its host's clock; 0 where it does
        not say.
    :ivar departure: stage of its departure while it is still in use, empty
        unless it leaves.
    """

    service: str
    state: str = 'in'
    cold: bool = False
    slots: int = 0
    instance: str = ''
    cold_for_ms: int = 0
    started_at_ms: int = 0
    departure: str = ''

    @property
    def start(self):
        """Return an id of the present start, empty where it names none."""
        if not self.instance:
            return ''
        return f'{self.instance}@{self.started_at_ms}'


class Registration:
    """
    Keeps the node's own entry in the configuration.

    :param own: :class:`Backend` with the node's name, instance, data centre
        and peer address, and no service.
    :param view: the node's view.
    :param propose: function of payload and timeout that sends an encoded
        envelope to the control hosts.
    """

    def __init__(self, own, view, propose, now_ms):
        self._own = own
        self._view = view
        self._propose = propose
        self._now_ms = now_ms
        self._announced = None
        self._heard_ms = 0.0
        self._leaving = False
        self._wake = Event()
        self._greenlet = None
        self._log = StateLog()

    def start(self):
        """Start to keep the entry."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop keeping the entry; it lapses with its lease."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def announce(self, announcement):
        """Take an announcement of the backend server; also its heartbeat."""
        changed = announcement != self._announced
        self._announced = announcement
        self._heard_ms = self._now_ms()
        if changed:
            self._wake.set()

    def leave(self):
        """Mark the entry as draining, for a planned stop."""
        self._leaving = True
        self._wake.set()

    def withdraw(self):
        """Remove the entry, once the node has no work left."""
        self.stop()
        self._send(
            ExpireBackends(instances={self._own.name: self._own.instance})
        )

    def wanted(self):
        """Return the entry as it should stand."""
        announced = self._announced
        state = 'draining' if self._draining_reason() else 'in'
        if announced is None:
            return msgspec.structs.replace(self._own, state=state)
        return msgspec.structs.replace(
            self._own,
            service=announced.service,
            state=state,
            cold_start=announced.cold,
            slots=announced.slots,
            start=announced.start,
            departure=announced.departure,
        )

    def _draining_reason(self):
        """Return why the entry is to take no new work, empty if it may."""
        if self._leaving:
            return 'this node stops'
        announced = self._announced
        if announced is None:
            return ''
        if announced.state != 'in':
            return 'the backend server drains'
        silent_ms = self._now_ms() - self._heard_ms
        if silent_ms > ANNOUNCE_LEASE_MS:
            return f'no announcement for over {ANNOUNCE_LEASE_MS} ms'
        return ''

    def is_current(self):
        """Return whether the configuration holds the entry as wanted."""
        entry = self._view.state.get('backend', self._own.name)
        if entry is None:
            return False
        wanted = self.wanted()
        return entry == msgspec.structs.replace(
            wanted,
            revision=entry.revision,
            held_out=entry.held_out,
            cold_start=entry.cold_start,
        )

    def _run(self):
        while True:
            if not self.is_current():
                reason = self._draining_reason()
                self._log.note('registration', reason or 'in')
                self._send(RegisterBackend(backend=self.wanted()))
            self._wake.wait(CHECK_MS / 1000)
            self._wake.clear()

    def _send(self, command):
        envelope = Envelope(
            request_id=uuid4().hex, operator=self._own.name, command=command
        )
        try:
            self._propose(msgspec.msgpack.encode(envelope), PROPOSE_TIMEOUT_MS)
        except DamasklandingError:
            gevent.sleep(CHECK_MS / 1000)
