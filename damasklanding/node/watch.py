"""
damasklanding.node.watch
~~~~~~~~~~~~~~~~~~~~~~~~

Keeps a node's view current.  One greenlet follows one source at a time: a
control host or, while none answers, another node that relays what it follows.

A relay knows only the backend servers of the services that it follows itself.
What it says about backend servers is added to the view, but nothing is removed
from it, and the next control host sends a snapshot of everything.

A control host in the own data centre is preferred.  A node without any state
asks a distant one only for the list of control hosts, and a node that follows
a distant one leaves it as soon as a near one can be reached.
"""

from functools import partial

import gevent
from gevent.event import Event
import msgspec

from damasklanding.errors import DamasklandingError
from damasklanding.errors import LinkClosed
from damasklanding.errors import LinkTimeout
from damasklanding.fleet.packing import unpack_changes
from damasklanding.fleet.resources import Change
from damasklanding.logs import StateLog
from damasklanding.messages import CONTROL_HOSTS_LEVEL
from damasklanding.messages import NEVER_CONFIRMED_AGE_MS
from damasklanding.messages import Beat
from damasklanding.messages import BeatReply
from damasklanding.messages import Watch
from damasklanding.messages import WatchDelta
from damasklanding.messages import WatchSnapshot
from damasklanding.node.sources import WatchSources

__all__ = ['WatchClient']

BEAT_MS = 300
#: Three heartbeats; a source that answers none for longer is left.  With two
#: more that are lost as well this leaves time within the 2 s in which a
#: change is to be in force.
REPLY_LIMIT_MS = 900
#: A host on the way answers a connection within milliseconds.
OPEN_LIMIT_MS = 350
HOSTS_LIMIT_MS = 350  # for the list of control hosts
STALE_SOURCE_MS = 1_500  # a source whose proof is older is left
#: Time for which a node without any state waits at a source without proof:
#: before the first election no source has one.
FIRST_PROOF_MS = 800
FIRST_BEAT_MS = 100  # until the first proof
RELAY_TURN_MS = 3_000  # a relay is left for a control host after this
#: A relay is left after this while the view lacks the backend servers of a
#: service that was asked for.
INCOMPLETE_RELAY_TURN_MS = 500
RETRY_MS = 100
WANT_TIMEOUT_MS = 1_000


class _StaleSource(LinkTimeout):
    """A source answers, but has no recent proof that it is current."""


class _NearerSource(LinkClosed):
    """A control host in the own data centre can be followed instead."""


