"""Errors of connections, both over HTTP and between edges and cores."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from kelpstage.common.errors.base import KelpstageError


@dataclass(frozen=True, kw_only=True)
class ConnectError(KelpstageError):
    """The connection could not be opened: nothing reached the other side."""

    kind: ClassVar[str] = "connect_refused"
    address: str


@dataclass(frozen=True, kw_only=True)
class ConnectionLostError(KelpstageError):
    """The connection was lost; the other side may have received the message.

    With `was_sent` false, no byte of it can have reached the other side.
    """

    kind: ClassVar[str] = "line_lost"
    address: str
    why: str = ""
    was_sent: bool = True


@dataclass(frozen=True, kw_only=True)
class ReplyTimeoutError(KelpstageError):
    """No reply within `after_us` microseconds; `was_sent` as in `ConnectionLostError`."""

    kind: ClassVar[str] = "wait_over"
    address: str
    after_us: int
    was_sent: bool = True


@dataclass(frozen=True, kw_only=True)
class InvalidFrameError(KelpstageError):
    """Bytes on a transport connection are not a valid frame, or not a known message."""

    kind: ClassVar[str] = "bad_frame"
    address: str
    why: str


@dataclass(frozen=True, kw_only=True)
class ProtocolVersionError(KelpstageError):
    """The other process uses another version of the transport protocol."""

    kind: ClassVar[str] = "wire_mismatch"
    address: str
    ours: int
    theirs: int


@dataclass(frozen=True, kw_only=True)
class AddressInUseError(KelpstageError):
    """A listening socket cannot be bound to its address."""

    kind: ClassVar[str] = "address_taken"
    address: str
    why: str
