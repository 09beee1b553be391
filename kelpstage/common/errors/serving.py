"""Errors of an edge that cannot complete a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, ClassVar

from kelpstage.common.errors.base import KelpstageError


@dataclass(frozen=True, kw_only=True)
class NotReadyError(KelpstageError):
    """This node may not serve requests at present: it has no lease or no configuration."""

    kind: ClassVar[str] = "not_ready"
    why: str


@dataclass(frozen=True, kw_only=True)
class OverloadedError(KelpstageError):
    """This node has too many requests in flight to admit another one."""

    kind: ClassVar[str] = "overloaded"
    in_flight: int


@dataclass(frozen=True, kw_only=True)
class CallerGoneError(KelpstageError):
    """The client closed its connection, or the parent node cancelled its query. This error is
    recorded in timelines and never sent."""

    kind: ClassVar[str] = "caller_gone"


@dataclass(frozen=True, kw_only=True)
class QuorumNotMetError(KelpstageError):
    """Fewer shards replied than the route requires."""

    kind: ClassVar[str] = "quorum_not_met"
    collection: str
    configuration: int
    shards_in: int
    quorum: int
    missing: list[Any] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class DeadlineExceededError(KelpstageError):
    """The deadline passed before a reply was complete."""

    kind: ClassVar[str] = "time_left_spent"
    where: str


@dataclass(frozen=True, kw_only=True)
class NoBackendError(KelpstageError):
    """No backend of the shard is eligible at present."""

    kind: ClassVar[str] = "no_backend"
    shard: str
    why: str
