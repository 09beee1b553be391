"""Simulated disks, at least as harsh as the pages of the platform allow.

How the pages are read (the newest page first; where two differ, the harsher holds):

- A file's content after a loss of power is what its last sync covered; each later
  write, and each later change of its length, is present, missing or torn by itself.
  At some losses every later write of the whole disk is gone.
- A name is an entry of its folder, and each name fares by itself: until the folder is
  synced, a name that was made, replaced or removed holds after a loss of power any of
  the files that it has held since the folder's last sync, or none if it held none at
  some time. Of a rename so the old name, the new name, both or neither may be there;
  a name that was replaced holds the old file or the new one. Where both names are there
  they are one file, and truncating one truncates the other.
- A new file's own sync keeps its content but not its name: the older page keeps the
  name too, the newer one does not say so.
- A torn write leaves a prefix of its bytes, or some of its sectors. Where the file had
  bytes before, the others keep those; beyond its old end they are zero, and the last one
  may be wrong.
- A full disk refuses every write (a file may still be made, then empty); names can be
  changed, files be shortened and synced. A stalled disk answers nothing until it goes on.
- The pages know no sync that fails. Here one can, as Linux has it: the error comes once,
  and what it should have covered stays readable without ever reaching the disk.
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
OUTCOMES = 3

Choose = Callable[[int], int]


class PowerLost(Exception):
    """Raised by a test out of `Platter.on_step`: the machine is off from here on."""


@dataclass(frozen=True, kw_only=True)
class WriteAt:
    """Bytes written at an offset, not yet synced."""

    at: int
    data: bytes


@dataclass(frozen=True, kw_only=True)
class SetLength:
    """A change of a file's length, not yet synced."""

    size: int


def written(*, data: bytes, at: int, new: bytes) -> bytes:
    """A file's bytes after a write; a gap before it reads as zeros.

    >>> written(data=b"abc", at=1, new=b"X"), written(data=b"", at=1, new=b"X")
    (b'aXc', b'\\x00X')
    """
    return data[:at].ljust(at, b"\0") + new + data[at + len(new) :]


def resized(*, data: bytes, size: int) -> bytes:
    """A file's bytes after its length was set.

    >>> resized(data=b"abc", size=1), resized(data=b"a", size=2)
    (b'a', b'a\\x00')
    """
    return data[:size].ljust(size, b"\0")


def torn(*, data: bytes, write: WriteAt, rand: random.Random) -> bytes:
    """A file's bytes after a write that the loss of power tore.

    >>> torn(data=b"abcd", write=WriteAt(at=0, data=b"abcd"), rand=random.Random(1))
    b'abcd'
    """
    if rand.random() < 0.5:
        left = write.data[: rand.randrange(len(write.data) + 1)]
        out = written(data=data, at=write.at, new=left)
        end = write.at + len(left)
        if left and end > len(data) and rand.random() < 0.5:
            out = out[: end - 1] + bytes([out[end - 1] ^ 0x55])
        return out
    out = data
    for start in range(0, len(write.data), SECTOR_BYTES):
        if rand.random() < 0.5:
            sector = write.data[start : start + SECTOR_BYTES]
            out = written(data=out, at=write.at + start, new=sector)
    return out


class SimFile:
    """A file: what readers see, what the last sync covered, what came since.

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
        """What a reader sees."""
        return self._data

    @data.setter
    def data(self, data: bytes) -> None:
        """Damage planted by a test: it is on the disk, whatever was synced."""
        self._data = self.synced = data
        self.pending = []

    def write(self, *, at: int, data: bytes) -> None:
        """Write into the cache."""
        self._data = written(data=self._data, at=at, new=data)
        self.pending.append(WriteAt(at=at, data=data))
        if len(self.pending) > PENDING_LIMIT:
            self._join_pending()

    def set_length(self, *, size: int) -> None:
        """Set the length in the cache."""
        self._data = resized(data=self._data, size=size)
        self.pending.append(SetLength(size=size))

    def sync(self) -> None:
        """Make the changes since the last sync last."""
        for change in self.pending:
            if isinstance(change, SetLength):
                self.synced = resized(data=self.synced, size=change.size)
            else:
                self.synced = written(data=self.synced, at=change.at, new=change.data)
        self.pending = []

    def fail_sync(self) -> None:
        """Give up the changes since the last sync, though readers go on seeing them: no
        later sync covers them, unless they are written again."""
        self.pending = []

    def copy(self) -> SimFile:
        """The same file on another disk."""
        file = SimFile()
        file._data, file.synced, file.pending = self._data, self.synced, list(self.pending)
        return file

    def lose_power(self, *, choose: Choose, rand: random.Random, is_all_lost: bool) -> None:
        """Keep what was synced, and of each later write all, nothing or a part."""
        data = self.synced
        for change in [] if is_all_lost else self.pending:
            outcome = choose(OUTCOMES)
            if outcome == MISSING:
                continue
            if isinstance(change, SetLength):
                data = resized(data=data, size=change.size)
            elif outcome == PRESENT:
                data = written(data=data, at=change.at, new=change.data)
            else:
                data = torn(data=data, write=change, rand=rand)
        self.data = data

    def _join_pending(self) -> None:
        """Take a long row of writes, each behind the one before, as a single one."""
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
class Platter:
    """One machine's disk; it outlives processes, not always losses of power.

    `files` is what processes see. `kept` are the names as of the last sync of each
    folder; `changed` holds, for each name changed since, every file that it has held
    (`None`: no file), the kept one first. `on_step` hears of each single change before
    it is made.

    >>> platter = Platter(rand=random.Random(1))
    >>> platter.files["a"] = SimFile(data=b"xyz"); platter.cut_power(); platter.files
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
    on_step: Callable[[str], None] = lambda step: None

    def set_name(self, *, path: str, file: SimFile | None) -> None:
        """Let a name hold another file, or none, until its folder is synced."""
        states = self.changed.setdefault(path, [self.kept.get(path)])
        if all(state is not file for state in states):
            states.append(file)
        if file is None:
            self.files.pop(path, None)
        else:
            self.files[path] = file

    def keep_names(self, *, prefix: str) -> None:
        """Make the names of a folder last."""
        for path in [path for path in self.changed if _is_in(path=path, prefix=prefix)]:
            del self.changed[path]
            self.kept.pop(path, None)
            if path in self.files:
                self.kept[path] = self.files[path]

    def cut_power(self, *, choose: Choose | None = None) -> None:
        """Lose power; `choose(n)` decides below n, at random if none is given."""
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

    def lose(self) -> None:
        """The disk is gone and an empty one is in its place."""
        self.files, self.kept, self.changed = {}, {}, {}
        self.is_full = self.is_stalled = self.is_sync_failing = False
        self.slow = 1


