"""HTTP/1.1 in: connections that are kept, requests that are answered in their order.

What is no request in the protocol is refused and its connection closed before
anything of it is handed on, so that nothing can hide behind it.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import deque
from dataclasses import replace
from typing import Any, Awaitable, Callable

import httptools

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.requests import (
    BadRequestError,
    BodyTooLargeError,
    HeadersTooLargeError,
    InternalError,
    RequestReadTimeoutError,
)
from kelpstage.common.errors.transport import AddressInUseError
from kelpstage.common.http.connection import BUFFER, Connection
from kelpstage.common.http.headers import REASONS, cleaned, head_bytes, joined
from kelpstage.common.http.replies import error_reply
from kelpstage.common.http.socket_options import family_of, tune
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply
from kelpstage.common.transport.address import split_address

BACKLOG = 1024
ACCEPTS = 64  # at most so many in one turn of the loop
FULL = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
FULL_S = 0.1
QUEUE = 16
WAITED_S = 0.001  # a shorter wait for its turn is not told of
BODY_SPANS = 10  # a body may take this many times the span in which it must go on
LINGER_S = 1.0
LINGER_BYTES = 4 * 1024 * 1024
STUCK_S = 10.0
SWEEP_S = 1.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
OWN = frozenset(("content-length", "transfer-encoding", "connection", "keep-alive"))
STATUS_LINES = {
    status: f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}" for status in range(200, 600)
}
IDLE, HEAD, BODY, CLOSING = range(4)

OnCall = Callable[[HttpCall], Awaitable[HttpReply | None]]


def reply_bytes(
    *, reply: HttpReply, is_head: bool = False, connection: str = ""
) -> tuple[bytes, bool]:
    """A reply as it goes out, and whether its connection is to be closed after it.

    >>> reply = HttpReply(status=200, headers={"A": "b"}, body=b"c")
    >>> reply_bytes(reply=reply)
    (b'HTTP/1.1 200 OK\\r\\nA: b\\r\\nContent-Length: 1\\r\\n\\r\\nc', False)
    >>> reply_bytes(reply=reply, is_head=True, connection="close")[0].endswith(b"close\\r\\n\\r\\n")
    True
    """
    body = reply.body
    size = str(len(body))
    is_last = connection == "close"
    lines = [STATUS_LINES.get(reply.status) or f"HTTP/1.1 {reply.status} Unknown"]
    for name, value in reply.headers.items():
        low = name.lower()
        if low not in OWN:
            lines.append(f"{name}: {value}")
        elif low == "connection" and "close" in value.lower():
            is_last, connection = True, "close"
        elif low == "content-length" and (is_head or reply.status == 304):
            size = value
    if reply.status in (204, 304) or is_head:
        body = b""
    if reply.status != 204:
        lines.append(f"Content-Length: {size}")
    if connection:
        lines.append(f"Connection: {connection}")
    head = head_bytes(lines=lines) or head_bytes(lines=cleaned(lines=lines))
    return head + body, is_last


class _Stop(Exception):
    """Ends the parser's run from within one of its callbacks."""


