"""Operations on the data folder that several parts of the store use.

Each returns a typed error or its result, and syncs every folder whose entries it changes.
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
    parse_file_name,
)

OWNED_FOLDERS = (LOG_FOLDER, SNAPSHOT_FOLDER)


class DataFolder:
    """The files of one data folder, of any replica."""

    def __init__(self, *, ports: Ports) -> None:
        self._disk: Disk = ports.disk
        self._failpoint = ports.failpoint

    async def replace_file(self, *, path: str, folder: str, data: bytes) -> KelpstageError | None:
        """Replace a file atomically: write a temporary file, sync, rename, sync the folder."""
        temporary = path + UNFINISHED_SUFFIX
        steps: list[Callable[[], Awaitable[KelpstageError | None]]] = [
            lambda: self._disk.write(path=temporary, data=data),
            lambda: self._disk.sync(path=temporary),
            lambda: self._disk.rename(path=temporary, to=path),
            lambda: self._disk.sync_folder(folder=folder),
        ]
        for step in steps:
            self._failpoint("file.before_step")
            error = await step()
            if error is not None:
                return error
        self._failpoint("file.after_rename_sync")
        return None

    async def delete_files(self, *, is_obsolete: Callable[[str], bool]) -> KelpstageError | None:
        """Delete obsolete log and snapshot files, oldest first, and sync their folders."""
        for folder in OWNED_FOLDERS:
            names = await self._disk.list_names(folder=folder)
            if isinstance(names, KelpstageError):
                return names
            obsolete = [name for name in names if is_obsolete(name)]
            for name in obsolete:
                error = await self._disk.delete(path=f"{folder}/{name}")
                if error is not None:
                    return error
            error = await self._disk.sync_folder(folder=folder) if obsolete else None
            if error is not None:
                return error
        return None

    async def delete_unfinished_identity(self) -> KelpstageError | None:
        """Delete the temporary file that an interrupted write of the identity left."""
        temporary = IDENTITY_PATH + UNFINISHED_SUFFIX
        names = await self._disk.list_names(folder=ROOT)
        if isinstance(names, KelpstageError):
            return names
        return await self._disk.delete(path=temporary) if temporary in names else None

    async def file_numbers(self, *, folder: str, replica: str) -> list[int] | KelpstageError:
        """Returns the numbers of a replica's files in a folder, ascending."""
        names = await self._disk.list_names(folder=folder)
        if isinstance(names, KelpstageError):
            return names
        found = [parse_file_name(name=name) for name in names]
        return sorted(parts.number for parts in found if parts and parts.replica == replica)
