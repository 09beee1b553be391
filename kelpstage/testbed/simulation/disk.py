"""Simulated disks that lose at least as much as the platform's documentation allows.

Where two versions of that documentation differ, the rule that loses more applies:

- After a power loss a file has the content that its last sync covered. Each later write
  and each later change of its length is present, missing or torn independently of the
  others. In some power losses all unsynced writes of the whole disk are missing.
- A name is an entry of its folder, and names are kept or lost independently. A name that
  was created, replaced or removed since the last sync of its folder refers, after a power
  loss, to any of the files that it has referred to since then, or to none if it was absent
  at some time. After a rename the old name, the new name, both or neither may exist; a
  name that was replaced refers to the old file or to the new one. If both names exist,
  they refer to one file, and truncating one truncates the other.
- Syncing a new file keeps its content but not its name: the older documentation keeps the
  name too, the newer one does not say so.
- Of a torn write a prefix of its bytes or some of its sectors are on the disk. The other
  bytes keep the file's earlier content; beyond its old end they are zero, and the last
  byte of a prefix may be wrong.
- A full disk rejects every write (a file can still be created, but stays empty); names can
  be changed, and files truncated and synced. A stalled disk completes no operation until
  the stall ends.
- The documentation has no failing sync. Here a sync can fail as on Linux: the error is
  returned once, and the data that it should have covered stays readable but never reaches
  the disk.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.storage import DiskError

SECTOR_BYTES = 512
PENDING_LIMIT = 64
ALL_LOST_ONE_IN = 4

MISSING, PRESENT, TORN = range(3)
OUTCOME_COUNT = 3

Choose = Callable[[int], int]


class PowerLost(Exception):
    """Raised by a test from `DiskImage.before_change`: the machine has lost power."""


@dataclass(frozen=True, kw_only=True)
class WriteAt:
    """An unsynced write of bytes at an offset."""

    at: int
    data: bytes


@dataclass(frozen=True, kw_only=True)
class SetLength:
    """An unsynced change of a file's length."""

    size: int


def apply_write(*, data: bytes, at: int, new: bytes) -> bytes:
    """Return the content after a write; a gap before the offset is filled with zeros.

    >>> apply_write(data=b"abc", at=1, new=b"X"), apply_write(data=b"", at=1, new=b"X")
    (b'aXc', b'\\x00X')
    """
    return data[:at].ljust(at, b"\0") + new + data[at + len(new) :]


def apply_length(*, data: bytes, size: int) -> bytes:
    """Return the content truncated or extended with zeros to a length.

    >>> apply_length(data=b"abc", size=1), apply_length(data=b"a", size=2)
    (b'a', b'a\\x00')
    """
    return data[:size].ljust(size, b"\0")


def apply_torn_write(*, data: bytes, write: WriteAt, rand: random.Random) -> bytes:
    """Return the content after a write that a power loss interrupted.

    >>> apply_torn_write(data=b"abcd", write=WriteAt(at=0, data=b"abcd"), rand=random.Random(1))
    b'abcd'
    """
    if rand.random() < 0.5:
        prefix = write.data[: rand.randrange(len(write.data) + 1)]
        out = apply_write(data=data, at=write.at, new=prefix)
        end = write.at + len(prefix)
        if prefix and end > len(data) and rand.random() < 0.5:
            out = out[: end - 1] + bytes([out[end - 1] ^ 0x55])
        return out
    out = data
    for start in range(0, len(write.data), SECTOR_BYTES):
        if rand.random() < 0.5:
            sector = write.data[start : start + SECTOR_BYTES]
            out = apply_write(data=out, at=write.at + start, new=sector)
    return out


