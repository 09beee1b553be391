"""Parsing of HTTP/1.1 replies: bytes in, whole replies out."""

from __future__ import annotations

from typing import Any

import httptools

from kelpstage.common.http.headers import joined, kept_for_s
from kelpstage.common.ports.interfaces import HttpReply

IDLE_S = 20.0  # how long an idle connection is kept, if the other side names no time
NO_BODY = frozenset((204, 304))  # statuses without a body (RFC 9112, 6.3)


class _Stop(Exception):
    """Ends the parser's run from within one of its callbacks."""


class ReplyParser:
    """The replies on one connection, one call after the other.

    `replies` holds the final ones of the present call that are whole; interim ones (1xx) are
    passed over. `is_inside` tells that a message has begun and is not whole, `is_kept` and
    `reuse_s` whether and how long the connection may be used again after the newest.

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
        self.is_inside = False
        self.is_kept = False
        self.reuse_s = IDLE_S
        self._method = ""
        self._pairs: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._status = 0
        self._headers: dict[str, str] = {}
        self._ends_with_connection = False

    def begin(self, *, method: str) -> None:
        """A call of this method is sent: what comes from here on may answer it."""
        self._method = method
        self.is_inside = False
        self.clear()

    def clear(self) -> None:
        """Forget what was received."""
        self.replies = []
        self._pairs = []
        self._body = []

    def feed(self, *, data: Any) -> bool:
        """Take in received bytes; true if they are, or end in, no reply in the protocol."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return True
        return False

    def end(self) -> None:
        """The other side has ended its side in order, which completes a reply without a
        length (RFC 9112, 6.3). A reset doesn't: then this is not called."""
        if self.is_inside and self._ends_with_connection:
            self.is_inside = False
            self._add_reply()

    def is_in_head(self) -> bool:
        """Has a message begun whose status is not known yet?"""
        return self.is_inside and not self._status

    # --- the parser's callbacks -----------------------------------------------------------

    def on_message_begin(self) -> None:
        """A status line begins."""
        self.is_inside = True
        self._ends_with_connection = False
        self._status = 0
        self._pairs = []
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer field behind the last chunk."""
        if not self._status:  # what follows the last chunk is no header of ours
            self._pairs.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the head; an interim reply (1xx) is passed over (RFC 9110, 15.2)."""
        parser = self._parser
        status = self._status = parser.get_status_code()
        if status < 200:
            return
        if parser.get_http_version() not in ("1.1", "1.0"):
            raise _Stop
        headers = self._headers = joined(pairs=self._pairs)
        self.is_kept = parser.should_keep_alive()
        keep_alive = headers.get("keep-alive")
        self.reuse_s = (
            kept_for_s(keep_alive=keep_alive, default_s=IDLE_S)
            if keep_alive is not None
            else IDLE_S
        )
        if self._method == "HEAD":
            # A reply to HEAD has no body whatever its headers say (RFC 9112, 6.3).
            self.is_kept = False  # the parser would wait for a body
            self._add_reply()
            raise _Stop
        coding = headers.get("transfer-encoding")
        if coding is None:
            has_length = "content-length" in headers or status in NO_BODY
            self._ends_with_connection = not has_length
            return
        if coding.lower() != "chunked":
            raise _Stop

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """A message has come to its end."""
        self.is_inside = False
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
