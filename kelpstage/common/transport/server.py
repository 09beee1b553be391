"""The server side of the transport: receives messages of other processes and sends replies."""

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
from kelpstage.common.transport.frames import HEADER, REPLY, REQUEST

PREFACE_TIMEOUT_US = 5_000_000  # for the preface of a new connection
IN_FLIGHT_LIMIT = 1024  # messages of a connection handled at a time; the rest is not read

# Handles a message from an address and returns the reply, or `None` for no reply.
Handler = Callable[[Any, str], Awaitable[Any]]


class _PrefaceTimeout:
    """Closes a new connection that does not send its preface in time."""

    def __init__(self, *, ports: Ports, stream: Stream) -> None:
        self.is_done = self.is_expired = False
        self._stream = stream
        ports.clock.call_later(us=PREFACE_TIMEOUT_US, callback=self._on_timeout)

    def _on_timeout(self) -> None:
        if not self.is_done:
            self.is_expired = True
            self._stream.close()


class TransportServer:
    """Listens on one address and passes each message to a handler.

    The messages of a connection are handled concurrently, at most `IN_FLIGHT_LIMIT` at a time;
    replies are sent in the order in which they are ready. `counts` counts closed connections by
    cause, under `line_` and the error's kind.
    """

    def __init__(
        self, *, ports: Ports, address: str, on_message: Handler, counts: Counter[str]
    ) -> None:
        self._ports = ports
        self._address = address
        self._on_message = on_message
        self._counts = counts
        self._streams: dict[int, Stream] = {}
        self._last_stream_id = 0
        self._listener: Listener | None = None

    async def open(self) -> KelpstageError | None:
        """Start listening; returns `AddressInUseError` if the address cannot be bound."""
        outcome = await self._ports.net.listen(
            address=self._address, on_stream=self._serve, lost_after_us=LOST_AFTER_US
        )
        if isinstance(outcome, KelpstageError):
            return outcome
        self._listener = outcome
        return None

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._listener is not None:
            self._listener.close()
        for stream in list(self._streams.values()):
            stream.close()

    async def _serve(self, stream: Stream, source: str) -> None:
        self._last_stream_id += 1
        stream_id = self._last_stream_id
        self._streams[stream_id] = stream
        outcome = await self._serve_frames(stream=stream, source=source)
        self._streams.pop(stream_id, None)
        self._counts[f"line_{outcome.kind}"] += 1
        stream.close()

    async def _serve_frames(self, *, stream: Stream, source: str) -> KelpstageError:
        """Serve a connection until it closes; returns the cause."""
        timeout = _PrefaceTimeout(ports=self._ports, stream=stream)
        channel = await read_preface(stream=stream, address=source)
        if timeout.is_expired:
            return ReplyTimeoutError(address=source, after_us=PREFACE_TIMEOUT_US)
        timeout.is_done = True
        if isinstance(channel, ProtocolVersionError):
            stream.write(data=frames.preface(channel=frames.CONTROL))
            return channel
        if isinstance(channel, KelpstageError):
            return channel
        stream.write(data=frames.preface(channel=channel))
        in_flight = asyncio.Semaphore(IN_FLIGHT_LIMIT)
        while True:
            await in_flight.acquire()
            outcome = await read_frame(stream=stream, channel=channel, address=source)
            if isinstance(outcome, KelpstageError):
                return outcome
            header, message = outcome
            if header.flag == REPLY:
                return InvalidFrameError(address=source, why="a reply without a request")
            self._ports.spawn(
                self._handle(
                    stream=stream,
                    source=source,
                    header=header,
                    message=message,
                    channel=channel,
                    in_flight=in_flight,
                )
            )

    async def _handle(
        self,
        *,
        stream: Stream,
        source: str,
        header: frames.FrameHeader,
        message: Any,
        channel: int,
        in_flight: asyncio.Semaphore,
    ) -> None:
        """Pass a message to the handler and send the reply. An exception in the handler closes the
        connection, so that the caller fails at once instead of at its timeout."""
        try:
            reply = await self._on_message(message, source)
        except Exception:
            self._counts["line_handler_broken"] += 1
            stream.close()
            raise
        finally:
            in_flight.release()
        if header.flag != REQUEST or reply is None:
            return
        data = frames.pack(message=reply, flag=REPLY, correlation_id=header.correlation_id)
        if len(data) - HEADER.size > frames.FRAME_LIMITS[channel]:
            self._counts["line_reply_too_large"] += 1
            stream.close()
            return
        stream.write(data=data)
