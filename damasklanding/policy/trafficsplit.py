"""
damasklanding.policy.trafficsplit
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Weighted traffic splitting: distributes the requests of a route over several
services.
"""

__all__ = ['choose_part']


def choose_part(parts, point):
    """
    Return the part of a route that serves a request.

    :param parts: tuple of
        :class:`~damasklanding.fleet.resources.WeightedService`; if no weight
        is above 0, all parts get an equal number of requests.
    :param point: random number in [0, 1), drawn for each request.
    """
    if len(parts) == 1:
        return parts[0]
    whole = sum(part.weight for part in parts)
    if whole <= 0:
        return parts[int(point * len(parts))]
    reached = 0.0
    for part in parts:
        reached += part.weight / whole
        if point < reached:
            return part
    return max(parts, key=lambda part: part.weight)
