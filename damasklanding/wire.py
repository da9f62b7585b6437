"""
damasklanding.wire
~~~~~~~~~~~~~~~~~~

The encoding of messages between processes.  A frame holds one message and
the id of its exchange, and is preceded by its length in four bytes.  Frames
are encoded by Cap'n Proto, except the messages of each call: msgspec encodes
these to MessagePack behind a small header, because building them in Cap'n
Proto takes several times as long.
"""

from dataclasses import fields
import os
import struct

import capnp
import msgspec

from damasklanding.errors import BadInput
from damasklanding.errors import TooLarge
from damasklanding.messages import MESSAGES
from damasklanding.messages import PACKED_DECODERS
from damasklanding.messages import AppendRequest
from damasklanding.messages import LogEntry
from damasklanding.messages import encode_packed

__all__ = [
    'MAX_FRAME_BYTES',
    'decode_frame',
    'encode_frame',
    'frame_length',
]

MAX_FRAME_BYTES = 4 * 1024 * 1024

_LENGTH_PREFIX = struct.Struct('<I')
#: Header of a packed frame: message tag and exchange id.  A Cap'n Proto frame
#: begins with its number of segments, which is always far below the tags.
_PACKED_HEADER = struct.Struct('<IQ')
_PACKED_HEADER_BYTES = _PACKED_HEADER.size
_FIRST_PACKED_TAG = 0xFFFFFF00
_PACKED_FRAME_PREFIX = struct.Struct('<IIQ')  # length and packed header
_SCHEMA_PATH = os.path.join(os.path.dirname(__file__), 'messages.capnp')
_schema = capnp.load(_SCHEMA_PATH)


#: Tags of the packed messages, in the order of their registration.
_PACKED_TAGS = {
    MESSAGES[member]: _FIRST_PACKED_TAG + number
    for number, member in enumerate(PACKED_DECODERS)
}
_DECODERS_BY_TAG = {
    _PACKED_TAGS[MESSAGES[member]]: decode
    for member, decode in PACKED_DECODERS.items()
}


def _to_camel_case(name):
    head, *rest = name.split('_')
    return head + ''.join(part.capitalize() for part in rest)


def _field_names(cls):
    """Return pairs of attribute name and Cap'n Proto field name."""
    return [(item.name, _to_camel_case(item.name)) for item in fields(cls)]


_CAPNP_CLASSES = [
    cls for member, cls in MESSAGES.items() if member not in PACKED_DECODERS
]
_FIELD_NAMES = {cls: _field_names(cls) for cls in _CAPNP_CLASSES}
_FIELD_NAMES[LogEntry] = _field_names(LogEntry)


def _write_struct(builder, value):
    for name, wire_name in _FIELD_NAMES[type(value)]:
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
            _write_struct(target[index], item)
    else:
        setattr(builder, wire_name, items)


def _read_struct(cls, reader):
    values = [getattr(reader, wire_name) for _, wire_name in _FIELD_NAMES[cls]]
    return cls(*values)


_LIST_FIELDS = {
    cls: [item.name for item in fields(cls) if 'list' in str(item.type)]
    for cls in _CAPNP_CLASSES
}


def _convert_lists(value):
    """Replace the Cap'n Proto lists of a message by Python lists."""
    for name in _LIST_FIELDS[type(value)]:
        items = list(getattr(value, name))
        if isinstance(value, AppendRequest):
            items = [_read_struct(LogEntry, item) for item in items]
        setattr(value, name, items)
    return value


def encode_frame(value, exchange=0):
    """
    Encode a message to a frame, including the length prefix.

    :param value: an instance of a class of :mod:`damasklanding.messages`.
    :param exchange: id of the exchange it belongs to.
    :return: bytes.
    :raises TooLarge: the frame exceeds :data:`MAX_FRAME_BYTES`.
    """
    tag = _PACKED_TAGS.get(type(value))
    if tag is not None:
        data = encode_packed(value)
        length = _PACKED_HEADER_BYTES + len(data)
        _check_size(value, length)
        return _PACKED_FRAME_PREFIX.pack(length, tag, exchange) + data
    frame = _schema.Frame.new_message()
    frame.exchange = exchange
    _write_struct(frame.init(value.member), value)
    data = frame.to_bytes()
    _check_size(value, len(data))
    return _LENGTH_PREFIX.pack(len(data)) + data


def _check_size(value, length):
    if length > MAX_FRAME_BYTES:
        raise TooLarge(
            f'a {value.member} frame has {length} bytes',
            f'split it into frames of at most {MAX_FRAME_BYTES} bytes',
        )


def frame_length(data, start=0):
    """
    Return the frame length from the length prefix at a position.

    :raises TooLarge: the length exceeds :data:`MAX_FRAME_BYTES`.
    """
    (length,) = _LENGTH_PREFIX.unpack_from(data, start)
    if length > MAX_FRAME_BYTES:
        raise TooLarge(
            f'a length prefix announces a frame of {length} bytes',
            'check that a damasklanding process is at the other end',
        )
    return length


def decode_frame(data):
    """
    Decode a frame without its length prefix.

    :return: pair of exchange id and message.
    :raises BadInput: the bytes are no valid frame of a known message.
    """
    try:
        if len(data) >= _PACKED_HEADER_BYTES:
            tag, exchange = _PACKED_HEADER.unpack_from(data)
            decode = _DECODERS_BY_TAG.get(tag)
            if decode is not None:
                return exchange, decode(
                    memoryview(data)[_PACKED_HEADER_BYTES:]
                )
        with _schema.Frame.from_bytes(data) as frame:
            member = str(frame.which())
            cls = MESSAGES.get(member)
            if cls is None:
                raise BadInput(
                    f'a frame holds a message of unknown kind {member}',
                    'run the same release on all hosts',
                )
            value = _read_struct(cls, getattr(frame, member))
            return frame.exchange, _convert_lists(value)
    except (capnp.KjException, ValueError, msgspec.MsgspecError) as error:
        raise BadInput(
            f'a frame cannot be decoded ({type(error).__name__})',
            'check that a damasklanding process is at the other end',
        ) from error
