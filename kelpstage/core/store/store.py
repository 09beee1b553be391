"""The data folder of a replica: a segmented log, snapshots and an identity.

Every method returns a typed error or its result. Nothing is reported as done before the file
and its folder are synced. The reasons for the order of syncs: docs/notes/control/disk.md.
"""

from __future__ import annotations

from collections.abc import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.log.checksummed import encode_record
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
    parse_file_name,
    segment_path,
    snapshot_path,
)
from kelpstage.core.store.reading import ReplicaReader
from kelpstage.core.store.records import (
    SEGMENT_HEADER,
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
from kelpstage.core.store.recovery import (
    Recovered,
    base_after_snapshot,
    base_from_recovered,
    must_start_segment,
    rebuild,
)

SEGMENT_BYTES = 1024 * 1024


class Store:
    """The persistent storage of one replica.

    Callers first call `read_identity`, then `initialize_member` for a replica without a cluster or
    `recover` for one with a cluster, then the write methods, one at a time. After a failed
    write only `recover` or `discard_replica` may be called.
    """

    def __init__(self, *, ports: Ports, segment_bytes: int = SEGMENT_BYTES) -> None:
        """`segment_bytes` is the size limit at which a new segment is started."""
        self._ports = ports
        self._disk: Disk = ports.disk
        self._folder = DataFolder(ports=ports)
        self._failpoint = ports.failpoint
        self._segment_bytes = segment_bytes
        self._replica = ""
        self._segment_number = 0
        self._segment_size = 0

    async def read_identity(self) -> DiskIdentity | None | KelpstageError:
        """Returns the identity that owns the folder; `None` if the folder is empty."""
        for folder in OWNED_FOLDERS:  # listing a folder creates it
            names = await self._disk.list_names(folder=folder)
            if isinstance(names, KelpstageError):
                return names
        error = await self._folder.delete_unfinished_identity()
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
        """Durably and atomically make this the folder of a replica."""
        self._replica = identity.replica
        data = write_identity(identity=identity)
        return await self._folder.replace_file(path=IDENTITY_PATH, folder=ROOT, data=data)

    async def initialize_member(
        self, *, identity: DiskIdentity, snapshot: DiskSnapshot | None = None, term: int = 0
    ) -> KelpstageError | None:
        """Become a member of a cluster, with an empty log or starting from a snapshot.

        The identity is written last because it makes the other files valid. An interruption
        before that leaves the replica as it was; files of an earlier attempt are deleted.
        """
        self._replica = identity.replica
        self._segment_number, self._segment_size = 0, 0
        error = await self._delete_files(
            is_obsolete=lambda name: self._is_own(name) or name.endswith(UNFINISHED_SUFFIX)
        )
        if error is None and snapshot is not None:
            error = await self.save_snapshot(snapshot=snapshot, tail=[], term=term, vote="")
        if error is None:
            error = await self.write_identity(identity=identity)
        if error is None:
            error = await self._delete_files(is_obsolete=self._is_foreign)
        return error

    async def discard_replica(self) -> KelpstageError | None:
        """Discard a damaged replica; the next `read_identity` finds an empty folder.

        The identity is deleted first, durably. An interruption before that leaves the replica
        complete; after it, its files belong to no replica and are never read again.
        """
        names = await self._disk.list_names(folder=ROOT)
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
        self._segment_number, self._segment_size = 0, 0
        return await self._delete_files(is_obsolete=self._is_foreign)

    async def recover(self, *, identity: DiskIdentity) -> Recovered | KelpstageError:
        """Read the newest snapshot and the log after it; truncate an incomplete last write.

        Damage anywhere else results in `LogDamagedError`.
        """
        self._replica = identity.replica
        self._segment_number, self._segment_size = 0, 0
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
        error = await self._finish_recovery(segments=segments, recovered=recovered, mark=mark)
        return error or recovered

    async def _finish_recovery(
        self, *, segments: list[Segment], recovered: Recovered, mark: SyncedMark | None
    ) -> KelpstageError | None:
        """Make the recovered state durable, then delete the files that it supersedes.

        The recovered state may so far be in the page cache only: a killed process leaves
        writes and folder entries there that were never synced.
        """
        base_index = recovered.log.base_index
        needs_new_segment = must_start_segment(segments=segments, index=base_index)
        if segments and not needs_new_segment:
            error = await self._rewrite_last_record(segment=segments[-1], mark=mark)
            if error is not None:
                return error
        for folder in OWNED_FOLDERS:
            error = await self._disk.sync_folder(folder=folder)
            if error is not None:
                return error
        if needs_new_segment:
            # Overwrites a last segment that holds no record; otherwise each attempt adds one.
            last = segments[-1] if segments else None
            self._segment_number = 0 if last is None else last.number - (not last.records)
            error = await self._begin_segment(base=base_from_recovered(recovered=recovered))
            if error is not None:
                return error
        base = self._segment_number if needs_new_segment or not segments else segments[0].number
        error = await self._delete_superseded(segment=base, index=base_index)
        if error is None:
            error = await self._delete_files(is_obsolete=self._is_foreign)
        if error is None:
            await self.mark_synced()
        return error

    async def _rewrite_last_record(
        self, *, segment: Segment, mark: SyncedMark | None
    ) -> KelpstageError | None:
        """Truncate an incomplete last write; rewrite the last record unless it is marked as synced.

        The record is overwritten in place with the same bytes and not truncated first, so that
        a power loss during the write leaves the old bytes. The rewrite is needed because after
        a failed sync a record may be readable but not on the disk, and a second sync alone does
        not write it.
        """
        self._segment_number, self._segment_size = segment.number, segment.end
        is_marked = mark == SyncedMark(segment=segment.number, size=segment.end)
        if is_marked and segment.end == len(segment.data):
            return None
        start = segment.end if is_marked else segment.last_write_offset
        tail = segment.data[start : segment.end]
        return await self._write_synced(path=segment.path, at=start, data=tail, is_new=True)

    async def append(self, *, steps: list[DiskStep]) -> KelpstageError | None:
        """Append the steps to the log as one record and sync it."""
        record = DiskRecord(steps=steps)
        data = encode_record(body=bytes(record))
        is_new = self._segment_number == 0 or self._segment_size + len(data) > self._segment_bytes
        if is_new:
            record.previous_size = self._segment_size
            data = SEGMENT_HEADER + encode_record(body=bytes(record))
            self._segment_number += 1
            self._segment_size = 0
        self._failpoint("log.before_append")
        error = await self._write_synced(
            path=segment_path(replica=self._replica, number=self._segment_number),
            at=self._segment_size,
            data=data,
            is_new=is_new,
        )
        if error is None:
            self._failpoint("log.after_sync")
            self._segment_size += len(data)
        return error

    async def _write_synced(
        self, *, path: str, at: int, data: bytes, is_new: bool
    ) -> KelpstageError | None:
        """Write at an offset, truncate the file after it, sync it, and the folder if it is new."""
        error = await self._disk.append(path=path, data=data, at=at)
        if error is not None:
            return error
        self._failpoint("log.before_sync")
        error = await self._disk.sync(path=path)
        if error is None and is_new:
            error = await self._disk.sync_folder(folder=LOG_FOLDER)
        return error

    async def mark_synced(self) -> None:
        """Record how much of the log is synced, to distinguish damage from an incomplete write.

        The mark itself is not synced: an older mark, or none, states less but nothing wrong.
        """
        if self._segment_number == 0:
            return
        mark = SyncedMark(segment=self._segment_number, size=self._segment_size)
        path = mark_path(replica=self._replica)
        await self._disk.append(path=path, data=write_mark(mark=mark), at=0)

    async def save_snapshot(
        self, *, snapshot: DiskSnapshot, tail: list[LogEntry], term: int, vote: str
    ) -> KelpstageError | None:
        """Write a snapshot, start a new segment after it, delete the older files.

        `tail` are the entries after the snapshot that the log still holds. The new segment
        begins with them because the older segments are deleted.
        """
        self._failpoint("snapshot.before_write")
        error = await self._folder.replace_file(
            path=snapshot_path(replica=self._replica, index=snapshot.index),
            folder=SNAPSHOT_FOLDER,
            data=write_snapshot(snapshot=snapshot),
        )
        if error is not None:
            return error
        self._failpoint("snapshot.after_write")
        base = base_after_snapshot(snapshot=snapshot, tail=tail, term=term, vote=vote)
        error = await self._begin_segment(base=base)
        if error is not None:
            return error
        self._failpoint("snapshot.before_drop")
        return await self._delete_superseded(segment=self._segment_number, index=snapshot.index)

    async def _begin_segment(self, *, base: DiskStep) -> KelpstageError | None:
        """Start a segment whose first record supersedes all older segments."""
        self._segment_number += 1
        data = SEGMENT_HEADER + encode_record(body=bytes(DiskRecord(steps=[base])))
        path = segment_path(replica=self._replica, number=self._segment_number)
        error = await self._write_synced(path=path, at=0, data=data, is_new=True)
        if error is None:
            self._segment_size = len(data)
        return error

    async def _delete_superseded(self, *, segment: int, index: int) -> KelpstageError | None:
        """Delete segments and snapshots that newer, synced ones supersede."""

        def is_older(name: str) -> bool:
            parts = parse_file_name(name=name)
            if parts is None or parts.replica != self._replica:
                return False
            return parts.number < (segment if parts.is_segment else index)

        return await self._delete_files(is_obsolete=is_older)

    async def _delete_files(self, *, is_obsolete: Callable[[str], bool]) -> KelpstageError | None:
        return await self._folder.delete_files(is_obsolete=is_obsolete)

    def _is_own(self, name: str) -> bool:
        """True when a log or snapshot file belongs to this replica."""
        return owner_of(name=name) == self._replica

    def _is_foreign(self, name: str) -> bool:
        """True when a file is unfinished or of another replica; false for files of other kinds."""
        owner = owner_of(name=name)
        return name.endswith(UNFINISHED_SUFFIX) or owner not in (None, self._replica)
