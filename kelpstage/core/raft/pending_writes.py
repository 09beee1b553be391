"""Which writes of a replica are on its disk.

Writes are numbered in the order in which they are given to the disk; `Synced` events
tell how far it has come. Invariant: `durable` is an index up to which the log in memory
is on disk, entry for entry. It falls when entries are dropped from the log, and a write
from before that proves nothing about what took their place.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class PendingWrite:
    """A write under way: the log's last index as of it, and when it was given."""

    number: int
    last_index: int
    begun_us: int


class PendingWrites:
    """The numbers of writes, and what their syncs prove.

    >>> writes = PendingWrites(durable=4)
    >>> writes.begin(last_index=5, now_us=0)
    1
    >>> writes.drop_behind(index=3); writes.begin(last_index=4, now_us=1)
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
        self._valid_from = 0  # writes before this number hold entries that were dropped

    def begin(self, *, last_index: int, now_us: int) -> int:
        """Count one write more; its number."""
        self.last_number += 1
        self._pending.append(
            PendingWrite(number=self.last_number, last_index=last_index, begun_us=now_us)
        )
        return self.last_number

    def drop_behind(self, *, index: int) -> None:
        """Entries behind `index` are dropped from the log."""
        self.durable = min(self.durable, index)
        self._valid_from = self.last_number + 1

    def on_synced(self, *, number: int) -> None:
        """All writes up to `number` are on disk."""
        self.synced_number = max(self.synced_number, number)
        while self._pending and self._pending[0].number <= number:
            write = self._pending.pop(0)
            if write.number >= self._valid_from:
                self.durable = max(self.durable, write.last_index)

    def is_synced(self, *, number: int) -> bool:
        """Is the write of this number on disk?"""
        return number <= self.synced_number

    def is_stalled(self, *, now_us: int, limit_us: int) -> bool:
        """Has the oldest write under way taken longer than `limit_us`?"""
        return bool(self._pending) and now_us - self._pending[0].begun_us > limit_us
