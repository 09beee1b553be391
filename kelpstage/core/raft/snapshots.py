"""Log compaction, and installation of snapshots from a leader (the Raft paper, figure 13).

Invariants: a snapshot contains committed state only, so the log may start after it. If the log
has the snapshot's last entry with the same term, the entries after it stay in the log, because
this replica may have acknowledged them. A fetched snapshot is checked against the state at its
arrival, not against the state at the time of the offer.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import InstallSnapshot
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.raft.members import MemberList
from kelpstage.core.raft.replication import commit_to, reply_append_entries
from kelpstage.core.raft.roles import accept_leader
from kelpstage.core.raft.state import RaftState
from kelpstage.core.raft.types import (
    LEADER,
    FetchOffered,
    SaveSnapshot,
    SnapshotFetched,
    SnapshotTaken,
)


def on_snapshot_taken(state: RaftState, event: SnapshotTaken) -> None:
    """Compact the log up to a snapshot that this replica has taken."""
    if event.index <= state.log.base_index:
        return  # a newer snapshot was installed in the meantime
    state.members.rebase(index=event.index)
    state.log.compact(index=event.index)


def on_install_snapshot(state: RaftState, offer: InstallSnapshot) -> None:
    """Fetch the snapshot that a leader offers, unless the log already covers it."""
    sender = offer.sender
    if not accept_leader(state, term=offer.term, leader=sender, address=offer.leader_address):
        reply_append_entries(state, to=sender, is_ok=False)
        return
    index, term = offer.last_included_index, offer.last_included_term
    if index <= state.commit_index:
        reply_append_entries(
            state,
            to=sender,
            is_ok=True,
            match_index=state.commit_index,
            heartbeat=offer.heartbeat,
        )
        return
    if state.log.term_at(index=index) == term:
        commit_to(state, index=index)
        reply_append_entries(
            state, to=sender, is_ok=True, match_index=index, heartbeat=offer.heartbeat
        )
        return
    state.emit(
        FetchOffered(
            leader=sender,
            leader_address=offer.leader_address,
            leader_term=offer.term,
            index=index,
            term=term,
            heartbeat=offer.heartbeat,
        )
    )


def on_snapshot_fetched(state: RaftState, event: SnapshotFetched) -> None:
    """Install a fetched snapshot and start the log after it.

    Since the offer this replica may have acknowledged further entries, also from the leader of a
    later term.
    """
    if state.role == LEADER or event.index <= state.commit_index:
        return
    if state.log.term_at(index=event.index) == event.term:
        state.log.compact(index=event.index)
    else:
        state.writes.truncate_after(index=state.commit_index)
        state.log = MemoryLog(base_index=event.index, base_term=event.term)
    state.members = MemberList(
        base=event.members, entries=state.log.entries, base_index=event.index
    )
    state.commit_index = event.index
    number = state.writes.begin(last_index=state.log.last_index, now_us=state.now_us)
    state.emit(
        SaveSnapshot(number=number, term=state.term, vote=state.vote, tail=list(state.log.entries))
    )
    state.on_members_changed()
    if event.leader_term == state.term:
        # The heartbeat number of an older term must not be sent in the current term: the new
        # leader may number its heartbeats from the start and would count it as a later reply.
        reply_append_entries(
            state,
            to=event.leader,
            is_ok=True,
            match_index=event.index,
            heartbeat=event.heartbeat,
        )
