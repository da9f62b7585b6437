from dataclasses import dataclass
from heapq import heappop
from heapq import heappush
import random

from backend_model import admission_request
import pytest

from damasklanding.errors import Overloaded
from damasklanding.policy.queue import WaitQueue
from damasklanding.policy.throttle import CHAIN_THROTTLE_SETTINGS
from damasklanding.policy.throttle import AdaptiveThrottle

NODES = 15
ORGANISATIONS = 8
SLOTS = 40
SERVICE_MS = 45.0
CALLS = 4  # that a chain makes to the server, one after the other
CHAIN_MS = 700.0
WARM_UP_MS = 5_000.0
END_MS = 25_000.0


class ChainModel:
    """
    Chains of calls from throttled entry nodes to one backend server.

    :param load: demand, relative to what the server can answer.
    :param says_answered: whether a call tells how many earlier ones of its
        chain were answered.
    :ivar whole: number of chains of which every call was answered in time.
    :ivar asked: number of chains that callers asked for.
    """

    def __init__(self, load, says_answered):
        self.now_ms = 0.0
        self.whole = 0
        self.asked = 0
        self._says_answered = says_answered
        self._random = random.Random(1)
        self._rate_per_ms = load * SLOTS / SERVICE_MS / CALLS
        self._queue = WaitQueue(lambda: self.now_ms)
        self._throttles = [
            AdaptiveThrottle(
                lambda: self.now_ms,
                self._random.random,
                CHAIN_THROTTLE_SETTINGS,
            )
            for _ in range(NODES)
        ]
        self._running = 0
        self._events = []

    def run(self):
        """Return the share of the chains that became whole."""
        self._at(0.0, self._arrive)
        while self._events[0][0] < END_MS:
            self.now_ms, _, function, arguments = heappop(self._events)
            function(*arguments)
        return self.whole / self.asked

    def _at(self, at_ms, function, *arguments):
        tie = self._random.random()
        heappush(self._events, (at_ms, tie, function, arguments))

    def _arrive(self):
        gap_ms = self._random.expovariate(self._rate_per_ms)
        self._at(self.now_ms + gap_ms, self._arrive)
        self.asked += self.now_ms > WARM_UP_MS
        chain = _Chain(
            self._random.choice(self._throttles),
            f'o{self._random.randrange(ORGANISATIONS)}',
            self.now_ms + CHAIN_MS,
        )
        try:
            chain.throttle.check('s', 'p', 1)
        except Overloaded:
            return
        work_before_ms = self._random.uniform(60, 180)
        self._at(self.now_ms + work_before_ms, self._call, chain)

    def _call(self, chain):
        answered = chain.answered if self._says_answered else 0
        work = admission_request(
            self.now_ms,
            organisation=chain.organisation,
            discipline='adaptive',
            answered_before=answered,
        )
        leave_at_ms = chain.deadline_ms - SERVICE_MS
        ticket = self._queue.offer(work, leave_at_ms, chain)
        self._at(leave_at_ms, self._expire, ticket)
        self._dispatch()

    def _expire(self, ticket):
        if ticket.waiting:
            self._queue.remove(ticket)
            self._end_chain(ticket.context, False)

    def _dispatch(self):
        while self._running < SLOTS:
            ticket = self._queue.take()
            if ticket is None:
                return
            self._running += 1
            service_ms = SERVICE_MS * self._random.uniform(0.5, 1.5)
            at_ms = self.now_ms + service_ms
            self._at(at_ms, self._end_call, ticket.context)

    def _end_call(self, chain):
        self._running -= 1
        chain.answered += 1
        if self.now_ms > chain.deadline_ms:
            self._end_chain(chain, False)
        elif chain.answered == CALLS:
            self._end_chain(chain, True)
        else:
            self._call(chain)
        self._dispatch()

    def _end_chain(self, chain, is_whole):
        chain.throttle.note('s', 'p', 1, not is_whole)
        self.whole += is_whole and self.now_ms > WARM_UP_MS


@dataclass
class _Chain:
    throttle: AdaptiveThrottle
    organisation: str
    deadline_ms: float
    answered: int = 0


@pytest.mark.parametrize('load', [1.3, 2.0])
def test_chains_that_have_had_answers_are_finished_first_under_overload(load):
    newest_first = ChainModel(load, says_answered=False).run()
    most_answered = ChainModel(load, says_answered=True).run()
    assert most_answered > 1.1 * newest_first


def test_order_makes_no_difference_without_an_overload():
    newest_first = ChainModel(0.7, says_answered=False).run()
    assert ChainModel(0.7, says_answered=True).run() >= 0.99 * newest_first
