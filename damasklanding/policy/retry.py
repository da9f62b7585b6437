"""
damasklanding.policy.retry
~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether and when a failed attempt is retried.  Three things bound the
retries: an allowance that is passed along with the request, a budget for each
node, and a flag of the answer which says that a retry would not help.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    'FailedAttempt',
    'AttemptOutcome',
    'RetryBudget',
    'RetryDecision',
    'backoff_ms',
    'decide_retry',
]

BASE_BACKOFF_MS = 10
MAX_BACKOFF_MS = 1_000
MAX_IMPORTANCE = 3
#: Retries that a request leaves in the budget for each higher importance
#: level.  More important requests may arrive at any moment, and the budget of
#: a busy node regains this number within 10 ms.
KEPT_RETRIES_PER_LEVEL = 2.0
#: Attempts after refusals that caused no load on a backend server; these do
#: not use up the allowance or the budget.
MAX_REROUTES = 2


class AttemptOutcome(Enum):
    """Whether the backend server ran the request of an attempt."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RetryDecision(Enum):
    """Decision about a failed attempt; all but RETRY name a reason to stop."""

    RETRY = 'retry'
    ANSWERED = 'answered'
    NOT_IDEMPOTENT = 'not-idempotent'
    NO_ALLOWANCE = 'no-allowance'
    NO_BUDGET = 'no-budget'
    NO_TIME = 'no-time'
    TOLD_NOT_TO = 'told-not-to'


@dataclass(slots=True)
class FailedAttempt:
    """
    A failed attempt, as seen by the node that made it.

    :ivar outcome: :class:`AttemptOutcome`.
    :ivar idempotent: whether the request may run more than once.
    :ivar retries_left: allowance that the whole call chain has left after
        this attempt.
    :ivar may_retry: whether the answer permits a retry; if false, upstream
        nodes do not retry either.
    :ivar deadline_left_ms: time left before the deadline.
    :ivar expected_ms: expected time of an attempt.
    :ivar free_reroute: whether the request certainly did not run and another
        node may serve it, because this node is draining or no connection
        could be opened.
    :ivar reroutes: attempts already made after such refusals.
    :ivar importance: importance of the request.
    """

    outcome: AttemptOutcome
    idempotent: bool
    retries_left: int
    may_retry: bool = True
    deadline_left_ms: float = float('inf')
    expected_ms: float = 0.0
    free_reroute: bool = False
    reroutes: int = 0
    importance: int = MAX_IMPORTANCE


class RetryBudget:
    """
    Bounds the retries of a node to a ratio of its calls.

    A small reserve lets a node retry before it has made many calls.  The
    first calls pay back the reserve before the budget grows.  After any
    number of calls, the retries spent are thus at most
    ``max(reserve, ratio * calls)``.

    :param ratio: retries earned per call.
    :param reserve: retries available at the start.
    :param max_tokens: maximum number of retries that can be accumulated.
    """

    def __init__(self, ratio=0.1, reserve=2, max_tokens=20):
        self.ratio = ratio
        self.max_tokens = max_tokens
        self._tokens = float(reserve)
        self._reserve_debt = float(reserve)

    @property
    def tokens(self):
        """Return the number of retries available now, never negative."""
        return self._tokens

    def note_call(self):
        """Count the first attempt of a call, which earns ``ratio`` retries."""
        if self._reserve_debt > 0:
            self._reserve_debt -= self.ratio
            return
        self._tokens = min(self.max_tokens, self._tokens + self.ratio)

    def try_spend(self, importance=MAX_IMPORTANCE):
        """
        Take one retry from the budget; return whether one was available.

        Less important requests leave a part of the budget to more important
        ones.  When most attempts fail, the whole budget goes to the most
        important requests.
        """
        kept = KEPT_RETRIES_PER_LEVEL * (MAX_IMPORTANCE - importance)
        if self._tokens < 1.0 + kept:
            return False
        self._tokens -= 1.0
        return True


def _was_answered(attempt):
    return attempt.outcome is AttemptOutcome.RAN and not attempt.may_retry


def _is_safe_to_repeat(attempt):
    return attempt.idempotent or attempt.outcome is AttemptOutcome.NOT_RUN


#: Reasons against a retry that do not depend on the allowance or the budget,
#: in the order of their checks.
_CHECKS = (
    (RetryDecision.ANSWERED, _was_answered),
    (
        RetryDecision.NOT_IDEMPOTENT,
        lambda attempt: not _is_safe_to_repeat(attempt),
    ),
    (RetryDecision.TOLD_NOT_TO, lambda attempt: not attempt.may_retry),
    (
        RetryDecision.NO_TIME,
        lambda attempt: attempt.deadline_left_ms <= attempt.expected_ms,
    ),
)


def decide_retry(attempt, budget):
    """
    Decide whether to retry a failed attempt, and take the retry from the
    budget if so.

    :param attempt: :class:`FailedAttempt`.
    :param budget: :class:`RetryBudget` of this node.
    :return: :class:`RetryDecision`.
    """
    for verdict, applies in _CHECKS:
        if applies(attempt):
            return verdict
    if attempt.free_reroute and attempt.reroutes < MAX_REROUTES:
        return RetryDecision.RETRY
    if attempt.retries_left <= 0:
        return RetryDecision.NO_ALLOWANCE
    if not budget.try_spend(attempt.importance):
        return RetryDecision.NO_BUDGET
    return RetryDecision.RETRY


def backoff_ms(retry, random, retry_after_ms=0):
    """
    Return the milliseconds to wait before a retry, with full jitter.

    :param retry: number of the retry, 0 for the first.
    :param random: function that returns a float in [0, 1).
    :param retry_after_ms: delay that the refusal asked for; the result is
        never shorter.
    """
    max_jitter_ms = min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2**retry)
    if retry_after_ms:
        return retry_after_ms + random() * max_jitter_ms
    return random() * max_jitter_ms
