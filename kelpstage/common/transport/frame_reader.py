"""Reading of prefaces and frames from a stream, for both sides of a connection."""

from __future__ import annotations

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import InvalidFrameError, ProtocolVersionError
from kelpstage.common.ports.interfaces import Stream
from kelpstage.common.transport import frames
from kelpstage.common.transport.codec import Message
from kelpstage.common.transport.frames import HEAD, PREFACE, Head


async def read_frame(
    *, stream: Stream, channel: int, address: str
) -> tuple[Head, Message] | KelpstageError:
    """The next frame's header and message. After an error the stream is of no more use."""
    data = await stream.read(size=HEAD.size)
    if isinstance(data, KelpstageError):
        return data
    head = frames.read_head(data=data, channel=channel, address=address)
    if isinstance(head, KelpstageError):
        return head
    body = await stream.read(size=head.size) if head.size else b""
    if isinstance(body, KelpstageError):
        return body
    message = frames.read_body(head=head, data=body, address=address)
    if isinstance(message, KelpstageError):
        return message
    return head, message


async def read_preface(*, stream: Stream, address: str) -> int | KelpstageError:
    """The channel that the other side's preface names."""
    data = await stream.read(size=PREFACE.size)
    if isinstance(data, KelpstageError):
        return data
    magic, version, channel = PREFACE.unpack(data)
    if magic != frames.MAGIC or channel not in frames.FRAME_LIMITS:
        return InvalidFrameError(address=address, why="not an own line")
    if version != frames.WIRE_VERSION:
        return ProtocolVersionError(address=address, ours=frames.WIRE_VERSION, theirs=version)
    return int(channel)
