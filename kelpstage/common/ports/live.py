"""Ports of a real process: tornado, sockets, files and the kernel's clock."""

from __future__ import annotations

import asyncio
import datetime
import errno
import os
import random
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Awaitable, Callable

from tornado import gen, ioloop, iostream, netutil, tcpclient, tcpserver

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.storage import DiskError
from kelpstage.common.errors.transport import (
    AddressInUseError,
    ConnectError,
    ConnectionLostError,
    ReplyTimeoutError,
)
from kelpstage.common.http.client import HttpClient
from kelpstage.common.http.server import HttpServer
from kelpstage.common.http.socket_options import set_loss_timeout
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply, Ports
from kelpstage.common.ports.waiting import run_within
from kelpstage.common.transport.address import split_address


class BootClock:
    """A clock that also advances while the process or the machine is suspended.

    >>> clock = BootClock(); clock.now_us() <= clock.now_us()
    True
    """

    def now_us(self) -> int:
        """Microseconds since boot, including time in suspend."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000

    def wall_us(self) -> int:
        """Microseconds since the Unix epoch."""
        return time.time_ns() // 1000

    async def sleep(self, *, us: int) -> None:
        """Wait for `us` microseconds."""
        await gen.sleep(max(0, us) / 1_000_000)

    def call_later(self, *, us: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `us` microseconds."""
        ioloop.IOLoop.current().call_later(max(0, us) / 1_000_000, callback)

    async def within(self, awaitable: Awaitable, *, us: int) -> Any:
        """The awaitable's result, or `None` after a timeout.

        On timeout a coroutine is cancelled and a future continues.
        """
        if asyncio.iscoroutine(awaitable):
            return await run_within(awaitable, us=us)
        try:
            return await gen.with_timeout(
                datetime.timedelta(microseconds=max(0, us)), awaitable, quiet_exceptions=Exception
            )
        except gen.TimeoutError:
            return None


class LiveStream:
    """A TCP connection."""

    def __init__(self, *, stream: iostream.IOStream, address: str) -> None:
        self._stream = stream
        self._address = address
        self._pending = 0
        stream.set_nodelay(True)

    async def read(self, *, size: int) -> bytes | KelpstageError:
        """Read exactly `size` bytes; returns `ConnectionLostError` if the connection ends first."""
        try:
            return await self._stream.read_bytes(size)
        except iostream.StreamClosedError as error:
            return ConnectionLostError(address=self._address, why=str(error.real_error or "closed"))
        except iostream.UnsatisfiableReadError:
            return ConnectionLostError(address=self._address, why="unsatisfiable read")

    def write(self, *, data: bytes) -> None:
        """Send data without waiting."""
        if self._stream.closed():
            return
        size = len(data)
        self._pending += size
        self._stream.write(data).add_done_callback(lambda done: self._on_written(done, size))

    def _on_written(self, done: Any, size: int) -> None:
        done.exception()
        self._pending -= size

    def backlog(self) -> int:
        """The number of bytes that are written and not sent yet."""
        return self._pending

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


class _StreamServer(tcpserver.TCPServer):
    def __init__(self, *, on_stream: Callable) -> None:
        super().__init__(max_buffer_size=64 * 1024 * 1024)
        self._on_stream = on_stream

    async def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        await self._on_stream(
            LiveStream(stream=stream, address=f"{address[0]}:{address[1]}"),
            f"{address[0]}:{address[1]}",
        )


class _ListenerHandle:
    def __init__(self, *, close: Callable[[], None]) -> None:
        self.close = close


class LiveDatagrams:
    """A UDP socket."""

    def __init__(self, *, sock: socket.socket, on_datagram: Callable) -> None:
        self._sock = sock
        self._on_datagram = on_datagram
        ioloop.IOLoop.current().add_handler(sock.fileno(), self._on_readable, ioloop.IOLoop.READ)

    def _on_readable(self, fd: int, events: int) -> None:
        for _ in range(64):
            try:
                data, source = self._sock.recvfrom(65536)
            except (BlockingIOError, ConnectionRefusedError):
                return
            self._on_datagram(data, f"{source[0]}:{source[1]}")

    def send(self, *, address: str, data: bytes) -> None:
        """Send one datagram; it is dropped if it cannot be sent."""
        try:
            self._sock.sendto(data, split_address(address=address))
        except OSError:
            return  # UDP is unreliable: the sender handles it as a lost datagram

    def close(self) -> None:
        """Close the socket."""
        ioloop.IOLoop.current().remove_handler(self._sock.fileno())
        self._sock.close()


