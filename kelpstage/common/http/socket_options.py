"""Socket options of the HTTP client and server."""

from __future__ import annotations

import socket

LOSS_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def configure_socket(*, sock: socket.socket, is_persistent: bool) -> None:
    """Disable Nagle's algorithm; on a persistent connection, detect a lost peer within seconds.

    Accepted sockets inherit the options of the listening socket.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if is_persistent:  # otherwise the deadline of its only call applies
        set_loss_timeout(sock=sock, timeout_ms=LOSS_TIMEOUT_MS)


def set_loss_timeout(*, sock: socket.socket, timeout_ms: int) -> None:
    """Fail the connection if sent data stays unacknowledged for `timeout_ms`, or if the peer
    does not answer the keepalive probes of an idle connection.

    Set on a listening socket, it applies to each connection that it accepts.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
        ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
        ("TCP_KEEPCNT", KEEPALIVE_PROBES),
        ("TCP_USER_TIMEOUT", timeout_ms),
    ):
        if hasattr(socket, name):
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)


def address_family(*, host: str) -> int:
    """The address family of a numeric host address.

    >>> address_family(host="127.0.0.1") == socket.AF_INET
    True
    >>> address_family(host="::1") == socket.AF_INET6
    True
    """
    return socket.AF_INET6 if ":" in host else socket.AF_INET
