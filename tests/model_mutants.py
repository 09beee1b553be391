"""Planted faults: each one a way in which the control side could be wrong.

A fault changes the events that a replica takes, the effects that it gives, or one
function of the code, and nothing else; the model checker must find it.
"""

from __future__ import annotations

import contextlib
import dataclasses
from typing import Any, Iterator
from unittest import mock

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.node import Hooks, Node
from kelpstage.testbed.model.sessions import RenewCall, Sessions, Work
from kelpstage.testbed.model.system import World
from tests import model_patches as patches


class SuffixDroppedBySnapshot(Hooks):
    """An installed snapshot throws away the entries behind it."""

    def after(self, node: Node, event: Any, effects: list[Any]) -> list[Any]:
        if not any(isinstance(effect, core.SaveSnapshot) for effect in effects):
            return effects
        patches.drop_log_behind(node.replica, index=event.index)
        return [
            dataclasses.replace(effect, tail=[])
            if isinstance(effect, core.SaveSnapshot)
            else effect
            for effect in effects
        ]


class _UnsyncedAnswer(Hooks):
    """Answers of one kind leave before what they promise is on disk."""

    kind: type = object

    def after(self, node: Node, event: Any, effects: list[Any]) -> list[Any]:
        return [
            dataclasses.replace(effect, after=0)
            if isinstance(effect, core.Send) and isinstance(effect.message, self.kind)
            else effect
            for effect in effects
        ]


class VoteNotSynced(_UnsyncedAnswer):
    """A vote is given before it is on disk."""

    kind = core.RequestVoteReply


class AcknowledgedBeforeSync(_UnsyncedAnswer):
    """A follower acknowledges entries before they are on its disk."""

    kind = core.AppendEntriesReply


class VoteForgotten(Hooks):
    """Term and vote are never written."""

    def after(self, node: Node, event: Any, effects: list[Any]) -> list[Any]:
        return [
            dataclasses.replace(effect, term=None, vote=None)
            if isinstance(effect, core.Persist)
            else effect
            for effect in effects
        ]


class _ChangedMessage(Hooks):
    """Messages of one kind are taken as if they said something else."""

    kind: type = object

    def before(self, node: Node, event: Any) -> Any:
        if isinstance(event, core.Received) and isinstance(event.message, self.kind):
            message = self.change(node, patches.copy_message(event.message))
            return core.Received(message=message)
        return event

    def change(self, node: Node, message: Any) -> Any:
        """The message as the fault makes it."""
        raise NotImplementedError


class SecondVote(_ChangedMessage):
    """A replica votes again in a term in which it has voted."""

    kind = core.RequestVote

    def change(self, node: Node, message: Any) -> Any:
        patches.forget_vote(node.replica)
        return message


class LogNotComparedInVotes(_ChangedMessage):
    """A vote is given whatever the candidate's log holds."""

    kind = core.RequestVote

    def change(self, node: Node, message: Any) -> Any:
        message.last_log_term = 1_000_000
        return message


class StaleAppendTruncates(_ChangedMessage):
    """An old AppendEntries cuts off what came after it."""

    kind = core.AppendEntries

    def change(self, node: Node, message: Any) -> Any:
        last = message.prev_log_index + len(message.entries)
        if message.term != core.term_of(node.replica) or not message.entries:
            return message
        if node.replica.log.term_at(index=last) == message.entries[-1].term:
            patches.truncate(node, index=max(last, core.commit_index_of(node.replica)))
        return message


class CommitBeyondWhatMatches(_ChangedMessage):
    """A follower commits up to the leader's index, over entries that it did not check."""

    kind = core.AppendEntries

    def change(self, node: Node, message: Any) -> Any:
        log = node.replica.log
        if message.term == core.term_of(node.replica):
            patches.commit_unchecked(node.replica, index=min(message.commit_index, log.last_index))
        return message


class AcknowledgementOverstated(_ChangedMessage):
    """A leader counts a follower's answer for more than it said."""

    kind = core.AppendEntriesReply

    def change(self, node: Node, message: Any) -> Any:
        if message.is_ok:
            message.match_index = node.replica.log.last_index
        return message


class LeaderCountsUnsynced(Hooks):
    """A leader counts entries of its own that are not on its disk."""

    def before(self, node: Node, event: Any) -> Any:
        if core.role_of(node.replica) == core.LEADER:
            patches.claim_durable(node.replica)
        return event


class ReadWithoutQuorum(Hooks):
    """A leader answers reads without asking a majority."""

    def after(self, node: Node, event: Any, effects: list[Any]) -> list[Any]:
        is_leader = core.role_of(node.replica) == core.LEADER
        if not is_leader or not isinstance(event, core.ReadIndexRequest):
            return effects
        index = core.commit_index_of(node.replica)
        return [core.ReadReady(token=event.token, index=index), *effects]


