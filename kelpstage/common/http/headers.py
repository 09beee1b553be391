"""Heads of HTTP/1.1 messages: joining of repeated headers, writing without a way
to smuggle a line in, and what concerns one connection only."""

from __future__ import annotations

from http import HTTPStatus
from typing import Iterable

# What this transport sets by itself, or what concerns one connection only.
OWN_HEADERS = frozenset(
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
REASONS = {status.value: status.phrase for status in HTTPStatus}


def joined(*, pairs: Iterable[tuple[str, str]]) -> dict[str, str]:
    """Headers by lower-case name; what is repeated is joined in its order.

    >>> joined(pairs=[("A", "1"), ("a", "2"), ("Cookie", "x=1"), ("Cookie", "y=2")])
    {'a': '1, 2', 'cookie': 'x=1; y=2'}
    """
    headers: dict[str, str] = {}
    for name, value in pairs:
        low = name.lower()
        if low in headers:
            value = f"{headers[low]}{'; ' if low == 'cookie' else ', '}{value}"
        headers[low] = value
    return headers


def head_bytes(*, lines: list[str]) -> bytes | None:
    """The lines of a head as they go out, or None if one of them holds the end of a
    line or a zero byte.

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


def cleaned(*, lines: list[str]) -> list[str]:
    """The same lines with blanks where an end of line or a zero byte was.

    >>> cleaned(lines=["A: b\\r\\nC: d"])
    ['A: b  C: d']
    """
    return [line.translate({10: " ", 13: " ", 0: " "}) for line in lines]


def kept_for_s(*, keep_alive: str, default_s: float) -> float:
    """How long after its last use a connection may be used again: the time that the
    other side names less a second, but at least half of it.

    >>> kept_for_s(keep_alive="timeout=5, max=100", default_s=20.0)
    4.0
    >>> kept_for_s(keep_alive="timeout=1", default_s=20.0)
    0.5
    >>> kept_for_s(keep_alive="", default_s=20.0)
    20.0
    >>> kept_for_s(keep_alive="timeout=x", default_s=20.0)
    20.0
    """
    for part in keep_alive.split(","):
        name, _, value = part.partition("=")
        value = value.strip().strip('"')
        if name.strip().lower() == "timeout" and value.isascii() and value.isdigit():
            named = int(value)
            return min(default_s, max(named - 1.0, named / 2))
    return default_s
