"""Log replication: AppendEntries, its reply, and the commit index.

Invariants: an entry is appended only after an entry that matches the leader's in index and
term (log matching). A reply that acknowledges entries waits until they are on disk. A leader
counts durable copies, its own only once it is synced, and commits by counting only entries of
its own term. Committed entries are never truncated.
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

# Unacknowledged entries are sent again with a heartbeat after this many heartbeat intervals.
RESEND_HEARTBEATS = 4


# --- leader --------------------------------------------------------------------------


def append_as_leader(state: RaftState, *, kind: EntryKind, data: bytes) -> int:
    """Append an entry of the leader's current term to its log and return its index."""
    entry = LogEntry(index=state.log.last_index + 1, term=state.term, kind=kind, data=data)
    state.append(entries=[entry])
    if kind == MEMBERSHIP:
        state.on_members_changed()
    return entry.index


def replicate_all(state: RaftState) -> None:
    """Send new entries to all other members.

    A member that is being probed gets them at most once per heartbeat interval.
    """
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
    """Send a heartbeat to all other members, with entries where a reply is overdue."""
    state.heartbeat_due_us = state.now_us + state.timing.heartbeat_us
    for member in state.members.others(replica=state.me):
        progress = state.progress.get(member.replica)
        if progress is None:
            continue
        _probe_if_unresponsive(state, progress=progress)
        is_behind = progress.next_index <= state.log.last_index
        since_us = state.now_us - progress.sent_us
        is_overdue = since_us > RESEND_HEARTBEATS * state.timing.heartbeat_us
        send_append_entries(
            state,
            name=member.replica,
            has_entries=is_behind and (progress.is_probing or is_overdue),
        )


def send_append_entries(state: RaftState, *, name: str, has_entries: bool) -> None:
    """Send AppendEntries from the replica's next index on.

    Offers a snapshot instead if the log no longer has the entry before that index.
    """
    progress = state.progress[name]
    is_large_in_flight = has_large_in_flight(state, progress=progress)
    previous = progress.next_index - 1
    if is_large_in_flight and not progress.is_probing:
        previous = max(progress.match_index, state.log.base_index)
    previous_term = state.log.term_at(index=previous)
    if previous_term is None:
        _offer_snapshot(state, name=name)
        return
    entries: list[LogEntry] = []
    if has_entries and not is_large_in_flight and _may_send_entries(progress):
        entries = state.log.batch(start=progress.next_index, limit=state.timing.batch_bytes)
    if entries:
        progress.sent_us = state.now_us
        progress.is_reply_pending = True
        if is_large(entries):
            _track_large_message(state, progress=progress, entries=entries)
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


def has_large_in_flight(state: RaftState, *, progress: Progress) -> bool:
    """True while a large message to a replica is unacknowledged and has not timed out.

    Large messages use a separate connection, and smaller ones overtake them. Until the reply no
    further entries are sent, and `prev_log_index` is one that is known to match; otherwise the
    replica would reject the overtaking message and all entries would be sent again.
    """
    if progress.large_last_index <= progress.match_index:
        return False
    return state.now_us <= progress.large_deadline_us


def _track_large_message(state: RaftState, *, progress: Progress, entries: list[LogEntry]) -> None:
    """Record the entries of a large message and the time when it counts as lost."""
    progress.large_first_index, progress.large_last_index = entries[0].index, entries[-1].index
    transfer_us = int(size_of(entries) / state.timing.large_bytes_per_us)
    progress.large_deadline_us = state.now_us + state.timing.large_timeout_us + transfer_us


def _may_send_entries(progress: Progress) -> bool:
    """False while a probed replica has not replied to the entries sent to it.

    Otherwise each heartbeat and each read would send all new entries to an unresponsive replica.
    """
    return not (progress.is_probing and progress.is_reply_pending)


def _probe_if_unresponsive(state: RaftState, *, progress: Progress) -> None:
    """Return to probing from the last match when a replica with entries pending does not reply.

    When it replies again, the leader sends the entries that it lacks.
    """
    is_unresponsive = state.now_us - progress.last_contact_us > state.timing.election_low_us
    if is_unresponsive and progress.is_reply_pending and not progress.is_probing:
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
    """Commit entries that a majority has on disk, if the last of them is of the current term.

    Returns true when the commit index advanced and this replica is still the leader.
    """
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
    """Raise the commit index, at most to the end of the log.

    A replica that the membership no longer contains steps down when the entry that removed it
    is committed, not before.
    """
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


# --- follower ------------------------------------------------------------------------


def on_append_entries(state: RaftState, message: AppendEntries) -> None:
    """Append the entries if the entry before them matches, and reply with the match index."""
    sender = message.sender
    if state.role == LEADER and message.term == state.term:
        raise InvariantViolated(f"{sender} is another leader in term {state.term}")
    if not accept_leader(state, term=message.term, leader=sender, address=message.leader_address):
        reply_append_entries(state, to=sender, is_ok=False)
        return
    previous = message.prev_log_index
    entries = message.entries
    if previous < state.log.base_index:
        # Entries that the snapshot covers are committed, so they match.
        covered = state.log.base_index - previous
        if len(entries) < covered:
            reply_append_entries(
                state,
                to=sender,
                is_ok=True,
                match_index=state.log.base_index,
                heartbeat=message.heartbeat,
            )
            return
        entries = entries[covered:]
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
    """Return the last index that may match when the entry at `index` does not.

    It is the index before the first local entry of the conflicting term, or the end of the log,
    and never below the commit index.
    """
    if index > state.log.last_index:
        return state.log.last_index
    if index <= state.commit_index:
        raise InvariantViolated(f"entry {index} conflicts; commit index is {state.commit_index}")
    conflict_term = state.log.term_at(index=index)
    while index > state.commit_index and state.log.term_at(index=index) == conflict_term:
        index -= 1
    return index


def _append_received(state: RaftState, *, entries: list[LogEntry]) -> None:
    """Append the entries that are not in the log yet; a conflicting entry truncates the log."""
    known_count = 0
    while known_count < len(entries) and _is_in_log(state, entry=entries[known_count]):
        known_count += 1
    new = entries[known_count:]
    if not new:
        return
    cut_from = new[0].index if new[0].index <= state.log.last_index else None
    if cut_from is not None:
        _truncate_from(state, index=cut_from)
    state.append(entries=new, cut_from=cut_from)
    state.on_members_changed()


def _is_in_log(state: RaftState, *, entry: LogEntry) -> bool:
    return state.log.term_at(index=entry.index) == entry.term


def _truncate_from(state: RaftState, *, index: int) -> None:
    if index <= state.commit_index:
        raise InvariantViolated(f"entry {index} conflicts; commit index is {state.commit_index}")
    state.log.truncate_from(index=index)
    state.members.truncate_from(index=index)
    state.writes.truncate_after(index=index - 1)


def reply_append_entries(
    state: RaftState,
    *,
    to: str,
    is_ok: bool,
    match_index: int = 0,
    conflict_index: int = 0,
    heartbeat: int = 0,
) -> None:
    """Reply to a leader once all earlier writes are on disk."""
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
    state.send(to=to, message=reply, is_after_sync=True)
