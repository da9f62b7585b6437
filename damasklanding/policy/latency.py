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

__all__ = [
    'LatencyBaselines',
    'LargeRiseDetector',
    'SmallRiseDetector',
    'SlowdownTest',
    'LatencyWindow',
]

MIN_SAMPLES = 8  # before them a class has no usual time
RESCALED_SAMPLES = 4  # that a rescaled usual time counts for
MIN_LEARNING_RATE = 0.04
STDDEV_LEARNING_RATE = 0.02
INITIAL_LOG_STDDEV = (
    0.3  # standard deviation of the logarithm of a service time
)
MIN_LOG_STDDEV = 0.1
LATE_RATIO = 3.0
LATE_MARGIN_MS = 50.0
LATE_PEAK_RATIO = 1.5
PEAK_DECAY = 0.999
MAX_SCORE = 5.0
SCORE_SLACK = 0.8
ALARM_SCORE_SUM = 7.0
MIN_RISE_LOG = 0.06


class _Baseline:
    """Usual service time of one class: a geometric mean, and its peak."""

    __slots__ = ('log_ms', 'peak_ratio', 'samples')

    def __init__(self):
        self.log_ms = 0.0
        self.peak_ratio = 1.0
        self.samples = 0

    def learn(self, time_ms):
        self.samples += 1
        share = max(1.0 / self.samples, MIN_LEARNING_RATE)
        self.log_ms += share * (log(max(time_ms, 0.01)) - self.log_ms)


class LatencyBaselines:
    """Usual service time by class of work, in milliseconds."""

    def __init__(self):
        self._baselines = {}
        self.log_stddev = INITIAL_LOG_STDDEV

    def baseline_ms(self, name):
        """Return the usual time of a class, 0.0 where none is known."""
        baseline = self._baselines.get(name)
        return exp(baseline.log_ms) if baseline else 0.0

    def ratio(self, name, time_ms, downstream_ms=0.0):
        """
        Return a time as a multiple of the usual, 1.0 where unknown.

        Time in onward calls counts on both sides: a slot is held for it,
        so that a wait for a slot grows with it.
        """
        baseline = self._baselines.get(name)
        if baseline is None or baseline.samples < MIN_SAMPLES:
            return 1.0
        baseline_ms = exp(baseline.log_ms) + downstream_ms
        return max(time_ms + downstream_ms, 0.01) / baseline_ms

    def mean_ms(self):
        """Return the mean of the usual times, 0.0 where none is known."""
        if not self._baselines:
            return 0.0
        times_ms = [
            exp(baseline.log_ms) for baseline in self._baselines.values()
        ]
        return sum(times_ms) / len(times_ms)

    def late_after_ms(self, name):
        """Return the time above which a call of a class is late."""
        baseline = self._baselines.get(name)
        if baseline is None or baseline.samples < MIN_SAMPLES:
            return float('inf')
        baseline_ms = exp(baseline.log_ms)
        ratio = max(LATE_RATIO, LATE_PEAK_RATIO * baseline.peak_ratio)
        return max(ratio * baseline_ms, baseline_ms + LATE_MARGIN_MS)

    def known(self, name):
        """Return whether the usual time rests on enough samples."""
        baseline = self._baselines.get(name)
        return baseline is not None and baseline.samples >= MIN_SAMPLES

    def learn(self, name, time_ms):
        """Take a sample of a time without overload."""
        baseline = self._baselines.get(name)
        if baseline is None:
            baseline = self._baselines[name] = _Baseline()
        baseline.learn(time_ms)
        if baseline.samples < MIN_SAMPLES:
            return
        ratio = max(time_ms, 0.01) / exp(baseline.log_ms)
        baseline.peak_ratio = max(ratio, baseline.peak_ratio * PEAK_DECAY)
        deviation = min(abs(log(ratio)), 1.0) * 1.25
        self.log_stddev += STDDEV_LEARNING_RATE * (deviation - self.log_stddev)
        self.log_stddev = max(MIN_LOG_STDDEV, self.log_stddev)

    def scale(self, factor):
        """Multiply all usual times, to be learned anew from there."""
        for baseline in self._baselines.values():
            baseline.log_ms += log(factor)
            baseline.samples = min(baseline.samples, RESCALED_SAMPLES)


