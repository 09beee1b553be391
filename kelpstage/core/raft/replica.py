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
    Append,
    AppendReply,
    AskVote,
    CoreMember,
    InstallSnapshot,
    LogEntry,
    TimeoutNow,
    VoteReply,
)
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.raft.members import MemberList, write_members
from kelpstage.core.raft.types import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    MEMBERSHIP,
    NOOP,
    PROSPECT,
    AskRead,
    Commit,
    FetchOffered,
    HandOver,
    Heard,
    KeepSnapshot,
    LearnerAsks,
    NotLeader,
    Pace,
    Persist,
    Propose,
    Proposed,
    ReadLost,
    ReadReady,
    Removed,
    RoleChanged,
    Send,
    SnapshotFetched,
    SnapshotTaken,
    Synced,
    Tick,
)

SILENT_US = 2_500_000
FIRST_STAND_US = 250_000


@dataclass(kw_only=True)
class Follow:
    """What a leader knows of one other replica."""

    next_index: int
    match: int = 0
    heard_us: int = 0
    sent_us: int = -1_000_000
    beat: int = 0
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
        pace: Pace = Pace(),
        voters: int = 3,
    ) -> None:
        self.me = me
        self.cluster = cluster
        self.term = term
        self.vote = vote
        self.log = log or MemoryLog(base_index=0, base_term=0)
        self.commit = self.log.base_index
        self.role = FOLLOWER
        self.leader = ""
        self.leader_address = ""
        self.members = MemberList(
            base=members, entries=self.log.entries, base_index=self.log.base_index
        )
        self._rand = rand
        self._pace = pace
        self._voters_wanted = voters
        self._askers: dict[str, CoreMember] = {}  # that wait for a place, one change at a time
        self._now = now_us
        self._effects: list[Any] = []
        self._number = 0
        self._synced = 0
        self._unsynced: list[tuple[int, int, int]] = []  # number, last index, when
        self._cut_number = 0
        self.durable = self.log.last_index
        self._self_vote_number = 0
        self._votes: set[str] = set()
        self._follow: dict[str, Follow] = {}
        self._beat = 0
        self._beat_due = 0
        self._reads: list[tuple[int, int, int]] = []  # token, beat, index
        self._early_reads: list[int] = []
        self._led_since = 0
        self._handover_to = ""
        self._handover_until = 0
        self._heard_leader_us = -(10**12)
        self._has_log = self.log.last_index > 0 and term > 1
        self._has_been_member = self.members.has(replica=me)
        self._set_clock_event()
        self._hasten_first()

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
            self._lead()
            return
        if self._is_sync_stalled():
            self._set_clock_event()  # a disk that hangs gives no right to stand
            return
        if self._now >= self._clock_event_us and self.members.is_voter(replica=self.me):
            self._stand_before()

    @_on.register
    def _(self, event: Heard) -> None:
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
            self._advance()

    @_on.register
    def _(self, event: Propose) -> None:
        if self.role != LEADER or self._handover_to:
            self._emit(NotLeader(token=event.token))
            return
        index = self._append(kind=event.kind, data=event.data)
        self._emit(Proposed(token=event.token, index=index, term=self.term))
        self._replicate_all()

    @_on.register
    def _(self, event: AskRead) -> None:
        if self.role != LEADER:
            self._emit(ReadLost(token=event.token))
            return
        if self.log.term_at(index=self.commit) != self.term:
            self._early_reads.append(event.token)  # until its first entry is committed
            return
        self._beat += 1
        self._reads.append((event.token, self._beat, self.commit))
        self._send_beats()
        self._settle_reads()

    @_on.register
    def _(self, event: HandOver) -> None:
        if self.role != LEADER:
            return
        others = [
            (follow.match, name)
            for name, follow in self._follow.items()
            if self.members.is_voter(replica=name)
            and self._now - follow.heard_us < self._pace.election_low_us
        ]
        if not others:
            return
        self._handover_to = max(others)[1]
        self._handover_until = self._now + self._pace.election_low_us
        self._try_handover()

    @_on.register
    def _(self, event: SnapshotTaken) -> None:
        self.members.rebase(index=event.index)
        self.log.compact(index=event.index)

    @_on.register
    def _(self, event: SnapshotFetched) -> None:
        if event.index <= self.commit:
            return
        self.log = MemoryLog(base_index=event.index, base_term=event.term)
        self.members = MemberList(base=event.members, entries=[], base_index=event.index)
        self.commit = event.index
        self._cut_number = self._number + 1
        self.durable = min(self.durable, self.commit)
        self._number += 1
        self._unsynced.append((self._number, event.index, self._now))
        self._emit(KeepSnapshot(number=self._number, term=self.term, vote=self.vote))
        self._note_membership()
        leader = self.members.get(replica=event.leader)
        if leader is not None:
            self._reply_append(to=event.leader, is_ok=True, match=event.index, beat=event.beat)

    @_on.register
    def _(self, event: LearnerAsks) -> None:
        if self.role != LEADER:
            return
        self._askers[event.member.replica] = event.member
        if not self._is_membership_open():
            self._place_asker()

    def _place_asker(self) -> bool:
        """Give the next one that asks its place, as a learner, or its new address."""
        while self._askers:
            _, asker = self._askers.popitem()
            known = self.members.get(replica=asker.replica)
            if known is None:
                learner = CoreMember(
                    replica=asker.replica, address=asker.address, http=asker.http, is_voter=False
                )
                self._propose_members(members=self.members.current + [learner])
                return True
            if (known.address, known.http) == (asker.address, asker.http):
                continue
            fresh = CoreMember(
                replica=known.replica,
                address=asker.address,
                http=asker.http,
                is_voter=known.is_voter,
            )
            others = [m for m in self.members.current if m.replica != known.replica]
            self._propose_members(members=others + [fresh])
            return True
        return False

    # --- standing for election ---------------------------------------------------

    def _set_clock_event(self) -> None:
        """When to stand if no leader is heard until then: soon in a life that has heard
        none yet. After a loss of all cores each would else wait as if for a leader; where
        there is one, its beat comes first, or the others' word in the vote before."""
        low, high = self._pace.election_low_us, self._pace.election_high_us
        if self._heard_leader_us < 0 and self._has_log:
            low, high = self._pace.wake_low_us, self._pace.wake_high_us
        self._clock_event_us = self._now + low + int(self._rand.random() * (high - low))

    def _hasten_first(self) -> None:
        """Of a cluster that was founded a moment ago, the member with the least name
        stands first and soon; there is no leader yet whom that could disturb."""
        names = [m.replica for m in self.members.current if m.is_voter]
        is_new = self.term <= 1 and not self.log.entries and not self.vote
        if is_new and self.me == min(names, default=""):
            self._clock_event_us = self._now + FIRST_STAND_US

    def _is_sync_stalled(self) -> bool:
        return bool(self._unsynced) and (
            self._now - self._unsynced[0][2] > self._pace.sync_limit_us
        )

    def _stand_before(self) -> None:
        """Ask whether an election could be won, before a term is spent on it."""
        self._become(role=PROSPECT)
        self.leader = ""
        self._votes = {self.me}
        self._set_clock_event()
        self._hasten_first()
        if self.members.is_majority(names=self._votes):
            self._stand(is_handover=False)
            return
        self._ask_votes(term=self.term + 1, is_pre=True, is_handover=False)

    def _stand(self, *, is_handover: bool) -> None:
        self.term += 1
        self.vote = self.me
        self.leader = ""
        self._become(role=CANDIDATE)
        self._votes = set()
        self._set_clock_event()
        self._self_vote_number = self._persist(term=self.term, vote=self.vote)
        self._ask_votes(term=self.term, is_pre=False, is_handover=is_handover)

    def _ask_votes(self, *, term: int, is_pre: bool, is_handover: bool) -> None:
        for member in self.members.others(replica=self.me):
            if not member.is_voter:
                continue
            self._send(
                to=member.replica,
                message=AskVote(
                    cluster=self.cluster,
                    sender=self.me,
                    to=member.replica,
                    term=term,
                    last_index=self.log.last_index,
                    last_term=self.log.last_term,
                    is_pre=is_pre,
                    is_handover=is_handover,
                    address=self.members.address(replica=self.me),
                ),
            )

    @_on.register
    def _(self, ask: AskVote) -> None:
        has_leader = self._now - self._heard_leader_us < self._pace.election_low_us or (
            self.role == LEADER and self._hears_majority()
        )
        if has_leader and not ask.is_handover:
            if ask.is_pre:
                self._reply_vote(ask=ask, is_granted=False)
            return
        if ask.is_pre:
            is_granted = ask.term > self.term and self._is_log_enough(ask=ask)
            self._reply_vote(ask=ask, is_granted=is_granted)
            return
        if ask.term > self.term:
            self._fall_back(term=ask.term)
        is_granted = (
            ask.term == self.term
            and self.vote in ("", ask.sender)
            and self._is_log_enough(ask=ask)
            and not self._is_sync_stalled()
        )
        if is_granted and not self.vote:
            self.vote = ask.sender
            self._persist(term=self.term, vote=self.vote)
        if is_granted:
            self._set_clock_event()
        self._reply_vote(ask=ask, is_granted=is_granted)

    def _is_log_enough(self, *, ask: AskVote) -> bool:
        return (ask.last_term, ask.last_index) >= (self.log.last_term, self.log.last_index)

    def _reply_vote(self, *, ask: AskVote, is_granted: bool) -> None:
        reply = VoteReply(
            cluster=self.cluster,
            sender=self.me,
            to=ask.sender,
            term=ask.term if is_granted else self.term,
            is_pre=ask.is_pre,
            is_granted=is_granted,
        )
        self._send(to=ask.sender, message=reply, is_promise=True, address=ask.address)

    @_on.register
    def _(self, reply: VoteReply) -> None:
        if reply.term > self.term and not (reply.is_pre and reply.is_granted):
            self._fall_back(term=reply.term)
            return
        if not reply.is_granted:
            return
        if reply.is_pre and self.role == PROSPECT and reply.term == self.term + 1:
            self._votes.add(reply.sender)
            if self.members.is_majority(names=self._votes):
                self._stand(is_handover=False)
            return
        if not reply.is_pre and self.role == CANDIDATE and reply.term == self.term:
            self._count_vote(voter=reply.sender)

    def _count_vote(self, *, voter: str) -> None:
        self._votes.add(voter)
        if self.members.is_majority(names=self._votes):
            self._take_lead()

    @_on.register
    def _(self, message: TimeoutNow) -> None:
        if message.term != self.term or not self.members.is_voter(replica=self.me):
            return
        self._stand(is_handover=True)

    def _become(self, *, role: str) -> None:
        if self.role == role:
            return
        if self.role == LEADER:
            for token in [token for token, _, _ in self._reads] + self._early_reads:
                self._emit(ReadLost(token=token))
            self._reads.clear()
            self._early_reads.clear()
            self._handover_to = ""
        self.role = role
        self._emit(RoleChanged(role=role, term=self.term))

    def _fall_back(self, *, term: int) -> None:
        """Become a follower; a higher term comes with a fresh vote."""
        if term > self.term:
            self.term = term
            self.vote = ""
            self._persist(term=self.term, vote="")
            self.leader = ""
        self._become(role=FOLLOWER)
        self._set_clock_event()

    # --- leading ---------------------------------------------------------------------

    def _take_lead(self) -> None:
        self.leader = self.me
        self._led_since = self._now
        self._follow = {}
        self._askers = {}
        self._beat += 1
        self._become(role=LEADER)
        self._note_membership()
        self._append(kind=NOOP, data=b"")
        self._replicate_all()

    def _lead(self) -> None:
        if self._is_sync_stalled() or not self._hears_majority():
            self._fall_back(term=self.term)
            self.leader = ""
            return
        if self._handover_to and self._now > self._handover_until:
            self._handover_to = ""
        if self._now >= self._beat_due:
            self._beat += 1
            self._send_beats()
        self._tend_members()

    def _hears_majority(self) -> bool:
        """Check-quorum: a leader that hears no majority must not act as one."""
        limit = self._pace.election_high_us
        if self._now - self._led_since < limit:
            return True
        heard = {self.me} | {
            name for name, follow in self._follow.items() if self._now - follow.heard_us < limit
        }
        return self.members.is_majority(names=heard)

    def _append(self, *, kind: int, data: bytes) -> int:
        entry = LogEntry(index=self.log.last_index + 1, term=self.term, kind=kind, data=data)
        self.log.add(entry)
        self.members.follow(entry=entry)
        self._persist(entries=[entry])
        if kind == MEMBERSHIP:
            self._note_membership()
        return entry.index

    def _replicate_all(self) -> None:
        for member in self.members.others(replica=self.me):
            self._replicate(name=member.replica)

    def _send_beats(self) -> None:
        self._beat_due = self._now + self._pace.beat_us
        for member in self.members.others(replica=self.me):
            follow = self._follow.get(member.replica)
            if follow is None:
                continue
            behind = follow.next_index <= self.log.last_index
            is_due = follow.is_probing or self._now - follow.sent_us > 4 * self._pace.beat_us
            self._send_append(name=member.replica, has_entries=behind and is_due)

    def _replicate(self, *, name: str) -> None:
        follow = self._follow.get(name)
        if follow is None:
            return
        if follow.is_probing and self._now - follow.sent_us < self._pace.beat_us:
            return
        self._send_append(name=name, has_entries=True)

    def _send_append(self, *, name: str, has_entries: bool) -> None:
        follow = self._follow[name]
        prev = follow.next_index - 1
        prev_term = self.log.term_at(index=prev)
        if prev_term is None:
            self._offer_snapshot(name=name, follow=follow)
            return
        entries: list[LogEntry] = []
        if has_entries and follow.next_index <= self.log.last_index:
            entries = self.log.batch(start=follow.next_index, limit=self._pace.batch_bytes)
        if entries:
            follow.sent_us = self._now
            if not follow.is_probing:
                follow.next_index = entries[-1].index + 1
        self._send(
            to=name,
            message=Append(
                cluster=self.cluster,
                sender=self.me,
                to=name,
                term=self.term,
                prev_index=prev,
                prev_term=prev_term,
                entries=entries,
                commit=self.commit,
                beat=self._beat,
                leader_address=self.members.address(replica=self.me),
            ),
        )

    def _offer_snapshot(self, *, name: str, follow: Follow) -> None:
        self._send(
            to=name,
            message=InstallSnapshot(
                cluster=self.cluster,
                sender=self.me,
                to=name,
                term=self.term,
                index=self.log.base_index,
                index_term=self.log.base_term,
                leader_address=self.members.address(replica=self.me),
                beat=self._beat,
            ),
        )

    @_on.register
    def _(self, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._fall_back(term=reply.term)
            return
        follow = self._follow.get(reply.sender)
        if self.role != LEADER or reply.term != self.term or follow is None:
            return
        follow.heard_us = self._now
        follow.beat = max(follow.beat, reply.beat)
        if reply.is_ok:
            follow.match = max(follow.match, reply.match)
            follow.next_index = max(follow.next_index, follow.match + 1)
            was_probing, follow.is_probing = follow.is_probing, False
            self._advance()
            if self.role == LEADER and was_probing and follow.next_index <= self.log.last_index:
                self._send_append(name=reply.sender, has_entries=True)
            self._try_handover()
        else:
            follow.is_probing = True
            follow.next_index = max(follow.match + 1, min(reply.hint + 1, follow.next_index))
            self._send_append(name=reply.sender, has_entries=True)
        self._settle_reads()

    def _advance(self) -> None:
        """Commit what a majority has on disk, if it is of this term."""
        matches = sorted(
            (
                self.durable if member.replica == self.me else self._follow[member.replica].match
                for member in self.members.current
                if member.is_voter
            ),
            reverse=True,
        )
        if not matches:
            return
        index = min(matches[len(matches) // 2], self.log.last_index)
        if index <= self.commit or self.log.term_at(index=index) != self.term:
            return
        self._commit_to(index=index)
        if self.role != LEADER:
            return
        for member in self.members.others(replica=self.me):
            self._send_append(name=member.replica, has_entries=False)
        early, self._early_reads = self._early_reads, []
        for token in early:
            self._on(AskRead(token=token))

    def _commit_to(self, *, index: int) -> None:
        index = min(index, self.log.last_index)
        if index <= self.commit:
            return
        entries = self.log.slice(start=self.commit + 1, stop=index)
        self.commit = index
        self._emit(Commit(entries=entries))
        is_removed = self._has_been_member and not self.members.has(replica=self.me)
        if is_removed and index >= self.members.index:
            self._become(role=FOLLOWER)
            self._emit(Removed())

    def _settle_reads(self) -> None:
        beats = {self.me: self._beat} | {name: f.beat for name, f in self._follow.items()}
        kept = []
        for token, beat, index in self._reads:
            names = {name for name, seen in beats.items() if seen >= beat}
            if self.members.is_majority(names=names):
                self._emit(ReadReady(token=token, index=index))
            else:
                kept.append((token, beat, index))
        self._reads = kept

    def _try_handover(self) -> None:
        if not self._handover_to:
            return
        follow = self._follow.get(self._handover_to)
        if follow is None or follow.match < self.log.last_index:
            return
        self._send(
            to=self._handover_to,
            message=TimeoutNow(
                cluster=self.cluster, sender=self.me, to=self._handover_to, term=self.term
            ),
        )

    # --- membership -----------------------------------------------------------------------

    def _is_membership_open(self) -> bool:
        """Is a change of members still on its way, or this term not yet proved?"""
        return self.members.index > self.commit or self.log.term_at(index=self.commit) != self.term

    def _propose_members(self, *, members: list[CoreMember]) -> None:
        self._append(kind=MEMBERSHIP, data=write_members(members=members))
        self._replicate_all()

    def _note_membership(self) -> None:
        if self.members.has(replica=self.me):
            self._has_been_member = True
        if self.role != LEADER:
            return
        names = {member.replica for member in self.members.others(replica=self.me)}
        for name in sorted(names - set(self._follow)):
            self._follow[name] = Follow(next_index=self.log.last_index + 1, heard_us=self._now)
        for name in sorted(set(self._follow) - names):
            del self._follow[name]

    def _tend_members(self) -> None:
        """One change at a time: who asks becomes a learner; caught-up learners are
        raised until there are enough voters; one takes a lost voter's place."""
        if self._is_membership_open() or self._handover_to or self._place_asker():
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
        if self._now - self._follow[member.replica].heard_us > SILENT_US:
            return True
        return any(
            other.address == member.address
            for other in self.members.current
            if other.replica != member.replica
            and self._is_heard(name=other.replica)
            and not self._is_heard(name=member.replica)
        )

    def _is_heard(self, *, name: str) -> bool:
        follow = self._follow.get(name)
        if follow is None:
            return name == self.me
        return self._now - follow.heard_us < self._pace.election_low_us

    def _is_caught_up(self, *, name: str) -> bool:
        """Has it all that is committed on its disk, and is it there now?"""
        return self._is_heard(name=name) and self._follow[name].match >= self.commit

    # --- following ----------------------------------------------------------------------------

    def _accept_leader(self, *, term: int, leader: str, address: str) -> bool:
        if term < self.term:
            return False
        if term > self.term or self.role != FOLLOWER:
            self._fall_back(term=term)
        self.leader = leader
        self.leader_address = address
        self._heard_leader_us = self._now
        self._set_clock_event()
        return True

    @_on.register
    def _(self, message: Append) -> None:
        if not self._accept_leader(
            term=message.term, leader=message.sender, address=message.leader_address
        ):
            self._reply_append(to=message.sender, is_ok=False, match=0, beat=0)
            return
        prev = message.prev_index
        entries = message.entries
        if prev < self.log.base_index:
            skip = self.log.base_index - prev
            if len(entries) < skip:
                self._reply_append(
                    to=message.sender, is_ok=True, match=self.log.base_index, beat=message.beat
                )
                return
            entries = entries[skip:]
            prev = self.log.base_index
        elif self.log.term_at(index=prev) != message.prev_term:
            hint = min(self.log.last_index, max(prev - 1, self.commit))
            self._reply_append(to=message.sender, is_ok=False, hint=hint, beat=message.beat)
            return
        self._take_entries(entries=entries)
        match = prev + len(entries)
        self._commit_to(index=min(message.commit, match))
        self._reply_append(to=message.sender, is_ok=True, match=match, beat=message.beat)

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
            self.members.follow(entry=entry)
        self._persist(cut_from=cut_from, entries=fresh)
        self._note_membership()

    def _reply_append(
        self, *, to: str, is_ok: bool, match: int = 0, hint: int = 0, beat: int = 0
    ) -> None:
        reply = AppendReply(
            cluster=self.cluster,
            sender=self.me,
            to=to,
            term=self.term,
            is_ok=is_ok,
            match=match,
            hint=hint,
            beat=beat,
        )
        self._send(to=to, message=reply, is_promise=True)

    @_on.register
    def _(self, offer: InstallSnapshot) -> None:
        if not self._accept_leader(
            term=offer.term, leader=offer.sender, address=offer.leader_address
        ):
            self._reply_append(to=offer.sender, is_ok=False)
            return
        if offer.index <= self.commit:
            self._reply_append(to=offer.sender, is_ok=True, match=self.commit, beat=offer.beat)
            return
        self._emit(
            FetchOffered(
                leader=offer.sender,
                leader_address=offer.leader_address,
                index=offer.index,
                term=offer.index_term,
                beat=offer.beat,
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
                "match": self.durable if member.replica == self.me else follow.match,
                "heard_us_ago": 0 if member.replica == self.me else self._now - follow.heard_us,
            }
            for member in self.members.current
            for follow in [self._follow.get(member.replica, Follow(next_index=0))]
        ]
