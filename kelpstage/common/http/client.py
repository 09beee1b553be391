"""HTTP/1.1 out: one request at a time on each connection, kept ones by address.

Nothing is ever sent a second time from here, and every outcome tells whether
something of the request may have reached the other side.
"""

from __future__ import annotations

import asyncio
import enum
import errno
import socket
from collections import deque
from typing import Any

import httptools

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.http.connection import BUFFER, RETRY, Connection
from kelpstage.common.http.deadlines import Deadlines
from kelpstage.common.http.headers import OWN_HEADERS, head_bytes, joined, kept_for_s
from kelpstage.common.http.socket_options import family_of, tune
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Owner
from kelpstage.common.transport.address import split_address

REPLY_BYTES = 16 * 1024 * 1024
HEAD_BYTES = 256 * 1024
IDLE_S = 20.0
SWEEP_S = 1.0
NO_BODY = frozenset((204, 304))
HERE = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.EADDRNOTAVAIL,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EACCES,
        errno.EPERM,
    )
)


def split_url(*, url: str) -> tuple[str, str]:
    """The address and the request target of a URL, both untouched.

    >>> split_url(url="http://127.0.0.1:80/a?b=http://c"), split_url(url="http://127.0.0.1:80")
    (('127.0.0.1:80', '/a?b=http://c'), ('127.0.0.1:80', '/'))
    """
    rest = url.removeprefix("http://")
    address, slash, path = rest.partition("/")
    return address, slash + path or "/"


def request_bytes(*, call: HttpCall, address: str, target: str) -> bytes | None:
    """The request as it goes out, or None if it cannot be one.

    >>> call = HttpCall(method="PUT", url="http://127.0.0.1:1/a", headers={"A": "b"}, body=b"c")
    >>> request_bytes(call=call, address="127.0.0.1:1", target="/a").split(b"\\r\\n")
    [b'PUT /a HTTP/1.1', b'Host: 127.0.0.1:1', b'A: b', b'Connection: close', \
b'Content-Length: 1', b'', b'c']
    >>> request_bytes(call=call, address="127.0.0.1:1", target="/a b")
    """
    if " " in target or "\t" in target or " " in call.method or not call.method:
        return None
    lines = [f"{call.method} {target} HTTP/1.1", ""]
    host = address
    for name, value in call.headers.items():
        low = name.lower()
        if low == "host":
            host = value
        elif low not in OWN_HEADERS:
            lines.append(f"{name}: {value}")
    lines[1] = f"Host: {host}"
    if call.line_limit <= 0:
        lines.append("Connection: close")
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(call.body)}")
    head = head_bytes(lines=lines)
    return None if head is None else head + call.body


class _Stop(Exception):
    """Ends the parser's run from within one of its callbacks."""


class IllegalTransition(Exception):
    """A connection was used in a way that its state does not allow: a fault of ours."""


class State(enum.IntEnum):
    """Where a connection stands in the use that is made of it.

    `docs/notes/control/calls.md` has the table of transitions with their events.
    """

    LEASED = 0  # given to a call; nothing of it is with the kernel yet
    SENDING = 1  # the kernel has some of the request, or may take it at any moment
    SENT = 2  # the kernel has all of it
    RECEIVING = 3  # some bytes of an answer have come
    IDLE = 4  # the answer was whole and nothing is left over: it may be leased again
    CLOSED = 5  # for ever


LEASED, SENDING, SENT, RECEIVING, IDLE, CLOSED = State
MAY_FOLLOW: dict[State, frozenset[State]] = {
    LEASED: frozenset((SENDING, SENT, IDLE, CLOSED)),
    SENDING: frozenset((SENT, RECEIVING, CLOSED)),
    SENT: frozenset((RECEIVING, CLOSED)),
    RECEIVING: frozenset((IDLE, CLOSED)),
    IDLE: frozenset((LEASED, CLOSED)),
    CLOSED: frozenset(),
}


