"""One connection of an HTTP server: requests are read, queued and answered in their order."""

from __future__ import annotations

import asyncio
import enum
import socket
from collections import deque
from dataclasses import replace
from typing import Any, Awaitable, Callable, Protocol

import httptools

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.requests import (
    BadRequestError,
    BodyTooLargeError,
    HeadersTooLargeError,
    InternalError,
    RequestReadTimeoutError,
)
from kelpstage.common.http.connection import BUFFER, Connection
from kelpstage.common.http.headers import joined
from kelpstage.common.http.replies import error_reply
from kelpstage.common.http.reply_bytes import reply_bytes
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply

QUEUE_LIMIT = 16  # requests of one connection that wait; more are not read meanwhile
REPORTED_WAIT_S = 0.001  # a shorter wait for its turn is not reported in the call
BODY_TIMES = 10  # a body may take this many times the span in which it must go on
LINGER_S = 1.0  # how long a connection is still read after our side has ended
LINGER_BYTES = 4 * 1024 * 1024  # and how much of it
STUCK_S = 10.0  # a caller that takes nothing in for so long is given up
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

OnCall = Callable[[HttpCall], Awaitable[HttpReply | None]]


class Stage(enum.Enum):
    """What is being read of a connection.

    IDLE to HEAD with a request's first byte, HEAD to BODY with the end of its head, BODY to
    IDLE with its last byte. From any of them back to IDLE when a request is refused (nothing
    more is parsed then), and to CLOSING once the last reply has been written.
    """

    IDLE = enum.auto()  # no request has begun
    HEAD = enum.auto()  # a request line and headers
    BODY = enum.auto()  # the head is complete, the body may not be
    CLOSING = enum.auto()  # our side has ended; what still comes is dropped


IDLE, HEAD, BODY, CLOSING = Stage


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    on_call: OnCall
    limits: Callable[[], HttpLimits]
    is_closing: bool
    is_cancelling: bool

    def forget(self, *, connection: "ServerConnection") -> None:
        """The connection has ended, and nothing of it is in work."""


class _Stop(Exception):
    """Ends the parser's run from within one of its callbacks."""


