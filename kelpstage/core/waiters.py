"""Futures that handlers wait on until the replica's task settles them."""

from __future__ import annotations

import asyncio
from typing import Any


class Waiters:
    """Tokens and who waits for them."""

    def __init__(self) -> None:
        self._next = 0
        self._futures: dict[int, asyncio.Future] = {}

    def open(self) -> tuple[int, asyncio.Future]:
        """A new token, and the future that its outcome will settle."""
        self._next += 1
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._futures[self._next] = future
        return self._next, future

    def settle(self, *, token: int, outcome: Any) -> None:
        """Give the outcome to who waits for a token; nobody may wait any more."""
        future = self._futures.pop(token, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    def drop(self, *, token: int) -> None:
        """Forget a token whose outcome nobody waits for."""
        self._futures.pop(token, None)
