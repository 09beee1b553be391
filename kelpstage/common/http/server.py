"""HTTP/1.1 in: connections that are kept, requests that are answered in their order.

What is no request in the protocol is refused and its connection closed before
anything of it is handed on, so that nothing can hide behind it.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import AddressInUseError
from kelpstage.common.http.server_connection import OnCall, ServerConnection
from kelpstage.common.http.socket_options import family_of, tune
from kelpstage.common.ports.interfaces import HttpLimits
from kelpstage.common.transport.address import split_address

BACKLOG = 1024
ACCEPTS_AT_ONCE = 64  # at most so many in one turn of the loop
# No descriptors or no memory: the next connection is accepted after `FULL_WAIT_S`.
FULL_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
FULL_WAIT_S = 0.1
SWEEP_S = 1.0  # how often connections are looked at for what takes too long


class HttpServer:
    """Takes calls at one address until it is closed; open requests are still answered."""

    def __init__(
        self, *, on_call: OnCall, limits: Callable[[], HttpLimits], is_cancelling: bool = False
    ) -> None:
        """`is_cancelling`: a request whose caller has left is cancelled (`Net.serve_http`)."""
        self.on_call = on_call
        self.limits = limits
        self.is_cancelling = is_cancelling
        self.is_closing = False
        self._connections: set[ServerConnection] = set()
        self._sweep: asyncio.TimerHandle | None = None
        self._sock: socket.socket | None = None

    async def open(self, *, address: str) -> KelpstageError | None:
        """Start to listen; `AddressInUseError` if the address cannot be bound."""
        host, port = split_address(address=address)
        sock = socket.socket(family_of(host=host), socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            tune(sock=sock, is_kept=True)
            sock.bind((host, port))
            sock.listen(BACKLOG)
        except OSError as error:
            sock.close()
            return AddressInUseError(address=address, why=str(error))
        self._sock = sock
        self._listen()
        return None

    def close(self) -> None:
        """Stop taking connections in. Idle ones end; on the others the answer in work
        says that it is the last."""
        if self._sock is None:
            return
        loop = asyncio.get_running_loop()
        while self._accept():  # those that the kernel has taken in may have sent something
            pass
        loop.remove_reader(self._sock.fileno())
        self._sock.close()
        self._sock = None
        self.is_closing = True
        loop.call_soon(loop.call_soon, self._close_idle)  # what has arrived is read first

    def abort(self) -> None:
        """End everything at once."""
        self.close()
        for connection in list(self._connections):
            connection.abort()

    def open_connections(self) -> int:
        """How many connections are open or still in work."""
        return len(self._connections)

    def _listen(self) -> None:
        if self._sock is not None:
            asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept_some)

    def _accept_some(self) -> None:
        for _ in range(ACCEPTS_AT_ONCE):
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Take one connection in; false if there is none or no room for one."""
        try:
            sock, _ = self._sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            if error.errno in FULL_ERRORS:  # no descriptors or memory: the queue waits a moment
                loop = asyncio.get_running_loop()
                loop.remove_reader(self._sock.fileno())
                loop.call_later(FULL_WAIT_S, self._listen)
            return False
        sock.setblocking(False)
        self._connections.add(ServerConnection(server=self, sock=sock))
        if self._sweep is None:
            self._arm()
        return True

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            if not connection.is_new():
                connection.close_if_idle()

    def forget(self, *, connection: ServerConnection) -> None:
        """A connection has ended, and nothing of it is in work."""
        self._connections.discard(connection)

    def _arm(self) -> None:
        limits = self.limits()
        least_us = min(limits.header_us, limits.idle_us)
        self._sweep = asyncio.get_running_loop().call_later(
            min(SWEEP_S, max(0.01, least_us / 2_000_000)), self._check_time
        )

    def _check_time(self) -> None:
        """Ticks only while a connection is open."""
        self._sweep = None
        if not self._connections:
            return
        now = asyncio.get_running_loop().time()
        limits = self.limits()
        for connection in list(self._connections):
            connection.check_time(now=now, limits=limits)
        self._arm()
