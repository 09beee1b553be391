"""Socket options that both sides of the HTTP transport set."""

from __future__ import annotations

import socket

LOST_AFTER_MS = 2_000
PROBE_IDLE_S = 2
PROBE_EVERY_S = 1
PROBES = 2


def tune(*, sock: socket.socket, is_kept: bool) -> None:
    """No delay for small writes; on a connection that is kept, a silent other side is
    noticed within seconds. Sockets taken in by a listening one inherit what is set there."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if is_kept:  # else the call that it carries has its own time
        notice_loss(sock=sock, after_ms=LOST_AFTER_MS)


def notice_loss(*, sock: socket.socket, after_ms: int) -> None:
    """What is sent and not acknowledged for so long breaks the connection, and so does a
    peer that stays silent to the probes of an idle one. On a listening socket this holds
    for each connection that it accepts."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_KEEPIDLE", PROBE_IDLE_S),
        ("TCP_KEEPINTVL", PROBE_EVERY_S),
        ("TCP_KEEPCNT", PROBES),
        ("TCP_USER_TIMEOUT", after_ms),
    ):
        if hasattr(socket, name):
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)


def family_of(*, host: str) -> int:
    """
    >>> family_of(host="127.0.0.1") == socket.AF_INET, family_of(host="::1") == socket.AF_INET6
    (True, True)
    """
    return socket.AF_INET6 if ":" in host else socket.AF_INET
