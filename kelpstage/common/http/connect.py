"""Opens connections for the HTTP client, within a deadline."""

from __future__ import annotations

import asyncio
import errno
import socket

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.http.client_connection import ClientConnection, close_reason
from kelpstage.common.http.deadlines import Deadlines
from kelpstage.common.http.socket_options import address_family, configure_socket
from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.common.transport.address import split_address

# Local errors: the connect failed on this machine, whatever the state of the server.
LOCAL_ERRORS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.EADDRNOTAVAIL,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EACCES,
        errno.EPERM,
    )
)


async def open_connection(
    *, deadlines: Deadlines, call: HttpCall, address: str, deadline: float
) -> ClientConnection | KelpstageError:
    """Connect before `deadline` (in loop time); if an error is returned, nothing was sent."""
    try:
        host, port = split_address(address=address)
        sock = socket.socket(address_family(host=host), socket.SOCK_STREAM)
    except (OSError, ValueError) as error:
        return ConnectionLostError(address=address, why=close_reason(error=error), was_sent=False)
    try:
        sock.setblocking(False)
        configure_socket(sock=sock, is_persistent=call.connection_limit > 0)
        number = sock.connect_ex((host, port))
        if number == errno.EINPROGRESS:
            if not await _is_writable(sock=sock, deadlines=deadlines, deadline=deadline):
                sock.close()
                return ReplyTimeoutError(address=address, after_us=call.wait_us, was_sent=False)
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            sock.close()
            return _connect_error(number=number, address=address, wait_us=call.wait_us)
        return ClientConnection(deadlines=deadlines, address=address, sock=sock)
    except (OSError, ValueError, OverflowError) as error:
        sock.close()
        return ConnectionLostError(address=address, why=close_reason(error=error), was_sent=False)
    except BaseException:
        sock.close()
        raise


async def _is_writable(*, sock: socket.socket, deadlines: Deadlines, deadline: float) -> bool:
    """Wait until the connect has completed or failed; false if the deadline passed first."""
    loop = asyncio.get_running_loop()
    future: asyncio.Future[bool] = loop.create_future()

    def note(is_open: bool) -> None:
        if not future.done():
            future.set_result(is_open)

    loop.add_writer(sock.fileno(), note, True)
    entry = deadlines.schedule(when=deadline, callback=lambda: note(False))
    try:
        return await future
    finally:
        loop.remove_writer(sock.fileno())
        deadlines.cancel(entry=entry)


def _connect_error(*, number: int, address: str, wait_us: int) -> KelpstageError:
    """The error for a failed connect; nothing was sent in any case.

    >>> _connect_error(number=errno.ECONNREFUSED, address="a", wait_us=1).kind
    'connect_refused'
    >>> _connect_error(number=errno.EMFILE, address="a", wait_us=1).was_sent
    False
    """
    if number in LOCAL_ERRORS:
        return ConnectionLostError(
            address=address, why=errno.errorcode.get(number, ""), was_sent=False
        )
    if number == errno.ETIMEDOUT:
        return ReplyTimeoutError(address=address, after_us=wait_us, was_sent=False)
    return ConnectError(address=address)
