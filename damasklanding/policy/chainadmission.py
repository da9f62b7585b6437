"""
damasklanding.policy.chainadmission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Refuses requests at the entry node whose admission level is below that of a
service which their call chains need.
"""

from damasklanding.errors import Overloaded
from damasklanding.policy.admissionlevel import NO_LEVEL

__all__ = ['Bottleneck', 'ChainAdmission', 'NO_BOTTLENECK', 'narrower']

#: Weight of one answer in the ratio of requests that need a service.
SMOOTHING = 0.1
#: Services that a smaller ratio of the requests needs do not count.
MIN_NEED_RATIO = 0.5
#: A level that no answer has named for this time is halved, and again in each
#: such time.
HALF_LIFE_MS = 500.0
RETRY_AFTER_MS = 1_000

#: The service of a call chain with the highest admission level, and that
#: level.
Bottleneck = tuple[str, int]
#: None of the services was overloaded lately.
NO_BOTTLENECK = ('', NO_LEVEL)


def narrower(one, other):
    """Return the :data:`Bottleneck` of a chain with two parts."""
    return other if other[1] > one[1] else one


class ChainAdmission:
    """
    What an entry node knows of the services at the end of call chains.

    :param now_ms: function that returns the current time in milliseconds.
    """

    def __init__(self, now_ms):
        self._now_ms = now_ms
        self._levels = {}
        self._needs = {}

    def check(self, service, profile, level):
        """
        Refuse a request that a service of its chain has no room for.

        :raises Overloaded: the request is refused and has not been run.
        """
        needs = self._needs.get((service, profile))
        if needs is None:
            return
        for name, ratio in needs.items():
            if ratio >= MIN_NEED_RATIO and level < self._current(name):
                raise Overloaded(
                    f'requests like this one need {name}, which has room for '
                    f'more important ones only',
                    retry_after_ms=RETRY_AFTER_MS,
                )

    def note(self, service, profile, bottleneck):
        """
        Take in what the answer to an admitted request says.

        :param bottleneck: a :data:`Bottleneck`.
        """
        name, level = bottleneck
        needs = self._needs.get((service, profile))
        if needs is None:
            if not name:
                return
            needs = self._needs[service, profile] = {}
        for other in needs:
            if other != name and self._current(other):
                needs[other] -= SMOOTHING * needs[other]
        if name:
            ratio = needs.get(name, 1.0)
            needs[name] = ratio + SMOOTHING * (1.0 - ratio)
            self._levels[name] = (level, self._now_ms())

    def _current(self, name):
        """Return the level of a service, lower the older it is."""
        known = self._levels.get(name)
        if known is None:
            return 0
        level, noted_ms = known
        halvings = int((self._now_ms() - noted_ms) / HALF_LIFE_MS)
        return level >> min(halvings, 16)
