"""
damasklanding.control.groups
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lets several replication groups share one listener.
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
    Return handlers by message class that pick the replica by its group.

    :param replicas: dict of group name to replica; may still grow.
    """

    def handle(exchange, message):
        replica = replicas.get(message.group)
        if replica is None:
            raise NotFound(f'there is no group {message.group} here')
        return replica.handlers()[type(message)](exchange, message)

    return dict.fromkeys(GROUP_MESSAGES, handle)
