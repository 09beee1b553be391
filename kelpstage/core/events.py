"""Events that a core writes into its journal; their names and fields are public."""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.common.event_journal import Event


@dataclass(frozen=True, kw_only=True)
class Started(Event):
    """A replica was started, under this name."""

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
    """The members of the cluster changed: their addresses."""

    members: list[str]


@dataclass(frozen=True, kw_only=True)
class MarginNoted(Event):
    """How many more voters the cluster can lose while a majority remains."""

    losses_borne: int
    losses_wanted: int


@dataclass(frozen=True, kw_only=True)
class LeaveEnded(Event):
    """A planned stop has ended: the final state of this core's removal."""

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
    """No edge can serve an older epoch any longer, `after_us` after the proposal."""

    epoch: int
    after_us: int


@dataclass(frozen=True, kw_only=True)
class MembershipChanged(Event):
    """The membership of edges changed: their names."""

    membership: list[str]


@dataclass(frozen=True, kw_only=True)
class RolloutOrdered(Event):
    """An operator's order to move a service to another version is in the log."""

    service: str
    target: str
    over_us: int


@dataclass(frozen=True, kw_only=True)
class RolloutMoved(Event):
    """A rollout has another share (in thousandths) or condition; `why` is that of a revert."""

    service: str
    target: str
    condition: str
    share: int
    why: str


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
    """A snapshot transfer failed; the next starts after `again_after_us` at the earliest."""

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
    """A damaged replica was discarded; this core restarts under a new replica name."""

    path: str
    why: str
