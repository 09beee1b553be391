"""The disk task owns the store: it writes in order and reports what is synced."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Callable

from tornado.queues import Queue

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.metrics.histogram import DurationHistogram
from kelpstage.common.transport.messages import LogEntry
from kelpstage.core.raft.types import Persist
from kelpstage.core.store.records import DiskSnapshot, DiskStep
from kelpstage.core.store.store import Store


@dataclass(frozen=True, kw_only=True)
class SnapshotWriteRequest:
    """A request to write a snapshot with the log entries after it, the term and the vote.

    `number` is reported as synced, like that of a `Persist`; 0 is not reported.
    """

    snapshot: DiskSnapshot
    tail: list[LogEntry]
    term: int
    vote: str
    number: int


class DiskTask:
    """Performs writes in order; it ends at the first failure, after which the replica recovers.

    Items in `inbox` are written in order and reported only when they are synced: `on_synced`
    gets the number up to which all writes are synced, `on_snapshot_saved` the index of a snapshot.
    """

    def __init__(
        self,
        *,
        store: Store,
        now_us: Callable[[], int],
        on_synced: Callable[[int], None],
        on_snapshot_saved: Callable[[int], None],
        on_error: Callable[[KelpstageError], None],
    ) -> None:
        """The store must be recovered already. `now_us` reads the clock that measures durations."""
        self.durations = {"log": DurationHistogram(), "snapshot": DurationHistogram()}
        self._now_us = now_us
        self.inbox: Queue[Persist | SnapshotWriteRequest] = Queue()
        self._store = store
        self._on_synced = on_synced
        self._on_snapshot_saved = on_snapshot_saved
        self._on_error = on_error
        self._next_item: SnapshotWriteRequest | None = None  # taken from the inbox, not written yet

    async def run(self) -> None:
        """Write items from the inbox until a write fails."""
        while True:
            item = self._next_item or await self.inbox.get()
            self._next_item = None
            began_us = self._now_us()
            outcome = await self._write(item)
            name = "log" if isinstance(item, Persist) else "snapshot"
            self.durations[name].observe(us=self._now_us() - began_us)
            if isinstance(outcome, KelpstageError):
                self._on_error(outcome)
                return
            await self._store.mark_synced()

    @singledispatchmethod
    async def _write(self, item: object) -> KelpstageError | None:
        raise TypeError(type(item))

    @_write.register
    async def _write_steps(self, item: Persist) -> KelpstageError | None:
        """Group commit: all queued writes up to the next snapshot share one record and one sync."""
        batch = [item]
        while not self.inbox.empty():
            following = self.inbox.get_nowait()
            if not isinstance(following, Persist):
                self._next_item = following
                break
            batch.append(following)
        outcome = await self._store.append(steps=[disk_step_of(write=write) for write in batch])
        if outcome is None:
            self._on_synced(batch[-1].number)
        return outcome

    @_write.register
    async def _write_snapshot(self, item: SnapshotWriteRequest) -> KelpstageError | None:
        outcome = await self._store.save_snapshot(
            snapshot=item.snapshot, tail=item.tail, term=item.term, vote=item.vote
        )
        if outcome is not None:
            return outcome
        if item.number:
            self._on_synced(item.number)
        self._on_snapshot_saved(item.snapshot.index)
        return None


def disk_step_of(*, write: Persist) -> DiskStep:
    """Convert a replica's write to its format on disk.

    >>> disk_step_of(write=Persist(number=1, term=4, vote="a")).has_vote
    True
    """
    return DiskStep(
        cut_from=write.cut_from or 0,
        entries=write.entries,
        has_vote=write.term is not None,
        term=write.term or 0,
        vote=write.vote or "",
    )
