"""Membership changes, one replica at a time (thesis, 4.1, with its correction).

Invariant: a change is proposed only when the one before is committed and an entry of the
leader's own term is; so any two majorities that may decide at the same time share a
replica. A learner becomes a voter only when all that is committed is on its disk.
"""

from __future__ import annotations

from kelpstage.base.wire.messages import CoreMember
from kelpstage.core.raft.members import write_members
from kelpstage.core.raft.replication import append_own, replicate_all
from kelpstage.core.raft.state import RaftState
from kelpstage.core.raft.types import LEADER, MEMBERSHIP, JoinRequested

LOST_AFTER_US = 2_500_000


def on_join_requested(state: RaftState, event: JoinRequested) -> None:
    """Note who asks for a place, and give it as soon as a change may be made."""
    if state.role != LEADER:
        return
    state.join_requests[event.member.replica] = event.member
    if not is_change_pending(state) and not state.transfer_target:
        _admit_next(state)


def is_change_pending(state: RaftState) -> bool:
    """Is a change of members still on its way, or this term not yet proved?"""
    return state.members.index > state.commit_index or not state.is_term_committed


def maintain_membership(state: RaftState) -> None:
    """One change at a time: who asks becomes a learner; caught-up learners are
    raised until there are enough voters; one takes a lost voter's place."""
    if is_change_pending(state) or state.transfer_target or _admit_next(state):
        return
    current = state.members.current
    voters = [m for m in current if m.is_voter]
    ready = [m for m in current if not m.is_voter and _is_caught_up(state, name=m.replica)]
    if len(voters) < state.voters_wanted and ready:
        _raise_to_voter(state, learner=min(ready, key=lambda m: m.replica))
        return
    lost = [m for m in current if m.replica != state.me and _is_lost(state, member=m)]
    lost_learners = [m for m in lost if not m.is_voter]
    lost_voters = [m for m in lost if m.is_voter]
    if lost_learners:
        _remove(state, member=lost_learners[0])
        return
    can_spare = len(voters) > 2 and (ready or len(voters) > state.voters_wanted)
    if lost_voters and can_spare:
        _remove(state, member=lost_voters[0])


def _propose(state: RaftState, *, members: list[CoreMember]) -> None:
    append_own(state, kind=MEMBERSHIP, data=write_members(members=members))
    replicate_all(state)


def _remove(state: RaftState, *, member: CoreMember) -> None:
    _propose(state, members=[m for m in state.members.current if m.replica != member.replica])


def _replace(state: RaftState, *, member: CoreMember) -> None:
    others = [m for m in state.members.current if m.replica != member.replica]
    _propose(state, members=[*others, member])


def _raise_to_voter(state: RaftState, *, learner: CoreMember) -> None:
    raised = CoreMember(
        replica=learner.replica, address=learner.address, http=learner.http, is_voter=True
    )
    _replace(state, member=raised)


def _admit_next(state: RaftState) -> bool:
    """Give the next one that asks its place, as a learner, or its new address."""
    while state.join_requests:
        _, applicant = state.join_requests.popitem()
        known = state.members.get(replica=applicant.replica)
        if known is not None and (known.address, known.http) == (applicant.address, applicant.http):
            continue
        admitted = CoreMember(
            replica=applicant.replica,
            address=applicant.address,
            http=applicant.http,
            is_voter=known is not None and known.is_voter,
        )
        _replace(state, member=admitted)
        return True
    return False


def _is_lost(state: RaftState, *, member: CoreMember) -> bool:
    """Silent for long, or with another replica at its address: a core that came
    back without its disk is a new replica, and the one before is gone for good."""
    if state.now_us - state.progress[member.replica].heard_us > LOST_AFTER_US:
        return True
    return any(
        other.address == member.address
        for other in state.members.current
        if other.replica != member.replica
        and state.is_active(name=other.replica)
        and not state.is_active(name=member.replica)
    )


def _is_caught_up(state: RaftState, *, name: str) -> bool:
    """Has it all that is committed on its disk, and is it there now?"""
    is_complete = state.progress[name].match_index >= state.commit_index
    return state.is_active(name=name) and is_complete
