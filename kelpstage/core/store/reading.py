"""Reads a replica's snapshot, log segments and synced mark from its data folder.

It writes nothing; `recovery.rebuild` checks that the parts are consistent with each other.
"""

from __future__ import annotations

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.storage import LogDamagedError
from kelpstage.common.ports.interfaces import Disk, Ports
from kelpstage.core.store.folder import DataFolder
from kelpstage.core.store.layout import (
    LOG_FOLDER,
    SNAPSHOT_FOLDER,
    mark_path,
    segment_path,
    snapshot_path,
)
from kelpstage.core.store.records import (
    DiskSnapshot,
    Segment,
    SyncedMark,
    read_mark,
    read_segment,
    read_snapshot,
)


class ReplicaReader:
    """Reads the files of one replica."""

    def __init__(self, *, ports: Ports, folder: DataFolder, replica: str) -> None:
        self._disk: Disk = ports.disk
        self._folder = folder
        self._replica = replica

    async def newest_snapshot(self, *, cluster: str) -> DiskSnapshot | None | KelpstageError:
        """The newest snapshot, `None` if there is none; `LogDamagedError` if it is not valid."""
        indexes = await self._folder.file_numbers(folder=SNAPSHOT_FOLDER, replica=self._replica)
        if isinstance(indexes, KelpstageError):
            return indexes
        if not indexes:
            return None
        path = snapshot_path(replica=self._replica, index=indexes[-1])
        data = await self._disk.read(path=path)
        if isinstance(data, KelpstageError):
            return data
        snapshot = read_snapshot(path=path, data=data or b"")
        if isinstance(snapshot, KelpstageError):
            return snapshot
        if snapshot.index != indexes[-1] or snapshot.cluster != cluster:
            return LogDamagedError(path=path, offset=0, why="snapshot of another index or cluster")
        return snapshot

    async def synced_mark(self) -> SyncedMark | None | KelpstageError:
        """How much of the log is known to be synced; `None` if there is no valid mark."""
        data = await self._disk.read(path=mark_path(replica=self._replica))
        if isinstance(data, KelpstageError):
            return data
        return read_mark(data=data or b"")

    async def live_segments(self, *, mark: SyncedMark | None) -> list[Segment] | KelpstageError:
        """Read the newest segment that begins with a base and all later ones; all if none does."""
        numbers = await self._folder.file_numbers(folder=LOG_FOLDER, replica=self._replica)
        if isinstance(numbers, KelpstageError):
            return numbers
        segments: list[Segment] = []
        for number in reversed(numbers):
            path = segment_path(replica=self._replica, number=number)
            data = await self._disk.read(path=path)
            if isinstance(data, KelpstageError):
                return data
            segment = read_segment(
                path=path,
                number=number,
                data=data or b"",
                is_last=number == numbers[-1],
                synced=mark.size if mark and mark.segment == number else 0,
            )
            if isinstance(segment, KelpstageError):
                return segment
            segments.insert(0, segment)
            if segment.begins_with_base:
                break
        return segments
