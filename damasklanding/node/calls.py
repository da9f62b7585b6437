"""
damasklanding.node.calls
~~~~~~~~~~~~~~~~~~~~~~~~

A call on its way to a backend server, and the table of calls that run at
the backend server beside this node.
"""

from dataclasses import dataclass
import os

import gevent

from damasklanding.errors import Forbidden

__all__ = [
    'RetryAllowance',
    'Call',
    'CallTable',
    'ParentEnded',
    'RunningCall',
    'random_token',
]

TOKEN_BYTES = 12


class ParentEnded(gevent.GreenletExit):
    """Raised in an onward call whose parent was cancelled or has ended."""


class RetryAllowance:
    """
    Retries that a call chain may still spend.

    An attempt takes its part of the allowance along and brings the rest
    back, so that attempts at the same time never spend one retry twice.  Of
    two or more, one stays: the part that was lent is lost with a connection
    that breaks.
    """

    __slots__ = ('left',)

    def __init__(self, left):
        self.left = left

    def lend(self):
        """Give all of it to an attempt, or all but one of several."""
        kept = 1 if self.left > 1 else 0
        lent = self.left - kept
        self.left = kept
        return lent

    def give_back(self, rest, lent):
        """Take back what an attempt left of what was lent to it."""
        self.left += max(0, min(rest, lent))

    def spend(self):
        """Take one retry; return whether there was one."""
        if self.left < 1:
            return False
        self.left -= 1
        return True


@dataclass(slots=True)
class Call:
    """
    A request within the fleet.

    :ivar headers: end-to-end headers, names and values alternating.
    :ivar deadline_at_ms: on the local monotonic clock.
    :ivar allowance: :class:`RetryAllowance`, shared along the chain.
    :ivar body: :class:`~damasklanding.node.bodies.Body`.
    :ivar maybe_sent: whether the present attempt may have given the request to
        a backend server.
    :ivar resent_at_ms: time at which it was sent again on a fresh connection.
    :ivar maybe_ran: whether an earlier attempt may have.
    :ivar claimed: whether an idempotency key ties resends to it.
    :ivar exchange: open exchange with the node that serves it.
    :ivar before_send: called just before the request is handed over; raises
        where it must not run any more.
    """

    request_id: str
    service: str
    profile: str
    organisation: str
    importance: int
    deadline_at_ms: float
    allowance: RetryAllowance
    depth: int
    method: str
    target: str
    headers: list
    body: object
    idempotent: bool
    attempt: int = 0
    maybe_sent: bool = False
    resent_at_ms: float | None = None
    maybe_ran: bool = False
    claimed: bool = False
    before_send: object = None
    exchange: object = None

    def certainly_not_run(self):
        """Return whether provably no attempt has reached its goal."""
        return not self.maybe_sent and not self.maybe_ran


class RunningCall:
    """
    A call that runs at the backend server beside this node.

    :ivar call: :class:`Call`.
    :ivar token: context token that the backend server repeats.
    :ivar slot: the gate's slot.
    :ivar may_retry: false once an onward call said that no retry helps.
    :ivar failed_onward: digests of onward calls that have failed.
    """

    __slots__ = (
        'call',
        'children',
        'failed_onward',
        'had_onward_failure',
        'may_retry',
        'slot',
        'token',
    )

    def __init__(self, call, token, slot):
        self.call = call
        self.token = token
        self.slot = slot
        self.children = set()
        self.failed_onward = set()
        self.had_onward_failure = False
        self.may_retry = True

    def record_failure(self, digest, may_retry):
        """Note an onward call that failed."""
        self.failed_onward.add(digest)
        self.had_onward_failure = True
        self.may_retry = self.may_retry and may_retry


def random_token():
    """Return a context token that no one can guess."""
    return os.urandom(TOKEN_BYTES).hex()


class CallTable:
    """
    Running calls by context token.

    :param new_token: function that returns a token for each call.
    """

    def __init__(self, new_token=random_token):
        self._running = {}
        self._by_request = {}
        self._new_token = new_token

    def __len__(self):
        return len(self._running)

    def add(self, call, slot):
        """Enter a call that is about to run; :meth:`remove` ends it."""
        token = self._new_token()
        running = RunningCall(call, token, slot)
        self._running[token] = running
        self._by_request[call.request_id] = running
        return running

    def remove(self, running):
        """Take a call off and cancel its onward calls that are still open."""
        self._running.pop(running.token, None)
        request_id = running.call.request_id
        if self._by_request.get(request_id) is running:
            del self._by_request[request_id]
        for greenlet in running.children:
            greenlet.kill(ParentEnded, block=False)

    def parent_of(self, request_id):
        """
        Return the running call that a request was made by, None if unknown.

        :param request_id: begins with that of the running call and a dot
            where the backend server names its calls so.
        """
        parent_id, _, own = request_id.rpartition('.')
        return self._by_request.get(parent_id) if own else None

    def find(self, token):
        """
        Return the running call with a context token.

        :raises Forbidden: no such call runs here now.
        """
        running = self._running.get(token)
        if running is None:
            error = Forbidden(
                'the context names no call that runs here',
                'repeat the context header of the request being served',
            )
            error.outcome = 'not-run'
            raise error
        return running
