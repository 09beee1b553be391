"""Messages of the Raft protocol between cores, named as in the Raft paper and thesis."""

from __future__ import annotations

from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.common.transport.codec import Message


@dataclass
class LogEntry(Message):
    """One entry of the replicated log; `kind` says what `data` holds."""

    index: int = bp.uint64_field(1)
    term: int = bp.uint64_field(2)
    kind: int = bp.uint32_field(3)
    data: bytes = bp.bytes_field(4)


@dataclass
class RequestVote(Message):
    """From a candidate to every voter; answered by `RequestVoteReply` (Raft, section 5.2).

    With `is_pre_vote`, the receiver only replies whether it would grant its vote (thesis,
    section 9.6). `is_transfer` marks an election that the leader requested with `TimeoutNow`;
    voters grant it although they are still in contact with a leader. `address` is the
    candidate's, for the reply.
    """

    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
    last_log_index: int = bp.uint64_field(5)
    last_log_term: int = bp.uint64_field(6)
    is_pre_vote: bool = bp.bool_field(7)
    is_transfer: bool = bp.bool_field(8)
    address: str = bp.string_field(9)


@dataclass
class RequestVoteReply(Message):
    """From a voter to a candidate: whether the vote or the pre-vote of `term` is granted."""

    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
    is_pre_vote: bool = bp.bool_field(5)
    is_granted: bool = bp.bool_field(6)


@dataclass
class AppendEntries(Message):
    """From the leader to a follower; without entries it is a heartbeat (Raft, section 5.3).

    `heartbeat` numbers the leader's heartbeat rounds: a reply with the number confirms the
    leadership for the reads that began before the round (section 8). Answered by
    `AppendEntriesReply`.
    """

    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
    prev_log_index: int = bp.uint64_field(5)
    prev_log_term: int = bp.uint64_field(6)
    entries: List[LogEntry] = bp.message_field(7)
    commit_index: int = bp.uint64_field(8)
    heartbeat: int = bp.uint64_field(9)
    leader_address: str = bp.string_field(10)


@dataclass
class AppendEntriesReply(Message):
    """From a follower to the leader.

    If `is_ok`, the follower's log matches the leader's up to `match_index`; otherwise the
    leader continues from `conflict_index`. `heartbeat` is copied from the request.
    """

    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
    is_ok: bool = bp.bool_field(5)
    match_index: int = bp.uint64_field(6)
    conflict_index: int = bp.uint64_field(7)
    heartbeat: int = bp.uint64_field(8)


@dataclass
class InstallSnapshot(Message):
    """From the leader to a follower that lacks entries that the leader's log no longer holds.

    It carries no data: the follower fetches the snapshot with `FetchSnapshot` and then answers
    with `AppendEntriesReply` (Raft, section 7).
    """

    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
    last_included_index: int = bp.uint64_field(5)
    last_included_term: int = bp.uint64_field(6)
    leader_address: str = bp.string_field(7)
    heartbeat: int = bp.uint64_field(8)


@dataclass
class TimeoutNow(Message):
    """From the leader to its successor: start an election at once (thesis, section 3.10)."""

    cluster: str = bp.string_field(1)
    sender: str = bp.string_field(2)
    to: str = bp.string_field(3)
    term: int = bp.uint64_field(4)
