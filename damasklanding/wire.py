"""
damasklanding.wire
~~~~~~~~~~~~~~~~~~

The Cap'n Proto encoding of messages between processes.  A frame is one
message with the id of its exchange, behind a four-byte length.
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
_SCHEMA_PATH = os.path.join(os.path.dirname(__file__), 'messages.capnp')
_schema = capnp.load(_SCHEMA_PATH)


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
    frame = _schema.Frame.new_message()
    frame.exchange = exchange
    if value.member in DECODERS:
        setattr(frame, value.member, pack(value))
    else:
        _write(frame.init(value.member), value)
    data = frame.to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise TooLarge(
            f'a {value.member} frame of {len(data)} bytes',
            f'split it to at most {MAX_FRAME_BYTES} bytes',
        )
    return _LENGTH.pack(len(data)) + data


def frame_length(prefix):
    """
    Return the length that a four-byte prefix announces.

    :raises TooLarge: above :data:`MAX_FRAME_BYTES`.
    """
    (length,) = _LENGTH.unpack(prefix)
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
        with _schema.Frame.from_bytes(data) as frame:
            member = str(frame.which())
            decode = DECODERS.get(member)
            if decode is not None:
                return frame.exchange, decode(getattr(frame, member))
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
