"""The in-memory log of a replica: the entries after a snapshot."""

from __future__ import annotations

from kelpstage.common.transport.messages import LogEntry


class MemoryLog:
    """The entries after `base_index`; a snapshot covers those up to it.

    >>> log = MemoryLog(base_index=0, base_term=0)
    >>> log.append(LogEntry(index=1, term=1)); log.last_index, log.term_at(index=1)
    (1, 1)
    >>> log.truncate_from(index=1); log.last_index
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
        """The index of the last entry, or of the snapshot if the log is empty."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot if the log is empty."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, *, index: int) -> int | None:
        """Return the term of an entry or of the snapshot, or `None` if the log does not have it."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def append(self, entry: LogEntry) -> None:
        """Append an entry, whose index must be the next one."""
        self.entries.append(entry)

    def truncate_from(self, *, index: int) -> None:
        """Truncate the log: remove the entries from `index` on."""
        del self.entries[max(0, index - self.base_index - 1) :]

    def slice(self, *, start: int, stop: int) -> list[LogEntry]:
        """Return the entries `start..stop`, both included."""
        return self.entries[start - self.base_index - 1 : stop - self.base_index]

    def batch(self, *, start: int, limit: int) -> list[LogEntry]:
        """Return entries from `start` on, up to `limit` bytes but at least one."""
        out: list[LogEntry] = []
        size = 0
        for entry in self.entries[start - self.base_index - 1 :]:
            size += len(entry.data) + 32
            if out and size > limit:
                break
            out.append(entry)
        return out

    def compact(self, *, index: int) -> None:
        """Remove the entries up to `index`, which a snapshot covers."""
        term = self.term_at(index=index)
        if term is None or index <= self.base_index:
            return
        self.entries = self.entries[index - self.base_index :]
        self.base_index, self.base_term = index, term
