"""Leader election, with pre-vote (thesis, 9.6) and leader stickiness (4.2.3).

Invariants: a replica votes once in a term, and only for a candidate whose log is at least as
up to date as its own. Term and vote are on disk before they are sent, the candidate's vote
for itself included. A replica in contact with a leader grants no vote that could replace it,
except in a leadership transfer that the leader has requested.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import RequestVote, RequestVoteReply, TimeoutNow
from kelpstage.core.raft.leadership import become_leader
from kelpstage.core.raft.roles import become, become_follower, reset_election_timeout
from kelpstage.core.raft.state import RaftState
from kelpstage.core.raft.types import CANDIDATE, LEADER, PRE_CANDIDATE

FIRST_CAMPAIGN_DELAY_US = 250_000


def tick_elections(state: RaftState) -> None:
    """After an election timeout without contact, clear the leader and campaign if allowed.

    A learner clears its leader too: it may have been removed without being notified, and it
    requests membership again only when it knows of no leader.
    """
    if state.now_us < state.election_due_us:
        return
    state.leader = ""
    state.leader_address = ""
    if state.is_sync_stalled or not state.members.is_voter(replica=state.me):
        reset_election_timeout(state)  # no campaign with a stalled disk or as a learner
        return
    _start_pre_vote(state)


def schedule_first_campaign(state: RaftState) -> None:
    """Let one member of a newly founded cluster campaign after a short delay.

    It is the voter with the lowest name. No leader exists yet that the campaign could disturb.
    """
    names = [m.replica for m in state.members.current if m.is_voter]
    is_new = state.term <= 1 and not state.log.entries and not state.vote
    if is_new and state.me == min(names, default=""):
        state.election_due_us = state.now_us + FIRST_CAMPAIGN_DELAY_US


def _start_pre_vote(state: RaftState) -> None:
    """Request pre-votes, so that an election that cannot be won starts no new term."""
    become(state, role=PRE_CANDIDATE)
    state.leader = ""
    state.votes = {state.me}
    reset_election_timeout(state)
    schedule_first_campaign(state)
    if state.members.is_majority(names=state.votes):
        _campaign(state, is_transfer=False)
        return
    _request_votes(state, term=state.term + 1, is_pre_vote=True, is_transfer=False)


def _campaign(state: RaftState, *, is_transfer: bool) -> None:
    state.term += 1
    state.vote = state.me
    state.leader = ""
    become(state, role=CANDIDATE)
    state.votes = set()
    reset_election_timeout(state)
    state.self_vote_number = state.persist(term=state.term, vote=state.vote)
    _request_votes(state, term=state.term, is_pre_vote=False, is_transfer=is_transfer)


def _request_votes(state: RaftState, *, term: int, is_pre_vote: bool, is_transfer: bool) -> None:
    """Request votes from the other voters.

    A request for a vote is sent only when the term, this replica's vote for itself and the
    log that the request describes are on disk. A pre-vote does not wait for the disk.
    """
    for member in state.members.others(replica=state.me):
        if not member.is_voter:
            continue
        state.send(
            to=member.replica,
            message=RequestVote(
                cluster=state.cluster,
                sender=state.me,
                to=member.replica,
                term=term,
                last_log_index=state.log.last_index,
                last_log_term=state.log.last_term,
                is_pre_vote=is_pre_vote,
                is_transfer=is_transfer,
                address=state.members.address(replica=state.me),
            ),
            is_after_sync=not is_pre_vote,
        )


def on_request_vote(state: RaftState, request: RequestVote) -> None:
    """Reply to a vote request; a pre-vote reply says whether a vote would be granted."""
    if _has_leader(state) and not request.is_transfer:
        if request.is_pre_vote:
            _reply_request_vote(state, request=request, is_granted=False)
        return
    if request.is_pre_vote:
        is_granted = request.term > state.term and _is_up_to_date(state, request=request)
        _reply_request_vote(state, request=request, is_granted=is_granted)
        return
    if request.term > state.term:
        become_follower(state, term=request.term)
    is_granted = (
        request.term == state.term
        and state.vote in ("", request.sender)
        and _is_up_to_date(state, request=request)
        and not state.is_sync_stalled
    )
    if is_granted and not state.vote:
        state.vote = request.sender
        state.persist(term=state.term, vote=state.vote)
    if is_granted:
        reset_election_timeout(state)
    _reply_request_vote(state, request=request, is_granted=is_granted)


def _has_leader(state: RaftState) -> bool:
    if state.now_us - state.last_leader_contact_us < state.timing.election_low_us:
        return True
    return state.role == LEADER and state.has_quorum_contact()


def _is_up_to_date(state: RaftState, *, request: RequestVote) -> bool:
    candidate_log = (request.last_log_term, request.last_log_index)
    return candidate_log >= (state.log.last_term, state.log.last_index)


def _reply_request_vote(state: RaftState, *, request: RequestVote, is_granted: bool) -> None:
    reply = RequestVoteReply(
        cluster=state.cluster,
        sender=state.me,
        to=request.sender,
        term=request.term if is_granted else state.term,
        is_pre_vote=request.is_pre_vote,
        is_granted=is_granted,
    )
    state.send(to=request.sender, message=reply, is_after_sync=True, address=request.address)


def on_request_vote_reply(state: RaftState, reply: RequestVoteReply) -> None:
    """Count a vote. A majority of pre-votes starts the election, a majority of votes wins it."""
    if reply.term > state.term and not (reply.is_pre_vote and reply.is_granted):
        become_follower(state, term=reply.term)
        return
    if not reply.is_granted:
        return
    if reply.is_pre_vote:
        if state.role == PRE_CANDIDATE and reply.term == state.term + 1:
            _count_pre_vote(state, voter=reply.sender)
        return
    # Vote requests wait until the candidate's own vote is on disk. A grant that arrives before
    # that answers a request from before a restart of this replica.
    is_vote_requested = state.writes.is_synced(number=state.self_vote_number)
    if state.role == CANDIDATE and reply.term == state.term and is_vote_requested:
        _count_vote(state, voter=reply.sender)


def _count_pre_vote(state: RaftState, *, voter: str) -> None:
    state.votes.add(voter)
    if state.members.is_majority(names=state.votes):
        _campaign(state, is_transfer=False)


def _count_vote(state: RaftState, *, voter: str) -> None:
    state.votes.add(voter)
    if state.members.is_majority(names=state.votes):
        become_leader(state)


def count_own_vote(state: RaftState) -> None:
    """Count a candidate's vote for itself once it is on disk."""
    if state.role == CANDIDATE and state.writes.is_synced(number=state.self_vote_number):
        _count_vote(state, voter=state.me)


def on_timeout_now(state: RaftState, message: TimeoutNow) -> None:
    """Campaign immediately: the leader transfers leadership to this replica."""
    if message.term != state.term or not state.members.is_voter(replica=state.me):
        return
    if state.is_sync_stalled:
        return
    _campaign(state, is_transfer=True)
