"""The connection pool of an HTTP client for one address."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, Protocol

from kelpstage.common.http.client_connection import ClientConnection


class PoolOwner(Protocol):
    """The part of a client that its pools use."""

    def schedule_sweep(self) -> None:
        """Schedule the check for expired connections: one has become idle."""

    def remove_pool(self, *, address: str, pool: "Pool") -> None:
        """Remove a pool that has no connection and no waiting call."""


class Pool:
    """The pooled connections to one address, and the calls that wait for one.

    Invariant: `count` is the number of occupied slots, one for each connection that is open or
    being opened; `limit` is the `connection_limit` of the newest call. Waiting calls are served
    in FIFO order.
    """

    def __init__(self, *, owner: PoolOwner, address: str) -> None:
        self._owner = owner
        self._address = address
        self.limit = 0
        self.count = 0  # connections that are open, busy or being opened
        self.idle: list[ClientConnection] = []
        self.waiting: deque[asyncio.Future[Any]] = deque()

    def lease_idle(self) -> ClientConnection | None:
        """The most recently used idle connection that is usable; unusable ones are closed."""
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable_until > now and connection.lease():
                return connection
            connection.close()
        return None

    def release(self, *, connection: ClientConnection) -> None:
        """Pass an idle connection to the first waiting call, or keep it in the pool."""
        if self.count > self.limit:
            connection.close()
            return
        if not self._wake_waiter(result=connection):
            self.idle.append(connection)
            self._owner.schedule_sweep()

    def forget(self, *, connection: ClientConnection) -> None:
        """Remove a closed connection and release its slot."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.release_slot()

    def release_slot(self) -> None:
        """Release a slot: the first waiting call may open a connection in it."""
        if self.count <= self.limit and self._wake_waiter(result=None):
            return
        self.count -= 1
        if not self.count and not self.waiting:
            self._owner.remove_pool(address=self._address, pool=self)

    def _wake_waiter(self, *, result: ClientConnection | None) -> bool:
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(result)
                return True
        return False
