"""Access to internals of the checked code for the injected faults of the model checker."""

from __future__ import annotations

import dataclasses
from contextlib import AbstractContextManager
from typing import Any, Callable
from unittest import mock

from kelpstage.common.transport.messages import CoreMember
from kelpstage.core.leases import epoch_settlement
from kelpstage.core.raft import leadership, membership
from kelpstage.core.raft.members import MemberList, write_members
from kelpstage.core.raft.replica import Replica
from kelpstage.core.raft.replication import append_as_leader, commit_to, replicate_all
from kelpstage.core.state.replicated_state import edge_membership
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.testbed.model.adapter import MEMBERSHIP, Persist


def copy_message(message: Any) -> Any:
    """Return a copy of a message that may be changed."""
    return type(message)().parse(bytes(message))


def forget_vote(replica: Replica) -> None:
    """Remove the vote of the current term from memory."""
    replica.state.vote = ""


def mark_log_durable(replica: Replica) -> None:
    """Mark the whole log as durable."""
    replica.state.writes.durable = replica.log.last_index


def drop_log_after(replica: Replica, *, index: int) -> None:
    """Remove the entries after `index` from the log in memory."""
    replica.log.truncate_from(index=index + 1)
    replica.members.truncate_from(index=index + 1)
    replica.state.writes.truncate_after(index=index)


def truncate(node: Any, *, index: int) -> None:
    """Remove the entries after `index` from the log, in memory and on disk."""
    if node.replica.log.last_index <= index:
        return
    drop_log_after(node.replica, index=index)
    number = node.replica.state.writes.begin(last_index=index, now_us=node.replica.state.now_us)
    node.disk.queue.append(Persist(number=number, cut_from=index + 1))


def commit_unchecked(replica: Replica, *, index: int) -> None:
    """Advance the commit index without a check; the replica's next step returns the effect."""
    commit_to(replica.state, index=index)


def send_one_entry_at_a_time(replica: Replica) -> None:
    """Limit AppendEntries to one entry, so that a message can end anywhere in the log."""
    replica.state.timing = dataclasses.replace(replica.state.timing, batch_bytes=1)


def change_members(replica: Replica, *, members: list[CoreMember]) -> bool:
    """Propose these members at a leader; false if its rule does not allow a change now."""
    if membership.is_change_pending(replica.state):
        return False
    append_as_leader(replica.state, kind=MEMBERSHIP, data=write_members(members=members))
    replicate_all(replica.state)
    return True


def patch_change_pending(rule: Callable[[Any], bool]) -> AbstractContextManager:
    """Replace the rule for when a membership change has to wait."""
    return mock.patch.object(membership, "is_change_pending", rule)


def patch_commit_any_term() -> AbstractContextManager:
    """Let a leader commit entries of older terms by counting the replicas that have them."""

    def advance(state: Any) -> bool:
        matches = sorted(
            state.match_index_of(name=m.replica) for m in state.members.current if m.is_voter
        )
        index = matches[(len(matches) - 1) // 2]
        is_ahead = index > state.commit_index
        commit_to(state, index=index)
        return is_ahead

    return mock.patch.object(leadership, "advance_commit_index", advance)


def postpone_learner_timeout(replica: Replica) -> None:
    """Postpone the election timeout of a replica that is not a voter."""
    if not replica.members.is_voter(replica=replica.me):
        replica.state.election_due_us = replica.state.now_us + 10**9


def patch_majority(
    rule: Callable[[set[str], set[str]], bool],
) -> AbstractContextManager:
    """Replace the majority rule by one of names and voters."""

    def is_majority(self: MemberList, *, names: set[str]) -> bool:
        return rule(names, {member.replica for member in self.current if member.is_voter})

    return mock.patch.object(MemberList, "is_majority", is_majority)


def patch_may_confirm(rule: Callable[[LeaseHolder], bool]) -> AbstractContextManager:
    """Replace the rule for whether an edge may confirm its epoch by one without a time limit."""
    return mock.patch.object(
        LeaseHolder, "may_confirm", lambda self, *, now_us: not self.has_left and rule(self)
    )


def patch_previous_membership() -> AbstractContextManager:
    """Replace the previous membership by the newest one."""
    return mock.patch.object(
        epoch_settlement,
        "previous_edge_membership",
        lambda *, state: edge_membership(state=state),
    )


def patch_caught_up(replacement: Callable[..., bool]) -> AbstractContextManager:
    """Replace the rule for when a learner can be promoted."""
    return mock.patch.object(membership, "_is_caught_up", replacement)
