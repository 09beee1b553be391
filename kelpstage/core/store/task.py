"""The disk task: owner of the store; writes in order and reports what is synced."""

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
class PersistRequest:
    """A snapshot to write, with the log's entries behind it, term and vote.

    `number` is reported as synced, like a `Persist`'s; 0 is not.
    """

    snapshot: DiskSnapshot
    tail: list[LogEntry]
    term: int
    vote: str
    number: int


class DiskTask:
    """Performs writes in order; one failure ends it, and the replica is to be rebuilt.

    What is put into `inbox` is written in that order, and reported only when it is synced:
    `on_synced` with the number up to which all is, `on_kept` with a snapshot's index.
    """

    def __init__(
        self,
        *,
        store: Store,
        now_us: Callable[[], int],
        on_synced: Callable[[int], None],
        on_kept: Callable[[int], None],
        on_error: Callable[[KelpstageError], None],
    ) -> None:
        """The store must have been recovered. `now_us` reads a clock, for the durations."""
        self.durations = {"log": DurationHistogram(), "snapshot": DurationHistogram()}
        self._now_us = now_us
        self.inbox: Queue[Persist | PersistRequest] = Queue()
        self._store = store
        self._on_synced = on_synced
        self._on_kept = on_kept
        self._on_error = on_error
        self._next: PersistRequest | None = None  # out of the inbox, not written yet

    async def run(self) -> None:
        """Write until a write fails."""
        while True:
            item = self._next or await self.inbox.get()
            self._next = None
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
        """Group commit: all writes in the queue go into one record and one sync."""
        batch = [item]
        while not self.inbox.empty():
            following = self.inbox.get_nowait()
            if not isinstance(following, Persist):
                self._next = following
                break
            batch.append(following)
        outcome = await self._store.append(steps=[step_of(write=write) for write in batch])
        if outcome is None:
            self._on_synced(batch[-1].number)
        return outcome

    @_write.register
    async def _write_snapshot(self, item: PersistRequest) -> KelpstageError | None:
        outcome = await self._store.save_snapshot(
            snapshot=item.snapshot, tail=item.tail, term=item.term, vote=item.vote
        )
        if outcome is not None:
            return outcome
        if item.number:
            self._on_synced(item.number)
        self._on_kept(item.snapshot.index)
        return None


def step_of(*, write: Persist) -> DiskStep:
    """A replica's write as it stands on disk.

    >>> step_of(write=Persist(number=1, term=4, vote="a")).has_vote
    True
    """
    return DiskStep(
        cut_from=write.cut_from or 0,
        entries=write.entries,
        has_vote=write.term is not None,
        term=write.term or 0,
        vote=write.vote or "",
    )
