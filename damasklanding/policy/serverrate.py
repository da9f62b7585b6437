"""
damasklanding.policy.serverrate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests a second that a backend server takes from all hosts together, as it
names them in its answers.  All requests pass the node beside the backend
server, so one token bucket there keeps the rate.
"""

__all__ = ['ServerRate']

UNLIMITED = float('inf')
#: Least rate in use.  A backend server that gets nothing answers nothing, and
#: could not say that its limit has ended.
MIN_RATE_PER_S = 0.5
BURST_S = 0.25  # size of the bucket, as time at the named rate
MIN_BURST_REQUESTS = 1.0
#: Rate and burst until the first answer of a backend server that may name a
#: limit.
FIRST_RATE_PER_S = 20.0
FIRST_BURST_REQUESTS = 5.0


class ServerRate:
    """
    Token bucket with the rate that a backend server has named last.

    :param now_ms: function that returns the current time in milliseconds.
    :ivar rate_per_s: rate in use, infinite where none is named.
    """

    def __init__(self, now_ms):
        self.rate_per_s = UNLIMITED
        self._now_ms = now_ms
        self._burst = 0.0
        self._tokens = 0.0
        self._refilled_ms = 0.0
        self._named_ms = float('-inf')

    @property
    def is_limited(self):
        """Return whether a rate is in force."""
        return self.rate_per_s != UNLIMITED

    def expect_first_answer(self):
        """Forget the rate, and be careful until the next answer comes."""
        self._named_ms = float('-inf')
        self._set(FIRST_RATE_PER_S, FIRST_BURST_REQUESTS)
        self._tokens = FIRST_BURST_REQUESTS

    def note(self, rate_per_s, sent_ms):
        """
        Take what an answer says.

        Answers may overtake each other.  One without a rate ends the limit
        only if its request was sent after the last answer with one had come.

        :param rate_per_s: the rate that it names, infinite without one.
        :param sent_ms: time at which its request was sent.
        """
        if rate_per_s != UNLIMITED:
            self._named_ms = self._now_ms()
            rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
            burst = max(MIN_BURST_REQUESTS, BURST_S * rate_per_s)
            self._set(rate_per_s, burst)
        elif sent_ms > self._named_ms:
            self.rate_per_s = UNLIMITED

    def take(self):
        """Count a request that is sent."""
        if self.is_limited:
            self._refill()
            self._tokens -= 1.0

    def wait_ms(self, requests=1):
        """Return the time until a number of requests may have been sent."""
        if not self.is_limited:
            return 0.0
        self._refill()
        missing = requests - self._tokens
        return max(0.0, 1000.0 * missing / self.rate_per_s)

    def _set(self, rate_per_s, burst):
        if self.is_limited:
            self._refill()
        else:
            self._tokens = burst
            self._refilled_ms = self._now_ms()
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def _refill(self):
        now_ms = self._now_ms()
        gained = (now_ms - self._refilled_ms) * self.rate_per_s / 1000.0
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_ms = now_ms
