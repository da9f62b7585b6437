"""
damasklanding.policy.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Quarantine of requests that crash the backend servers of a service.  Each node
keeps the crashes that it knows of and the requests that were running, and the
nodes of a service exchange them.  A request that was running at several
crashes and was never answered is refused for some time.
"""

from math import ceil

from damasklanding.policy.crashes import Crash
from damasklanding.policy.crashes import Quarantined
from damasklanding.policy.crashes import QuarantineState
from damasklanding.policy.crashes import Suspect
from damasklanding.policy.crashes import fingerprint
from damasklanding.policy.culprits import Verdict
from damasklanding.policy.culprits import find_culprits
from damasklanding.policy.evidence import MAX_SUSPECTS
from damasklanding.policy.evidence import content_digest
from damasklanding.policy.evidence import later_verdict
from damasklanding.policy.evidence import rank
from damasklanding.policy.evidence import to_evidence
from damasklanding.policy.evidence import to_report

__all__ = [
    'MAX_CRASHES',
    'MAX_QUARANTINED',
    'MAX_SUSPECTS',
    'Crash',
    'Quarantine',
    'QuarantineState',
    'Quarantined',
    'Suspect',
    'fingerprint',
]

MAX_CRASHES = 64
MAX_QUARANTINED = 128
CRASH_AGE_MS = 600_000.0
REMEMBERED_MS = 3_600_000.0  # after the release
#: What a node is about to forget is not taken over from another, or two nodes
#: could pass it back and forth forever.
FORGOTTEN_MARGIN_MS = 10_000.0
SURPLUS_MARGIN_MS = 100.0  # the same, of what is forgotten for want of room
NEVER_MS = float('inf')


