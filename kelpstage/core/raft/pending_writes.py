"""Tracks which writes of a replica are on its disk.

Writes are numbered in the order in which they are issued; `Synced` events report the last
number that is on disk. Invariant: the log in memory up to `durable` is on disk, entry for
entry. `durable` decreases when the log is truncated, and a write from before the truncation
does not count for the entries that replace the removed ones.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class PendingWrite:
    """A write in progress: the last log index that it covers, and when it was issued."""

    number: int
    last_index: int
    begun_us: int


class PendingWrites:
    """The writes in progress, and the log index that is durable.

    >>> writes = PendingWrites(durable=4)
    >>> writes.begin(last_index=5, now_us=0)
    1
    >>> writes.truncate_after(index=3); writes.begin(last_index=4, now_us=1)
    2
    >>> writes.on_synced(number=1); writes.durable
    3
    >>> writes.on_synced(number=2); writes.durable
    4
    """

    def __init__(self, *, durable: int) -> None:
        self.last_number = 0
        self.synced_number = 0
        self.durable = durable
        self._pending: list[PendingWrite] = []
        self._valid_from = 0  # writes below this number may contain truncated entries

    def begin(self, *, last_index: int, now_us: int) -> int:
        """Record a new write and return its number."""
        self.last_number += 1
        self._pending.append(
            PendingWrite(number=self.last_number, last_index=last_index, begun_us=now_us)
        )
        return self.last_number

    def truncate_after(self, *, index: int) -> None:
        """Record that the entries after `index` are truncated from the log."""
        self.durable = min(self.durable, index)
        self._valid_from = self.last_number + 1

    def on_synced(self, *, number: int) -> None:
        """Record that all writes up to `number` are on disk."""
        self.synced_number = max(self.synced_number, number)
        while self._pending and self._pending[0].number <= number:
            write = self._pending.pop(0)
            if write.number >= self._valid_from:
                self.durable = max(self.durable, write.last_index)

    def is_synced(self, *, number: int) -> bool:
        """True when the write with this number is on disk."""
        return number <= self.synced_number

    def is_stalled(self, *, now_us: int, limit_us: int) -> bool:
        """True when the oldest write in progress has taken longer than `limit_us`."""
        return bool(self._pending) and now_us - self._pending[0].begun_us > limit_us
