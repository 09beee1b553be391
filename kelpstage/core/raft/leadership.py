"""What a leader does: on its election, each tick, each reply, each sync.

Invariant: a leader acts only while it has contact to a majority and its own disk answers
(check-quorum); it begins its term with an entry of its own, so that it can commit.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import AppendEntriesReply
from kelpstage.core.raft.membership import carry_silence, maintain_membership
from kelpstage.core.raft.reads import begin_early_reads, confirm_reads
from kelpstage.core.raft.replication import (
    advance_commit_index,
    append_own,
    has_large_under_way,
    replicate_all,
    send_append_entries,
    send_heartbeats,
)
from kelpstage.core.raft.roles import become, become_follower
from kelpstage.core.raft.state import Progress, RaftState
from kelpstage.core.raft.transfer import expire_transfer, try_transfer
from kelpstage.core.raft.types import LEADER, NOOP, NotLeader, Propose, Proposed


def become_leader(state: RaftState) -> None:
    """Lead the term that a majority has voted for."""
    state.leader = state.me
    state.led_since_us = state.now_us
    state.progress = {}
    state.join_requests = {}
    state.leave_requests = {}
    state.losses_borne = None
    state.heartbeat += 1
    become(state, role=LEADER)
    state.members_changed()
    carry_silence(state)
    append_own(state, kind=NOOP, data=b"")
    replicate_all(state)


def tick_leader(state: RaftState) -> None:
    """Step down without a majority or a disk; else send heartbeats, tend the members."""
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
    """Append an entry, unless this replica does not lead or is handing the lead on."""
    if state.role != LEADER or state.transfer_target:
        state.emit(NotLeader(token=event.token))
        return
    index = append_own(state, kind=event.kind, data=event.data)
    state.emit(Proposed(token=event.token, index=index, term=state.term))
    replicate_all(state)


def on_append_entries_reply(state: RaftState, reply: AppendEntriesReply) -> None:
    """Note how far a replica is; commit, hand on, and answer reads that waited for it."""
    if reply.term > state.term:
        become_follower(state, term=reply.term)
        return
    progress = state.progress.get(reply.sender)
    if state.role != LEADER or reply.term != state.term or progress is None:
        return
    progress.heard_us = state.now_us
    progress.is_awaited = False
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
    if has_large_under_way(state, progress=progress):
        progress.next_index = max(progress.next_index, progress.large_to + 1)
    commit_replicated(state)
    is_behind = progress.next_index <= state.log.last_index
    is_nothing_sent = progress.match_index == progress.next_index - 1
    if state.role == LEADER and is_behind and (was_probing or is_nothing_sent):
        send_append_entries(state, name=reply.sender, has_entries=True)
    try_transfer(state)


def _on_mismatch(state: RaftState, *, reply: AppendEntriesReply, progress: Progress) -> None:
    next_index = max(progress.match_index + 1, min(reply.conflict_index + 1, progress.next_index))
    if has_large_under_way(state, progress=progress):
        if next_index >= progress.large_from:
            return  # what it lacks is on its way
        progress.large_to = 0  # it will be refused as well
    progress.is_probing = True
    progress.next_index = next_index
    send_append_entries(state, name=reply.sender, has_entries=True)


def commit_replicated(state: RaftState) -> None:
    """Commit what a majority has on disk, and begin the reads that waited for it."""
    if advance_commit_index(state):
        begin_early_reads(state)
