"""Own lines: framed messages over streams, many calls at a time on each.

`LineServer` takes calls and one-way messages; `Lines` keeps one connection for
each peer and lane, so that bulk never stands before control, while it is used.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from typing import Any, Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import (
    ConnectError,
    ConnectionLostError,
    InvalidFrameError,
    ProtocolVersionError,
    ReplyTimeoutError,
)
from kelpstage.common.ports.interfaces import Ports, Stream
from kelpstage.common.transport import frames
from kelpstage.common.transport.frames import ASK, HEAD, ONEWAY, PREFACE, REPLY

CONNECT_WAIT_US = 1_000_000
QUIET_LIMIT_US = 2_000_000
LOST_AFTER_US = 2_000_000  # unacknowledged for so long: the line is lost, the next one is new
BACKLOG_LIMIT = 64 * 1024 * 1024
IDLE_US = 30_000_000
IDLE_LOOK_US = 10_000_000
PREFACE_WAIT_US = 5_000_000  # for a new connection to say what it is
IN_WORK_LIMIT = 1024  # calls of one connection; more are not read meanwhile

Handler = Callable[[Any, str], Awaitable[Any]]


async def _read_frame(*, stream: Stream, lane: int, address: str) -> tuple | KelpstageError:
    data = await stream.read(size=HEAD.size)
    if isinstance(data, KelpstageError):
        return data
    head = frames.read_head(data=data, lane=lane, address=address)
    if isinstance(head, KelpstageError):
        return head
    body = await stream.read(size=head.size) if head.size else b""
    if isinstance(body, KelpstageError):
        return body
    message = frames.read_body(head=head, data=body, address=address)
    if isinstance(message, KelpstageError):
        return message
    return head, message


async def _read_preface(*, stream: Stream, address: str) -> int | KelpstageError:
    data = await stream.read(size=PREFACE.size)
    if isinstance(data, KelpstageError):
        return data
    magic, version, lane = PREFACE.unpack(data)
    if magic != frames.MAGIC or lane not in frames.FRAME_LIMITS:
        return InvalidFrameError(address=address, why="not an own line")
    if version != frames.WIRE_VERSION:
        return ProtocolVersionError(address=address, ours=frames.WIRE_VERSION, theirs=version)
    return lane


class _PrefaceTimeout:
    """Closes a new connection that does not say in time what it is."""

    def __init__(self, *, ports: Ports, stream: Stream) -> None:
        self.is_done = self.is_over = False
        self._stream = stream
        ports.clock.later(us=PREFACE_WAIT_US, verb=self._look)

    def _look(self) -> None:
        if not self.is_done:
            self.is_over = True
            self._stream.close()


class LineServer:
    """Takes own lines at one address and hands their messages to one handler."""

    def __init__(self, *, ports: Ports, address: str, on_message: Handler, counts: Counter) -> None:
        self._ports = ports
        self._address = address
        self._on_message = on_message
        self._counts = counts
        self._streams: dict[int, Stream] = {}
        self._serial = 0
        self._listener: Any = None

    async def open(self) -> KelpstageError | None:
        outcome = await self._ports.net.listen(
            address=self._address, on_stream=self._serve, lost_after_us=LOST_AFTER_US
        )
        if isinstance(outcome, KelpstageError):
            return outcome
        self._listener = outcome
        return None

    def close(self) -> None:
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
        timeout = _PrefaceTimeout(ports=self._ports, stream=stream)
        lane = await _read_preface(stream=stream, address=source)
        if timeout.is_over:
            return ReplyTimeoutError(address=source, after_us=PREFACE_WAIT_US)
        timeout.is_done = True
        if isinstance(lane, ProtocolVersionError):
            stream.write(data=frames.preface(lane=frames.CONTROL))
            return lane
        if isinstance(lane, KelpstageError):
            return lane
        stream.write(data=frames.preface(lane=lane))
        room = asyncio.Semaphore(IN_WORK_LIMIT)
        while True:
            await room.acquire()
            outcome = await _read_frame(stream=stream, lane=lane, address=source)
            if isinstance(outcome, KelpstageError):
                return outcome
            head, message = outcome
            if head.flag == REPLY:
                return InvalidFrameError(address=source, why="a reply nobody asked for")
            self._ports.spawn(
                self._answer(
                    stream=stream, source=source, head=head, message=message, lane=lane, room=room
                )
            )

    async def _answer(
        self,
        *,
        stream: Stream,
        source: str,
        head: frames.Head,
        message: Any,
        lane: int,
        room: asyncio.Semaphore,
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
            room.release()
        if head.flag != ASK or reply is None:
            return
        data = frames.pack(message=reply, flag=REPLY, mark=head.mark)
        if len(data) - HEAD.size > frames.FRAME_LIMITS[lane]:
            self._counts["line_reply_too_large"] += 1
            stream.close()
            return
        stream.write(data=data)


class _Line:
    """One connection; its task owns the stream, others only put messages in."""

    def __init__(self, *, ports: Ports, address: str, lane: int, on_end: Callable) -> None:
        self.ports = ports
        self.address = address
        self.lane = lane
        self.stream: Stream | None = None
        self.outbox: dict[int, bytes] = {}
        self.waiting: dict[int, asyncio.Future] = {}
        self.heard_us = self.used_us = ports.clock.now_us()
        self.is_ended = False
        self.is_retired = False
        self._on_end = on_end
        self._mark = 0
        ports.spawn(self._run())

    def put(self, *, message: Any, flag: int) -> int:
        self._mark += 1
        self.used_us = self.ports.clock.now_us()
        data = frames.pack(message=message, flag=flag, mark=self._mark)
        if self.stream is None:
            self.outbox[self._mark] = data
        elif flag == ONEWAY and self.stream.backlog() > BACKLOG_LIMIT:
            return self._mark
        else:
            self.stream.write(data=data)
        return self._mark

    async def _run(self) -> None:
        outcome = await self.ports.net.connect(
            address=self.address, wait_us=CONNECT_WAIT_US, lost_after_us=LOST_AFTER_US
        )
        if isinstance(outcome, KelpstageError):
            self.end(
                error=outcome
                if isinstance(outcome, ReplyTimeoutError)
                else ConnectError(address=self.address)
            )
            return
        if self.is_ended:
            outcome.close()
            return
        self.stream = outcome
        outcome.write(data=frames.preface(lane=self.lane) + b"".join(self.outbox.values()))
        self.outbox.clear()
        lane = await _read_preface(stream=outcome, address=self.address)
        if isinstance(lane, KelpstageError):
            self.end(error=lane)
            return
        while True:
            got = await _read_frame(stream=outcome, lane=self.lane, address=self.address)
            if isinstance(got, KelpstageError):
                self.end(error=got)
                return
            self.heard_us = self.ports.clock.now_us()
            head, message = got
            if head.flag != REPLY:
                self.end(
                    error=InvalidFrameError(address=self.address, why="a message nobody takes here")
                )
                return
            future = self.waiting.pop(head.mark, None)
            if future is not None and not future.done():
                future.set_result(message)
            self.end_if_idle()

    def retire(self) -> None:
        """Nothing was heard for long: later calls take a new line, those that wait
        here keep their time, since the peer may only be slow."""
        self.is_retired = True
        self._on_end(self)

    def end_if_idle(self) -> None:
        if self.is_retired and not self.waiting:
            self.end(error=ConnectionLostError(address=self.address, why="retired"))

    def end(self, *, error: KelpstageError) -> None:
        if self.is_ended:
            return
        self.is_ended = True
        self._on_end(self)
        if self.stream is not None:
            self.stream.close()
        elif isinstance(error, (ConnectionLostError, ReplyTimeoutError)):
            error = replace(error, was_sent=False)  # it was never open
        self.outbox.clear()
        for future in self.waiting.values():
            if not future.done():
                future.set_result(error)
        self.waiting.clear()


class Lines:
    """Lines to peers, opened when first needed and again after a loss."""

    def __init__(self, *, ports: Ports, counts: Counter) -> None:
        self._ports = ports
        self._counts = counts
        self._lines: dict[tuple[str, int], _Line] = {}
        self._is_looking = False

    def _line(self, *, address: str, lane: int) -> _Line:
        line = self._lines.get((address, lane))
        if line is None:
            line = _Line(ports=self._ports, address=address, lane=lane, on_end=self._forget)
            self._lines[(address, lane)] = line
            if not self._is_looking:
                self._is_looking = True
                self._ports.spawn(self._close_idle())
        return line

    async def _close_idle(self) -> None:
        """A line that nobody used for long is closed: in a large fleet no node keeps
        one to every other."""
        while self._lines:
            await self._ports.clock.sleep(us=IDLE_LOOK_US)
            oldest_us = self._ports.clock.now_us() - IDLE_US
            for line in list(self._lines.values()):
                if not line.waiting and max(line.used_us, line.heard_us) < oldest_us:
                    line.end(error=ConnectionLostError(address=line.address, why="idle"))
        self._is_looking = False

    def _forget(self, line: _Line) -> None:
        if self._lines.get((line.address, line.lane)) is line:
            del self._lines[(line.address, line.lane)]

    async def call(
        self, *, address: str, message: Any, wait_us: int, lane: int = frames.CONTROL
    ) -> Any:
        """Send a message and wait for its reply, or for the error instead of it."""
        line = self._line(address=address, lane=lane)
        sent_us = self._ports.clock.now_us()
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        mark = line.put(message=message, flag=ASK)
        line.waiting[mark] = future
        outcome = await self._ports.clock.within(future, us=wait_us)
        if outcome is not None:
            return outcome
        line.waiting.pop(mark, None)
        # What still waits for its connection leaves no more.
        was_sent = line.outbox.pop(mark, None) is None
        self._counts["line_wait_over"] += 1
        if (
            self._ports.clock.now_us() - max(line.heard_us, sent_us - QUIET_LIMIT_US)
            > QUIET_LIMIT_US
        ):
            line.retire()
        line.end_if_idle()
        return ReplyTimeoutError(address=address, after_us=wait_us, was_sent=was_sent)

    def send(self, *, address: str, message: Any, lane: int = frames.CONTROL) -> None:
        """Send a message that wants no reply; it may be lost."""
        self._line(address=address, lane=lane).put(message=message, flag=ONEWAY)

    def close(self) -> None:
        for line in list(self._lines.values()):
            line.end(error=ConnectionLostError(address=line.address, why="closing"))
