"""
damasklanding.policy.throttle
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Load shedding across the call chain.  A node reports the rank below which its
gate refuses most calls.  An entry node refuses a ratio of the requests whose
call chains have recently been refused by downstream services, so that no work
is wasted on them.
"""

from dataclasses import dataclass
from math import exp

from damasklanding.errors import Overloaded
from damasklanding.policy.levels import RANKS

__all__ = [
    'CHAIN_THROTTLE_SETTINGS',
    'DEFAULT_THROTTLE_SETTINGS',
    'ThrottleSettings',
    'AdaptiveThrottle',
    'RefusalLevels',
]

DECAY_MS = 500.0  # time constant of the exponential decay of counts
MIN_DECAY_STEP_MS = 2.0  # counts do not decay in shorter steps
MIN_REFUSED_CALLS = 3.0
SHED_REFUSED_RATIO = 0.5  # a rank counts as shed above this ratio

REQUESTS_PER_ANSWER = 3.0

MIN_REQUESTS = 5.0
MAX_REFUSED_RATIO = 0.95  # the other requests probe for the overload's end
#: The headroom, ``requests_per_answer`` - 1, doubles with each further run of
#: this many answers without an overload in between.
ANSWERS_PER_DOUBLING = 3
#: Least time of each doubling.  Admitted requests show their effect downstream
#: only after about this time.
DOUBLING_MS = 250.0
MAX_REQUESTS_PER_ANSWER = 10.0
MAX_DOUBLINGS = 10.0  # enough to reach MAX_REQUESTS_PER_ANSWER
RETRY_AFTER_MS = 500


@dataclass(frozen=True, slots=True)
class ThrottleSettings:
    """
    Parameters of an :class:`AdaptiveThrottle`.

    :ivar requests_per_answer: requests that are admitted for each successful
        answer while some requests still fail; those above 1 probe for the end
        of an overload.
    :ivar min_requests: requests that may go unanswered before any is
        refused.
    :ivar decay_ms: time constant of the exponential decay of counts.
    """

    requests_per_answer: float
    min_requests: float
    decay_ms: float


DEFAULT_THROTTLE_SETTINGS = ThrottleSettings(
    REQUESTS_PER_ANSWER, MIN_REQUESTS, DECAY_MS
)
#: Settings for long call chains.  A failed request has already cost several
#: calls, so only slightly more requests are admitted than are answered.  Each
#: of many nodes sees few requests of a kind, so counts decay more slowly.
CHAIN_THROTTLE_SETTINGS = ThrottleSettings(1.3, 2.0, 1_500.0)


def _nothing(*_args):
    return None


class _DecayingCounts:
    """
    Two counts that decay exponentially with time.

    :ivar accepts: admitted calls, or answered requests.
    :ivar events: refused calls in :class:`RefusalLevels`, all requests in
        :class:`_RouteCounts`.
    """

    __slots__ = ('_decayed_ms', '_decay_ms', 'events', 'accepts')

    def __init__(self, now_ms, decay_ms=DECAY_MS):
        self.accepts = 0.0
        self.events = 0.0
        self._decayed_ms = now_ms
        self._decay_ms = decay_ms

    def decay(self, now_ms):
        """Apply the decay for the time since the last call."""
        passed_ms = now_ms - self._decayed_ms
        if passed_ms < MIN_DECAY_STEP_MS:
            return
        factor = exp(-passed_ms / self._decay_ms)
        self.accepts *= factor
        self.events *= factor
        self._decayed_ms = now_ms


class _RouteCounts(_DecayingCounts):
    """
    Counts of one combination of service, profile and importance.

    :ivar answers_in_row: answered requests since the last overload.
    :ivar is_shed: whether most such requests were refused at the last change
        that was noted.
    :ivar overloaded_ms: time of the last overload.
    :param due: admissions that are due at first, in [0, 1), so that hosts do
        not admit in step.
    """

    __slots__ = ('_due', 'answers_in_row', 'is_shed', 'overloaded_ms')

    def __init__(self, now_ms, decay_ms, due):
        super().__init__(now_ms, decay_ms)
        self.answers_in_row = 0
        self.is_shed = False
        self.overloaded_ms = float('-inf')
        self._due = due

    def has_crossed(self, refused_ratio):
        """Note whether most requests are refused; return if that is new."""
        limit = 0.0 if self.is_shed else SHED_REFUSED_RATIO
        is_shed = refused_ratio > limit
        if is_shed == self.is_shed:
            return False
        self.is_shed = is_shed
        return True

    def take_turn(self, refused_ratio):
        """
        Return whether the next request is admitted.

        Requests are picked at even distances.  Picked by chance, a host with
        few requests could see so few answers that its throttle stays closed
        for seconds after the end of an overload.
        """
        self._due += 1.0 - refused_ratio
        if self._due < 1.0:
            return False
        self._due -= 1.0
        return True

    def note(self, overloaded, now_ms):
        """Count the end of an admitted request."""
        self.events += 1.0
        if overloaded:
            self.answers_in_row = 0
            self.overloaded_ms = now_ms
        else:
            self.accepts += 1.0
            self.answers_in_row += 1

    def requests_per_answer(self, least, now_ms):
        """
        Return how many requests to admit for each answered one.

        :param least: the value while some admitted requests still fail.
        """
        doublings = min(
            MAX_DOUBLINGS,
            self.answers_in_row / ANSWERS_PER_DOUBLING,
            (now_ms - self.overloaded_ms) / DOUBLING_MS,
        )
        headroom = (least - 1.0) * 2.0**doublings
        return min(MAX_REQUESTS_PER_ANSWER, 1.0 + headroom)