class SmallRiseDetector:
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
        self._batch_log_sum = 0.0
        self._batch_count = 0
        self._log_sum = 0.0
        self._count = 0

    def add(self, ratio, log_stddev, batch):
        """
        Take a sample.

        :param log_stddev: standard deviation of the logarithm without a rise.
        :param batch: samples to average before they are judged.
        :return: whether the rise is established.
        """
        self._batch_log_sum += log(max(ratio, 0.01))
        self._batch_count += 1
        if self._batch_count < batch:
            return False
        mean = self._batch_log_sum / self._batch_count
        noise = log_stddev / sqrt(self._batch_count)
        self._log_sum += self._batch_log_sum
        self._count += self._batch_count
        self._batch_log_sum = 0.0
        self._batch_count = 0
        score = min(MAX_SCORE, (mean - MIN_RISE_LOG) / noise)
        self._sum += score - SCORE_SLACK
        if self._sum <= 0.0:
            self.reset()
        return self._sum >= ALARM_SCORE_SUM

    def mean_ratio(self):
        """Return the mean ratio since the sum last was zero."""
        return exp(self._log_sum / self._count) if self._count else 1.0


class LargeRiseDetector:
    """
    Cumulative sum for a large rise of single answers.

    :param slack_log: logarithm of a ratio that does not count yet.
    :param alarm_sum: sum that counts as a fall.
    """

    def __init__(self, slack_log, alarm_sum):
        self._slack_log = slack_log
        self._alarm_sum = alarm_sum
        self.reset()

    def reset(self):
        """Forget all samples."""
        self._sum = 0.0
        self._log_sum = 0.0
        self._count = 0

    def add(self, ratio):
        """Take a sample; return whether the fall is established."""
        sample = log(max(ratio, 0.01))
        self._sum += sample - self._slack_log
        if self._sum <= 0.0:
            self.reset()
            return False
        self._log_sum += sample
        self._count += 1
        return self._sum >= self._alarm_sum

    def mean_ratio(self):
        """Return the mean ratio since the sum last was zero."""
        return exp(self._log_sum / self._count) if self._count else LATE_RATIO


class SlowdownTest:
    """
    Sequential test of whether single probes are slower than usual.

    :param midpoint_log: logarithm of the ratio between usual and slower.
    :param decision_sum: sum at which either side is decided.
    """

    def __init__(self, midpoint_log, decision_sum):
        self._midpoint_log = midpoint_log
        self._decision_sum = decision_sum
        self.reset()

    def reset(self):
        """Forget all probes."""
        self._sum = 0.0
        self._log_sum = 0.0
        self._count = 0

    def add(self, ratio):
        """Take a probe; return True for slower, False for usual, or None."""
        sample = log(max(ratio, 0.01))
        self._log_sum += sample
        self._count += 1
        self._sum += sample - self._midpoint_log
        if abs(self._sum) < self._decision_sum:
            return None
        return self._sum > 0

    def mean_ratio(self):
        """Return the mean ratio of the probes."""
        return exp(self._log_sum / self._count) if self._count else 1.0


class LatencyWindow:
    """Mean ratio and load over a number of answers."""

    def __init__(self):
        self.reset()

    def reset(self):
        """Start a new window."""
        self.count = 0
        self.peak_running = 0
        self._log_sum = 0.0

    def add(self, ratio, running):
        """Take an answer whose call made so many running."""
        self.count += 1
        self._log_sum += log(max(ratio, 0.01))
        self.peak_running = max(self.peak_running, running)

    def ratio(self):
        """Return the geometric mean ratio."""
        return exp(self._log_sum / self.count)
