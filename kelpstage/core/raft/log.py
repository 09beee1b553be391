"""The log as a replica holds it in memory: entries behind a snapshot."""

from __future__ import annotations

from kelpstage.common.transport.messages import LogEntry


class MemoryLog:
    """Entries `first..last`; what is before `first` is in a snapshot.

    >>> log = MemoryLog(base_index=0, base_term=0)
    >>> log.add(LogEntry(index=1, term=1)); log.last_index, log.term_at(index=1)
    (1, 1)
    >>> log.cut(index=1); log.last_index
    0
    """

    def __init__(
        self, *, base_index: int, base_term: int, entries: list[LogEntry] | None = None
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[LogEntry] = list(entries or [])

    @property
    def last_index(self) -> int:
        """The index of the last entry, or that of the snapshot before the log."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of that."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, *, index: int) -> int | None:
        """The term of the entry, or `None` if it is not here."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def add(self, entry: LogEntry) -> None:
        """Append an entry; its index is the next."""
        self.entries.append(entry)

    def cut(self, *, index: int) -> None:
        """Drop the entries from `index` on."""
        del self.entries[max(0, index - self.base_index - 1) :]

    def slice(self, *, start: int, stop: int) -> list[LogEntry]:
        """Entries `start..stop`, both included."""
        return self.entries[start - self.base_index - 1 : stop - self.base_index]

    def batch(self, *, start: int, limit: int) -> list[LogEntry]:
        """Entries from `start` on, one at least, up to `limit` bytes."""
        out: list[LogEntry] = []
        size = 0
        for entry in self.entries[start - self.base_index - 1 :]:
            size += len(entry.data) + 32
            if out and size > limit:
                break
            out.append(entry)
        return out

    def compact(self, *, index: int) -> None:
        """Forget the entries up to `index`: a snapshot has them."""
        term = self.term_at(index=index)
        if term is None or index <= self.base_index:
            return
        self.entries = self.entries[index - self.base_index :]
        self.base_index, self.base_term = index, term