class ClientConnection:
    """One connection and the one call that it may be busy with.

    Invariants: a call has it alone from lease to outcome; every outcome closes it unless
    the answer was whole, named the call, came alone, and nothing was left unsent.
    """

    def __init__(self, *, client: "HttpClient", address: str, sock: socket.socket) -> None:
        self.state = LEASED
        self._client = client
        self._address = address
        self._socket: Connection | None = Connection(sock=sock, owner=self)
        self._parser: Any = httptools.HttpResponseParser(self)
        self.pool: Pool | None = None
        self.use_until = 0.0
        self._future: asyncio.Future | None = None
        self._call: HttpCall | None = None
        self._replies: list[HttpReply] = []
        self._is_inside = False  # a message has begun and is not whole
        self._pairs: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._total = 0
        self._status = 0
        self._headers: dict[str, str] = {}
        self._is_kept = False
        self._is_fit = True
        self._why = ""
        self._keep_s = IDLE_S

    def _become(self, state: State) -> None:
        if state not in MAY_FOLLOW[self.state]:
            raise IllegalTransition(f"{self.state.name} to {state.name}")
        self.state = state

    # --- one exchange ---------------------------------------------------------------

    async def exchange(
        self, *, call: HttpCall, data: bytes, deadline: float
    ) -> HttpReply | KelpstageError:
        """Send a request and wait for its reply. Cancelled, it closes the connection."""
        if self._socket is None or not self._socket.is_open():
            self.close()
            return ConnectionLostError(address=self._address, why="closed", was_sent=False)
        future = self._future = asyncio.get_running_loop().create_future()
        self._call = call
        self._size = 0
        self._why = ""
        self._is_inside = False
        self._replies = []
        try:
            sent = self._socket.sock.send(data)
        except RETRY:
            sent = 0
        except OSError as error:  # the kernel took nothing of it
            self._future = self._call = None
            self.close()
            return ConnectionLostError(address=self._address, why=_why(error=error), was_sent=False)
        self._total = len(data)
        if sent == self._total:
            self._become(SENT)
        else:
            self._become(SENDING)
            self._socket.write(data[sent:])
        entry = self._client.deadlines.at(when=deadline, callback=self._time_over)
        try:
            return await future
        except asyncio.CancelledError:
            if self._future is future:  # else it has its outcome, and may serve another call
                self._future = self._call = None
                self.close()
            raise
        finally:
            self._client.deadlines.cancel(entry=entry)

    def _time_over(self) -> None:
        if self._call is None:
            return
        was_sent = self._socket.unsent() < self._total
        self._finish(
            outcome=ReplyTimeoutError(
                address=self._address, after_us=self._call.wait_us, was_sent=was_sent
            ),
            is_fit=False,
        )

    def _finish(self, *, outcome: HttpReply | KelpstageError, is_fit: bool) -> None:
        future, self._future, self._call = self._future, None, None
        self._replies = []
        self._pairs = []
        self._body = []
        if future is not None and not future.done():
            future.set_result(outcome)
        if not is_fit:
            self.close()
            return
        self.use_until = asyncio.get_running_loop().time() + self._keep_s
        self.hand_back()

    def _lose(self, *, why: str) -> None:
        self._finish(outcome=ConnectionLostError(address=self._address, why=why), is_fit=False)

    # --- leases ------------------------------------------------------------------------

    def lease(self) -> bool:
        """Take it for a call, if it can still be used: since the last reply nothing has
        come, neither bytes nor an end. If not, the caller is to close it."""
        if self._socket is None or not self._socket.is_open():
            return False
        try:
            self._socket.sock.recv(1, socket.MSG_PEEK)
        except RETRY:
            self._become(LEASED)
            return True
        except OSError:
            return False
        return False

    def hand_back(self) -> None:
        """End a lease whose call left nothing behind, or never sent anything."""
        if self.pool is None:
            self.close()
            return
        self._become(IDLE)
        self.pool.release(connection=self)

    # --- the socket --------------------------------------------------------------------

    def close(self) -> None:
        """End the connection, at once and without sending what is left."""
        if self.state != CLOSED:
            self._become(CLOSED)
        if self._socket is not None:
            self._socket.abort()
        self._leave()

    def _leave(self) -> None:
        pool, self.pool = self.pool, None
        if pool is not None:
            pool.forget(connection=self)

    def lost(self, error: OSError | None) -> None:
        if self._future is not None:
            self._lose(why="reply cut off" if self._is_inside else _why(error=error))
        if self.state != CLOSED:
            self._become(CLOSED)
        self._leave()
        self._socket = self._parser = None

    def eof(self) -> bool:
        return False

    def is_drained(self) -> None:
        if self.state == SENDING:
            self._become(SENT)

    def take(self, size: int) -> None:
        if self._future is None or self._future.done():
            self.close()  # bytes that belong to no request
            return
        if self.state != RECEIVING:
            self._become(RECEIVING)
        self._size += size
        is_broken = False
        try:
            self._parser.feed_data(BUFFER[:size])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            is_broken = True
        if self._replies:
            self._settle(is_broken=is_broken)
        elif is_broken:
            self._lose(why=self._why or "no answer in the protocol")
        elif self._size > REPLY_BYTES or (
            self._is_inside and not self._status and self._size > HEAD_BYTES
        ):
            self._lose(why="oversized reply")

    def _settle(self, *, is_broken: bool) -> None:
        """Take the reply that answers the call. Others are passed over, and a connection
        that carried one is not used again."""
        owner_of = self._call.owner_of
        for reply in self._replies:
            owner = Owner.OURS if owner_of is None else owner_of(reply)
            if owner == Owner.OTHERS:
                continue
            is_alone = len(self._replies) == 1 and not self._is_inside and not is_broken
            is_fit = is_alone and owner == Owner.OURS and not self._socket.unsent()
            self._finish(outcome=reply, is_fit=is_fit and self._is_kept and self._is_fit)
            return
        self._is_fit = False
        self._replies = []
        if is_broken:
            self._lose(why=self._why or "no answer in the protocol")

    # --- the parser's callbacks -----------------------------------------------------------

    def on_message_begin(self) -> None:
        self._is_inside = True
        self._status = 0
        self._pairs = []
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._status:  # what follows the last chunk is no header of ours
            self._pairs.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        parser = self._parser
        status = self._status = parser.get_status_code()
        if status < 200:
            return
        if parser.get_http_version() not in ("1.1", "1.0"):
            raise _Stop
        headers = self._headers = joined(pairs=self._pairs)
        self._is_kept = parser.should_keep_alive()
        named = headers.get("keep-alive")
        self._keep_s = (
            kept_for_s(keep_alive=named, default_s=IDLE_S) if named is not None else IDLE_S
        )
        if self._call.method == "HEAD":
            self._is_kept = False  # the parser would wait for a body
            self._keep_reply()
            raise _Stop
        coding = headers.get("transfer-encoding")
        if coding is None:
            if "content-length" in headers or status in NO_BODY:
                return
            self._why = "a reply without a length"
            raise _Stop
        if coding.lower() != "chunked":
            raise _Stop

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._is_inside = False
        if self._status >= 200:
            self._keep_reply()

    def _keep_reply(self) -> None:
        body = self._body
        self._replies.append(
            HttpReply(
                status=self._status,
                headers=self._headers,
                body=body[0] if len(body) == 1 else b"".join(body),
            )
        )


