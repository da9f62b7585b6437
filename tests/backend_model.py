"""
Discrete-event simulation of one backend server behind a limiter and a queue.
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
    """
    A simulated call.

    :ivar service_ms: median service time without overload.
    :ivar refused: whether it got no place in the queue or no slot in time.
    :ivar over_capacity: whether it started above the capacity of a cold
        backend server.
    """

    request: AdmissionRequest
    arrived_ms: float
    service_ms: float
    started_ms: float = -1.0
    ended_ms: float = -1.0
    refused: bool = False
    over_capacity: bool = False
    result: object = None
    call: object = None
    ticket: object = None


class Model:
    """
    Simulated node and backend server.

    The backend server has a fixed number of slots.  During a cold start its
    capacity rises linearly from ``cold_min_capacity`` to the slots, and load
    above the capacity slows down the answers.

    :param log_stddev: standard deviation of the logarithm of service times.
    :param sheds: whether calls above the slots are shed; otherwise they wait
        in a backlog of the backend server.
    :ivar slowdown_factor: factor for all service times.
    :ivar starts: tuples of the time, load and capacity at each start.
    """

    def __init__(self, slots=20, log_stddev=0.3, seed=1, sheds=False):
        self.now_ms = 0.0
        self.random = random.Random(seed)
        self.slots = slots
        self.log_stddev = log_stddev
        self.sheds = sheds
        self.slowdown_factor = 1.0
        self.cold_since_ms = None
        self.warm_up_ms = 0.0
        self.cold_min_capacity = 2
        self.busy_slots = 0
        self.backlog = deque()
        self.timers = []
        self.sequence = 0
        self.limiter = AdaptiveLimiter(self.clock)
        self.queue = WaitQueue(self.clock)
        self.jobs = []
        self.starts = []

    def clock(self):
        return self.now_ms

    def at(self, time_ms, action, *arguments):
        self.sequence += 1
        heapq.heappush(
            self.timers, (time_ms, self.sequence, action, arguments)
        )

    def run(self, until_ms):
        while self.timers and self.timers[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.timers)
            action(*arguments)
        self.now_ms = until_ms

    def restart_cold(self, warm_up_ms, min_capacity=2):
        self.cold_since_ms = self.now_ms
        self.warm_up_ms = warm_up_ms
        self.cold_min_capacity = min_capacity

    def current_capacity(self):
        if self.cold_since_ms is None:
            return self.slots
        warm_ratio = (self.now_ms - self.cold_since_ms) / self.warm_up_ms
        if warm_ratio >= 1.0:
            self.cold_since_ms = None
            return self.slots
        return max(self.cold_min_capacity, int(self.slots * warm_ratio))

    def load(
        self, rate_per_s, from_ms, until_ms, make_request, service_ms=20.0
    ):
        time_ms = from_ms
        while True:
            time_ms += self.random.expovariate(rate_per_s / 1000.0)
            if time_ms >= until_ms:
                return
            job = Job(make_request(time_ms), time_ms, service_ms)
            self.at(time_ms, self.arrive, job)

    # Node side.

    def arrive(self, job):
        self.jobs.append(job)
        if not len(self.queue) and self.limiter.has_capacity():
            self.start(job)
            return
        leave_at_ms = min(
            job.request.deadline_at_ms - job.service_ms,
            self.now_ms + job.request.longest_wait_ms,
        )
        job.ticket = self.queue.offer(job.request, leave_at_ms, job)
        if job.ticket is None:
            job.refused = True
            return
        self.at(leave_at_ms, self.leave, job)
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
            self.at(self.now_ms + pause_ms, self.dispatch)

    def start(self, job):
        job.started_ms = self.now_ms
        job.call = self.limiter.begin(job.request.profile)
        load = self.busy_slots + len(self.backlog)
        job.over_capacity = (
            self.cold_since_ms is not None
            and load + 1 > self.current_capacity()
        )
        self.starts.append((self.now_ms, load + 1, self.current_capacity()))
        if self.busy_slots < self.slots:
            self.serve(job)
        elif self.sheds:
            self.at(self.now_ms + 1.0, self.end, job, CallResult.SHED)
        else:
            self.backlog.append(job)

    # Backend server side.

    def serve(self, job):
        self.busy_slots += 1
        overload_factor = (
            max(1.0, self.busy_slots / max(1, self.current_capacity())) ** 2
        )
        factor = self.random.lognormvariate(0, self.log_stddev)
        time_ms = (
            job.service_ms * self.slowdown_factor * factor * overload_factor
        )
        left_ms = job.request.deadline_at_ms - self.now_ms
        if time_ms > left_ms:
            self.at(
                self.now_ms + left_ms, self.served, job, CallResult.TIMEOUT
            )
        else:
            self.at(self.now_ms + time_ms, self.served, job, CallResult.OK)

    def served(self, job, result):
        self.busy_slots -= 1
        if self.backlog:
            self.serve(self.backlog.popleft())
        self.end(job, result)

    def end(self, job, result):
        job.ended_ms = self.now_ms
        job.result = result
        self.limiter.end(job.call, result, self.now_ms - job.started_ms)
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