class CallerLine:
    """One caller's connection: what is being read, what waits, what is in work."""

    def __init__(self, *, server: "HttpServer", sock: socket.socket) -> None:
        self._server = server
        self._connection: Connection | None = Connection(sock=sock, owner=self)
        self._parser: Any = httptools.HttpRequestParser(self)
        self._queue: deque = deque()
        self._task: asyncio.Task | None = None
        self.stage = IDLE
        self._since = asyncio.get_running_loop().time()  # when this stage began
        self._moved = 0.0  # when the body last went on
        self._is_deaf = False  # nothing that still comes is read
        self._is_paused = False
        self._is_half = False  # the caller has ended its side
        self._deaf_bytes = 0
        self._stuck = 0
        self._served = 0
        self._refusal: KelpstageError | None = None
        # the request being read
        self._url = b""
        self._pairs: list[tuple[str, str]] = []
        self._head_fed = 0
        self._trailer_size = 0
        self._begun = 0  # requests begun in the data being read
        self._body: list[bytes] = []
        self._body_size = 0
        self._body_limit = 0
        self._headers: dict[str, str] = {}
        self._is_kept = True
        self._is_old = False  # HTTP/1.0
        self._wants_continue = False

    def is_quiet(self) -> bool:
        """No request is being read, waits or is in work."""
        return self.stage == IDLE and self._task is None and not self._queue

    def is_fresh(self) -> bool:
        """Has no request come yet?"""
        return not self._served

    # --- the connection ----------------------------------------------------------------

    def lost(self, error: OSError | None) -> None:
        self._connection = self._parser = None
        self._queue.clear()
        if self._task is None:
            self._server.forget_line(line=self)

    def eof(self) -> bool:
        """A caller may end its side and still wait for what it has asked."""
        self._is_half = True
        return self._task is not None or bool(self._queue)

    def is_drained(self) -> None:
        self._next()

    def take(self, size: int) -> None:
        if self._is_deaf:
            self._deaf_bytes += size
            if self._deaf_bytes > LINGER_BYTES:
                self._connection.abort()
            return
        before, self._begun = self.stage, 0
        if before == BODY:
            self._moved = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(BUFFER[:size])
        except httptools.HttpParserUpgrade:  # no other protocol is spoken here; the request counts
            call, _, is_old, read_s = self._queue.pop()
            self._queue.append((call, False, is_old, read_s))
            self._end_reading()
        except httptools.HttpParserError as error:
            if self._is_kept or self.stage != IDLE:
                why = str(error).partition("(")[0].strip()
                self._refuse(error=self._refusal or BadRequestError(part="request", why=why))
            else:  # bytes after the last request of this connection
                self._end_reading()
        if self.stage == HEAD and not self._is_deaf:
            if self._begun == (0 if before == HEAD else 1) and before != BODY:
                self._head_fed += size  # all of it belongs to this head
            limit = self._server.limits().header_bytes
            if self._head_fed > limit:
                self._refuse(error=HeadersTooLargeError(limit_bytes=limit))
        if len(self._queue) > QUEUE and not self._is_paused and self._connection is not None:
            self._is_paused = True
            self._connection.pause_reading()
        if self._task is None:
            self._next()

    def _end_reading(self) -> None:
        self._is_deaf = True
        self.stage = IDLE
        self._parser = None
        self._is_kept = False

    def _refuse(self, *, error: KelpstageError) -> None:
        """Answer in its turn, and close: where the next request begins is not known."""
        self._end_reading()
        self._body = []
        self._queue.append(error_reply(error=error))
        if self._task is None:
            self._next()

    # --- the parser's callbacks ---------------------------------------------------------

    def on_message_begin(self) -> None:
        self.stage = HEAD
        self._begun += 1
        self._since = asyncio.get_running_loop().time()
        self._url = b""
        self._pairs = []
        self._head_fed = 0
        self._body = []
        self._body_size = 0
        self._wants_continue = False

    def on_url(self, url: bytes) -> None:
        self._url = self._url + url if self._url else url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.stage == HEAD:
            self._pairs.append((name.decode("latin-1"), value.decode("latin-1")))
            return
        self._trailer_size += len(name) + len(value) + 4
        limit = self._server.limits().header_bytes
        if self._trailer_size > limit:
            raise self._stopped(error=HeadersTooLargeError(limit_bytes=limit))

    def on_headers_complete(self) -> None:
        self.stage = BODY
        self._moved = self._since
        parser = self._parser
        limits = self._server.limits()
        pairs = self._pairs
        size = len(self._url) + 18 + 4 * len(pairs)
        for name, value in pairs:
            size += len(name) + len(value)
        if size > limits.header_bytes:
            raise self._stopped(error=HeadersTooLargeError(limit_bytes=limits.header_bytes))
        headers = self._headers = joined(pairs=pairs)
        self._trailer_size = 0
        version = parser.get_http_version()
        self._is_old = version == "1.0"
        if not self._is_old and version != "1.1":
            raise self._bad(why="not HTTP/1.0 or 1.1")
        self._is_kept = parser.should_keep_alive()
        host = headers.get("host")
        if (host is None and not self._is_old) or (host is not None and "," in host):
            raise self._bad(why="one Host it must be")
        self._body_limit = limits.body_bytes
        coding = headers.get("transfer-encoding")
        length = headers.get("content-length")
        if coding is not None and (self._is_old or coding.lower() != "chunked"):
            raise self._bad(why="a transfer coding other than chunked")
        if length is not None and int(length) > self._body_limit:
            raise self._stopped(error=BodyTooLargeError(limit_bytes=self._body_limit))
        has_body = coding is not None or length not in (None, "0")
        if has_body and parser.should_upgrade():
            raise self._bad(why="an upgrade with a body")
        expected = headers.get("expect")
        if expected is not None:
            if expected.lower() != "100-continue":
                raise self._bad(why="an expectation other than 100-continue")
            self._wants_continue = has_body and not self._is_old

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > self._body_limit:
            raise self._stopped(error=BodyTooLargeError(limit_bytes=self._body_limit))
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._wants_continue = False
        self.stage = IDLE
        self._served += 1
        body = self._body
        call = HttpCall(
            method=self._parser.get_method().decode("latin-1"),
            url=self._url.decode("latin-1"),
            headers=self._headers,
            body=body[0] if len(body) == 1 else b"".join(body),
            raw_headers=tuple(self._pairs),
        )
        self._body = []
        read_s = asyncio.get_running_loop().time()
        self._queue.append((call, self._is_kept, self._is_old, read_s))

    def _bad(self, *, why: str) -> _Stop:
        return self._stopped(error=BadRequestError(part="request", why=why))

    def _stopped(self, *, error: KelpstageError) -> _Stop:
        self._refusal = error
        return _Stop()

    # --- answers -------------------------------------------------------------------------

    def _next(self) -> None:
        """Work on the next request, if none is in work and the caller takes answers in."""
        connection = self._connection
        if self._task is not None or connection is None or connection.is_full():
            return
        if not self._queue:
            if self._wants_continue and self.stage == BODY and not self._body_size:
                self._wants_continue = False
                self._connection.write(CONTINUE)
            elif self._is_half:
                self._connection.close()
            return
        item = self._queue.popleft()
        if self._is_paused and len(self._queue) <= QUEUE // 2:
            self._is_paused = False
            self._connection.resume_reading()
            self._moved = self._since = asyncio.get_running_loop().time()
        if type(item) is tuple:
            call, is_kept, is_old, read_s = item
            loop = asyncio.get_running_loop()
            waited_s = loop.time() - read_s
            if waited_s > WAITED_S:
                call = replace(call, waited_us=int(waited_s * 1_000_000))
            self._task = loop.create_task(self._work(call, is_kept, is_old))
        else:
            self._write(reply=item, is_head=False, is_kept=False, is_old=False)

    async def _work(self, call: HttpCall, is_kept: bool, is_old: bool) -> None:
        try:
            reply = await self._server.on_call(call)
        except Exception as error:
            asyncio.get_running_loop().call_exception_handler(
                {"message": f"the answer to {call.method} {call.url} broke", "exception": error}
            )
            reply = error_reply(error=InternalError(why=type(error).__name__))
        self._task = None
        if self._connection is None:  # the caller has left before its answer
            self._server.forget_line(line=self)
            return
        if reply is None:
            self._connection.abort()
            return
        self._write(reply=reply, is_head=call.method == "HEAD", is_kept=is_kept, is_old=is_old)
        self._next()

    def _write(self, *, reply: HttpReply, is_head: bool, is_kept: bool, is_old: bool) -> None:
        is_kept = is_kept and not self._server.is_closing
        connection = "" if is_kept and not is_old else "keep-alive" if is_kept else "close"
        data, is_last = reply_bytes(reply=reply, is_head=is_head, connection=connection)
        self._connection.write(data)
        if is_last:
            self._hang_up()
        elif self.stage == IDLE:
            self._since = asyncio.get_running_loop().time()

    def _hang_up(self) -> None:
        """End our side after what is written; what still comes is read and dropped for
        a moment, since bytes left unread would make the end a reset that overtakes it."""
        self._is_deaf = True
        self._queue.clear()
        self.stage = CLOSING
        self._since = asyncio.get_running_loop().time()
        if self._is_half:
            self._connection.close()
            return
        if self._is_paused:
            self._is_paused = False
            self._connection.resume_reading()
        self._connection.end_writing()

    # --- time ------------------------------------------------------------------------------

    def close_if_quiet(self) -> None:
        if self.is_quiet() and self._connection is not None:
            self._connection.close()

    def abort(self) -> None:
        if self._connection is not None:
            self._connection.abort()

    def look(self, *, now: float, limits: HttpLimits) -> None:
        """Called now and then: ends what takes too long."""
        connection = self._connection
        if connection is None or not connection.is_open():
            return
        unsent = connection.unsent()
        if unsent:
            if unsent != self._stuck:
                self._stuck, self._moved = unsent, now
            elif now - self._moved > STUCK_S:
                connection.abort()
            return
        self._stuck = 0
        spent = now - self._since
        span = limits.header_us / 1_000_000
        if self.stage == CLOSING:
            if spent > LINGER_S:
                connection.abort()
        elif self._is_paused:
            return
        elif self.stage == HEAD and spent > span:
            self._refuse(error=RequestReadTimeoutError(part="head", after_us=limits.header_us))
        elif self.stage == BODY and (now - self._moved > span or spent > BODY_SPANS * span):
            self._refuse(error=RequestReadTimeoutError(part="body", after_us=limits.header_us))
        elif self.is_quiet():
            idle_s = limits.idle_us / 1_000_000
            if spent > (min(LINGER_S, idle_s) if self._server.is_closing else idle_s):
                connection.close()


