"""What a core writes into its journal."""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.base.journal import Event


@dataclass(frozen=True, kw_only=True)
class Started(Event):
    replica: str


@dataclass(frozen=True, kw_only=True)
class Founded(Event):
    cluster: str


@dataclass(frozen=True, kw_only=True)
class JoinedCluster(Event):
    cluster: str


@dataclass(frozen=True, kw_only=True)
class RoleTaken(Event):
    role: str
    term: int


@dataclass(frozen=True, kw_only=True)
class MembersChanged(Event):
    members: list


@dataclass(frozen=True, kw_only=True)
class MarginNoted(Event):
    """How many voters the leader could lose from then on with a majority left."""

    losses_borne: int
    losses_wanted: int


@dataclass(frozen=True, kw_only=True)
class LeaveEnded(Event):
    """A planned stop: how the others let this core go."""

    state: str
    losses_borne: int
    losses_wanted: int


@dataclass(frozen=True, kw_only=True)
class PutDecided(Event):
    put_id: str
    outcome: str
    version: int


@dataclass(frozen=True, kw_only=True)
class EpochSettled(Event):
    epoch: int
    after_us: int


@dataclass(frozen=True, kw_only=True)
class RosterChanged(Event):
    roster: list


@dataclass(frozen=True, kw_only=True)
class SnapshotKept(Event):
    index: int


@dataclass(frozen=True, kw_only=True)
class SnapshotInstalled(Event):
    """A snapshot that another core served has replaced this replica's state."""

    index: int


@dataclass(frozen=True, kw_only=True)
class SnapshotFetchFailed(Event):
    """A transfer of a snapshot broke off; the next begins at the earliest after this."""

    index: int
    again_after_us: int


@dataclass(frozen=True, kw_only=True)
class DiskFailed(Event):
    path: str
    op: str
    why: str


@dataclass(frozen=True, kw_only=True)
class SetAside(Event):
    path: str
    why: str
