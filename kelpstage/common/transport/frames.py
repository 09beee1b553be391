"""Frames of the transport between own processes: a header before one message.

A connection begins with a preface from either side: magic bytes, the wire version and the
channel. After it come frames, each a header (body length, message type, flag, correlation
id) and the bytes of one message. A channel says what a connection is used for, so that a
large transfer never delays a heartbeat: each has connections and a frame limit of its own.
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
HEAD = struct.Struct("!IHHQ")  # body length, message type, flag, correlation id

# Flags. A reply has the correlation id of its request; a one-way message wants no reply.
ASK, REPLY, ONEWAY = 0, 1, 2

# Channels.
CONTROL, GATHER, BULK = 0, 1, 2
FRAME_LIMITS = {CONTROL: 512 * 1024, GATHER: 32 * 1024 * 1024, BULK: 16 * 1024 * 1024}


@dataclass(frozen=True, kw_only=True)
class Head:
    """A frame's header: bytes of the body, the message's number in `TYPES`, a flag, and the
    number that correlates a reply with its request on one connection."""

    size: int
    number: int
    flag: int
    correlation_id: int


def preface(*, channel: int) -> bytes:
    """What a connection begins with, on both sides.

    >>> preface(channel=CONTROL)[:4]
    b'KELP'
    """
    return PREFACE.pack(MAGIC, WIRE_VERSION, channel)


def pack(*, message: Message, flag: int, correlation_id: int) -> bytes:
    """Put a message into a frame.

    >>> from kelpstage.common.transport.messages import Done
    >>> frame = pack(message=Done(is_ok=True), flag=ASK, correlation_id=3)
    >>> read_head(data=frame[:HEAD.size], channel=CONTROL, address="a").correlation_id
    3
    """
    body = bytes(message)
    return HEAD.pack(len(body), NUMBERS[type(message)], flag, correlation_id) + body


def read_head(*, data: bytes, channel: int, address: str) -> Head | InvalidFrameError:
    """Read and check a frame's header.

    >>> read_head(data=HEAD.pack(1, 9999, 0, 0), channel=CONTROL, address="a").why
    'unknown type 9999'
    """
    size, number, flag, correlation_id = HEAD.unpack(data)
    if number not in TYPES:
        return InvalidFrameError(address=address, why=f"unknown type {number}")
    if flag not in (ASK, REPLY, ONEWAY):
        return InvalidFrameError(address=address, why=f"unknown flag {flag}")
    if size > FRAME_LIMITS[channel]:
        return InvalidFrameError(
            address=address, why=f"{size} bytes on a lane of {FRAME_LIMITS[channel]}"
        )
    return Head(size=size, number=number, flag=flag, correlation_id=correlation_id)


def read_body(*, head: Head, data: bytes, address: str) -> Message | InvalidFrameError:
    """Read a frame's message.

    >>> from kelpstage.common.transport.messages import Done
    >>> head = Head(size=2, number=14, flag=ASK, correlation_id=0)
    >>> read_body(head=head, data=bytes(Done(is_ok=True)), address="a").is_ok
    True
    >>> read_body(head=head, data=b"\\xff", address="a").kind
    'bad_frame'
    """
    try:
        return TYPES[head.number]().parse(data)
    except Exception as error:  # betterproto raises many kinds on garbage
        return InvalidFrameError(address=address, why=f"unreadable message: {type(error).__name__}")
