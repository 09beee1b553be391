"""The server side of the transport: messages of other processes, and replies to them."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import (
    InvalidFrameError,
    ProtocolVersionError,
    ReplyTimeoutError,
)
from kelpstage.common.ports.interfaces import Listener, Ports, Stream
from kelpstage.common.transport import frames
from kelpstage.common.transport.connections import LOST_AFTER_US
from kelpstage.common.transport.frame_reader import read_frame, read_preface
from kelpstage.common.transport.frames import ASK, HEAD, REPLY

PREFACE_WAIT_US = 5_000_000  # for a new connection to say what it is
IN_WORK_LIMIT = 1024  # messages of one connection; more are not read meanwhile

# Takes a message and the sender's address; its result is the reply, `None` for no reply.
Handler = Callable[[Any, str], Awaitable[Any]]


class _PrefaceTimeout:
    """Closes a new connection that does not say in time what it is."""

    def __init__(self, *, ports: Ports, stream: Stream) -> None:
        self.is_done = self.is_over = False
        self._stream = stream
        ports.clock.later(us=PREFACE_WAIT_US, callback=self._check)

    def _check(self) -> None:
        if not self.is_done:
            self.is_over = True
            self._stream.close()


class TransportServer:
    """Listens at one address and gives each message to one handler.

    The messages of a connection are handled at the same time, at most `IN_WORK_LIMIT` of
    them; replies go out as they are ready. `counts` counts how connections ended, as
    `line_` and the error's kind.
    """

    def __init__(
        self, *, ports: Ports, address: str, on_message: Handler, counts: Counter[str]
    ) -> None:
        self._ports = ports
        self._address = address
        self._on_message = on_message
        self._counts = counts
        self._streams: dict[int, Stream] = {}
        self._serial = 0
        self._listener: Listener | None = None

    async def open(self) -> KelpstageError | None:
        """Start to listen; `AddressInUseError` if the address cannot be bound."""
        outcome = await self._ports.net.listen(
            address=self._address, on_stream=self._serve, lost_after_us=LOST_AFTER_US
        )
        if isinstance(outcome, KelpstageError):
            return outcome
        self._listener = outcome
        return None

    def close(self) -> None:
        """Stop to listen and close every connection."""
        if self._listener is not None:
            self._listener.close()
        for stream in list(self._streams.values()):
            stream.close()

    async def _serve(self, stream: Stream, source: str) -> None:
        self._serial += 1
        serial = self._serial
        self._streams[serial] = stream
        outcome = await self._serve_frames(stream=stream, source=source)
        self._streams.pop(serial, None)
        self._counts[f"line_{outcome.kind}"] += 1
        stream.close()

    async def _serve_frames(self, *, stream: Stream, source: str) -> KelpstageError:
        """Serve a connection until it ends; the result says why it ended."""
        timeout = _PrefaceTimeout(ports=self._ports, stream=stream)
        channel = await read_preface(stream=stream, address=source)
        if timeout.is_over:
            return ReplyTimeoutError(address=source, after_us=PREFACE_WAIT_US)
        timeout.is_done = True
        if isinstance(channel, ProtocolVersionError):
            stream.write(data=frames.preface(channel=frames.CONTROL))
            return channel
        if isinstance(channel, KelpstageError):
            return channel
        stream.write(data=frames.preface(channel=channel))
        in_work = asyncio.Semaphore(IN_WORK_LIMIT)
        while True:
            await in_work.acquire()
            outcome = await read_frame(stream=stream, channel=channel, address=source)
            if isinstance(outcome, KelpstageError):
                return outcome
            head, message = outcome
            if head.flag == REPLY:
                return InvalidFrameError(address=source, why="a reply nobody asked for")
            self._ports.spawn(
                self._answer(
                    stream=stream,
                    source=source,
                    head=head,
                    message=message,
                    channel=channel,
                    in_work=in_work,
                )
            )

    async def _answer(
        self,
        *,
        stream: Stream,
        source: str,
        head: frames.Head,
        message: Any,
        channel: int,
        in_work: asyncio.Semaphore,
    ) -> None:
        """Give a message to the handler, and its reply to the one who asked. A message
        that breaks the handler ends its connection: the caller hears at once."""
        try:
            reply = await self._on_message(message, source)
        except Exception:
            self._counts["line_handler_broken"] += 1
            stream.close()
            raise
        finally:
            in_work.release()
        if head.flag != ASK or reply is None:
            return
        data = frames.pack(message=reply, flag=REPLY, correlation_id=head.correlation_id)
        if len(data) - HEAD.size > frames.FRAME_LIMITS[channel]:
            self._counts["line_reply_too_large"] += 1
            stream.close()
            return
        stream.write(data=data)