class SimFile:
    """A file: its current content, the content at its last sync, and the changes since then.

    >>> file = SimFile(); file.write(at=0, data=b"ab"); file.data, file.synced
    (b'ab', b'')
    >>> file.sync(); file.synced
    b'ab'
    """

    def __init__(self, *, data: bytes = b"") -> None:
        self._data = data
        self.synced = b""
        self.pending: list[WriteAt | SetLength] = []
        if data:
            self.pending.append(WriteAt(at=0, data=data))

    @property
    def data(self) -> bytes:
        """The content that a reader sees, unsynced changes included."""
        return self._data

    @data.setter
    def data(self, data: bytes) -> None:
        """Replace the content, as if synced; for tests that damage a file."""
        self._data = self.synced = data
        self.pending = []

    def write(self, *, at: int, data: bytes) -> None:
        """Write at an offset, without a sync."""
        self._data = apply_write(data=self._data, at=at, new=data)
        self.pending.append(WriteAt(at=at, data=data))
        if len(self.pending) > PENDING_LIMIT:
            self._merge_pending()

    def set_length(self, *, size: int) -> None:
        """Set the length, without a sync."""
        self._data = apply_length(data=self._data, size=size)
        self.pending.append(SetLength(size=size))

    def sync(self) -> None:
        """Make all changes durable."""
        for change in self.pending:
            if isinstance(change, SetLength):
                self.synced = apply_length(data=self.synced, size=change.size)
            else:
                self.synced = apply_write(data=self.synced, at=change.at, new=change.data)
        self.pending = []

    def fail_sync(self) -> None:
        """Fail a sync: readers still see the changes since the last one, but no later sync
        covers them unless they are written again."""
        self.pending = []

    def copy(self) -> SimFile:
        """Return a copy with the same content and unsynced changes, for another disk."""
        file = SimFile()
        file._data, file.synced, file.pending = self._data, self.synced, list(self.pending)
        return file

    def lose_power(self, *, choose: Choose, rand: random.Random, is_all_lost: bool) -> None:
        """Keep the synced content and, of each later change, all, a part or nothing."""
        data = self.synced
        for change in [] if is_all_lost else self.pending:
            outcome = choose(OUTCOME_COUNT)
            if outcome == MISSING:
                continue
            if isinstance(change, SetLength):
                data = apply_length(data=data, size=change.size)
            elif outcome == PRESENT:
                data = apply_write(data=data, at=change.at, new=change.data)
            else:
                data = apply_torn_write(data=data, write=change, rand=rand)
        self.data = data

    def _merge_pending(self) -> None:
        """Merge unsynced writes that follow directly on the first one into a single write."""
        first = self.pending[0]
        if not isinstance(first, WriteAt):
            return
        parts, end = [first.data], first.at + len(first.data)
        rest = self.pending[1:]
        while rest and isinstance(rest[0], WriteAt) and rest[0].at == end:
            parts.append(rest[0].data)
            end += len(rest[0].data)
            rest = rest[1:]
        self.pending = [WriteAt(at=first.at, data=b"".join(parts)), *rest]


@dataclass(kw_only=True)
class DiskImage:
    """One machine's disk. Its content survives processes, and power losses where synced.

    `files` are the names and files that processes see. `kept` are the names as of the last
    sync of each folder. `changed` has, for each name that changed since, every file that it
    has referred to (`None`: no file), beginning with the kept one. `before_change` is called
    before each single change.

    >>> disk_image = DiskImage(rand=random.Random(1))
    >>> disk_image.files["a"] = SimFile(data=b"xyz"); disk_image.lose_power(); disk_image.files
    {}
    """

    rand: random.Random
    files: dict[str, SimFile] = field(default_factory=dict)
    kept: dict[str, SimFile] = field(default_factory=dict)
    changed: dict[str, list[SimFile | None]] = field(default_factory=dict)
    slow: int = 1
    is_full: bool = False
    is_stalled: bool = False
    is_sync_failing: bool = False
    before_change: Callable[[str], None] = lambda step: None

    def set_name(self, *, path: str, file: SimFile | None) -> None:
        """Make a name refer to another file, or to none; not durable until a folder sync."""
        states = self.changed.setdefault(path, [self.kept.get(path)])
        if all(state is not file for state in states):
            states.append(file)
        if file is None:
            self.files.pop(path, None)
        else:
            self.files[path] = file

    def sync_names(self, *, prefix: str) -> None:
        """Make the names of a folder durable."""
        for path in [path for path in self.changed if _is_directly_in(path=path, prefix=prefix)]:
            del self.changed[path]
            self.kept.pop(path, None)
            if path in self.files:
                self.kept[path] = self.files[path]

    def lose_power(self, *, choose: Choose | None = None) -> None:
        """Lose power; `choose(n)` decides the outcomes by a number below n, random by default."""
        choose = choose or self.rand.randrange
        is_all_lost = choose(ALL_LOST_ONE_IN) == 0
        self.files = dict(self.kept)
        for path, states in sorted(self.changed.items()):
            self.files.pop(path, None)
            state = states[choose(len(states))] if len(states) > 1 else states[0]
            if state is not None:
                self.files[path] = state
        for file in {id(file): file for file in self.files.values()}.values():
            file.lose_power(choose=choose, rand=self.rand, is_all_lost=is_all_lost)
        self.kept, self.changed = dict(self.files), {}

    def replace_with_empty(self) -> None:
        """Replace the disk with an empty one without faults."""
        self.files, self.kept, self.changed = {}, {}, {}
        self.is_full = self.is_stalled = self.is_sync_failing = False
        self.slow = 1