class SimDisk:
    """A process's way to its machine's platter."""

    def __init__(self, *, clock: Any, platter: Platter, rand: random.Random) -> None:
        self._clock = clock
        self._platter = platter
        self._rand = rand

    async def _turn(self, *, us: int) -> None:
        while self._platter.is_stalled:
            await self._clock.sleep(us=20_000)
        await self._clock.sleep(us=int(us * self._platter.slow * (0.5 + self._rand.random())))

    async def names(self, *, folder: str) -> list[str] | KelpstageError:
        """The names in a folder, which is made by looking into it."""
        await self._turn(us=100)
        prefix = f"{folder}/" if folder else ""
        return sorted(
            {p[len(prefix) :].split("/")[0] for p in self._platter.files if p.startswith(prefix)}
        )

    async def read(self, *, path: str) -> bytes | None | KelpstageError:
        """A whole file, `None` if there is none."""
        await self._turn(us=200)
        file = self._platter.files.get(path)
        return None if file is None else file.data

    async def append(self, *, path: str, data: bytes, at: int) -> KelpstageError | None:
        """Write at an offset, then end the file behind it."""
        await self._turn(us=100)
        file = self._made(path=path)
        if data:
            if self._platter.is_full:
                return DiskError(path=path, op="append", why="ENOSPC")
            self._platter.on_step(f"write {path}")
            file.write(at=at, data=data)
        if len(file.data) != at + len(data):
            self._platter.on_step(f"set length {path}")
            file.set_length(size=at + len(data))
        return None

    async def sync(self, *, path: str) -> KelpstageError | None:
        """Make a file's content last."""
        await self._turn(us=1_000)
        file = self._platter.files.get(path)
        if file is None:
            return DiskError(path=path, op="sync", why="ENOENT")
        self._platter.on_step(f"sync {path}")
        if self._platter.is_sync_failing:
            file.fail_sync()
            return DiskError(path=path, op="sync", why="EIO")
        file.sync()
        await self._turn(us=1_000)
        return None

    async def sync_folder(self, *, folder: str) -> KelpstageError | None:
        """Make a folder's names last."""
        await self._turn(us=1_000)
        self._platter.on_step(f"sync folder {folder}")
        self._platter.keep_names(prefix=f"{folder}/" if folder else "")
        return None

    async def write(self, *, path: str, data: bytes) -> KelpstageError | None:
        """Write a whole file, over the one that has the name."""
        await self._turn(us=200)
        file = self._made(path=path)
        if file.data:
            self._platter.on_step(f"set length {path}")
            file.set_length(size=0)
        if self._platter.is_full:
            return DiskError(path=path, op="write", why="ENOSPC")
        self._platter.on_step(f"write {path}")
        file.write(at=0, data=data)
        return None

    async def rename(self, *, path: str, to: str) -> KelpstageError | None:
        """Give a file another name, in place of what had it."""
        await self._turn(us=100)
        file = self._platter.files.get(path)
        if file is None:
            return DiskError(path=path, op="rename", why="ENOENT")
        self._platter.on_step(f"rename {path}")
        self._platter.set_name(path=to, file=file)
        self._platter.set_name(path=path, file=None)
        return None

    async def delete(self, *, path: str) -> KelpstageError | None:
        """Take a file's name away."""
        await self._turn(us=100)
        if path not in self._platter.files:
            return DiskError(path=path, op="delete", why="ENOENT")
        self._platter.on_step(f"delete {path}")
        self._platter.set_name(path=path, file=None)
        return None

    def _made(self, *, path: str) -> SimFile:
        file = self._platter.files.get(path)
        if file is None:
            self._platter.on_step(f"make {path}")
            file = SimFile()
            self._platter.set_name(path=path, file=file)
        return file


def _is_in(*, path: str, prefix: str) -> bool:
    return path.startswith(prefix) and "/" not in path[len(prefix) :]
