"""A replica's complete state, and the effects of the event that it is processing.

The names are those of the paper's figure 2, with what this implementation adds. Each
module beside this one changes a part of it, under the invariants that it states; here
are those that hold after each event, and `check` raises `InvariantViolated` when one
does not: the term and the commit index never fall, what is committed is in the log or
in the snapshot before it, and no more counts as durable than there is.
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

LONG_AGO_US = -(10**12)


class InvariantViolated(Exception):
    """The replica's state is not one that Raft can reach; it must not go on."""


@dataclass(kw_only=True)
class Progress:
    """What a leader knows of one other replica. A round of catching up (thesis, 4.2.1) ends
    when the replica holds what was committed when the round began."""

    next_index: int
    match_index: int = 0
    heard_us: int = 0
    sent_us: int = -1_000_000
    heartbeat: int = 0
    is_probing: bool = True
    is_awaited: bool = False  # entries were sent; nothing has been heard since
    large_from: int = 0  # the entries of a large message under way
    large_to: int = 0
    large_until_us: int = 0  # from then on it counts as lost
    round_target: int = 0
    round_began_us: int = 0
    round_took_us: int | None = None  # the last one that ended


@dataclass(frozen=True, kw_only=True)
class PendingRead:
    """A read at `index` that waits until a majority has answered `heartbeat`."""

    token: int
    heartbeat: int
    index: int


@dataclass(kw_only=True)
class RaftState:
    """The state that the modules of this package share."""

    me: str
    cluster: str
    rand: random.Random
    timing: Timing
    voters_wanted: int
    now_us: int

    # Persistent, written before any answer that depends on it.
    term: int
    vote: str
    log: MemoryLog
    members: MemberList
    writes: PendingWrites

    # Volatile, of every replica.
    commit_index: int
    role: Role = FOLLOWER
    leader: str = ""
    leader_address: str = ""
    heard_leader: str = ""  # the last that was, and when
    heard_leader_us: int = LONG_AGO_US
    election_due_us: int = 0
    began_with_log: bool = False
    has_been_member: bool = False

    # Of a candidate.
    votes: set[str] = field(default_factory=set)
    self_vote_number: int = 0  # the write that holds its vote for itself

    # Of a leader.
    progress: dict[str, Progress] = field(default_factory=dict)
    led_since_us: int = 0
    heartbeat: int = 0
    heartbeat_due_us: int = 0
    reads: list[PendingRead] = field(default_factory=list)
    early_reads: list[int] = field(default_factory=list)  # tokens
    transfer_target: str = ""
    transfer_until_us: int = 0
    join_requests: dict[str, CoreMember] = field(default_factory=dict)
    leave_requests: dict[str, int] = field(default_factory=dict)  # replica -> last asked, us
    losses_borne: int | None = None
    margin_since_us: int = 0

    effects: list[Effect] = field(default_factory=list)

    # --- questions of more than one module -----------------------------------------

    @property
    def is_sync_stalled(self) -> bool:
        """Has the disk taken too long over a write to be relied upon?"""
        return self.writes.is_stalled(now_us=self.now_us, limit_us=self.timing.sync_limit_us)

    @property
    def is_term_committed(self) -> bool:
        """Is an entry of the present term committed?"""
        return self.log.term_at(index=self.commit_index) == self.term

    def has_quorum_contact(self) -> bool:
        """Check-quorum: a leader without contact to a majority must not act as one."""
        limit = self.timing.election_high_us
        if self.now_us - self.led_since_us < limit:
            return True
        reachable = {self.me} | {
            name for name, one in self.progress.items() if self.now_us - one.heard_us < limit
        }
        return self.members.is_majority(names=reachable)

    def is_active(self, *, name: str) -> bool:
        """Has the replica made contact within the shortest election timeout?"""
        progress = self.progress.get(name)
        if progress is None:
            return name == self.me
        return self.now_us - progress.heard_us < self.timing.election_low_us

    def match_index_of(self, *, name: str) -> int:
        """Up to which index a member is known to have the log on its disk."""
        return self.writes.durable if name == self.me else self.progress[name].match_index

    @property
    def losses_wanted(self) -> int:
        """How many losses the wanted number of voters bears."""
        return (self.voters_wanted - 1) // 2

    # --- changes that more than one module makes ---------------------------------------

    def append(self, *, entries: list[LogEntry], cut_from: int | None = None) -> None:
        """Append entries to the log and begin to write them."""
        for entry in entries:
            self.log.add(entry)
            self.members.append(entry=entry)
        self.persist(cut_from=cut_from, entries=entries)

    def members_changed(self) -> None:
        """Follow a membership that is newly in force: a leader tracks each other member."""
        if self.members.has(replica=self.me):
            self.has_been_member = True
        if self.role != LEADER:
            return
        names = {member.replica for member in self.members.others(replica=self.me)}
        for name in sorted(names - set(self.progress)):
            self.progress[name] = Progress(
                next_index=self.log.last_index + 1,
                heard_us=self.now_us,
                round_target=self.log.last_index,
                round_began_us=self.now_us,
            )
        for name in sorted(set(self.progress) - names):
            del self.progress[name]

    # --- effects -------------------------------------------------------------------------

    def emit(self, effect: Effect) -> None:
        """Add an effect to those of the event."""
        self.effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """The effects since the last call."""
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
        """Begin a write to the log; its number."""
        number = self.writes.begin(last_index=self.log.last_index, now_us=self.now_us)
        self.emit(
            Persist(number=number, cut_from=cut_from, entries=entries or [], term=term, vote=vote)
        )
        return number

    def send(
        self, *, to: str, message: Message, is_promise: bool = False, address: str = ""
    ) -> None:
        """Send to a member, or to one that this replica does not know yet; a promise
        only when all that was persisted so far is on disk."""
        member = self.members.get(replica=to)
        if member is None:
            address = address or (self.leader_address if to == self.leader else "")
            if not address:
                return
            member = CoreMember(replica=to, address=address)
        after = self.writes.last_number if is_promise else 0
        self.emit(Send(to=member, message=message, after=after))

    # --- invariants ----------------------------------------------------------------------

    def check(self, *, term_before: int, commit_index_before: int) -> None:
        """Raise unless the invariants of this module hold after an event."""
        if self.term < term_before:
            raise InvariantViolated(f"term {self.term} after {term_before}")
        if self.commit_index < commit_index_before:
            raise InvariantViolated(f"commit index {self.commit_index} after {commit_index_before}")
        if not self.log.base_index <= self.commit_index <= self.log.last_index:
            raise InvariantViolated(
                f"commit index {self.commit_index}, log {self.log.base_index + 1} to"
                f" {self.log.last_index}"
            )
        if self.writes.durable > self.log.last_index:
            raise InvariantViolated(
                f"durable up to {self.writes.durable}, log ends at {self.log.last_index}"
            )
