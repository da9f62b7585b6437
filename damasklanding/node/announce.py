"""
damasklanding.node.announce
~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a backend server tells the node beside it about itself.
"""

from typing import Annotated
from typing import Literal

import msgspec

from damasklanding.errors import BadInput
from damasklanding.fleet.resources import Name
from damasklanding.node.registration import Announcement

__all__ = ['ANNOUNCE_PATH', 'MAX_ANNOUNCE_BYTES', 'parse_announcement']

ANNOUNCE_PATH = '/damasklanding/announce'
MAX_ANNOUNCE_BYTES = 4_096
MAX_SLOTS = 100_000


class AnnounceDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The announcement as it is sent."""

    service: Name
    state: Literal['in', 'draining'] = 'in'
    cold: bool = False
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = 0


_decoder = msgspec.json.Decoder(AnnounceDocument)


def parse_announcement(data):
    """
    Return the announcement in a JSON document.

    :raises BadInput: names the field that is wrong.
    """
    try:
        document = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadInput(f'the announcement is malformed ({error})') from error
    return Announcement(
        document.service, document.state, document.cold, document.slots
    )
