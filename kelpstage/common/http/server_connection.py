"""A connection of the HTTP server: requests are read, queued and answered in order."""

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
from kelpstage.common.http.connection import READ_BUFFER, Connection
from kelpstage.common.http.headers import join_headers
from kelpstage.common.http.replies import error_reply
from kelpstage.common.http.reply_bytes import reply_bytes
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply

QUEUE_LIMIT = 16  # queued requests of one connection; above it, reading pauses
MIN_REPORTED_WAIT_S = 0.001  # shorter queueing times are not reported in `HttpCall.queued_us`
BODY_TIMEOUT_FACTOR = 10  # time limit of a whole body, as a multiple of `HttpLimits.header_us`
LINGER_S = 1.0  # how long data is still read after the write side is shut down
LINGER_BYTES = 4 * 1024 * 1024  # and how many bytes
WRITE_STALL_S = 10.0  # the connection is aborted if the client reads nothing for this long
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

OnCall = Callable[[HttpCall], Awaitable[HttpReply | None]]


class Stage(enum.Enum):
    """Stage of reading on a connection.

    IDLE changes to HEAD with the first byte of a request, HEAD to BODY with the end of its head,
    BODY to IDLE with its last byte. Any stage changes to IDLE when a request is rejected (parsing
    then stops), and to CLOSING once the last reply has been written.
    """

    IDLE = enum.auto()  # no request has begun
    HEAD = enum.auto()  # reading a request line and headers
    BODY = enum.auto()  # the head is complete, the body may be incomplete
    CLOSING = enum.auto()  # the write side is shut down; received data is dropped


IDLE, HEAD, BODY, CLOSING = Stage


class ConnectionOwner(Protocol):
    """The part of a server that its connections use."""

    on_call: OnCall
    limits: Callable[[], HttpLimits]
    is_closing: bool
    cancels_on_disconnect: bool

    def forget(self, *, connection: "ServerConnection") -> None:
        """Remove a closed connection whose handler has ended."""


class _StopParsing(Exception):
    """Stops the parser from within one of its callbacks."""


