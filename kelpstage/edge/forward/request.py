"""A client's request as it goes on to backends: method, target and body unchanged."""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.edge.forward.headers import HeaderNames

# Headers that concern one connection only (RFC 9110, 7.6.1), and those that the
# sending side sets itself.
HOP_BY_HOP = frozenset(
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
    """What a backend is to see of a client's request.

    `headers` are the end-to-end ones, in order, as the client wrote them; the
    deadline is not among them: each sending sets what is left of it.
    """

    method: str
    target: str
    request_id: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""

    @property
    def host(self) -> str:
        """The host that the request names; empty if it names none."""
        return next((value for name, value in self.headers if name.lower() == "host"), "")


def end_to_end(
    *, headers: tuple[tuple[str, str], ...], names: HeaderNames
) -> tuple[tuple[str, str], ...]:
    """The headers that go along to a backend.

    >>> end_to_end(
    ...     headers=(("Host", "h"), ("Connection", "x-a"), ("X-A", "1"), ("Kelp-Deadline-Ms", "9")),
    ...     names=HeaderNames(),
    ... )
    (('Host', 'h'),)
    """
    left_out = HOP_BY_HOP | {names.deadline_ms.lower(), names.expect_instance.lower()}
    for name, value in headers:
        if name.lower() == "connection":
            left_out |= {word.strip().lower() for word in value.split(",")}
    return tuple((name, value) for name, value in headers if name.lower() not in left_out)


def read_request(*, call: HttpCall, names: HeaderNames) -> ClientRequest:
    """The request that a client's call stands for."""
    raw = call.raw_headers or tuple(call.headers.items())
    return ClientRequest(
        method=call.method,
        target=call.url,
        request_id=call.headers.get(names.request_id.lower(), ""),
        headers=end_to_end(headers=raw, names=names),
        body=call.body,
    )


def pack_headers(*, headers: tuple[tuple[str, str], ...]) -> list[str]:
    """Headers as they travel between edges: names and values alternate.

    >>> unpack_headers(texts=pack_headers(headers=(("A", "1"),)))
    (('A', '1'),)
    """
    return [text for pair in headers for text in pair]


def unpack_headers(*, texts: list[str]) -> tuple[tuple[str, str], ...]:
    """The reverse of `pack_headers`.

    >>> unpack_headers(texts=["A", "1", "B", "2"])
    (('A', '1'), ('B', '2'))
    """
    return tuple(zip(texts[::2], texts[1::2], strict=True))
