"""
damasklanding.wire
~~~~~~~~~~~~~~~~~~

The encoding of messages between processes.  A frame is one message with the
id of its exchange, behind a four-byte length.  Frames are Cap'n Proto, but
for those that every call needs: building these takes several times as long
as packing them by msgspec behind a small header.
"""

from dataclasses import fields
import os
import struct

import capnp
import msgspec

from damasklanding.errors import BadInput
from damasklanding.errors import TooLarge
from damasklanding.messages import DECODERS
from damasklanding.messages import MESSAGES
from damasklanding.messages import AppendRequest
from damasklanding.messages import LogEntry
from damasklanding.messages import pack

__all__ = [
    'MAX_FRAME_BYTES',
    'decode_frame',
    'encode_frame',
    'frame_length',
]

MAX_FRAME_BYTES = 4 * 1024 * 1024

_LENGTH = struct.Struct('<I')
#: Tag and exchange of a packed frame.  A Cap'n Proto frame begins with its
#: number of segments, which never comes near the tags.
_PACKED_HEAD = struct.Struct('<IQ')
_PACKED_HEAD_BYTES = _PACKED_HEAD.size
_FIRST_TAG = 0xFFFFFF00
_FRAME_HEAD = struct.Struct('<IIQ')
_SCHEMA_PATH = os.path.join(os.path.dirname(__file__), 'messages.capnp')
_schema = capnp.load(_SCHEMA_PATH)


#: Tags of the packed messages, in the order of their registration.
_TAGS = {
    MESSAGES[member]: _FIRST_TAG + number
    for number, member in enumerate(DECODERS)
}
_PACKED_DECODERS = {
    _TAGS[MESSAGES[member]]: decode for member, decode in DECODERS.items()
}


def _camel(name):
    head, *rest = name.split('_')
    return head + ''.join(part.capitalize() for part in rest)


def _field_table(cls):
    return [(item.name, _camel(item.name)) for item in fields(cls)]


_STRUCTURED = [
    cls for member, cls in MESSAGES.items() if member not in DECODERS
]
_FIELDS = {cls: _field_table(cls) for cls in _STRUCTURED}
_FIELDS[LogEntry] = _field_table(LogEntry)


def _write(builder, value):
    for name, wire_name in _FIELDS[type(value)]:
        item = getattr(value, name)
        if type(item) is list:
            _write_list(builder, wire_name, item)
        elif item:
            setattr(builder, wire_name, item)


def _write_list(builder, wire_name, items):
    if not items:
        return
    if isinstance(items[0], LogEntry):
        target = builder.init(wire_name, len(items))
        for index, item in enumerate(items):
            _write(target[index], item)
    else:
        setattr(builder, wire_name, items)


def _read(cls, reader):
    values = [getattr(reader, wire_name) for _, wire_name in _FIELDS[cls]]
    return cls(*values)


_LIST_FIELDS = {
    cls: [item.name for item in fields(cls) if 'list' in str(item.type)]
    for cls in _STRUCTURED
}


def _materialise(value):
    for name in _LIST_FIELDS[type(value)]:
        items = list(getattr(value, name))
        if isinstance(value, AppendRequest):
            items = [_read(LogEntry, item) for item in items]
        setattr(value, name, items)
    return value


def encode_frame(value, exchange=0):
    """
    Encode a message to a whole frame, length included.

    :param value: an instance of a class of :mod:`damasklanding.messages`.
    :param exchange: id of the exchange it belongs to.
    :return: bytes.
    :raises TooLarge: above :data:`MAX_FRAME_BYTES`.
    """
    tag = _TAGS.get(type(value))
    if tag is not None:
        data = pack(value)
        length = _PACKED_HEAD_BYTES + len(data)
        _check_size(value, length)
        return _FRAME_HEAD.pack(length, tag, exchange) + data
    frame = _schema.Frame.new_message()
    frame.exchange = exchange
    _write(frame.init(value.member), value)
    data = frame.to_bytes()
    _check_size(value, len(data))
    return _LENGTH.pack(len(data)) + data


def _check_size(value, length):
    if length > MAX_FRAME_BYTES:
        raise TooLarge(
            f'a {value.member} frame of {length} bytes',
            f'split it to at most {MAX_FRAME_BYTES} bytes',
        )


def frame_length(data, start=0):
    """
    Return the length that the four bytes from a position on announce.

    :raises TooLarge: above :data:`MAX_FRAME_BYTES`.
    """
    (length,) = _LENGTH.unpack_from(data, start)
    if length > MAX_FRAME_BYTES:
        raise TooLarge(
            f'a frame of {length} bytes was announced',
            'check that a damasklanding process is at the other end',
        )
    return length


def decode_frame(data):
    """
    Decode a frame without its length prefix.

    :return: pair of exchange id and message.
    :raises BadInput: where the bytes hold no known message.
    """
    try:
        if len(data) >= _PACKED_HEAD_BYTES:
            tag, exchange = _PACKED_HEAD.unpack_from(data)
            decode = _PACKED_DECODERS.get(tag)
            if decode is not None:
                return exchange, decode(memoryview(data)[_PACKED_HEAD_BYTES:])
        with _schema.Frame.from_bytes(data) as frame:
            member = str(frame.which())
            cls = MESSAGES.get(member)
            if cls is None:
                raise BadInput(
                    f'a frame of unknown kind {member}',
                    'run the same release on all hosts',
                )
            value = _read(cls, getattr(frame, member))
            return frame.exchange, _materialise(value)
    except (capnp.KjException, ValueError, msgspec.MsgspecError) as error:
        raise BadInput(
            f'a frame that does not decode ({type(error).__name__})',
            'check that a damasklanding process is at the other end',
        ) from error