class SimDisk:
    """The disk interface of a process, with random latency, on its machine's disk."""

    def __init__(self, *, clock: Any, disk_image: DiskImage, rand: random.Random) -> None:
        self._clock = clock
        self._disk_image = disk_image
        self._rand = rand

    async def _wait_latency(self, *, us: int) -> None:
        while self._disk_image.is_stalled:
            await self._clock.sleep(us=20_000)
        await self._clock.sleep(us=int(us * self._disk_image.slow * (0.5 + self._rand.random())))

    async def list_names(self, *, folder: str) -> list[str] | KelpstageError:
        """List the names in a folder; a folder without files gives an empty list."""
        await self._wait_latency(us=100)
        prefix = f"{folder}/" if folder else ""
        return sorted(
            {p[len(prefix) :].split("/")[0] for p in self._disk_image.files if p.startswith(prefix)}
        )

    async def read(self, *, path: str) -> bytes | None | KelpstageError:
        """Return the content of a file, `None` if it does not exist."""
        await self._wait_latency(us=200)
        file = self._disk_image.files.get(path)
        return None if file is None else file.data

    async def append(self, *, path: str, data: bytes, at: int) -> KelpstageError | None:
        """Write at an offset and truncate the file after the written bytes."""
        await self._wait_latency(us=100)
        file = self._open_or_create(path=path)
        if data:
            if self._disk_image.is_full:
                return DiskError(path=path, op="append", why="ENOSPC")
            self._disk_image.before_change(f"write {path}")
            file.write(at=at, data=data)
        if len(file.data) != at + len(data):
            self._disk_image.before_change(f"set length {path}")
            file.set_length(size=at + len(data))
        return None

    async def sync(self, *, path: str) -> KelpstageError | None:
        """Make a file's content durable."""
        await self._wait_latency(us=1_000)
        file = self._disk_image.files.get(path)
        if file is None:
            return DiskError(path=path, op="sync", why="ENOENT")
        self._disk_image.before_change(f"sync {path}")
        if self._disk_image.is_sync_failing:
            file.fail_sync()
            return DiskError(path=path, op="sync", why="EIO")
        file.sync()
        await self._wait_latency(us=1_000)
        return None

    async def sync_folder(self, *, folder: str) -> KelpstageError | None:
        """Make a folder's names durable."""
        await self._wait_latency(us=1_000)
        self._disk_image.before_change(f"sync folder {folder}")
        self._disk_image.sync_names(prefix=f"{folder}/" if folder else "")
        return None

    async def write(self, *, path: str, data: bytes) -> KelpstageError | None:
        """Replace the content of a file, which is created if it does not exist."""
        await self._wait_latency(us=200)
        file = self._open_or_create(path=path)
        if file.data:
            self._disk_image.before_change(f"set length {path}")
            file.set_length(size=0)
        if self._disk_image.is_full:
            return DiskError(path=path, op="write", why="ENOSPC")
        self._disk_image.before_change(f"write {path}")
        file.write(at=0, data=data)
        return None

    async def rename(self, *, path: str, to: str) -> KelpstageError | None:
        """Rename a file, replacing any file with the new name."""
        await self._wait_latency(us=100)
        file = self._disk_image.files.get(path)
        if file is None:
            return DiskError(path=path, op="rename", why="ENOENT")
        self._disk_image.before_change(f"rename {path}")
        self._disk_image.set_name(path=to, file=file)
        self._disk_image.set_name(path=path, file=None)
        return None

    async def delete(self, *, path: str) -> KelpstageError | None:
        """Remove a file's name."""
        await self._wait_latency(us=100)
        if path not in self._disk_image.files:
            return DiskError(path=path, op="delete", why="ENOENT")
        self._disk_image.before_change(f"delete {path}")
        self._disk_image.set_name(path=path, file=None)
        return None

    def _open_or_create(self, *, path: str) -> SimFile:
        file = self._disk_image.files.get(path)
        if file is None:
            self._disk_image.before_change(f"make {path}")
            file = SimFile()
            self._disk_image.set_name(path=path, file=file)
        return file


def _is_directly_in(*, path: str, prefix: str) -> bool:
    return path.startswith(prefix) and "/" not in path[len(prefix) :]
