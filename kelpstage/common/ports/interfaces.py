"""What a daemon asks of the world: clock, network, disk, randomness, tasks.

The daemons are given a `Ports` and reach the outside through nothing else, so
that the simulator can give them a world of its own.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable, Protocol

from kelpstage.common.errors.base import KelpstageError


class Owner(enum.IntEnum):
    """Whose a reply is that came where a call's reply is due.

    `OTHERS` names another call: it is passed over. `UNNAMED` names none, so it may be
    anybody's: it ends the wait, as a reply that is not to be trusted. After either the
    connection is not used again.

    >>> bool(Owner.OTHERS), bool(Owner.UNNAMED)
    (False, True)
    """

    OTHERS = 0
    OURS = 1
    UNNAMED = 2


@dataclass(frozen=True, kw_only=True)
class HttpCall:
    """One HTTP request, as sent by us or as taken in by our server.

    Taken in, `url` is the request target as it was sent, the names in `headers` are
    lower case, `raw_headers` has them in the order and case of the sender, and
    `waited_us` is how long it has waited for its turn behind others of its connection.

    Sent by us: with `connection_limit` 0 the call has a connection of its own; above that it
    goes over a kept one, of which there are at most so many to the address. `owner_of`
    tells whose a reply is; without it every reply is taken as the call's own.

    >>> HttpCall(method="GET", url="http://127.0.0.1:1/ready").body
    b''
    """

    method: str
    url: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    wait_us: int = 1_000_000
    connection_limit: int = 0
    owner_of: Callable[[HttpReply], Owner] | None = None
    raw_headers: tuple[tuple[str, str], ...] = ()
    waited_us: int = 0


@dataclass(frozen=True, kw_only=True)
class HttpReply:
    """One HTTP reply; header names are lower case.

    >>> HttpReply(status=200).headers
    {}
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class HttpLimits:
    """What a server takes from its callers: bytes of a request's head and body, the
    time in which a head must be whole and within which a body must go on, and how long
    a connection may be without a request.

    >>> HttpLimits().header_bytes
    32768
    """

    header_bytes: int = 32 * 1024
    body_bytes: int = 1024 * 1024
    header_us: int = 10_000_000
    idle_us: int = 120_000_000


class Clock(Protocol):
    """Time in whole microseconds, and waiting."""

    def now_us(self) -> int:
        """A time that only grows, also while the machine sleeps."""

    def wall_us(self) -> int:
        """Time since the Unix epoch; it may jump."""

    async def sleep(self, *, us: int) -> None:
        """Wait for so long."""

    def later(self, *, us: int, callback: Callable[[], None]) -> None:
        """Call `callback` after so long; it cannot be cancelled."""

    async def within(self, awaitable: Awaitable[Any], *, us: int) -> Any:
        """The awaitable's result, or `None` when the time is over.

        A coroutine belongs to this call and is cancelled when its time is over. A future or
        task belongs to whoever made it and goes on.
        """


class Stream(Protocol):
    """One connection as a stream of bytes."""

    async def read(self, *, size: int) -> bytes | KelpstageError:
        """Exactly `size` bytes, or the error that ended the connection."""

    def write(self, *, data: bytes) -> None:
        """Send, without waiting; on a closed stream nothing happens."""

    def backlog(self) -> int:
        """Bytes that were written and have not left yet."""

    def close(self) -> None:
        """End it."""


class Datagrams(Protocol):
    """A socket for datagrams."""

    def send(self, *, address: str, data: bytes) -> None:
        """Send one datagram; it may be lost."""

    def close(self) -> None:
        """End it."""


class Listener(Protocol):
    """Something that listens until it is closed."""

    def close(self) -> None:
        """End it."""


class Net(Protocol):
    """A connection over which what was written goes unacknowledged for `lost_after_us`
    is lost: its reader hears so, and what was under way is dropped. Without that (0),
    TCP goes on for many minutes, and after a cut or a loss of power the next
    retransmission may be as far away as the cut was long."""

    async def connect(
        self, *, address: str, wait_us: int, lost_after_us: int = 0
    ) -> Stream | KelpstageError:
        """Connect within `wait_us`."""

    async def listen(
        self, *, address: str, on_stream: Callable[..., Any], lost_after_us: int = 0
    ) -> Listener | KelpstageError:
        """Listen for connections; `on_stream` gets each one's stream and source."""

    async def datagrams(self, *, address: str, on_datagram: Callable) -> Datagrams | KelpstageError:
        """Bind a socket for datagrams; `on_datagram` gets each one's bytes and source."""

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """Send an HTTP call and wait for its reply."""

    async def serve_http(
        self,
        *,
        address: str,
        on_call: Callable[..., Any],
        body_limit: int,
        limits: Callable[[], HttpLimits] | None = None,
        is_cancelling: bool = False,
    ) -> Listener | KelpstageError:
        """Serve HTTP until the listener is closed; `on_call` gets each request.

        With `is_cancelling`, a caller that ends its side or resets the connection has left,
        and the handler of its request is cancelled. Without it, a caller may end its side
        and still wait, and a handler always runs to its end.
        """


class Disk(Protocol):
    """Every method returns its outcome and raises nothing; paths are relative."""

    async def names(self, *, folder: str) -> list[str] | KelpstageError:
        """The sorted names in a folder, which is made if it is missing."""

    async def read(self, *, path: str) -> bytes | None | KelpstageError:
        """A file's bytes; `None` if there is no such file."""

    async def append(self, *, path: str, data: bytes, at: int) -> KelpstageError | None:
        """Write from offset `at` on; the file ends behind what is written."""

    async def sync(self, *, path: str) -> KelpstageError | None:
        """Make a file's bytes durable."""

    async def sync_folder(self, *, folder: str) -> KelpstageError | None:
        """Make a folder's entries durable."""

    async def write(self, *, path: str, data: bytes) -> KelpstageError | None:
        """Write a file anew; it is not synced."""

    async def rename(self, *, path: str, to: str) -> KelpstageError | None:
        """Rename a file, replacing what has the new name."""

    async def delete(self, *, path: str) -> KelpstageError | None:
        """Delete a file."""


@dataclass(kw_only=True)
class Ports:
    """The world as one daemon sees it."""

    clock: Clock
    net: Net
    disk: Disk
    rand: random.Random
    spawn: Callable[[Awaitable[Any]], Any]
    failpoint: Callable[[str], None] = lambda name: None
    on_broken: Callable[[BaseException], None] = lambda error: None

    def keep(self, work: Awaitable[Any]) -> Any:
        """Start a task without which the daemon is of no use: if it breaks, the
        process ends rather than go on as if it were whole."""
        task = self.spawn(work)
        task.add_done_callback(self._kept_ended)
        return task

    def _kept_ended(self, task: Any) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.on_broken(task.exception())
