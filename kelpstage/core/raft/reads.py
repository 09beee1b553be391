"""The read index (thesis, 6.4): linearizable reads without a log entry.

Invariants: a read is served at the commit index that the leader had when it started the read,
after a majority of the voters has replied to a heartbeat that was sent later. A read does not
start before an entry of the leader's own term is committed, because until then the leader does
not know which entries are committed.
"""

from __future__ import annotations

from kelpstage.core.raft.replication import send_heartbeats
from kelpstage.core.raft.state import PendingRead, RaftState
from kelpstage.core.raft.types import LEADER, ReadIndex, ReadLost, ReadReady


def on_read_index(state: RaftState, event: ReadIndex) -> None:
    """Start a heartbeat round for a read, or defer the read until the term's first commit."""
    if state.role != LEADER:
        state.emit(ReadLost(token=event.token))
        return
    if not state.is_term_committed:
        state.deferred_reads.append(event.token)
        return
    state.heartbeat += 1
    state.reads.append(
        PendingRead(token=event.token, heartbeat=state.heartbeat, index=state.commit_index)
    )
    send_heartbeats(state)
    confirm_reads(state)


def start_deferred_reads(state: RaftState) -> None:
    """Start the reads that waited for the first commit of the term."""
    tokens, state.deferred_reads = state.deferred_reads, []
    for token in tokens:
        on_read_index(state, ReadIndex(token=token))


def confirm_reads(state: RaftState) -> None:
    """Emit `ReadReady` for the reads whose heartbeat a majority has replied to."""
    answered = {name: progress.heartbeat for name, progress in state.progress.items()}
    answered[state.me] = state.heartbeat
    waiting = []
    for read in state.reads:
        names = {name for name, heartbeat in answered.items() if heartbeat >= read.heartbeat}
        if state.members.is_majority(names=names):
            state.emit(ReadReady(token=read.token, index=read.index))
        else:
            waiting.append(read)
    state.reads = waiting
