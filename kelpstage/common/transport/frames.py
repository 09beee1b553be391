"""The frame format of the transport between edges and cores.

Either side begins a connection with a preface: magic bytes, the wire version and the channel.
Frames follow, each a header (body length, message type, flag, correlation id) and the bytes of
one message. Each channel has connections and a frame size limit of its own, so that a large
transfer does not delay a heartbeat.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from kelpstage.common.errors.transport import InvalidFrameError
from kelpstage.common.transport.codec import Message
from kelpstage.common.transport.messages import NUMBERS, TYPES

WIRE_VERSION = 2
MAGIC = b"KELP"
PREFACE = struct.Struct("!4sHH")  # magic, wire version, channel
HEADER = struct.Struct("!IHHQ")  # body length, message type, flag, correlation id

# Flags. A reply has the correlation id of its request; a one-way message has no reply.
REQUEST, REPLY, ONEWAY = 0, 1, 2

# Channels.
CONTROL, GATHER, BULK = 0, 1, 2
FRAME_LIMITS = {CONTROL: 512 * 1024, GATHER: 32 * 1024 * 1024, BULK: 16 * 1024 * 1024}


@dataclass(frozen=True, kw_only=True)
class FrameHeader:
    """The header of a frame.

    `size` is the length of the body in bytes, `number` the message's number in `TYPES`, and
    `correlation_id` matches a reply to its request on one connection.
    """

    size: int
    number: int
    flag: int
    correlation_id: int


def preface(*, channel: int) -> bytes:
    """Return the preface that each side of a connection sends first.

    >>> preface(channel=CONTROL)[:4]
    b'KELP'
    """
    return PREFACE.pack(MAGIC, WIRE_VERSION, channel)


def pack(*, message: Message, flag: int, correlation_id: int) -> bytes:
    """Encode a message as a frame.

    >>> from kelpstage.common.transport.messages import Done
    >>> frame = pack(message=Done(is_ok=True), flag=REQUEST, correlation_id=3)
    >>> read_header(data=frame[:HEADER.size], channel=CONTROL, address="a").correlation_id
    3
    """
    body = bytes(message)
    return HEADER.pack(len(body), NUMBERS[type(message)], flag, correlation_id) + body


def read_header(*, data: bytes, channel: int, address: str) -> FrameHeader | InvalidFrameError:
    """Decode and validate the header of a frame.

    >>> read_header(data=HEADER.pack(1, 9999, 0, 0), channel=CONTROL, address="a").why
    'unknown message type 9999'
    """
    size, number, flag, correlation_id = HEADER.unpack(data)
    if number not in TYPES:
        return InvalidFrameError(address=address, why=f"unknown message type {number}")
    if flag not in (REQUEST, REPLY, ONEWAY):
        return InvalidFrameError(address=address, why=f"unknown flag {flag}")
    if size > FRAME_LIMITS[channel]:
        return InvalidFrameError(
            address=address,
            why=f"{size} bytes exceed the channel limit of {FRAME_LIMITS[channel]}",
        )
    return FrameHeader(size=size, number=number, flag=flag, correlation_id=correlation_id)


def read_body(*, header: FrameHeader, data: bytes, address: str) -> Message | InvalidFrameError:
    """Decode the message of a frame.

    >>> from kelpstage.common.transport.messages import Done
    >>> header = FrameHeader(size=2, number=14, flag=REQUEST, correlation_id=0)
    >>> read_body(header=header, data=bytes(Done(is_ok=True)), address="a").is_ok
    True
    >>> read_body(header=header, data=b"\\xff", address="a").kind
    'bad_frame'
    """
    try:
        return TYPES[header.number]().parse(data)
    except Exception as error:  # malformed bytes raise exceptions of many types
        return InvalidFrameError(address=address, why=f"malformed message: {type(error).__name__}")
