"""Log compaction, and snapshots from a leader (the paper's figure 13).

Invariant: a snapshot holds committed state only, so the log may begin behind it; and
what this replica has acknowledged behind a snapshot's last entry stays in the log when
that entry is in the log with the same term. A fetch takes its time, so it is checked against
what holds on its arrival, not by what held when it was offered.
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
    """Begin the log behind a snapshot of this replica's own."""
    if event.index <= state.log.base_index:
        return  # a newer one was installed in the meantime
    state.members.rebase(index=event.index)
    state.log.compact(index=event.index)


def on_install_snapshot(state: RaftState, offer: InstallSnapshot) -> None:
    """Fetch what a leader offers, unless this replica has all that it holds."""
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
    """Begin the log behind a snapshot that has arrived. In the meantime other entries may
    have come, from another leader in a later term, and been acknowledged."""
    if state.role == LEADER or event.index <= state.commit_index:
        return
    if state.log.term_at(index=event.index) == event.term:
        state.log.compact(index=event.index)
    else:
        state.writes.drop_behind(index=state.commit_index)
        state.log = MemoryLog(base_index=event.index, base_term=event.term)
    state.members = MemberList(
        base=event.members, entries=state.log.entries, base_index=event.index
    )
    state.commit_index = event.index
    number = state.writes.begin(last_index=state.log.last_index, now_us=state.now_us)
    state.emit(
        SaveSnapshot(number=number, term=state.term, vote=state.vote, tail=list(state.log.entries))
    )
    state.members_changed()
    if event.leader_term == state.term:
        # Of an older term the heartbeat must not be answered: in the present term it
        # would count as contact with a leader that began to count anew.
        reply_append_entries(
            state,
            to=event.leader,
            is_ok=True,
            match_index=event.index,
            heartbeat=event.heartbeat,
        )
