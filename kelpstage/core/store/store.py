"""The data folder: a log in segments, snapshots beside it, one identity.

Every method gives a typed error or its result. Nothing is reported as done before file
and folder are synced. The reasons for the order of syncs: docs/notes/control/disk.md.
"""

from __future__ import annotations

from collections.abc import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.log.checksummed import seal
from kelpstage.common.ports.interfaces import Disk, Ports
from kelpstage.common.transport.messages import LogEntry
from kelpstage.core.store.folder import OWNED_FOLDERS, DataFolder
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
from kelpstage.core.store.reading import ReplicaReader
from kelpstage.core.store.records import (
    SEGMENT_HEAD,
    DiskIdentity,
    DiskRecord,
    DiskSnapshot,
    DiskStep,
    Segment,
    SyncedMark,
    read_identity,
    write_identity,
    write_mark,
    write_snapshot,
)
from kelpstage.core.store.recovery import Recovered, base_behind, base_of, is_to_begin_anew, rebuild

SEGMENT_BYTES = 1024 * 1024


class Store:
    """One replica's disk.

    `read_identity` comes first, then `begin_member` for a replica without a cluster or
    `recover` for one that has it, then the writes, one at a time. After a write that
    failed only `recover` or `set_aside` may follow.
    """

    def __init__(self, *, ports: Ports, segment_bytes: int = SEGMENT_BYTES) -> None:
        """A segment that would grow beyond `segment_bytes` is followed by a new one."""
        self._ports = ports
        self._disk: Disk = ports.disk
        self._folder = DataFolder(ports=ports)
        self._point = ports.failpoint
        self._segment_bytes = segment_bytes
        self._replica = ""
        self._segment = 0
        self._size = 0

    async def read_identity(self) -> DiskIdentity | None | KelpstageError:
        """Whose folder this is; `None` in an empty one."""
        for folder in OWNED_FOLDERS:  # looking into a folder makes it
            names = await self._disk.names(folder=folder)
            if isinstance(names, KelpstageError):
                return names
        error = await self._folder.drop_unfinished_identity()
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
        return await self._folder.replace_file(path=IDENTITY_PATH, folder=ROOT, data=data)

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

        The identity is deleted first and for good. Interrupted before that, the replica is
        still complete; after it, its files belong to no replica and are never read again.
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

    async def recover(self, *, identity: DiskIdentity) -> Recovered | KelpstageError:
        """Read the newest snapshot and the log behind it; truncate an incomplete last write.

        Damage anywhere else is refused with `LogDamagedError`.
        """
        self._replica = identity.replica
        self._segment, self._size = 0, 0
        reader = ReplicaReader(ports=self._ports, folder=self._folder, replica=self._replica)
        snapshot = await reader.newest_snapshot(cluster=identity.cluster)
        if isinstance(snapshot, KelpstageError):
            return snapshot
        mark = await reader.synced_mark()
        if isinstance(mark, KelpstageError):
            return mark
        segments = await reader.live_segments(mark=mark)
        if isinstance(segments, KelpstageError):
            return segments
        recovered = rebuild(identity=identity, segments=segments, snapshot=snapshot, mark=mark)
        if isinstance(recovered, KelpstageError):
            return recovered
        error = await self._settle(segments=segments, recovered=recovered, mark=mark)
        return error or recovered

    async def _settle(
        self, *, segments: list[Segment], recovered: Recovered, mark: SyncedMark | None
    ) -> KelpstageError | None:
        """Make durable what was read, then drop the files that it supersedes.

        What was read may have been in the cache only: a process that was killed leaves
        writes and names there that no sync has covered.
        """
        base_index = recovered.log.base_index
        needs_new_segment = is_to_begin_anew(segments=segments, index=base_index)
        if segments and not needs_new_segment:
            error = await self._settle_end(segment=segments[-1], mark=mark)
            if error is not None:
                return error
        for folder in OWNED_FOLDERS:
            error = await self._disk.sync_folder(folder=folder)
            if error is not None:
                return error
        if needs_new_segment:
            # In place of a last one that holds nothing; else each try would add another.
            last = segments[-1] if segments else None
            self._segment = 0 if last is None else last.number - (not last.records)
            error = await self._begin_segment(base=base_of(recovered=recovered))
            if error is not None:
                return error
        base = self._segment if needs_new_segment or not segments else segments[0].number
        error = await self._drop_before(segment=base, index=base_index)
        if error is None:
            error = await self._drop(is_needless=self._is_foreign)
        if error is None:
            await self.mark_synced()
        return error

    async def _settle_end(
        self, *, segment: Segment, mark: SyncedMark | None
    ) -> KelpstageError | None:
        """Truncate an incomplete last write; rewrite the last record unless it is marked as synced.

        It is written in place, over the same bytes, and not truncated before: a write that
        a loss of power interrupts leaves what was there. (A sync that failed may leave a record
        readable that is not on the disk; another sync alone would not write it.)
        """
        self._segment, self._size = segment.number, segment.end
        is_marked = mark == SyncedMark(segment=segment.number, size=segment.end)
        if is_marked and segment.end == len(segment.data):
            return None
        start = segment.end if is_marked else segment.last_write
        tail = segment.data[start : segment.end]
        return await self._write_synced(path=segment.path, at=start, data=tail, is_new=True)

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
        """Write at an offset, truncate the file behind it, sync it, and its name if it is new."""
        error = await self._disk.append(path=path, data=data, at=at)
        if error is not None:
            return error
        self._point("log.before_sync")
        error = await self._disk.sync(path=path)
        if error is None and is_new:
            error = await self._disk.sync_folder(folder=LOG_FOLDER)
        return error

    async def mark_synced(self) -> None:
        """Note how much of the log is synced, so that damage before it is told from an
        incomplete write. The mark itself is not synced: an older one, or none, claims
        less, but nothing wrong."""
        if self._segment == 0:
            return
        mark = SyncedMark(segment=self._segment, size=self._size)
        path = mark_path(replica=self._replica)
        await self._disk.append(path=path, data=write_mark(mark=mark), at=0)

    async def save_snapshot(
        self, *, snapshot: DiskSnapshot, tail: list[LogEntry], term: int, vote: str
    ) -> KelpstageError | None:
        """Write a snapshot, begin a segment behind it, drop the files before it.

        `tail` are the entries behind the snapshot that the log still holds: the new
        segment begins with them, since the older ones go.
        """
        self._point("snapshot.before_write")
        error = await self._folder.replace_file(
            path=snapshot_path(replica=self._replica, index=snapshot.index),
            folder=SNAPSHOT_FOLDER,
            data=write_snapshot(snapshot=snapshot),
        )
        if error is not None:
            return error
        self._point("snapshot.after_write")
        base = base_behind(snapshot=snapshot, tail=tail, term=term, vote=vote)
        error = await self._begin_segment(base=base)
        if error is not None:
            return error
        self._point("snapshot.before_drop")
        return await self._drop_before(segment=self._segment, index=snapshot.index)

    async def _begin_segment(self, *, base: DiskStep) -> KelpstageError | None:
        """Begin a segment whose first record supersedes all older segments."""
        self._segment += 1
        data = SEGMENT_HEAD + seal(body=bytes(DiskRecord(steps=[base])))
        path = segment_path(replica=self._replica, number=self._segment)
        error = await self._write_synced(path=path, at=0, data=data, is_new=True)
        if error is None:
            self._size = len(data)
        return error

    async def _drop_before(self, *, segment: int, index: int) -> KelpstageError | None:
        """Drop segments and snapshots that newer, synced ones have superseded."""

        def is_older(name: str) -> bool:
            parts = parse_name(name=name)
            if parts is None or parts.replica != self._replica:
                return False
            return parts.number < (segment if parts.is_segment else index)

        return await self._drop(is_needless=is_older)

    async def _drop(self, *, is_needless: Callable[[str], bool]) -> KelpstageError | None:
        return await self._folder.drop(is_needless=is_needless)

    def _is_own(self, name: str) -> bool:
        """Does a name in log or snapshots belong to this replica?"""
        return owner_of(name=name) == self._replica

    def _is_foreign(self, name: str) -> bool:
        """Does it belong to another replica, or is it unfinished? Files of other kinds stay."""
        owner = owner_of(name=name)
        return name.endswith(UNFINISHED_SUFFIX) or owner not in (None, self._replica)
