"""
damasklanding.control.groups
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Dispatches messages to the replica of their replication group, so that several
groups can share one listener.
"""

from damasklanding.errors import NotFound
from damasklanding.messages import AppendRequest
from damasklanding.messages import Propose
from damasklanding.messages import SnapshotChunk
from damasklanding.messages import StatusRequest
from damasklanding.messages import VoteRequest

__all__ = ['group_handlers']

GROUP_MESSAGES = (
    VoteRequest,
    AppendRequest,
    SnapshotChunk,
    StatusRequest,
    Propose,
)


def group_handlers(replicas):
    """
    Return handlers that pass each message to the replica of its group.

    :param replicas: dict of group name to replica; groups may be added later.
    :return: dict of message class to handler.
    """

    def handle(exchange, message):
        replica = replicas.get(message.group)
        if replica is None:
            raise NotFound(f'this host has no group {message.group}')
        return replica.handlers()[type(message)](exchange, message)

    return dict.fromkeys(GROUP_MESSAGES, handle)
