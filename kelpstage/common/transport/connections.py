"""The client side of the transport: calls to other processes over kept connections.

`Transport` keeps one connection for each peer and channel while it is used; many calls
are under way on each at a time. `transport.server` is the other side.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import (
    ConnectError,
    ConnectionLostError,
    InvalidFrameError,
    ReplyTimeoutError,
)
from kelpstage.common.ports.interfaces import Ports, Stream
from kelpstage.common.transport import frames
from kelpstage.common.transport.codec import Message
from kelpstage.common.transport.frame_reader import read_frame, read_preface
from kelpstage.common.transport.frames import ASK, ONEWAY, REPLY

CONNECT_WAIT_US = 1_000_000
QUIET_LIMIT_US = 2_000_000  # after a timeout: a peer silent for longer gets a new connection
LOST_AFTER_US = 2_000_000  # unacknowledged for so long, a connection is lost
BACKLOG_LIMIT = 64 * 1024 * 1024  # unsent bytes beyond which one-way messages are dropped
IDLE_US = 30_000_000
IDLE_CHECK_US = 10_000_000


class _Connection:
    """One connection to a peer; its task alone reads the stream.

    Messages that are put in before it is open wait in `outbox`. A call waits in `waiting`
    under its correlation id, for the reply or for the error that ended the connection.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        address: str,
        channel: int,
        on_end: Callable[["_Connection"], None],
    ) -> None:
        self.ports = ports
        self.address = address
        self.channel = channel
        self.stream: Stream | None = None
        self.outbox: dict[int, bytes] = {}
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self.received_us = self.used_us = ports.clock.now_us()
        self.is_ended = False
        self.is_retired = False
        self._on_end = on_end
        self._last_id = 0
        ports.spawn(self._run())

    def put(self, *, message: Message, flag: int) -> int:
        """Send a message, at once or when the connection is open; its correlation id."""
        self._last_id += 1
        self.used_us = self.ports.clock.now_us()
        data = frames.pack(message=message, flag=flag, correlation_id=self._last_id)
        if self.stream is None:
            self.outbox[self._last_id] = data
        elif flag == ONEWAY and self.stream.backlog() > BACKLOG_LIMIT:
            return self._last_id
        else:
            self.stream.write(data=data)
        return self._last_id

    async def _run(self) -> None:
        stream = await self._connect()
        if stream is None:
            return
        channel = await read_preface(stream=stream, address=self.address)
        if isinstance(channel, KelpstageError):
            self.end(error=channel)
            return
        while True:
            outcome = await read_frame(stream=stream, channel=self.channel, address=self.address)
            if isinstance(outcome, KelpstageError):
                self.end(error=outcome)
                return
            self.received_us = self.ports.clock.now_us()
            head, message = outcome
            if head.flag != REPLY:
                self.end(
                    error=InvalidFrameError(address=self.address, why="a message nobody takes here")
                )
                return
            future = self.waiting.pop(head.correlation_id, None)
            if future is not None and not future.done():
                future.set_result(message)
            self.end_if_unused()

    async def _connect(self) -> Stream | None:
        """Open the stream and send what waits for it; nothing if the connection has ended."""
        outcome = await self.ports.net.connect(
            address=self.address, wait_us=CONNECT_WAIT_US, lost_after_us=LOST_AFTER_US
        )
        if isinstance(outcome, KelpstageError):
            is_timeout = isinstance(outcome, ReplyTimeoutError)
            self.end(error=outcome if is_timeout else ConnectError(address=self.address))
            return None
        if self.is_ended:
            outcome.close()
            return None
        self.stream = outcome
        outcome.write(data=frames.preface(channel=self.channel) + b"".join(self.outbox.values()))
        self.outbox.clear()
        return outcome

    def retire(self) -> None:
        """Nothing was received for long: later calls take a new connection, those that wait
        here keep their time, since the peer may only be slow."""
        self.is_retired = True
        self._on_end(self)

    def end_if_unused(self) -> None:
        """End it if it is retired and no call waits any more."""
        if self.is_retired and not self.waiting:
            self.end(error=ConnectionLostError(address=self.address, why="retired"))

    def end(self, *, error: KelpstageError) -> None:
        """Close it; every call that waits gets the error."""
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


class Transport:
    """Calls and one-way messages to peers. A connection is opened when it is first needed,
    and again after a loss; nothing is sent a second time."""

    def __init__(self, *, ports: Ports, counts: Counter[str]) -> None:
        self._ports = ports
        self._counts = counts
        self._connections: dict[tuple[str, int], _Connection] = {}
        self._is_checking = False

    def _connection(self, *, address: str, channel: int) -> _Connection:
        connection = self._connections.get((address, channel))
        if connection is None:
            connection = _Connection(
                ports=self._ports, address=address, channel=channel, on_end=self._forget
            )
            self._connections[(address, channel)] = connection
            if not self._is_checking:
                self._is_checking = True
                self._ports.spawn(self._close_idle())
        return connection

    async def _close_idle(self) -> None:
        """A connection that nobody used for long is closed: in a large fleet no node keeps
        one to every other."""
        while self._connections:
            await self._ports.clock.sleep(us=IDLE_CHECK_US)
            oldest_us = self._ports.clock.now_us() - IDLE_US
            for connection in list(self._connections.values()):
                is_idle = max(connection.used_us, connection.received_us) < oldest_us
                if is_idle and not connection.waiting:
                    connection.end(
                        error=ConnectionLostError(address=connection.address, why="idle")
                    )
        self._is_checking = False

    def _forget(self, connection: _Connection) -> None:
        key = connection.address, connection.channel
        if self._connections.get(key) is connection:
            del self._connections[key]

    async def call(
        self, *, address: str, message: Message, wait_us: int, channel: int = frames.CONTROL
    ) -> Any:
        """Send a message and wait for its reply, or for the error instead of it.

        The errors: `ConnectError` (not connected), `ConnectionLostError`, `ReplyTimeoutError`
        (both with `was_sent`), `InvalidFrameError`, `ProtocolVersionError`.
        """
        connection = self._connection(address=address, channel=channel)
        sent_us = self._ports.clock.now_us()
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        correlation_id = connection.put(message=message, flag=ASK)
        connection.waiting[correlation_id] = future
        try:
            outcome = await self._ports.clock.within(future, us=wait_us)
        except asyncio.CancelledError:
            connection.waiting.pop(correlation_id, None)
            connection.outbox.pop(correlation_id, None)
            connection.end_if_unused()
            raise
        if outcome is not None:
            return outcome
        connection.waiting.pop(correlation_id, None)
        # What still waits for its connection leaves no more.
        was_sent = connection.outbox.pop(correlation_id, None) is None
        self._counts["line_wait_over"] += 1
        silent_since_us = max(connection.received_us, sent_us - QUIET_LIMIT_US)
        if self._ports.clock.now_us() - silent_since_us > QUIET_LIMIT_US:
            connection.retire()
        connection.end_if_unused()
        return ReplyTimeoutError(address=address, after_us=wait_us, was_sent=was_sent)

    def send(self, *, address: str, message: Message, channel: int = frames.CONTROL) -> None:
        """Send a message that wants no reply; it may be lost."""
        self._connection(address=address, channel=channel).put(message=message, flag=ONEWAY)

    def close(self) -> None:
        """Close every connection; calls that wait get `ConnectionLostError`."""
        for connection in list(self._connections.values()):
            connection.end(error=ConnectionLostError(address=connection.address, why="closing"))
