"""A Raft replica: each event produces a list of effects, without I/O and without a clock.

The other modules of this package implement the algorithm, each with its invariants:
`elections`, `leadership`, `replication`, `reads`, `snapshots`, `membership` and `transfer`.
They share the state in `state`. A message that relies on data on disk carries the number of
the write that it waits for.
"""

from __future__ import annotations

import random
from typing import Any, Callable

from kelpstage.common.transport.messages import (
    AppendEntries,
    AppendEntriesReply,
    CoreMember,
    InstallSnapshot,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from kelpstage.core.raft.elections import (
    count_own_vote,
    on_request_vote,
    on_request_vote_reply,
    on_timeout_now,
    schedule_first_campaign,
    tick_elections,
)
from kelpstage.core.raft.leadership import (
    commit_replicated,
    on_append_entries_reply,
    on_propose,
    tick_leader,
)
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.raft.members import MemberList
from kelpstage.core.raft.membership import leave_status, on_join_requested, on_leave_requested
from kelpstage.core.raft.pending_writes import PendingWrites
from kelpstage.core.raft.reads import on_read_index
from kelpstage.core.raft.replication import on_append_entries
from kelpstage.core.raft.roles import reset_election_timeout
from kelpstage.core.raft.snapshots import (
    on_install_snapshot,
    on_snapshot_fetched,
    on_snapshot_taken,
)
from kelpstage.core.raft.state import Progress, RaftState
from kelpstage.core.raft.transfer import on_transfer_leadership
from kelpstage.core.raft.types import (
    LEADER,
    Effect,
    Event,
    JoinRequested,
    LeaveRequested,
    LeaveStatus,
    Propose,
    ReadIndex,
    Received,
    Role,
    SnapshotFetched,
    SnapshotTaken,
    Synced,
    Tick,
    Timing,
    TransferLeadership,
)


def _on_tick(state: RaftState, event: Tick) -> None:
    if state.role == LEADER:
        tick_leader(state)
    else:
        tick_elections(state)


def _on_synced(state: RaftState, event: Synced) -> None:
    state.writes.on_synced(number=event.number)
    count_own_vote(state)
    if state.role == LEADER:
        commit_replicated(state)


def _on_received(state: RaftState, event: Received) -> None:
    message = event.message
    if message.cluster != state.cluster or message.to != state.me:
        return
    MESSAGE_HANDLERS[type(message)](state, message)


MESSAGE_HANDLERS: dict[type, Callable[[RaftState, Any], None]] = {
    RequestVote: on_request_vote,
    RequestVoteReply: on_request_vote_reply,
    AppendEntries: on_append_entries,
    AppendEntriesReply: on_append_entries_reply,
    InstallSnapshot: on_install_snapshot,
    TimeoutNow: on_timeout_now,
}

EVENT_HANDLERS: dict[type, Callable[[RaftState, Any], None]] = {
    Tick: _on_tick,
    Received: _on_received,
    Synced: _on_synced,
    Propose: on_propose,
    ReadIndex: on_read_index,
    TransferLeadership: on_transfer_leadership,
    SnapshotTaken: on_snapshot_taken,
    SnapshotFetched: on_snapshot_fetched,
    JoinRequested: on_join_requested,
    LeaveRequested: on_leave_requested,
}


class Replica:
    """A Raft replica that processes one event at a time.

    >>> me = CoreMember(replica="a", address="127.0.0.1:1", is_voter=True)
    >>> one = Replica(me="a", cluster="c", members=[me], rand=random.Random(1), now_us=0)
    >>> effects = one.step(now_us=10_000_000, event=Tick())
    >>> one.role.value, [type(effect).__name__ for effect in effects][-1]
    ('candidate', 'Persist')
    >>> effects = one.step(now_us=10_000_001, event=Synced(number=1))
    >>> one.role.value
    'leader'
    """

    def __init__(
        self,
        *,
        me: str,
        cluster: str,
        members: list[CoreMember],
        rand: random.Random,
        now_us: int,
        term: int = 0,
        vote: str = "",
        log: MemoryLog | None = None,
        timing: Timing = Timing(),
        voters: int = 3,
    ) -> None:
        """Create a replica from its log and from the `members` of the snapshot before the log."""
        log = log or MemoryLog(base_index=0, base_term=0)
        self.state = RaftState(
            me=me,
            cluster=cluster,
            rand=rand,
            timing=timing,
            voters_wanted=voters,
            now_us=now_us,
            term=term,
            vote=vote,
            log=log,
            members=MemberList(base=members, entries=log.entries, base_index=log.base_index),
            writes=PendingWrites(durable=log.last_index),
            commit_index=log.base_index,
            started_with_log=log.last_index > 0 and term > 1,
        )
        self.state.has_been_member = self.state.members.has(replica=me)
        reset_election_timeout(self.state)
        schedule_first_campaign(self.state)

    def step(self, *, now_us: int, event: Event) -> list[Effect]:
        """Process one event and return its effects."""
        state = self.state
        term, commit_index = state.term, state.commit_index
        state.now_us = max(state.now_us, now_us)
        EVENT_HANDLERS[type(event)](state, event)
        state.check(term_before=term, commit_index_before=commit_index)
        return state.take_effects()

    # --- read access for other packages ------------------------------------------------

    @property
    def me(self) -> str:
        """The name of this replica."""
        return self.state.me

    @property
    def role(self) -> Role:
        """The role: follower, pre-candidate, candidate or leader."""
        return self.state.role

    @property
    def term(self) -> int:
        """The current term: the highest that this replica knows."""
        return self.state.term

    @property
    def vote(self) -> str:
        """The replica that it has voted for in the current term; empty if none."""
        return self.state.vote

    @property
    def log(self) -> MemoryLog:
        """The log after the newest snapshot."""
        return self.state.log

    @property
    def members(self) -> MemberList:
        """The current members, with the earlier memberships of the log."""
        return self.state.members

    @property
    def commit_index(self) -> int:
        """The highest index that this replica knows to be committed."""
        return self.state.commit_index

    @property
    def durable(self) -> int:
        """The index up to which the log is on this replica's disk."""
        return self.state.writes.durable

    @property
    def leader(self) -> str:
        """The leader of the current term; empty if unknown."""
        return self.state.leader

    @property
    def leader_address(self) -> str:
        """The address that the leader sent; empty if unknown."""
        return self.state.leader_address

    def leave_status(self, *, replica: str, term: int, last_index: int) -> LeaveStatus:
        """Return whether a member with this term and last index may stop."""
        return leave_status(self.state, replica=replica, term=term, last_index=last_index)

    def margin(self) -> dict[str, Any] | None:
        """Return how many losses the voters tolerate now, for status pages; only on a leader."""
        state = self.state
        if state.role != LEADER or state.losses_borne is None:
            return None
        return {
            "losses_borne": state.losses_borne,
            "losses_wanted": state.losses_wanted,
            "since_us_ago": state.now_us - state.margin_since_us,
        }

    def replication_progress(self) -> list[dict[str, Any]]:
        """Return the replication progress of each member, for status pages; only on a leader."""
        state = self.state
        return [
            {
                "replica": member.replica,
                "address": member.address,
                "is_voter": member.is_voter,
                "match": state.writes.durable
                if member.replica == state.me
                else progress.match_index,
                "heard_us_ago": 0
                if member.replica == state.me
                else state.now_us - progress.last_contact_us,
            }
            for member in state.members.current
            for progress in [state.progress.get(member.replica, Progress(next_index=0))]
        ]
