"""
damasklanding.policy.culprits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the requests that crash backend servers from the requests that were
running at each crash.  The result depends only on the set of crashes, not on
the order in which they became known.
"""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from math import log

__all__ = [
    'CRASHES_TO_QUARANTINE',
    'HOLD_MS',
    'MAX_QUARANTINE_MS',
    'QUARANTINE_MS',
    'CrashEvidence',
    'Verdict',
    'find_culprits',
]

CRASHES_TO_QUARANTINE = 3
#: Weight of a crash that says nothing about when a suspect began.
PRESENCE_WEIGHT = 1.0
MIN_SCORE = 6.0
MIN_LEAD = 2.0  # of the score, before any other suspect of the same crashes
ROUNDING = 1e-6
#: How far the running times of a culprit may lie apart.
MAX_SPREAD_MS = 10.0  # for each crash after the second
MAX_SPREAD_RATIO = 4.0
CRASHES_IF_MOST = 4  # of a suspect that was at more than any other
#: From this number of crashes on, a suspect is quarantined although others
#: may be as likely, with a lower score at each further crash.
CRASHES_WITHOUT_LEAD = 6
MIN_SCORE_WITHOUT_LEAD = 4.0
SCORE_PER_FURTHER_CRASH = 6.0
#: The likeliest suspects are refused for this time where none is clear at the
#: third crash, so that the next crash is not beside all of them again.  The
#: time doubles with each further crash.
HOLD_MS = 5_000.0
MAX_HELD = 8
QUARANTINE_MS = 600_000.0
MAX_QUARANTINE_MS = 3_600_000.0
MAX_DOUBLINGS = 16


@dataclass(slots=True)
class CrashEvidence:
    """
    What is known of one crash.

    :ivar at_ms: time of the crash on the local clock.
    :ivar running: running time in milliseconds by fingerprint.
    :ivar cleared: fingerprints of those that were answered afterwards.
    :ivar weights: how strongly the crash speaks against each fingerprint.
    """

    crash_id: str
    at_ms: float
    running: dict[bytes, int]
    cleared: set[bytes]
    weights: dict[bytes, float] = field(init=False)

    def __post_init__(self):
        self.weights = _weights(self.running)

    def suspected(self):
        """Return the fingerprints that this crash makes suspect."""
        return self.running.keys() - self.cleared

    def suspects(self, name):
        """Return whether this crash makes a fingerprint suspect."""
        return name in self.running and name not in self.cleared


@dataclass(frozen=True, slots=True)
class Verdict:
    """
    A quarantine, which may be over.

    :ivar times: how many times the fingerprint was quarantined.
    :ivar until_ms: time of its release on the local clock.
    :ivar cleared: whether it was answered afterwards, which annuls the
        quarantine.
    """

    times: int
    until_ms: float
    cleared: bool = False


@dataclass(frozen=True, slots=True)
class Hold:
    """A refusal for a short time, from the latest crash on."""

    from_ms: float
    duration_ms: float


def _duration_ms(times):
    doublings = min(times - 1, MAX_DOUBLINGS)
    return min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2.0**doublings)


def _quarantined_at(crash_ms, times):
    return Verdict(times, crash_ms + _duration_ms(times))


def _with_relapses(verdict, crashes):
    """
    Return a verdict prolonged by crashes after the release.

    In the first half of a quarantine a crash is put down to requests that
    were in flight at its start.  Half the duration is long enough that the
    differences between the clocks of nodes do not matter.
    """
    for crash in sorted(crashes, key=_at_ms):
        if crash.at_ms > verdict.until_ms - _duration_ms(verdict.times) / 2:
            verdict = _quarantined_at(crash.at_ms, verdict.times + 1)
    return verdict


def _at_ms(crash):
    return crash.at_ms


def _weights(running):
    """
    Return how strongly a crash speaks against each fingerprint.

    A culprit crashes its backend server as it begins to run, so few requests
    began after it.  The weight is the logarithm of the odds that a request
    began earlier.

    :param running: running times by fingerprint.
    """
    starts = sorted(running.values())
    weights = {}
    for name, running_ms in running.items():
        not_earlier = bisect_right(starts, running_ms)
        odds = (len(starts) + 1 - not_earlier) / not_earlier
        weights[name] = PRESENCE_WEIGHT + log(odds)
    return weights


