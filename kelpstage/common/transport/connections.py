"""The client side of the transport: calls to other processes over persistent connections.

`Transport` keeps one connection for each peer and channel while it is in use and multiplexes
calls on it. `transport.server` is the server side.
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
from kelpstage.common.transport.frames import ONEWAY, REPLY, REQUEST

CONNECT_TIMEOUT_US = 1_000_000
SILENCE_LIMIT_US = 2_000_000  # after a timeout, a connection silent for longer is retired
LOST_AFTER_US = 2_000_000  # a connection with data unacknowledged for this long is lost
BACKLOG_LIMIT_BYTES = 64 * 1024 * 1024  # unsent bytes beyond which one-way messages are dropped
IDLE_TIMEOUT_US = 30_000_000
IDLE_CHECK_INTERVAL_US = 10_000_000


class _Connection:
    """One connection to a peer; only its own task reads the stream.

    Messages sent before it is open are queued in `send_queue`. `pending_replies` holds a future
    for each call in flight, by correlation id; it is set to the reply or to the error that closed
    the connection.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        address: str,
        channel: int,
        detach: Callable[["_Connection"], None],
    ) -> None:
        self.ports = ports
        self.address = address
        self.channel = channel
        self.stream: Stream | None = None
        self.send_queue: dict[int, bytes] = {}
        self.pending_replies: dict[int, asyncio.Future[Any]] = {}
        self.last_received_us = self.last_used_us = ports.clock.now_us()
        self.is_closed = False
        self.is_retired = False
        self._detach = detach
        self._last_id = 0
        ports.spawn(self._run())

    def send(self, *, message: Message, flag: int) -> int:
        """Send a message, now or once the connection is open; returns its correlation id."""
        self._last_id += 1
        self.last_used_us = self.ports.clock.now_us()
        data = frames.pack(message=message, flag=flag, correlation_id=self._last_id)
        if self.stream is None:
            self.send_queue[self._last_id] = data
        elif flag == ONEWAY and self.stream.backlog() > BACKLOG_LIMIT_BYTES:
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
            self.close(error=channel)
            return
        while True:
            outcome = await read_frame(stream=stream, channel=self.channel, address=self.address)
            if isinstance(outcome, KelpstageError):
                self.close(error=outcome)
                return
            self.last_received_us = self.ports.clock.now_us()
            header, message = outcome
            if header.flag != REPLY:
                self.close(error=InvalidFrameError(address=self.address, why="not a reply"))
                return
            future = self.pending_replies.pop(header.correlation_id, None)
            if future is not None and not future.done():
                future.set_result(message)
            self.close_if_unused()

    async def _connect(self) -> Stream | None:
        """Open the stream and send the queued messages; `None` if the connection is closed."""
        outcome = await self.ports.net.connect(
            address=self.address, wait_us=CONNECT_TIMEOUT_US, lost_after_us=LOST_AFTER_US
        )
        if isinstance(outcome, KelpstageError):
            is_timeout = isinstance(outcome, ReplyTimeoutError)
            self.close(error=outcome if is_timeout else ConnectError(address=self.address))
            return None
        if self.is_closed:
            outcome.close()
            return None
        self.stream = outcome
        outcome.write(
            data=frames.preface(channel=self.channel) + b"".join(self.send_queue.values())
        )
        self.send_queue.clear()
        return outcome

    def retire(self) -> None:
        """Direct later calls to a new connection after a long silence. The calls in flight keep
        waiting until their own timeouts, since the peer may only be slow."""
        self.is_retired = True
        self._detach(self)

    def close_if_unused(self) -> None:
        """Close the connection if it is retired and has no call in flight."""
        if self.is_retired and not self.pending_replies:
            self.close(error=ConnectionLostError(address=self.address, why="retired"))

    def close(self, *, error: KelpstageError) -> None:
        """Close the connection; every call in flight returns the error."""
        if self.is_closed:
            return
        self.is_closed = True
        self._detach(self)
        if self.stream is not None:
            self.stream.close()
        elif isinstance(error, (ConnectionLostError, ReplyTimeoutError)):
            error = replace(error, was_sent=False)  # the connection was never open
        self.send_queue.clear()
        for future in self.pending_replies.values():
            if not future.done():
                future.set_result(error)
        self.pending_replies.clear()


