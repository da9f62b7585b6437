"""
damasklanding.rollout
~~~~~~~~~~~~~~~~~~~~~

Waits until a revision of the configuration is in force on all registered
nodes and control hosts, and names those that lag behind.
"""

import time

import msgspec

from damasklanding.adminclient import api_path
from damasklanding.adminclient import successful_replies
from damasklanding.clock import monotonic_ms
from damasklanding.errors import NotInForce

__all__ = ['RolloutStatus', 'check_in_force', 'wait_in_force']

POLL_INTERVAL_MS = 100


class RolloutStatus(msgspec.Struct):
    """
    How far a revision has been rolled out.

    :ivar nodes: number of nodes on which it is in force.
    :ivar lagging: names of nodes and control hosts on which it is not.
    :ivar unreachable: addresses of control hosts that did not answer.
    :ivar waited_ms: time spent waiting for it so far.
    """

    revision: int
    nodes: int
    lagging: list[str]
    unreachable: list[str]
    waited_ms: int = 0


def check_in_force(client, revision):
    """
    Ask every control host once for the :class:`RolloutStatus` of a revision.

    A node in the same process as a control host does not watch the
    configuration; it has the revision of that control host.

    :param client: :class:`damasklanding.adminclient.AdminClient`.
    :raises DamasklandingError: no control host answered.
    """
    replies = client.call_all(api_path('watchers', revision=revision))
    successful = successful_replies(replies)
    up_to_date = [
        reply for reply in successful if reply.body['revision'] >= revision
    ]
    lagging_hosts = [
        f'control host {reply.body["name"]}'
        for reply in successful
        if reply not in up_to_date
    ]
    instances = _instances_in_force(successful, revision)
    current_hosts = {reply.body['name'] for reply in up_to_date}
    registered = _registered_instances(client)
    lagging = sorted(
        name
        for name, instance in registered
        if (name, instance) not in instances and name not in current_hosts
    )
    return RolloutStatus(
        revision,
        len(registered) - len(lagging),
        lagging + lagging_hosts,
        [reply.address for reply in replies if reply.error is not None],
    )


def _instances_in_force(replies, revision):
    return {
        (watcher['name'], watcher['instance'])
        for reply in replies
        for watcher in reply.body['items']
        if watcher['revision'] >= revision
    }


def _registered_instances(client):
    backends = client.call('GET', api_path('backends'))['items']
    return [(item['name'], item['instance']) for item in backends]


def wait_in_force(client, revision, timeout_ms, now_ms=monotonic_ms):
    """
    Wait until a revision is in force and return its :class:`RolloutStatus`.

    :raises NotInForce: the timeout has passed; the message names the nodes and
        control hosts that lag behind.
    """
    start_ms = now_ms()
    while True:
        status = check_in_force(client, revision)
        status.waited_ms = int(now_ms() - start_ms)
        if not status.lagging:
            return status
        if status.waited_ms >= timeout_ms:
            raise NotInForce(
                f'revision {revision} is not in force after '
                f'{status.waited_ms} ms on {", ".join(status.lagging)}'
            )
        time.sleep(POLL_INTERVAL_MS / 1000)
