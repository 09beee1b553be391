"""HTTP/1.1 message heads: combines repeated headers, encodes heads without header injection,
and lists hop-by-hop headers."""

from __future__ import annotations

from http import HTTPStatus
from typing import Iterable

# Headers that this transport sets itself, and hop-by-hop headers.
TRANSPORT_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def join_headers(*, pairs: Iterable[tuple[str, str]]) -> dict[str, str]:
    """Headers by lower-case name; the values of a repeated header are joined in order.

    >>> join_headers(pairs=[("A", "1"), ("a", "2"), ("Cookie", "x=1"), ("Cookie", "y=2")])
    {'a': '1, 2', 'cookie': 'x=1; y=2'}
    """
    headers: dict[str, str] = {}
    for name, value in pairs:
        lower_name = name.lower()
        if lower_name in headers:
            value = f"{headers[lower_name]}{'; ' if lower_name == 'cookie' else ', '}{value}"
        headers[lower_name] = value
    return headers


def head_bytes(*, lines: list[str]) -> bytes | None:
    """Encode the lines of a head; None if one of them contains CR, LF or NUL.

    >>> head_bytes(lines=["GET / HTTP/1.1", "Host: a"])
    b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n'
    >>> head_bytes(lines=["GET / HTTP/1.1", "Host: a\\nB: c"])
    """
    text = "\r\n".join(lines) + "\r\n\r\n"
    ends = len(lines) + 1
    if text.count("\n") != ends or text.count("\r") != ends or "\0" in text:
        return None
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode()


def sanitized(*, lines: list[str]) -> list[str]:
    """The same lines with CR, LF and NUL replaced by spaces.

    >>> sanitized(lines=["A: b\\r\\nC: d"])
    ['A: b  C: d']
    """
    return [line.translate({10: " ", 13: " ", 0: " "}) for line in lines]


def reusable_for_s(*, keep_alive: str, default_s: float) -> float:
    """How long an idle connection can be reused, from its `Keep-Alive` header.

    That is the peer's timeout less one second, but at least half of it and at most `default_s`.

    >>> reusable_for_s(keep_alive="timeout=5, max=100", default_s=20.0)
    4.0
    >>> reusable_for_s(keep_alive="timeout=1", default_s=20.0)
    0.5
    >>> reusable_for_s(keep_alive="", default_s=20.0)
    20.0
    >>> reusable_for_s(keep_alive="timeout=x", default_s=20.0)
    20.0
    """
    for part in keep_alive.split(","):
        name, _, value = part.partition("=")
        value = value.strip().strip('"')
        if name.strip().lower() == "timeout" and value.isascii() and value.isdigit():
            named = int(value)
            return min(default_s, max(named - 1.0, named / 2))
    return default_s
