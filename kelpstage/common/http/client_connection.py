"""A connection of the HTTP client and its state machine."""

from __future__ import annotations

import asyncio
import enum
import socket
from typing import Protocol

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectionLostError, ReplyTimeoutError
from kelpstage.common.http.connection import READ_BUFFER, WOULD_BLOCK, Connection
from kelpstage.common.http.deadlines import Deadlines
from kelpstage.common.http.reply_parser import ReplyParser
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Owner

MAX_REPLY_BYTES = 16 * 1024 * 1024  # limit on a whole reply
MAX_HEAD_BYTES = 256 * 1024  # limit on the head of a reply
INVALID_REPLY = "invalid HTTP reply"
SWEEP_INTERVAL_S = 1.0  # minimum time between two checks for expired connections


class IllegalTransition(Exception):
    """A connection was used in a way that its state does not allow: a programming error."""


class State(enum.IntEnum):
    """State of a client connection.

    `docs/notes/control/calls.md` has the table of transitions with their events.
    """

    LEASED = 0  # assigned to a call; no byte has been passed to the kernel yet
    SENDING = 1  # the kernel has, or may accept at any time, a part of the request
    SENT = 2  # the kernel has the whole request
    RECEIVING = 3  # some bytes of a reply were received
    IDLE = 4  # the reply was complete, with no data left over; can be leased again
    CLOSED = 5  # final


LEASED, SENDING, SENT, RECEIVING, IDLE, CLOSED = State
ALLOWED_TRANSITIONS: dict[State, frozenset[State]] = {
    LEASED: frozenset((SENDING, SENT, IDLE, CLOSED)),
    SENDING: frozenset((SENT, RECEIVING, CLOSED)),
    SENT: frozenset((RECEIVING, CLOSED)),
    RECEIVING: frozenset((IDLE, CLOSED)),
    IDLE: frozenset((LEASED, CLOSED)),
    CLOSED: frozenset(),
}


def close_reason(*, error: BaseException | None) -> str:
    """A short text for the reason why a connection was closed.

    >>> close_reason(error=None), close_reason(error=ConnectionResetError())
    ('closed', 'ConnectionResetError')
    """
    if error is None:
        return "closed"
    return getattr(error, "strerror", None) or type(error).__name__


class ConnectionPool(Protocol):
    """The part of a pool that its connections use."""

    def release(self, *, connection: "ClientConnection") -> None:
        """Return a connection whose call has ended and which can be used again."""

    def forget(self, *, connection: "ClientConnection") -> None:
        """Remove a closed connection."""


