"""A modelled disk: writes wait in order for their sync, and a crash loses a tail of them."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.testbed.model.adapter import DiskSnapshot, LogEntry, MemoryLog, Persist


@dataclass(frozen=True, kw_only=True)
class SnapshotWrite:
    """A snapshot to keep, with the entries behind it and the vote of that moment."""

    snapshot: DiskSnapshot
    tail: tuple[LogEntry, ...]
    term: int
    vote: str
    number: int


@dataclass(kw_only=True)
class Disk:
    """What is synced, and the writes that are not.

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
        """The oldest write reaches the platters."""
        write = self.queue.pop(0)
        if isinstance(write, SnapshotWrite):
            self._keep(write=write)
            return
        if write.cut_from is not None:
            del self.entries[max(0, write.cut_from - self.base_index - 1) :]
        self.entries.extend(write.entries)
        if write.term is not None:
            self.term, self.vote = write.term, write.vote or ""

    def _keep(self, *, write: SnapshotWrite) -> None:
        self.snapshot = write.snapshot
        self.base_index, self.base_term = write.snapshot.index, write.snapshot.term
        self.entries = list(write.tail)
        self.term, self.vote = write.term, write.vote

    def crash(self, *, kept: int, is_torn: bool) -> None:
        """The process or the power is gone: the first `kept` unsynced writes reached
        the disk all the same. If torn, of a snapshot's write behind them only the
        snapshot itself did, not the segment of the log that begins at it."""
        for _ in range(min(kept, len(self.queue))):
            self.write_next()
        if is_torn and self.queue and isinstance(self.queue[0], SnapshotWrite):
            self.snapshot = self.queue[0].snapshot
        self.queue = []
        log = self.recovered_log()
        self.base_index, self.base_term = log.base_index, log.base_term
        self.entries = log.entries

    def recovered_log(self) -> MemoryLog:
        """The log that a start finds: what stands behind the newest snapshot."""
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
        """Is this entry on disk, in the log or in the snapshot?"""
        if index <= self.base_index:
            return True
        place = index - self.base_index - 1
        return place < len(self.entries) and self.entries[place].term == term
