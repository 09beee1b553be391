"""Operations on the data folder that several steps of the store share.

Each gives a typed error or its result, and syncs a folder whose names it has changed.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import Disk, Ports
from kelpstage.core.store.layout import (
    IDENTITY_PATH,
    LOG_FOLDER,
    ROOT,
    SNAPSHOT_FOLDER,
    UNFINISHED_SUFFIX,
    parse_name,
)

OWNED_FOLDERS = (LOG_FOLDER, SNAPSHOT_FOLDER)


class DataFolder:
    """The files of one data folder, whichever replica they belong to."""

    def __init__(self, *, ports: Ports) -> None:
        self._disk: Disk = ports.disk
        self._point = ports.failpoint

    async def replace_file(self, *, path: str, folder: str, data: bytes) -> KelpstageError | None:
        """Replace a file atomically: write beside it, sync, rename, sync the folder."""
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

    async def drop(self, *, is_needless: Callable[[str], bool]) -> KelpstageError | None:
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

    async def drop_unfinished_identity(self) -> KelpstageError | None:
        """Delete what an interrupted write of the identity left beside it."""
        beside = IDENTITY_PATH + UNFINISHED_SUFFIX
        names = await self._disk.names(folder=ROOT)
        if isinstance(names, KelpstageError):
            return names
        return await self._disk.delete(path=beside) if beside in names else None

    async def numbers(self, *, folder: str, replica: str) -> list[int] | KelpstageError:
        """The numbers of a replica's files in a folder, ascending."""
        names = await self._disk.names(folder=folder)
        if isinstance(names, KelpstageError):
            return names
        found = [parse_name(name=name) for name in names]
        return sorted(parts.number for parts in found if parts and parts.replica == replica)
