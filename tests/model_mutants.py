"""Injected faults: each is an error that the control plane could have.

A fault changes the events that a replica receives, the effects that it returns, or one
function of the code, and nothing else; the model checker must find it.
"""

from __future__ import annotations

import contextlib
import dataclasses
from typing import Any, Iterator
from unittest import mock

from kelpstage.common.rollouts.condition import RolloutCondition
from kelpstage.core.rollouts.order_ages import OrderAge, OrderAges
from kelpstage.core.rollouts.repetitions import RepeatedOrder, decide_order
from kelpstage.core.state import machine
from kelpstage.core.state.rollouts import has_content, rollouts_of
from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model import rollouts
from kelpstage.testbed.model.node import Hooks, Node
from kelpstage.testbed.model.sessions import PendingCall, RenewCall, Sessions
from kelpstage.testbed.model.system import World
from tests import model_patches as patches


class SuffixDroppedBySnapshot(Hooks):
    """The installation of a snapshot drops the log entries after it."""

    def after_step(self, node: Node, event: Any, effects: list[Any]) -> list[Any]:
        if not any(isinstance(effect, core.SaveSnapshot) for effect in effects):
            return effects
        patches.drop_log_after(node.replica, index=event.index)
        return [
            dataclasses.replace(effect, tail=[])
            if isinstance(effect, core.SaveSnapshot)
            else effect
            for effect in effects
        ]


class _UnsyncedReply(Hooks):
    """Replies of one kind are sent before the data that they acknowledge is on disk."""

    kind: type = object

    def after_step(self, node: Node, event: Any, effects: list[Any]) -> list[Any]:
        return [
            dataclasses.replace(effect, after=0)
            if isinstance(effect, core.Send) and isinstance(effect.message, self.kind)
            else effect
            for effect in effects
        ]


class VoteNotSynced(_UnsyncedReply):
    """A vote is granted before it is on disk."""

    kind = core.RequestVoteReply


class AcknowledgedBeforeSync(_UnsyncedReply):
    """A follower acknowledges entries before they are on its disk."""

    kind = core.AppendEntriesReply


class VoteForgotten(Hooks):
    """Term and vote are never written to disk."""

    def after_step(self, node: Node, event: Any, effects: list[Any]) -> list[Any]:
        return [
            dataclasses.replace(effect, term=None, vote=None)
            if isinstance(effect, core.Persist)
            else effect
            for effect in effects
        ]


class _ChangedMessage(Hooks):
    """Messages of one kind are changed before the replica receives them."""

    kind: type = object

    def before_step(self, node: Node, event: Any) -> Any:
        if isinstance(event, core.Received) and isinstance(event.message, self.kind):
            message = self.change(node, patches.copy_message(event.message))
            return core.Received(message=message)
        return event

    def change(self, node: Node, message: Any) -> Any:
        """Return the message after the fault changed it."""
        raise NotImplementedError


class SecondVote(_ChangedMessage):
    """A replica votes again in a term in which it has voted."""

    kind = core.RequestVote

    def change(self, node: Node, message: Any) -> Any:
        patches.forget_vote(node.replica)
        return message


class LogNotComparedInVotes(_ChangedMessage):
    """A vote is granted whatever the candidate's log contains."""

    kind = core.RequestVote

    def change(self, node: Node, message: Any) -> Any:
        message.last_log_term = 1_000_000
        return message


class StaleAppendTruncates(_ChangedMessage):
    """A stale AppendEntries message truncates the entries after its own."""

    kind = core.AppendEntries

    def change(self, node: Node, message: Any) -> Any:
        last = message.prev_log_index + len(message.entries)
        if message.term != core.term_of(node.replica) or not message.entries:
            return message
        if node.replica.log.term_at(index=last) == message.entries[-1].term:
            patches.truncate(node, index=max(last, core.commit_index_of(node.replica)))
        return message


class CommitBeyondWhatMatches(_ChangedMessage):
    """A follower commits up to the leader's index, including entries that it did not check."""

    kind = core.AppendEntries

    def change(self, node: Node, message: Any) -> Any:
        log = node.replica.log
        if message.term == core.term_of(node.replica):
            patches.commit_unchecked(node.replica, index=min(message.commit_index, log.last_index))
        return message


