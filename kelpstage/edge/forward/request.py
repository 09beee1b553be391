"""Client requests as forwarded to backends: method, target and body are unchanged."""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.edge.forward.headers import HeaderNames

# Hop-by-hop headers (RFC 9110, 7.6.1), and headers that the HTTP client sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientRequest:
    """The part of a client's request that is forwarded to backends.

    `headers` are the end-to-end headers, in order and as the client wrote them, without
    the deadline: each attempt sets the time that is left.
    """

    method: str
    target: str
    request_id: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""

    @property
    def host(self) -> str:
        """The value of the Host header; empty if there is none."""
        return next((value for name, value in self.headers if name.lower() == "host"), "")


def end_to_end_headers(
    *, headers: tuple[tuple[str, str], ...], names: HeaderNames
) -> tuple[tuple[str, str], ...]:
    """The headers that are forwarded to a backend.

    >>> end_to_end_headers(
    ...     headers=(("Host", "h"), ("Connection", "x-a"), ("X-A", "1"), ("Kelp-Deadline-Ms", "9")),
    ...     names=HeaderNames(),
    ... )
    (('Host', 'h'),)
    """
    dropped = HOP_BY_HOP_HEADERS | {names.deadline_ms.lower(), names.expect_instance.lower()}
    for name, value in headers:
        if name.lower() == "connection":
            dropped |= {word.strip().lower() for word in value.split(",")}
    return tuple((name, value) for name, value in headers if name.lower() not in dropped)


def read_request(*, call: HttpCall, names: HeaderNames) -> ClientRequest:
    """Build the request to forward from a client's HTTP call."""
    raw = call.raw_headers or tuple(call.headers.items())
    return ClientRequest(
        method=call.method,
        target=call.url,
        request_id=call.headers.get(names.request_id.lower(), ""),
        headers=end_to_end_headers(headers=raw, names=names),
        body=call.body,
    )


def pack_headers(*, headers: tuple[tuple[str, str], ...]) -> list[str]:
    """Encode headers for messages between edges, as alternating names and values.

    >>> unpack_headers(texts=pack_headers(headers=(("A", "1"),)))
    (('A', '1'),)
    """
    return [text for pair in headers for text in pair]


def unpack_headers(*, texts: list[str]) -> tuple[tuple[str, str], ...]:
    """Decode headers that `pack_headers` encoded.

    >>> unpack_headers(texts=["A", "1", "B", "2"])
    (('A', '1'), ('B', '2'))
    """
    return tuple(zip(texts[::2], texts[1::2], strict=True))
