"""Many deadlines on one timer of the event loop; most calls end long before their deadline."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from typing import Any, Callable

SLACK_S = 0.0005


class Deadlines:
    """A heap of deadlines with one timer on the loop, for the earliest of them."""

    def __init__(self) -> None:
        self._heap: list[list[Any]] = []
        self._sequence = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def schedule(self, *, when: float, callback: Callable[[], None]) -> list[Any]:
        """Call `callback` at `when` (in loop time); returns an entry for `cancel`."""
        entry: list[Any] = [when, next(self._sequence), callback]
        heapq.heappush(self._heap, entry)
        if self._timer is None or when < self._timer_at - SLACK_S:
            self._start_timer(when=when)
        return entry

    def cancel(self, *, entry: list[Any]) -> None:
        """Cancel a deadline: its callback is not called."""
        entry[2] = None

    def _start_timer(self, *, when: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = when
        self._timer = asyncio.get_running_loop().call_at(when, self._run_due)

    def _run_due(self) -> None:
        self._timer = None
        heap = self._heap
        due = asyncio.get_running_loop().time() + SLACK_S
        while heap and (heap[0][2] is None or heap[0][0] <= due):
            callback = heapq.heappop(heap)[2]
            if callback is not None:
                callback()
        if heap and self._timer is None:
            self._start_timer(when=heap[0][0])
