"""Leadership transfer (thesis, 3.10).

Invariants: no entry is proposed during a transfer. The leader sends TimeoutNow only when the
target has its complete log. A transfer that does not finish within the shortest election
timeout is cancelled, and the leader continues.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import TimeoutNow
from kelpstage.core.raft.state import RaftState
from kelpstage.core.raft.types import LEADER, TransferLeadership


def on_transfer_leadership(state: RaftState, event: TransferLeadership) -> None:
    """Start a transfer to the active voter with the highest match index.

    A voter that is leaving itself is chosen only if there is no other.
    """
    if state.role != LEADER or state.transfer_target:
        return
    candidates = [
        (name not in state.leave_requests, progress.match_index, name)
        for name, progress in state.progress.items()
        if state.members.is_voter(replica=name) and state.is_active(name=name)
    ]
    if not candidates:
        return
    state.transfer_target = max(candidates)[-1]
    state.transfer_deadline_us = state.now_us + state.timing.election_low_us
    try_transfer(state)


def try_transfer(state: RaftState) -> None:
    """Send TimeoutNow to the target once it has the complete log."""
    target = state.transfer_target
    progress = state.progress.get(target)
    if not target or progress is None or progress.match_index < state.log.last_index:
        return
    message = TimeoutNow(cluster=state.cluster, sender=state.me, to=target, term=state.term)
    state.send(to=target, message=message)


def expire_transfer(state: RaftState) -> None:
    """Cancel a transfer whose deadline has passed."""
    if state.transfer_target and state.now_us > state.transfer_deadline_us:
        state.transfer_target = ""