class RefusalLevels:
    """
    Tracks which ranks a gate refuses now.

    :param now_ms: function that returns the current time in milliseconds.
    """

    def __init__(self, now_ms):
        self._now_ms = now_ms
        self._levels = [_DecayingCounts(now_ms()) for _ in range(RANKS)]

    def note(self, rank, admitted):
        """Count a call that was admitted or refused for lack of slots."""
        level = self._levels[max(0, min(RANKS - 1, rank))]
        level.decay(self._now_ms())
        if admitted:
            level.accepts += 1.0
        else:
            level.events += 1.0

    def shed_below(self):
        """Return the rank below which most calls are refused."""
        now_ms = self._now_ms()
        shed_below = 0
        for rank, level in enumerate(self._levels):
            level.decay(now_ms)
            total = level.accepts + level.events
            if (
                level.events > MIN_REFUSED_CALLS
                and level.events > SHED_REFUSED_RATIO * total
            ):
                shed_below = rank + 1
        return shed_below


class AdaptiveThrottle:
    """
    Refuses requests at the entry node while downstream calls are refused.

    This is adaptive throttling: somewhat more requests are admitted than have
    recently been answered, and the excess probes for the end of the overload.
    While all admitted requests are answered, the excess grows exponentially:
    with a constant one, the time until nothing is refused any more would grow
    with the demand at the node.  Each combination of service, profile and
    importance is counted separately, so that important requests pass while
    others are refused.

    :param now_ms: function that returns the current time in milliseconds.
    :param random: function that returns a float in [0, 1).
    :param settings: :class:`ThrottleSettings`.
    :param on_change: function of service, profile, importance, whether most
        of such requests are refused from now on, and the recent counts of
        answered and of all requests; called when most are refused, and when
        none is any more.
    """

    def __init__(
        self,
        now_ms,
        random,
        settings=DEFAULT_THROTTLE_SETTINGS,
        on_change=_nothing,
    ):
        self._now_ms = now_ms
        self._random = random
        self._settings = settings
        self._on_change = on_change
        self._routes = {}

    def check(self, service, profile, importance):
        """
        Refuse a request with the current refusal ratio of its kind.

        An admitted request is counted only when it has ended, by
        :meth:`note`.  If it were counted earlier, a sudden rise in demand
        would look like requests that get no answers.

        :raises Overloaded: the request is refused and has not been run.
        """
        route = self._route(service, profile, importance)
        refused_ratio = self._refused_ratio(route)
        if route.has_crossed(refused_ratio):
            self._on_change(
                service,
                profile,
                importance,
                route.is_shed,
                route.accepts,
                route.events,
            )
        if not route.take_turn(refused_ratio):
            route.events += 1.0
            raise Overloaded(
                f'requests like this one to {service} are shed further down '
                f'({route.accepts:.0f} of {route.events:.0f} answered)',
                retry_after_ms=RETRY_AFTER_MS,
            )

    def note(self, service, profile, importance, overloaded):
        """
        Record the end of an admitted request.

        :param overloaded: whether a call of its chain was refused for lack
            of slots.
        """
        route = self._route(service, profile, importance)
        route.note(overloaded, self._now_ms())

    def refused_ratio(self, service, profile, importance):
        """Return the ratio of such requests that is refused now."""
        return self._refused_ratio(self._route(service, profile, importance))

    def _refused_ratio(self, route):
        """Return the ratio of requests to refuse, from a route's counts."""
        settings = self._settings
        if route.events < settings.min_requests:
            return 0.0
        requests_per_answer = route.requests_per_answer(
            settings.requests_per_answer, self._now_ms()
        )
        admissible = (
            requests_per_answer * route.accepts + settings.min_requests
        )
        excess = route.events - admissible
        return min(MAX_REFUSED_RATIO, max(0.0, excess / (route.events + 1.0)))

    def _route(self, service, profile, importance):
        now_ms = self._now_ms()
        key = (service, profile, importance)
        route = self._routes.get(key)
        if route is None:
            decay_ms = self._settings.decay_ms
            route = _RouteCounts(now_ms, decay_ms, self._random())
            self._routes[key] = route
        route.decay(now_ms)
        return route
