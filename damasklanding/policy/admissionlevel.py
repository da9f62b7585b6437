"""
damasklanding.policy.admissionlevel
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The lowest level of requests that an overloaded backend server has room for.
Entry nodes refuse requests below it before they run.  The load that this
answers: a service at the end of chains that make several calls to it, so that
a chain which loses one call has wasted all of its work.
"""

from damasklanding.policy.levels import LEVELS

__all__ = ['NO_LEVEL', 'AdmissionLevel']

#: Named while there is no overload.
NO_LEVEL = -1

INTERVAL_MS = 100.0
#: An interval with fewer calls is extended, up to this many times its length.
MIN_CALLS = 8
MAX_INTERVALS = 5.0
LEVELS_PER_BUCKET = 16
BUCKETS = LEVELS // LEVELS_PER_BUCKET
#: Weight of an interval in the smoothed rates.
SMOOTHING = 0.1
#: The same for the capacity of a server that is overloaded or mostly idle.
FAST_SMOOTHING = 0.5
IDLE_UTILISATION = 0.5
#: The same in the smoothed number of calls that a chain makes.
SLOW_SMOOTHING = 0.05
#: Factor for each interval by which the remembered rate of requests that are
#: refused at the entry falls.
MEMORY_DECAY = 0.995
#: Ratio of the capacity by which the admitted chains may rise in an interval,
#: and the part of the unused slots by which they may.
RISE_RATIO = 0.08
IDLE_RISE_RATIO = 1.0
BUSY_UTILISATION = 0.9
#: Expected wait, relative to the time for which a call holds a slot, and ratio
#: of refused onward calls above which a level is set.
MAX_PRESSURE = 1.0
MAX_REFUSED_RATIO = 0.02
#: Expected wait below which the calls of a chain are counted.
CALM_PRESSURE = 0.4
#: Expected wait that a level aims at.  The admitted chains are corrected by a
#: part of the difference, within a bound.
TARGET_PRESSURE = 0.6
PRESSURE_GAIN = 0.2
MAX_CORRECTION = 0.1
#: Utilisation from which the calls that end show the capacity.
MIN_UTILISATION = 0.02
#: Capacity of a less used server, relative to the calls that are asked for.
IDLE_CAPACITY_RATIO = 2.0
#: Time for which a level of 0 is named after the overload, so that entry nodes
#: learn of its end.
NAMED_AFTER_MS = 3_000.0


def _nothing(*_args):
    return None


