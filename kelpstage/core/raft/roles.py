"""The role of a replica and the leader that it follows.

Invariants: a higher term clears the vote, and a write of both is started before anything is
sent in that term. A leader that steps down fails its pending reads and ends its leadership
transfer.
"""

from __future__ import annotations

from kelpstage.core.raft.state import RaftState
from kelpstage.core.raft.types import FOLLOWER, LEADER, ReadLost, Role, RoleChanged


def become(state: RaftState, *, role: Role) -> None:
    """Change the role; ending leadership fails the pending reads."""
    if state.role == role:
        return
    if state.role == LEADER:
        _end_leadership(state)
    state.role = role
    state.emit(RoleChanged(role=role, term=state.term))


def _end_leadership(state: RaftState) -> None:
    for token in [read.token for read in state.reads] + state.deferred_reads:
        state.emit(ReadLost(token=token))
    state.reads.clear()
    state.deferred_reads.clear()
    state.transfer_target = ""


def become_follower(state: RaftState, *, term: int) -> None:
    """Become a follower; a higher term clears the vote."""
    if term > state.term:
        state.term = term
        state.vote = ""
        state.persist(term=state.term, vote="")
        state.leader = ""
    become(state, role=FOLLOWER)
    reset_election_timeout(state)


def accept_leader(state: RaftState, *, term: int, leader: str, address: str) -> bool:
    """Follow the leader of the current or a higher term; false if its term is older."""
    if term < state.term:
        return False
    if term > state.term or state.role != FOLLOWER:
        become_follower(state, term=term)
    state.leader = leader
    state.leader_address = address
    state.last_leader = leader
    state.last_leader_contact_us = state.now_us
    reset_election_timeout(state)
    return True


def reset_election_timeout(state: RaftState) -> None:
    """Draw a new election timeout, a shorter one in a process without leader contact so far.

    After all cores have failed and restarted no leader exists, so the full timeout would only
    delay the election. If a leader exists, its heartbeat arrives first or the others reject the
    pre-vote.
    """
    timing = state.timing
    low, high = timing.election_low_us, timing.election_high_us
    if state.last_leader_contact_us < 0 and state.started_with_log:
        low, high = timing.startup_election_low_us, timing.startup_election_high_us
    state.election_due_us = state.now_us + low + int(state.rand.random() * (high - low))
