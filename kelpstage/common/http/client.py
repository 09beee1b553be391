"""HTTP/1.1 out: one request at a time on each connection, kept ones by address.

Nothing is ever sent a second time from here, and every outcome tells whether
something of the request may have reached the other side.
"""

from __future__ import annotations

import asyncio
from typing import Any, Awaitable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectionLostError, ReplyTimeoutError
from kelpstage.common.http import client_connection
from kelpstage.common.http.client_connection import ClientConnection
from kelpstage.common.http.connect import open_connection
from kelpstage.common.http.deadlines import Deadlines
from kelpstage.common.http.pool import Pool
from kelpstage.common.http.request import request_bytes, split_url
from kelpstage.common.ports.interfaces import HttpCall, HttpReply


class HttpClient:
    """Sends calls, each over a connection of its own or over kept ones."""

    def __init__(self) -> None:
        self.deadlines = Deadlines()
        self._pools: dict[str, Pool] = {}
        self._sweep: asyncio.TimerHandle | None = None

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """The reply, or why there is none: `ConnectError` (nothing was sent), `ConnectionLostError`
        and `ReplyTimeoutError` (`was_sent` tells). Cancelled, it closes its connection."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + call.wait_us / 1_000_000
        address, target = split_url(url=call.url)
        data = request_bytes(call=call, address=address, target=target)
        if data is None:
            return ConnectionLostError(
                address=address, why="no request in the protocol", was_sent=False
            )
        if call.connection_limit > 0:
            pool = self._pools.get(address)
            connection: ClientConnection | KelpstageError | None = (
                pool.lease_idle() if pool is not None else None
            )
            if connection is None:
                connection = await self._lease_new(call=call, address=address, deadline=deadline)
        else:
            connection = await self._open(call=call, address=address, deadline=deadline)
        if isinstance(connection, KelpstageError):
            return connection
        if loop.time() >= deadline:  # the process was frozen or busy while it was opened
            connection.hand_back()
            return ReplyTimeoutError(address=address, after_us=call.wait_us, was_sent=False)
        return await connection.exchange(call=call, data=data, deadline=deadline)

    def close(self) -> None:
        """End every idle connection."""
        for pool in list(self._pools.values()):
            for connection in list(pool.idle):
                connection.close()
        if self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None

    def connections_to(self, *, address: str) -> tuple[int, int]:
        """How many kept connections there are to an address, and how many of them idle.

        >>> HttpClient().connections_to(address="127.0.0.1:1")
        (0, 0)
        """
        pool = self._pools.get(address)
        return (pool.count, len(pool.idle)) if pool else (0, 0)

    async def _lease_new(
        self, *, call: HttpCall, address: str, deadline: float
    ) -> ClientConnection | KelpstageError:
        """A connection to keep, in a place of the pool that is free or gets free in time."""
        while True:
            pool = self._pools.get(address)
            if pool is None:
                pool = self._pools[address] = Pool(owner=self, address=address)
            pool.limit = call.connection_limit
            if pool.count < pool.limit:
                pool.count += 1
                break
            found = await self._wait_in_pool(
                pool=pool, call=call, address=address, deadline=deadline
            )
            if isinstance(found, KelpstageError):
                return found
            if found is None:
                break
            if found.lease():
                return found
            if found.pool is not None:
                found.pool = None  # its place stays with this call
                found.close()
                break
        return await self._open_in(pool=pool, call=call, address=address, deadline=deadline)

    def _open(
        self, *, call: HttpCall, address: str, deadline: float
    ) -> Awaitable[ClientConnection | KelpstageError]:
        return open_connection(
            deadlines=self.deadlines, call=call, address=address, deadline=deadline
        )

    async def _open_in(
        self, *, pool: Pool, call: HttpCall, address: str, deadline: float
    ) -> ClientConnection | KelpstageError:
        try:
            connection = await self._open(call=call, address=address, deadline=deadline)
        except BaseException:
            pool.free_place()
            raise
        if isinstance(connection, KelpstageError):
            pool.free_place()
            return connection
        connection.pool = pool
        return connection

    async def _wait_in_pool(
        self, *, pool: Pool, call: HttpCall, address: str, deadline: float
    ) -> ClientConnection | KelpstageError | None:
        """Wait in order for a connection, or for a place to open one (None)."""
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        pool.waiting.append(future)

        def on_deadline() -> None:
            if not future.done():
                future.set_result(
                    ReplyTimeoutError(address=address, after_us=call.wait_us, was_sent=False)
                )

        entry = self.deadlines.at(when=deadline, callback=on_deadline)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():  # it came at the same moment
                found = future.result()
                if isinstance(found, ClientConnection):
                    pool.release(connection=found)
                elif found is None:
                    pool.free_place()
            raise
        finally:
            self.deadlines.cancel(entry=entry)

    # --- idle connections ----------------------------------------------------------------------

    def note_idle(self) -> None:
        """A connection has become idle: look later whether its time is over."""
        if self._sweep is None:
            self._sweep = asyncio.get_running_loop().call_later(
                client_connection.SWEEP_S, self._close_expired
            )

    def drop_pool(self, *, address: str, pool: Pool) -> None:
        """Forget a pool that has no connection and no waiting call."""
        if self._pools.get(address) is pool:
            del self._pools[address]

    def _close_expired(self) -> None:
        """Ends idle connections whose time is over; ticks only while there are idle ones."""
        self._sweep = None
        loop = asyncio.get_running_loop()
        now = loop.time()
        for pool in list(self._pools.values()):
            for connection in list(pool.idle):
                if connection.use_until <= now:
                    connection.close()
        ends = [idle.use_until for pool in self._pools.values() for idle in pool.idle]
        if ends:
            self._sweep = loop.call_at(
                max(now + client_connection.SWEEP_S, min(ends)), self._close_expired
            )