class AdmissionLevel:
    """
    The lowest level of requests that a backend server has room for.

    It counts the chains that begin, by level, and the calls of each.  Once
    calls wait too long it names the level above which the chains fit into
    what the backend server can answer.  The rate of chains below the level,
    which the entry nodes refuse, is remembered for a while, so that the level
    can fall again by the right amount.

    :param now_ms: function that returns the current time in milliseconds.
    :param on_change: function of the level and of the calls a second that it
        was set for; called when the level is first raised, and when it is
        back at 0.
    """

    def __init__(self, now_ms, on_change=_nothing):
        self._on_change = on_change
        self._now_ms = now_ms
        self._level = 0
        self._is_active = False
        self._active_ms = float('-inf')
        self._rates = [0.0] * BUCKETS
        self._calls_per_chain = 1.0
        self._past_calls = 0.0
        self._past_chains = 0.0
        self._capacity = 0.0
        self._begin_interval(now_ms())

    def current(self):
        """Return the level, ``NO_LEVEL`` if there was no overload lately."""
        self._update()
        return self._level if self._is_active else NO_LEVEL

    def is_active(self):
        """Return whether a level is in force or was until lately."""
        return self._is_active

    def has_room(self, level):
        """Return whether a chain of this level may begin its calls."""
        return level >= self._level

    def note_arrival(self, level, begins_chain, onward, pressure):
        """
        Count a call that has arrived.

        :param begins_chain: whether it is the first call of its parent to
            this service, or has no parent.
        :param onward: whether it has a parent.
        :param pressure: expected wait of a new call relative to the time for
            which a call holds a slot.
        """
        self._update()
        if onward:
            self._onward += 1
            self._pressure += pressure
        if begins_chain:
            bucket = min(max(level, 0), LEVELS - 1) // LEVELS_PER_BUCKET
            self._begun[bucket] = self._begun.get(bucket, 0) + 1
            self._chains += 1
        self._calls += 1

    def note_refused(self):
        """Count an onward call that was refused."""
        self._refused += 1

    def note_end(self, utilisation):
        """
        Count a call that has ended.

        :param utilisation: ratio of the slots that were in use, 1.0 where
            something else limits the calls.
        """
        self._ended += 1
        self._utilisation += utilisation

    def _begin_interval(self, now_ms):
        self._began_ms = now_ms
        self._begun = {}
        self._chains = 0
        self._calls = 0
        self._onward = 0
        self._pressure = 0.0
        self._refused = 0
        self._ended = 0
        self._utilisation = 0.0

    def _update(self):
        now_ms = self._now_ms()
        intervals = (now_ms - self._began_ms) / INTERVAL_MS
        if intervals < 1.0 or (
            self._calls < MIN_CALLS and intervals < MAX_INTERVALS
        ):
            return
        onward = max(1, self._onward)
        pressure = self._pressure / onward
        is_overloaded = (
            pressure > MAX_PRESSURE
            or self._refused > MAX_REFUSED_RATIO * onward
        )
        self._learn_capacity(intervals, is_overloaded)
        self._learn_rates(intervals, pressure)
        if is_overloaded:
            self._is_active = True
        if self._is_active:
            self._adjust(pressure, intervals)
        if self._level or is_overloaded:
            self._active_ms = now_ms
        elif now_ms - self._active_ms > NAMED_AFTER_MS:
            self._is_active = False
        self._begin_interval(now_ms)

    def _learn_capacity(self, intervals, is_overloaded):
        """Learn the calls that the backend server answers in an interval."""
        utilisation = self._mean_utilisation()
        if is_overloaded and not self._ended:
            utilisation = 1.0
        if utilisation >= MIN_UTILISATION:
            capacity = self._ended / intervals / utilisation
        else:
            # Too few calls to show a capacity: admit more.
            asked = self._calls_per_chain * sum(self._rates)
            capacity = max(self._capacity, IDLE_CAPACITY_RATIO * asked)
        weight = SMOOTHING
        if is_overloaded or utilisation < IDLE_UTILISATION:
            weight = FAST_SMOOTHING
        weight = min(1.0, weight * intervals)
        self._capacity += weight * (capacity - self._capacity)

    def _learn_rates(self, intervals, pressure):
        # Chains that fail make fewer calls.
        if (
            pressure < CALM_PRESSURE
            or self._calls > self._calls_per_chain * self._chains
        ):
            kept = 1.0 - SLOW_SMOOTHING
            self._past_calls = kept * self._past_calls + self._calls
            self._past_chains = kept * self._past_chains + self._chains
            if self._past_chains >= 1.0:
                self._calls_per_chain = max(
                    1.0, self._past_calls / self._past_chains
                )
        lowest = self._level // LEVELS_PER_BUCKET
        weight = min(1.0, SMOOTHING * intervals)
        for bucket, rate in enumerate(self._rates):
            begun = self._begun.get(bucket, 0) / intervals
            if bucket < lowest:
                self._rates[bucket] = rate * MEMORY_DECAY
            elif rate or begun:
                self._rates[bucket] = rate + weight * (begun - rate)

    def _adjust(self, pressure, intervals):
        capacity = self._capacity / self._calls_per_chain
        correction = PRESSURE_GAIN * (TARGET_PRESSURE - pressure)
        room = (1.0 + max(-MAX_CORRECTION, correction)) * capacity
        level = self._level_for(room)
        if level < self._level:
            unused = BUSY_UTILISATION - self._mean_utilisation()
            rise = max(RISE_RATIO, IDLE_RISE_RATIO * unused)
            admitted = self._admitted_above(self._level)
            admitted += rise * max(1.0, intervals) * capacity
            level = min(self._level, max(level, self._level_for(admitted)))
        if bool(level) != bool(self._level):
            calls_per_s = self._capacity * 1000.0 / INTERVAL_MS
            self._on_change(level, calls_per_s)
        self._level = level

    def _mean_utilisation(self):
        return self._utilisation / self._ended if self._ended else 0.0

    def _admitted_above(self, level):
        lowest, part = divmod(level, LEVELS_PER_BUCKET)
        rates = self._rates
        cut = rates[lowest] * part / LEVELS_PER_BUCKET
        return sum(rates[lowest:]) - cut

    def _level_for(self, room):
        """Return the lowest level above which so many chains begin."""
        for bucket in range(BUCKETS - 1, -1, -1):
            rate = self._rates[bucket]
            if rate > room:
                surplus = 1.0 - room / rate
                level = int((bucket + surplus) * LEVELS_PER_BUCKET)
                return min(LEVELS - 1, level)
            room -= rate
        return 0