class LiveNet:
    """TCP and UDP with tornado, HTTP with `common/http`."""

    def __init__(self) -> None:
        self._client = HttpClient()
        self._tcp = tcpclient.TCPClient()

    async def connect(
        self, *, address: str, wait_us: int, lost_after_us: int = 0
    ) -> LiveStream | KelpstageError:
        """Connect within `wait_us`; returns `ReplyTimeoutError` or `ConnectError` on failure."""
        try:
            host, port = split_address(address=address)
            stream = await self._tcp.connect(
                host, port, timeout=wait_us / 1_000_000, max_buffer_size=64 * 1024 * 1024
            )
        except gen.TimeoutError:
            return ReplyTimeoutError(address=address, after_us=wait_us)
        except (OSError, iostream.StreamClosedError, ValueError, OverflowError):
            return ConnectError(address=address)  # unreachable, or an invalid address
        if stream.closed():  # the peer closed it before this task resumed
            return ConnectError(address=address)
        if lost_after_us:
            set_loss_timeout(sock=stream.socket, timeout_ms=lost_after_us // 1000)
        return LiveStream(stream=stream, address=address)

    async def listen(self, *, address: str, on_stream: Callable, lost_after_us: int = 0) -> Any:
        """Listen for connections; returns `AddressInUseError` if the address cannot be bound."""
        host, port = split_address(address=address)
        server = _StreamServer(on_stream=on_stream)
        try:
            sockets = netutil.bind_sockets(port, host)
        except OSError as error:
            return AddressInUseError(address=address, why=str(error))
        if lost_after_us:
            for sock in sockets:
                set_loss_timeout(sock=sock, timeout_ms=lost_after_us // 1000)
        server.add_sockets(sockets)
        return _ListenerHandle(close=server.stop)

    async def bind_datagrams(self, *, address: str, on_datagram: Callable) -> Any:
        """Bind a UDP socket; returns `AddressInUseError` if the address cannot be bound."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind(split_address(address=address))
        except OSError as error:
            sock.close()
            return AddressInUseError(address=address, why=str(error))
        return LiveDatagrams(sock=sock, on_datagram=on_datagram)

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """Send an HTTP call; see `HttpClient.fetch`."""
        return await self._client.fetch(call=call)

    async def serve_http(
        self,
        *,
        address: str,
        on_call: Callable,
        body_limit: int,
        limits: Callable[[], HttpLimits] | None = None,
        cancels_on_disconnect: bool = False,
    ) -> HttpServer | KelpstageError:
        """Serve until `close()`; `limits` is called for each request and overrides `body_limit`."""
        fixed = HttpLimits(body_bytes=body_limit)
        server = HttpServer(
            on_call=on_call,
            limits=limits or (lambda: fixed),
            cancels_on_disconnect=cancels_on_disconnect,
        )
        return await server.open(address=address) or server


class LiveDisk:
    """Files below one data folder; all operations run on one thread outside the event loop.

    >>> import tempfile, asyncio
    >>> with tempfile.TemporaryDirectory() as folder:
    ...     disk = LiveDisk(root=folder)
    ...     asyncio.run(disk.append(path="a", data=b"xy", at=0)) is None
    ...     asyncio.run(disk.read(path="a"))
    True
    b'xy'
    """

    def __init__(self, *, root: str) -> None:
        self._root = root
        self._thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")

    async def _run_in_thread(self, *, op: str, path: str, work: Callable) -> Any:
        def run() -> Any:
            try:
                return work(os.path.join(self._root, path))
            except OSError as error:
                name = errno.errorcode.get(error.errno or 0, "EIO")
                return DiskError(path=path, op=op, why=name)

        return await asyncio.get_running_loop().run_in_executor(self._thread, run)

    async def list_names(self, *, folder: str) -> list[str] | KelpstageError:
        """The sorted names in a folder, which is created if it does not exist."""

        def work(path: str) -> list[str]:
            os.makedirs(path, exist_ok=True)
            return sorted(os.listdir(path))

        return await self._run_in_thread(op="names", path=folder, work=work)

    async def read(self, *, path: str) -> bytes | None | KelpstageError:
        """The content of a file; `None` if it does not exist."""

        def work(full: str) -> bytes | None:
            if not os.path.exists(full):
                return None
            with open(full, "rb") as file:
                return file.read()

        return await self._run_in_thread(op="read", path=path, work=work)

    async def append(self, *, path: str, data: bytes, at: int) -> KelpstageError | None:
        """Write `data` at offset `at` and truncate the file after it."""

        def work(full: str) -> None:
            with open(full, "r+b" if os.path.exists(full) else "w+b") as file:
                # Write before truncating: a torn write of the same bytes then leaves the
                # synced content intact.
                file.seek(at)
                file.write(data)
                file.truncate()

        return await self._run_in_thread(op="append", path=path, work=work)

    async def sync(self, *, path: str) -> KelpstageError | None:
        """Make the content of a file durable."""

        def work(full: str) -> None:
            handle = os.open(full, os.O_RDWR)
            try:
                os.fsync(handle)
            finally:
                os.close(handle)

        return await self._run_in_thread(op="sync", path=path, work=work)

    async def sync_folder(self, *, folder: str) -> KelpstageError | None:
        """Make the entries of a folder durable."""

        def work(full: str) -> None:
            handle = os.open(full, os.O_RDONLY)
            try:
                os.fsync(handle)
            finally:
                os.close(handle)

        return await self._run_in_thread(op="sync_folder", path=folder, work=work)

    async def write(self, *, path: str, data: bytes) -> KelpstageError | None:
        """Replace the content of a file; it is not synced."""

        def work(full: str) -> None:
            with open(full, "wb") as file:
                file.write(data)

        return await self._run_in_thread(op="write", path=path, work=work)

    async def rename(self, *, path: str, to: str) -> KelpstageError | None:
        """Rename a file; replaces an existing file of the new name."""

        def work(full: str) -> None:
            os.replace(full, os.path.join(self._root, to))

        return await self._run_in_thread(op="rename", path=path, work=work)

    async def delete(self, *, path: str) -> KelpstageError | None:
        """Delete a file."""
        return await self._run_in_thread(op="delete", path=path, work=os.unlink)


def live_ports(*, data_folder: str | None) -> Ports:
    """The ports of a real process.

    >>> live_ports(data_folder=None).rand.random() < 1
    True
    """
    return Ports(
        clock=BootClock(),
        net=LiveNet(),
        disk=LiveDisk(root=data_folder or "."),
        rand=random.SystemRandom(),
        spawn=asyncio.ensure_future,
    )
