"""The data folder: a log in segments, snapshots beside it, one identity.

Every method gives a typed error or its result. Nothing is reported as done before file
and folder are synced. What each order of syncs is for: docs/notes/control/disk.md.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.storage import LogDamagedError
from kelpstage.common.log.checksummed import seal
from kelpstage.common.ports.interfaces import Disk, Ports
from kelpstage.common.transport.messages import LogEntry
from kelpstage.core.store.layout import (
    IDENTITY_PATH,
    LOG_FOLDER,
    ROOT,
    SNAPSHOT_FOLDER,
    UNFINISHED_SUFFIX,
    mark_path,
    owner_of,
    parse_name,
    segment_path,
    snapshot_path,
)
from kelpstage.core.store.records import (
    SEGMENT_HEAD,
    DiskIdentity,
    DiskRecord,
    DiskSnapshot,
    DiskStep,
    Segment,
    SyncedMark,
    read_identity,
    read_mark,
    read_segment,
    read_snapshot,
    write_identity,
    write_mark,
    write_snapshot,
)
from kelpstage.core.store.recovery import Recovered, base_of, is_to_begin_anew, rebuild

SEGMENT_BYTES = 1024 * 1024
OWNED_FOLDERS = (LOG_FOLDER, SNAPSHOT_FOLDER)


class Store:
    """One replica's disk.

    `read_identity` comes first, then `begin_member` for a replica without a cluster or
    `recover` for one that has it, then the writes, one at a time. After a write that
    failed only `recover` or `set_aside` may follow.
    """

    def __init__(self, *, ports: Ports, segment_bytes: int = SEGMENT_BYTES) -> None:
        """A segment that would grow beyond `segment_bytes` is followed by a new one."""
        self._disk: Disk = ports.disk
        self._point = ports.point
        self._segment_bytes = segment_bytes
        self._replica = ""
        self._segment = 0
        self._size = 0

    # --- identity ------------------------------------------------------------------

    async def read_identity(self) -> DiskIdentity | None | KelpstageError:
        """Whose folder this is; `None` in an empty one."""
        for folder in OWNED_FOLDERS:  # looking into a folder makes it
            names = await self._disk.names(folder=folder)
            if isinstance(names, KelpstageError):
                return names
        error = await self._drop_unfinished_identity()
        if error is not None:
            return error
        error = await self._disk.sync_folder(folder=ROOT)
        if error is not None:
            return error
        data = await self._disk.read(path=IDENTITY_PATH)
        if data is None or isinstance(data, KelpstageError):
            return data
        return read_identity(path=IDENTITY_PATH, data=data)

    async def write_identity(self, *, identity: DiskIdentity) -> KelpstageError | None:
        """Make this the folder of a replica, at once and for good."""
        self._replica = identity.replica
        data = write_identity(identity=identity)
        return await self._replace_file(path=IDENTITY_PATH, folder=ROOT, data=data)

    async def begin_member(
        self, *, identity: DiskIdentity, snapshot: DiskSnapshot | None = None, term: int = 0
    ) -> KelpstageError | None:
        """Become a member of a cluster, with nothing or with a snapshot to begin from.

        The identity, which makes it count, is written after everything else. Cut off
        before that, the folder is as it was; what an earlier attempt left is dropped.
        """
        self._replica = identity.replica
        self._segment, self._size = 0, 0
        error = await self._drop(
            is_needless=lambda name: self._is_own(name) or name.endswith(UNFINISHED_SUFFIX)
        )
        if error is None and snapshot is not None:
            error = await self.save_snapshot(snapshot=snapshot, tail=[], term=term, vote="")
        if error is None:
            error = await self.write_identity(identity=identity)
        if error is None:
            error = await self._drop(is_needless=self._is_foreign)
        return error

    async def set_aside(self) -> KelpstageError | None:
        """Forget a damaged replica; the next `read_identity` finds an empty folder.

        The identity goes first and for good. Cut off before that, the whole replica is
        still there; after it, its files belong to no replica and are never read again.
        """
        names = await self._disk.names(folder=ROOT)
        if isinstance(names, KelpstageError):
            return names
        if IDENTITY_PATH in names:
            error = await self._disk.delete(path=IDENTITY_PATH)
            if error is not None:
                return error
        error = await self._disk.sync_folder(folder=ROOT)
        if error is not None:
            return error
        self._replica = ""
        self._segment, self._size = 0, 0
        return await self._drop(is_needless=self._is_foreign)

    # --- recovery ----------------------------------------------------------------------

    async def recover(self, *, identity: DiskIdentity) -> Recovered | KelpstageError:
        """Read the newest snapshot and the log behind it; cut a torn end; refuse damage."""
        self._replica = identity.replica
        self._segment, self._size = 0, 0
        snapshot = await self._newest_snapshot(cluster=identity.cluster)
        if isinstance(snapshot, KelpstageError):
            return snapshot
        mark = await self._read_mark()
        if isinstance(mark, KelpstageError):
            return mark
        segments = await self._segments_that_count(mark=mark)
        if isinstance(segments, KelpstageError):
            return segments
        recovered = rebuild(identity=identity, segments=segments, snapshot=snapshot, mark=mark)
        if isinstance(recovered, KelpstageError):
            return recovered
        error = await self._settle(segments=segments, recovered=recovered, mark=mark)
        return error or recovered

    async def _newest_snapshot(self, *, cluster: str) -> DiskSnapshot | None | KelpstageError:
        indexes = await self._numbers(folder=SNAPSHOT_FOLDER)
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
            return LogDamagedError(path=path, offset=0, why="a snapshot of something else")
        return snapshot

    async def _read_mark(self) -> SyncedMark | None | KelpstageError:
        data = await self._disk.read(path=mark_path(replica=self._replica))
        if isinstance(data, KelpstageError):
            return data
        return read_mark(data=data or b"")

    async def _segments_that_count(
        self, *, mark: SyncedMark | None
    ) -> list[Segment] | KelpstageError:
        """From the newest one that begins with a base on; all if none does."""
        numbers = await self._numbers(folder=LOG_FOLDER)
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

    async def _settle(
        self, *, segments: list[Segment], recovered: Recovered, mark: SyncedMark | None
    ) -> KelpstageError | None:
        """Make what was read last, then drop what it makes needless.

        What was read may have been in the cache only: a process that was killed leaves
        writes and names there that no sync has covered.
        """
        base_index = recovered.log.base_index
        is_anew = is_to_begin_anew(segments=segments, index=base_index)
        if segments and not is_anew:
            error = await self._settle_end(segment=segments[-1], mark=mark)
            if error is not None:
                return error
        for folder in OWNED_FOLDERS:
            error = await self._disk.sync_folder(folder=folder)
            if error is not None:
                return error
        if is_anew:
            # In place of a last one that holds nothing; else each try would add another.
            last = segments[-1] if segments else None
            self._segment = 0 if last is None else last.number - (not last.records)
            error = await self._begin_segment(base=base_of(recovered=recovered))
            if error is not None:
                return error
        base = self._segment if is_anew or not segments else segments[0].number
        error = await self._drop_before(segment=base, index=base_index)
        if error is None:
            error = await self._drop(is_needless=self._is_foreign)
        if error is None:
            await self.mark_synced()
        return error

    async def _settle_end(
        self, *, segment: Segment, mark: SyncedMark | None
    ) -> KelpstageError | None:
        """Cut off a torn end, and write the last record again unless it is marked as synced.

        It is written in place, over the same bytes, and not cut off before: torn by a
        loss of power that leaves what was there. (A sync that failed may leave a record
        readable that is not on the disk; another sync alone would not write it.)
        """
        self._segment, self._size = segment.number, segment.end
        is_marked = mark == SyncedMark(segment=segment.number, size=segment.end)
        if is_marked and segment.end == len(segment.data):
            return None
        start = segment.end if is_marked else segment.last_write
        tail = segment.data[start : segment.end]
        return await self._write_synced(path=segment.path, at=start, data=tail, is_new=True)

    # --- writing -----------------------------------------------------------------------------

    async def append(self, *, steps: list[DiskStep]) -> KelpstageError | None:
        """Write one record and sync it."""
        record = DiskRecord(steps=steps)
        data = seal(body=bytes(record))
        is_new = self._segment == 0 or self._size + len(data) > self._segment_bytes
        if is_new:
            record.previous_size = self._size
            data = SEGMENT_HEAD + seal(body=bytes(record))
            self._segment += 1
            self._size = 0
        self._point("log.before_append")
        error = await self._write_synced(
            path=segment_path(replica=self._replica, number=self._segment),
            at=self._size,
            data=data,
            is_new=is_new,
        )
        if error is None:
            self._point("log.after_sync")
            self._size += len(data)
        return error

    async def _write_synced(
        self, *, path: str, at: int, data: bytes, is_new: bool
    ) -> KelpstageError | None:
        """Write at an offset, end the file behind it and sync both, the name too if new."""
        error = await self._disk.append(path=path, data=data, at=at)
        if error is not None:
            return error
        self._point("log.before_sync")
        error = await self._disk.sync(path=path)
        if error is None and is_new:
            error = await self._disk.sync_folder(folder=LOG_FOLDER)
        return error

    async def mark_synced(self) -> None:
        """Note how much of the log is synced, so that damage before it is told from a torn
        write. The mark is not synced itself: an older one, or none, says less, not wrong."""
        if self._segment == 0:
            return
        mark = SyncedMark(segment=self._segment, size=self._size)
        path = mark_path(replica=self._replica)
        await self._disk.append(path=path, data=write_mark(mark=mark), at=0)

    async def save_snapshot(
        self, *, snapshot: DiskSnapshot, tail: list[LogEntry], term: int, vote: str
    ) -> KelpstageError | None:
        """Write a snapshot, begin a segment behind it, drop what came before.

        `tail` are the entries behind the snapshot that the log still holds: the new
        segment begins with them, since the older ones go.
        """
        self._point("snapshot.before_write")
        error = await self._replace_file(
            path=snapshot_path(replica=self._replica, index=snapshot.index),
            folder=SNAPSHOT_FOLDER,
            data=write_snapshot(snapshot=snapshot),
        )
        if error is not None:
            return error
        self._point("snapshot.after_write")
        base = DiskStep(
            is_base=True,
            base_index=snapshot.index,
            base_term=snapshot.term,
            entries=tail,
            has_vote=True,
            term=term,
            vote=vote,
        )
        error = await self._begin_segment(base=base)
        if error is not None:
            return error
        self._point("snapshot.before_drop")
        return await self._drop_before(segment=self._segment, index=snapshot.index)

    async def _begin_segment(self, *, base: DiskStep) -> KelpstageError | None:
        """A new segment whose first record makes all older ones needless."""
        self._segment += 1
        data = SEGMENT_HEAD + seal(body=bytes(DiskRecord(steps=[base])))
        path = segment_path(replica=self._replica, number=self._segment)
        error = await self._write_synced(path=path, at=0, data=data, is_new=True)
        if error is None:
            self._size = len(data)
        return error

    async def _replace_file(self, *, path: str, folder: str, data: bytes) -> KelpstageError | None:
        """Write beside, sync, rename, sync the folder."""
        beside = path + UNFINISHED_SUFFIX
        steps: list[Callable[[], Awaitable[KelpstageError | None]]] = [
            lambda: self._disk.write(path=beside, data=data),
            lambda: self._disk.sync(path=beside),
            lambda: self._disk.rename(path=beside, to=path),
            lambda: self._disk.sync_folder(folder=folder),
        ]
        for step in steps:
            self._point("file.before_step")
            error = await step()
            if error is not None:
                return error
        self._point("file.after_rename_sync")
        return None

    # --- dropping ------------------------------------------------------------------------

    async def _drop_before(self, *, segment: int, index: int) -> KelpstageError | None:
        """Drop segments and snapshots that newer ones, synced, have made needless."""

        def is_older(name: str) -> bool:
            parts = parse_name(name=name)
            if parts is None or parts.replica != self._replica:
                return False
            return parts.number < (segment if parts.is_segment else index)

        return await self._drop(is_needless=is_older)

    async def _drop(self, *, is_needless: Callable[[str], bool]) -> KelpstageError | None:
        """Delete files of log and snapshots, oldest first, and sync their folders."""
        for folder in OWNED_FOLDERS:
            names = await self._disk.names(folder=folder)
            if isinstance(names, KelpstageError):
                return names
            needless = [name for name in names if is_needless(name)]
            for name in needless:
                error = await self._disk.delete(path=f"{folder}/{name}")
                if error is not None:
                    return error
            error = await self._disk.sync_folder(folder=folder) if needless else None
            if error is not None:
                return error
        return None

    async def _drop_unfinished_identity(self) -> KelpstageError | None:
        """Delete what a broken-off write left beside, before its name is used again."""
        beside = IDENTITY_PATH + UNFINISHED_SUFFIX
        names = await self._disk.names(folder=ROOT)
        if isinstance(names, KelpstageError):
            return names
        return await self._disk.delete(path=beside) if beside in names else None

    def _is_own(self, name: str) -> bool:
        """Does a name in log or snapshots belong to this replica?"""
        return owner_of(name=name) == self._replica

    def _is_foreign(self, name: str) -> bool:
        """Does it belong to another replica, or is it unfinished? Files of other kinds stay."""
        owner = owner_of(name=name)
        return name.endswith(UNFINISHED_SUFFIX) or owner not in (None, self._replica)

    async def _numbers(self, *, folder: str) -> list[int] | KelpstageError:
        """The numbers of this replica's files in a folder, ascending."""
        names = await self._disk.names(folder=folder)
        if isinstance(names, KelpstageError):
            return names
        found = [parse_name(name=name) for name in names]
        return sorted(parts.number for parts in found if parts and parts.replica == self._replica)
