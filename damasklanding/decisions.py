"""
damasklanding.decisions
~~~~~~~~~~~~~~~~~~~~~~~

One structured line for each decision that ends a request other than well,
with its id, what decided it and the outcome.  The lines a second are capped
for each reason; what is left out is counted in a summary line.
"""

from collections import Counter

import msgspec

__all__ = ['Decision', 'DecisionLog']

#: For each reason: enough to follow some requests of a kind through an
#: overload, and less than 1% of a host's processor time.
LINES_PER_S = 20
WINDOW_MS = 1_000


class Decision(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """
    What became of a request at this process, and by what.

    :ivar event: ``answered`` at the node that took the request in,
        ``refused`` or ``failed`` at the one beside the backend server.
    :ivar request_id: the caller's id of this attempt.
    :ivar reason: code of the error, or ``failed`` for a backend server's
        own failure.
    :ivar outcome: ``ran``, ``not-run`` or ``unknown``.
    :ivar attempts: backend servers that it was sent to.
    :ivar took_ms: time since it came.
    :ivar left_ms: time that was left for it.
    :ivar config_version: of the whole configuration that applied.
    :ivar view_age_ms: age of the proof that the configuration is current.
    :ivar running: calls in progress at the backend server.
    :ivar queued: calls that waited there.
    :ivar limit: concurrency limit of the backend server.
    :ivar cold: whether it was treated as cold.
    """

    event: str
    request_id: str
    reason: str
    outcome: str
    service: str = ''
    organisation: str = ''
    importance: int = 0
    status: int = 0
    attempts: int = 0
    took_ms: int = 0
    left_ms: int = 0
    config_version: int = 0
    view_age_ms: int = 0
    running: int = 0
    queued: int = 0
    limit: int = 0
    cold: bool = False
    detail: str = ''


class LeftOut(msgspec.Struct, frozen=True, kw_only=True):
    """Decisions of the last second that got no line, by event and reason."""

    event: str = 'left-out'
    counts: dict[str, int]


class DecisionLog:
    """
    Writes decisions within a cap.

    :param write: function of one line that never blocks.
    :param name: name of this process in the fleet.
    :param now_ms: clock.
    """

    def __init__(self, write, name, now_ms):
        self._write = write
        self._name = name
        self._now_ms = now_ms
        self._since_ms = now_ms()
        self._written = Counter()
        self._left_out = Counter()

    def note(self, event, reason, describe):
        """
        Write a decision, or count it where its like have filled the cap.

        :param describe: function that returns the :class:`Decision`; called
            only where it is written, since to put it together costs more.
        """
        self._turn()
        kind = f'{event} {reason}'
        if self._written[kind] >= LINES_PER_S:
            self._left_out[kind] += 1
            return
        self._written[kind] += 1
        self._emit(describe())

    def _turn(self):
        now_ms = self._now_ms()
        if now_ms - self._since_ms < WINDOW_MS:
            return
        self._since_ms = now_ms
        self._written.clear()
        if self._left_out:
            self._emit(LeftOut(counts=dict(self._left_out)))
            self._left_out.clear()

    def _emit(self, record):
        line = {'at_ms': int(self._now_ms()), 'process': self._name}
        line.update(msgspec.to_builtins(record))
        self._write(msgspec.json.encode(line).decode())
