"""The states of the declared backends on the platform's list, which expire."""

from __future__ import annotations

PLATFORM_LIST_TTL_US = 10_000_000  # a list expires this long after it was read


class PlatformStates:
    """Holds the latest reading of the platform's list: the states by backend name."""

    def __init__(self) -> None:
        self._states: dict[str, str] = {}
        self._read_us = -PLATFORM_LIST_TTL_US

    def set_states(self, *, states: dict[str, str], now_us: int) -> None:
        """Record a reading of the list."""
        self._states, self._read_us = states, now_us

    def is_stopping(self, *, name: str, now_us: int) -> bool:
        """True if an unexpired list shows this backend as stopping."""
        return self._is_fresh(now_us=now_us) and self._states.get(name) == "stopping"

    def is_missing(self, *, name: str, now_us: int) -> bool:
        """True if an unexpired list has other backends but not this one."""
        return self._is_fresh(now_us=now_us) and bool(self._states) and name not in self._states

    def _is_fresh(self, *, now_us: int) -> bool:
        return now_us - self._read_us < PLATFORM_LIST_TTL_US
