"""Writes a recording in the background: rows are buffered in memory and flushed periodically,
off the event loop. Rows that do not fit into the buffer are dropped and counted."""

from __future__ import annotations

from collections import Counter

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.recording.format import FILE_HEADER, Row, encode_row

FLUSH_INTERVAL_US = 500_000
MAX_BUFFERED_BYTES = 4 * 1024 * 1024


class RecordingWriter:
    """Appends rows to the file of one recording through the disk port."""

    def __init__(self, *, ports: Ports, path: str, counts: Counter[str]) -> None:
        self._ports = ports
        self._path = path
        self._counts = counts
        self._buffer: list[bytes] = [FILE_HEADER]
        self._buffered_bytes = len(FILE_HEADER)
        self._offset = 0
        self._started_us = ports.clock.now_us()
        self._task = ports.spawn(self._run())
        self.add(row={"what": "begin", "wall_us": ports.clock.wall_us()})

    def add(self, *, row: Row) -> None:
        """Buffer a row, with the current time as its `at_us`."""
        data = encode_row(row={**row, "at_us": self._ports.clock.now_us() - self._started_us})
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self._counts["day_rows_dropped"] += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    async def _run(self) -> None:
        await self._ports.disk.list_names(folder="")  # creates the folder
        while True:
            await self._ports.clock.sleep(us=FLUSH_INTERVAL_US)
            await self.flush()

    async def flush(self) -> None:
        """Write the buffered rows; after a disk error they are kept and retried later."""
        if not self._buffer:
            return
        data = b"".join(self._buffer)
        outcome = await self._ports.disk.append(path=self._path, data=data, at=self._offset)
        if isinstance(outcome, KelpstageError):
            self._counts["day_writes_failed"] += 1
            return
        written = len(data)
        self._offset += written
        self._buffered_bytes -= written
        while written > 0:
            written -= len(self._buffer.pop(0))
