"""
Discrete-event model of one backend server behind a limiter and a queue.
"""

from collections import deque
from dataclasses import dataclass
import heapq
import random

from damasklanding.policy.limiter import AdaptiveLimiter
from damasklanding.policy.queue import WaitQueue
from damasklanding.policy.types import AdmissionRequest
from damasklanding.policy.types import CallResult


@dataclass
class Job:
    request: AdmissionRequest
    arrived_ms: float
    service_ms: float
    started_ms: float = -1.0
    ended_ms: float = -1.0
    refused: bool = False
    over_bearable: bool = False
    result: object = None
    call: object = None
    ticket: object = None


class Model:
    """
    Slots, a queue behind them, a cold start whose overload slows answers.
    """

    def __init__(self, slots=20, spread=0.3, seed=1, sheds=False):
        self.now = 0.0
        self.random = random.Random(seed)
        self.slots = slots
        self.spread = spread
        self.sheds = sheds
        self.slow = 1.0
        self.cold_since = None
        self.warm_up_ms = 0.0
        self.cold_floor = 2
        self.busy = 0
        self.inside = deque()
        self.events = []
        self.count = 0
        self.limiter = AdaptiveLimiter(self.clock)
        self.queue = WaitQueue(self.clock)
        self.jobs = []
        self.trace = []

    def clock(self):
        return self.now

    def at(self, time_ms, action, *arguments):
        self.count += 1
        heapq.heappush(self.events, (time_ms, self.count, action, arguments))

    def run(self, until_ms):
        while self.events and self.events[0][0] <= until_ms:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = until_ms

    def fall_cold(self, warm_up_ms, floor=2):
        self.cold_since = self.now
        self.warm_up_ms = warm_up_ms
        self.cold_floor = floor

    def bearable(self):
        if self.cold_since is None:
            return self.slots
        share = (self.now - self.cold_since) / self.warm_up_ms
        if share >= 1.0:
            self.cold_since = None
            return self.slots
        return max(self.cold_floor, int(self.slots * share))

    def load(self, rate_per_s, from_ms, until_ms, make_work, service_ms=20.0):
        time_ms = from_ms
        while True:
            time_ms += self.random.expovariate(rate_per_s / 1000.0)
            if time_ms >= until_ms:
                return
            job = Job(make_work(time_ms), time_ms, service_ms)
            self.at(time_ms, self.arrive, job)

    # The node.

    def arrive(self, job):
        self.jobs.append(job)
        if not len(self.queue) and self.limiter.has_capacity():
            self.start(job)
            return
        leave_at = min(
            job.request.deadline_at_ms - job.service_ms,
            self.now + job.request.longest_wait_ms,
        )
        job.ticket = self.queue.offer(job.request, leave_at, job)
        if job.ticket is None:
            job.refused = True
            return
        self.at(leave_at, self.leave, job)
        self.dispatch()

    def leave(self, job):
        if job.ticket.waiting:
            self.queue.remove(job.ticket)
            job.refused = True

    def dispatch(self):
        while len(self.queue) and self.limiter.has_capacity():
            ticket = self.queue.take()
            if ticket is None:
                break
            self.start(ticket.context)
        pause_ms = self.limiter.pause_ms()
        if len(self.queue) and pause_ms and not self.limiter.running:
            self.at(self.now + pause_ms, self.dispatch)

    def start(self, job):
        job.started_ms = self.now
        job.call = self.limiter.begin(job.request.profile)
        load = self.busy + len(self.inside)
        job.over_bearable = (
            self.cold_since is not None and load + 1 > self.bearable()
        )
        self.trace.append((self.now, load + 1, self.bearable()))
        if self.busy < self.slots:
            self.serve(job)
        elif self.sheds:
            self.at(self.now + 1.0, self.end, job, CallResult.SHED)
        else:
            self.inside.append(job)

    # The backend server.

    def serve(self, job):
        self.busy += 1
        strain = max(1.0, self.busy / max(1, self.bearable())) ** 2
        factor = self.random.lognormvariate(0, self.spread)
        time_ms = job.service_ms * self.slow * factor * strain
        left_ms = job.request.deadline_at_ms - self.now
        if time_ms > left_ms:
            self.at(self.now + left_ms, self.served, job, CallResult.TIMEOUT)
        else:
            self.at(self.now + time_ms, self.served, job, CallResult.OK)

    def served(self, job, result):
        self.busy -= 1
        if self.inside:
            self.serve(self.inside.popleft())
        self.end(job, result)

    def end(self, job, result):
        job.ended_ms = self.now
        job.result = result
        self.limiter.end(job.call, result, self.now - job.started_ms)
        self.dispatch()


def admission_request(time_ms, **fields):
    values = {
        'organisation': 'a',
        'importance': 1,
        'weight': 1,
        'deadline_at_ms': time_ms + 2_000,
        'longest_wait_ms': 500,
        'profile': 'p',
    }
    values.update(fields)
    return AdmissionRequest(**values)
