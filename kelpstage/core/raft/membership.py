"""Membership changes, one replica at a time (thesis, 4.1, with its correction).

Invariants: a change is proposed only when the previous change and an entry of the leader's own
term are committed, so any two majorities that may decide at the same time overlap. A learner
becomes a voter only when it has caught up: its disk stores the entries that were committed up
to the shortest election timeout ago. No change is proposed that the reachable members cannot
commit.

A member that is about to stop is replaced by promoting a learner first. The member is removed
when all other reachable voters store the log up to the entry that promoted the learner. In
between there are 2t + 2 voters, which tolerate t losses like the 2t + 1 before and after.
Removing the member first would leave 2t voters, which tolerate one loss less.

A voter that is already lost is removed first. Promoting the learner first would make the
majority depend on the learner staying alive, and its vote would gain nothing.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import CoreMember
from kelpstage.core.raft.members import is_majority_of, quorum_size, write_members
from kelpstage.core.raft.replication import append_as_leader, replicate_all
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
LEAVE_REQUEST_TTL_US = 1_000_000  # a leaving member repeats its request more often


def on_join_requested(state: RaftState, event: JoinRequested) -> None:
    """Record a request for membership, and grant it as soon as a change is allowed."""
    if state.role != LEADER:
        return
    state.join_requests[event.member.replica] = event.member
    state.leave_requests.pop(event.member.replica, None)
    if not is_change_pending(state) and not state.transfer_target:
        _admit_next(state)


def on_leave_requested(state: RaftState, event: LeaveRequested) -> None:
    """Record that a member is about to stop; the following ticks replace it."""
    if state.role != LEADER or event.replica == state.me:
        return
    state.leave_requests[event.replica] = state.now_us
    state.join_requests.pop(event.replica, None)


def is_change_pending(state: RaftState) -> bool:
    """True while a membership change or the first entry of the current term is uncommitted."""
    return state.members.index > state.commit_index or not state.is_term_committed


def maintain_membership(state: RaftState) -> None:
    """Propose the next membership change that is due, one at a time."""
    _update_margin(state)
    _update_catch_up_rounds(state)
    oldest_us = state.now_us - LEAVE_REQUEST_TTL_US
    for name in [n for n, at_us in state.leave_requests.items() if at_us < oldest_us]:
        del state.leave_requests[name]
    if is_change_pending(state) or state.transfer_target or _admit_next(state):
        return
    for change in (_add_missing_voter, _replace_leaving, _remove_lost):
        if change(state):
            return


def _add_missing_voter(state: RaftState) -> bool:
    """Promote a learner when there are fewer voters than wanted."""
    ready = _promotable_learners(state)
    if len(state.members.voters) >= state.voters_wanted or not ready:
        return False
    _promote_to_voter(state, learner=ready[0])
    return True


def _replace_leaving(state: RaftState) -> bool:
    """Promote a learner in place of a voter that is about to stop, then remove that voter."""
    leaving = [m for m in state.members.current if m.replica in state.leave_requests]
    leaving_learners = [m for m in leaving if not m.is_voter]
    # A voter whose address another replica uses is gone: `_remove_lost` removes it directly.
    leaving_voters = [m for m in leaving if m.is_voter and not _has_successor(state, member=m)]
    if leaving_learners:
        return _remove(state, member=leaving_learners[0])
    if not leaving_voters:
        return False
    if len(state.members.voters) > state.voters_wanted:
        is_replicated = _is_last_change_replicated(state)
        return is_replicated and _remove(state, member=leaving_voters[0])
    ready = _promotable_learners(state)
    if ready:
        _promote_to_voter(state, learner=ready[0])
    return bool(ready)


def _is_last_change_replicated(state: RaftState) -> bool:
    """True when all reachable voters that stay store the log up to the last membership change."""
    return all(
        state.match_index_of(name=m.replica) >= state.members.index
        for m in state.members.voters
        if m.replica not in state.leave_requests and state.is_active(name=m.replica)
    )


def _remove_lost(state: RaftState) -> bool:
    """Remove a lost learner, or a lost voter that can be replaced."""
    others = state.members.others(replica=state.me)
    lost = [m for m in others if _is_lost(state, member=m)]
    lost_learners = [m for m in lost if not m.is_voter]
    lost_voters = [m for m in lost if m.is_voter]
    if lost_learners:
        return _remove(state, member=lost_learners[0])
    voters = len(state.members.voters)
    is_replaceable = voters > state.voters_wanted or bool(_promotable_learners(state))
    if not lost_voters or not is_replaceable or voters <= 2:
        return False
    return _remove(state, member=lost_voters[0])


def _promotable_learners(state: RaftState) -> list[CoreMember]:
    """Return the learners that can become voters now, sorted by name."""
    learners = [
        m
        for m in state.members.current
        if not m.is_voter
        and m.replica not in state.leave_requests
        and _is_caught_up(state, name=m.replica)
    ]
    return sorted(learners, key=lambda m: m.replica)


# --- leave requests ------------------------------------------------------------------


def leave_status(state: RaftState, *, replica: str, term: int, last_index: int) -> LeaveStatus:
    """Return whether a member with this term and last index may stop.

    It may stop when its removal is committed, or when no learner can replace it and enough other
    voters store all of its entries.
    """
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
    """True when a learner can replace a voter, now or after catching up."""
    return bool(state.join_requests) or any(
        not m.is_voter and m.replica not in state.leave_requests and state.is_active(name=m.replica)
        for m in state.members.current
    )


def _is_copied(state: RaftState, *, replica: str, last_index: int) -> bool:
    """True when enough other voters to survive the wanted losses store all of its entries."""
    others = [m.replica for m in state.members.voters if m.replica != replica]
    index = min(last_index, state.log.last_index)
    holders = [n for n in others if state.match_index_of(name=n) >= index]
    return len(holders) >= min(state.losses_wanted + 1, len(others))


def _count_losses_borne(state: RaftState, *, without: str = "") -> int:
    """Return how many reachable voters can be lost with a majority left; negative if none is."""
    voters = state.members.voters
    active = [m for m in voters if m.replica != without and state.is_active(name=m.replica)]
    return len(active) - quorum_size(voters=len(voters))


def _update_margin(state: RaftState) -> None:
    losses_borne = _count_losses_borne(state)
    if losses_borne == state.losses_borne:
        return
    state.losses_borne = losses_borne
    state.margin_since_us = state.now_us
    state.emit(MarginChanged(losses_borne=losses_borne, losses_wanted=state.losses_wanted))


# --- changes -------------------------------------------------------------------------


def _propose(state: RaftState, *, members: list[CoreMember]) -> None:
    append_as_leader(state, kind=MEMBERSHIP, data=write_members(members=members))
    replicate_all(state)


def _remove(state: RaftState, *, member: CoreMember) -> bool:
    """Remove a member if the other reachable members can commit that; false if they cannot."""
    rest = [m for m in state.members.current if m.replica != member.replica]
    active = {m.replica for m in rest if state.is_active(name=m.replica)}
    if not is_majority_of(members=rest, names=active):
        return False
    _propose(state, members=rest)
    return True


def _replace(state: RaftState, *, member: CoreMember) -> None:
    others = [m for m in state.members.current if m.replica != member.replica]
    _propose(state, members=[*others, member])


def _promote_to_voter(state: RaftState, *, learner: CoreMember) -> None:
    promoted = CoreMember(
        replica=learner.replica, address=learner.address, http=learner.http, is_voter=True
    )
    _replace(state, member=promoted)


def _admit_next(state: RaftState) -> bool:
    """Admit the next applicant as a learner, or record a member's new address; false if neither."""
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