class HttpServer:
    """Takes calls at one address until it is closed; open requests are still answered."""

    def __init__(self, *, on_call: OnCall, limits: Callable[[], HttpLimits]) -> None:
        self.on_call = on_call
        self.limits = limits
        self.is_closing = False
        self._lines: set[CallerLine] = set()
        self._sweep: asyncio.TimerHandle | None = None
        self._sock: socket.socket | None = None

    async def open(self, *, address: str) -> KelpstageError | None:
        host, port = split_address(address=address)
        sock = socket.socket(family_of(host=host), socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            tune(sock=sock, is_kept=True)
            sock.bind((host, port))
            sock.listen(BACKLOG)
        except OSError as error:
            sock.close()
            return AddressInUseError(address=address, why=str(error))
        self._sock = sock
        self._listen()
        return None

    def close(self) -> None:
        """Stop taking connections in. Quiet ones end; on the others the answer in work
        says that it is the last."""
        if self._sock is None:
            return
        loop = asyncio.get_running_loop()
        while self._accept():  # those that the kernel has taken in may have sent something
            pass
        loop.remove_reader(self._sock.fileno())
        self._sock.close()
        self._sock = None
        self.is_closing = True
        loop.call_soon(loop.call_soon, self._close_quiet)  # what has arrived is read first

    def abort(self) -> None:
        """End everything at once."""
        self.close()
        for line in list(self._lines):
            line.abort()

    def open_lines(self) -> int:
        """How many connections are open or still in work."""
        return len(self._lines)

    def _listen(self) -> None:
        if self._sock is not None:
            asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept_some)

    def _accept_some(self) -> None:
        for _ in range(ACCEPTS):
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Take one connection in; false if there is none or no room for one."""
        try:
            sock, _ = self._sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            if error.errno in FULL:  # no descriptors or memory: the queue waits a moment
                loop = asyncio.get_running_loop()
                loop.remove_reader(self._sock.fileno())
                loop.call_later(FULL_S, self._listen)
            return False
        sock.setblocking(False)
        self._lines.add(CallerLine(server=self, sock=sock))
        if self._sweep is None:
            self._arm()
        return True

    def _close_quiet(self) -> None:
        for line in list(self._lines):
            if not line.is_fresh():
                line.close_if_quiet()

    def forget_line(self, *, line: CallerLine) -> None:
        self._lines.discard(line)

    def _arm(self) -> None:
        limits = self.limits()
        least_us = min(limits.header_us, limits.idle_us)
        self._sweep = asyncio.get_running_loop().call_later(
            min(SWEEP_S, max(0.01, least_us / 2_000_000)), self._look
        )

    def _look(self) -> None:
        """Ticks only while a connection is open."""
        self._sweep = None
        if not self._lines:
            return
        now = asyncio.get_running_loop().time()
        limits = self.limits()
        for line in list(self._lines):
            line.look(now=now, limits=limits)
        self._arm()