class WatchClient:
    """
    Follows the configuration and proves it fresh.

    :param view: :class:`damasklanding.node.view.FleetView`.
    :param pool: :class:`damasklanding.linkpool.LinkPool`.
    :param identity: own identity.
    :param control_hosts: function that returns the control hosts to try
        first, as pairs of name and peer address.
    :param random: ``random.Random``, spreads the nodes over the sources.
    :param take_status: returns the bytes that each heartbeat carries.
    :param all_services: whether to learn of every backend server at once.
    :param data_centre: own data centre, empty if sources have no distance.

    :ivar sources: :class:`~damasklanding.node.sources.WatchSources`.
    :ivar source: name of the source that is followed, empty if there is none.
    """

    def __init__(
        self,
        view,
        pool,
        identity,
        control_hosts,
        random,
        take_status=bytes,
        all_services=False,
        data_centre='',
    ):
        self._view = view
        self._pool = pool
        self._identity = identity
        self._random = random
        self.sources = WatchSources(
            view, identity.name, data_centre, control_hosts, random
        )
        self._take_status = take_status
        self._all_services = all_services
        self._services = {}
        self._exchange = None
        self._greenlet = None
        self._seq = 0
        self._sent_ms = {}
        self._probe = None
        self._followed_ms = 0.0
        self._needs_snapshot = False
        self._log = StateLog()
        self.source = ''

    def start(self):
        """Start to follow a source."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop following."""
        for greenlet in (self._greenlet, self._probe):
            if greenlet is not None:
                greenlet.kill()

    def ensure_service(self, service, timeout_ms=WANT_TIMEOUT_MS):
        """Learn of a service's backend servers, and wait until known."""
        if self._all_services:
            return
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = Event()
            self._beat([service])
        if not known.is_set():
            known.wait(timeout_ms / 1000)

    def knows_service(self, service):
        """Return whether a service's backend servers are known."""
        known = self._services.get(service)
        return self._all_services or (known is not None and known.is_set())

    def _run(self):
        while True:
            for address in self.sources.ordered():
                if self._try(address):
                    # Others may have joined or failed meanwhile.
                    break

    def _try(self, address):
        """Follow a source while it serves; return whether it ever did."""
        self.source = ''
        try:
            self._follow(address)
        except _StaleSource:
            # A source that answers may become current at any time, a control
            # host with the next election, so it comes before those that
            # failed.
            self._exchange = None
            self.sources.note_stale(address)
        except _NearerSource:
            self._exchange = None
        except (DamasklandingError, msgspec.MsgspecError) as error:
            self._exchange = None
            self.sources.note_failed(address)
            self._log.note('configuration', 'not followed', str(error))
        followed = bool(self.source)
        self.source = ''
        gevent.sleep(RETRY_MS / 1000 * self._random.uniform(0.5, 1))
        return followed

    def _unknown_services(self):
        """Return the services for which no control host has answered."""
        return [
            service
            for service, known in self._services.items()
            if not known.is_set()
        ]

    def _follow(self, address):
        with gevent.Timeout(OPEN_LIMIT_MS / 1000, _slow_open(address)):
            link = self._pool.get(address)
        state = self._view.state
        is_control = link.peer.role == 'control'
        if is_control and not state.revision and not self.sources.knows_near():
            self._look_for_nearer(address, link)
        services = list(self._services)
        message = Watch(
            self._identity.name,
            self._identity.instance,
            state.term,
            0 if is_control and self._needs_snapshot else state.revision,
            services,
            self._all_services,
            compressed=True,
        )
        self._sent_ms.clear()
        with link.exchange(message) as exchange:
            self._exchange = exchange
            self.source = link.peer.name
            take = partial(self._take, services)
            if not is_control:
                take = self._add_relayed
            self._follow_exchange(exchange, take, is_control, address)

    def _look_for_nearer(self, address, link):
        """
        Learn of the control hosts before the whole state is asked for.

        :raises _NearerSource: one of them is near, this one is not.
        """
        if link.peer.level < CONTROL_HOSTS_LEVEL:
            return
        identity = self._identity
        request = Watch(identity.name, identity.instance, 0, 0)
        request.hosts_only = True
        changes = unpack_changes(link.request(request, HOSTS_LIMIT_MS))
        self._view.merge([c for c in changes if c.kind == 'control_host'])
        if self.sources.nearest() and not self.sources.is_near(address):
            raise _NearerSource(f'{link.peer.name} is not the nearest source')

    def _check_nearer(self, address):
        """
        Look for a reachable control host in the own data centre.

        :param address: address of the source that is followed.
        :raises _NearerSource: there is one.
        """
        near = self.sources.nearest()
        if near is None or near == address or self.sources.is_near(address):
            return
        if self._pool.peek(near) is not None:
            raise _NearerSource(f'a source nearer than {address} is known')
        if self._probe is None or self._probe.ready():
            self._probe = gevent.spawn(self._open_link, near)

    def _open_link(self, address):
        """Open a link that is used later; a failure is noted."""
        try:
            with gevent.Timeout(OPEN_LIMIT_MS / 1000, _slow_open(address)):
                self._pool.get(address)
        except DamasklandingError:
            self.sources.note_failed(address)

    def _follow_exchange(self, exchange, take, is_control, address):
        now_ms = self._view.now_ms
        started_ms = answered_ms = self._followed_ms = now_ms()
        due_ms = 0.0
        while True:
            now = now_ms()
            if now >= due_ms:
                if is_control:
                    self._check_nearer(address)
                self._beat(self._unknown_services())
                due_ms = now + self._beat_interval_ms()
            if now - answered_ms > REPLY_LIMIT_MS:
                raise LinkTimeout(f'{self.source} answers no heartbeat')
            if not is_control and now - started_ms > self._relay_turn_ms():
                raise LinkClosed('the turn of a relay is over')
            try:
                message = exchange.receive(due_ms - now)
            except LinkTimeout:
                continue
            if type(message) is BeatReply:
                answered_ms = now_ms()
                self._take_reply(message)
                if is_control and self._needs_snapshot:
                    raise _StaleSource(f'{self.source} sent no snapshot')
            else:
                take(message)

    def _beat_interval_ms(self):
        return (
            FIRST_BEAT_MS if self._view.age_ms() == float('inf') else BEAT_MS
        )

    def _waits_for_first_proof(self):
        if self._view.state.revision:
            return False
        return self._view.now_ms() - self._followed_ms < FIRST_PROOF_MS

    def _relay_turn_ms(self):
        if self._unknown_services():
            return INCOMPLETE_RELAY_TURN_MS
        return RELAY_TURN_MS

    def _beat(self, services):
        exchange = self._exchange
        if exchange is None:
            return
        self._seq += 1
        self._sent_ms[self._seq] = self._view.now_ms()
        try:
            exchange.send(
                Beat(
                    self._seq,
                    self._view.state.revision,
                    services,
                    self._take_status(),
                )
            )
        except LinkClosed:
            exchange.deliver(None)

    def _take(self, services, message):
        """
        Take what a control host sent.

        :param services: those that the watch was begun with.
        """
        if type(message) is WatchSnapshot:
            self._take_snapshot(services, message)
        elif type(message) is WatchDelta:
            changes = unpack_changes(message)
            self._view.apply(message.term, message.revision, changes)

    def _take_snapshot(self, services, message):
        state = self._view.state
        if (message.term, message.revision) < state.position():
            if not message.service:
                raise _StaleSource(f'{self.source} is behind')
            return  # the next heartbeat asks again
        changes = unpack_changes(message)
        if message.service:
            self._view.merge(changes)
            services = [message.service]
        else:
            self._view.replace(message.term, message.revision, changes)
            self._needs_snapshot = False
        for service in services:
            known = self._services.get(service)
            if known is not None:
                known.set()

    def _add_relayed(self, message):
        """Take what a relay sent, but remove no backend server."""
        if type(message) not in (WatchDelta, WatchSnapshot):
            return
        self._needs_snapshot = True
        view = self._view
        changes = [
            change
            for change in unpack_changes(message)
            if change.kind != 'backend' or change.resource() is not None
        ]
        position = message.term, message.revision
        if type(message) is WatchDelta:
            view.apply(*position, changes)
        elif message.service:
            if position >= view.state.position():
                view.merge(changes)
        else:
            sent = {c.name for c in changes if c.kind == 'backend'}
            changes += [
                Change.put('backend', backend)
                for name, backend in view.state.all('backend').items()
                if name not in sent
            ]
            view.replace(*position, changes)

    def _take_reply(self, message):
        sent_ms = self._sent_ms.pop(message.seq, None)
        if sent_ms is None:
            return
        proved = message.age_ms < NEVER_CONFIRMED_AGE_MS
        # The sender's view may be behind ours; ours then holds at least
        # what was current at that time.
        if proved and self._view.state.revision >= message.revision:
            self._view.confirm(sent_ms - message.age_ms)
        if (
            message.age_ms > STALE_SOURCE_MS
            and not self._waits_for_first_proof()
        ):
            raise _StaleSource(f'{self.source} has no fresh state')
        self._log.note('configuration', f'follows {self.source}')


def _slow_open(address):
    return LinkTimeout(f'{address} opened no link in time')
