"""The events that a replica processes and the effects that it returns."""

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
    """The kind of a log entry. The values are stored on disk and never change."""

    NOOP = 0  # first entry of a leader's term
    MEMBERSHIP = 1  # the members from this entry on
    COMMAND = 2  # input of the state machine


NOOP, MEMBERSHIP, COMMAND = EntryKind

# Messages with more entry data than this use a separate connection, so that smaller messages
# can overtake them.
LARGE_BYTES = 64 * 1024


class Role(enum.StrEnum):
    """The role of a replica in its term. Status views and metrics show the values."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"  # requests pre-votes without starting a new term
    CANDIDATE = "candidate"
    LEADER = "leader"


FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = Role


@dataclass(frozen=True, kw_only=True)
class Timing:
    """Timeouts and limits of Raft. Times are in microseconds."""

    heartbeat_us: int = 100_000
    election_low_us: int = 800_000
    election_high_us: int = 1_600_000
    # Election timeout in a process that has had no contact with a leader yet.
    startup_election_low_us: int = 150_000
    startup_election_high_us: int = 500_000
    sync_limit_us: int = 1_500_000
    batch_bytes: int = 256_000
    # A large message without a reply is sent again after this timeout plus the time that its
    # bytes take at this rate.
    large_timeout_us: int = 300_000
    large_bytes_per_us: float = 0.5


# --- events --------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Time has passed. A tick arrives every 20 ms."""


@dataclass(frozen=True, kw_only=True)
class Received:
    """A message from another replica has arrived."""

    message: Message


@dataclass(frozen=True, kw_only=True)
class Propose:
    """Append an entry. The result is `Proposed` or `NotLeader` with the same token."""

    kind: EntryKind
    data: bytes
    token: int


@dataclass(frozen=True, kw_only=True)
class ReadIndex:
    """Request a linearizable read. The result is `ReadReady` or `ReadLost` with the same token."""

    token: int


@dataclass(frozen=True, kw_only=True)
class Synced:
    """All writes up to this number are synced to disk."""

    number: int


@dataclass(frozen=True, kw_only=True)
class TransferLeadership:
    """Transfer leadership to the voter with the most complete log."""


@dataclass(frozen=True, kw_only=True)
class SnapshotTaken:
    """A snapshot of the state machine up to `index` is on disk."""

    index: int


@dataclass(frozen=True, kw_only=True)
class SnapshotFetched:
    """The snapshot that a leader offered has arrived.

    `leader_term` is the term of the offer, which may have ended in the meantime.
    """

    index: int
    term: int
    members: list[CoreMember]
    leader: str
    leader_term: int
    heartbeat: int


@dataclass(frozen=True, kw_only=True)
class JoinRequested:
    """A replica requests membership, or reports its new address."""

    member: CoreMember


@dataclass(frozen=True, kw_only=True)
class LeaveRequested:
    """A member is about to stop. It repeats the request until the leader grants it."""

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
    """A leader's reply to a member that is about to stop."""

    NOT_LEADER = 0
    WAIT = 1  # a replacement is in progress, or the other voters lack entries that it stores
    REPLACED = 2  # its removal is committed
    COPIED = 3  # no learner can replace it; the other voters store all of its entries


@dataclass(frozen=True, kw_only=True)
class LeaveStatus:
    """The state of a member's leave, and how many losses the voters tolerate without it."""

    state: LeaveState
    losses_borne: int = 0
    losses_wanted: int = 0


# --- effects ---------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class Send:
    """Send the message once all writes up to number `after` are synced."""

    to: CoreMember
    message: Message
    after: int


@dataclass(frozen=True, kw_only=True)
class Persist:
    """Write to the log: truncate it from `cut_from` on, append the entries, store the vote.

    `Synced` reports the number when the write is on disk.
    """

    number: int
    cut_from: int | None = None
    entries: list[LogEntry] = field(default_factory=list)
    term: int | None = None
    vote: str | None = None


@dataclass(frozen=True, kw_only=True)
class SaveSnapshot:
    """Store the fetched snapshot. The log continues after it with the entries of `tail`."""

    number: int
    term: int
    vote: str
    tail: list[LogEntry] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class Commit:
    """Apply these entries, which directly follow those applied before."""

    entries: list[LogEntry]


@dataclass(frozen=True, kw_only=True)
class ReadReady:
    """The read may be served from the state at `index` or later."""

    token: int
    index: int


@dataclass(frozen=True, kw_only=True)
class ReadLost:
    """The read cannot be served here because this replica is not the leader."""

    token: int


@dataclass(frozen=True, kw_only=True)
class Proposed:
    """The entry is appended to the leader's log and not committed yet."""

    token: int
    index: int
    term: int


@dataclass(frozen=True, kw_only=True)
class NotLeader:
    """Nothing was appended: this replica is not the leader, or is transferring leadership."""

    token: int


@dataclass(frozen=True, kw_only=True)
class RoleChanged:
    """The role of this replica has changed."""

    role: str
    term: int


@dataclass(frozen=True, kw_only=True)
class FetchOffered:
    """Fetch the snapshot that the leader of `leader_term` offers."""

    leader: str
    leader_address: str
    leader_term: int
    index: int
    term: int
    heartbeat: int


@dataclass(frozen=True, kw_only=True)
class MarginChanged:
    """The number of voters that can be lost now without losing the majority has changed."""

    losses_borne: int
    losses_wanted: int


@dataclass(frozen=True, kw_only=True)
class Removed:
    """This replica is no longer a member."""


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
    """Return the total size of the entries' data in bytes.

    >>> size_of([LogEntry(data=b"ab"), LogEntry(data=b"c")])
    3
    """
    return sum(len(entry.data) for entry in entries)


def is_large(entries: list[LogEntry]) -> bool:
    """Return true when the entries are sent on the connection for large messages.

    >>> is_large([LogEntry(data=bytes(LARGE_BYTES))]), is_large([LogEntry(data=b"x" * 70_000)])
    (False, True)
    """
    return size_of(entries) > LARGE_BYTES
