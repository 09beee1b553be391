"""The complete state of a replica, and the effects of the event that it is processing.

The field names follow figure 2 of the Raft paper; further fields belong to this
implementation. Each module of this package changes one part of the state and documents the
invariants of that part. `RaftState.check` raises `InvariantViolated` when one of these does
not hold after an event: the term and the commit index never decrease, every committed entry
is in the log or in the snapshot before it, and the durable index is at most the last index.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from kelpstage.common.transport.messages import CoreMember, LogEntry
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.raft.members import MemberList
from kelpstage.core.raft.pending_writes import PendingWrites
from kelpstage.core.raft.types import (
    FOLLOWER,
    LEADER,
    Effect,
    Message,
    Persist,
    Role,
    Send,
    Timing,
)

NEVER_US = -(10**12)


class InvariantViolated(Exception):
    """The replica is in a state that Raft cannot reach, and must stop."""


@dataclass(kw_only=True)
class Progress:
    """A leader's replication state for one other replica.

    A catch-up round (thesis, 4.2.1) ends when the replica stores every entry that was
    committed when the round began.
    """

    next_index: int
    match_index: int = 0
    last_contact_us: int = 0
    sent_us: int = -1_000_000
    heartbeat: int = 0
    is_probing: bool = True
    is_reply_pending: bool = False  # entries were sent and no reply was received since
    large_first_index: int = 0  # entries of the large message that is in flight
    large_last_index: int = 0
    large_deadline_us: int = 0  # after this time the message counts as lost
    round_target: int = 0
    round_began_us: int = 0
    round_took_us: int | None = None  # duration of the last completed round


@dataclass(frozen=True, kw_only=True)
class PendingRead:
    """A read at `index` that waits until a majority has replied to `heartbeat`."""

    token: int
    heartbeat: int
    index: int


@dataclass(kw_only=True)
class RaftState:
    """The state that all modules of this package share."""

    me: str
    cluster: str
    rand: random.Random
    timing: Timing
    voters_wanted: int
    now_us: int

    # Persistent: written to disk before any reply that depends on it is sent.
    term: int
    vote: str
    log: MemoryLog
    members: MemberList
    writes: PendingWrites

    # Volatile, on every replica.
    commit_index: int
    role: Role = FOLLOWER
    leader: str = ""
    leader_address: str = ""
    last_leader: str = ""  # the last leader that made contact, and when
    last_leader_contact_us: int = NEVER_US
    election_due_us: int = 0
    started_with_log: bool = False
    has_been_member: bool = False

    # Volatile, on a candidate.
    votes: set[str] = field(default_factory=set)
    self_vote_number: int = 0  # number of the write that stores its vote for itself

    # Volatile, on a leader.
    progress: dict[str, Progress] = field(default_factory=dict)
    leader_since_us: int = 0
    heartbeat: int = 0
    heartbeat_due_us: int = 0
    reads: list[PendingRead] = field(default_factory=list)
    # Tokens of reads that wait for the first commit of the term.
    deferred_reads: list[int] = field(default_factory=list)
    transfer_target: str = ""
    transfer_deadline_us: int = 0
    join_requests: dict[str, CoreMember] = field(default_factory=dict)
    leave_requests: dict[str, int] = field(default_factory=dict)  # replica -> last request, us
    losses_borne: int | None = None
    margin_since_us: int = 0

    effects: list[Effect] = field(default_factory=list)

    # --- queries that several modules use --------------------------------------------

    @property
    def is_sync_stalled(self) -> bool:
        """True when a disk write has been pending for longer than the limit."""
        return self.writes.is_stalled(now_us=self.now_us, limit_us=self.timing.sync_limit_us)

    @property
    def is_term_committed(self) -> bool:
        """True when an entry of the current term is committed."""
        return self.log.term_at(index=self.commit_index) == self.term

    def has_quorum_contact(self) -> bool:
        """Check-quorum: true when a majority made contact within the longest election timeout.

        It is also true for that long after the replica became leader.
        """
        limit = self.timing.election_high_us
        if self.now_us - self.leader_since_us < limit:
            return True
        reachable = {self.me} | {
            name
            for name, progress in self.progress.items()
            if self.now_us - progress.last_contact_us < limit
        }
        return self.members.is_majority(names=reachable)

    def is_active(self, *, name: str) -> bool:
        """True when the replica made contact within the shortest election timeout."""
        progress = self.progress.get(name)
        if progress is None:
            return name == self.me
        return self.now_us - progress.last_contact_us < self.timing.election_low_us

    def match_index_of(self, *, name: str) -> int:
        """The index up to which the member is known to have the log on its disk."""
        return self.writes.durable if name == self.me else self.progress[name].match_index

    @property
    def losses_wanted(self) -> int:
        """The number of losses that the wanted number of voters tolerates."""
        return (self.voters_wanted - 1) // 2

    # --- changes that several modules make ---------------------------------------------

    def append(self, *, entries: list[LogEntry], cut_from: int | None = None) -> None:
        """Append entries to the log and start writing them to disk."""
        for entry in entries:
            self.log.append(entry)
            self.members.append(entry=entry)
        self.persist(cut_from=cut_from, entries=entries)

    def on_members_changed(self) -> None:
        """Apply a new membership: a leader tracks the progress of every other member."""
        if self.members.has(replica=self.me):
            self.has_been_member = True
        if self.role != LEADER:
            return
        names = {member.replica for member in self.members.others(replica=self.me)}
        for name in sorted(names - set(self.progress)):
            self.progress[name] = Progress(
                next_index=self.log.last_index + 1,
                last_contact_us=self.now_us,
                round_target=self.log.last_index,
                round_began_us=self.now_us,
            )
        for name in sorted(set(self.progress) - names):
            del self.progress[name]

    # --- effects -------------------------------------------------------------------------

    def emit(self, effect: Effect) -> None:
        """Add an effect of the current event."""
        self.effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects since the last call and clear them."""
        taken, self.effects = self.effects, []
        return taken

    def persist(
        self,
        *,
        cut_from: int | None = None,
        entries: list[LogEntry] | None = None,
        term: int | None = None,
        vote: str | None = None,
    ) -> int:
        """Start a write to the log and return its number."""
        number = self.writes.begin(last_index=self.log.last_index, now_us=self.now_us)
        self.emit(
            Persist(number=number, cut_from=cut_from, entries=entries or [], term=term, vote=vote)
        )
        return number

    def send(
        self, *, to: str, message: Message, is_after_sync: bool = False, address: str = ""
    ) -> None:
        """Send a message to a replica, which need not be a known member.

        A message with `is_after_sync` is sent only after all earlier writes are on disk.
        Without an address for the replica nothing is sent.
        """
        member = self.members.get(replica=to)
        if member is None:
            address = address or (self.leader_address if to == self.leader else "")
            if not address:
                return
            member = CoreMember(replica=to, address=address)
        after = self.writes.last_number if is_after_sync else 0
        self.emit(Send(to=member, message=message, after=after))

    # --- invariants ----------------------------------------------------------------------

    def check(self, *, term_before: int, commit_index_before: int) -> None:
        """Raise `InvariantViolated` unless the invariants of this module hold after an event."""
        if self.term < term_before:
            raise InvariantViolated(f"term decreased to {self.term} from {term_before}")
        if self.commit_index < commit_index_before:
            raise InvariantViolated(
                f"commit index decreased to {self.commit_index} from {commit_index_before}"
            )
        if not self.log.base_index <= self.commit_index <= self.log.last_index:
            raise InvariantViolated(
                f"commit index {self.commit_index} is outside the log, which spans"
                f" {self.log.base_index + 1} to {self.log.last_index}"
            )
        if self.writes.durable > self.log.last_index:
            raise InvariantViolated(
                f"durable index {self.writes.durable} is above the last log index"
                f" {self.log.last_index}"
            )
