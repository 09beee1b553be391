"""Futures that handlers wait on until the replica's task settles them."""

from __future__ import annotations

import asyncio
from typing import Any


class Waiters:
    """Pending futures by token. Each token is settled or dropped once."""

    def __init__(self) -> None:
        self._next = 0
        self._futures: dict[int, asyncio.Future[Any]] = {}

    def open(self) -> tuple[int, asyncio.Future[Any]]:
        """A new token, and the future that receives its outcome."""
        self._next += 1
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._futures[self._next] = future
        return self._next, future

    def settle(self, *, token: int, outcome: Any) -> None:
        """Set the outcome of a token; no effect if the token was dropped."""
        future = self._futures.pop(token, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    def drop(self, *, token: int) -> None:
        """Remove a token whose outcome is no longer awaited."""
        self._futures.pop(token, None)