class ServerConnection:
    """One caller's connection: what is being read, what waits, what is in work.

    Requests are answered one at a time in their order; up to `QUEUE_LIMIT` wait, then
    nothing more is read. `_stage_since_s` is when the stage began, `_progress_s` when the
    body, or what is being written, last went on; both in seconds of the loop's time.
    """

    def __init__(self, *, server: ConnectionOwner, sock: socket.socket) -> None:
        self._server = server
        self._connection: Connection | None = Connection(sock=sock, owner=self)
        self._parser: Any = httptools.HttpRequestParser(self)
        self._queue: deque[Any] = deque()
        self._task: asyncio.Task[None] | None = None
        self.stage: Stage = IDLE
        self._stage_since_s = asyncio.get_running_loop().time()  # when this stage began
        self._progress_s = 0.0  # when the body last went on
        self._is_discarding = False  # nothing that still comes is a request
        self._is_paused = False
        self._is_half_closed = False  # the caller has ended its side
        self._discarded_bytes = 0
        self._stuck_bytes = 0
        self._requests_read = 0
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
        self._is_http_1_0 = False  # HTTP/1.0
        self._wants_continue = False

    def is_idle(self) -> bool:
        """No request is being read, waits or is in work."""
        return self.stage is IDLE and self._task is None and not self._queue

    def is_new(self) -> bool:
        """Has no request come yet?"""
        return not self._requests_read

    # --- the connection ----------------------------------------------------------------

    def lost(self, error: OSError | None) -> None:
        """The socket's end: what waits is dropped; what is in work is cancelled where the
        server says so, and goes on otherwise."""
        self._connection = self._parser = None
        self._queue.clear()
        if self._task is None:
            self._server.forget(connection=self)
        elif self._server.is_cancelling:
            self._task.cancel()

    def eof(self) -> bool:
        """A caller may end its side and still wait for what it has asked, unless the server
        takes that for its leaving."""
        self._is_half_closed = True
        if self._server.is_cancelling and not self.is_idle():
            return False
        return self._task is not None or bool(self._queue)

    def is_drained(self) -> None:
        """The kernel has taken all that was written."""
        self._start_next()

    def take(self, size: int) -> None:
        """Parse what was received; so many bytes are in `BUFFER`."""
        if self._is_discarding:
            self._discarded_bytes += size
            if self._discarded_bytes > LINGER_BYTES:
                self._connection.abort()
            return
        before, self._begun = self.stage, 0
        if before is BODY:
            self._progress_s = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(BUFFER[:size])
        except httptools.HttpParserUpgrade:  # no other protocol is spoken here; the request counts
            call, _, is_http_1_0, read_s = self._queue.pop()
            self._queue.append((call, False, is_http_1_0, read_s))
            self._end_reading()
        except httptools.HttpParserError as error:
            if self._is_kept or self.stage is not IDLE:
                why = str(error).partition("(")[0].strip()
                self._refuse(error=self._refusal or BadRequestError(part="request", why=why))
            else:  # bytes after the last request of this connection
                self._end_reading()
        if self.stage is HEAD and not self._is_discarding:
            if self._begun == (0 if before is HEAD else 1) and before is not BODY:
                self._head_fed += size  # all of it belongs to this head
            limit = self._server.limits().header_bytes
            if self._head_fed > limit:
                self._refuse(error=HeadersTooLargeError(limit_bytes=limit))
        if len(self._queue) > QUEUE_LIMIT and not self._is_paused and self._connection is not None:
            self._is_paused = True
            self._connection.pause_reading()
        if self._task is None:
            self._start_next()

    def _end_reading(self) -> None:
        self._is_discarding = True
        self.stage = IDLE
        self._parser = None
        self._is_kept = False

    def _refuse(self, *, error: KelpstageError) -> None:
        """Answer in its turn, and close: where the next request begins is not known."""
        self._end_reading()
        self._body = []
        self._queue.append(error_reply(error=error))
        if self._task is None:
            self._start_next()

    # --- the parser's callbacks ---------------------------------------------------------

    def on_message_begin(self) -> None:
        """A request line begins."""
        self.stage = HEAD
        self._begun += 1
        self._stage_since_s = asyncio.get_running_loop().time()
        self._url = b""
        self._pairs = []
        self._head_fed = 0
        self._body = []
        self._body_size = 0
        self._wants_continue = False

    def on_url(self, url: bytes) -> None:
        """A part of the request target."""
        self._url = self._url + url if self._url else url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer field behind the last chunk, which is dropped."""
        if self.stage is HEAD:
            self._pairs.append((name.decode("latin-1"), value.decode("latin-1")))
            return
        self._trailer_size += len(name) + len(value) + 4
        limit = self._server.limits().header_bytes
        if self._trailer_size > limit:
            raise self._refusal_of(error=HeadersTooLargeError(limit_bytes=limit))

    def on_headers_complete(self) -> None:
        """Check the head before anything of the request is handed on."""
        self.stage = BODY
        self._progress_s = self._stage_since_s
        parser = self._parser
        limits = self._server.limits()
        pairs = self._pairs
        size = len(self._url) + 18 + 4 * len(pairs)
        for name, value in pairs:
            size += len(name) + len(value)
        if size > limits.header_bytes:
            raise self._refusal_of(error=HeadersTooLargeError(limit_bytes=limits.header_bytes))
        headers = self._headers = joined(pairs=pairs)
        self._trailer_size = 0
        version = parser.get_http_version()
        self._is_http_1_0 = version == "1.0"
        if not self._is_http_1_0 and version != "1.1":
            raise self._bad(why="not HTTP/1.0 or 1.1")
        self._is_kept = parser.should_keep_alive()
        host = headers.get("host")
        # Exactly one Host, or none from HTTP/1.0 (RFC 9112, 3.2).
        if (host is None and not self._is_http_1_0) or (host is not None and "," in host):
            raise self._bad(why="one Host it must be")
        self._body_limit = limits.body_bytes
        coding = headers.get("transfer-encoding")
        length = headers.get("content-length")
        # Any other coding leaves the body's end unknown (RFC 9112, 6.1 and 6.3).
        if coding is not None and (self._is_http_1_0 or coding.lower() != "chunked"):
            raise self._bad(why="a transfer coding other than chunked")
        if length is not None and int(length) > self._body_limit:
            raise self._refusal_of(error=BodyTooLargeError(limit_bytes=self._body_limit))
        has_body = coding is not None or length not in (None, "0")
        if has_body and parser.should_upgrade():
            raise self._bad(why="an upgrade with a body")
        expected = headers.get("expect")
        if expected is not None:
            # (RFC 9110, 10.1.1)
            if expected.lower() != "100-continue":
                raise self._bad(why="an expectation other than 100-continue")
            self._wants_continue = has_body and not self._is_http_1_0

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self._body_size += len(body)
        if self._body_size > self._body_limit:
            raise self._refusal_of(error=BodyTooLargeError(limit_bytes=self._body_limit))
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Put the request into the queue of this connection."""
        self._wants_continue = False
        self.stage = IDLE
        self._requests_read += 1
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
        self._queue.append((call, self._is_kept, self._is_http_1_0, read_s))

    def _bad(self, *, why: str) -> _Stop:
        return self._refusal_of(error=BadRequestError(part="request", why=why))

    def _refusal_of(self, *, error: KelpstageError) -> _Stop:
        self._refusal = error
        return _Stop()

    # --- answers -------------------------------------------------------------------------

    def _start_next(self) -> None:
        """Work on the next request, if none is in work and the caller takes answers in."""
        connection = self._connection
        if self._task is not None or connection is None or connection.is_full():
            return
        if not self._queue:
            if self._wants_continue and self.stage is BODY and not self._body_size:
                self._wants_continue = False
                self._connection.write(CONTINUE)
            elif self._is_half_closed:
                self._connection.close()
            return
        item = self._queue.popleft()
        if self._is_paused and len(self._queue) <= QUEUE_LIMIT // 2:
            self._is_paused = False
            self._connection.resume_reading()
            self._progress_s = self._stage_since_s = asyncio.get_running_loop().time()
        if type(item) is tuple:
            call, is_kept, is_http_1_0, read_s = item
            loop = asyncio.get_running_loop()
            waited_s = loop.time() - read_s
            if waited_s > REPORTED_WAIT_S:
                call = replace(call, waited_us=int(waited_s * 1_000_000))
            self._task = loop.create_task(self._work(call, is_kept, is_http_1_0))
        else:
            self._write(reply=item, is_head=False, is_kept=False, is_http_1_0=False)

    async def _work(self, call: HttpCall, is_kept: bool, is_http_1_0: bool) -> None:
        try:
            reply = await self._server.on_call(call)
        except Exception as error:
            asyncio.get_running_loop().call_exception_handler(
                {"message": f"the answer to {call.method} {call.url} broke", "exception": error}
            )
            reply = error_reply(error=InternalError(why=type(error).__name__))
        except asyncio.CancelledError:
            self._task = None
            self._server.forget(connection=self)
            raise
        self._task = None
        if self._connection is None:  # the caller has left before its answer
            self._server.forget(connection=self)
            return
        if reply is None:
            self._connection.abort()
            return
        self._write(
            reply=reply, is_head=call.method == "HEAD", is_kept=is_kept, is_http_1_0=is_http_1_0
        )
        self._start_next()

    def _write(self, *, reply: HttpReply, is_head: bool, is_kept: bool, is_http_1_0: bool) -> None:
        is_kept = is_kept and not self._server.is_closing
        connection = "" if is_kept and not is_http_1_0 else "keep-alive" if is_kept else "close"
        data, is_last = reply_bytes(reply=reply, is_head=is_head, connection=connection)
        self._connection.write(data)
        if is_last:
            self._close_after_reply()
        elif self.stage is IDLE:
            self._stage_since_s = asyncio.get_running_loop().time()

    def _close_after_reply(self) -> None:
        """End our side after what is written; what still comes is read and dropped for
        a moment, since bytes left unread would make the end a reset that overtakes it."""
        self._is_discarding = True
        self._queue.clear()
        self.stage = CLOSING
        self._stage_since_s = asyncio.get_running_loop().time()
        if self._is_half_closed:
            self._connection.close()
            return
        if self._is_paused:
            self._is_paused = False
            self._connection.resume_reading()
        self._connection.end_writing()

    # --- time ------------------------------------------------------------------------------

    def close_if_idle(self) -> None:
        """Close it unless a request is being read, waits or is in work."""
        if self.is_idle() and self._connection is not None:
            self._connection.close()

    def abort(self) -> None:
        """End it at once."""
        if self._connection is not None:
            self._connection.abort()

    def check_time(self, *, now: float, limits: HttpLimits) -> None:
        """Called now and then: ends what takes too long."""
        connection = self._connection
        if connection is None or not connection.is_open():
            return
        unsent = connection.unsent()
        if unsent:
            if unsent != self._stuck_bytes:
                self._stuck_bytes, self._progress_s = unsent, now
            elif now - self._progress_s > STUCK_S:
                connection.abort()
            return
        self._stuck_bytes = 0
        spent = now - self._stage_since_s
        span = limits.header_us / 1_000_000
        if self.stage is CLOSING:
            if spent > LINGER_S:
                connection.abort()
        elif self._is_paused:
            return
        elif self.stage is HEAD and spent > span:
            self._refuse(error=RequestReadTimeoutError(part="head", after_us=limits.header_us))
        elif self.stage is BODY and (now - self._progress_s > span or spent > BODY_TIMES * span):
            self._refuse(error=RequestReadTimeoutError(part="body", after_us=limits.header_us))
        elif self.is_idle():
            idle_s = limits.idle_us / 1_000_000
            if spent > (min(LINGER_S, idle_s) if self._server.is_closing else idle_s):
                connection.close()
