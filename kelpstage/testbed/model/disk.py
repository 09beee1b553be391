"""A modelled disk: writes are synced in order, and a crash loses the last unsynced ones."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.testbed.model.adapter import DiskSnapshot, LogEntry, MemoryLog, Persist


@dataclass(frozen=True, kw_only=True)
class SnapshotWrite:
    """A snapshot to store, with the log entries after it, and the term and vote at that time."""

    snapshot: DiskSnapshot
    tail: tuple[LogEntry, ...]
    term: int
    vote: str
    number: int


@dataclass(kw_only=True)
class Disk:
    """The synced contents of a disk, and the queue of unsynced writes.

    >>> disk = Disk()
    >>> disk.queue.append(Persist(number=1, entries=[LogEntry(index=1, term=1)]))
    >>> disk.holds(index=1, term=1)
    False
    >>> disk.write_next(); disk.holds(index=1, term=1)
    True
    """

    term: int = 0
    vote: str = ""
    base_index: int = 0
    base_term: int = 0
    entries: list[LogEntry] = field(default_factory=list)
    snapshot: DiskSnapshot | None = None
    queue: list[Persist | SnapshotWrite] = field(default_factory=list)

    def write_next(self) -> None:
        """Make the oldest queued write durable."""
        write = self.queue.pop(0)
        if isinstance(write, SnapshotWrite):
            self._store_snapshot(write=write)
            return
        if write.cut_from is not None:
            del self.entries[max(0, write.cut_from - self.base_index - 1) :]
        self.entries.extend(write.entries)
        if write.term is not None:
            self.term, self.vote = write.term, write.vote or ""

    def _store_snapshot(self, *, write: SnapshotWrite) -> None:
        self.snapshot = write.snapshot
        self.base_index, self.base_term = write.snapshot.index, write.snapshot.term
        self.entries = list(write.tail)
        self.term, self.vote = write.term, write.vote

    def crash(self, *, kept: int, is_torn: bool) -> None:
        """Apply a crash: the first `kept` unsynced writes reach the disk, the others are lost.

        With `is_torn`, a snapshot write that comes next is stored in part: the snapshot
        itself, but not the log segment that begins at it.
        """
        for _ in range(min(kept, len(self.queue))):
            self.write_next()
        if is_torn and self.queue and isinstance(self.queue[0], SnapshotWrite):
            self.snapshot = self.queue[0].snapshot
        self.queue = []
        log = self.recovered_log()
        self.base_index, self.base_term = log.base_index, log.base_term
        self.entries = log.entries

    def recovered_log(self) -> MemoryLog:
        """Return the log that a start recovers: the entries after the newest snapshot."""
        log = MemoryLog(
            base_index=self.base_index, base_term=self.base_term, entries=list(self.entries)
        )
        if self.snapshot is None or self.snapshot.index == log.base_index:
            return log
        if log.term_at(index=self.snapshot.index) == self.snapshot.term:
            log.compact(index=self.snapshot.index)
            return log
        return MemoryLog(base_index=self.snapshot.index, base_term=self.snapshot.term)

    def holds(self, *, index: int, term: int) -> bool:
        """True if this entry is on disk, in the log or covered by the snapshot."""
        if index <= self.base_index:
            return True
        position = index - self.base_index - 1
        return position < len(self.entries) and self.entries[position].term == term
