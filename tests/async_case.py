"""What tests on a real event loop share: their base class, and a server of raw connections."""

from __future__ import annotations

import asyncio
import math
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
