"""An event loop on virtual time: when no task is ready, the clock advances to the next timer."""

from __future__ import annotations

import asyncio
import selectors


class SimulationDeadlockError(Exception):
    """No task is ready and no timer is set, so the simulation can not go on."""


class _NoWaitSelector(selectors.BaseSelector):
    """A selector without I/O events; waiting advances the virtual clock instead."""

    def __init__(self) -> None:
        self.advance = lambda seconds: None
        self._keys: dict = {}

    def register(self, fileobj, events, data=None):
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj):
        return self._keys.pop(fileobj)

    def select(self, timeout=None):
        if timeout is None:
            raise SimulationDeadlockError()
        if timeout > 0:
            self.advance(timeout)
        return []

    def get_map(self):
        return self._keys


class VirtualLoop(asyncio.SelectorEventLoop):
    """An asyncio loop on virtual time.

    >>> loop = VirtualLoop()
    >>> loop.run_until_complete(asyncio.sleep(3600))
    >>> round(loop.time())
    3600
    >>> loop.close()
    """

    def __init__(self) -> None:
        self._virtual_s = 0.0
        selector = _NoWaitSelector()
        super().__init__(selector)
        self._clock_resolution = 1e-7
        selector.advance = self._advance

    def _advance(self, seconds: float) -> None:
        self._virtual_s += seconds

    def time(self) -> float:
        """Virtual seconds since the loop was created; asyncio schedules timers by it."""
        return self._virtual_s

    def now_us(self) -> int:
        """Virtual time since the loop was created, in whole microseconds."""
        return round(self._virtual_s * 1_000_000)
