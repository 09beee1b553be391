"""Frames: length, type, flag and correlation before one betterproto message."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from kelpstage.common.errors.transport import InvalidFrameError
from kelpstage.common.transport.messages import NUMBERS, TYPES

WIRE_VERSION = 2
MAGIC = b"KELP"
PREFACE = struct.Struct("!4sHH")
HEAD = struct.Struct("!IHHQ")

ASK, REPLY, ONEWAY = 0, 1, 2
CONTROL, GATHER, BULK = 0, 1, 2
FRAME_LIMITS = {CONTROL: 512 * 1024, GATHER: 32 * 1024 * 1024, BULK: 16 * 1024 * 1024}


@dataclass(frozen=True, kw_only=True)
class Head:
    size: int
    number: int
    flag: int
    mark: int


def preface(*, lane: int) -> bytes:
    """What a line begins with, on both sides.

    >>> preface(lane=CONTROL)[:4]
    b'KELP'
    """
    return PREFACE.pack(MAGIC, WIRE_VERSION, lane)


def pack(*, message: object, flag: int, mark: int) -> bytes:
    """Put a message into a frame.

    >>> from kelpstage.common.transport.messages import Done
    >>> frame = pack(message=Done(is_ok=True), flag=ASK, mark=3)
    >>> read_head(data=frame[:HEAD.size], lane=CONTROL, address="a").mark
    3
    """
    body = bytes(message)
    return HEAD.pack(len(body), NUMBERS[type(message)], flag, mark) + body


def read_head(*, data: bytes, lane: int, address: str) -> Head | InvalidFrameError:
    """Read and check a frame's head.

    >>> read_head(data=HEAD.pack(1, 9999, 0, 0), lane=CONTROL, address="a").why
    'unknown type 9999'
    """
    size, number, flag, mark = HEAD.unpack(data)
    if number not in TYPES:
        return InvalidFrameError(address=address, why=f"unknown type {number}")
    if flag not in (ASK, REPLY, ONEWAY):
        return InvalidFrameError(address=address, why=f"unknown flag {flag}")
    if size > FRAME_LIMITS[lane]:
        return InvalidFrameError(
            address=address, why=f"{size} bytes on a lane of {FRAME_LIMITS[lane]}"
        )
    return Head(size=size, number=number, flag=flag, mark=mark)


def read_body(*, head: Head, data: bytes, address: str) -> object:
    """Read a frame's message.

    >>> from kelpstage.common.transport.messages import Done
    >>> body = bytes(Done(is_ok=True))
    >>> read_body(head=Head(size=2, number=14, flag=0, mark=0), data=body, address="a").is_ok
    True
    >>> read_body(head=Head(size=1, number=14, flag=0, mark=0), data=b"\\xff", address="a").kind
    'bad_frame'
    """
    try:
        return TYPES[head.number]().parse(data)
    except Exception as error:  # betterproto raises many kinds on garbage
        return InvalidFrameError(address=address, why=f"unreadable message: {type(error).__name__}")
