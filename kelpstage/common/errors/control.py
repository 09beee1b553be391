"""Errors of the control plane: configuration writes, edge membership, cluster recovery."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

from kelpstage.common.errors.base import KelpstageError


@dataclass(frozen=True, kw_only=True)
class MissingIfMatchError(KelpstageError):
    """A configuration write does not state the version that it replaces."""

    kind: ClassVar[str] = "missing_if_match"
    why: str


@dataclass(frozen=True, kw_only=True)
class VersionMismatchError(KelpstageError):
    """A configuration write expects a version other than the current one."""

    kind: ClassVar[str] = "version_mismatch"
    expected: int
    current: int


@dataclass(frozen=True, kw_only=True)
class VersionNotAboveError(KelpstageError):
    """The version given in a configuration write is not above the current one."""

    kind: ClassVar[str] = "version_not_above"
    version: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutIdReusedError(KelpstageError):
    """The id of a configuration write was already used for a different document."""

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
    """The write may or may not be committed; a retry with the same id gets its outcome."""

    kind: ClassVar[str] = "unresolved"
    put_id: str
    why: str


@dataclass(frozen=True, kw_only=True)
class NoEdgeMajorityError(KelpstageError):
    """Too few voting edges are alive for a new configuration to take effect.

    `heard` is the number of voting members in contact, `membership` the number of all of them.
    """

    kind: ClassVar[str] = "no_edge_majority"
    heard: int
    membership: int

    def as_json(self) -> dict[str, Any]:
        """Return the fields under their public names; the membership is called `roster`."""
        return {"kind": self.kind, "heard": self.heard, "roster": self.membership}


@dataclass(frozen=True, kw_only=True)
class TooFewVotersError(KelpstageError):
    """There are fewer voters than a write needs to survive the losses to be tolerated."""

    kind: ClassVar[str] = "too_few_cores"
    voters: int
    needed: int


@dataclass(frozen=True, kw_only=True)
class NoLeaderError(KelpstageError):
    """No leader is known or reachable; the request may be retried at another replica."""

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
    """An edge with recent contact may not be removed from the membership."""

    kind: ClassVar[str] = "edge_still_here"
    edge: str
    heard_us_ago: int


@dataclass(frozen=True, kw_only=True)
class RolloutUnderWayError(KelpstageError):
    """Another rollout of the service, to version `target`, is rolling."""

    kind: ClassVar[str] = "rollout_under_way"
    service: str
    target: str


@dataclass(frozen=True, kw_only=True)
class UnknownRolloutError(KelpstageError):
    """No rollout of this service was ever ordered."""

    kind: ClassVar[str] = "unknown_rollout"
    service: str


@dataclass(frozen=True, kw_only=True)
class RecoveryRefusedError(KelpstageError):
    """The conditions do not allow the requested cluster recovery."""

    kind: ClassVar[str] = "salvage_refused"
    why: str