class DedupLostInSnapshot(Hooks):
    """A snapshot leaves out the records of orders."""

    def snapshot(self, node: Node, snapshot: core.DiskSnapshot) -> core.DiskSnapshot:
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
    """A replica keeps the members that it knew beside a fetched snapshot."""

    def before(self, node: Node, event: Any) -> Any:
        if isinstance(event, core.SnapshotFetched):
            founders = [
                core.CoreMember(replica=f"n{i}", address=f"n{i}", is_voter=True)
                for i in range(node.world.scope.voters)
            ]
            return dataclasses.replace(event, members=founders)
        return event


class RepeatRefused(Hooks):
    """An order that was decided is decided anew when it is sent again."""

    def before(self, node: Node, event: Any) -> Any:
        node.machine.decided = lambda **_: None
        return event


class LeasesForgottenByNewLeader(Hooks):
    """A new leader takes it that nobody held a lease before."""

    def after(self, node: Node, event: Any, effects: list[Any]) -> list[Any]:
        for effect in effects:
            if isinstance(effect, core.RoleChanged) and effect.role == core.LEADER:
                node.world.make_lease_table = lambda: leases.LeaseTable(since_us=-(10**9))
        return effects


class LearnerKeepsLeader(Hooks):
    """A learner that hears no leader any more goes on believing in the last one."""

    def before(self, node: Node, event: Any) -> Any:
        if isinstance(event, core.Tick):
            patches.put_off_learners_timeout(node.replica)
        return event


@contextlib.contextmanager
def patched(target: Any, name: str, replacement: Any) -> Iterator[None]:
    """A function of the code or of the model is another one for a while."""
    with mock.patch.object(target, name, replacement):
        yield


def lease_without_quorum() -> contextlib.AbstractContextManager:
    """A leader gives leases without asking a majority."""
    arrive = Sessions.arrive

    def give_at_once(self: Sessions, *, node: Node, source: str, call: Any) -> None:
        if not isinstance(call, RenewCall) or core.role_of(node.replica) != core.LEADER:
            arrive(self, node=node, source=source, call=call)
            return
        self._note_edge(node=node, call=call)
        work = Work(
            address=node.address,
            starts=node.starts,
            call=call,
            lease_table=node.lease_table,
            until_us=0,
        )
        self._give_lease(node=node, work=work)

    return patched(Sessions, "arrive", give_at_once)


def acknowledged_unsettled() -> contextlib.AbstractContextManager:
    """An order is acknowledged while edges may still serve what was before it."""
    return patched(leases, "lease_table_settled", lambda *_, **__: True)


def lease_from_arrival() -> contextlib.AbstractContextManager:
    """An edge counts its lease from when it came, not from when it was asked for."""
    take = leases.take_lease

    def take_late(lease_holder: leases.LeaseHolder, *, reply: Any, sent_us: int) -> None:
        take(lease_holder, reply=reply, sent_us=sent_us + 1_500_000)

    return patched(leases, "take_lease", take_late)


def observer_confirms_for_ever() -> contextlib.AbstractContextManager:
    """An observer confirms its epoch without a bound."""
    return patches.patch_may_confirm(
        lambda holder: (
            holder.first_leased_epoch is not None and holder.epoch >= holder.first_leased_epoch
        )
    )


def observers_not_waited_for() -> contextlib.AbstractContextManager:
    """A leader takes it that whoever lacks an epoch confirms nothing any more."""
    return patched(leases.LeaseTable, "_may_confirm_older", lambda *_, **__: False)


def membership_before_forgotten() -> contextlib.AbstractContextManager:
    """An epoch is settled by the newest membership alone."""
    return patches.patch_previous_membership()


def learner_never_raised() -> contextlib.AbstractContextManager:
    """A learner that has caught up is not made a voter."""
    return patches.patch_caught_up(lambda state, *, name: False)


def quorum_too_small() -> contextlib.AbstractContextManager:
    """Half of the voters count as a majority."""
    return patches.patch_majority(lambda names, voters: len(names & voters) * 2 >= len(voters) - 1)


class SmallMessages(Hooks):
    """No fault: AppendEntries carries one entry at a time."""

    def on_start(self, node: Node) -> None:
        patches.send_one_entry_at_a_time(node.replica)


def older_term_counted() -> contextlib.AbstractContextManager:
    """An entry of an older term is committed because a majority has it."""
    return patches.patch_commit_any_term()


def change_before_terms_entry() -> contextlib.AbstractContextManager:
    """A leader changes members before an entry of its term is committed."""
    return patches.patch_change_pending(lambda state: state.members.index > state.commit_index)


def changes_side_by_side() -> contextlib.AbstractContextManager:
    """A leader changes members while a change is under way."""
    return patches.patch_change_pending(lambda state: False)


def snapshot_never_found() -> contextlib.AbstractContextManager:
    """A leader offers a snapshot that it does not give."""
    return patched(World, "snapshot_at", lambda *_, **__: None)
