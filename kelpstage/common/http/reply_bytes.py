"""The bytes of an HTTP/1.1 reply, as a server sends it."""

from __future__ import annotations

from kelpstage.common.http.headers import REASONS, cleaned, head_bytes
from kelpstage.common.ports.interfaces import HttpReply

# What the server sets by itself.
SERVER_HEADERS = frozenset(("content-length", "transfer-encoding", "connection", "keep-alive"))
STATUS_LINES = {
    status: f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}" for status in range(200, 600)
}


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
        if low not in SERVER_HEADERS:
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
