"""The one place of the model checker that knows the names of the code under check.

Events and effects of `Replica` are given here under the names that the rest of the
package uses, together with the few readings of its state that the invariants need.
"""

from __future__ import annotations

import dataclasses
import random
from contextlib import AbstractContextManager
from typing import Any, Callable
from unittest import mock

from kelpstage.common.configuration.types import EMPTY
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import WriteUnresolvedError
from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.transport.messages import (
    AppendEntries,
    AppendEntriesReply,
    CoreMember,
    InstallSnapshot,
    LeaseReply,
    LogEntry,
    RequestVote,
    RequestVoteReply,
    StateDoc,
    TimeoutNow,
)
from kelpstage.core.bootstrap import FOUNDING_INDEX, FOUNDING_TERM
from kelpstage.core.leases import epoch_settlement
from kelpstage.core.leases.configuration_writes import as_result
from kelpstage.core.leases.epoch_settlement import is_epoch_settled
from kelpstage.core.leases.lease_table import LeaseTable
from kelpstage.core.leases.membership_changes import edge_to_remove
from kelpstage.core.raft import leadership, membership
from kelpstage.core.raft import types as raft
from kelpstage.core.raft.log import MemoryLog
from kelpstage.core.raft.members import MemberList, read_members, write_members
from kelpstage.core.raft.replica import Replica
from kelpstage.core.raft.replication import append_own, commit_to, replicate_all
from kelpstage.core.raft.state import InvariantViolated as ReplicaInvariantViolated
from kelpstage.core.state.commands import (
    AddEdge,
    Command,
    PutConfiguration,
    RefusePut,
    RemoveEdge,
    put_command,
)
from kelpstage.core.state.digests import put_digest
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.outcomes import PutApplied, PutNotAbove, PutSuperseded
from kelpstage.core.state.replicated_state import CoreState, edge_membership
from kelpstage.core.store.records import DiskSnapshot
from kelpstage.edge.lease.lease_holder import LeaseHolder

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
LEASE_US = LEASE_SPAN_US

