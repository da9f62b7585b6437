"""
damasklanding.policy.retry
~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether and when a failed attempt is tried again.  Retries are bounded three
ways: by an allowance that travels with the request, by a budget per node and
by the answer's own word that a retry elsewhere would not help.
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
#: Retries that requests leave to those of each higher importance: those may
#: come at any moment, and the budget of a busy node earns as many in 10 ms.
KEPT_RETRIES_PER_LEVEL = 2.0
MAX_REROUTES = 2  # attempts after refusals that cost no backend server


class AttemptOutcome(Enum):
    """Whether an attempt reached its backend server."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RetryDecision(Enum):
    """What to do after a failed attempt; all but RETRY name the reason."""

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
    :ivar retries_left: allowance of the whole chain after this attempt.
    :ivar may_retry: the answer's word; false stops all nodes above too.
    :ivar deadline_left_ms: time left now.
    :ivar expected_ms: usual time of an attempt.
    :ivar free_reroute: a proven ``not-run`` that only names another node,
        such as a draining one or a connection that could not be opened.
    :ivar reroutes: attempts already made after such refusals.
    :ivar importance: of the request.
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
    A node's bound on retries as a share of its calls.

    A small reserve lets a node retry before it has made many calls; it is
    earned back before the budget grows, so that after any number of calls
    the retries spent are at most ``max(reserve, ratio * calls)``.

    :param ratio: retries per call.
    :param reserve: retries available at the start.
    :param max_tokens: most that can be saved up.
    """

    def __init__(self, ratio=0.1, reserve=2, max_tokens=20):
        self.ratio = ratio
        self.max_tokens = max_tokens
        self._tokens = float(reserve)
        self._reserve_debt = float(reserve)

    @property
    def tokens(self):
        """Return the retries that could be spent now; never negative."""
        return self._tokens

    def note_call(self):
        """Count a first attempt, which earns a part of a retry."""
        if self._reserve_debt > 0:
            self._reserve_debt -= self.ratio
            return
        self._tokens = min(self.max_tokens, self._tokens + self.ratio)

    def try_spend(self, importance=MAX_IMPORTANCE):
        """
        Take one retry; return whether there was one.

        Less important requests leave a part of the budget to others: where
        most attempts fail, all of it goes to what matters most.
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


#: Checks that need no budget, in order.
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
    Decide about a failed attempt and spend the budget where it is retried.

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
    Return how long to wait before a retry, with full jitter.

    :param retry: 0 for the first retry.
    :param random: function that returns a float in [0, 1).
    :param retry_after_ms: delay that the refusal asked for; never undercut.
    """
    max_jitter_ms = min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2**retry)
    if retry_after_ms:
        return retry_after_ms + random() * max_jitter_ms
    return random() * max_jitter_ms