class ServerConnection:
    """A client's connection: the request being read, the queue and the request in progress.

    Requests are handled one at a time, in order; while more than `QUEUE_LIMIT` are queued, reading
    pauses. `_stage_since_s` is when the stage began; `_last_progress_s` is when the body or the
    pending write last made progress. Both are in seconds of loop time.
    """

    def __init__(self, *, server: ConnectionOwner, sock: socket.socket) -> None:
        self._server = server
        self._connection: Connection | None = Connection(sock=sock, owner=self)
        self._parser: Any = httptools.HttpRequestParser(self)
        self._queue: deque[Any] = deque()
        self._task: asyncio.Task[None] | None = None
        self.stage: Stage = IDLE
        self._stage_since_s = asyncio.get_running_loop().time()  # start of this stage
        self._last_progress_s = 0.0  # last progress of the body or the pending write
        self._is_discarding = False  # received data is no longer parsed
        self._is_paused = False
        self._is_half_closed = False  # the client has shut down its write side
        self._discarded_bytes = 0
        self._stalled_bytes = 0
        self._requests_read = 0
        self._rejection: KelpstageError | None = None
        # state of the request being read
        self._url = b""
        self._pairs: list[tuple[str, str]] = []
        self._head_size = 0
        self._trailer_size = 0
        self._heads_begun = 0  # request lines begun in the data being parsed
        self._body: list[bytes] = []
        self._body_size = 0
        self._body_limit = 0
        self._headers: dict[str, str] = {}
        self._is_persistent = True
        self._is_http_1_0 = False  # HTTP/1.0
        self._wants_continue = False

    def is_idle(self) -> bool:
        """True if no request is being read, queued or in progress."""
        return self.stage is IDLE and self._task is None and not self._queue

    def is_new(self) -> bool:
        """True if no complete request has been received yet."""
        return not self._requests_read

    # --- the connection ----------------------------------------------------------------

    def on_closed(self, error: OSError | None) -> None:
        """Handle the closed socket: drop the queued requests.

        The handler in progress is cancelled if the server has `cancels_on_disconnect`, and
        otherwise runs to its end.
        """
        self._connection = self._parser = None
        self._queue.clear()
        if self._task is None:
            self._server.forget(connection=self)
        elif self._server.cancels_on_disconnect:
            self._task.cancel()

    def on_eof(self) -> bool:
        """Handle the end of the client's stream; true if its requests are still to be answered.

        With `cancels_on_disconnect` the server treats it as a disconnect.
        """
        self._is_half_closed = True
        if self._server.cancels_on_disconnect and not self.is_idle():
            return False
        return self._task is not None or bool(self._queue)

    def on_drained(self) -> None:
        """Handle an empty send buffer: continue with the next request."""
        self._start_next()

    def on_data(self, size: int) -> None:
        """Parse the `size` received bytes in `READ_BUFFER`."""
        if self._is_discarding:
            self._discarded_bytes += size
            if self._discarded_bytes > LINGER_BYTES:
                self._connection.abort()
            return
        before, self._heads_begun = self.stage, 0
        if before is BODY:
            self._last_progress_s = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(READ_BUFFER[:size])
        except httptools.HttpParserUpgrade:  # the upgrade is ignored, the request is served
            call, _, is_http_1_0, read_s = self._queue.pop()
            self._queue.append((call, False, is_http_1_0, read_s))
            self._stop_parsing()
        except httptools.HttpParserError as error:
            if self._is_persistent or self.stage is not IDLE:
                why = str(error).partition("(")[0].strip()
                self._reject(error=self._rejection or BadRequestError(part="request", why=why))
            else:  # data after the last request of this connection
                self._stop_parsing()
        if self.stage is HEAD and not self._is_discarding:
            if self._heads_begun == (0 if before is HEAD else 1) and before is not BODY:
                self._head_size += size  # all of the data belongs to this head
            limit = self._server.limits().header_bytes
            if self._head_size > limit:
                self._reject(error=HeadersTooLargeError(limit_bytes=limit))
        if len(self._queue) > QUEUE_LIMIT and not self._is_paused and self._connection is not None:
            self._is_paused = True
            self._connection.pause_reading()
        if self._task is None:
            self._start_next()

    def _stop_parsing(self) -> None:
        self._is_discarding = True
        self.stage = IDLE
        self._parser = None
        self._is_persistent = False

    def _reject(self, *, error: KelpstageError) -> None:
        """Queue an error reply and close after it: the start of the next request is unknown."""
        self._stop_parsing()
        self._body = []
        self._queue.append(error_reply(error=error))
        if self._task is None:
            self._start_next()

    # --- the parser's callbacks ---------------------------------------------------------

    def on_message_begin(self) -> None:
        """Handle the start of a request line."""
        self.stage = HEAD
        self._heads_begun += 1
        self._stage_since_s = asyncio.get_running_loop().time()
        self._url = b""
        self._pairs = []
        self._head_size = 0
        self._body = []
        self._body_size = 0
        self._wants_continue = False

    def on_url(self, url: bytes) -> None:
        """Record a part of the request target."""
        self._url = self._url + url if self._url else url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; trailer fields after the last chunk are dropped."""
        if self.stage is HEAD:
            self._pairs.append((name.decode("latin-1"), value.decode("latin-1")))
            return
        self._trailer_size += len(name) + len(value) + 4
        limit = self._server.limits().header_bytes
        if self._trailer_size > limit:
            raise self._stop_with(error=HeadersTooLargeError(limit_bytes=limit))

    def on_headers_complete(self) -> None:
        """Check the head before any part of the request is passed on."""
        self.stage = BODY
        self._last_progress_s = self._stage_since_s
        parser = self._parser
        limits = self._server.limits()
        pairs = self._pairs
        size = len(self._url) + 18 + 4 * len(pairs)
        for name, value in pairs:
            size += len(name) + len(value)
        if size > limits.header_bytes:
            raise self._stop_with(error=HeadersTooLargeError(limit_bytes=limits.header_bytes))
        headers = self._headers = join_headers(pairs=pairs)
        self._trailer_size = 0
        version = parser.get_http_version()
        self._is_http_1_0 = version == "1.0"
        if not self._is_http_1_0 and version != "1.1":
            raise self._bad_request(why="HTTP version is neither 1.0 nor 1.1")
        self._is_persistent = parser.should_keep_alive()
        host = headers.get("host")
        # Exactly one Host, or none from HTTP/1.0 (RFC 9112, 3.2).
        if (host is None and not self._is_http_1_0) or (host is not None and "," in host):
            raise self._bad_request(why="missing or repeated Host header")
        self._body_limit = limits.body_bytes
        coding = headers.get("transfer-encoding")
        length = headers.get("content-length")
        # With any other coding the end of the body is unknown (RFC 9112, 6.1 and 6.3).
        if coding is not None and (self._is_http_1_0 or coding.lower() != "chunked"):
            raise self._bad_request(why="unsupported transfer coding (HTTP/1.1 chunked only)")
        if length is not None and int(length) > self._body_limit:
            raise self._stop_with(error=BodyTooLargeError(limit_bytes=self._body_limit))
        has_body = coding is not None or length not in (None, "0")
        if has_body and parser.should_upgrade():
            raise self._bad_request(why="upgrade request with a body")
        expected = headers.get("expect")
        if expected is not None:
            # RFC 9110, 10.1.1
            if expected.lower() != "100-continue":
                raise self._bad_request(why="unsupported Expect header (100-continue only)")
            self._wants_continue = has_body and not self._is_http_1_0

    def on_body(self, body: bytes) -> None:
        """Record a part of the body."""
        self._body_size += len(body)
        if self._body_size > self._body_limit:
            raise self._stop_with(error=BodyTooLargeError(limit_bytes=self._body_limit))
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Add the request to the queue of this connection."""
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
        self._queue.append((call, self._is_persistent, self._is_http_1_0, read_s))

    def _bad_request(self, *, why: str) -> _StopParsing:
        return self._stop_with(error=BadRequestError(part="request", why=why))

    def _stop_with(self, *, error: KelpstageError) -> _StopParsing:
        self._rejection = error
        return _StopParsing()

    # --- replies -------------------------------------------------------------------------

    def _start_next(self) -> None:
        """Start the next request, unless one is in progress or the send buffer is full."""
        connection = self._connection
        if self._task is not None or connection is None or connection.is_above_high_water():
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
            self._last_progress_s = self._stage_since_s = asyncio.get_running_loop().time()
        if type(item) is tuple:
            call, is_persistent, is_http_1_0, read_s = item
            loop = asyncio.get_running_loop()
            waited_s = loop.time() - read_s
            if waited_s > MIN_REPORTED_WAIT_S:
                call = replace(call, queued_us=int(waited_s * 1_000_000))
            self._task = loop.create_task(self._run_handler(call, is_persistent, is_http_1_0))
        else:
            self._write_reply(reply=item, is_head=False, is_persistent=False, is_http_1_0=False)

    async def _run_handler(self, call: HttpCall, is_persistent: bool, is_http_1_0: bool) -> None:
        try:
            reply = await self._server.on_call(call)
        except Exception as error:
            asyncio.get_running_loop().call_exception_handler(
                {"message": f"the handler of {call.method} {call.url} failed", "exception": error}
            )
            reply = error_reply(error=InternalError(why=type(error).__name__))
        except asyncio.CancelledError:
            self._task = None
            self._server.forget(connection=self)
            raise
        self._task = None
        if self._connection is None:  # the client disconnected before its reply
            self._server.forget(connection=self)
            return
        if reply is None:
            self._connection.abort()
            return
        self._write_reply(
            reply=reply,
            is_head=call.method == "HEAD",
            is_persistent=is_persistent,
            is_http_1_0=is_http_1_0,
        )
        self._start_next()

    def _write_reply(
        self, *, reply: HttpReply, is_head: bool, is_persistent: bool, is_http_1_0: bool
    ) -> None:
        is_persistent = is_persistent and not self._server.is_closing
        connection = (
            "" if is_persistent and not is_http_1_0 else "keep-alive" if is_persistent else "close"
        )
        data, is_last = reply_bytes(reply=reply, is_head=is_head, connection=connection)
        self._connection.write(data)
        if is_last:
            self._close_after_reply()
        elif self.stage is IDLE:
            self._stage_since_s = asyncio.get_running_loop().time()

    def _close_after_reply(self) -> None:
        """Shut down the write side after the last reply, then read and drop data for `LINGER_S`.

        Closing a socket with unread data sends a reset, and the client could lose the reply.
        """
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
        self._connection.shutdown_write()

    # --- time ------------------------------------------------------------------------------

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read, queued or in progress."""
        if self.is_idle() and self._connection is not None:
            self._connection.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._connection is not None:
            self._connection.abort()

    def check_timeouts(self, *, now: float, limits: HttpLimits) -> None:
        """Reject or close what exceeds its time limit; called periodically."""
        connection = self._connection
        if connection is None or not connection.is_open():
            return
        unsent = connection.unsent()
        if unsent:
            if unsent != self._stalled_bytes:
                self._stalled_bytes, self._last_progress_s = unsent, now
            elif now - self._last_progress_s > WRITE_STALL_S:
                connection.abort()
            return
        self._stalled_bytes = 0
        spent = now - self._stage_since_s
        span = limits.header_us / 1_000_000
        if self.stage is CLOSING:
            if spent > LINGER_S:
                connection.abort()
        elif self._is_paused:
            return
        elif self.stage is HEAD and spent > span:
            self._reject(error=RequestReadTimeoutError(part="head", after_us=limits.header_us))
        elif self.stage is BODY and (
            now - self._last_progress_s > span or spent > BODY_TIMEOUT_FACTOR * span
        ):
            self._reject(error=RequestReadTimeoutError(part="body", after_us=limits.header_us))
        elif self.is_idle():
            idle_s = limits.idle_us / 1_000_000
            if spent > (min(LINGER_S, idle_s) if self._server.is_closing else idle_s):
                connection.close()
