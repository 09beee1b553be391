"""The actions of a leader: on its election, on each tick, reply and proposal, and on commits.

Invariants: a leader stays leader only while it has contact with a majority and its own disk
responds (check-quorum). It starts its term with an entry of that term, so that it can commit.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import AppendEntriesReply
from kelpstage.core.raft.membership import carry_over_leader_contact, maintain_membership
from kelpstage.core.raft.reads import confirm_reads, start_deferred_reads
from kelpstage.core.raft.replication import (
    advance_commit_index,
    append_as_leader,
    has_large_in_flight,
    replicate_all,
    send_append_entries,
    send_heartbeats,
)
from kelpstage.core.raft.roles import become, become_follower
from kelpstage.core.raft.state import Progress, RaftState
from kelpstage.core.raft.transfer import expire_transfer, try_transfer
from kelpstage.core.raft.types import LEADER, NOOP, NotLeader, Propose, Proposed


def become_leader(state: RaftState) -> None:
    """Take over as leader after a majority has voted for this replica."""
    state.leader = state.me
    state.leader_since_us = state.now_us
    state.progress = {}
    state.join_requests = {}
    state.leave_requests = {}
    state.losses_borne = None
    state.heartbeat += 1
    become(state, role=LEADER)
    state.on_members_changed()
    carry_over_leader_contact(state)
    append_as_leader(state, kind=NOOP, data=b"")
    replicate_all(state)


def tick_leader(state: RaftState) -> None:
    """Send due heartbeats and maintain the membership.

    The leader steps down if it has no contact with a majority, or if its disk is stalled.
    """
    if state.is_sync_stalled or not state.has_quorum_contact():
        become_follower(state, term=state.term)
        state.leader = ""
        return
    expire_transfer(state)
    if state.now_us >= state.heartbeat_due_us:
        state.heartbeat += 1
        send_heartbeats(state)
    maintain_membership(state)


def on_propose(state: RaftState, event: Propose) -> None:
    """Append an entry, or emit `NotLeader` on a non-leader and during a leadership transfer."""
    if state.role != LEADER or state.transfer_target:
        state.emit(NotLeader(token=event.token))
        return
    index = append_as_leader(state, kind=event.kind, data=event.data)
    state.emit(Proposed(token=event.token, index=index, term=state.term))
    replicate_all(state)


def on_append_entries_reply(state: RaftState, reply: AppendEntriesReply) -> None:
    """Update a replica's progress, and commit entries and confirm reads that waited for it."""
    if reply.term > state.term:
        become_follower(state, term=reply.term)
        return
    progress = state.progress.get(reply.sender)
    if state.role != LEADER or reply.term != state.term or progress is None:
        return
    progress.last_contact_us = state.now_us
    progress.is_reply_pending = False
    progress.heartbeat = max(progress.heartbeat, reply.heartbeat)
    if reply.is_ok:
        _on_match(state, reply=reply, progress=progress)
    else:
        _on_mismatch(state, reply=reply, progress=progress)
    confirm_reads(state)


def _on_match(state: RaftState, *, reply: AppendEntriesReply, progress: Progress) -> None:
    progress.match_index = max(progress.match_index, reply.match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    was_probing, progress.is_probing = progress.is_probing, False
    if has_large_in_flight(state, progress=progress):
        progress.next_index = max(progress.next_index, progress.large_last_index + 1)
    commit_replicated(state)
    is_behind = progress.next_index <= state.log.last_index
    is_nothing_in_flight = progress.match_index == progress.next_index - 1
    if state.role == LEADER and is_behind and (was_probing or is_nothing_in_flight):
        send_append_entries(state, name=reply.sender, has_entries=True)
    try_transfer(state)


def _on_mismatch(state: RaftState, *, reply: AppendEntriesReply, progress: Progress) -> None:
    next_index = max(progress.match_index + 1, min(reply.conflict_index + 1, progress.next_index))
    if has_large_in_flight(state, progress=progress):
        if next_index >= progress.large_first_index:
            return  # the missing entries are in flight
        progress.large_last_index = 0  # the replica will reject the large message too
    progress.is_probing = True
    progress.next_index = next_index
    send_append_entries(state, name=reply.sender, has_entries=True)


def commit_replicated(state: RaftState) -> None:
    """Commit entries that a majority has on disk, and start the reads that waited for that."""
    if advance_commit_index(state):
        start_deferred_reads(state)
