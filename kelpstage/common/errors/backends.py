"""Errors in the replies of a backend, or in the connection to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from kelpstage.common.errors.base import KelpstageError


@dataclass(frozen=True, kw_only=True)
class BackendConnectionError(KelpstageError):
    """The connection to a backend failed after the request may have run."""

    kind: ClassVar[str] = "backend_lost"
    backend: str
    cause: str


@dataclass(frozen=True, kw_only=True)
class InvalidReplyError(KelpstageError):
    """A backend's reply is invalid and is not merged into a result."""

    kind: ClassVar[str] = "bad_reply"
    backend: str
    part: str
    why: str


@dataclass(frozen=True, kw_only=True)
class RequestNotRunError(KelpstageError):
    """The backend reports that it has not run the request and never will."""

    kind: ClassVar[str] = "not_run"
    backend: str
    answer: int
    why: str


@dataclass(frozen=True, kw_only=True)
class BackendFailedError(KelpstageError):
    """The backend ran the request and replied with a failure."""

    kind: ClassVar[str] = "backend_failed"
    backend: str
    answer: int
