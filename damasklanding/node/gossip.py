"""
damasklanding.node.gossip
~~~~~~~~~~~~~~~~~~~~~~~~~

Spreads what is known about crashes of backend servers among the nodes of one
service.  Each node passes on what is new to it to others at random.  Once a
second each node compares all that it knows with others, which brings back what
was lost on the way, in a partition or with a restart.
"""

from hashlib import blake2b
from random import Random
from typing import Annotated

import gevent
from gevent.event import Event
from gevent.pool import Pool
import msgspec

from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.errors import Draining
from damasklanding.errors import LinkTimeout
from damasklanding.messages import CRASH_NEWS_LEVEL
from damasklanding.messages import CrashNews
from damasklanding.policy.crashes import FINGERPRINT_BYTES
from damasklanding.policy.crashes import Crash
from damasklanding.policy.crashes import Quarantined
from damasklanding.policy.crashes import QuarantineState
from damasklanding.policy.crashes import Suspect

__all__ = ['CrashGossip', 'join_part', 'list_entries', 'split_entries']

FANOUT = 6
COMPARE_COUNT = 2
MAX_EXCHANGES = 32
EXCHANGE_TIMEOUT_MS = 1_000
COMPARE_PERIOD_MS = 1_000
#: News that is on its way makes nodes differ, so they compare once none has
#: come for a while, or else this long after they last did.
QUIET_MS = 300
MAX_UNQUIET_MS = 2_000
#: Without news for this long a node compares with one other only and changes
#: it seldom, since each link that is in use costs heartbeats.
SETTLED_MS = 10_000
PARTNER_MS = 60_000
#: While two nodes that compare do not become equal, as when they have
#: forgotten different crashes for want of room.
MAX_COMPARE_PERIOD_MS = 16_000
#: A node asks two others this often from its start until one has answered.
JOIN_PERIOD_MS = 250
JOIN_COUNT = 2
JOIN_LIMIT_MS = 30_000
CLEARED_DELAY_MS = 500  # collects what is cleared into one message
TELL_PAUSE_MS = 50  # collects what comes soon after earlier news
PART_BYTES = 6 * 1024
MAX_PARTS = 32  # of what one comparison fetches
ENTRY_HASH_BYTES = 8
MAX_CRASH_ID_LENGTH = 512
MAX_TIME_MS = 24 * 3_600_000
MAX_TIMES = 64  # that one request is quarantined


Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]


class CrashEntry(msgspec.Struct, array_like=True, tag='c'):
    """
    A crash as it is sent.

    :ivar suspects: fingerprints one after the other.
    :ivar running_ms: for each suspect.
    :ivar cleared: fingerprints one after the other.
    """

    crash_id: Annotated[str, msgspec.Meta(max_length=MAX_CRASH_ID_LENGTH)]
    age_ms: Milliseconds
    suspects: bytes
    running_ms: list[Milliseconds]
    cleared: bytes


class QuarantinedEntry(msgspec.Struct, array_like=True, tag='q'):
    """A quarantine as it is sent."""

    fingerprint: Annotated[
        bytes,
        msgspec.Meta(
            min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES
        ),
    ]
    times: Annotated[int, msgspec.Meta(ge=1, le=MAX_TIMES)]
    left_ms: Annotated[int, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]
    cleared: bool


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[CrashEntry | QuarantinedEntry]).decode


def list_entries(state):
    """Return the entries of a state by a hash that does not change."""
    entries = [_crash_entry(crash) for crash in state.crashes]
    entries += [
        QuarantinedEntry(one.fingerprint, one.times, one.left_ms, one.cleared)
        for one in state.quarantined
    ]
    return {_hash(entry): entry for entry in entries}


def split_entries(entries):
    """Return encoded parts, each short enough for a message."""
    parts = []
    part, size = [], 0
    for entry in entries:
        length = len(_encode(entry))
        if part and size + length > PART_BYTES:
            parts.append(_encode(part))
            part, size = [], 0
        part.append(entry)
        size += length
    if part:
        parts.append(_encode(part))
    return parts


