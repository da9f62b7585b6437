import os

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
import pytest

from damasklanding.budget.bucket import DEFAULT_TTL_MS
from damasklanding.budget.bucket import MAX_RESERVE_MS
from damasklanding.budget.owner import MAX_OWNER_VIEW_AGE_MS
from damasklanding.budget.owner import START_DELAY_MS
from tests.budget_fleet import Fleet
from tests.budget_fleet import worst_excess

NODES = 4
EXAMPLES = int(os.environ.get('DAMASKLANDING_FUZZ_EXAMPLES', '20'))
STEPS = 25
STEP_MS = 50
PHASES = (Phase.generate, Phase.shrink)[: 2 if 'SHRINK' in os.environ else 1]
EPSILON = 1e-6
# Time after which an earlier rate has no effect: an owner with an old view
# has stopped, and its reserved and issued tokens have expired.
SETTLED_MS = MAX_OWNER_VIEW_AGE_MS + MAX_RESERVE_MS + DEFAULT_TTL_MS

NODE = st.integers(0, NODES - 1)
PLANS = st.sampled_from(
    [(100.0, 100), (100.0, 15), (5.0, 5), (40.0, 1), (400.0, 60)]
)
TRIP = st.one_of(
    st.just(None), st.just('twice'), st.floats(0, 5), st.floats(0, 700)
)


class BudgetFuzz(RuleBasedStateMachine):
    """
    Checks the admissions of a fleet under faults against rate and burst.

    :ivar isolated: names of nodes whose views :meth:`run` does not update.
    :ivar plans: time at which each limit was set, its rate and its burst.
    :ivar history: commit time and configuration by revision.
    """

    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.fleet = None
        self.isolated = set()

    @initialize(plan=PLANS, node=NODE)
    def begin(self, plan, node):
        self.fleet = Fleet(self.patch, NODES, *plan)
        self.plans = [(self.fleet.time(), *plan)]
        self.history = {}
        self.record_revision()
        self.fleet.assign(self.fleet.nodes[node])
        self.record_revision()
        self.fleet.learn()
        self.fleet.run_for(START_DELAY_MS + 500)

    def record_revision(self):
        fleet = self.fleet
        changes, revision = fleet.changes()
        self.history[revision] = fleet.time(), changes

    @rule(node=NODE, count=st.integers(1, 60), wait_ms=st.integers(0, 700))
    def take(self, node, count, wait_ms):
        for _ in range(count):
            self.fleet.take(self.fleet.nodes[node], wait_ms)
        self.fleet.time.run_for(0)

    @rule(duration_ms=st.one_of(st.floats(0, 50), st.floats(0, 2_500)))
    def wait(self, duration_ms):
        self.fleet.time.run_for(duration_ms)

    @rule(
        duration_ms=st.integers(100, 3_500),
        load=st.integers(0, 6),
        wait_ms=st.sampled_from([0, 100, 400]),
    )
    def run(self, duration_ms, load, wait_ms):
        """Send requests to every node; update the views not isolated."""
        fleet = self.fleet
        for _ in range(0, duration_ms, STEP_MS):
            for node in fleet.nodes:
                if node.name not in self.isolated:
                    node.learn()
                for _ in range(load):
                    fleet.take(node, wait_ms)
                node.rate_limiter.sweep()
            fleet.time.run_for(STEP_MS)

    @rule(node=NODE, seen=st.booleans(), load=st.integers(0, 6))
    def isolate_owner(self, node, seen, load):
        """Stop the view updates of the owner and assign another node."""
        fleet = self.fleet
        self.isolated.add(fleet.shard.owner)
        if seen:
            for other in fleet.nodes:
                other.learn()
        fleet.assign(fleet.nodes[node])
        self.record_revision()
        self.run(2_500, load, 100)

    @rule(node=NODE)
    def isolate(self, node):
        self.isolated.add(self.fleet.nodes[node].name)

    @rule()
    def rejoin(self):
        self.isolated.clear()

    @rule(node=NODE, lag_ms=st.floats(0, 400), back=st.integers(0, 3))
    def learn(self, node, lag_ms, back):
        """Move a view to a later revision, confirmed some time ago."""
        view = self.fleet.nodes[node].view
        newer = [
            revision
            for revision in sorted(self.history)
            if revision > view.state.revision
        ]
        if newer:
            revision = newer[max(0, len(newer) - 1 - back)]
            view.apply(1, revision, self.history[revision][1])
        self.confirm(view, lag_ms)

    def confirm(self, view, lag_ms):
        """Confirm a view, at most up to the commit of the next revision."""
        superseded_ms = min(
            (
                at_ms
                for revision, (at_ms, _) in self.history.items()
                if revision > view.state.revision
            ),
            default=float('inf'),
        )
        view.confirm(min(self.fleet.time() - lag_ms, superseded_ms))

    @rule(node=NODE)
    def sweep(self, node):
        self.fleet.nodes[node].rate_limiter.sweep()
        self.fleet.time.run_for(0)

    @rule(node=NODE)
    def assign(self, node):
        self.fleet.assign(self.fleet.nodes[node])
        self.record_revision()

    @rule(plan=PLANS)
    def set_rate(self, plan):
        self.fleet.set_rate(*plan)
        self.plans.append((self.fleet.time(), *plan))
        self.record_revision()

    @rule(trips=st.lists(TRIP, max_size=6))
    def disturb(self, trips):
        self.fleet.delays.extend(trips)

    @rule(one=NODE, other=NODE)
    def cut(self, one, other):
        nodes = self.fleet.nodes
        self.fleet.cut.add((nodes[one].address, nodes[other].address))

    @rule()
    def heal(self):
        self.fleet.cut.clear()
        self.fleet.delays.clear()

    @rule(node=NODE, duration_ms=st.floats(1, 3_000))
    def freeze(self, node, duration_ms):
        """Freeze a process, so that all that it awaits comes late."""
        node = self.fleet.nodes[node]
        node.frozen_until_ms = self.fleet.time() + duration_ms

    @rule(node=NODE)
    def restart(self, node):
        self.fleet.nodes[node].restart()

    @invariant()
    def no_window_is_above_rate_and_burst(self):
        if self.fleet is None:
            return
        uses = self.fleet.uses
        rate = max(rate for _, rate, _ in self.plans)
        burst = max(burst for _, _, burst in self.plans)
        assert worst_excess(uses, rate, burst) <= EPSILON
        ends = [at_ms for at_ms, _, _ in self.plans[1:]] + [float('inf')]
        for (at_ms, rate, burst), end_ms in zip(self.plans, ends, strict=True):
            settled_ms = at_ms + SETTLED_MS
            within = [use for use in uses if settled_ms <= use < end_ms]
            assert worst_excess(within, rate, burst) <= EPSILON

    def teardown(self):
        if self.fleet is None:
            return
        try:
            self.recovers()
        finally:
            self.fleet.close()
            self.patch.undo()

    def recovers(self):
        """Check that requests within the rate are admitted after faults."""
        fleet = self.fleet
        self.heal()
        fleet.assign(fleet.nodes[0])
        fleet.learn()
        fleet.run_for(START_DELAY_MS + 4_000)
        fleet.learn()
        for node in fleet.nodes:
            job = fleet.take(node, 500)
            fleet.run_for(1_000)
            assert job.value is True
        self.no_window_is_above_rate_and_burst()
        errors = [job.exception for job in fleet.jobs if job.exception]
        assert errors == []


TestBudgetFuzz = BudgetFuzz.TestCase
TestBudgetFuzz.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    phases=PHASES,
    suppress_health_check=list(HealthCheck),
)
