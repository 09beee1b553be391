"""The only module of the model checker that depends on the names of the checked Raft code.

It re-exports the events and effects of `Replica` under the names that the rest of the
package uses, and has accessors for the state that the invariants need. `edge_adapter` does
the same for edges and leases.
"""

from __future__ import annotations

import random
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import WriteUnresolvedError
from kelpstage.common.transport.messages import (
    AppendEntries,
    AppendEntriesReply,
    CoreMember,
    InstallSnapshot,
    LogEntry,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from kelpstage.core.bootstrap import FOUNDING_INDEX, FOUNDING_TERM
from kelpstage.core.leases.configuration_writes import as_result
from kelpstage.core.raft import types as raft
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.raft.members import read_members, write_members
from kelpstage.core.raft.replica import Replica
from kelpstage.core.raft.state import InvariantViolated as ReplicaInvariantViolated
from kelpstage.core.state.commands import (
    Command,
    PutConfiguration,
    RefusePut,
    put_command,
)
from kelpstage.core.state.digests import put_digest
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.outcomes import PutApplied, PutNotAbove, PutSuperseded
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.core.store.records import DiskSnapshot

CLUSTER = "k"

# Effects.
Send, Persist, Commit = raft.Send, raft.Persist, raft.Commit
SaveSnapshot, FetchOffered = raft.SaveSnapshot, raft.FetchOffered
ReadReady, ReadLost = raft.ReadReady, raft.ReadLost
Proposed, NotLeader = raft.Proposed, raft.NotLeader
RoleChanged, Removed, MarginChanged = raft.RoleChanged, raft.Removed, raft.MarginChanged

# Events.
Received, Synced, SnapshotFetched = raft.Received, raft.Synced, raft.SnapshotFetched
SnapshotTaken, ReadIndexRequest = raft.SnapshotTaken, raft.ReadIndex
Propose, Tick, TransferLeadership = raft.Propose, raft.Tick, raft.TransferLeadership
JoinRequest, LeaveRequest = raft.JoinRequested, raft.LeaveRequested

LEADER, COMMAND, MEMBERSHIP, NOOP = raft.LEADER, raft.COMMAND, raft.MEMBERSHIP, raft.NOOP

__all__ = [
    "CLUSTER",
    "COMMAND",
    "FOUNDING_INDEX",
    "FOUNDING_TERM",
    "LEADER",
    "MEMBERSHIP",
    "AppendEntries",
    "AppendEntriesReply",
    "Commit",
    "CoreMember",
    "CoreState",
    "DiskSnapshot",
    "FetchOffered",
    "InstallSnapshot",
    "JoinRequest",
    "LeaveRequest",
    "SaveSnapshot",
    "LogEntry",
    "Machine",
    "MemoryLog",
    "NOOP",
    "NotLeader",
    "Persist",
    "Propose",
    "Proposed",
    "PutApplied",
    "ReadIndexRequest",
    "ReadLost",
    "ReadReady",
    "Received",
    "MarginChanged",
    "Removed",
    "Replica",
    "ReplicaInvariantViolated",
    "RequestVote",
    "RequestVoteReply",
    "RoleChanged",
    "Send",
    "SnapshotFetched",
    "SnapshotTaken",
    "Synced",
    "Tick",
    "TimeoutNow",
    "TransferLeadership",
    "read_members",
    "write_members",
]


def make_replica(
    *,
    me: str,
    members: list[CoreMember],
    rand: random.Random,
    now_us: int,
    term: int,
    vote: str,
    log: MemoryLog,
    voters: int,
) -> Replica:
    """Return a replica, constructed from recovered state as the core process does it."""
    return Replica(
        me=me,
        cluster=CLUSTER,
        members=members,
        rand=rand,
        now_us=now_us,
        term=term,
        vote=vote,
        log=log,
        voters=voters,
    )


def role_of(replica: Replica) -> str:
    """Return the role: follower, pre-candidate, candidate or leader."""
    return replica.role


def term_of(replica: Replica) -> int:
    """Return the current term."""
    return replica.term


def commit_index_of(replica: Replica) -> int:
    """Return the commit index in memory."""
    return replica.commit_index


def members_of(replica: Replica) -> list[CoreMember]:
    """Return the members of the newest membership in the log, committed or not."""
    return replica.members.current


def members_at(replica: Replica, *, index: int) -> list[CoreMember]:
    """Return the members in force at a log index."""
    return replica.members.at(index=index)


def knows_leader(replica: Replica) -> bool:
    """True if the replica knows the leader of its term."""
    return bool(replica.leader)


def may_leave(replica: Replica, *, leaving: str, term: int, last_index: int) -> bool:
    """True if this leader allows a member to stop permanently."""
    status = replica.leave_status(replica=leaving, term=term, last_index=last_index)
    return status.state in (raft.LeaveState.REPLACED, raft.LeaveState.COPIED)


def tail_of(effect: SaveSnapshot) -> list[LogEntry]:
    """Return the log entries that are kept after a fetched snapshot."""
    return list(getattr(effect, "tail", []))


def fetched_event(*, snapshot: DiskSnapshot, offer: FetchOffered) -> SnapshotFetched:
    """Return the event by which a core passes a completely fetched snapshot to its replica."""
    return SnapshotFetched(
        index=snapshot.index,
        term=snapshot.term,
        members=list(snapshot.members),
        leader=offer.leader,
        leader_term=offer.leader_term,
        heartbeat=offer.heartbeat,
    )


def order_bytes(
    *, put_id: str, expected: int, version: int, document: bytes, state: CoreState
) -> bytes:
    """Return the command that a leader in this state proposes for an operator's order."""
    put = PutConfiguration(put_id=put_id, expected=expected, version=version, document=document)
    return bytes(put_command(put=put, state=state))


def refusal_bytes(*, put_id: str, expected: int, version: int, digest: bytes) -> bytes:
    """Return the command that rejects, through the log, an order on a future version."""
    refusal = RefusePut(put_id=put_id, digest=digest, expected=expected, version=version)
    return bytes(Command(refuse=refusal))


def order_digest(*, expected: int, version: int, document: bytes) -> bytes:
    """Return the digest that identifies repeats of an order."""
    return put_digest(document=document, expected=expected, version=version)


def decided(*, machine: Machine, order: Any) -> Any:
    """Return the outcome that the state machine has recorded for an order, or `None`."""
    put = PutConfiguration(put_id=order.put_id, expected=order.expected, version=order.version)
    return machine.decided(put=put, digest=order.digest)


def is_unclear(outcome: Any) -> bool:
    """True if the reply to the operator would be that the outcome of the order is unknown."""
    return isinstance(as_result(outcome=outcome, put_id=""), WriteUnresolvedError)


def is_refusal(outcome: Any) -> bool:
    """True if the reply to the operator would be a final rejection of the order."""
    return isinstance(as_result(outcome=outcome, put_id=""), KelpstageError) and not is_unclear(
        outcome
    )


def refusal_of_base(*, expected: int, version: int, current: int) -> Any:
    """Return the leader's rejection of an order whose base is not the version in force.

    Returns `None` for an order that builds on that version.
    """
    if current != expected:
        return PutSuperseded(expected=expected, current=current)
    if version and version <= current:
        return PutNotAbove(version=version, current=current)
    return None
