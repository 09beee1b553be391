"""Ways into the code under check that only planted faults of the model checker need."""

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
    replica.log.truncate_from(index=index + 1)
    replica.members.truncate_from(index=index + 1)
    replica.state.writes.truncate_after(index=index)


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
    append_as_leader(replica.state, kind=MEMBERSHIP, data=write_members(members=members))
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
