"""Events that a core writes into its journal; their names and fields are public."""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.common.event_journal import Event


@dataclass(frozen=True, kw_only=True)
class Started(Event):
    """The daemon runs, under this replica name."""

    replica: str


@dataclass(frozen=True, kw_only=True)
class Founded(Event):
    """A new cluster was founded on this disk."""

    cluster: str


@dataclass(frozen=True, kw_only=True)
class JoinedCluster(Event):
    """This core was admitted to a cluster."""

    cluster: str


@dataclass(frozen=True, kw_only=True)
class RoleTaken(Event):
    """The replica changed its Raft role."""

    role: str
    term: int


@dataclass(frozen=True, kw_only=True)
class MembersChanged(Event):
    """The cluster has other members: their addresses."""

    members: list[str]


@dataclass(frozen=True, kw_only=True)
class MarginNoted(Event):
    """How many voters the leader can lose from now on with a majority left."""

    losses_borne: int
    losses_wanted: int


@dataclass(frozen=True, kw_only=True)
class LeaveEnded(Event):
    """A planned stop has ended: how far the others had let this core leave."""

    state: str
    losses_borne: int
    losses_wanted: int


@dataclass(frozen=True, kw_only=True)
class PutDecided(Event):
    """The log decided a write."""

    put_id: str
    outcome: str
    version: int


@dataclass(frozen=True, kw_only=True)
class EpochSettled(Event):
    """No edge can serve an older epoch any more, `after_us` after its proposal."""

    epoch: int
    after_us: int


@dataclass(frozen=True, kw_only=True)
class MembershipChanged(Event):
    """The membership of edges changed: their names."""

    membership: list[str]


@dataclass(frozen=True, kw_only=True)
class SnapshotKept(Event):
    """A snapshot up to this log index is on disk."""

    index: int


@dataclass(frozen=True, kw_only=True)
class SnapshotInstalled(Event):
    """A snapshot that another core served has replaced this replica's state."""

    index: int


@dataclass(frozen=True, kw_only=True)
class SnapshotFetchFailed(Event):
    """A transfer of a snapshot failed; the next begins at the earliest after this."""

    index: int
    again_after_us: int


@dataclass(frozen=True, kw_only=True)
class DiskFailed(Event):
    """An operation on the disk failed; the replica is rebuilt from the disk."""

    path: str
    op: str
    why: str


@dataclass(frozen=True, kw_only=True)
class SetAside(Event):
    """A damaged replica was set aside; this core comes back under a new name."""

    path: str
    why: str
