"""Errors of the control plane: configuration writes, membership of edges, recovery."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

from kelpstage.common.errors.base import KelpstageError


@dataclass(frozen=True, kw_only=True)
class MissingIfMatchError(KelpstageError):
    """A configuration write does not name the version that it replaces."""

    kind: ClassVar[str] = "missing_if_match"
    why: str


@dataclass(frozen=True, kw_only=True)
class VersionMismatchError(KelpstageError):
    """A configuration write replaces another version than the one in force."""

    kind: ClassVar[str] = "version_mismatch"
    expected: int
    current: int


@dataclass(frozen=True, kw_only=True)
class VersionNotAboveError(KelpstageError):
    """The version given to a configuration write is not above the one in force."""

    kind: ClassVar[str] = "version_not_above"
    version: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutIdReusedError(KelpstageError):
    """The id of a configuration write was used for another document before."""

    kind: ClassVar[str] = "put_id_reused"
    put_id: str
    why: str


@dataclass(frozen=True, kw_only=True)
class UnknownPutError(KelpstageError):
    """No configuration write with this id is known."""

    kind: ClassVar[str] = "unknown_put"
    put_id: str


@dataclass(frozen=True, kw_only=True)
class WriteUnresolvedError(KelpstageError):
    """The write may be in the log or not; repeat it with the same id to learn which."""

    kind: ClassVar[str] = "unresolved"
    put_id: str
    why: str


@dataclass(frozen=True, kw_only=True)
class NoEdgeMajorityError(KelpstageError):
    """Too few voting edges are alive for a new configuration to settle.

    `heard` is how many of the voting members have reported, `membership` how many there are.
    """

    kind: ClassVar[str] = "no_edge_majority"
    heard: int
    membership: int

    def as_json(self) -> dict[str, Any]:
        """The fields under their public names: the membership is called `roster` there."""
        return {"kind": self.kind, "heard": self.heard, "roster": self.membership}


@dataclass(frozen=True, kw_only=True)
class TooFewVotersError(KelpstageError):
    """Fewer voters than a write needs to survive the losses to be tolerated."""

    kind: ClassVar[str] = "too_few_cores"
    voters: int
    needed: int


@dataclass(frozen=True, kw_only=True)
class NoLeaderError(KelpstageError):
    """No leader is known or reached; another replica may be tried."""

    kind: ClassVar[str] = "no_leader"
    why: str


@dataclass(frozen=True, kw_only=True)
class NoConfigurationError(KelpstageError):
    """No configuration has been committed yet."""

    kind: ClassVar[str] = "no_configuration"
    why: str


@dataclass(frozen=True, kw_only=True)
class UnknownEdgeError(KelpstageError):
    """The membership has no edge of this name."""

    kind: ClassVar[str] = "unknown_edge"
    edge: str


@dataclass(frozen=True, kw_only=True)
class EdgeAliveError(KelpstageError):
    """An edge that was heard from lately may not be removed from the membership."""

    kind: ClassVar[str] = "edge_still_here"
    edge: str
    heard_us_ago: int


@dataclass(frozen=True, kw_only=True)
class RecoveryRefusedError(KelpstageError):
    """A cluster recovery was asked for under conditions that do not allow it."""

    kind: ClassVar[str] = "salvage_refused"
    why: str
