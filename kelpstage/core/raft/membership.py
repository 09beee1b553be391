"""Membership changes, one replica at a time (thesis, 4.1, with its correction).

Invariant: a change is proposed only when the one before is committed and an entry of the
leader's own term is; so any two majorities that may decide at the same time share a
replica. A learner becomes a voter only when it holds on its disk what was committed within
the last election timeout, and no change is proposed that the members in reach cannot commit.

A member that is about to stop is replaced by raising a learner first and removing it
afterwards, when all others in reach hold the entry that raised the learner and all before
it. For a moment there is a voter more, and an even number of 2t + 2 bears as many
losses t as the 2t + 1 before and after; removing it first would leave 2t voters, which bear
one less. A voter that is lost already is removed first: raising first would make the
newcomer's life a condition of the majority, and nothing is gained by its vote.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import CoreMember
from kelpstage.core.raft.members import is_majority_of, quorum_size, write_members
from kelpstage.core.raft.replication import append_own, replicate_all
from kelpstage.core.raft.state import RaftState
from kelpstage.core.raft.types import (
    LEADER,
    MEMBERSHIP,
    JoinRequested,
    LeaveRequested,
    LeaveState,
    LeaveStatus,
    MarginChanged,
)

LOST_AFTER_US = 2_500_000
LEAVE_REQUEST_KEPT_US = 1_000_000  # a leaving member repeats its request more often


def on_join_requested(state: RaftState, event: JoinRequested) -> None:
    """Note a request for membership; it is granted as soon as a change may be made."""
    if state.role != LEADER:
        return
    state.join_requests[event.member.replica] = event.member
    state.leave_requests.pop(event.member.replica, None)
    if not is_change_pending(state) and not state.transfer_target:
        _admit_next(state)


def on_leave_requested(state: RaftState, event: LeaveRequested) -> None:
    """Note who is about to stop; the next ticks replace it."""
    if state.role != LEADER or event.replica == state.me:
        return
    state.leave_requests[event.replica] = state.now_us
    state.join_requests.pop(event.replica, None)


def is_change_pending(state: RaftState) -> bool:
    """Is a change of members still on its way, or this term not yet proved?"""
    return state.members.index > state.commit_index or not state.is_term_committed


def maintain_membership(state: RaftState) -> None:
    """Make the change that is due, if any: one at a time."""
    _note_margin(state)
    _follow_rounds(state)
    oldest_us = state.now_us - LEAVE_REQUEST_KEPT_US
    for name in [n for n, at_us in state.leave_requests.items() if at_us < oldest_us]:
        del state.leave_requests[name]
    if is_change_pending(state) or state.transfer_target or _admit_next(state):
        return
    for change in (_fill_voters, _replace_leaving, _remove_lost):
        if change(state):
            return


def _fill_voters(state: RaftState) -> bool:
    """Raise a learner while there are fewer voters than wanted."""
    ready = _ready_learners(state)
    if len(state.members.voters) >= state.voters_wanted or not ready:
        return False
    _raise_to_voter(state, learner=ready[0])
    return True


def _replace_leaving(state: RaftState) -> bool:
    """Raise a learner for a voter that is about to stop, then remove that voter."""
    leaving = [m for m in state.members.current if m.replica in state.leave_requests]
    leaving_learners = [m for m in leaving if not m.is_voter]
    # One whose address another replica has taken is gone: it is removed first, as lost.
    leaving_voters = [m for m in leaving if m.is_voter and not _has_successor(state, member=m)]
    if leaving_learners:
        return _remove(state, member=leaving_learners[0])
    if not leaving_voters:
        return False
    if len(state.members.voters) > state.voters_wanted:
        is_held = _is_last_change_held(state)
        return is_held and _remove(state, member=leaving_voters[0])
    ready = _ready_learners(state)
    if ready:
        _raise_to_voter(state, learner=ready[0])
    return bool(ready)


def _is_last_change_held(state: RaftState) -> bool:
    """Do all voters in reach that stay hold the log up to the last change of members?"""
    return all(
        state.match_index_of(name=m.replica) >= state.members.index
        for m in state.members.voters
        if m.replica not in state.leave_requests and state.is_active(name=m.replica)
    )


def _remove_lost(state: RaftState) -> bool:
    """Remove a lost learner, or a lost voter whose place can be taken."""
    others = state.members.others(replica=state.me)
    lost = [m for m in others if _is_lost(state, member=m)]
    lost_learners = [m for m in lost if not m.is_voter]
    lost_voters = [m for m in lost if m.is_voter]
    if lost_learners:
        return _remove(state, member=lost_learners[0])
    voters = len(state.members.voters)
    is_replaceable = voters > state.voters_wanted or bool(_ready_learners(state))
    if not lost_voters or not is_replaceable or voters <= 2:
        return False
    return _remove(state, member=lost_voters[0])


def _ready_learners(state: RaftState) -> list[CoreMember]:
    """Learners that can vote from now on, in the order of their names."""
    learners = [
        m
        for m in state.members.current
        if not m.is_voter
        and m.replica not in state.leave_requests
        and _is_caught_up(state, name=m.replica)
    ]
    return sorted(learners, key=lambda m: m.replica)


# --- leaving -------------------------------------------------------------------------


def leave_status(state: RaftState, *, replica: str, term: int, last_index: int) -> LeaveStatus:
    """May a member stop that has this term and this last index? It may when its removal
    is committed, or when nobody can replace it and enough others hold all that it does."""
    if state.role != LEADER or term > state.term:
        return LeaveStatus(state=LeaveState.NOT_LEADER)
    is_committed = state.members.index <= state.commit_index
    if not state.members.has(replica=replica):
        return _leave_status(state, LeaveState.REPLACED if is_committed else LeaveState.WAIT)
    is_waiting = (
        not is_committed
        or replica == state.me
        or not state.members.is_voter(replica=replica)
        or _has_replacement(state)
        or not _is_copied(state, replica=replica, last_index=last_index)
    )
    return _leave_status(
        state, LeaveState.WAIT if is_waiting else LeaveState.COPIED, without=replica
    )


def _leave_status(state: RaftState, leave: LeaveState, *, without: str = "") -> LeaveStatus:
    return LeaveStatus(
        state=leave,
        losses_borne=_count_losses_borne(state, without=without),
        losses_wanted=state.losses_wanted,
    )


def _has_replacement(state: RaftState) -> bool:
    """Is there a learner that can take a voter's place, now or when it has caught up?"""
    return bool(state.join_requests) or any(
        not m.is_voter and m.replica not in state.leave_requests and state.is_active(name=m.replica)
        for m in state.members.current
    )