def carry_over_leader_contact(state: RaftState) -> None:
    """Use the last contact with the previous leader as its last contact with this one.

    A lost leader is then removed as soon as a lost follower. It still has at least the shortest
    election timeout to reply.
    """
    progress = state.progress.get(state.last_leader)
    if progress is not None:
        latest_us = state.now_us - (LOST_AFTER_US - state.timing.election_low_us)
        progress.last_contact_us = max(state.last_leader_contact_us, latest_us)


def _is_lost(state: RaftState, *, member: CoreMember) -> bool:
    """True when a member made no contact for `LOST_AFTER_US`, or its address was taken over.

    A core that restarts without its disk is a new replica at the same address. The previous
    replica never returns, so it counts as lost as soon as it is inactive.
    """
    if state.now_us - state.progress[member.replica].last_contact_us > LOST_AFTER_US:
        return True
    return _has_successor(state, member=member) and not state.is_active(name=member.replica)


def _has_successor(state: RaftState, *, member: CoreMember) -> bool:
    """True when another active replica has the same address."""
    return any(
        other.address == member.address and state.is_active(name=other.replica)
        for other in state.members.current
        if other.replica != member.replica
    )


def _update_catch_up_rounds(state: RaftState) -> None:
    """Complete the catch-up rounds whose target is reached, and start new ones."""
    for progress in state.progress.values():
        if progress.match_index >= progress.round_target:
            progress.round_took_us = state.now_us - progress.round_began_us
            progress.round_target = state.commit_index
            progress.round_began_us = state.now_us


def _is_caught_up(state: RaftState, *, name: str) -> bool:
    """True when an active replica lags by at most the shortest election timeout.

    Its disk then stores the entries that were committed until then. Newer entries are not
    required, because a distant replica never has them while writes continue.
    """
    progress = state.progress[name]
    if not state.is_active(name=name) or progress.round_took_us is None:
        return False
    limit_us = state.timing.election_low_us
    since_us = state.now_us - progress.round_began_us
    return progress.round_took_us + since_us <= limit_us