class AcknowledgementOverstated(_ChangedMessage):
    """A leader takes a follower's reply as an acknowledgement of its whole log."""

    kind = core.AppendEntriesReply

    def change(self, node: Node, message: Any) -> Any:
        if message.is_ok:
            message.match_index = node.replica.log.last_index
        return message


class LeaderCountsUnsynced(Hooks):
    """A leader counts its own entries before they are on its disk."""

    def before_step(self, node: Node, event: Any) -> Any:
        if core.role_of(node.replica) == core.LEADER:
            patches.mark_log_durable(node.replica)
        return event


class ReadWithoutQuorum(Hooks):
    """A leader answers reads without asking a majority."""

    def after_step(self, node: Node, event: Any, effects: list[Any]) -> list[Any]:
        is_leader = core.role_of(node.replica) == core.LEADER
        if not is_leader or not isinstance(event, core.ReadIndexRequest):
            return effects
        index = core.commit_index_of(node.replica)
        return [core.ReadReady(token=event.token, index=index), *effects]


class DedupLostInSnapshot(Hooks):
    """A snapshot omits the records of orders."""

    def on_snapshot(self, node: Node, snapshot: core.DiskSnapshot) -> core.DiskSnapshot:
        state = core.CoreState().parse(snapshot.state)
        state.puts, state.superseded = [], b""
        return core.DiskSnapshot(
            index=snapshot.index,
            term=snapshot.term,
            members=snapshot.members,
            state=bytes(state),
            cluster=snapshot.cluster,
        )


class SnapshotMembersIgnored(Hooks):
    """A replica uses the initial members instead of those in a fetched snapshot."""

    def before_step(self, node: Node, event: Any) -> Any:
        if isinstance(event, core.SnapshotFetched):
            founders = [
                core.CoreMember(replica=f"n{i}", address=f"n{i}", is_voter=True)
                for i in range(node.world.scope.voters)
            ]
            return dataclasses.replace(event, members=founders)
        return event


class RepeatRefused(Hooks):
    """A repeat of a decided order is decided again."""

    def before_step(self, node: Node, event: Any) -> Any:
        node.machine.decided = lambda **_: None
        return event


class LeasesForgottenByNewLeader(Hooks):
    """A new leader assumes that no edge holds a lease of the previous leader."""

    def after_step(self, node: Node, event: Any, effects: list[Any]) -> list[Any]:
        for effect in effects:
            if isinstance(effect, core.RoleChanged) and effect.role == core.LEADER:
                node.world.make_lease_table = lambda: leases.LeaseTable(since_us=-(10**9))
        return effects


class LearnerKeepsLeader(Hooks):
    """A learner without contact to a leader never forgets the last one."""

    def before_step(self, node: Node, event: Any) -> Any:
        if isinstance(event, core.Tick):
            patches.postpone_learner_timeout(node.replica)
        return event


@contextlib.contextmanager
def patched(target: Any, name: str, replacement: Any) -> Iterator[None]:
    """Replace a function of the code or of the model within the context."""
    with mock.patch.object(target, name, replacement):
        yield


def lease_without_quorum() -> contextlib.AbstractContextManager:
    """A leader grants leases without asking a majority."""
    handle_call = Sessions.handle_call

    def grant_at_once(self: Sessions, *, node: Node, source: str, call: Any) -> None:
        if not isinstance(call, RenewCall) or core.role_of(node.replica) != core.LEADER:
            handle_call(self, node=node, source=source, call=call)
            return
        self._record_heartbeat(node=node, call=call)
        pending = PendingCall(
            address=node.address,
            starts=node.starts,
            call=call,
            lease_table=node.lease_table,
            deadline_us=0,
        )
        self._grant_lease(node=node, pending=pending)

    return patched(Sessions, "handle_call", grant_at_once)


def acknowledged_unsettled() -> contextlib.AbstractContextManager:
    """An order is acknowledged while edges may still serve an older epoch."""
    return patched(leases, "lease_table_settled", lambda *_, **__: True)


def lease_from_arrival() -> contextlib.AbstractContextManager:
    """An edge counts the span of its lease from its arrival, not from the request for it."""
    record = leases.take_lease

    def record_late(lease_holder: leases.LeaseHolder, *, reply: Any, sent_us: int) -> None:
        record(lease_holder, reply=reply, sent_us=sent_us + 1_500_000)

    return patched(leases, "take_lease", record_late)


