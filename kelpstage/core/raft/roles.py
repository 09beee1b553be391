"""Which role a replica has, and whom it follows.

Invariant: a higher term comes with a fresh vote, and both are being written before
anything is sent in that term. Whoever ceases to lead fails its pending reads, and
leaves a transfer that it had begun.
"""

from __future__ import annotations

from kelpstage.core.raft.state import RaftState
from kelpstage.core.raft.types import FOLLOWER, LEADER, ReadLost, Role, RoleChanged


def become(state: RaftState, *, role: Role) -> None:
    """Take a role on."""
    if state.role == role:
        return
    if state.role == LEADER:
        _end_leadership(state)
    state.role = role
    state.emit(RoleChanged(role=role, term=state.term))


def _end_leadership(state: RaftState) -> None:
    for token in [read.token for read in state.reads] + state.early_reads:
        state.emit(ReadLost(token=token))
    state.reads.clear()
    state.early_reads.clear()
    state.transfer_target = ""


def become_follower(state: RaftState, *, term: int) -> None:
    """Become a follower; a higher term comes with a fresh vote."""
    if term > state.term:
        state.term = term
        state.vote = ""
        state.persist(term=state.term, vote="")
        state.leader = ""
    become(state, role=FOLLOWER)
    reset_election_timeout(state)


def accept_leader(state: RaftState, *, term: int, leader: str, address: str) -> bool:
    """Follow the leader of a term that is not over; false if it is."""
    if term < state.term:
        return False
    if term > state.term or state.role != FOLLOWER:
        become_follower(state, term=term)
    state.leader = leader
    state.leader_address = address
    state.heard_leader = leader
    state.heard_leader_us = state.now_us
    reset_election_timeout(state)
    return True


def reset_election_timeout(state: RaftState) -> None:
    """When to campaign without contact to a leader until then: soon in a process that has
    had none yet. After a loss of all cores each would otherwise wait as if for a leader;
    where there is one, its heartbeat comes first, or the others refuse the pre-vote."""
    timing = state.timing
    low, high = timing.election_low_us, timing.election_high_us
    if state.heard_leader_us < 0 and state.began_with_log:
        low, high = timing.wake_low_us, timing.wake_high_us
    state.election_due_us = state.now_us + low + int(state.rand.random() * (high - low))