class ClientConnection:
    """A connection and the call that it carries, if any.

    Invariants: a call has exclusive use of the connection from lease to outcome. Every outcome
    closes the connection unless the reply was complete, belonged to the call and was the only
    one, and no part of the request was left unsent.
    """

    def __init__(self, *, deadlines: Deadlines, address: str, sock: socket.socket) -> None:
        self.state = LEASED
        self._deadlines = deadlines
        self._address = address
        self._socket: Connection | None = Connection(sock=sock, owner=self)
        self._parser = ReplyParser()
        self.pool: ConnectionPool | None = None
        self.reusable_until = 0.0
        self._future: asyncio.Future[HttpReply | KelpstageError] | None = None
        self._call: HttpCall | None = None
        self._received_size = 0
        self._request_size = 0
        self._is_reusable = True  # false once a reply to another call was received

    def _transition(self, state: State) -> None:
        if state not in ALLOWED_TRANSITIONS[self.state]:
            raise IllegalTransition(f"{self.state.name} to {state.name}")
        self.state = state

    # --- one exchange ---------------------------------------------------------------

    async def exchange(
        self, *, call: HttpCall, data: bytes, deadline: float
    ) -> HttpReply | KelpstageError:
        """Send a request and wait for its reply. Cancelling closes the connection."""
        if self._socket is None or not self._socket.is_open():
            self.close()
            return ConnectionLostError(address=self._address, why="closed", was_sent=False)
        future = self._future = asyncio.get_running_loop().create_future()
        self._call = call
        self._received_size = 0
        self._parser.begin(method=call.method)
        try:
            sent = self._socket.sock.send(data)
        except WOULD_BLOCK:
            sent = 0
        except OSError as error:  # the kernel accepted no byte of it
            self._future = self._call = None
            self.close()
            return ConnectionLostError(
                address=self._address, why=close_reason(error=error), was_sent=False
            )
        self._request_size = len(data)
        if sent == self._request_size:
            self._transition(SENT)
        else:
            self._transition(SENDING)
            self._socket.write(data[sent:])
        entry = self._deadlines.schedule(when=deadline, callback=self._on_deadline)
        try:
            return await future
        except asyncio.CancelledError:
            if self._future is future:  # otherwise the call has ended; another may be in flight
                self._future = self._call = None
                self.close()
            raise
        finally:
            self._deadlines.cancel(entry=entry)

    def _on_deadline(self) -> None:
        if self._call is None:
            return
        was_sent = self._socket.unsent() < self._request_size
        self._finish(
            outcome=ReplyTimeoutError(
                address=self._address, after_us=self._call.wait_us, was_sent=was_sent
            ),
            is_reusable=False,
        )

    def _finish(self, *, outcome: HttpReply | KelpstageError, is_reusable: bool) -> None:
        future, self._future, self._call = self._future, None, None
        self._parser.clear()
        if future is not None and not future.done():
            future.set_result(outcome)
        if not is_reusable:
            self.close()
            return
        self.reusable_until = asyncio.get_running_loop().time() + self._parser.reuse_s
        self.return_to_pool()

    def _fail(self, *, why: str) -> None:
        self._finish(outcome=ConnectionLostError(address=self._address, why=why), is_reusable=False)

    # --- leases ------------------------------------------------------------------------

    def lease(self) -> bool:
        """Lease the connection for a call; true if it is still usable.

        It is unusable if bytes or the end of the stream have arrived since the last reply; the
        caller then has to close it.
        """
        if self._socket is None or not self._socket.is_open():
            return False
        try:
            self._socket.sock.recv(1, socket.MSG_PEEK)
        except WOULD_BLOCK:
            self._transition(LEASED)
            return True
        except OSError:
            return False
        return False

    def return_to_pool(self) -> None:
        """End a lease whose exchange is complete or which sent nothing."""
        if self.pool is None:
            self.close()
            return
        self._transition(IDLE)
        self.pool.release(connection=self)

    # --- the socket --------------------------------------------------------------------

    def close(self) -> None:
        """Close the connection at once and drop unsent data."""
        if self.state != CLOSED:
            self._transition(CLOSED)
        if self._socket is not None:
            self._socket.abort()
        self._leave_pool()

    def _leave_pool(self) -> None:
        pool, self.pool = self.pool, None
        if pool is not None:
            pool.forget(connection=self)

    def on_closed(self, error: OSError | None) -> None:
        """Handle the closed socket: a call in flight fails."""
        if self._future is not None:
            self._fail(
                why="incomplete reply" if self._parser.is_in_message else close_reason(error=error)
            )
        if self.state != CLOSED:
            self._transition(CLOSED)
        self._leave_pool()
        self._socket = None

    def on_eof(self) -> bool:
        """Handle the end of the server's stream, which completes a reply without a length.

        Returns false: the connection is then closed.
        """
        self._parser.end()
        if self._parser.replies and self._future is not None and not self._future.done():
            self._handle_replies(is_broken=False)
        return False

    def on_drained(self) -> None:
        """Handle an empty send buffer: the kernel has accepted all written data."""
        if self.state == SENDING:
            self._transition(SENT)

    def on_data(self, size: int) -> None:
        """Parse the `size` received bytes in `READ_BUFFER`."""
        if self._future is None or self._future.done():
            self.close()  # unsolicited bytes
            return
        if self.state != RECEIVING:
            self._transition(RECEIVING)
        self._received_size += size
        is_broken = self._parser.feed(data=READ_BUFFER[:size])
        if self._parser.replies:
            self._handle_replies(is_broken=is_broken)
        elif is_broken:
            self._fail(why=INVALID_REPLY)
        elif self._received_size > MAX_REPLY_BYTES or (
            self._parser.is_in_head() and self._received_size > MAX_HEAD_BYTES
        ):
            self._fail(why="reply exceeds the size limit")

    def _handle_replies(self, *, is_broken: bool) -> None:
        """Finish the call with the reply that belongs to it, if it was received.

        Replies to other calls are skipped, and a connection that carried one is not used again.
        """
        owner_of, parser = self._call.reply_owner, self._parser
        for reply in parser.replies:
            owner = Owner.OURS if owner_of is None else owner_of(reply)
            if owner == Owner.OTHERS:
                continue
            is_alone = len(parser.replies) == 1 and not parser.is_in_message and not is_broken
            is_reusable = is_alone and owner == Owner.OURS and not self._socket.unsent()
            self._finish(
                outcome=reply,
                is_reusable=is_reusable and parser.is_persistent and self._is_reusable,
            )
            return
        self._is_reusable = False
        parser.replies = []
        if is_broken:
            self._fail(why=INVALID_REPLY)
