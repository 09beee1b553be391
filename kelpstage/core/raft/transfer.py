"""Leadership transfer (thesis, 3.10).

Invariant: while a transfer is under way nothing is proposed; the target is told to
campaign only when it has the leader's complete log; a transfer that has not come to its end
within the shortest election timeout is given up, and the leader goes on.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import TimeoutNow
from kelpstage.core.raft.state import RaftState
from kelpstage.core.raft.types import LEADER, TransferLeadership


def on_transfer_leadership(state: RaftState, event: TransferLeadership) -> None:
    """Begin to hand leadership to the voter that is furthest on; to one that leaves
    itself only if there is no other."""
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
    state.transfer_until_us = state.now_us + state.timing.election_low_us
    try_transfer(state)


def try_transfer(state: RaftState) -> None:
    """Tell the target to campaign, once it has all."""
    target = state.transfer_target
    progress = state.progress.get(target)
    if not target or progress is None or progress.match_index < state.log.last_index:
        return
    message = TimeoutNow(cluster=state.cluster, sender=state.me, to=target, term=state.term)
    state.send(to=target, message=message)


def expire_transfer(state: RaftState) -> None:
    """Give a transfer up that has taken too long."""
    if state.transfer_target and state.now_us > state.transfer_until_us:
        state.transfer_target = ""
