"""
damasklanding.rollout
~~~~~~~~~~~~~~~~~~~~~

Waits until a revision is in force on every registered node and control
host, and names those that lag.
"""

import time

import msgspec

from damasklanding.adminclient import answered
from damasklanding.adminclient import path_of
from damasklanding.clock import monotonic_ms
from damasklanding.errors import NotInForce

__all__ = ['RolloutStatus', 'check_in_force', 'wait_in_force']

POLL_MS = 100


class RolloutStatus(msgspec.Struct):
    """
    Where a revision stands.

    :ivar nodes: number of nodes where it is in force.
    :ivar lagging: names of nodes and control hosts where it is not.
    :ivar unreachable: addresses of control hosts that did not answer.
    """

    revision: int
    nodes: int
    lagging: list[str]
    unreachable: list[str]
    waited_ms: int = 0


def check_in_force(client, revision):
    """
    Ask every control host once.

    A node that shares its process with a control host needs no watch; it is
    where that control host is.

    :param client: :class:`damasklanding.adminclient.AdminClient`.
    :raises DamasklandingError: where no control host answered.
    """
    replies = client.call_each(path_of('watchers', revision=revision))
    good = answered(replies)
    here = [reply for reply in good if reply.body['revision'] >= revision]
    behind = [
        f'control host {reply.body["name"]}'
        for reply in good
        if reply not in here
    ]
    present = _instances_in_force(good, revision)
    shared = {reply.body['name'] for reply in here}
    registered = _registered(client)
    lagging = sorted(
        name
        for name, instance in registered
        if (name, instance) not in present and name not in shared
    )
    return RolloutStatus(
        revision,
        len(registered) - len(lagging),
        lagging + behind,
        [reply.address for reply in replies if reply.error is not None],
    )


def _instances_in_force(replies, revision):
    return {
        (watcher['name'], watcher['instance'])
        for reply in replies
        for watcher in reply.body['items']
        if watcher['revision'] >= revision
    }


def _registered(client):
    backends = client.call('GET', path_of('backends'))['items']
    return [(item['name'], item['instance']) for item in backends]


def wait_in_force(client, revision, timeout_ms, now_ms=monotonic_ms):
    """
    Return the :class:`RolloutStatus` of a revision once nobody lags.

    :raises NotInForce: after the timeout; names those that lag.
    """
    start_ms = now_ms()
    while True:
        state = check_in_force(client, revision)
        state.waited_ms = int(now_ms() - start_ms)
        if not state.lagging:
            return state
        if state.waited_ms >= timeout_ms:
            raise NotInForce(
                f'revision {revision} is not in force after '
                f'{state.waited_ms} ms on {", ".join(state.lagging)}'
            )
        time.sleep(POLL_MS / 1000)