class Pool:
    """The kept connections to one address, and who waits for one."""

    def __init__(self, *, client: "HttpClient", address: str) -> None:
        self._client = client
        self._address = address
        self.limit = 0
        self.count = 0  # connections that are open, busy or being opened
        self.idle: list[ClientConnection] = []
        self.waiting: deque[asyncio.Future] = deque()

    def lease_idle(self) -> ClientConnection | None:
        """The connection used last that can still be used; those that can't are closed."""
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle.pop()
            if connection.use_until > now and connection.lease():
                return connection
            connection.close()
        return None

    def release(self, *, connection: ClientConnection) -> None:
        """An idle connection goes to the first who waits, or is kept."""
        if self.count > self.limit:
            connection.close()
            return
        if not self._pass_on(result=connection):
            self.idle.append(connection)
            self._client.note_idle()

    def forget(self, *, connection: ClientConnection) -> None:
        """A connection was closed."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.give_up_place()

    def give_up_place(self) -> None:
        """A place is free: the first who waits may open a connection in it."""
        if self.count <= self.limit and self._pass_on(result=None):
            return
        self.count -= 1
        if not self.count and not self.waiting:
            self._client.drop_pool(address=self._address, pool=self)

    def _pass_on(self, *, result: ClientConnection | None) -> bool:
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(result)
                return True
        return False


class HttpClient:
    """Sends calls, each over a connection of its own or over kept ones."""

    def __init__(self) -> None:
        self.deadlines = Deadlines()
        self._pools: dict[str, Pool] = {}
        self._sweep: asyncio.TimerHandle | None = None

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """The reply, or why there is none: `ConnectError` (nothing was sent), `ConnectionLostError`
        and `ReplyTimeoutError` (`was_sent` tells). Cancelled, it closes its connection."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + call.wait_us / 1_000_000
        address, target = split_url(url=call.url)
        data = request_bytes(call=call, address=address, target=target)
        if data is None:
            return ConnectionLostError(
                address=address, why="no request in the protocol", was_sent=False
            )
        if call.line_limit > 0:
            pool = self._pools.get(address)
            connection = pool.lease_idle() if pool is not None else None
            if connection is None:
                connection = await self._lease_new(call=call, address=address, deadline=deadline)
        else:
            connection = await self._open(call=call, address=address, deadline=deadline)
        if isinstance(connection, KelpstageError):
            return connection
        if loop.time() >= deadline:  # the process was frozen or busy while it was opened
            connection.hand_back()
            return ReplyTimeoutError(address=address, after_us=call.wait_us, was_sent=False)
        return await connection.exchange(call=call, data=data, deadline=deadline)

    def close(self) -> None:
        """End every idle connection."""
        for pool in list(self._pools.values()):
            for connection in list(pool.idle):
                connection.close()
        if self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None

    def connections_to(self, *, address: str) -> tuple[int, int]:
        """How many kept connections there are to an address, and how many of them idle.

        >>> HttpClient().connections_to(address="127.0.0.1:1")
        (0, 0)
        """
        pool = self._pools.get(address)
        return (pool.count, len(pool.idle)) if pool else (0, 0)

    async def _lease_new(
        self, *, call: HttpCall, address: str, deadline: float
    ) -> ClientConnection | KelpstageError:
        """A connection to keep, in a place of the pool that is free or gets free in time."""
        while True:
            pool = self._pools.get(address)
            if pool is None:
                pool = self._pools[address] = Pool(client=self, address=address)
            pool.limit = call.line_limit
            if pool.count < pool.limit:
                pool.count += 1
                break
            found = await self._wait(pool=pool, call=call, address=address, deadline=deadline)
            if isinstance(found, KelpstageError):
                return found
            if found is None:
                break
            if found.lease():
                return found
            if found.pool is not None:
                found.pool = None  # its place stays with this call
                found.close()
                break
        return await self._open_in(pool=pool, call=call, address=address, deadline=deadline)

    async def _open_in(
        self, *, pool: Pool, call: HttpCall, address: str, deadline: float
    ) -> ClientConnection | KelpstageError:
        try:
            connection = await self._open(call=call, address=address, deadline=deadline)
        except BaseException:
            pool.give_up_place()
            raise
        if isinstance(connection, KelpstageError):
            pool.give_up_place()
            return connection
        connection.pool = pool
        return connection

    async def _wait(
        self, *, pool: Pool, call: HttpCall, address: str, deadline: float
    ) -> ClientConnection | KelpstageError | None:
        """Wait in order for a connection, or for a place to open one (None)."""
        future = asyncio.get_running_loop().create_future()
        pool.waiting.append(future)

        def time_over() -> None:
            if not future.done():
                future.set_result(
                    ReplyTimeoutError(address=address, after_us=call.wait_us, was_sent=False)
                )

        entry = self.deadlines.at(when=deadline, callback=time_over)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():  # it came at the same moment
                found = future.result()
                if isinstance(found, ClientConnection):
                    pool.release(connection=found)
                elif found is None:
                    pool.give_up_place()
            raise
        finally:
            self.deadlines.cancel(entry=entry)

    async def _open(
        self, *, call: HttpCall, address: str, deadline: float
    ) -> ClientConnection | KelpstageError:
        try:
            host, port = split_address(address=address)
            sock = socket.socket(family_of(host=host), socket.SOCK_STREAM)
        except (OSError, ValueError) as error:
            return ConnectionLostError(address=address, why=_why(error=error), was_sent=False)
        try:
            sock.setblocking(False)
            tune(sock=sock, is_kept=call.line_limit > 0)
            number = sock.connect_ex((host, port))
            if number == errno.EINPROGRESS:
                if not await self._is_writable(sock=sock, deadline=deadline):
                    sock.close()
                    return ReplyTimeoutError(address=address, after_us=call.wait_us, was_sent=False)
                number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if number:
                sock.close()
                return _not_open(number=number, address=address, wait_us=call.wait_us)
            return ClientConnection(client=self, address=address, sock=sock)
        except (OSError, ValueError, OverflowError) as error:
            sock.close()
            return ConnectionLostError(address=address, why=_why(error=error), was_sent=False)
        except BaseException:
            sock.close()
            raise

    async def _is_writable(self, *, sock: socket.socket, deadline: float) -> bool:
        loop = asyncio.get_running_loop()
        future = loop.create_future()

        def note(is_open: bool) -> None:
            if not future.done():
                future.set_result(is_open)

        loop.add_writer(sock.fileno(), note, True)
        entry = self.deadlines.at(when=deadline, callback=lambda: note(False))
        try:
            return await future
        finally:
            loop.remove_writer(sock.fileno())
            self.deadlines.cancel(entry=entry)

    # --- idle connections ----------------------------------------------------------------------

    def note_idle(self) -> None:
        if self._sweep is None:
            self._sweep = asyncio.get_running_loop().call_later(SWEEP_S, self._drop_stale)

    def drop_pool(self, *, address: str, pool: Pool) -> None:
        if self._pools.get(address) is pool:
            del self._pools[address]

    def _drop_stale(self) -> None:
        """Ends idle connections whose time is over; ticks only while there are idle ones."""
        self._sweep = None
        loop = asyncio.get_running_loop()
        now = loop.time()
        for pool in list(self._pools.values()):
            for connection in list(pool.idle):
                if connection.use_until <= now:
                    connection.close()
        ends = [one.use_until for pool in self._pools.values() for one in pool.idle]
        if ends:
            self._sweep = loop.call_at(max(now + SWEEP_S, min(ends)), self._drop_stale)


def _why(*, error: BaseException | None) -> str:
    """
    >>> _why(error=None), _why(error=ConnectionResetError())
    ('closed', 'ConnectionResetError')
    """
    if error is None:
        return "closed"
    return getattr(error, "strerror", None) or type(error).__name__


def _not_open(*, number: int, address: str, wait_us: int) -> KelpstageError:
    """What a failed connect comes to: nothing was sent in any case.

    >>> _not_open(number=errno.ECONNREFUSED, address="a", wait_us=1).kind
    'connect_refused'
    >>> _not_open(number=errno.EMFILE, address="a", wait_us=1).was_sent
    False
    """
    if number in HERE:
        return ConnectionLostError(
            address=address, why=errno.errorcode.get(number, ""), was_sent=False
        )
    if number == errno.ETIMEDOUT:
        return ReplyTimeoutError(address=address, after_us=wait_us, was_sent=False)
    return ConnectError(address=address)
