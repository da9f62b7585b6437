"""
damasklanding.control.orders
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Orders of operators.  A caller without an answer sends its order again to
another control host and then goes on with the next one.  A host that got the
first copy and was frozen, cut off or without a leader must not carry it out
after that.
"""

import os

import gevent
import msgspec

from damasklanding.errors import DamasklandingError
from damasklanding.errors import NotAwaited
from damasklanding.errors import Unavailable

__all__ = ['always_awaited', 'place_order', 'require_awaited']

PROOF_RETRY_MS = 20


def always_awaited():
    """Return True, for a command that is not given up."""
    return True


def require_awaited(is_awaited):
    """
    Check that the sender of an order still waits for its answer.

    :raises NotAwaited: it does not; the order was not carried out.
    """
    if not is_awaited():
        raise NotAwaited('the sender of the order has given it up')


def place_order(host, envelope, target, is_awaited, timeout_ms):
    """
    Propose a command that carries no id and no precondition of its sender.

    The command names the revision that its target has once the sender is known
    to wait, so that it changes nothing after a later order.  If another change
    comes first while the sender still waits, it is proposed again.

    :param host: :class:`~damasklanding.control.host.ControlHost`.
    :param target: kind and name of the resource that the command changes.
    :param is_awaited: function that returns whether the sender still waits.
    :return: :class:`~damasklanding.fleet.commands.Outcome`.
    :raises NotAwaited: the sender has given up.
    :raises Unavailable: the outcome is unknown, or no leader was found.
    """
    deadline_ms = host.now_ms() + timeout_ms
    while True:
        _require_current(host, is_awaited, deadline_ms)
        require_awaited(is_awaited)
        known = host.view.state.get(*target)
        outcome = host.propose(
            msgspec.structs.replace(
                envelope,
                request_id=f'{envelope.operator}-{os.urandom(8).hex()}',
                expected_revision=known.revision if known is not None else 0,
            ),
            deadline_ms - host.now_ms(),
            is_awaited,
        )
        if outcome.error != 'conflict':
            return outcome


def _require_current(host, is_awaited, deadline_ms):
    """
    Wait until the state of a host is proved to be as of now.

    :raises Unavailable: no leader proved it in time.
    """
    since_ms = host.now_ms()
    while host.now_ms() - host.view.age_ms() < since_ms:
        require_awaited(is_awaited)
        if host.now_ms() >= deadline_ms:
            raise Unavailable(
                'no leader has confirmed the state of this host',
                'send the same request again',
            )
        try:
            host.leases.confirm_now()
        except DamasklandingError:
            pass
        gevent.sleep(PROOF_RETRY_MS / 1000)
