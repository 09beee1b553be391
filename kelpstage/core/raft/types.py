"""Events that a replica takes in and effects that it gives out."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from kelpstage.common.transport.messages import (
    AppendEntries,
    AppendEntriesReply,
    CoreMember,
    InstallSnapshot,
    LogEntry,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)

Message = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | TimeoutNow
)


class EntryKind(enum.IntEnum):
    """What an entry of the log holds; the numbers stand on disk and never change."""

    NOOP = 0  # the first of a leader's term
    MEMBERSHIP = 1  # the members from here on
    COMMAND = 2  # for the state machine


NOOP, MEMBERSHIP, COMMAND = EntryKind

# Messages whose entries are larger go by another connection, which smaller ones overtake.
LARGE_BYTES = 64 * 1024


class Role(enum.StrEnum):
    """What a replica is in its term; the values stand in status views and metrics."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"  # asks whether it could win, without a new term
    CANDIDATE = "candidate"
    LEADER = "leader"


FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = Role


@dataclass(frozen=True, kw_only=True)
class Timing:
    """Timeouts and limits of Raft; times in microseconds."""

    heartbeat_us: int = 100_000
    election_low_us: int = 800_000
    election_high_us: int = 1_600_000
    wake_low_us: int = 150_000  # in a process that had no contact to a leader yet
    wake_high_us: int = 500_000
    sync_limit_us: int = 1_500_000
    batch_bytes: int = 256_000
    large_lost_us: int = 300_000  # unanswered for so long, a large message is sent again,
    large_bytes_per_us: float = 0.5  # and for what its bytes take at this rate


# --- events --------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Time has passed; it comes every 20 ms."""


@dataclass(frozen=True, kw_only=True)
class Received:
    """A message of another replica."""

    message: Message


@dataclass(frozen=True, kw_only=True)
class Propose:
    """Append an entry; `Proposed` or `NotLeader` answers with the token."""

    kind: EntryKind
    data: bytes
    token: int


@dataclass(frozen=True, kw_only=True)
class ReadIndex:
    """Tell me (by `ReadReady`) when this leader is confirmed as of now."""

    token: int


@dataclass(frozen=True, kw_only=True)
class Synced:
    """All that was persisted up to this number is on disk for good."""

    number: int


@dataclass(frozen=True, kw_only=True)
class TransferLeadership:
    """Give leadership to the voter that is furthest on."""


@dataclass(frozen=True, kw_only=True)
class SnapshotTaken:
    """The state machine's state up to `index` is on disk as a snapshot."""

    index: int


@dataclass(frozen=True, kw_only=True)
class SnapshotFetched:
    """The snapshot that a leader offered has arrived; `leader_term` is the term of that
    offer, which may be over by now."""

    index: int
    term: int
    members: list[CoreMember]
    leader: str
    leader_term: int
    heartbeat: int


@dataclass(frozen=True, kw_only=True)
class JoinRequested:
    """A replica requests membership, or states its new address."""

    member: CoreMember


@dataclass(frozen=True, kw_only=True)
class LeaveRequested:
    """A member is about to stop; it repeats the request until that is granted."""

    replica: str


Event = (
    Tick
    | Received
    | Propose
    | ReadIndex
    | Synced
    | TransferLeadership
    | SnapshotTaken
    | SnapshotFetched
    | JoinRequested
    | LeaveRequested
)


class LeaveState(enum.IntEnum):
    """What a leader says to a member that is about to stop."""

    NOT_LEADER = 0
    WAIT = 1  # a replacement is under way, or the others lack what it holds
    REPLACED = 2  # its removal is committed
    COPIED = 3  # none can replace it; the others hold all that it holds


@dataclass(frozen=True, kw_only=True)
class LeaveStatus:
    """How far a leaving has come, and how many further losses the log then bears."""

    state: LeaveState
    losses_borne: int = 0
    losses_wanted: int = 0


# --- effects ---------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class Send:
    """Send once everything persisted up to `after` is synced."""

    to: CoreMember
    message: Message
    after: int


@dataclass(frozen=True, kw_only=True)
class Persist:
    """Write to the log: first drop from `cut_from` on, then the entries, then
    the vote; `number` comes back in `Synced`."""

    number: int
    cut_from: int | None = None
    entries: list[LogEntry] = field(default_factory=list)
    term: int | None = None
    vote: str | None = None


@dataclass(frozen=True, kw_only=True)
class SaveSnapshot:
    """Keep the fetched snapshot; the log goes on behind it with the entries of `tail`."""

    number: int
    term: int
    vote: str
    tail: list[LogEntry] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class Commit:
    """Apply these entries, which follow those applied before."""

    entries: list[LogEntry]


@dataclass(frozen=True, kw_only=True)
class ReadReady:
    """The read may be answered from the state as of `index` or later."""

    token: int
    index: int


@dataclass(frozen=True, kw_only=True)
class ReadLost:
    """The read cannot be answered here: this replica does not lead."""

    token: int


@dataclass(frozen=True, kw_only=True)
class Proposed:
    """The entry is in the leader's log, not committed yet."""

    token: int
    index: int
    term: int


@dataclass(frozen=True, kw_only=True)
class NotLeader:
    """Nothing was proposed: this replica does not lead, or is handing the lead on."""

    token: int


@dataclass(frozen=True, kw_only=True)
class RoleChanged:
    """This replica has another role from now on."""

    role: str
    term: int


@dataclass(frozen=True, kw_only=True)
class FetchOffered:
    """Fetch the snapshot that the leader of a term offers."""

    leader: str
    leader_address: str
    leader_term: int
    index: int
    term: int
    heartbeat: int


@dataclass(frozen=True, kw_only=True)
class MarginChanged:
    """How many voters the leader can lose now and still have a majority."""

    losses_borne: int
    losses_wanted: int


@dataclass(frozen=True, kw_only=True)
class Removed:
    """This replica is in no configuration any more."""


Effect = (
    Send
    | Persist
    | SaveSnapshot
    | Commit
    | ReadReady
    | ReadLost
    | Proposed
    | NotLeader
    | RoleChanged
    | FetchOffered
    | MarginChanged
    | Removed
)


def size_of(entries: list[LogEntry]) -> int:
    """The bytes of the entries' data.

    >>> size_of([LogEntry(data=b"ab"), LogEntry(data=b"c")])
    3
    """
    return sum(len(entry.data) for entry in entries)


def is_large(entries: list[LogEntry]) -> bool:
    """Do these entries go by the connection for large messages?

    >>> is_large([LogEntry(data=bytes(LARGE_BYTES))]), is_large([LogEntry(data=b"x" * 70_000)])
    (False, True)
    """
    return size_of(entries) > LARGE_BYTES
