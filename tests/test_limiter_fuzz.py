import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from damasklanding.policy.limiter import AdaptiveLimiter
from damasklanding.policy.types import CallResult

RESULTS = st.sampled_from(list(CallResult))


class LimiterMachine(RuleBasedStateMachine):
    """Checks against a list of calls that none starts above the limit."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.limiter = AdaptiveLimiter(lambda: self.now_ms)
        self.calls = []

    @rule(count=st.integers(1, 20), profile=st.sampled_from('pq'))
    def start(self, count, profile):
        for _ in range(count):
            if not self.limiter.has_capacity():
                return
            assert len(self.calls) < self.limiter.limit
            self.calls.append(self.limiter.begin(profile))

    @rule(
        count=st.integers(1, 20),
        passed_ms=st.floats(0.1, 100.0),
        result=RESULTS,
        onward_ms=st.sampled_from([0.0, 0.0, 30.0]),
    )
    def end(self, count, passed_ms, result, onward_ms):
        for _ in range(min(count, len(self.calls))):
            self.now_ms += passed_ms / 10
            call = self.calls.pop(0)
            call.exempt = onward_ms > 0
            own_ms = max(0.0, self.now_ms - call.started_ms - onward_ms)
            self.limiter.end(call, result, own_ms, onward_ms)

    @rule(passed_ms=st.floats(1.0, 5_000.0))
    def wait(self, passed_ms):
        self.now_ms += passed_ms

    @rule(cold=st.booleans(), slots=st.integers(0, 300))
    def announce(self, cold, slots):
        self.limiter.announce(cold, slots)

    @invariant()
    def counts_and_stays_live(self):
        assert self.limiter.running == len(self.calls)
        assert self.limiter.limit >= 1
        assert self.limiter.pause_ms() <= 1_000.0


EXAMPLES = int(os.environ.get('DAMASKLANDING_FUZZ_EXAMPLES', '40'))
LimiterMachine.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
)
TestLimiterMachine = LimiterMachine.TestCase
