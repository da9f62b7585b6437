"""
damasklanding.control.groups
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lets several replication groups share one listener.
"""

from damasklanding.errors import NotFound
from damasklanding.wire import AppendRequest
from damasklanding.wire import Propose
from damasklanding.wire import SnapshotChunk
from damasklanding.wire import StatusRequest
from damasklanding.wire import VoteRequest

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
    Return handlers by message class that pick the replica by its group.

    :param replicas: dict of group name to replica; may still grow.
    """

    def handle(exchange, message):
        replica = replicas.get(message.group)
        if replica is None:
            raise NotFound(f'there is no group {message.group} here')
        return replica.handlers()[type(message)](exchange, message)

    return dict.fromkeys(GROUP_MESSAGES, handle)
