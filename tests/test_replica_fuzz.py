import os
import shutil
import tempfile

import gevent
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from loguru import logger
from replica_net import ReplicaNetwork

EXAMPLES = int(os.environ.get('DAMASKLANDING_FUZZ_EXAMPLES', '4'))
STEPS = int(os.environ.get('DAMASKLANDING_FUZZ_STEPS', '25'))

hosts = st.sampled_from(['a', 'b', 'c'])


class LogUnderFaults(RuleBasedStateMachine):
    """
    Kills, isolates, wipes and delays three replicas while proposals run.

    At most one data folder at a time is lost and not yet readmitted, since
    three replicas tolerate the loss of one.
    """

    def __init__(self):
        super().__init__()
        logger.disable('damasklanding')
        self.folder = tempfile.mkdtemp(prefix='control-fuzz-')
        self.net = ReplicaNetwork(self.folder)
        self.wiped = False
        self.count = 0
        self.jobs = []

    def payloads(self, number):
        for _ in range(number):
            self.count += 1
            yield b'%d' % self.count

    @rule(host=hosts, number=st.integers(1, 8))
    def propose(self, host, number):
        self.jobs += [
            gevent.spawn(self.net.propose, host, payload, 300)
            for payload in self.payloads(number)
        ]

    @rule(number=st.integers(1, 20))
    def propose_and_wait(self, number):
        for payload in self.payloads(number):
            hosts = sorted(self.net.replicas)
            if not any(self.net.propose(h, payload, 100) for h in hosts):
                break

    @rule(wait_ms=st.integers(0, 150))
    def pass_time(self, wait_ms):
        gevent.sleep(wait_ms / 1000)

    @rule(host=hosts)
    def kill(self, host):
        if host in self.net.replicas:
            self.net.kill(host)

    @rule(host=hosts)
    def start(self, host):
        if host not in self.net.replicas:
            self.net.start(host)

    @precondition(lambda self: not self.wiped)
    @rule(host=hosts)
    def wipe(self, host):
        self.wiped = True
        self.net.wipe(host)
        self.net.start(host)

    @precondition(lambda self: self.wiped)
    @rule()
    def repair(self):
        with gevent.Timeout(1.5, False):
            self.net.heal()
            while not self.net.all_admitted():
                gevent.sleep(0.005)
        self.wiped = not self.net.all_admitted()

    @rule(host=hosts)
    def cut(self, host):
        self.net.isolated_hosts.add(host)

    @rule()
    def cut_the_leader(self):
        for replica in self.net.replicas.values():
            if replica.leadership is not None:
                self.net.isolated_hosts.add(replica.name)

    @rule(host=hosts)
    def join(self, host):
        self.net.isolated_hosts.discard(host)

    @rule(slow_ms=st.sampled_from([0, 5, 40]), repeats=st.booleans())
    def disturb(self, slow_ms, repeats):
        self.net.max_delay_ms = slow_ms
        self.net.duplicate_messages = repeats

    @rule()
    def heal(self):
        self.net.heal()

    @invariant()
    def agrees(self):
        self.net.check()

    def teardown(self):
        try:
            gevent.joinall(self.jobs)
            self.net.converge()
            self.net.check_converged()
        finally:
            self.net.close()
            shutil.rmtree(self.folder, ignore_errors=True)
            logger.enable('damasklanding')


LogUnderFaults.TestCase.settings = settings(
    derandomize='DAMASKLANDING_FUZZ_EXAMPLES' not in os.environ,
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
    database=None,
    phases=[Phase.generate],  # shrinking fails, as examples depend on timing
)
TestLogUnderFaults = LogUnderFaults.TestCase
