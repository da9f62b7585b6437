import os

import gevent
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import rule

from damasklanding.claims.client import ClaimClient
from damasklanding.claims.commands import Expire
from damasklanding.claims.commands import decode_reply
from damasklanding.claims.commands import encode
from damasklanding.claims.state_machine import ClaimStateMachine
from damasklanding.errors import DamasklandingError
from damasklanding.errors import Unavailable
from damasklanding.messages import LogEntry
from damasklanding.metrics import Metrics
from tests.virtual_time import VirtualTime

EXAMPLES = int(os.environ.get('DAMASKLANDING_FUZZ_EXAMPLES', '30'))
RETENTION_MS = 60_000
NODES = 3
KEYS = st.sampled_from(['k1', 'k2'])
FAULTS = st.sampled_from(
    ['lost', 'answer lost', 'delayed', 'twice', 'slow', 'copied later']
)
ENDS = st.sampled_from(['ran', 'ran', 'not-run', 'unknown', 'crash'])


class ClaimsFuzz(RuleBasedStateMachine):
    """Checks that no key runs twice when the network is faulty."""

    def __init__(self):
        super().__init__()
        self.time = VirtualTime()
        self.machine = ClaimStateMachine()
        self.index = 0
        self.faults = []
        self.delayed = []
        self.runs = {'k1': [], 'k2': []}
        self.answers = {}
        self.jobs = []
        self.clients = [
            ClaimClient(
                self,
                self.time,
                Metrics(),
                spawn=self.spawn,
                sleep=self.time.sleep,
            )
            for _ in range(NODES)
        ]

    def spawn(self, function, *args):
        job = gevent.spawn(function, *args)
        self.jobs.append(job)
        return job

    def propose(self, _group, payload, timeout_ms):
        fault = self.faults.pop() if self.faults else ''
        self.time.sleep(0.001)
        if fault in ('delayed', 'copied later'):
            self.delayed.append(payload)
        if fault in ('lost', 'delayed'):
            self.time.sleep(timeout_ms / 1000)
            raise Unavailable('no quorum')
        outcome = self.apply(payload)
        if fault == 'twice':
            assert decode_reply(self.apply(payload)) is not None
        if fault == 'slow':
            self.time.sleep(timeout_ms * 0.9 / 1000)
        if fault == 'answer lost':
            raise Unavailable('no answer')
        return outcome

    def apply(self, payload):
        self.index += 1
        return self.machine.apply(LogEntry(1, self.index, 'command', payload))

    @rule(
        node=st.integers(0, NODES - 1),
        key=KEYS,
        wait_ms=st.sampled_from([0, 500, 3_000]),
        pause_ms=st.sampled_from([0, 0, 1_000, 70_000]),
        work_ms=st.sampled_from([0, 10, 2_000]),
        end=ENDS,
    )
    def request(self, **call):
        self.spawn(lambda: self.serve(**call))
        self.time.run_for(0)

    def serve(self, node, key, wait_ms, pause_ms, work_ms, end):
        """Handle one request as an entry node does."""
        client = self.clients[node]
        sent_ms = self.time()
        try:
            reply = client.claim('acme', key, b'f', RETENTION_MS, wait_ms)
        except DamasklandingError as error:
            assert error.outcome == 'not-run'
            return
        if reply.verdict != 'granted':
            self.check_kept(reply)
            return
        self.time.sleep(pause_ms / 1000)
        if self.time() >= reply.valid_until_ms:
            return
        attempt = reply.attempt
        if end != 'not-run':
            self.run(key, sent_ms, attempt)
        self.time.sleep(work_ms / 1000)
        if end != 'crash':
            client.settle('acme', key, attempt, end, 201, (), attempt)

    def run(self, key, sent_ms, attempt):
        now_ms = self.time()
        for earlier_ms in self.runs[key]:
            assert now_ms - earlier_ms >= RETENTION_MS, 'ran twice'
        self.runs[key].append(sent_ms)
        self.answers[attempt] = key

    def check_kept(self, reply):
        assert reply.verdict in ('running', 'settled')
        if reply.kept:
            assert reply.outcome == 'ran'
            assert reply.body == reply.attempt
            assert reply.body in self.answers

    @rule(faults=st.lists(FAULTS, max_size=5))
    def disturb(self, faults):
        self.faults = faults

    @rule(duration_ms=st.sampled_from([1, 30, 700, 5_000]))
    def wait(self, duration_ms):
        self.time.run_for(duration_ms)

    @rule(
        seconds=st.integers(1, 50),
        ticker=st.sampled_from(['a', 'a', 'a', 'b']),
    )
    def tick(self, seconds, ticker):
        self.time.run_for(seconds * 1_000)
        self.apply(encode(Expire(ticker=ticker, total_ms=int(self.time()))))

    @rule(turn=st.integers(0, 9))
    def deliver_late(self, turn):
        if self.delayed:
            self.apply(self.delayed.pop(turn % len(self.delayed)))

    @rule()
    def replace_machine(self):
        machine = ClaimStateMachine()
        machine.restore(self.machine.snapshot())
        assert machine.snapshot() == self.machine.snapshot()
        self.machine = machine

    def teardown(self):
        """Check that without faults no claim outlasts its retention."""
        self.faults = []
        self.time.run_for(80_000)
        self.apply(encode(Expire(ticker='z', total_ms=0)))
        self.time.run_for(130_000)
        self.apply(encode(Expire(ticker='z', total_ms=130_000)))
        assert len(self.machine) == self.machine.answer_bytes == 0
        errors = [job.exception for job in self.jobs if job.exception]
        gevent.killall(self.jobs)
        assert errors == []


TestClaimsFuzz = ClaimsFuzz.TestCase
TestClaimsFuzz.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
