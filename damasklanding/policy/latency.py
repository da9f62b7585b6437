"""
damasklanding.policy.latency
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Statistics over the service times of a backend server: a baseline for each
profile, mean latency ratios over windows of answers, and cumulative sum
(CUSUM) tests that distinguish a lasting rise from noise.  A latency ratio is
a service time divided by its baseline.
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

MIN_SAMPLES = 8  # required before a baseline is used
RESCALED_SAMPLES = 4  # maximum number of samples a rescaled baseline keeps
MIN_LEARNING_RATE = 0.04  # weight of a new sample once many have been taken
STDDEV_LEARNING_RATE = 0.02
#: Standard deviation of the natural logarithm of service times.
INITIAL_LOG_STDDEV = 0.3
MIN_LOG_STDDEV = 0.1

# A call is late once it exceeds all of these bounds.
LATE_RATIO = 3.0  # multiple of the baseline
LATE_MARGIN_MS = 50.0  # margin above the baseline
LATE_PEAK_RATIO = 1.5  # multiple of the peak service time
PEAK_DECAY = 0.999  # factor for the peak ratio with each sample

# CUSUM test for a small rise; scores are in standard deviations.
MAX_SCORE = 5.0
SCORE_SLACK = 0.8  # subtracted from each score
ALARM_SCORE_SUM = 7.0
MIN_RISE_LOG = 0.06  # smaller mean log ratios score below zero


class _Baseline:
    """
    Baseline service time of one profile.

    :ivar log_ms: logarithm of the geometric mean.
    :ivar peak_ratio: decaying maximum of the ratio to the mean.
    :ivar samples: number of samples taken.
    """

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
    """
    Baseline service times by profile, in milliseconds.

    :ivar log_stddev: standard deviation of the logarithm of service times,
        over all profiles.
    """

    def __init__(self):
        self._baselines = {}
        self.log_stddev = INITIAL_LOG_STDDEV

    def baseline_ms(self, name):
        """Return the baseline of a profile, or 0.0 if it has none."""
        baseline = self._baselines.get(name)
        return exp(baseline.log_ms) if baseline else 0.0

    def ratio(self, name, time_ms, downstream_ms=0.0):
        """
        Return the latency ratio of a call, or 1.0 without a baseline.

        The time in downstream calls is added to both the service time and
        the baseline.  The call holds its slot during that time, so the wait
        for a slot grows with it.
        """
        baseline = self._baselines.get(name)
        if baseline is None or baseline.samples < MIN_SAMPLES:
            return 1.0
        baseline_ms = exp(baseline.log_ms) + downstream_ms
        return max(time_ms + downstream_ms, 0.01) / baseline_ms

    def mean_ms(self):
        """Return the mean of all baselines, or 0.0 if there are none."""
        if not self._baselines:
            return 0.0
        times_ms = [
            exp(baseline.log_ms) for baseline in self._baselines.values()
        ]
        return sum(times_ms) / len(times_ms)

    def late_after_ms(self, name):
        """Return the time after which a call of a profile is late."""
        baseline = self._baselines.get(name)
        if baseline is None or baseline.samples < MIN_SAMPLES:
            return float('inf')
        baseline_ms = exp(baseline.log_ms)
        ratio = max(LATE_RATIO, LATE_PEAK_RATIO * baseline.peak_ratio)
        return max(ratio * baseline_ms, baseline_ms + LATE_MARGIN_MS)

    def known(self, name):
        """Return whether the baseline of a profile has enough samples."""
        baseline = self._baselines.get(name)
        return baseline is not None and baseline.samples >= MIN_SAMPLES

    def learn(self, name, time_ms):
        """Add a service time that was measured without overload."""
        baseline = self._baselines.get(name)
        if baseline is None:
            baseline = self._baselines[name] = _Baseline()
        baseline.learn(time_ms)
        if baseline.samples < MIN_SAMPLES:
            return
        ratio = max(time_ms, 0.01) / exp(baseline.log_ms)
        baseline.peak_ratio = max(ratio, baseline.peak_ratio * PEAK_DECAY)
        # 1.25 converts a mean absolute deviation to a standard deviation.
        deviation = min(abs(log(ratio)), 1.0) * 1.25
        self.log_stddev += STDDEV_LEARNING_RATE * (deviation - self.log_stddev)
        self.log_stddev = max(MIN_LOG_STDDEV, self.log_stddev)

    def scale(self, factor):
        """
        Multiply all baselines by a factor.

        Their number of samples is reduced, so that they adapt faster.
        """
        for baseline in self._baselines.values():
            baseline.log_ms += log(factor)
            baseline.samples = min(baseline.samples, RESCALED_SAMPLES)


class SmallRiseDetector:
    """
    CUSUM test for a small but lasting rise of latency ratios.

    Answers are averaged in batches, so that the time until an alarm, true or
    false, depends on the service time and not on the rate of answers.
    """

    def __init__(self):
        self.reset()

    def reset(self):
        """Discard all samples."""
        self._sum = 0.0
        self._batch_log_sum = 0.0
        self._batch_count = 0
        self._log_sum = 0.0
        self._count = 0

    def add(self, ratio, log_stddev, batch):
        """
        Add a latency ratio.

        :param log_stddev: standard deviation of the logarithm without a rise.
        :param batch: number of samples that are averaged before they are
            tested.
        :return: whether a rise has been detected.
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
        """Return the geometric mean ratio since the sum was last zero."""
        return exp(self._log_sum / self._count) if self._count else 1.0