def observer_confirms_for_ever() -> contextlib.AbstractContextManager:
    """An observer confirms its epoch without a time limit."""
    return patches.patch_may_confirm(
        lambda holder: (
            holder.first_leased_epoch is not None and holder.epoch >= holder.first_leased_epoch
        )
    )


def observers_not_waited_for() -> contextlib.AbstractContextManager:
    """A leader assumes that edges without the newest epoch confirm no older one."""
    return patched(leases.LeaseTable, "_may_confirm_older", lambda *_, **__: False)


def previous_membership_ignored() -> contextlib.AbstractContextManager:
    """An epoch counts as settled by the newest membership alone."""
    return patches.patch_previous_membership()


def learner_never_promoted() -> contextlib.AbstractContextManager:
    """A learner that has caught up is not promoted to voter."""
    return patches.patch_caught_up(lambda state, *, name: False)


def quorum_too_small() -> contextlib.AbstractContextManager:
    """Half of the voters count as a majority."""
    return patches.patch_majority(lambda names, voters: len(names & voters) * 2 >= len(voters) - 1)


class SmallMessages(Hooks):
    """Not a fault: AppendEntries messages have one entry each."""

    def on_start(self, node: Node) -> None:
        patches.send_one_entry_at_a_time(node.replica)


def older_term_counted() -> contextlib.AbstractContextManager:
    """A leader commits an entry of an older term when a majority has it."""
    return patches.patch_commit_any_term()


def change_before_terms_entry() -> contextlib.AbstractContextManager:
    """A leader proposes a membership change before an entry of its term is committed."""
    return patches.patch_change_pending(lambda state: state.members.index > state.commit_index)


def concurrent_membership_changes() -> contextlib.AbstractContextManager:
    """A leader proposes a membership change while another one is in progress."""
    return patches.patch_change_pending(lambda state: False)


def snapshot_never_found() -> contextlib.AbstractContextManager:
    """A leader offers a snapshot and does not serve it."""
    return patched(World, "snapshot_at", lambda *_, **__: None)


# --- orders of rollouts ---------------------------------------------------------------------


@contextlib.contextmanager
def equal_rollout_is_a_repetition() -> Iterator[None]:
    """An order counts as a repetition of any earlier one with its content."""

    def decide(*, state: Any, order: Any, age_of: Any, repeat_within_us: int) -> Any:
        for known in rollouts_of(state=state, service=order.service):
            if has_content(rollout=known, order=order):
                return RepeatedOrder(number=known.number)
        return decide_order(
            state=state, order=order, age_of=age_of, repeat_within_us=repeat_within_us
        )

    with mock.patch.object(rollouts, "decide_order", decide):
        yield


@contextlib.contextmanager
def restarted_replica_counts_from_its_start() -> Iterator[None]:
    """A replica takes the time that it knows of for the whole age of an order."""
    age = OrderAges.age

    def shortened(self: OrderAges, **fields: Any) -> OrderAge:
        found = age(self, **fields)
        return OrderAge(at_least_us=found.at_least_us, at_most_us=found.at_least_us)

    with mock.patch.object(OrderAges, "age", shortened):
        yield


@contextlib.contextmanager
def reverted_rollout_is_never_a_repetition() -> Iterator[None]:
    """An order that was sent again after its rollout was reverted begins another one."""

    def old(self: OrderAges, **fields: Any) -> OrderAge:
        return OrderAge(at_least_us=10**12)

    with mock.patch.object(OrderAges, "age", old):
        yield


@contextlib.contextmanager
def newest_target_is_in_place() -> Iterator[None]:
    """The target of the newest rollout counts as the version in place, even if reverted."""

    def newest(*, state: Any, service: str) -> list[str]:
        return [rollout.target for rollout in rollouts_of(state=state, service=service)[:1]]

    with mock.patch.object(rollouts, "versions_in_place", newest):
        yield


@contextlib.contextmanager
def ended_rollout_changes_again() -> Iterator[None]:
    """A rollout that has ended is rolling again after a late change."""
    change_rollout = machine.change_rollout

    def change(*, state: Any, change: Any) -> Any:
        for known in state.rollouts:
            if known.number == change.number:
                known.condition = RolloutCondition.ROLLING
        return change_rollout(state=state, change=change)

    rolling = mock.patch.object(
        rollouts.ModelRollouts, "_is_rolling", lambda self, *, rollout: rollout is not None
    )
    with mock.patch.object(machine, "change_rollout", change), rolling:
        yield