class Transport:
    """Calls and one-way messages to peers. A connection is opened on first use and reopened on
    the next use after a loss; no message is retransmitted."""

    def __init__(self, *, ports: Ports, counts: Counter[str]) -> None:
        self._ports = ports
        self._counts = counts
        self._connections: dict[tuple[str, int], _Connection] = {}
        self._is_checking = False

    def _connection(self, *, address: str, channel: int) -> _Connection:
        connection = self._connections.get((address, channel))
        if connection is None:
            connection = _Connection(
                ports=self._ports, address=address, channel=channel, detach=self._detach
            )
            self._connections[(address, channel)] = connection
            if not self._is_checking:
                self._is_checking = True
                self._ports.spawn(self._close_idle())
        return connection

    async def _close_idle(self) -> None:
        """Close connections that are idle for `IDLE_TIMEOUT_US`, so that in a large fleet a node
        does not keep a connection to every other node."""
        while self._connections:
            await self._ports.clock.sleep(us=IDLE_CHECK_INTERVAL_US)
            idle_since_us = self._ports.clock.now_us() - IDLE_TIMEOUT_US
            for connection in list(self._connections.values()):
                is_idle = max(connection.last_used_us, connection.last_received_us) < idle_since_us
                if is_idle and not connection.pending_replies:
                    connection.close(
                        error=ConnectionLostError(address=connection.address, why="idle")
                    )
        self._is_checking = False

    def _detach(self, connection: _Connection) -> None:
        key = connection.address, connection.channel
        if self._connections.get(key) is connection:
            del self._connections[key]

    async def call(
        self, *, address: str, message: Message, wait_us: int, channel: int = frames.CONTROL
    ) -> Any:
        """Send a message and return its reply, or an error.

        The errors are `ConnectError` (not connected), `ConnectionLostError` and
        `ReplyTimeoutError` (both with `was_sent`), `InvalidFrameError` and
        `ProtocolVersionError`.
        """
        connection = self._connection(address=address, channel=channel)
        sent_us = self._ports.clock.now_us()
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        correlation_id = connection.send(message=message, flag=REQUEST)
        connection.pending_replies[correlation_id] = future
        try:
            outcome = await self._ports.clock.within(future, us=wait_us)
        except asyncio.CancelledError:
            connection.pending_replies.pop(correlation_id, None)
            connection.send_queue.pop(correlation_id, None)
            connection.close_if_unused()
            raise
        if outcome is not None:
            return outcome
        connection.pending_replies.pop(correlation_id, None)
        # A message that is still queued for its connection is not sent any more.
        was_sent = connection.send_queue.pop(correlation_id, None) is None
        self._counts["line_wait_over"] += 1
        silent_since_us = max(connection.last_received_us, sent_us - SILENCE_LIMIT_US)
        if self._ports.clock.now_us() - silent_since_us > SILENCE_LIMIT_US:
            connection.retire()
        connection.close_if_unused()
        return ReplyTimeoutError(address=address, after_us=wait_us, was_sent=was_sent)

    def open(self, *, address: str, channel: int = frames.CONTROL) -> None:
        """Open the connection to a peer if there is none, so that the next call need not wait;
        an open one is kept from being closed as idle."""
        connection = self._connection(address=address, channel=channel)
        connection.last_used_us = self._ports.clock.now_us()

    def is_connected(self, *, address: str, channel: int = frames.CONTROL) -> bool:
        """True if a call would be sent at once, over a connection that is already open."""
        connection = self._connections.get((address, channel))
        return connection is not None and connection.stream is not None

    def send(self, *, address: str, message: Message, channel: int = frames.CONTROL) -> None:
        """Send a one-way message; it may be lost."""
        self._connection(address=address, channel=channel).send(message=message, flag=ONEWAY)

    def close(self) -> None:
        """Close every connection; calls in flight return `ConnectionLostError`."""
        for connection in list(self._connections.values()):
            connection.close(error=ConnectionLostError(address=connection.address, why="closing"))