def join_part(data):
    """
    Return the state in a part.

    :raises BadInput: the part is malformed.
    """
    try:
        entries = _decode(data)
        return QuarantineState(
            tuple(_crash(e) for e in entries if type(e) is CrashEntry),
            tuple(
                Quarantined(e.fingerprint, e.times, e.left_ms, e.cleared)
                for e in entries
                if type(e) is QuarantinedEntry
            ),
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise BadInput(f'crash news is malformed ({error})') from error


def _hash(entry):
    if type(entry) is CrashEntry:
        content = (entry.crash_id, entry.suspects, entry.cleared)
    else:
        content = (entry.fingerprint, entry.times, entry.cleared)
    return blake2b(_encode(content), digest_size=ENTRY_HASH_BYTES).digest()


def _crash_entry(crash):
    suspects = sorted(crash.suspects, key=lambda one: one.fingerprint)
    return CrashEntry(
        crash.crash_id,
        crash.age_ms,
        b''.join(suspect.fingerprint for suspect in suspects),
        [suspect.running_ms for suspect in suspects],
        b''.join(sorted(crash.cleared)),
    )


def _crash(entry):
    names = _split(entry.suspects, FINGERPRINT_BYTES)
    pairs = zip(names, entry.running_ms, strict=True)
    return Crash(
        entry.crash_id,
        entry.age_ms,
        tuple(Suspect(*pair) for pair in pairs),
        _split(entry.cleared, FINGERPRINT_BYTES),
    )


def _split(data, size):
    if len(data) % size:
        raise ValueError('the last item is cut short')
    return tuple(
        data[start : start + size] for start in range(0, len(data), size)
    )


class CrashGossip:
    """
    Exchanges crashes and quarantines with the other nodes of a service.

    :param name: name of this node.
    :param service: function that returns the name of its service, empty if
        it is not known yet.
    :param view: :class:`~damasklanding.node.view.FleetView`.
    :param pool: :class:`~damasklanding.linkpool.LinkPool`.
    :param quarantine: :class:`~damasklanding.policy.quarantine.Quarantine`.
    :param ensure_service: function of a service's name; makes its nodes
        known.
    """

    def __init__(
        self,
        name,
        service,
        view,
        pool,
        quarantine,
        ensure_service,
        random=None,
    ):
        self._name = name
        self._service = service
        self._view = view
        self._pool = pool
        self._quarantine = quarantine
        self._ensure_service = ensure_service
        self._random = random or Random()
        self._now_ms = view.now_ms
        self._ensured = ''
        self._joins_until_ms = None
        self._news = {}
        self._known_digest = None
        self._known_ids = {}
        self._cleared = set()
        self._wake = Event()
        self._exchanges = Pool(MAX_EXCHANGES)
        self._failed = set()
        self._partner = None
        self._partner_until_ms = 0.0
        self._comparing = 0
        self._greenlet = None
        self._compare_at_ms = 0.0
        self._compared_ms = 0.0
        self._news_ms = 0.0
        self._period_ms = COMPARE_PERIOD_MS

    def start(self):
        """Start to exchange."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop exchanging."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._exchanges.kill(block=False)

    def handlers(self):
        """Return the link handlers by message class."""
        return {CrashNews: self.handle}

    def handle(self, _exchange, message):
        """Take news, or return what the sender asks for."""
        service = self._service()
        if message.service != service:
            raise Draining(f'no backend server of {message.service} is here')
        reply = CrashNews(service, b'')
        if message.news:
            self._take(message.news, passes_on=True)
        elif message.fetches:
            known = set(_split_hashes(message.known))
            parts = split_entries(self._unknown_to(known))
            reply.news = parts[0] if parts else b''
        elif message.digest != self._quarantine.digest():
            reply.known = b''.join(self._known())
        reply.digest = self._quarantine.digest()
        return reply

    def tell(self, state):
        """Tell other nodes of news."""
        self._add_news(list_entries(state))
        self._period_ms = COMPARE_PERIOD_MS

    def _add_news(self, entries):
        self._news |= entries
        self._news_ms = self._now_ms()
        self._compare_at_ms = min(
            self._compare_at_ms, self._news_ms + QUIET_MS
        )
        self._wake.set()

    def tell_cleared(self, fingerprint):
        """Tell other nodes soon that a request was answered."""
        if not self._cleared:
            gevent.spawn_later(CLEARED_DELAY_MS / 1000, self._flush_cleared)
        self._cleared.add(fingerprint)

    def _flush_cleared(self):
        names, self._cleared = self._cleared, set()
        state = self._quarantine.state()
        crashes = [
            Crash(
                crash.crash_id,
                crash.age_ms,
                (),
                tuple(name for name in crash.cleared if name in names),
            )
            for crash in state.crashes
            if not names.isdisjoint(crash.cleared)
        ]
        quarantined = [
            entry for entry in state.quarantined if entry.fingerprint in names
        ]
        self.tell(QuarantineState(tuple(crashes), tuple(quarantined)))

    def _run(self):
        while True:
            left_ms = self._compare_at_ms - self._now_ms()
            self._wake.wait(max(left_ms, 0) / 1000)
            service = self._service()
            if service and service != self._ensured:
                self._ensured = service
                self._joins_until_ms = self._now_ms() + JOIN_LIMIT_MS
                self._ensure_service(service)
            if self._now_ms() >= self._compare_at_ms:
                self._compare_now_and_then()
            if self._wake.is_set():
                self._wake.clear()
                self._tell_some()
                gevent.sleep(TELL_PAUSE_MS / 1000)

    def _tell_some(self):
        news, self._news = self._news, {}
        parts = split_entries(news.values())
        for address in self._choose(FANOUT):
            self._spawn(self._send, address, parts)

    def _compare_now_and_then(self):
        now_ms = self._now_ms()
        joins = (
            self._joins_until_ms is not None and now_ms < self._joins_until_ms
        )
        if joins or not self._ensured:
            period_ms, count = JOIN_PERIOD_MS, JOIN_COUNT
        elif (
            now_ms - self._news_ms < QUIET_MS
            and now_ms - self._compared_ms < MAX_UNQUIET_MS
        ):
            period_ms, count = QUIET_MS, 0
        else:
            period_ms, count = self._period_ms, COMPARE_COUNT
            self._compared_ms = now_ms
        # A comparison that is under way may take longer than a period.
        if not self._comparing and (joins or not self._quarantine.is_empty()):
            settled = now_ms - self._news_ms >= SETTLED_MS and not joins
            for address in (
                self._choose_partner() if settled else self._choose(count)
            ):
                self._spawn(self._compare, address)
        self._compare_at_ms = (
            now_ms + self._random.uniform(0.8, 1.2) * period_ms
        )

    def _choose(self, count):
        """
        Return addresses of other nodes.

        One of those that did not answer is added, as it may be back.
        """
        if not count:
            return []
        return self._sample(self._answering(), count) + self._sample(
            self._failed, 1
        )

    def _choose_partner(self):
        """Return as :meth:`_choose` does, but one node for a longer time."""
        answering = self._answering()
        now_ms = self._now_ms()
        if self._partner not in answering or now_ms >= self._partner_until_ms:
            (self._partner,) = self._sample(answering, 1) or [None]
            self._partner_until_ms = now_ms + PARTNER_MS
        chosen = [] if self._partner is None else [self._partner]
        return chosen + self._sample(self._failed, 1)

    def _answering(self):
        """Return the addresses of nodes that answered last, or may do so."""
        addresses = {
            backend.peer_address
            for backend in self._view.backends(self._ensured)
            if backend.name != self._name
        }
        self._failed &= addresses
        return addresses - self._failed

    def _sample(self, addresses, count):
        count = min(count, len(addresses))
        return self._random.sample(sorted(addresses), count)

    def _spawn(self, function, address, *arguments):
        # What is left out here is made good when nodes compare.
        if self._exchanges.free_count():
            self._exchanges.spawn(self._limited, function, address, *arguments)

    def _limited(self, function, address, *arguments):
        lost = LinkTimeout(f'{address} did not answer in time')
        try:
            with gevent.Timeout(EXCHANGE_TIMEOUT_MS / 1000, lost):
                link = self._pool.get(address)
                if link.peer.level >= CRASH_NEWS_LEVEL:
                    function(link, *arguments)
        except DamasklandingError:
            # The node may have stopped, or serve another service by now.
            self._failed.add(address)
        else:
            self._failed.discard(address)

    def _send(self, link, parts):
        for news in parts:
            self._request(link, news=news)

    def _compare(self, link):
        """Make this node and another one know the same."""
        self._comparing += 1
        try:
            reply = self._request(link)
            if reply.digest == self._quarantine.digest():
                learned, equal = False, True
            else:
                learned = self._fetch(link)
                known = set(_split_hashes(reply.known))
                equal = self._complete(link, known)
        finally:
            self._comparing -= 1
        self._joins_until_ms = None
        if equal or learned:
            self._period_ms = COMPARE_PERIOD_MS
        else:
            self._period_ms = min(MAX_COMPARE_PERIOD_MS, 2 * self._period_ms)

    def _fetch(self, link):
        """Fetch what another node knows more; return whether it was any."""
        learned = False
        for _ in range(MAX_PARTS):
            known = b''.join(self._known())
            reply = self._request(link, fetches=True, known=known)
            # A node that joins fetches what the others know.
            passes_on = self._joins_until_ms is None
            if not reply.news or not self._take(reply.news, passes_on):
                break
            learned = True
        return learned

    def _complete(self, link, known):
        """Send a node what it lacks; return whether it knows all then."""
        digest = None
        for news in split_entries(self._unknown_to(known)):
            digest = self._request(link, news=news).digest
        return digest in (None, self._quarantine.digest())

    def _request(self, link, **fields):
        message = CrashNews(self._ensured, self._quarantine.digest(), **fields)
        reply = link.request(message, EXCHANGE_TIMEOUT_MS)
        if type(reply) is not CrashNews:
            raise BadInput('a peer sent something else than crash news')
        return reply

    def _take(self, news, passes_on):
        """Take over news; return whether any was new."""
        known = self._known()
        crash_ids = set(known.values())
        state = _without_bare_clearances(join_part(news), crash_ids)
        entries = list_entries(state)
        new = {name: entries[name] for name in entries.keys() - known.keys()}
        if not new or not self._quarantine.merge(state):
            return False
        if passes_on:
            self._add_news(new)
        return True

    def _entries(self):
        return list_entries(self._quarantine.state())

    def _known(self):
        """Return the ids of crashes, None for quarantines, by hash."""
        digest = self._quarantine.digest()
        if digest != self._known_digest:
            self._known_digest = digest
            self._known_ids = {
                name: getattr(entry, 'crash_id', None)
                for name, entry in self._entries().items()
            }
        return self._known_ids

    def _unknown_to(self, known):
        return [
            entry
            for name, entry in self._entries().items()
            if name not in known
        ]


def _without_bare_clearances(state, crash_ids):
    """
    Return a state without what was cleared at crashes that are not known.

    It comes again with the crash.

    :param crash_ids: ids of the known crashes.
    """
    crashes = tuple(
        crash
        for crash in state.crashes
        if crash.suspects or crash.crash_id in crash_ids
    )
    return QuarantineState(crashes, state.quarantined)


def _split_hashes(data):
    try:
        return _split(data, ENTRY_HASH_BYTES)
    except ValueError as error:
        raise BadInput('a list of hashes is cut short') from error
