"""Helpers for tests on a real event loop: a base class, clocks and a raw TCP server."""

from __future__ import annotations

import asyncio
import math
import socket
import struct
import unittest
from contextlib import suppress
from typing import Awaitable, Callable

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class AsyncCase(unittest.IsolatedAsyncioTestCase):
    """A test on an event loop in debug mode, without reports of slow callbacks.

    Slow callbacks depend on the load of the machine. Other reports of debug mode stay enabled.
    """

    async def asyncSetUp(self) -> None:
        """Configures the loop; an override calls this first."""
        asyncio.get_running_loop().slow_callback_duration = math.inf


class LoopClock:
    """A clock port that uses the running loop's time, so that `FrozenLoopTime` freezes both."""

    def now_us(self) -> int:
        """Returns the loop's time in whole microseconds."""
        return round(asyncio.get_running_loop().time() * 1_000_000)

    def call_later(self, *, us: int, callback: Callable[[], None]) -> None:
        """Calls `callback` after `us` microseconds."""
        asyncio.get_running_loop().call_later(max(0, us) / 1_000_000, callback)


class FrozenLoopTime:
    """Freezes the running loop's time on creation; only `advance` moves it.

    Sockets work as usual, so a test can wait for data and then let a deadline expire,
    independent of the load of the machine.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._now_s = loop.time()
        loop.time = lambda: self._now_s  # type: ignore[method-assign]

    def advance(self, *, ms: int) -> None:
        """Advances the time by `ms` milliseconds; timers that are due then fire."""
        self._now_s += ms / 1_000


def send_reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class RawServer:
    """A TCP server that keeps the tasks of its handlers.

    `asyncio.start_server` does not keep them: a handler that still runs when the loop closes
    is cancelled without being awaited, which Python 3.11 reports as an error.
    """

    def __init__(self, *, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self.address = ""

    async def start(self, *, address: str = "127.0.0.1:0") -> None:
        """Starts to listen and sets `address`; port 0 selects a free port."""
        host, _, port = address.partition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._handle(reader, writer))
        self._writers[task] = writer

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await self._handler(reader, writer)

    def close_listener(self) -> None:
        """Stops accepting connections; open connections stay open."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Closes all connections and waits for all handlers; raises an error that one raised."""
        self.close_listener()
        for task, writer in self._writers.items():
            writer.transport.abort()
            task.cancel()
        outcomes = await asyncio.gather(*self._writers, return_exceptions=True)
        self._writers.clear()
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                raise outcome
