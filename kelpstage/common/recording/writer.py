"""Writing a day beside the work: rows are kept in memory and written now and
then, off the loop. What does not fit is counted, never waited for."""

from __future__ import annotations

from collections import Counter

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.recording.format import HEAD, Row, pack_row

FLUSH_US = 500_000
BYTES_KEPT = 4 * 1024 * 1024


class DayWriter:
    """Appends to one day's file through the disk port."""

    def __init__(self, *, ports: Ports, path: str, counts: Counter[str]) -> None:
        self._ports = ports
        self._path = path
        self._counts = counts
        self._kept: list[bytes] = [HEAD]
        self._size = len(HEAD)
        self._offset = 0
        self._begun_us = ports.clock.now_us()
        self._task = ports.spawn(self._run())
        self.note(row={"what": "begin", "wall_us": ports.clock.wall_us()})

    def note(self, *, row: Row) -> None:
        """Keep a row; its time is put in here."""
        data = pack_row(row={**row, "at_us": self._ports.clock.now_us() - self._begun_us})
        if self._size + len(data) > BYTES_KEPT:
            self._counts["day_rows_dropped"] += 1
            return
        self._kept.append(data)
        self._size += len(data)

    async def _run(self) -> None:
        await self._ports.disk.names(folder="")  # looking into the folder makes it
        while True:
            await self._ports.clock.sleep(us=FLUSH_US)
            await self.flush()

    async def flush(self) -> None:
        """Write what is kept; after a disk's refusal it is tried again later."""
        if not self._kept:
            return
        data = b"".join(self._kept)
        outcome = await self._ports.disk.append(path=self._path, data=data, at=self._offset)
        if isinstance(outcome, KelpstageError):
            self._counts["day_writes_failed"] += 1
            return
        written = len(data)
        self._offset += written
        self._size -= written
        while written > 0:
            written -= len(self._kept.pop(0))
