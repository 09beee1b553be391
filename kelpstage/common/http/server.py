"""HTTP/1.1 server: persistent connections, pipelined requests answered in order.

An invalid request is rejected and its connection closed before any part of it reaches the
handler, which prevents request smuggling.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import AddressInUseError
from kelpstage.common.http.server_connection import OnCall, ServerConnection
from kelpstage.common.http.socket_options import address_family, configure_socket
from kelpstage.common.ports.interfaces import HttpLimits
from kelpstage.common.transport.address import split_address

BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 64  # connections accepted in one loop iteration
# Out of file descriptors or memory: the server accepts again after `ACCEPT_RETRY_S`.
RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
ACCEPT_RETRY_S = 0.1
SWEEP_INTERVAL_S = 1.0  # maximum time between two checks of timeouts


class HttpServer:
    """Serves calls at one address until it is closed; requests in flight are still answered."""

    def __init__(
        self,
        *,
        on_call: OnCall,
        limits: Callable[[], HttpLimits],
        cancels_on_disconnect: bool = False,
    ) -> None:
        """`cancels_on_disconnect`: cancel the handler of a request whose client disconnects.

        See `Net.serve_http`.
        """
        self.on_call = on_call
        self.limits = limits
        self.cancels_on_disconnect = cancels_on_disconnect
        self.is_closing = False
        self._connections: set[ServerConnection] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._sock: socket.socket | None = None

    async def open(self, *, address: str) -> KelpstageError | None:
        """Start listening; returns `AddressInUseError` if the address cannot be bound."""
        host, port = split_address(address=address)
        sock = socket.socket(address_family(host=host), socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            configure_socket(sock=sock, is_persistent=True)
            sock.bind((host, port))
            sock.listen(BACKLOG)
        except OSError as error:
            sock.close()
            return AddressInUseError(address=address, why=str(error))
        self._sock = sock
        self._listen()
        return None

    def close(self) -> None:
        """Stop accepting connections and close the idle ones.

        On the others the reply to the request in progress carries `Connection: close`.
        """
        if self._sock is None:
            return
        loop = asyncio.get_running_loop()
        while self._accept():  # connections in the listen queue may already hold a request
            pass
        loop.remove_reader(self._sock.fileno())
        self._sock.close()
        self._sock = None
        self.is_closing = True
        loop.call_soon(loop.call_soon, self._close_idle)  # received data is read first

    def abort(self) -> None:
        """Stop listening and close every connection at once."""
        self.close()
        for connection in list(self._connections):
            connection.abort()

    def open_connections(self) -> int:
        """The number of connections that are open or whose handler still runs."""
        return len(self._connections)

    def _listen(self) -> None:
        if self._sock is not None:
            asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept_pending)

    def _accept_pending(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Accept one connection; false if none is pending or resources are exhausted."""
        try:
            sock, _ = self._sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:
            if error.errno in RESOURCE_ERRORS:  # pause accepting; the listen queue waits
                loop = asyncio.get_running_loop()
                loop.remove_reader(self._sock.fileno())
                loop.call_later(ACCEPT_RETRY_S, self._listen)
            return False
        sock.setblocking(False)
        self._connections.add(ServerConnection(server=self, sock=sock))
        if self._sweep_timer is None:
            self._schedule_sweep()
        return True

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            if not connection.is_new():
                connection.close_if_idle()

    def forget(self, *, connection: ServerConnection) -> None:
        """Remove a closed connection whose handler has ended."""
        self._connections.discard(connection)

    def _schedule_sweep(self) -> None:
        limits = self.limits()
        least_us = min(limits.header_us, limits.idle_us)
        self._sweep_timer = asyncio.get_running_loop().call_later(
            min(SWEEP_INTERVAL_S, max(0.01, least_us / 2_000_000)), self._check_timeouts
        )

    def _check_timeouts(self) -> None:
        """Check the timeouts of all connections; the timer runs only while one is open."""
        self._sweep_timer = None
        if not self._connections:
            return
        now = asyncio.get_running_loop().time()
        limits = self.limits()
        for connection in list(self._connections):
            connection.check_timeouts(now=now, limits=limits)
        self._schedule_sweep()