class LargeRiseDetector:
    """
    CUSUM test for a large rise of single latency ratios.

    :param slack_log: logarithm of the ratio above which a sample raises the
        sum.
    :param alarm_sum: sum at which a rise is detected.
    """

    def __init__(self, slack_log, alarm_sum):
        self._slack_log = slack_log
        self._alarm_sum = alarm_sum
        self.reset()

    def reset(self):
        """Discard all samples."""
        self._sum = 0.0
        self._log_sum = 0.0
        self._count = 0

    def add(self, ratio):
        """Add a latency ratio; return whether a rise has been detected."""
        sample = log(max(ratio, 0.01))
        self._sum += sample - self._slack_log
        if self._sum <= 0.0:
            self.reset()
            return False
        self._log_sum += sample
        self._count += 1
        return self._sum >= self._alarm_sum

    def mean_ratio(self):
        """Return the geometric mean ratio since the sum was last zero."""
        return exp(self._log_sum / self._count) if self._count else LATE_RATIO


class SlowdownTest:
    """
    Sequential test of whether single probes are slower than the baseline.

    :param midpoint_log: logarithm of the ratio halfway between normal and
        slower; a sample above it counts towards slower.
    :param decision_sum: absolute sum at which the test decides.
    """

    def __init__(self, midpoint_log, decision_sum):
        self._midpoint_log = midpoint_log
        self._decision_sum = decision_sum
        self.reset()

    def reset(self):
        """Discard all probes."""
        self._sum = 0.0
        self._log_sum = 0.0
        self._count = 0

    def add(self, ratio):
        """
        Add the latency ratio of a probe.

        :return: True for slower, False for normal, None while undecided.
        """
        sample = log(max(ratio, 0.01))
        self._log_sum += sample
        self._count += 1
        self._sum += sample - self._midpoint_log
        if abs(self._sum) < self._decision_sum:
            return None
        return self._sum > 0

    def mean_ratio(self):
        """Return the geometric mean ratio of the probes."""
        return exp(self._log_sum / self._count) if self._count else 1.0


class LatencyWindow:
    """
    Mean latency ratio and peak load over a window of answers.

    :ivar count: answers in the window.
    :ivar peak_running: highest number of calls in progress.
    """

    def __init__(self):
        self.reset()

    def reset(self):
        """Start a new window."""
        self.count = 0
        self.peak_running = 0
        self._log_sum = 0.0

    def add(self, ratio, running):
        """
        Add an answer.

        :param running: calls in progress when its call began.
        """
        self.count += 1
        self._log_sum += log(max(ratio, 0.01))
        self.peak_running = max(self.peak_running, running)

    def ratio(self):
        """Return the geometric mean ratio."""
        return exp(self._log_sum / self.count)
