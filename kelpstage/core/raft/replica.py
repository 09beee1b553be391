"""Raft, plain: an event goes in, effects come out, no I/O and no clock of its own.

Pre-vote and check-quorum keep a cut-off replica from disturbing the others; the
read index confirms leadership before a linearizable read; membership changes go
one replica at a time; a planned stop hands leadership over. Messages that
promise something on disk carry the number of the write that they wait for.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from kelpstage.base.wire.messages import (
    AppendEntries,
    AppendEntriesReply,
    CoreMember,
    InstallSnapshot,
    LogEntry,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.raft.members import MemberList, write_members
from kelpstage.core.raft.types import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    MEMBERSHIP,
    NOOP,
    PRE_CANDIDATE,
    Commit,
    FetchOffered,
    JoinRequested,
    KeepSnapshot,
    NotLeader,
    Persist,
    Propose,
    Proposed,
    ReadIndex,
    ReadLost,
    ReadReady,
    Received,
    Removed,
    RoleChanged,
    Send,
    SnapshotFetched,
    SnapshotTaken,
    Synced,
    Tick,
    Timing,
    TransferLeadership,
)

LOST_AFTER_US = 2_500_000
FIRST_CAMPAIGN_US = 250_000


@dataclass(kw_only=True)
class Progress:
    """What a leader knows of one other replica."""

    next_index: int
    match_index: int = 0
    heard_us: int = 0
    sent_us: int = -1_000_000
    heartbeat: int = 0
    is_probing: bool = True


class Replica:
    """One voice in the log's agreement.

    >>> me = CoreMember(replica="a", address="127.0.0.1:1", is_voter=True)
    >>> one = Replica(me="a", cluster="c", members=[me], rand=random.Random(1), now_us=0)
    >>> effects = one.step(now_us=10_000_000, event=Tick())
    >>> one.role, [type(effect).__name__ for effect in effects][-1]
    ('candidate', 'Persist')
    >>> effects = one.step(now_us=10_000_001, event=Synced(number=1))
    >>> one.role
    'leader'
    """

    def __init__(
        self,
        *,
        me: str,
        cluster: str,
        members: list[CoreMember],
        rand: random.Random,
        now_us: int,
        term: int = 0,
        vote: str = "",
        log: MemoryLog | None = None,
        timing: Timing = Timing(),
        voters: int = 3,
    ) -> None:
        self.me = me
        self.cluster = cluster
        self.term = term
        self.vote = vote
        self.log = log or MemoryLog(base_index=0, base_term=0)
        self.commit_index = self.log.base_index
        self.role = FOLLOWER
        self.leader = ""
        self.leader_address = ""
        self.members = MemberList(
            base=members, entries=self.log.entries, base_index=self.log.base_index
        )
        self._rand = rand
        self._timing = timing
        self._voters_wanted = voters
        self._join_requests: dict[
            str, CoreMember
        ] = {}  # that wait for a place, one change at a time
        self._now = now_us
        self._effects: list[Any] = []
        self._number = 0
        self._synced = 0
        self._unsynced: list[tuple[int, int, int]] = []  # number, last index, when
        self._cut_number = 0
        self.durable = self.log.last_index
        self._self_vote_number = 0
        self._votes: set[str] = set()
        self._progress: dict[str, Progress] = {}
        self._heartbeat = 0
        self._heartbeat_due_us = 0
        self._reads: list[tuple[int, int, int]] = []  # token, heartbeat, index
        self._early_reads: list[int] = []
        self._led_since = 0
        self._transfer_target = ""
        self._transfer_until_us = 0
        self._heard_leader_us = -(10**12)
        self._has_log = self.log.last_index > 0 and term > 1
        self._has_been_member = self.members.has(replica=me)
        self._reset_election_timeout()
        self._hasten_first_campaign()

    # --- taking events in ----------------------------------------------------

    def step(self, *, now_us: int, event: Any) -> list[Any]:
        """Take one event, give the effects."""
        self._now = max(self._now, now_us)
        self._on(event)
        out, self._effects = self._effects, []
        return out

    @singledispatchmethod
    def _on(self, event: Any) -> None:
        raise TypeError(type(event))

    @_on.register
    def _(self, event: Tick) -> None:
        if self.role == LEADER:
            self._tick_leader()
            return
        if self._is_sync_stalled():
            self._reset_election_timeout()  # a disk that hangs gives no right to campaign
            return
        if self._now >= self._election_due_us and self.members.is_voter(replica=self.me):
            self._start_pre_vote()

    @_on.register
    def _(self, event: Received) -> None:
        message = event.message
        if message.cluster != self.cluster or message.to != self.me:
            return
        self._on(message)

    @_on.register
    def _(self, event: Synced) -> None:
        self._synced = max(self._synced, event.number)
        while self._unsynced and self._unsynced[0][0] <= event.number:
            number, last, _ = self._unsynced.pop(0)
            if number >= self._cut_number:
                self.durable = max(self.durable, last)
        if self.role == CANDIDATE and self._self_vote_number <= self._synced:
            self._count_vote(voter=self.me)
        if self.role == LEADER:
            self._advance_commit_index()

    @_on.register
    def _(self, event: Propose) -> None:
        if self.role != LEADER or self._transfer_target:
            self._emit(NotLeader(token=event.token))
            return
        index = self._append(kind=event.kind, data=event.data)
        self._emit(Proposed(token=event.token, index=index, term=self.term))
        self._replicate_all()

    @_on.register
    def _(self, event: ReadIndex) -> None:
        if self.role != LEADER:
            self._emit(ReadLost(token=event.token))
            return
        if self.log.term_at(index=self.commit_index) != self.term:
            self._early_reads.append(event.token)  # until its first entry is committed
            return
        self._heartbeat += 1
        self._reads.append((event.token, self._heartbeat, self.commit_index))
        self._send_heartbeats()
        self._confirm_reads()

    @_on.register
    def _(self, event: TransferLeadership) -> None:
        if self.role != LEADER:
            return
        others = [
            (progress.match_index, name)
            for name, progress in self._progress.items()
            if self.members.is_voter(replica=name)
            and self._now - progress.heard_us < self._timing.election_low_us
        ]
        if not others:
            return
        self._transfer_target = max(others)[1]
        self._transfer_until_us = self._now + self._timing.election_low_us
        self._try_transfer()

    @_on.register
    def _(self, event: SnapshotTaken) -> None:
        self.members.rebase(index=event.index)
        self.log.compact(index=event.index)

    @_on.register
    def _(self, event: SnapshotFetched) -> None:
        if event.index <= self.commit_index:
            return
        self.log = MemoryLog(base_index=event.index, base_term=event.term)
        self.members = MemberList(base=event.members, entries=[], base_index=event.index)
        self.commit_index = event.index
        self._cut_number = self._number + 1
        self.durable = min(self.durable, self.commit_index)
        self._number += 1
        self._unsynced.append((self._number, event.index, self._now))
        self._emit(KeepSnapshot(number=self._number, term=self.term, vote=self.vote))
        self._membership_changed()
        leader = self.members.get(replica=event.leader)
        if leader is not None:
            self._reply_append_entries(
                to=event.leader, is_ok=True, match_index=event.index, heartbeat=event.heartbeat
            )

    @_on.register
    def _(self, event: JoinRequested) -> None:
        if self.role != LEADER:
            return
        self._join_requests[event.member.replica] = event.member
        if not self._is_change_pending():
            self._admit_next()

    def _admit_next(self) -> bool:
        """Give the next one that asks its place, as a learner, or its new address."""
        while self._join_requests:
            _, applicant = self._join_requests.popitem()
            known = self.members.get(replica=applicant.replica)
            if known is None:
                learner = CoreMember(
                    replica=applicant.replica,
                    address=applicant.address,
                    http=applicant.http,
                    is_voter=False,
                )
                self._propose_members(members=self.members.current + [learner])
                return True
            if (known.address, known.http) == (applicant.address, applicant.http):
                continue
            fresh = CoreMember(
                replica=known.replica,
                address=applicant.address,
                http=applicant.http,
                is_voter=known.is_voter,
            )
            others = [m for m in self.members.current if m.replica != known.replica]
            self._propose_members(members=others + [fresh])
            return True
        return False

    # --- elections ---------------------------------------------------

    def _reset_election_timeout(self) -> None:
        """When to campaign if no leader is heard until then: soon in a life that has heard
        none yet. After a loss of all cores each would else wait as if for a leader; where
        there is one, its heartbeat comes first, or the others' word in the vote before."""
        low, high = self._timing.election_low_us, self._timing.election_high_us
        if self._heard_leader_us < 0 and self._has_log:
            low, high = self._timing.wake_low_us, self._timing.wake_high_us
        self._election_due_us = self._now + low + int(self._rand.random() * (high - low))

    def _hasten_first_campaign(self) -> None:
        """Of a cluster that was founded a moment ago, the member with the least name
        campaigns first and soon; there is no leader yet whom that could disturb."""
        names = [m.replica for m in self.members.current if m.is_voter]
        is_new = self.term <= 1 and not self.log.entries and not self.vote
        if is_new and self.me == min(names, default=""):
            self._election_due_us = self._now + FIRST_CAMPAIGN_US

    def _is_sync_stalled(self) -> bool:
        return bool(self._unsynced) and (
            self._now - self._unsynced[0][2] > self._timing.sync_limit_us
        )

    def _start_pre_vote(self) -> None:
        """Ask whether an election could be won, before a term is spent on it."""
        self._become(role=PRE_CANDIDATE)
        self.leader = ""
        self._votes = {self.me}
        self._reset_election_timeout()
        self._hasten_first_campaign()
        if self.members.is_majority(names=self._votes):
            self._campaign(is_transfer=False)
            return
        self._request_votes(term=self.term + 1, is_pre_vote=True, is_transfer=False)

    def _campaign(self, *, is_transfer: bool) -> None:
        self.term += 1
        self.vote = self.me
        self.leader = ""
        self._become(role=CANDIDATE)
        self._votes = set()
        self._reset_election_timeout()
        self._self_vote_number = self._persist(term=self.term, vote=self.vote)
        self._request_votes(term=self.term, is_pre_vote=False, is_transfer=is_transfer)

    def _request_votes(self, *, term: int, is_pre_vote: bool, is_transfer: bool) -> None:
        for member in self.members.others(replica=self.me):
            if not member.is_voter:
                continue
            self._send(
                to=member.replica,
                message=RequestVote(
                    cluster=self.cluster,
                    sender=self.me,
                    to=member.replica,
                    term=term,
                    last_log_index=self.log.last_index,
                    last_log_term=self.log.last_term,
                    is_pre_vote=is_pre_vote,
                    is_transfer=is_transfer,
                    address=self.members.address(replica=self.me),
                ),
            )

    @_on.register
    def _(self, request: RequestVote) -> None:
        has_leader = self._now - self._heard_leader_us < self._timing.election_low_us or (
            self.role == LEADER and self._has_quorum_contact()
        )
        if has_leader and not request.is_transfer:
            if request.is_pre_vote:
                self._reply_request_vote(request=request, is_granted=False)
            return
        if request.is_pre_vote:
            is_granted = request.term > self.term and self._is_log_up_to_date(request=request)
            self._reply_request_vote(request=request, is_granted=is_granted)
            return
        if request.term > self.term:
            self._become_follower(term=request.term)
        is_granted = (
            request.term == self.term
            and self.vote in ("", request.sender)
            and self._is_log_up_to_date(request=request)
            and not self._is_sync_stalled()
        )
        if is_granted and not self.vote:
            self.vote = request.sender
            self._persist(term=self.term, vote=self.vote)
        if is_granted:
            self._reset_election_timeout()
        self._reply_request_vote(request=request, is_granted=is_granted)

    def _is_log_up_to_date(self, *, request: RequestVote) -> bool:
        return (request.last_log_term, request.last_log_index) >= (
            self.log.last_term,
            self.log.last_index,
        )

    def _reply_request_vote(self, *, request: RequestVote, is_granted: bool) -> None:
        reply = RequestVoteReply(
            cluster=self.cluster,
            sender=self.me,
            to=request.sender,
            term=request.term if is_granted else self.term,
            is_pre_vote=request.is_pre_vote,
            is_granted=is_granted,
        )
        self._send(to=request.sender, message=reply, is_promise=True, address=request.address)

    @_on.register
    def _(self, reply: RequestVoteReply) -> None:
        if reply.term > self.term and not (reply.is_pre_vote and reply.is_granted):
            self._become_follower(term=reply.term)
            return
        if not reply.is_granted:
            return
        if reply.is_pre_vote and self.role == PRE_CANDIDATE and reply.term == self.term + 1:
            self._votes.add(reply.sender)
            if self.members.is_majority(names=self._votes):
                self._campaign(is_transfer=False)
            return
        if not reply.is_pre_vote and self.role == CANDIDATE and reply.term == self.term:
            self._count_vote(voter=reply.sender)

    def _count_vote(self, *, voter: str) -> None:
        self._votes.add(voter)
        if self.members.is_majority(names=self._votes):
            self._become_leader()

    @_on.register
    def _(self, message: TimeoutNow) -> None:
        if message.term != self.term or not self.members.is_voter(replica=self.me):
            return
        self._campaign(is_transfer=True)

    def _become(self, *, role: str) -> None:
        if self.role == role:
            return
        if self.role == LEADER:
            for token in [token for token, _, _ in self._reads] + self._early_reads:
                self._emit(ReadLost(token=token))
            self._reads.clear()
            self._early_reads.clear()
            self._transfer_target = ""
        self.role = role
        self._emit(RoleChanged(role=role, term=self.term))

    def _become_follower(self, *, term: int) -> None:
        """Become a follower; a higher term comes with a fresh vote."""
        if term > self.term:
            self.term = term
            self.vote = ""
            self._persist(term=self.term, vote="")
            self.leader = ""
        self._become(role=FOLLOWER)
        self._reset_election_timeout()

    # --- leading ---------------------------------------------------------------------

    def _become_leader(self) -> None:
        self.leader = self.me
        self._led_since = self._now
        self._progress = {}
        self._join_requests = {}
        self._heartbeat += 1
        self._become(role=LEADER)
        self._membership_changed()
        self._append(kind=NOOP, data=b"")
        self._replicate_all()

    def _tick_leader(self) -> None:
        if self._is_sync_stalled() or not self._has_quorum_contact():
            self._become_follower(term=self.term)
            self.leader = ""
            return
        if self._transfer_target and self._now > self._transfer_until_us:
            self._transfer_target = ""
        if self._now >= self._heartbeat_due_us:
            self._heartbeat += 1
            self._send_heartbeats()
        self._maintain_membership()

    def _has_quorum_contact(self) -> bool:
        """Check-quorum: a leader that hears no majority must not act as one."""
        limit = self._timing.election_high_us
        if self._now - self._led_since < limit:
            return True
        heard = {self.me} | {
            name
            for name, progress in self._progress.items()
            if self._now - progress.heard_us < limit
        }
        return self.members.is_majority(names=heard)

    def _append(self, *, kind: int, data: bytes) -> int:
        entry = LogEntry(index=self.log.last_index + 1, term=self.term, kind=kind, data=data)
        self.log.add(entry)
        self.members.append(entry=entry)
        self._persist(entries=[entry])
        if kind == MEMBERSHIP:
            self._membership_changed()
        return entry.index

    def _replicate_all(self) -> None:
        for member in self.members.others(replica=self.me):
            self._replicate(name=member.replica)

    def _send_heartbeats(self) -> None:
        self._heartbeat_due_us = self._now + self._timing.heartbeat_us
        for member in self.members.others(replica=self.me):
            progress = self._progress.get(member.replica)
            if progress is None:
                continue
            behind = progress.next_index <= self.log.last_index
            is_due = (
                progress.is_probing or self._now - progress.sent_us > 4 * self._timing.heartbeat_us
            )
            self._send_append_entries(name=member.replica, has_entries=behind and is_due)

    def _replicate(self, *, name: str) -> None:
        progress = self._progress.get(name)
        if progress is None:
            return
        if progress.is_probing and self._now - progress.sent_us < self._timing.heartbeat_us:
            return
        self._send_append_entries(name=name, has_entries=True)

    def _send_append_entries(self, *, name: str, has_entries: bool) -> None:
        progress = self._progress[name]
        prev = progress.next_index - 1
        prev_log_term = self.log.term_at(index=prev)
        if prev_log_term is None:
            self._offer_snapshot(name=name, progress=progress)
            return
        entries: list[LogEntry] = []
        if has_entries and progress.next_index <= self.log.last_index:
            entries = self.log.batch(start=progress.next_index, limit=self._timing.batch_bytes)
        if entries:
            progress.sent_us = self._now
            if not progress.is_probing:
                progress.next_index = entries[-1].index + 1
        self._send(
            to=name,
            message=AppendEntries(
                cluster=self.cluster,
                sender=self.me,
                to=name,
                term=self.term,
                prev_log_index=prev,
                prev_log_term=prev_log_term,
                entries=entries,
                commit_index=self.commit_index,
                heartbeat=self._heartbeat,
                leader_address=self.members.address(replica=self.me),
            ),
        )

    def _offer_snapshot(self, *, name: str, progress: Progress) -> None:
        self._send(
            to=name,
            message=InstallSnapshot(
                cluster=self.cluster,
                sender=self.me,
                to=name,
                term=self.term,
                last_included_index=self.log.base_index,
                last_included_term=self.log.base_term,
                leader_address=self.members.address(replica=self.me),
                heartbeat=self._heartbeat,
            ),
        )

    @_on.register
    def _(self, reply: AppendEntriesReply) -> None:
        if reply.term > self.term:
            self._become_follower(term=reply.term)
            return
        progress = self._progress.get(reply.sender)
        if self.role != LEADER or reply.term != self.term or progress is None:
            return
        progress.heard_us = self._now
        progress.heartbeat = max(progress.heartbeat, reply.heartbeat)
        if reply.is_ok:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            was_probing, progress.is_probing = progress.is_probing, False
            self._advance_commit_index()
            if self.role == LEADER and was_probing and progress.next_index <= self.log.last_index:
                self._send_append_entries(name=reply.sender, has_entries=True)
            self._try_transfer()
        else:
            progress.is_probing = True
            progress.next_index = max(
                progress.match_index + 1, min(reply.conflict_index + 1, progress.next_index)
            )
            self._send_append_entries(name=reply.sender, has_entries=True)
        self._confirm_reads()

    def _advance_commit_index(self) -> None:
        """Commit what a majority has on disk, if it is of this term."""
        matches = sorted(
            (
                self.durable
                if member.replica == self.me
                else self._progress[member.replica].match_index
                for member in self.members.current
                if member.is_voter
            ),
            reverse=True,
        )
        if not matches:
            return
        index = min(matches[len(matches) // 2], self.log.last_index)
        if index <= self.commit_index or self.log.term_at(index=index) != self.term:
            return
        self._commit_to(index=index)
        if self.role != LEADER:
            return
        for member in self.members.others(replica=self.me):
            self._send_append_entries(name=member.replica, has_entries=False)
        early, self._early_reads = self._early_reads, []
        for token in early:
            self._on(ReadIndex(token=token))

    def _commit_to(self, *, index: int) -> None:
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        entries = self.log.slice(start=self.commit_index + 1, stop=index)
        self.commit_index = index
        self._emit(Commit(entries=entries))
        is_removed = self._has_been_member and not self.members.has(replica=self.me)
        if is_removed and index >= self.members.index:
            self._become(role=FOLLOWER)
            self._emit(Removed())

    def _confirm_reads(self) -> None:
        heartbeats = {self.me: self._heartbeat} | {
            name: f.heartbeat for name, f in self._progress.items()
        }
        kept = []
        for token, heartbeat, index in self._reads:
            names = {name for name, seen in heartbeats.items() if seen >= heartbeat}
            if self.members.is_majority(names=names):
                self._emit(ReadReady(token=token, index=index))
            else:
                kept.append((token, heartbeat, index))
        self._reads = kept

    def _try_transfer(self) -> None:
        if not self._transfer_target:
            return
        progress = self._progress.get(self._transfer_target)
        if progress is None or progress.match_index < self.log.last_index:
            return
        self._send(
            to=self._transfer_target,
            message=TimeoutNow(
                cluster=self.cluster, sender=self.me, to=self._transfer_target, term=self.term
            ),
        )

    # --- membership -----------------------------------------------------------------------

    def _is_change_pending(self) -> bool:
        """Is a change of members still on its way, or this term not yet proved?"""
        return (
            self.members.index > self.commit_index
            or self.log.term_at(index=self.commit_index) != self.term
        )

    def _propose_members(self, *, members: list[CoreMember]) -> None:
        self._append(kind=MEMBERSHIP, data=write_members(members=members))
        self._replicate_all()

    def _membership_changed(self) -> None:
        if self.members.has(replica=self.me):
            self._has_been_member = True
        if self.role != LEADER:
            return
        names = {member.replica for member in self.members.others(replica=self.me)}
        for name in sorted(names - set(self._progress)):
            self._progress[name] = Progress(next_index=self.log.last_index + 1, heard_us=self._now)
        for name in sorted(set(self._progress) - names):
            del self._progress[name]

    def _maintain_membership(self) -> None:
        """One change at a time: who asks becomes a learner; caught-up learners are
        raised until there are enough voters; one takes a lost voter's place."""
        if self._is_change_pending() or self._transfer_target or self._admit_next():
            return
        current = self.members.current
        voters = [m for m in current if m.is_voter]
        ready = [m for m in current if not m.is_voter and self._is_caught_up(name=m.replica)]
        if len(voters) < self._voters_wanted and ready:
            pick = min(ready, key=lambda m: m.replica)
            raised = CoreMember(
                replica=pick.replica, address=pick.address, http=pick.http, is_voter=True
            )
            self._propose_members(
                members=[m for m in current if m.replica != pick.replica] + [raised]
            )
            return
        lost = [m for m in current if m.replica != self.me and self._is_lost(member=m)]
        lost_learners = [m for m in lost if not m.is_voter]
        lost_voters = [m for m in lost if m.is_voter]
        if lost_learners:
            gone = lost_learners[0]
        elif lost_voters and (ready or len(voters) > self._voters_wanted) and len(voters) > 2:
            gone = lost_voters[0]
        else:
            return
        self._propose_members(members=[m for m in current if m.replica != gone.replica])

    def _is_lost(self, *, member: CoreMember) -> bool:
        """Silent for long, or with another replica at its address: a core that came
        back without its disk is a new replica, and the one before is gone for good."""
        if self._now - self._progress[member.replica].heard_us > LOST_AFTER_US:
            return True
        return any(
            other.address == member.address
            for other in self.members.current
            if other.replica != member.replica
            and self._is_active(name=other.replica)
            and not self._is_active(name=member.replica)
        )

    def _is_active(self, *, name: str) -> bool:
        progress = self._progress.get(name)
        if progress is None:
            return name == self.me
        return self._now - progress.heard_us < self._timing.election_low_us

    def _is_caught_up(self, *, name: str) -> bool:
        """Has it all that is committed on its disk, and is it there now?"""
        return self._is_active(name=name) and self._progress[name].match_index >= self.commit_index

    # --- following ----------------------------------------------------------------------------

    def _accept_leader(self, *, term: int, leader: str, address: str) -> bool:
        if term < self.term:
            return False
        if term > self.term or self.role != FOLLOWER:
            self._become_follower(term=term)
        self.leader = leader
        self.leader_address = address
        self._heard_leader_us = self._now
        self._reset_election_timeout()
        return True

    @_on.register
    def _(self, message: AppendEntries) -> None:
        if not self._accept_leader(
            term=message.term, leader=message.sender, address=message.leader_address
        ):
            self._reply_append_entries(to=message.sender, is_ok=False, match_index=0, heartbeat=0)
            return
        prev = message.prev_log_index
        entries = message.entries
        if prev < self.log.base_index:
            skip = self.log.base_index - prev
            if len(entries) < skip:
                self._reply_append_entries(
                    to=message.sender,
                    is_ok=True,
                    match_index=self.log.base_index,
                    heartbeat=message.heartbeat,
                )
                return
            entries = entries[skip:]
            prev = self.log.base_index
        elif self.log.term_at(index=prev) != message.prev_log_term:
            conflict_index = min(self.log.last_index, max(prev - 1, self.commit_index))
            self._reply_append_entries(
                to=message.sender,
                is_ok=False,
                conflict_index=conflict_index,
                heartbeat=message.heartbeat,
            )
            return
        self._take_entries(entries=entries)
        match_index = prev + len(entries)
        self._commit_to(index=min(message.commit_index, match_index))
        self._reply_append_entries(
            to=message.sender, is_ok=True, match_index=match_index, heartbeat=message.heartbeat
        )

    def _take_entries(self, *, entries: list[LogEntry]) -> None:
        cut_from: int | None = None
        fresh: list[LogEntry] = []
        for entry in entries:
            if fresh or self.log.term_at(index=entry.index) != entry.term:
                if not fresh and entry.index <= self.log.last_index:
                    cut_from = entry.index
                fresh.append(entry)
        if not fresh:
            return
        if cut_from is not None:
            self.log.cut(index=cut_from)
            self.members.cut(index=cut_from)
            self.durable = min(self.durable, cut_from - 1)
            self._cut_number = self._number + 1
        for entry in fresh:
            self.log.add(entry)
            self.members.append(entry=entry)
        self._persist(cut_from=cut_from, entries=fresh)
        self._membership_changed()

    def _reply_append_entries(
        self,
        *,
        to: str,
        is_ok: bool,
        match_index: int = 0,
        conflict_index: int = 0,
        heartbeat: int = 0,
    ) -> None:
        reply = AppendEntriesReply(
            cluster=self.cluster,
            sender=self.me,
            to=to,
            term=self.term,
            is_ok=is_ok,
            match_index=match_index,
            conflict_index=conflict_index,
            heartbeat=heartbeat,
        )
        self._send(to=to, message=reply, is_promise=True)

    @_on.register
    def _(self, offer: InstallSnapshot) -> None:
        if not self._accept_leader(
            term=offer.term, leader=offer.sender, address=offer.leader_address
        ):
            self._reply_append_entries(to=offer.sender, is_ok=False)
            return
        if offer.last_included_index <= self.commit_index:
            self._reply_append_entries(
                to=offer.sender,
                is_ok=True,
                match_index=self.commit_index,
                heartbeat=offer.heartbeat,
            )
            return
        self._emit(
            FetchOffered(
                leader=offer.sender,
                leader_address=offer.leader_address,
                index=offer.last_included_index,
                term=offer.last_included_term,
                heartbeat=offer.heartbeat,
            )
        )

    # --- effects ------------------------------------------------------------------------------

    def _emit(self, effect: Any) -> None:
        self._effects.append(effect)

    def _persist(
        self,
        *,
        cut_from: int | None = None,
        entries: list[LogEntry] | None = None,
        term: int | None = None,
        vote: str | None = None,
    ) -> int:
        self._number += 1
        self._unsynced.append((self._number, self.log.last_index, self._now))
        self._emit(
            Persist(
                number=self._number, cut_from=cut_from, entries=entries or [], term=term, vote=vote
            )
        )
        return self._number

    def _send(self, *, to: str, message: Any, is_promise: bool = False, address: str = "") -> None:
        """Send to a member, or to one that this replica has not heard of yet."""
        member = self.members.get(replica=to)
        if member is None:
            address = address or (self.leader_address if to == self.leader else "")
            if not address:
                return
            member = CoreMember(replica=to, address=address)
        self._emit(Send(to=member, message=message, after=self._number if is_promise else 0))

    def lag(self) -> list[dict[str, Any]]:
        """How far each replica is, for status pages; only a leader knows."""
        return [
            {
                "replica": member.replica,
                "address": member.address,
                "is_voter": member.is_voter,
                "match": self.durable if member.replica == self.me else progress.match_index,
                "heard_us_ago": 0 if member.replica == self.me else self._now - progress.heard_us,
            }
            for member in self.members.current
            for progress in [self._progress.get(member.replica, Progress(next_index=0))]
        ]
