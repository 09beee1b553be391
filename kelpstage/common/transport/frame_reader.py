"""Reads prefaces and frames from a stream, for both sides of a connection."""

from __future__ import annotations

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import InvalidFrameError, ProtocolVersionError
from kelpstage.common.ports.interfaces import Stream
from kelpstage.common.transport import frames
from kelpstage.common.transport.codec import Message
from kelpstage.common.transport.frames import HEADER, PREFACE, FrameHeader


async def read_frame(
    *, stream: Stream, channel: int, address: str
) -> tuple[FrameHeader, Message] | KelpstageError:
    """Read a frame; returns its header and message. The stream is unusable after an error."""
    data = await stream.read(size=HEADER.size)
    if isinstance(data, KelpstageError):
        return data
    header = frames.read_header(data=data, channel=channel, address=address)
    if isinstance(header, KelpstageError):
        return header
    body = await stream.read(size=header.size) if header.size else b""
    if isinstance(body, KelpstageError):
        return body
    message = frames.read_body(header=header, data=body, address=address)
    if isinstance(message, KelpstageError):
        return message
    return header, message


async def read_preface(*, stream: Stream, address: str) -> int | KelpstageError:
    """Read the preface of the other side; returns its channel."""
    data = await stream.read(size=PREFACE.size)
    if isinstance(data, KelpstageError):
        return data
    magic, version, channel = PREFACE.unpack(data)
    if magic != frames.MAGIC or channel not in frames.FRAME_LIMITS:
        return InvalidFrameError(address=address, why="invalid preface")
    if version != frames.WIRE_VERSION:
        return ProtocolVersionError(address=address, ours=frames.WIRE_VERSION, theirs=version)
    return int(channel)
