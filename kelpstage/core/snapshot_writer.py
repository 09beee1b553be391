"""Takes snapshots of the applied state and passes them to the disk task, one at a time."""

from __future__ import annotations

from typing import Callable

from kelpstage.common.event_journal import Journal
from kelpstage.common.transport.messages import LogEntry
from kelpstage.core.chunk_server import ChunkServer
from kelpstage.core.events import SnapshotKept
from kelpstage.core.raft import types as raft
from kelpstage.core.raft.replica import Replica
from kelpstage.core.snapshots import LogSize, SnapshotPolicy
from kelpstage.core.state.machine import Machine
from kelpstage.core.store.records import DiskSnapshot
from kelpstage.core.store.task import SnapshotWriteRequest

UNNUMBERED = 0  # a write whose sync is not reported to the replica


class SnapshotWriter:
    """Decides when a snapshot is taken, and publishes it once it is on the disk.

    `write` passes a snapshot to the disk task. At most one snapshot taken here is pending.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        cluster: str,
        chunks: ChunkServer,
        journal: Journal,
        write: Callable[[SnapshotWriteRequest], None],
    ) -> None:
        self._replica = replica
        self._cluster = cluster
        self._chunks = chunks
        self._journal = journal
        self._write = write
        self._policy = SnapshotPolicy()
        self._pending: DiskSnapshot | None = None  # taken here, not yet on the disk
        self._log_bytes = _data_bytes(entries=replica.log.entries)

    def add_entries(self, *, entries: list[LogEntry]) -> None:
        """Add the bytes of new entries to the size of the log."""
        self._log_bytes += _data_bytes(entries=entries)

    def take_if_due(self, *, machine: Machine, applied: int, now_us: int) -> None:
        """Take a snapshot if `SnapshotPolicy` says that one is due."""
        if self._pending is not None:
            return
        snapshots = self._chunks.snapshots
        size = LogSize(
            entries=applied - self._replica.log.base_index,
            data_bytes=self._log_bytes,
            snapshot_bytes=snapshots.size,
        )
        is_in_transfer = snapshots.is_in_transfer(now_us=now_us)
        if self._policy.is_due(size=size, is_in_transfer=is_in_transfer, now_us=now_us):
            self.take(machine=machine, applied=applied)

    def take(self, *, machine: Machine, applied: int) -> None:
        """Take a snapshot of the applied state, unless one is pending or nothing is new."""
        log = self._replica.log
        if self._pending is not None or applied == log.base_index:
            return
        self._pending = DiskSnapshot(
            index=applied,
            term=log.term_at(index=applied) or 0,
            members=self._replica.members.at(index=applied),
            state=bytes(machine.state),
            cluster=self._cluster,
        )
        self._write(
            SnapshotWriteRequest(
                snapshot=self._pending,
                tail=log.slice(start=applied + 1, stop=log.last_index),
                term=self._replica.term,
                vote=self._replica.vote,
                number=UNNUMBERED,
            )
        )

    def write_installed(self, *, snapshot: DiskSnapshot, effect: raft.SaveSnapshot) -> None:
        """Write a snapshot that was fetched from the leader and installed."""
        self._log_bytes = _data_bytes(entries=effect.tail)
        self._write(
            SnapshotWriteRequest(
                snapshot=snapshot,
                tail=effect.tail,
                term=effect.term,
                vote=effect.vote,
                number=effect.number,
            )
        )

    def on_written(self, *, index: int) -> None:
        """Publish a written snapshot to members: the log now starts right after it."""
        log = self._replica.log
        snapshot = self._pending
        if snapshot is not None and snapshot.index == index:
            self._pending = None
            if index == log.base_index:  # no fetched snapshot was installed meanwhile
                self._chunks.publish_snapshot(snapshot=snapshot)
        self._log_bytes = _data_bytes(entries=log.entries)
        self._journal.add(SnapshotKept(index=index))


def _data_bytes(*, entries: list[LogEntry]) -> int:
    return sum(len(entry.data) for entry in entries)