__all__ = [
    "CLUSTER",
    "COMMAND",
    "FOUNDING_INDEX",
    "FOUNDING_TERM",
    "LEADER",
    "LEASE_US",
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
    "LeaseHolder",
    "LeaseTable",
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
    """A replica as the daemon makes it from what it recovered."""
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
    """Follower, pre-candidate, candidate or leader."""
    return replica.role


def term_of(replica: Replica) -> int:
    """The current term."""
    return replica.term


def commit_index_of(replica: Replica) -> int:
    """The commit index in memory."""
    return replica.commit_index


def members_of(replica: Replica) -> list[CoreMember]:
    """The members of the newest configuration in the log, committed or not."""
    return replica.members.current


def members_at(replica: Replica, *, index: int) -> list[CoreMember]:
    """The members in force at a log index."""
    return replica.members.at(index=index)


def knows_leader(replica: Replica) -> bool:
    """Does it know the leader of its term?"""
    return bool(replica.leader)


def may_leave(replica: Replica, *, leaving: str, term: int, last_index: int) -> bool:
    """Does this leader allow a member to stop for good?"""
    status = replica.leave_status(replica=leaving, term=term, last_index=last_index)
    return status.state in (raft.LeaveState.REPLACED, raft.LeaveState.COPIED)


def tail_of(effect: SaveSnapshot) -> list[LogEntry]:
    """Entries that stay behind a fetched snapshot."""
    return list(getattr(effect, "tail", []))


def fetched_event(*, snapshot: DiskSnapshot, offer: FetchOffered) -> SnapshotFetched:
    """The event by which a daemon hands a completely fetched snapshot to its replica."""
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
    """An operator's order as the command that a leader in this state proposes."""
    put = PutConfiguration(put_id=put_id, expected=expected, version=version, document=document)
    return bytes(put_command(put=put, state=state))


def refusal_bytes(*, put_id: str, expected: int, version: int, digest: bytes) -> bytes:
    """The command that refuses an order on a version to come by the log."""
    refusal = RefusePut(put_id=put_id, digest=digest, expected=expected, version=version)
    return bytes(Command(refuse=refusal))


def order_digest(*, expected: int, version: int, document: bytes) -> bytes:
    """The digest by which a repeat of an order is recognized."""
    return put_digest(document=document, expected=expected, version=version)


def decided(*, machine: Machine, order: Any) -> Any:
    """The outcome of an order, as far as the state machine's records hold it."""
    put = PutConfiguration(put_id=order.put_id, expected=order.expected, version=order.version)
    return machine.decided(put=put, digest=order.digest)


def is_unclear(outcome: Any) -> bool:
    """Would the operator be answered that the outcome of the order is unknown?"""
    return isinstance(as_result(outcome=outcome, put_id=""), WriteUnresolvedError)


def is_refusal(outcome: Any) -> bool:
    """Would the operator be answered that the order was finally refused?"""
    return isinstance(as_result(outcome=outcome, put_id=""), KelpstageError) and not is_unclear(
        outcome
    )


def refusal_of_base(*, expected: int, version: int, current: int) -> Any:
    """What the leader says of an order that does not build on the version in force."""
    if current != expected:
        return PutSuperseded(expected=expected, current=current)
    if version and version <= current:
        return PutNotAbove(version=version, current=current)
    return None


def first_state(*, edges: list[str], observers: list[str]) -> CoreState:
    """The state of a cluster in which these edges have joined, some of them as observers."""
    return CoreState(
        cluster=CLUSTER, epoch=1, membership=sorted(edges), observers=sorted(observers)
    )


def lease_reply(*, epoch: int) -> LeaseReply:
    """A lease for this epoch."""
    return LeaseReply(is_granted=True, cluster=CLUSTER, epoch=epoch, span_us=LEASE_US)


def install(lease_holder: LeaseHolder, *, doc: StateDoc, now_us: int) -> None:
    """An edge takes a state into use."""
    lease_holder.install(doc=doc, configuration=EMPTY, now_us=now_us)


def take_lease(lease_holder: LeaseHolder, *, reply: LeaseReply, sent_us: int) -> None:
    """An edge takes a lease that it asked for at `sent_us`."""
    lease_holder.take_lease(reply=reply, sent_us=sent_us)


def has_lease(lease_holder: LeaseHolder, *, now_us: int) -> bool:
    """May the edge serve what it has installed, by its lease alone?"""
    return lease_holder.has_lease(now_us=now_us)


def lease_table_hears(
    lease_table: LeaseTable, *, edge: str, incarnation: int, epoch: int, now_us: int
) -> None:
    """The leader receives an edge's heartbeat: the epoch that it has installed."""
    lease_table.record_report(
        edge=edge, incarnation=incarnation, epoch=epoch, contact=None, now_us=now_us
    )


def lease_table_gives(lease_table: LeaseTable, *, edge: str, epoch: int, now_us: int) -> None:
    """The leader notes a lease that it gives."""
    lease_table.record_lease(edge=edge, epoch=epoch, now_us=now_us)


def lease_table_settled(
    lease_table: LeaseTable, *, state: CoreState, epoch: int, now_us: int
) -> bool:
    """Can no edge serve an older epoch any more, as far as the leader knows?"""
    return is_epoch_settled(lease_table=lease_table, state=state, epoch=epoch, now_us=now_us)


def has_edge_quorum(lease_table: LeaseTable, *, state: CoreState, now_us: int) -> bool:
    """Are enough voting edges there for a new epoch to settle?"""
    return lease_table.has_quorum(membership=edge_membership(state=state), now_us=now_us)


def lease_table_leaves(
    lease_table: LeaseTable, *, edge: str, incarnation: int, now_us: int
) -> None:
    """The leader hears that an edge leaves."""
    lease_table.give_back(edge=edge, incarnation=incarnation, now_us=now_us)


def removal_bytes(
    lease_table: LeaseTable, *, state: CoreState, tolerance: int, now_us: int
) -> bytes:
    """The command that removes the edge that has been absent for too long; empty if none has."""
    edge = edge_to_remove(
        membership=edge_membership(state=state),
        lease_table=lease_table,
        least_voters=max(1, 2 * tolerance),
        now_us=now_us,
    )
    return bytes(Command(remove=RemoveEdge(edge=edge, is_joint=True))) if edge else b""


def join_bytes(*, edges: dict[str, bool]) -> bytes:
    """The command that adds edges by name, with whether each is an observer."""
    names = list(edges)
    observers = [name for name, is_observer in edges.items() if is_observer]
    add = AddEdge(edge=names[0], more=names[1:], observers=observers, is_joint=True)
    return bytes(Command(add=add))


def may_confirm(lease_holder: LeaseHolder, *, now_us: int) -> bool:
    """May an edge confirm its epoch to its peers?"""
    return lease_holder.may_confirm(now_us=now_us)


def leave(lease_holder: LeaseHolder) -> None:
    """An edge stops serving and confirming."""
    lease_holder.has_left = True


# --- what planted faults need ---------------------------------------------------------


def copy_message(message: Any) -> Any:
    """A message of its own, to be changed."""
    return type(message)().parse(bytes(message))


def forget_vote(replica: Replica) -> None:
    """The vote of the present term is gone from memory."""
    replica.state.vote = ""


def claim_durable(replica: Replica) -> None:
    """The whole log counts as on disk."""
    replica.state.writes.durable = replica.log.last_index


def drop_log_behind(replica: Replica, *, index: int) -> None:
    """The entries behind `index` leave the log in memory."""
    replica.log.cut(index=index + 1)
    replica.members.cut(index=index + 1)
    replica.state.writes.drop_behind(index=index)


def truncate(node: Any, *, index: int) -> None:
    """The entries behind `index` leave the log, in memory and on disk."""
    if node.replica.log.last_index <= index:
        return
    drop_log_behind(node.replica, index=index)
    number = node.replica.state.writes.begin(last_index=index, now_us=node.replica.state.now_us)
    node.disk.queue.append(Persist(number=number, cut_from=index + 1))


def commit_unchecked(replica: Replica, *, index: int) -> None:
    """The commit index rises over whatever is in the log; the effect stays for the step."""
    commit_to(replica.state, index=index)


def send_one_entry_at_a_time(replica: Replica) -> None:
    """AppendEntries carries one entry, so that messages end anywhere in the log."""
    replica.state.timing = dataclasses.replace(replica.state.timing, batch_bytes=1)


def change_members(replica: Replica, *, members: list[CoreMember]) -> bool:
    """Have a leader propose these members, if its rule lets a change begin now."""
    if membership.is_change_pending(replica.state):
        return False
    append_own(replica.state, kind=MEMBERSHIP, data=write_members(members=members))
    replicate_all(replica.state)
    return True


def patch_change_pending(rule: Callable[[Any], bool]) -> AbstractContextManager:
    """Another rule of when a change of members has to wait."""
    return mock.patch.object(membership, "is_change_pending", rule)


def patch_commit_any_term() -> AbstractContextManager:
    """Entries of older terms are committed by counting who has them."""

    def advance(state: Any) -> bool:
        matches = sorted(
            state.match_index_of(name=m.replica) for m in state.members.current if m.is_voter
        )
        index = matches[(len(matches) - 1) // 2]
        is_ahead = index > state.commit_index
        commit_to(state, index=index)
        return is_ahead

    return mock.patch.object(leadership, "advance_commit_index", advance)


def put_off_learners_timeout(replica: Replica) -> None:
    """The election timeout of a replica that may not vote never comes."""
    if not replica.members.is_voter(replica=replica.me):
        replica.state.election_due_us = replica.state.now_us + 10**9


def patch_majority(
    rule: Callable[[set[str], set[str]], bool],
) -> AbstractContextManager:
    """Another rule of what a majority is, given names and voters."""

    def is_majority(self: MemberList, *, names: set[str]) -> bool:
        return rule(names, {member.replica for member in self.current if member.is_voter})

    return mock.patch.object(MemberList, "is_majority", is_majority)


def patch_may_confirm(rule: Callable[[LeaseHolder], bool]) -> AbstractContextManager:
    """Another rule of who may confirm its epoch, at whatever time."""
    return mock.patch.object(
        LeaseHolder, "may_confirm", lambda self, *, now_us: not self.has_left and rule(self)
    )


def patch_previous_membership() -> AbstractContextManager:
    """The membership before the newest epoch is taken for the newest one."""
    return mock.patch.object(
        epoch_settlement,
        "previous_edge_membership",
        lambda *, state: edge_membership(state=state),
    )


def patch_caught_up(replacement: Callable[..., bool]) -> AbstractContextManager:
    """Another rule of when a learner can be raised."""
    return mock.patch.object(membership, "_is_caught_up", replacement)
