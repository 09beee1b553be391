"""Log replication: AppendEntries and its answer, and the commit index.

Invariants: an entry is appended behind one that matches the leader's in index and term
(log matching); an answer that says "up to here" waits until that is on disk; a leader
counts a majority of durable copies, its own among them only once it is synced, and
commits by counting only entries of its own term; nothing committed is dropped.
"""

from __future__ import annotations

from kelpstage.common.transport.messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    LogEntry,
)
from kelpstage.core.raft.roles import accept_leader, become
from kelpstage.core.raft.state import InvariantViolated, Progress, RaftState
from kelpstage.core.raft.types import (
    FOLLOWER,
    LEADER,
    MEMBERSHIP,
    Commit,
    EntryKind,
    Removed,
    is_large,
    size_of,
)

# An entry that was sent and not answered is sent again with a heartbeat after so many.
RESEND_HEARTBEATS = 4


# --- the leader's side ---------------------------------------------------------------


def append_own(state: RaftState, *, kind: EntryKind, data: bytes) -> int:
    """Append an entry of the leader's own; its index."""
    entry = LogEntry(index=state.log.last_index + 1, term=state.term, kind=kind, data=data)
    state.append(entries=[entry])
    if kind == MEMBERSHIP:
        state.members_changed()
    return entry.index


def replicate_all(state: RaftState) -> None:
    """Send what is new to all others, but for those that are being probed."""
    for member in state.members.others(replica=state.me):
        _replicate(state, name=member.replica)


def _replicate(state: RaftState, *, name: str) -> None:
    progress = state.progress.get(name)
    if progress is None:
        return
    if progress.is_probing and state.now_us - progress.sent_us < state.timing.heartbeat_us:
        return
    send_append_entries(state, name=name, has_entries=True)


def send_heartbeats(state: RaftState) -> None:
    """Send a heartbeat to all others, with entries where answers are overdue."""
    state.heartbeat_due_us = state.now_us + state.timing.heartbeat_us
    for member in state.members.others(replica=state.me):
        progress = state.progress.get(member.replica)
        if progress is None:
            continue
        _probe_if_silent(state, progress=progress)
        is_behind = progress.next_index <= state.log.last_index
        since_us = state.now_us - progress.sent_us
        is_overdue = since_us > RESEND_HEARTBEATS * state.timing.heartbeat_us
        send_append_entries(
            state,
            name=member.replica,
            has_entries=is_behind and (progress.is_probing or is_overdue),
        )


def send_append_entries(state: RaftState, *, name: str, has_entries: bool) -> None:
    """Send AppendEntries behind what the replica has, or offer it a snapshot."""
    progress = state.progress[name]
    is_large_under_way = has_large_under_way(state, progress=progress)
    previous = progress.next_index - 1
    if is_large_under_way and not progress.is_probing:
        previous = max(progress.match_index, state.log.base_index)
    previous_term = state.log.term_at(index=previous)
    if previous_term is None:
        _offer_snapshot(state, name=name)
        return
    entries: list[LogEntry] = []
    if has_entries and not is_large_under_way and _may_send_entries(progress):
        entries = state.log.batch(start=progress.next_index, limit=state.timing.batch_bytes)
    if entries:
        progress.sent_us = state.now_us
        progress.is_awaited = True
        if is_large(entries):
            _note_large(state, progress=progress, entries=entries)
        if not progress.is_probing:
            progress.next_index = entries[-1].index + 1
    state.send(
        to=name,
        message=AppendEntries(
            cluster=state.cluster,
            sender=state.me,
            to=name,
            term=state.term,
            prev_log_index=previous,
            prev_log_term=previous_term,
            entries=entries,
            commit_index=state.commit_index,
            heartbeat=state.heartbeat,
            leader_address=state.members.address(replica=state.me),
        ),
    )


def has_large_under_way(state: RaftState, *, progress: Progress) -> bool:
    """Is a large message on its way to a replica? It takes its time on a connection of
    its own. Until it is answered no further entries are sent, and what overtakes it names
    what is known to match: a replica would else refuse it, and be sent all of it again."""
    if progress.large_to <= progress.match_index:
        return False
    return state.now_us <= progress.large_until_us


def _note_large(state: RaftState, *, progress: Progress, entries: list[LogEntry]) -> None:
    """Remember what is under way, and until when it may be."""
    progress.large_from, progress.large_to = entries[0].index, entries[-1].index
    transfer_us = int(size_of(entries) / state.timing.large_bytes_per_us)
    progress.large_until_us = state.now_us + state.timing.large_lost_us + transfer_us


def _may_send_entries(progress: Progress) -> bool:
    """Entries go once to a replica that is being probed, until it answers: one that is
    silent would else be sent all that is new with each heartbeat and each read."""
    return not (progress.is_probing and progress.is_awaited)


def _probe_if_silent(state: RaftState, *, progress: Progress) -> None:
    """Take back what was sent to a replica that does not answer any more; when it does,
    it gets what it lacks."""
    is_silent = state.now_us - progress.heard_us > state.timing.election_low_us
    if is_silent and progress.is_awaited and not progress.is_probing:
        progress.is_probing = True
        progress.next_index = progress.match_index + 1


