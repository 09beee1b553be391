"""What tests on a real event loop share: their base class, and a server of raw connections."""

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
    """A test on a loop in debug mode, without its reports of slow callbacks.

    Those measure how busy the machine is; all else that debug mode finds is still reported.
    """

    async def asyncSetUp(self) -> None:
        """Prepare the loop; a subclass calls this first."""
        asyncio.get_running_loop().slow_callback_duration = math.inf


class LoopClock:
    """The clock port on the running loop's time, so that a test can hold both still."""

    def now_us(self) -> int:
        """The loop's time in whole microseconds."""
        return round(asyncio.get_running_loop().time() * 1_000_000)

    def later(self, *, us: int, callback: Callable[[], None]) -> None:
        """Call `callback` after so long."""
        asyncio.get_running_loop().call_later(max(0, us) / 1_000_000, callback)


class HeldTime:
    """Holds a loop's time still from its making on; it passes only in `advance`.

    Sockets go on as they are, so a test waits for what they bring and then lets a deadline
    pass, however busy the machine is.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._now_s = loop.time()
        loop.time = lambda: self._now_s  # type: ignore[method-assign]

    def advance(self, *, ms: int) -> None:
        """Let so many milliseconds pass at once; timers that are due then fire."""
        self._now_s += ms / 1_000


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class RawServer:
    """A server of raw connections that owns the tasks of its handlers.

    The server of `asyncio.start_server` forgets them: a handler that still runs when the
    loop is closed is cancelled unseen, which Python 3.11 reports as a fault of its own.
    """

    def __init__(self, *, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self.address = ""

    async def start(self, *, address: str = "127.0.0.1:0") -> None:
        """Listen; port 0 takes any free one, which `address` then names."""
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
        """Accept no more connections; those that are open stay."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """End every connection and wait for every handler; raise what one of them raised."""
        self.close_listener()
        for task, writer in self._writers.items():
            writer.transport.abort()
            task.cancel()
        outcomes = await asyncio.gather(*self._writers, return_exceptions=True)
        self._writers.clear()
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                raise outcome
