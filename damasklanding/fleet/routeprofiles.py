"""
damasklanding.fleet.routeprofiles
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Derives profiles for routes that do not name one, from their importance,
idempotency, timeout, target latency and attempts.
"""

import hashlib

import msgspec

from damasklanding.fleet.resources import Profile

__all__ = ['MAX_IMPORTANCE', 'importance_of_rank', 'route_profile']

MAX_IMPORTANCE = 3
MAX_RETRIES = 3
#: Share of the target latency, or of the timeout if that is shorter, that a
#: request may wait for a slot.  The rest is left for its own work and calls.
MAX_WAIT_RATIO = 0.5


def importance_of_rank(rank):
    """Return the importance for a priority rank, where 0 is the highest."""
    return max(0, MAX_IMPORTANCE - max(0, rank))


def route_profile(
    *, importance, idempotent, timeout_ms, target_latency_ms, attempts, keyless
):
    """
    Return the profile of a route, named by its content.

    :param target_latency_ms: latency that answers should not exceed.
    :param attempts: highest number of backend servers that one request is
        sent to.
    :param keyless: whether only services call the route.  A refused call
        wastes the work already done for the request that made it, so such
        calls may wait for a slot for the whole timeout.
    """
    wait_ms = timeout_ms
    if not keyless:
        wait_ms = MAX_WAIT_RATIO * min(target_latency_ms, timeout_ms)
    profile = Profile(
        name='derived',
        importance=importance,
        idempotent=idempotent,
        longest_wait_ms=round(wait_ms),
        timeout_ms=timeout_ms,
        retries=min(MAX_RETRIES, max(0, attempts - 1)),
        objective_latency_ms=max(1, target_latency_ms),
        # Serving the newest calls first under lasting overload lets some
        # waiting calls finish in time for the request that made them.
        discipline='adaptive' if keyless else 'fifo',
    )
    digest = hashlib.sha256(msgspec.json.encode(profile)).hexdigest()
    return msgspec.structs.replace(profile, name=f'p-{digest[:16]}')
