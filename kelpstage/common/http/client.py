"""HTTP/1.1 client: one request at a time on each connection, one connection pool per address.

The client never retries a request. Every error says whether any part of the request may have
reached the server.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
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
    """Sends calls, each over a new connection or over a pooled one."""

    def __init__(self) -> None:
        self.deadlines = Deadlines()
        self._pools: dict[str, Pool] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """Send a call and return its reply, or the error that prevented one.

        After `ConnectError` nothing was sent; `ConnectionLostError` and `ReplyTimeoutError` say
        so in `was_sent`. Cancelling closes the connection.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + call.wait_us / 1_000_000
        address, target = split_url(url=call.url)
        data = request_bytes(call=call, address=address, target=target)
        if data is None:
            return ConnectionLostError(address=address, why="invalid HTTP request", was_sent=False)
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
        began = loop.time()
        if began >= deadline:  # the process was suspended or busy during the connect
            connection.return_to_pool()
            return ReplyTimeoutError(address=address, after_us=call.wait_us, was_sent=False)
        outcome = await connection.exchange(call=call, data=data, deadline=deadline)
        if isinstance(outcome, HttpReply):
            return replace(outcome, exchange_us=round((loop.time() - began) * 1_000_000))
        return outcome

    def close(self) -> None:
        """Close every idle connection."""
        for pool in list(self._pools.values()):
            for connection in list(pool.idle):
                connection.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None

    def connections_to(self, *, address: str) -> tuple[int, int]:
        """The number of pooled connections to an address, and how many of them are idle.

        >>> HttpClient().connections_to(address="127.0.0.1:1")
        (0, 0)
        """
        pool = self._pools.get(address)
        return (pool.count, len(pool.idle)) if pool else (0, 0)

    async def _lease_new(
        self, *, call: HttpCall, address: str, deadline: float
    ) -> ClientConnection | KelpstageError:
        """Open a pooled connection, or wait until the pool has a free slot or an idle one."""
        while True:
            pool = self._pools.get(address)
            if pool is None:
                pool = self._pools[address] = Pool(owner=self, address=address)
            pool.limit = call.connection_limit
            if pool.count < pool.limit:
                pool.count += 1
                break
            found = await self._wait_for_connection(
                pool=pool, call=call, address=address, deadline=deadline
            )
            if isinstance(found, KelpstageError):
                return found
            if found is None:
                break
            if found.lease():
                return found
            if found.pool is not None:
                found.pool = None  # this call keeps its slot in the pool
                found.close()
                break
        return await self._open_in_pool(pool=pool, call=call, address=address, deadline=deadline)

    def _open(
        self, *, call: HttpCall, address: str, deadline: float
    ) -> Awaitable[ClientConnection | KelpstageError]:
        return open_connection(
            deadlines=self.deadlines, call=call, address=address, deadline=deadline
        )

    async def _open_in_pool(
        self, *, pool: Pool, call: HttpCall, address: str, deadline: float
    ) -> ClientConnection | KelpstageError:
        try:
            connection = await self._open(call=call, address=address, deadline=deadline)
        except BaseException:
            pool.release_slot()
            raise
        if isinstance(connection, KelpstageError):
            pool.release_slot()
            return connection
        connection.pool = pool
        return connection

    async def _wait_for_connection(
        self, *, pool: Pool, call: HttpCall, address: str, deadline: float
    ) -> ClientConnection | KelpstageError | None:
        """Wait in FIFO order for a connection, or for a slot to open one (None)."""
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        pool.waiting.append(future)

        def on_deadline() -> None:
            if not future.done():
                future.set_result(
                    ReplyTimeoutError(address=address, after_us=call.wait_us, was_sent=False)
                )

        entry = self.deadlines.schedule(when=deadline, callback=on_deadline)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():  # the result arrived just before
                found = future.result()
                if isinstance(found, ClientConnection):
                    pool.release(connection=found)
                elif found is None:
                    pool.release_slot()
            raise
        finally:
            self.deadlines.cancel(entry=entry)

    # --- idle connections ----------------------------------------------------------------------

    def schedule_sweep(self) -> None:
        """Start the timer that closes expired idle connections, if it is not running."""
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(
                client_connection.SWEEP_INTERVAL_S, self._close_expired
            )

    def remove_pool(self, *, address: str, pool: Pool) -> None:
        """Remove a pool that has no connection and no waiting call."""
        if self._pools.get(address) is pool:
            del self._pools[address]

    def _close_expired(self) -> None:
        """Close expired idle connections; the timer runs only while there are idle ones."""
        self._sweep_timer = None
        loop = asyncio.get_running_loop()
        now = loop.time()
        for pool in list(self._pools.values()):
            for connection in list(pool.idle):
                if connection.reusable_until <= now:
                    connection.close()
        ends = [idle.reusable_until for pool in self._pools.values() for idle in pool.idle]
        if ends:
            self._sweep_timer = loop.call_at(
                max(now + client_connection.SWEEP_INTERVAL_S, min(ends)), self._close_expired
            )
