"""A connected socket on the loop, for either side of the HTTP transport.

It does what the loop's own stream transport does without its tasks, futures and
deferred steps, and with one read buffer for all: a connection that carries one call
costs 0.6 of the processor time (docs/measurements.md).
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

# All connections read into this one buffer, which is taken in before the next reads.
BUFFER = memoryview(bytearray(128 * 1024))
HIGH = 64 * 1024
RETRY = (BlockingIOError, InterruptedError)


class Connection:
    """Reads for an owner and writes for it.

    The owner has `take(size)` (so many bytes are in `BUFFER`), `eof()` (true: our side
    stays open), `lost(error)` (called once, whoever ended it) and `is_drained()`.
    """

    __slots__ = (
        "sock",
        "_fd",
        "_loop",
        "_owner",
        "_unsent",
        "_is_open",
        "_is_reading",
        "_is_writing",
        "_ends",
        "_closes",
    )

    def __init__(self, *, sock: socket.socket, owner: Any) -> None:
        self.sock = sock
        self._fd = sock.fileno()
        self._loop = asyncio.get_running_loop()
        self._owner = owner
        self._unsent = bytearray()
        self._is_open = True
        self._is_reading = True
        self._is_writing = False
        self._ends = False  # our side is to end once all is sent
        self._closes = False
        self._loop.add_reader(self._fd, self._read)

    def is_open(self) -> bool:
        """Neither ended nor about to."""
        return self._is_open and not self._closes

    def unsent(self) -> int:
        """How many bytes the kernel has not taken yet."""
        return len(self._unsent)

    def is_full(self) -> bool:
        """Should the owner write no more for now?"""
        return len(self._unsent) > HIGH

    def write(self, data: bytes) -> None:
        """Send, or keep what the kernel does not take at once."""
        if not self._is_open or self._ends:
            return
        if not self._unsent:
            try:
                sent = self.sock.send(data)
            except RETRY:
                sent = 0
            except OSError as error:
                self._end(error)
                return
            if sent == len(data):
                return
            data = data[sent:]
        self._unsent += data
        if not self._is_writing:
            self._is_writing = True
            self._loop.add_writer(self._fd, self._send)

    def end_writing(self) -> None:
        """End our side once all is sent; the other side may still send."""
        self._ends = True
        if not self._unsent and self._is_open:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError as error:
                self._end(error)

    def close(self) -> None:
        """End the connection once all is sent."""
        self._closes = True
        self.pause_reading()
        if not self._unsent:
            self._end(None)

    def abort(self) -> None:
        """End the connection now."""
        self._end(None)

    def pause_reading(self) -> None:
        """Read nothing until `resume_reading`."""
        if self._is_reading:
            self._is_reading = False
            self._loop.remove_reader(self._fd)

    def resume_reading(self) -> None:
        """Read again, unless it is about to end."""
        if not self._is_reading and self.is_open():
            self._is_reading = True
            self._loop.add_reader(self._fd, self._read)

    def _read(self) -> None:
        try:
            size = self.sock.recv_into(BUFFER)
        except RETRY:
            return
        except OSError as error:
            self._end(error)
            return
        if size:
            self._owner.take(size)
            return
        self.pause_reading()
        if not self._owner.eof():
            self.close()

    def _send(self) -> None:
        try:
            sent = self.sock.send(self._unsent)
        except RETRY:
            return
        except OSError as error:
            self._end(error)
            return
        del self._unsent[:sent]
        if self._unsent:
            return
        self._is_writing = False
        self._loop.remove_writer(self._fd)
        if self._closes:
            self._end(None)
            return
        if self._ends:
            self.end_writing()
        self._owner.is_drained()

    def _end(self, error: OSError | None) -> None:
        if not self._is_open:
            return
        self._is_open = False
        self.pause_reading()
        if self._is_writing:
            self._loop.remove_writer(self._fd)
        self._unsent.clear()
        self.sock.close()
        self._loop.call_soon(self._owner.lost, error)
