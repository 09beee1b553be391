"""The read index (thesis, 6.4): linearizable reads without the log.

Invariant: a read is answered at the commit index that the leader had when it was requested,
after a majority of the voters has answered a heartbeat that was sent later than that; and
never before an entry of the leader's own term is committed, since until then it does not
know what is committed.
"""

from __future__ import annotations

from kelpstage.core.raft.replication import send_heartbeats
from kelpstage.core.raft.state import PendingRead, RaftState
from kelpstage.core.raft.types import LEADER, ReadIndex, ReadLost, ReadReady


def on_read_index(state: RaftState, event: ReadIndex) -> None:
    """Begin a round of heartbeats for a read."""
    if state.role != LEADER:
        state.emit(ReadLost(token=event.token))
        return
    if not state.is_term_committed:
        state.early_reads.append(event.token)
        return
    state.heartbeat += 1
    state.reads.append(
        PendingRead(token=event.token, heartbeat=state.heartbeat, index=state.commit_index)
    )
    send_heartbeats(state)
    confirm_reads(state)


def begin_early_reads(state: RaftState) -> None:
    """Take up the reads that waited for the first commit of the term."""
    early, state.early_reads = state.early_reads, []
    for token in early:
        on_read_index(state, ReadIndex(token=token))


def confirm_reads(state: RaftState) -> None:
    """Answer the reads whose heartbeat a majority has answered."""
    answered = {name: one.heartbeat for name, one in state.progress.items()}
    answered[state.me] = state.heartbeat
    waiting = []
    for read in state.reads:
        names = {name for name, heartbeat in answered.items() if heartbeat >= read.heartbeat}
        if state.members.is_majority(names=names):
            state.emit(ReadReady(token=read.token, index=read.index))
        else:
            waiting.append(read)
    state.reads = waiting