def _is_clear(name, seen, scores):
    """
    Return whether a fingerprint alone explains the crashes it was seen at.

    :param seen: those crashes.
    :param scores: scores over all crashes, by fingerprint.
    """
    score = scores[name]
    running_ms = [crash.running[name] for crash in seen]
    max_spread_ms = MAX_SPREAD_MS * (len(seen) - 2)
    if max(running_ms) > max_spread_ms + MAX_SPREAD_RATIO * min(running_ms):
        return False
    # Where few requests were running, the one that began last cannot reach
    # MIN_SCORE.
    highest = sum(PRESENCE_WEIGHT + log(len(crash.running)) for crash in seen)
    if score < min(MIN_SCORE, highest) - ROUNDING:
        return False
    counts, rivals = _totals(seen)
    del rivals[name]
    for rival, rival_score in rivals.items():
        if score - rival_score < MIN_LEAD:
            return False
        # One that was at these crashes and others may explain them better.
        if counts[rival] == len(seen) and scores[rival] >= score:
            return False
    return True


def _totals(crashes):
    """Return the number of crashes and the score of each suspect."""
    counts = defaultdict(int)
    scores = defaultdict(float)
    for crash in crashes:
        weights = crash.weights
        for name in crash.suspected():
            counts[name] += 1
            scores[name] += weights[name]
    return counts, scores


def _may_lack_lead(count, score):
    further = count - CRASHES_WITHOUT_LEAD
    min_score = MIN_SCORE_WITHOUT_LEAD - further * SCORE_PER_FURTHER_CRASH
    return further >= 0 and score >= min_score


def _most_frequent(candidates, counts):
    """Return the suspect that was at more crashes than any other, or None."""
    ranking = sorted(candidates, key=lambda name: -counts[name])
    if not ranking or counts[ranking[0]] < CRASHES_IF_MOST:
        return None
    if len(ranking) > 1 and counts[ranking[1]] == counts[ranking[0]]:
        return None
    return ranking[0]


def _next_culprit(crashes):
    """Return the fingerprint that explains crashes best, or None."""
    counts, scores = _totals(crashes)
    candidates = [
        name
        for name, count in counts.items()
        if count >= CRASHES_TO_QUARANTINE
    ]
    candidates.sort(key=lambda name: (-scores[name], name))
    for name in candidates:
        seen = [crash for crash in crashes if crash.suspects(name)]
        if _is_clear(name, seen, scores):
            return name
    most = _most_frequent(candidates, counts)
    if most is not None and scores[most] >= MIN_SCORE:
        return most
    return max(
        (n for n in candidates if _may_lack_lead(counts[n], scores[n])),
        key=lambda name: (counts[name], scores[name]),
        default=None,
    )


def find_culprits(crashes, settled):
    """
    Return the verdicts that follow from some crashes.

    The fingerprint that explains crashes best is taken first, and the crashes
    that it explains no longer count against the requests beside it.

    :param crashes: iterable of :class:`CrashEvidence`.
    :param settled: earlier verdicts by fingerprint, whose crashes may be
        forgotten.
    :return: pair of a dict of :class:`Verdict` by fingerprint, with the
        settled ones, and a dict of :class:`Hold` by fingerprint for suspects
        of whom one may be a culprit.
    """
    # All nodes add up the weights in the same order.
    unexplained = sorted(crashes, key=lambda crash: crash.crash_id)
    verdicts = dict(settled)
    explained = set()
    for name, verdict in settled.items():
        if verdict.cleared:
            continue
        seen = [crash for crash in unexplained if crash.suspects(name)]
        verdicts[name] = _with_relapses(verdict, seen)
        explained.update(crash.crash_id for crash in seen)
    unexplained = [
        crash for crash in unexplained if crash.crash_id not in explained
    ]
    while (name := _next_culprit(unexplained)) is not None:
        seen = [crash for crash in unexplained if crash.suspects(name)]
        times = settled[name].times + 1 if name in settled else 1
        verdicts[name] = _quarantined_at(max(map(_at_ms, seen)), times)
        unexplained = [
            crash for crash in unexplained if not crash.suspects(name)
        ]
    return verdicts, _find_held(unexplained)


def _find_held(crashes):
    """Return the holds of suspects of whom one may be a culprit."""
    counts, scores = _totals(crashes)
    candidates = [n for n in counts if counts[n] >= CRASHES_TO_QUARANTINE]
    candidates.sort(key=lambda name: (-scores[name], name))
    held = {}
    for name in candidates[:MAX_HELD]:
        latest_ms = max(one.at_ms for one in crashes if one.suspects(name))
        doublings = counts[name] - CRASHES_TO_QUARANTINE
        duration_ms = HOLD_MS * 2.0 ** min(doublings, MAX_DOUBLINGS)
        held[name] = Hold(latest_ms, min(duration_ms, QUARANTINE_MS))
    return held
