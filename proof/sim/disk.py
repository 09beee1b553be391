"""Simulated disks: what is not synced may be lost, in part or whole."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from kelpstage.base.defects import Defect, DiskDefect


@dataclass(kw_only=True)
class _File:
    data: bytes = b""
    synced: bytes = b""


@dataclass(kw_only=True)
class Platter:
    """One machine's disk; it outlives processes, not always power cuts.

    >>> platter = Platter(rand=random.Random(1))
    >>> platter.files["a"] = _File(data=b"xyz"); platter.cut_power(); platter.files
    {}
    """

    rand: random.Random
    files: dict[str, _File] = field(default_factory=dict)
    kept: dict[str, _File] = field(default_factory=dict)
    slow: int = 1
    is_full: bool = False
    is_stalled: bool = False

    def cut_power(self) -> None:
        """Only synced bytes under synced names remain, and of a file's unsynced
        tail any beginning, perhaps with its last byte wrong."""
        self.files = dict(self.kept)
        for file in self.files.values():
            tail = file.data[len(file.synced) :] if file.data.startswith(file.synced) else b""
            left = tail[: self.rand.randrange(len(tail) + 1)] if tail else b""
            if left and self.rand.random() < 0.5:
                left = left[:-1] + bytes([left[-1] ^ 0x55])
            file.data = file.synced + left
            file.synced = file.data

    def lose(self) -> None:
        """The disk is gone and an empty one is in its place."""
        self.files, self.kept = {}, {}
        self.is_full = self.is_stalled = False
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

    async def names(self, *, folder: str) -> list[str] | Defect:
        await self._turn(us=100)
        prefix = f"{folder}/" if folder else ""
        return sorted(
            {p[len(prefix) :].split("/")[0] for p in self._platter.files if p.startswith(prefix)}
        )

    async def read(self, *, path: str) -> bytes | None | Defect:
        await self._turn(us=200)
        file = self._platter.files.get(path)
        return None if file is None else file.data

    async def append(self, *, path: str, data: bytes, at: int) -> Defect | None:
        await self._turn(us=100)
        if self._platter.is_full:
            return DiskDefect(path=path, op="append", why="ENOSPC")
        file = self._platter.files.setdefault(path, _File())
        file.data = file.data[:at] + data
        if len(file.synced) > at and file.synced[at:] != data[: len(file.synced) - at]:
            file.synced = file.synced[:at]
        return None

    async def sync(self, *, path: str) -> Defect | None:
        await self._turn(us=1_000)
        file = self._platter.files.get(path)
        if file is None:
            return DiskDefect(path=path, op="sync", why="ENOENT")
        file.synced = file.data
        await self._turn(us=1_000)
        return None

    async def sync_folder(self, *, folder: str) -> Defect | None:
        await self._turn(us=1_000)
        prefix = f"{folder}/" if folder else ""
        for path in [p for p in self._platter.kept if _is_in(path=p, prefix=prefix)]:
            del self._platter.kept[path]
        for path, file in self._platter.files.items():
            if _is_in(path=path, prefix=prefix):
                self._platter.kept[path] = file
        return None

    async def write(self, *, path: str, data: bytes) -> Defect | None:
        await self._turn(us=200)
        if self._platter.is_full:
            return DiskDefect(path=path, op="write", why="ENOSPC")
        self._platter.files[path] = _File(data=data)
        return None

    async def rename(self, *, path: str, to: str) -> Defect | None:
        await self._turn(us=100)
        self._platter.files[to] = self._platter.files.pop(path)
        return None

    async def delete(self, *, path: str) -> Defect | None:
        await self._turn(us=100)
        self._platter.files.pop(path, None)
        return None


def _is_in(*, path: str, prefix: str) -> bool:
    return path.startswith(prefix) and "/" not in path[len(prefix) :]
