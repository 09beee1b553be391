"""Interfaces to the environment of a daemon: clock, network, disk, randomness, tasks.

A daemon receives a `Ports` and uses nothing else to reach its environment, so that the
simulator can replace it.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable, Protocol

from kelpstage.common.errors.base import KelpstageError


class Owner(enum.IntEnum):
    """The call that a received reply belongs to.

    A reply with `OTHERS` names another call and is skipped. A reply with `UNNAMED` names no call
    and may belong to any: it ends the wait and is not to be trusted. After either, the connection
    is not reused.

    >>> bool(Owner.OTHERS), bool(Owner.UNNAMED)
    (False, True)
    """

    OTHERS = 0
    OURS = 1
    UNNAMED = 2


@dataclass(frozen=True, kw_only=True)
class HttpCall:
    """One HTTP request, sent by the client or received by the server.

    In a received request, `url` is the request target as it was sent, the names in `headers` are
    lower case, `raw_headers` has the headers in the order and case of the sender, and `queued_us`
    is the time in the queue behind earlier requests of its connection.

    In a sent request, `connection_limit` 0 means a connection for this call alone; otherwise it
    is the maximum number of pooled connections to the address. `reply_owner` says which call a
    reply belongs to; without it every reply is accepted as this call's.

    >>> HttpCall(method="GET", url="http://127.0.0.1:1/ready").body
    b''
    """

    method: str
    url: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    wait_us: int = 1_000_000
    connection_limit: int = 0
    reply_owner: Callable[[HttpReply], Owner] | None = None
    raw_headers: tuple[tuple[str, str], ...] = ()
    queued_us: int = 0


@dataclass(frozen=True, kw_only=True)
class HttpReply:
    """One HTTP reply; header names are lower case.

    `exchange_us` is the time from the sending of the request to the complete reply, without the
    time to open a connection or to wait for one; 0 if it was not measured.

    >>> HttpReply(status=200).headers
    {}
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    exchange_us: int = 0


@dataclass(frozen=True, kw_only=True)
class HttpLimits:
    """Limits that a server enforces on its clients.

    They are the sizes of a request's head and body, the time (`header_us`) within which a head
    must be complete and a body must make progress, and the idle time of a connection.

    >>> HttpLimits().header_bytes
    32768
    """

    header_bytes: int = 32 * 1024
    body_bytes: int = 1024 * 1024
    header_us: int = 10_000_000
    idle_us: int = 120_000_000


class Clock(Protocol):
    """Time in whole microseconds, timers and timeouts."""

    def now_us(self) -> int:
        """Monotonic time, which also advances while the machine is suspended."""

    def wall_us(self) -> int:
        """Time since the Unix epoch; it may be adjusted forwards or backwards."""

    async def sleep(self, *, us: int) -> None:
        """Wait for `us` microseconds."""

    def call_later(self, *, us: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `us` microseconds; it cannot be cancelled."""

    async def within(self, awaitable: Awaitable[Any], *, us: int) -> Any:
        """The awaitable's result, or `None` after a timeout of `us` microseconds.

        On timeout a coroutine is cancelled; a future or task belongs to its creator and continues.
        """


class Stream(Protocol):
    """A connection as a byte stream."""

    async def read(self, *, size: int) -> bytes | KelpstageError:
        """Read exactly `size` bytes; returns the error if the connection ends first."""

    def write(self, *, data: bytes) -> None:
        """Send data without waiting; does nothing on a closed stream."""

    def backlog(self) -> int:
        """The number of bytes that are written and not sent yet."""

    def close(self) -> None:
        """Close the connection."""


class Datagrams(Protocol):
    """A UDP socket."""

    def send(self, *, address: str, data: bytes) -> None:
        """Send one datagram; it may be lost."""

    def close(self) -> None:
        """Close the socket."""


class Listener(Protocol):
    """A listening socket or server."""

    def close(self) -> None:
        """Stop listening."""


class Net(Protocol):
    """TCP streams, UDP sockets and HTTP.

    A connection whose written data stays unacknowledged for `lost_after_us` is lost: its reader
    receives an error and data in flight is dropped. Without a limit (0), TCP retries for many
    minutes, and after a network partition or a power failure the next retransmission may be as
    far away as the outage was long.
    """

    async def connect(
        self, *, address: str, wait_us: int, lost_after_us: int = 0
    ) -> Stream | KelpstageError:
        """Open a connection within `wait_us` microseconds."""

    async def listen(
        self, *, address: str, on_stream: Callable[..., Any], lost_after_us: int = 0
    ) -> Listener | KelpstageError:
        """Listen for connections; `on_stream` is called with the stream and source of each."""

    async def bind_datagrams(
        self, *, address: str, on_datagram: Callable
    ) -> Datagrams | KelpstageError:
        """Bind a UDP socket; `on_datagram` is called with the bytes and source of each datagram."""

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """Send an HTTP call and wait for its reply."""

    async def serve_http(
        self,
        *,
        address: str,
        on_call: Callable[..., Any],
        body_limit: int,
        limits: Callable[[], HttpLimits] | None = None,
        cancels_on_disconnect: bool = False,
    ) -> Listener | KelpstageError:
        """Serve HTTP until the listener is closed; `on_call` is called with each request.

        With `cancels_on_disconnect`, a client that shuts down its write side or resets the
        connection has disconnected, and the handler of its request is cancelled. Without it, a
        client may shut down its write side and still receive its reply, and a handler always runs
        to its end.
        """


class Disk(Protocol):
    """Files below a data folder.

    Paths are relative; a method returns its error and raises nothing.
    """

    async def list_names(self, *, folder: str) -> list[str] | KelpstageError:
        """The sorted names in a folder, which is created if it does not exist."""

    async def read(self, *, path: str) -> bytes | None | KelpstageError:
        """The content of a file; `None` if it does not exist."""

    async def append(self, *, path: str, data: bytes, at: int) -> KelpstageError | None:
        """Write `data` at offset `at` and truncate the file after it."""

    async def sync(self, *, path: str) -> KelpstageError | None:
        """Make the content of a file durable."""

    async def sync_folder(self, *, folder: str) -> KelpstageError | None:
        """Make the entries of a folder durable."""

    async def write(self, *, path: str, data: bytes) -> KelpstageError | None:
        """Replace the content of a file; it is not synced."""

    async def rename(self, *, path: str, to: str) -> KelpstageError | None:
        """Rename a file; replaces an existing file of the new name."""

    async def delete(self, *, path: str) -> KelpstageError | None:
        """Delete a file."""


@dataclass(kw_only=True)
class Ports:
    """The environment of one daemon."""

    clock: Clock
    net: Net
    disk: Disk
    rand: random.Random
    spawn: Callable[[Awaitable[Any]], Any]
    failpoint: Callable[[str], None] = lambda name: None
    on_critical_failure: Callable[[BaseException], None] = lambda error: None

    def spawn_critical(self, work: Awaitable[Any]) -> Any:
        """Start a task that the daemon cannot run without: if it fails, the process exits."""
        task = self.spawn(work)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: Any) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.on_critical_failure(task.exception())
