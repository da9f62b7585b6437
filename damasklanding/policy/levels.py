"""
damasklanding.policy.levels
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The level of a request: its importance first, that of its route second, and a
number drawn from its id third.  All calls of its chain have the same level, so
that what is shed at one service is shed at all of them.
"""

from zlib import crc32

__all__ = [
    'LEVELS',
    'RANKS',
    'UNKNOWN_LEVEL',
    'importance_of_rank',
    'level_of',
    'lowest_rank_of',
    'rank_of',
]

IMPORTANCES = 4
RANKS = IMPORTANCES * IMPORTANCES
LEVELS_PER_RANK = 128
LEVELS = RANKS * LEVELS_PER_RANK
#: Of a call from a node that names no level.
UNKNOWN_LEVEL = -1
#: Ratio of the requests that have the highest rank whatever their importance,
#: so that no kind of request is shed altogether.
RESERVED_RATIO = 0.125


def level_of(request_id, importance, route_importance, highest_importance):
    """
    Return the level of a request, at least 0 and below ``LEVELS``.

    :param importance: of the organisation where it has one, else of the
        route.
    :param route_importance: decides between requests of equal importance.
    :param highest_importance: of all organisations.
    """
    draw = (crc32(request_id.encode()) & 0xFFFF) / 0x10000
    if draw < RESERVED_RATIO:
        draw /= RESERVED_RATIO
        importance = highest_importance
        route_importance = IMPORTANCES - 1
    else:
        draw = (draw - RESERVED_RATIO) / (1.0 - RESERVED_RATIO)
    rank = importance * IMPORTANCES + route_importance
    return int((rank + draw) * LEVELS_PER_RANK)


def rank_of(level, importance):
    """
    Return the rank of a level, the part of it that importance decides.

    :param importance: stands for an unknown level.
    """
    if level == UNKNOWN_LEVEL:
        return importance * IMPORTANCES + IMPORTANCES - 1
    return level // LEVELS_PER_RANK


def lowest_rank_of(importance):
    """Return the lowest rank that belongs to an importance."""
    return importance * IMPORTANCES


def importance_of_rank(rank):
    """Return the importance that a rank belongs to."""
    return rank // IMPORTANCES
