"""Many deadlines over one timer of the loop: most calls end long before theirs."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from typing import Any, Callable

SLACK_S = 0.0005


class Deadlines:
    """A heap of deadlines; the loop holds one timer, for the earliest of them."""

    def __init__(self) -> None:
        self._heap: list[list[Any]] = []
        self._serial = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self._armed = 0.0

    def at(self, *, when: float, callback: Callable[[], None]) -> list[Any]:
        """Have `callback` called at `when` (the loop's time). The entry that comes back
        is for `cancel`."""
        entry: list[Any] = [when, next(self._serial), callback]
        heapq.heappush(self._heap, entry)
        if self._timer is None or when < self._armed - SLACK_S:
            self._arm(when=when)
        return entry

    def cancel(self, *, entry: list[Any]) -> None:
        """Have a deadline's callback not be called."""
        entry[2] = None

    def _arm(self, *, when: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._armed = when
        self._timer = asyncio.get_running_loop().call_at(when, self._ring)

    def _ring(self) -> None:
        self._timer = None
        heap = self._heap
        due = asyncio.get_running_loop().time() + SLACK_S
        while heap and (heap[0][2] is None or heap[0][0] <= due):
            callback = heapq.heappop(heap)[2]
            if callback is not None:
                callback()
        if heap and self._timer is None:
            self._arm(when=heap[0][0])