def _is_copied(state: RaftState, *, replica: str, last_index: int) -> bool:
    """Do enough other voters hold all that this one has, to lose the wanted number?"""
    others = [m.replica for m in state.members.voters if m.replica != replica]
    index = min(last_index, state.log.last_index)
    holders = [n for n in others if state.match_index_of(name=n) >= index]
    return len(holders) >= min(state.losses_wanted + 1, len(others))


def _count_losses_borne(state: RaftState, *, without: str = "") -> int:
    """How many voters in reach can be lost with a majority left; below zero: none is."""
    voters = state.members.voters
    active = [m for m in voters if m.replica != without and state.is_active(name=m.replica)]
    return len(active) - quorum_size(voters=len(voters))


def _note_margin(state: RaftState) -> None:
    losses_borne = _count_losses_borne(state)
    if losses_borne == state.losses_borne:
        return
    state.losses_borne = losses_borne
    state.margin_since_us = state.now_us
    state.emit(MarginChanged(losses_borne=losses_borne, losses_wanted=state.losses_wanted))


# --- changes -------------------------------------------------------------------------


def _propose(state: RaftState, *, members: list[CoreMember]) -> None:
    append_own(state, kind=MEMBERSHIP, data=write_members(members=members))
    replicate_all(state)


def _remove(state: RaftState, *, member: CoreMember) -> bool:
    """Remove a member, if those in reach can commit that without it."""
    rest = [m for m in state.members.current if m.replica != member.replica]
    active = {m.replica for m in rest if state.is_active(name=m.replica)}
    if not is_majority_of(members=rest, names=active):
        return False
    _propose(state, members=rest)
    return True


def _replace(state: RaftState, *, member: CoreMember) -> None:
    others = [m for m in state.members.current if m.replica != member.replica]
    _propose(state, members=[*others, member])


def _raise_to_voter(state: RaftState, *, learner: CoreMember) -> None:
    raised = CoreMember(
        replica=learner.replica, address=learner.address, http=learner.http, is_voter=True
    )
    _replace(state, member=raised)


def _admit_next(state: RaftState) -> bool:
    """Admit the next applicant as a learner, or record a member's new address."""
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


def carry_silence(state: RaftState) -> None:
    """A new leader counts the silence of the one before from the last contact with it,
    but leaves it the shortest election timeout to answer."""
    progress = state.progress.get(state.heard_leader)
    if progress is not None:
        latest_us = state.now_us - (LOST_AFTER_US - state.timing.election_low_us)
        progress.heard_us = max(state.heard_leader_us, latest_us)


def _is_lost(state: RaftState, *, member: CoreMember) -> bool:
    """Silent for long, or with another replica at its address: a core that came
    back without its disk is a new replica, and the one before is gone for good."""
    if state.now_us - state.progress[member.replica].heard_us > LOST_AFTER_US:
        return True
    return _has_successor(state, member=member) and not state.is_active(name=member.replica)


def _has_successor(state: RaftState, *, member: CoreMember) -> bool:
    """Is another replica there, at the same address?"""
    return any(
        other.address == member.address and state.is_active(name=other.replica)
        for other in state.members.current
        if other.replica != member.replica
    )


def _follow_rounds(state: RaftState) -> None:
    """End the rounds of catching up that have come to their end, and begin new ones."""
    for progress in state.progress.values():
        if progress.match_index >= progress.round_target:
            progress.round_took_us = state.now_us - progress.round_began_us
            progress.round_target = state.commit_index
            progress.round_began_us = state.now_us


def _is_caught_up(state: RaftState, *, name: str) -> bool:
    """Does a reachable replica have on its disk what was committed within the shortest
    election timeout? A distant one never has the newest entries while changes go on, so
    those are not required of it."""
    progress = state.progress[name]
    if not state.is_active(name=name) or progress.round_took_us is None:
        return False
    limit_us = state.timing.election_low_us
    since_us = state.now_us - progress.round_began_us
    return progress.round_took_us + since_us <= limit_us