class Quarantine:
    """
    Quarantined requests of one service, as known to one node.

    :param now_ms: function that returns the current time in milliseconds.
    :param on_quarantined: function called for each new quarantine with the
        fingerprint, the ids of the crashes that it was seen at and the
        duration in milliseconds.
    :param hold_spread: how much longer than others this node holds suspects,
        relative to the time; nodes that differ in it do not let a culprit
        run at the same moment.
    """

    def __init__(
        self,
        now_ms,
        on_quarantined=lambda name, crashes, ms: None,
        hold_spread=0.0,
    ):
        self._now_ms = now_ms
        self._on_quarantined = on_quarantined
        self._hold_spread = hold_spread
        self._crashes = {}
        self._settled = {}
        self._verdicts = {}
        self._held = {}
        self._crashes_of = {}  # by fingerprint of a suspect
        self._digest = None
        self._expiry_ms = NEVER_MS

    def is_empty(self):
        """Return whether nothing is suspected, quarantined or remembered."""
        if not self._crashes and not self._settled:
            return True
        self._expire()
        return not self._crashes and not self._settled

    def suspects(self, name):
        """Return whether an answer to this fingerprint would be news."""
        verdict = self._verdicts.get(name)
        return name in self._crashes_of or (
            verdict is not None and not verdict.cleared
        )

    def left_ms(self, name):
        """Return for how long a fingerprint is refused, or 0."""
        until_ms = self._held_until_ms(name)
        verdict = self._verdicts.get(name)
        if verdict is not None and not verdict.cleared:
            until_ms = max(until_ms, verdict.until_ms)
        return max(0.0, until_ms - self._now_ms())

    def quarantined(self):
        """Return the fingerprints that are in quarantine now."""
        return {
            name
            for name in self._verdicts
            if name not in self._held and self.left_ms(name) > 0.0
        }

    def held(self):
        """Return the fingerprints that are held until more is known."""
        return {name for name in self._held if self.left_ms(name) > 0.0}

    def on_probation(self, name):
        """Return whether a fingerprint was held and may run once more."""
        return name in self._held and self.left_ms(name) == 0.0

    def record(self, crash):
        """
        Add a crash.

        :return: whether it was new.
        """
        return self.merge(QuarantineState(crashes=(crash,)))

    def report(self, crash_id):
        """
        Return a recorded crash for other nodes, or None.

        Unlike what was recorded, it has no more suspects than are kept, so
        that all nodes keep the same ones.
        """
        known = self._crashes.get(crash_id)
        return known and to_report(known, self._now_ms())

    def clear(self, name):
        """
        Note that a backend server has answered a request.

        A refusal by the backend server does not count, as the request was
        not run.

        :return: whether the fingerprint was suspected, so that other nodes
            should be told.
        """
        if not self.suspects(name):
            return False
        self._digest = None
        for crash in self._crashes_of.pop(name, ()):
            crash.cleared.add(name)
        verdict = self._verdicts.get(name)
        if verdict is not None:
            self._settled[name] = Verdict(
                verdict.times, verdict.until_ms, cleared=True
            )
        if verdict is not None or self._held:
            self._decide()
        return True

    def state(self):
        """Return the :class:`QuarantineState` for other nodes."""
        self._expire()
        now_ms = self._now_ms()
        return QuarantineState(
            tuple(
                to_report(crash, now_ms) for crash in self._crashes.values()
            ),
            tuple(
                Quarantined(
                    name,
                    verdict.times,
                    ceil(verdict.until_ms - now_ms),
                    verdict.cleared,
                )
                for name, verdict in self._settled.items()
            ),
        )

    def merge(self, state):
        """
        Take over what another node knows.

        :return: whether anything was new.
        """
        self._expire()
        now_ms = self._now_ms()
        new = [
            self._add_quarantined(entry, now_ms) for entry in state.quarantined
        ]
        new += [self._add_crash(crash, now_ms) for crash in state.crashes]
        if not any(new):
            return False
        by_age = sorted(self._crashes.values(), key=lambda crash: crash.at_ms)
        self._forget(by_age[: max(0, len(by_age) - MAX_CRASHES)])
        self._decide()
        return True

    def digest(self):
        """Return a hash of the content that does not change with time."""
        self._expire()
        if self._digest is None:
            self._digest = content_digest(self._crashes, self._settled)
        return self._digest

    def _add_crash(self, crash, now_ms):
        if crash.age_ms > CRASH_AGE_MS - FORGOTTEN_MARGIN_MS:
            return False
        at_ms = now_ms - crash.age_ms
        known = self._crashes.get(crash.crash_id)
        if known is None:
            if self._is_surplus(at_ms):
                return False
            known = to_evidence(crash, at_ms, self.suspects)
            self._crashes[crash.crash_id] = known
            return True
        # The time that a message takes makes a crash look younger.
        known.at_ms = min(known.at_ms, at_ms)
        cleared = known.running.keys() & set(crash.cleared)
        new = not cleared <= known.cleared
        known.cleared |= cleared
        return new

    def _is_surplus(self, at_ms):
        if len(self._crashes) < MAX_CRASHES:
            return False
        oldest_ms = min(crash.at_ms for crash in self._crashes.values())
        return at_ms < oldest_ms + SURPLUS_MARGIN_MS

    def _add_quarantined(self, entry, now_ms):
        name = entry.fingerprint
        until_ms = now_ms + entry.left_ms
        theirs = Verdict(entry.times, until_ms, entry.cleared)
        ours = self._settled.get(name)
        if ours is not None:
            self._settled[name] = later_verdict(ours, theirs)
            return rank(ours) < rank(theirs)
        if until_ms + REMEMBERED_MS < now_ms + FORGOTTEN_MARGIN_MS:
            return False
        if len(self._settled) >= MAX_QUARANTINED:
            first_ms = min(one.until_ms for one in self._settled.values())
            if until_ms < first_ms + SURPLUS_MARGIN_MS:
                return False
        self._settled[name] = theirs
        return True

    def _held_until_ms(self, name):
        hold = self._held.get(name)
        if hold is None:
            return 0.0
        return hold.from_ms + (1.0 + self._hold_spread) * hold.duration_ms

    def _decide(self):
        """Derive the verdicts anew and report the new ones."""
        self._digest = None
        before = self._verdicts
        self._verdicts, self._held = find_culprits(
            self._crashes.values(), self._settled
        )
        self._crashes_of = {}
        for crash in self._crashes.values():
            for name in crash.suspected():
                self._crashes_of.setdefault(name, []).append(crash)
        self._set_expiry()
        for name, verdict in self._verdicts.items():
            known = before.get(name)
            if known is None or known.times < verdict.times:
                self._report(name)

    def _report(self, name):
        duration_ms = self.left_ms(name)
        if duration_ms > 0.0:
            crashes = self._crashes_of.get(name, ())
            ids = tuple(crash.crash_id for crash in crashes)
            self._on_quarantined(name, ids, duration_ms)

    def _set_expiry(self):
        crashes_ms = (crash.at_ms for crash in self._crashes.values())
        releases_ms = (one.until_ms for one in self._settled.values())
        self._expiry_ms = min(
            min(crashes_ms, default=NEVER_MS) + CRASH_AGE_MS,
            min(releases_ms, default=NEVER_MS) + REMEMBERED_MS,
        )

    def _expire(self):
        now_ms = self._now_ms()
        if now_ms < self._expiry_ms:
            return
        self._settled = {
            name: verdict
            for name, verdict in self._settled.items()
            if now_ms < verdict.until_ms + REMEMBERED_MS
        }
        crashes = self._crashes.values()
        self._forget(
            [one for one in crashes if now_ms >= one.at_ms + CRASH_AGE_MS]
        )
        self._decide()

    def _forget(self, crashes):
        """Forget crashes, but not the quarantines that follow from them."""
        for crash in crashes:
            for name in filter(crash.suspects, self._verdicts):
                self._settled[name] = self._verdicts[name]
            del self._crashes[crash.crash_id]
        by_release = sorted(
            self._settled, key=lambda name: self._settled[name].until_ms
        )
        for name in by_release[: max(0, len(by_release) - MAX_QUARANTINED)]:
            del self._settled[name]
