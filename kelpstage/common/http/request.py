"""Encodes HTTP/1.1 requests."""

from __future__ import annotations

from kelpstage.common.http.headers import TRANSPORT_HEADERS, head_bytes
from kelpstage.common.ports.interfaces import HttpCall


def split_url(*, url: str) -> tuple[str, str]:
    """The address and the request target of a URL, both unmodified.

    >>> split_url(url="http://127.0.0.1:80/a?b=http://c"), split_url(url="http://127.0.0.1:80")
    (('127.0.0.1:80', '/a?b=http://c'), ('127.0.0.1:80', '/'))
    """
    rest = url.removeprefix("http://")
    address, slash, path = rest.partition("/")
    return address, slash + path or "/"


def request_bytes(*, call: HttpCall, address: str, target: str) -> bytes | None:
    """Encode a request; None if it is not a valid HTTP request.

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
        lower_name = name.lower()
        if lower_name == "host":
            host = value
        elif lower_name not in TRANSPORT_HEADERS:
            lines.append(f"{name}: {value}")
    lines[1] = f"Host: {host}"
    if call.connection_limit <= 0:
        lines.append("Connection: close")
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(call.body)}")
    head = head_bytes(lines=lines)
    return None if head is None else head + call.body