def _offer_snapshot(state: RaftState, *, name: str) -> None:
    state.send(
        to=name,
        message=InstallSnapshot(
            cluster=state.cluster,
            sender=state.me,
            to=name,
            term=state.term,
            last_included_index=state.log.base_index,
            last_included_term=state.log.base_term,
            leader_address=state.members.address(replica=state.me),
            heartbeat=state.heartbeat,
        ),
    )


def advance_commit_index(state: RaftState) -> bool:
    """Commit what a majority has on disk, if it is of this term; has that advanced it?"""
    match_indexes = sorted(
        (state.match_index_of(name=m.replica) for m in state.members.current if m.is_voter),
        reverse=True,
    )
    if not match_indexes:
        return False
    index = min(match_indexes[len(match_indexes) // 2], state.log.last_index)
    if index <= state.commit_index or state.log.term_at(index=index) != state.term:
        return False
    commit_to(state, index=index)
    if state.role != LEADER:
        return False
    for member in state.members.others(replica=state.me):
        send_append_entries(state, name=member.replica, has_entries=False)
    return True


def commit_to(state: RaftState, *, index: int) -> None:
    """Raise the commit index, as far as the log goes. A replica that the membership
    leaves out steps down when the entry that does so is committed, not before."""
    index = min(index, state.log.last_index)
    if index <= state.commit_index:
        return
    entries = state.log.slice(start=state.commit_index + 1, stop=index)
    state.commit_index = index
    state.emit(Commit(entries=entries))
    is_removed = state.has_been_member and not state.members.has(replica=state.me)
    if is_removed and index >= state.members.index:
        become(state, role=FOLLOWER)
        state.emit(Removed())


# --- the follower's side -------------------------------------------------------------


def on_append_entries(state: RaftState, message: AppendEntries) -> None:
    """Append the entries if what is before them matches, and say up to where."""
    sender = message.sender
    if state.role == LEADER and message.term == state.term:
        raise InvariantViolated(f"{sender} leads in term {state.term} as well")
    if not accept_leader(state, term=message.term, leader=sender, address=message.leader_address):
        reply_append_entries(state, to=sender, is_ok=False)
        return
    previous = message.prev_log_index
    entries = message.entries
    if previous < state.log.base_index:
        # What a snapshot holds is committed, so it matches.
        held = state.log.base_index - previous
        if len(entries) < held:
            reply_append_entries(
                state,
                to=sender,
                is_ok=True,
                match_index=state.log.base_index,
                heartbeat=message.heartbeat,
            )
            return
        entries = entries[held:]
        previous = state.log.base_index
    elif state.log.term_at(index=previous) != message.prev_log_term:
        reply_append_entries(
            state,
            to=sender,
            is_ok=False,
            conflict_index=_last_before_conflict(state, index=previous),
            heartbeat=message.heartbeat,
        )
        return
    _append_received(state, entries=entries)
    match_index = previous + len(entries)
    commit_to(state, index=min(message.commit_index, match_index))
    reply_append_entries(
        state, to=sender, is_ok=True, match_index=match_index, heartbeat=message.heartbeat
    )


def _last_before_conflict(state: RaftState, *, index: int) -> int:
    """The last index that may match where the entry at `index` does not: that before its
    term began here, or the end of the log; never less than what is committed."""
    if index > state.log.last_index:
        return state.log.last_index
    if index <= state.commit_index:
        raise InvariantViolated(f"entry {index} conflicts, {state.commit_index} is committed")
    conflict_term = state.log.term_at(index=index)
    while index > state.commit_index and state.log.term_at(index=index) == conflict_term:
        index -= 1
    return index


def _append_received(state: RaftState, *, entries: list[LogEntry]) -> None:
    """Append what is not in the log yet; an entry of another term, and all behind it, goes."""
    known = 0
    while known < len(entries) and _is_in_log(state, entry=entries[known]):
        known += 1
    new = entries[known:]
    if not new:
        return
    cut_from = new[0].index if new[0].index <= state.log.last_index else None
    if cut_from is not None:
        _drop_from(state, index=cut_from)
    state.append(entries=new, cut_from=cut_from)
    state.members_changed()


def _is_in_log(state: RaftState, *, entry: LogEntry) -> bool:
    return state.log.term_at(index=entry.index) == entry.term


def _drop_from(state: RaftState, *, index: int) -> None:
    if index <= state.commit_index:
        raise InvariantViolated(f"entry {index} conflicts, {state.commit_index} is committed")
    state.log.cut(index=index)
    state.members.cut(index=index)
    state.writes.drop_behind(index=index - 1)


def reply_append_entries(
    state: RaftState,
    *,
    to: str,
    is_ok: bool,
    match_index: int = 0,
    conflict_index: int = 0,
    heartbeat: int = 0,
) -> None:
    """Answer a leader, when all that was persisted so far is on disk."""
    reply = AppendEntriesReply(
        cluster=state.cluster,
        sender=state.me,
        to=to,
        term=state.term,
        is_ok=is_ok,
        match_index=match_index,
        conflict_index=conflict_index,
        heartbeat=heartbeat,
    )
    state.send(to=to, message=reply, is_promise=True)
