"""Errors in what a backend answered, or in reaching it."""

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
    """A backend's reply that must not enter an answer."""

    kind: ClassVar[str] = "bad_reply"
    backend: str
    part: str
    why: str


@dataclass(frozen=True, kw_only=True)
class RequestNotRunError(KelpstageError):
    """The backend states that it did not run the request and never will."""

    kind: ClassVar[str] = "not_run"
    backend: str
    answer: int
    why: str


@dataclass(frozen=True, kw_only=True)
class BackendFailedError(KelpstageError):
    """The backend ran the request and answered with a failure."""

    kind: ClassVar[str] = "backend_failed"
    backend: str
    answer: int
