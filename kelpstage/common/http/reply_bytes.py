"""Encodes HTTP/1.1 replies."""

from __future__ import annotations

from kelpstage.common.http.headers import REASON_PHRASES, head_bytes, sanitized
from kelpstage.common.ports.interfaces import HttpReply

# Headers that the server sets itself.
SERVER_HEADERS = frozenset(("content-length", "transfer-encoding", "connection", "keep-alive"))
STATUS_LINES = {
    status: f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"
    for status in range(200, 600)
}


def reply_bytes(
    *, reply: HttpReply, is_head: bool = False, connection: str = ""
) -> tuple[bytes, bool]:
    """Encode a reply; also returns whether to close the connection after it.

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
        lower_name = name.lower()
        if lower_name not in SERVER_HEADERS:
            lines.append(f"{name}: {value}")
        elif lower_name == "connection" and "close" in value.lower():
            is_last, connection = True, "close"
        elif lower_name == "content-length" and (is_head or reply.status == 304):
            size = value
    if reply.status in (204, 304) or is_head:
        body = b""
    if reply.status != 204:
        lines.append(f"Content-Length: {size}")
    if connection:
        lines.append(f"Connection: {connection}")
    head = head_bytes(lines=lines) or head_bytes(lines=sanitized(lines=lines))
    return head + body, is_last
