"""
damasklanding.policy.evidence
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Turns reports of crashes into what a node keeps of them, and back.
"""

from hashlib import blake2b

from damasklanding.policy.crashes import Crash
from damasklanding.policy.crashes import Suspect
from damasklanding.policy.culprits import CrashEvidence

__all__ = [
    'MAX_SUSPECTS',
    'content_digest',
    'later_verdict',
    'rank',
    'to_evidence',
    'to_report',
]

MAX_SUSPECTS = 64  # of a crash


def to_evidence(crash, at_ms, is_suspected):
    """
    Return what a report says.

    Of several requests with a fingerprint the one that began first counts.
    Of too many those that are suspected already are kept, and then those
    that began last.
    """
    running = {}
    for suspect in crash.suspects:
        name, running_ms = suspect.fingerprint, suspect.running_ms
        running[name] = max(running_ms, running.get(name, 0))
    if len(running) > MAX_SUSPECTS:
        kept = sorted(
            running,
            key=lambda name: (not is_suspected(name), running[name], name),
        )
        running = {name: running[name] for name in kept[:MAX_SUSPECTS]}
    cleared = running.keys() & set(crash.cleared)
    return CrashEvidence(crash.crash_id, at_ms, running, cleared)


def rank(verdict):
    """Return what decides which of two verdicts is the later one."""
    return (verdict.times, verdict.cleared)


def later_verdict(ours, theirs):
    """Return the later of two verdicts, as all nodes would choose it."""
    if rank(ours) != rank(theirs):
        return max(ours, theirs, key=rank)
    return min(ours, theirs, key=lambda verdict: verdict.until_ms)


def to_report(crash, now_ms):
    """Return the report of a crash for other nodes."""
    return Crash(
        crash.crash_id,
        int(now_ms - crash.at_ms),
        tuple(Suspect(*item) for item in crash.running.items()),
        tuple(sorted(crash.cleared)),
    )


def content_digest(crashes, settled):
    """Return a hash of crashes by id and of verdicts, without their times."""
    digest = blake2b(digest_size=8)
    for crash_id in sorted(crashes):
        crash = crashes[crash_id]
        digest.update(crash_id.encode() + b'\0')
        for names in (crash.running, crash.cleared):
            digest.update(len(names).to_bytes(2, 'big'))
            digest.update(b''.join(sorted(names)))
    digest.update(b'\0')
    for name in sorted(settled):
        verdict = settled[name]
        digest.update(name + verdict.times.to_bytes(4, 'big'))
        digest.update(bytes((verdict.cleared,)))
    return digest.digest()
