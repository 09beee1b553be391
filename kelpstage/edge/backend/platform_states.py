"""What the platform's list says of the declared backends: a hint that grows old."""

from __future__ import annotations

PLATFORM_LIST_TTL_US = 10_000_000  # a list that is not read anew counts for so long


class PlatformStates:
    """Owns the latest reading of the platform's list: a state by backend name."""

    def __init__(self) -> None:
        self._states: dict[str, str] = {}
        self._read_us = -PLATFORM_LIST_TTL_US

    def set_states(self, *, states: dict[str, str], now_us: int) -> None:
        """Take over a reading of the list."""
        self._states, self._read_us = states, now_us

    def is_stopping(self, *, name: str, now_us: int) -> bool:
        """Does a fresh list call this backend stopping?"""
        return self._is_fresh(now_us=now_us) and self._states.get(name) == "stopping"

    def is_missing(self, *, name: str, now_us: int) -> bool:
        """Does a fresh list that holds others leave this one out?"""
        return self._is_fresh(now_us=now_us) and bool(self._states) and name not in self._states

    def _is_fresh(self, *, now_us: int) -> bool:
        return now_us - self._read_us < PLATFORM_LIST_TTL_US
