"""
damasklanding.fleet.routeprofiles
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Profiles of routes that name none: what their kind, rank, times and attempts
ask for.
"""

import hashlib

import msgspec

from damasklanding.fleet.resources import Profile

__all__ = ['MAX_IMPORTANCE', 'importance_of_rank', 'route_profile']

MAX_IMPORTANCE = 3
MAX_RETRIES = 3
#: Of the aim, or of a shorter timeout, that a request may wait for a slot:
#: the rest is for its work and its calls.
WAIT_SHARE = 0.5


def importance_of_rank(rank):
    """Return the importance of a rank, where 0 is the highest."""
    return max(0, MAX_IMPORTANCE - max(0, rank))


def route_profile(
    *, importance, idempotent, timeout_ms, aim_ms, attempts, keyless
):
    """
    Return the profile of a route, named by its content.

    :param aim_ms: time within which an answer is worth most.
    :param attempts: most backend servers that one request is sent to.
    :param keyless: whether only services call it.  A refused call costs the
        request that made it, and all that was done for it, so it waits as
        long as it can.
    """
    wait_ms = timeout_ms
    if not keyless:
        wait_ms = WAIT_SHARE * min(aim_ms, timeout_ms)
    profile = Profile(
        name='derived',
        importance=importance,
        idempotent=idempotent,
        longest_wait_ms=round(wait_ms),
        timeout_ms=timeout_ms,
        retries=min(MAX_RETRIES, max(0, attempts - 1)),
        objective_latency_ms=max(1, aim_ms),
        # Newest first while overload stands: of the calls that wait, some
        # then end in time for the request that made them.
        discipline='adaptive' if keyless else 'fifo',
    )
    digest = hashlib.sha256(msgspec.json.encode(profile)).hexdigest()
    return msgspec.structs.replace(profile, name=f'p-{digest[:16]}')
