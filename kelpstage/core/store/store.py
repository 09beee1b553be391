"""The data folder: a log in segments, snapshots beside it, one identity.

Every verb returns a defect or its result. Nothing here is told of as done
before file and folder are synced.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.base.defects import Defect, LogDamaged
from kelpstage.base.log.seal import seal, unseal
from kelpstage.base.ports.types import Disk, Ports
from kelpstage.base.wire.messages import LogEntry
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.store.records import (
    SEGMENT_HEAD,
    DiskIdentity,
    DiskRecord,
    DiskSnapshot,
    DiskStep,
    read_segment,
    read_snapshot,
    write_snapshot,
)

SEGMENT_LIMIT = 1024 * 1024


@dataclass(kw_only=True)
class Recovered:
    """What a replica finds on its disk."""

    identity: DiskIdentity
    term: int = 0
    vote: str = ""
    log: MemoryLog = field(default_factory=lambda: MemoryLog(base_index=0, base_term=0))
    snapshot: DiskSnapshot | None = None


@dataclass(kw_only=True)
class _Replay:
    term: int = 0
    vote: str = ""
    base_index: int = 0
    base_term: int = 0
    entries: list[LogEntry] = field(default_factory=list)

    def take(self, *, step: DiskStep) -> bool:
        """Follow one step; false when it does not fit what came before."""
        if step.is_base:
            self.base_index, self.base_term = step.base_index, step.base_term
            self.entries = []
        if step.cut_from:
            del self.entries[max(0, step.cut_from - self.base_index - 1) :]
        for entry in step.entries:
            if entry.index != self.base_index + len(self.entries) + 1:
                return False
            self.entries.append(entry)
        if step.has_vote:
            self.term, self.vote = step.term, step.vote
        return True


class Store:
    """One replica's disk."""

    def __init__(self, *, ports: Ports) -> None:
        self._disk: Disk = ports.disk
        self._point = ports.point
        self._segment = 0
        self._size = 0
        self._snapshots: list[str] = []

    # --- identity ------------------------------------------------------------------

    async def read_identity(self) -> DiskIdentity | None | Defect:
        for folder in ("", "log", "snapshots"):  # looking into a folder makes it
            names = await self._disk.names(folder=folder)
            if isinstance(names, Defect):
                return names
        defect = await self._disk.sync_folder(folder="")
        if defect is not None:
            return defect
        data = await self._disk.read(path="identity")
        if data is None or isinstance(data, Defect):
            return data
        found = unseal(data=data, offset=0)
        if found is None:
            return LogDamaged(path="identity", offset=0, why="fails its check")
        return DiskIdentity().parse(found[0])

    async def write_identity(self, *, identity: DiskIdentity) -> Defect | None:
        return await self._put_file(path="identity", folder="", data=seal(body=bytes(identity)))

    async def _put_file(self, *, path: str, folder: str, data: bytes) -> Defect | None:
        """Write beside, sync, rename, sync the folder."""
        for work in (
            lambda: self._disk.write(path=path + ".new", data=data),
            lambda: self._disk.sync(path=path + ".new"),
            lambda: self._disk.rename(path=path + ".new", to=path),
            lambda: self._disk.sync_folder(folder=folder),
        ):
            self._point("file.before_step")
            outcome = await work()
            if outcome is not None:
                return outcome
        self._point("file.after_rename_sync")
        return None

    # --- recovery ----------------------------------------------------------------------

    async def recover(self, *, identity: DiskIdentity) -> Recovered | Defect:
        """Read snapshots and segments; cut a torn tail; refuse damage."""
        snapshot = await self._newest_snapshot()
        if isinstance(snapshot, Defect):
            return snapshot
        names = await self._disk.names(folder="log")
        if isinstance(names, Defect):
            return names
        segments = [name for name in names if name.endswith(".seg")]
        replay = _Replay()
        self._segment, self._size = 0, 0
        for place, name in enumerate(segments):
            outcome = await self._replay_segment(
                name=name, is_last=place == len(segments) - 1, replay=replay
            )
            if isinstance(outcome, Defect):
                return outcome
        return self._settle(identity=identity, replay=replay, snapshot=snapshot)

    async def _newest_snapshot(self) -> DiskSnapshot | None | Defect:
        names = await self._disk.names(folder="snapshots")
        if isinstance(names, Defect):
            return names
        self._snapshots = [name for name in names if name.endswith(".cap")]
        if not self._snapshots:
            return None
        path = f"snapshots/{self._snapshots[-1]}"
        data = await self._disk.read(path=path)
        if isinstance(data, Defect):
            return data
        return read_snapshot(path=path, data=data or b"")

    async def _replay_segment(self, *, name: str, is_last: bool, replay: _Replay) -> Defect | None:
        path = f"log/{name}"
        data = await self._disk.read(path=path)
        if isinstance(data, Defect):
            return data
        outcome = read_segment(path=path, data=data or b"", is_last=is_last)
        if isinstance(outcome, Defect):
            return outcome
        records, end = outcome
        for offset, record in records:
            for step in record.steps:
                if not replay.take(step=step):
                    return LogDamaged(path=path, offset=offset, why="entries out of order")
        self._segment = int(name.split(".")[0])
        self._size = end
        if not is_last:
            return None
        # The last record may be in the page cache only: write it again and sync
        # before anybody is told that it is there.
        start = records[-1][0] if records else 0
        tail = (data or b"")[start:end] if records else SEGMENT_HEAD
        self._size = start + len(tail)
        return await self._write_at(path=path, at=start, data=tail)

    async def _write_at(self, *, path: str, at: int, data: bytes) -> Defect | None:
        outcome = await self._disk.append(path=path, data=data, at=at)
        if outcome is not None:
            return outcome
        self._point("log.before_sync")
        outcome = await self._disk.sync(path=path)
        if outcome is not None:
            return outcome
        self._point("log.after_sync")
        return await self._disk.sync_folder(folder="log")

    def _settle(
        self, *, identity: DiskIdentity, replay: _Replay, snapshot: DiskSnapshot | None
    ) -> Recovered | Defect:
        base = snapshot.index if snapshot else 0
        if replay.base_index > base:
            return LogDamaged(path="snapshots", offset=0, why="the log's snapshot is not here")
        log = MemoryLog(
            base_index=replay.base_index, base_term=replay.base_term, entries=replay.entries
        )
        if snapshot is not None:
            if log.term_at(index=base) == snapshot.term:
                log.compact(index=base)
            else:
                log = MemoryLog(base_index=base, base_term=snapshot.term)
        return Recovered(
            identity=identity, term=replay.term, vote=replay.vote, log=log, snapshot=snapshot
        )

    # --- writing -----------------------------------------------------------------------------

    async def append(self, *, steps: list[DiskStep]) -> Defect | None:
        """Write one record and sync it."""
        data = seal(body=bytes(DiskRecord(steps=steps)))
        if self._segment == 0 or self._size + len(data) > SEGMENT_LIMIT and self._size > 4096:
            self._segment += 1
            self._size = 0
            data = SEGMENT_HEAD + data
        self._point("log.before_append")
        path = f"log/{self._segment:08d}.seg"
        is_new = self._size == 0
        outcome = await self._disk.append(path=path, data=data, at=self._size)
        if outcome is not None:
            return outcome
        self._point("log.before_sync")
        outcome = await self._disk.sync(path=path)
        if outcome is None and is_new:
            outcome = await self._disk.sync_folder(folder="log")
        if outcome is not None:
            return outcome
        self._point("log.after_sync")
        self._size += len(data)
        return None

    async def keep_snapshot(
        self, *, snapshot: DiskSnapshot, tail: list[LogEntry], term: int, vote: str
    ) -> Defect | None:
        """Write a snapshot, begin a segment behind it, drop what came before."""
        name = f"{snapshot.index:020d}.cap"
        self._point("snapshot.before_write")
        names = await self._disk.names(folder="snapshots")
        if isinstance(names, Defect):
            return names
        outcome = await self._put_file(
            path=f"snapshots/{name}", folder="snapshots", data=write_snapshot(snapshot=snapshot)
        )
        if outcome is not None:
            return outcome
        self._point("snapshot.after_write")
        old_segment = self._segment
        self._segment, self._size = old_segment + 1, len(SEGMENT_HEAD)
        step = DiskStep(
            is_base=True,
            base_index=snapshot.index,
            base_term=snapshot.term,
            entries=tail,
            has_vote=True,
            term=term,
            vote=vote,
        )
        data = SEGMENT_HEAD + seal(body=bytes(DiskRecord(steps=[step])))
        outcome = await self._write_at(path=f"log/{self._segment:08d}.seg", at=0, data=data)
        if outcome is not None:
            return outcome
        self._size = len(data)
        self._point("snapshot.before_drop")
        return await self._drop_before(segment=self._segment, snapshot=name)

    async def _drop_before(self, *, segment: int, snapshot: str) -> Defect | None:
        names = await self._disk.names(folder="log")
        if isinstance(names, Defect):
            return names
        old = [f"log/{n}" for n in names if n.endswith(".seg") and int(n.split(".")[0]) < segment]
        names = await self._disk.names(folder="snapshots")
        if isinstance(names, Defect):
            return names
        old += [f"snapshots/{n}" for n in names if n != snapshot]
        for path in old:
            outcome = await self._disk.delete(path=path)
            if outcome is not None:
                return outcome
        return None

    async def set_aside(self) -> Defect | None:
        """Forget a damaged replica: its files no longer count."""
        for folder in ("log", "snapshots"):
            names = await self._disk.names(folder=folder)
            if isinstance(names, Defect):
                return names
            for name in names:
                outcome = await self._disk.delete(path=f"{folder}/{name}")
                if outcome is not None:
                    return outcome
        if await self._disk.read(path="identity") is not None:
            outcome = await self._disk.delete(path="identity")
            if outcome is not None:
                return outcome
        self._segment, self._size = 0, 0
        return await self._disk.sync_folder(folder="")
