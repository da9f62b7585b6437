"""
damasklanding.policy.throttle
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Shedding across the call chain.  A gate tells which importance it refuses
now; an entry node refuses a share of the requests whose chains have lately
been refused further down, so that no work is done for them.
"""

from dataclasses import dataclass
from math import exp

from damasklanding.errors import Overloaded

__all__ = [
    'CHAIN_THROTTLE_SETTINGS',
    'DEFAULT_THROTTLE_SETTINGS',
    'ThrottleSettings',
    'AdaptiveThrottle',
    'RefusalLevels',
]

MEMORY_MS = 500.0  # time constant after which what was seen fades
FADE_STEP_MS = 2.0  # shorter times are taken together
LEAST_REFUSED = 3.0
SHED_SHARE = 0.5  # of a class refused, from which it counts as shed
LEVELS = 4

HEADROOM = 3.0

LEAST_REQUESTS = 5.0
MOST_REFUSED_SHARE = 0.95  # what is left probes for the end of the overload
RETRY_AFTER_MS = 500


@dataclass(frozen=True, slots=True)
class ThrottleSettings:
    """
    How much of what fails is let through.

    :ivar headroom: requests for each answer, which probe for the end of an
        overload.
    :ivar least_requests: without an answer, before any is refused.
    :ivar memory_ms: time constant after which what was seen fades.
    """

    headroom: float
    least_requests: float
    memory_ms: float


DEFAULT_THROTTLE_SETTINGS = ThrottleSettings(
    HEADROOM, LEAST_REQUESTS, MEMORY_MS
)
#: For chains: a request that fails has cost several calls, so little more
#: is let through than is answered.  One node of many sees few requests of a
#: kind and remembers them for longer.
CHAIN_THROTTLE_SETTINGS = ThrottleSettings(1.3, 2.0, 1_500.0)


class _Faded:
    """Two counts that fade with time."""

    __slots__ = ('_at_ms', '_memory_ms', 'bad', 'good')

    def __init__(self, now_ms, memory_ms=MEMORY_MS):
        self.good = 0.0
        self.bad = 0.0
        self._at_ms = now_ms
        self._memory_ms = memory_ms

    def fade(self, now_ms):
        passed_ms = now_ms - self._at_ms
        if passed_ms < FADE_STEP_MS:
            return
        factor = exp(-passed_ms / self._memory_ms)
        self.good *= factor
        self.bad *= factor
        self._at_ms = now_ms


class RefusalLevels:
    """
    Which importance a gate refuses now.

    :param now_ms: clock.
    """

    def __init__(self, now_ms):
        self._now_ms = now_ms
        self._levels = [_Faded(now_ms()) for _ in range(LEVELS)]

    def note(self, importance, admitted):
        """Count a call that was admitted or refused for lack of slots."""
        level = self._levels[max(0, min(LEVELS - 1, importance))]
        level.fade(self._now_ms())
        if admitted:
            level.good += 1.0
        else:
            level.bad += 1.0

    def shed_below(self):
        """Return the importance below which most calls are refused."""
        now_ms = self._now_ms()
        shed_below = 0
        for importance, level in enumerate(self._levels):
            level.fade(now_ms)
            whole = level.good + level.bad
            if level.bad > LEAST_REFUSED and level.bad > SHED_SHARE * whole:
                shed_below = importance + 1
        return shed_below


class AdaptiveThrottle:
    """
    Refuses requests at the entry while their chains fail further down.

    Each route and importance has its own account, so that important chains
    pass while others of the same route are refused.  The refused share
    follows from what was answered lately: about ``HEADROOM`` requests are
    let through for each answer, which probes for the end of the overload.

    :param now_ms: clock.
    :param random: function that returns a float in [0, 1).
    :param settings: :class:`ThrottleSettings`.
    """

    def __init__(self, now_ms, random, settings=DEFAULT_THROTTLE_SETTINGS):
        self._now_ms = now_ms
        self._random = random
        self._settings = settings
        self._routes = {}

    def check(self, service, profile, importance):
        """
        Refuse a request that arrives where its like fail.

        One that is let through counts once it has ended: counted before, a
        sudden demand would look like one that gets no answers.

        :raises Overloaded: not run.
        """
        route = self._route(service, profile, importance)
        if self._random() < _refused_share(route, self._settings):
            route.bad += 1.0
            raise Overloaded(
                f'requests like this one to {service} are shed further down',
                retry_after_ms=RETRY_AFTER_MS,
            )

    def note(self, service, profile, importance, overloaded):
        """
        Learn what became of a request that was let through.

        :param overloaded: whether its chain was refused for lack of slots.
        """
        route = self._route(service, profile, importance)
        route.bad += 1.0
        if not overloaded:
            route.good += 1.0

    def refused_share(self, service, profile, importance):
        """Return the share of such requests that is refused now."""
        route = self._route(service, profile, importance)
        return _refused_share(route, self._settings)

    def _route(self, service, profile, importance):
        now_ms = self._now_ms()
        key = (service, profile, importance)
        route = self._routes.get(key)
        if route is None:
            memory_ms = self._settings.memory_ms
            route = self._routes[key] = _Faded(now_ms, memory_ms)
        route.fade(now_ms)
        return route


def _refused_share(route, settings):
    """Return the share by requests (bad) and answers (good)."""
    least = settings.least_requests
    if route.bad < least:
        return 0.0
    excess = route.bad - settings.headroom * route.good - least
    return min(MOST_REFUSED_SHARE, max(0.0, excess / (route.bad + 1.0)))
