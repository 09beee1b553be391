"""Incremental parser of HTTP/1.1 replies."""

from __future__ import annotations

from typing import Any

import httptools

from kelpstage.common.http.headers import join_headers, reusable_for_s
from kelpstage.common.ports.interfaces import HttpReply

DEFAULT_IDLE_S = 20.0  # idle timeout if the server sends no `Keep-Alive` timeout
BODILESS_STATUSES = frozenset((204, 304))  # statuses without a body (RFC 9112, 6.3)


class _StopParsing(Exception):
    """Stops the parser from within one of its callbacks."""


class ReplyParser:
    """Parses the replies on one connection, for one call after the other.

    `replies` holds the complete final replies to the current call; interim replies (1xx) are
    skipped. `is_in_message` is true while a message is incomplete. `is_persistent` and `reuse_s`
    say whether and for how long the connection can be reused after the newest reply.

    >>> parser = ReplyParser()
    >>> parser.begin(method="GET")
    >>> parser.feed(data=b"HTTP/1.1 200 OK\\r\\n\\r\\nabc"), parser.replies
    (False, [])
    >>> parser.end(); parser.replies[0].body
    b'abc'
    """

    def __init__(self) -> None:
        self._parser: Any = httptools.HttpResponseParser(self)
        self.replies: list[HttpReply] = []
        self.is_in_message = False
        self.is_persistent = False
        self.reuse_s = DEFAULT_IDLE_S
        self._method = ""
        self._pairs: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._status = 0
        self._headers: dict[str, str] = {}
        self._ends_at_close = False

    def begin(self, *, method: str) -> None:
        """Prepare for the reply to a request with this method."""
        self._method = method
        self.is_in_message = False
        self.clear()

    def clear(self) -> None:
        """Drop everything received so far."""
        self.replies = []
        self._pairs = []
        self._body = []

    def feed(self, *, data: Any) -> bool:
        """Parse received bytes; true if they are not a valid HTTP reply."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return True
        return False

    def end(self) -> None:
        """Handle an orderly end of the stream, which completes a reply without a length.

        A reset does not complete it (RFC 9112, 6.3): this is not called after a reset.
        """
        if self.is_in_message and self._ends_at_close:
            self.is_in_message = False
            self._add_reply()

    def is_in_head(self) -> bool:
        """True if a message has begun and its status is not known yet."""
        return self.is_in_message and not self._status

    # --- the parser's callbacks -----------------------------------------------------------

    def on_message_begin(self) -> None:
        """Handle the start of a status line."""
        self.is_in_message = True
        self._ends_at_close = False
        self._status = 0
        self._pairs = []
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; trailer fields after the last chunk are dropped."""
        if not self._status:  # after the head: a trailer field
            self._pairs.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the head; an interim reply (1xx) is skipped (RFC 9110, 15.2)."""
        parser = self._parser
        status = self._status = parser.get_status_code()
        if status < 200:
            return
        if parser.get_http_version() not in ("1.1", "1.0"):
            raise _StopParsing
        headers = self._headers = join_headers(pairs=self._pairs)
        self.is_persistent = parser.should_keep_alive()
        keep_alive = headers.get("keep-alive")
        self.reuse_s = (
            reusable_for_s(keep_alive=keep_alive, default_s=DEFAULT_IDLE_S)
            if keep_alive is not None
            else DEFAULT_IDLE_S
        )
        if self._method == "HEAD":
            # A reply to HEAD has no body whatever its headers say (RFC 9112, 6.3).
            self.is_persistent = False  # the parser would wait for a body
            self._add_reply()
            raise _StopParsing
        coding = headers.get("transfer-encoding")
        if coding is None:
            has_length = "content-length" in headers or status in BODILESS_STATUSES
            self._ends_at_close = not has_length
            return
        if coding.lower() != "chunked":
            raise _StopParsing

    def on_body(self, body: bytes) -> None:
        """Record a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Handle the end of a message."""
        self.is_in_message = False
        if self._status >= 200:
            self._add_reply()

    def _add_reply(self) -> None:
        body = self._body
        self.replies.append(
            HttpReply(
                status=self._status,
                headers=self._headers,
                body=body[0] if len(body) == 1 else b"".join(body),
            )
        )
