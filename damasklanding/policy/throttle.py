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

DECAY_MS = 500.0  # time constant after which what was seen fades
MIN_DECAY_STEP_MS = 2.0  # shorter times are taken together
MIN_REFUSED_CALLS = 3.0
SHED_REFUSED_RATIO = 0.5  # of a class refused, from which it counts as shed
IMPORTANCE_LEVELS = 4

REQUESTS_PER_ANSWER = 3.0

MIN_REQUESTS = 5.0
MAX_REFUSED_RATIO = 0.95  # what is left probes for the end of the overload
RETRY_AFTER_MS = 500


@dataclass(frozen=True, slots=True)
class ThrottleSettings:
    """
    How much of what fails is let through.

    :ivar requests_per_answer: requests for each answer, which probe for the end of an
        overload.
    :ivar min_requests: without an answer, before any is refused.
    :ivar decay_ms: time constant after which what was seen fades.
    """

    requests_per_answer: float
    min_requests: float
    decay_ms: float


DEFAULT_THROTTLE_SETTINGS = ThrottleSettings(
    REQUESTS_PER_ANSWER, MIN_REQUESTS, DECAY_MS
)
#: For chains: a request that fails has cost several calls, so little more
#: is let through than is answered.  One node of many sees few requests of a
#: kind and remembers them for longer.
CHAIN_THROTTLE_SETTINGS = ThrottleSettings(1.3, 2.0, 1_500.0)


class _DecayingCounts:
    """Two counts that fade with time."""

    __slots__ = ('_decayed_ms', '_decay_ms', 'events', 'accepts')

    def __init__(self, now_ms, decay_ms=DECAY_MS):
        self.accepts = 0.0
        self.events = 0.0
        self._decayed_ms = now_ms
        self._decay_ms = decay_ms

    def decay(self, now_ms):
        passed_ms = now_ms - self._decayed_ms
        if passed_ms < MIN_DECAY_STEP_MS:
            return
        factor = exp(-passed_ms / self._decay_ms)
        self.accepts *= factor
        self.events *= factor
        self._decayed_ms = now_ms


class RefusalLevels:
    """
    Which importance a gate refuses now.

    :param now_ms: clock.
    """

    def __init__(self, now_ms):
        self._now_ms = now_ms
        self._levels = [
            _DecayingCounts(now_ms()) for _ in range(IMPORTANCE_LEVELS)
        ]

    def note(self, importance, admitted):
        """Count a call that was admitted or refused for lack of slots."""
        level = self._levels[max(0, min(IMPORTANCE_LEVELS - 1, importance))]
        level.decay(self._now_ms())
        if admitted:
            level.accepts += 1.0
        else:
            level.events += 1.0

    def shed_below(self):
        """Return the importance below which most calls are refused."""
        now_ms = self._now_ms()
        shed_below = 0
        for importance, level in enumerate(self._levels):
            level.decay(now_ms)
            whole = level.accepts + level.events
            if (
                level.events > MIN_REFUSED_CALLS
                and level.events > SHED_REFUSED_RATIO * whole
            ):
                shed_below = importance + 1
        return shed_below


class AdaptiveThrottle:
    """
    Refuses requests at the entry while their chains fail further down.

    Each route and importance has its own account, so that important chains
    pass while others of the same route are refused.  The refused share
    follows from what was answered lately: about ``REQUESTS_PER_ANSWER`` requests are
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
        if self._random() < _refused_ratio(route, self._settings):
            route.events += 1.0
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
        route.events += 1.0
        if not overloaded:
            route.accepts += 1.0

    def refused_ratio(self, service, profile, importance):
        """Return the share of such requests that is refused now."""
        route = self._route(service, profile, importance)
        return _refused_ratio(route, self._settings)

    def _route(self, service, profile, importance):
        now_ms = self._now_ms()
        key = (service, profile, importance)
        route = self._routes.get(key)
        if route is None:
            decay_ms = self._settings.decay_ms
            route = self._routes[key] = _DecayingCounts(now_ms, decay_ms)
        route.decay(now_ms)
        return route


def _refused_ratio(route, settings):
    """Return the share by requests (bad) and answers (good)."""
    least = settings.min_requests
    if route.events < least:
        return 0.0
    excess = (
        route.events - settings.requests_per_answer * route.accepts - least
    )
    return min(MAX_REFUSED_RATIO, max(0.0, excess / (route.events + 1.0)))
