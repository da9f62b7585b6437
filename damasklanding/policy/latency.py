"""
damasklanding.policy.latency
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a backend server's service times say about its load: the usual time of
each class of work, means over windows of answers, and a cumulative sum that
tells a lasting rise from noise.
"""

from math import exp
from math import log
from math import sqrt

__all__ = ['Baselines', 'Fall', 'Rise', 'Verdict', 'Window']

FIRST_SAMPLES = 8  # before them a class has no usual time
RESCALED_SAMPLES = 4  # that a rescaled usual time counts for
LEARNING_SHARE = 0.04
SPREAD_SHARE = 0.02
FIRST_SPREAD = 0.3  # standard deviation of the logarithm of a service time
LEAST_SPREAD = 0.1
LATE_RATIO = 3.0
LATE_MARGIN_MS = 50.0
LATE_OVER_PEAK = 1.5
PEAK_DECAY = 0.999
MAX_SCORE = 5.0
NOISE_SCORES = 0.8
ALARM_SCORES = 7.0
LEAST_RISE = 0.06


class _Usual:
    """Usual service time of one class: a geometric mean, and its peak."""

    __slots__ = ('log_ms', 'peak', 'samples')

    def __init__(self):
        self.log_ms = 0.0
        self.peak = 1.0
        self.samples = 0

    def learn(self, time_ms):
        self.samples += 1
        share = max(1.0 / self.samples, LEARNING_SHARE)
        self.log_ms += share * (log(max(time_ms, 0.01)) - self.log_ms)


class Baselines:
    """Usual service time by class of work, in milliseconds."""

    def __init__(self):
        self._usual = {}
        self.spread = FIRST_SPREAD

    def usual_ms(self, name):
        """Return the usual time of a class, 0.0 where none is known."""
        usual = self._usual.get(name)
        return exp(usual.log_ms) if usual else 0.0

    def ratio(self, name, time_ms, downstream_ms=0.0):
        """
        Return a time as a multiple of the usual, 1.0 where unknown.

        Time in onward calls counts on both sides: a slot is held for it,
        so that a wait for a slot grows with it.
        """
        usual = self._usual.get(name)
        if usual is None or usual.samples < FIRST_SAMPLES:
            return 1.0
        usual_ms = exp(usual.log_ms) + downstream_ms
        return max(time_ms + downstream_ms, 0.01) / usual_ms

    def mean_ms(self):
        """Return the mean of the usual times, 0.0 where none is known."""
        if not self._usual:
            return 0.0
        times_ms = [exp(usual.log_ms) for usual in self._usual.values()]
        return sum(times_ms) / len(times_ms)

    def late_ms(self, name):
        """Return the time above which a call of a class is late."""
        usual = self._usual.get(name)
        if usual is None or usual.samples < FIRST_SAMPLES:
            return float('inf')
        usual_ms = exp(usual.log_ms)
        ratio = max(LATE_RATIO, LATE_OVER_PEAK * usual.peak)
        return max(ratio * usual_ms, usual_ms + LATE_MARGIN_MS)

    def known(self, name):
        """Return whether the usual time rests on enough samples."""
        usual = self._usual.get(name)
        return usual is not None and usual.samples >= FIRST_SAMPLES

    def learn(self, name, time_ms):
        """Take a sample of a time without overload."""
        usual = self._usual.get(name)
        if usual is None:
            usual = self._usual[name] = _Usual()
        usual.learn(time_ms)
        if usual.samples < FIRST_SAMPLES:
            return
        ratio = max(time_ms, 0.01) / exp(usual.log_ms)
        usual.peak = max(ratio, usual.peak * PEAK_DECAY)
        deviation = min(abs(log(ratio)), 1.0) * 1.25
        self.spread += SPREAD_SHARE * (deviation - self.spread)
        self.spread = max(LEAST_SPREAD, self.spread)

    def scale(self, factor):
        """Multiply all usual times, to be learned anew from there."""
        for usual in self._usual.values():
            usual.log_ms += log(factor)
            usual.samples = min(usual.samples, RESCALED_SAMPLES)


class Rise:
    """
    Cumulative sum that tells a small lasting rise of ratios from noise.

    Answers are taken in batches, so that the time to an alarm, right or
    false, counts in service times and not in answers.
    """

    def __init__(self):
        self.reset()

    def reset(self):
        """Forget all samples."""
        self._sum = 0.0
        self._batch = 0.0
        self._batched = 0
        self._logs = 0.0
        self._count = 0

    def add(self, ratio, spread, batch):
        """
        Take a sample.

        :param spread: standard deviation of the logarithm without a rise.
        :param batch: samples to average before they are judged.
        :return: whether the rise is established.
        """
        self._batch += log(max(ratio, 0.01))
        self._batched += 1
        if self._batched < batch:
            return False
        mean = self._batch / self._batched
        noise = spread / sqrt(self._batched)
        self._logs += self._batch
        self._count += self._batched
        self._batch = 0.0
        self._batched = 0
        score = min(MAX_SCORE, (mean - LEAST_RISE) / noise)
        self._sum += score - NOISE_SCORES
        if self._sum <= 0.0:
            self.reset()
        return self._sum >= ALARM_SCORES

    def mean_ratio(self):
        """Return the mean ratio since the sum last was zero."""
        return exp(self._logs / self._count) if self._count else 1.0


class Fall:
    """
    Cumulative sum for a large rise of single answers.

    :param slack: logarithm of a ratio that does not count yet.
    :param alarm_at: sum that counts as a fall.
    """

    def __init__(self, slack, alarm_at):
        self._slack = slack
        self._alarm_at = alarm_at
        self.reset()

    def reset(self):
        """Forget all samples."""
        self._sum = 0.0
        self._logs = 0.0
        self._count = 0

    def add(self, ratio):
        """Take a sample; return whether the fall is established."""
        sample = log(max(ratio, 0.01))
        self._sum += sample - self._slack
        if self._sum <= 0.0:
            self.reset()
            return False
        self._logs += sample
        self._count += 1
        return self._sum >= self._alarm_at

    def mean_ratio(self):
        """Return the mean ratio since the sum last was zero."""
        return exp(self._logs / self._count) if self._count else LATE_RATIO


class Verdict:
    """
    Sequential test of whether single probes are slower than usual.

    :param halfway: logarithm of the ratio between usual and slower.
    :param bound: sum at which either side is decided.
    """

    def __init__(self, halfway, bound):
        self._halfway = halfway
        self._bound = bound
        self.reset()

    def reset(self):
        """Forget all probes."""
        self._sum = 0.0
        self._logs = 0.0
        self._count = 0

    def add(self, ratio):
        """Take a probe; return True for slower, False for usual, or None."""
        sample = log(max(ratio, 0.01))
        self._logs += sample
        self._count += 1
        self._sum += sample - self._halfway
        if abs(self._sum) < self._bound:
            return None
        return self._sum > 0

    def mean_ratio(self):
        """Return the mean ratio of the probes."""
        return exp(self._logs / self._count) if self._count else 1.0


class Window:
    """Mean ratio and load over a number of answers."""

    def __init__(self):
        self.reset()

    def reset(self):
        """Start a new window."""
        self.count = 0
        self.most_running = 0
        self._logs = 0.0

    def add(self, ratio, running):
        """Take an answer whose call made so many running."""
        self.count += 1
        self._logs += log(max(ratio, 0.01))
        self.most_running = max(self.most_running, running)

    def ratio(self):
        """Return the geometric mean ratio."""
        return exp(self._logs / self.count)
