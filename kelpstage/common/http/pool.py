"""The kept connections of an HTTP client to one address."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, Protocol

from kelpstage.common.http.client_connection import ClientConnection


class PoolOwner(Protocol):
    """What a pool tells its client."""

    def note_idle(self) -> None:
        """A connection has become idle."""

    def drop_pool(self, *, address: str, pool: "Pool") -> None:
        """The pool has no connection left, and no call waits for one."""


class Pool:
    """The kept connections to one address, and the calls that wait for one.

    Invariant: `count` is the number of connections that are open or being opened, each in a
    place of its own; `limit` is what the newest call allows. Waiting calls are served in
    their order.
    """

    def __init__(self, *, owner: PoolOwner, address: str) -> None:
        self._owner = owner
        self._address = address
        self.limit = 0
        self.count = 0  # connections that are open, busy or being opened
        self.idle: list[ClientConnection] = []
        self.waiting: deque[asyncio.Future[Any]] = deque()

    def lease_idle(self) -> ClientConnection | None:
        """The connection used last that can still be used; those that can't are closed."""
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle.pop()
            if connection.use_until > now and connection.lease():
                return connection
            connection.close()
        return None

    def release(self, *, connection: ClientConnection) -> None:
        """An idle connection goes to the first who waits, or is kept."""
        if self.count > self.limit:
            connection.close()
            return
        if not self._give_to_waiting(result=connection):
            self.idle.append(connection)
            self._owner.note_idle()

    def forget(self, *, connection: ClientConnection) -> None:
        """A connection was closed."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.free_place()

    def free_place(self) -> None:
        """A place is free: the first who waits may open a connection in it."""
        if self.count <= self.limit and self._give_to_waiting(result=None):
            return
        self.count -= 1
        if not self.count and not self.waiting:
            self._owner.drop_pool(address=self._address, pool=self)

    def _give_to_waiting(self, *, result: ClientConnection | None) -> bool:
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(result)
                return True
        return False
