"""Changes of the membership of edges on the leader: who joins, and who is removed.

Edges join when they ask for a lease. An edge that left in order, or that has been silent for
long, is removed, so that majorities are counted over edges that exist. Each change is an
epoch of its own, proposed when the one before is settled. Which absence counts, and why what
comes back is safe: docs/notes/edge-membership.md.
"""

from __future__ import annotations

from functools import partial
from typing import Callable

from kelpstage.common.edge_membership import EdgeMembership
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import EdgeAliveError, NoLeaderError, UnknownEdgeError
from kelpstage.common.event_journal import Journal
from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.ports.interfaces import Ports
from kelpstage.core.events import MembershipChanged
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.leases.leader_confirmation import CONFIRM_US
from kelpstage.core.leases.lease_table import LeaseTable
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.commands import AddEdge, Command, RemoveEdge
from kelpstage.core.state.outcomes import MembershipSet
from kelpstage.core.state.replicated_state import edge_membership

MEMBERSHIP_WAIT_US = 5_000_000
REMOVAL_LOOK_US = 500_000
ABSENT_VOTER_US = 4_000_000  # the next counted machine may go soon after this one is replaced
ABSENT_OBSERVER_US = 30_000_000  # longer than a restart: its name holds up nothing meanwhile


def edge_to_remove(
    *, membership: EdgeMembership, lease_table: LeaseTable, least_voters: int, now_us: int
) -> str | None:
    """The edge that has been absent for too long; None if no such edge may be removed.

    Voting members come first. At least `least_voters` of them are kept: with fewer, the ones
    whose disks are lost for good could be more than half of them while the others restart.

    >>> lease_table = LeaseTable(since_us=0)
    >>> membership = EdgeMembership(names=("a", "b"))
    >>> [edge_to_remove(membership=membership, lease_table=lease_table, least_voters=1,
    ...     now_us=now_us) for now_us in (3_900_000, 4_000_000)]
    [None, 'a']
    """
    voters = [edge for edge in membership.names if not membership.is_observer(edge)]
    observers = [edge for edge in membership.names if membership.is_observer(edge)]
    if len(voters) > least_voters:
        for edge in voters:
            is_absent = lease_table.absent_us(edge=edge, now_us=now_us) >= ABSENT_VOTER_US
            if is_absent or lease_table.has_left(edge=edge):
                return edge
    for edge in observers:
        if lease_table.absent_us(edge=edge, now_us=now_us) >= ABSENT_OBSERVER_US:
            return edge
    return None


class MembershipChanges:
    """Proposes the changes of the membership, one at a time."""

    def __init__(
        self,
        *,
        ports: Ports,
        journal: Journal,
        task: ReplicaTask,
        settlement: EpochSettlement,
        tolerance: int,
    ) -> None:
        """`tolerance` is how many counted machines may be lost at one time."""
        self._ports = ports
        self._journal = journal
        self._task = task
        self._settlement = settlement
        self._least_voters = max(1, 2 * tolerance)
        self._joining: dict[str, bool] = {}  # is it an observer? In the order of their requests
        self._is_adding = False

    # --- joining ----------------------------------------------------------------------

    def begin_join(self, *, edge: str, is_observer: bool) -> None:
        """Add an edge to the membership, or have it vote or not, with the next change."""
        self._joining[edge] = is_observer
        if not self._is_adding:
            self._is_adding = True
            self._ports.spawn(self._add_joining())

    async def _add_joining(self) -> None:
        """Edges that ask while a change is being settled join together with the next one."""
        try:
            while self._joining:
                if await self._change(make=self._command_for_joining) is not None:
                    self._joining.clear()  # they ask again
        finally:
            self._is_adding = False

    def _command_for_joining(self) -> Command:
        joining, self._joining = self._joining, {}
        edges = list(joining)
        observers = [edge for edge, is_observer in joining.items() if is_observer]
        add = AddEdge(edge=edges[0], more=edges[1:], observers=observers, is_joint=True)
        return Command(add=add)

    # --- removal of those that are absent ---------------------------------------------

    async def remove_absent(self) -> None:
        """Remove edges that left or are silent, until this leadership is over."""
        lease_table = self._settlement.lease_table
        while lease_table is self._settlement.lease_table and self._task.is_leader:
            await self._ports.clock.sleep(us=REMOVAL_LOOK_US)
            if self._is_calm() and self._absent_edge() is not None:
                await self._change(make=self._command_for_removal)

    def _is_calm(self) -> bool:
        """Would a removal settle at once? Otherwise it would only hold up other changes."""
        epoch = self._task.machine.state.epoch
        return self._settlement.has_quorum() and self._settlement.is_settled(epoch=epoch)

    def _absent_edge(self) -> str | None:
        return edge_to_remove(
            membership=edge_membership(state=self._task.machine.state),
            lease_table=self._settlement.lease_table,
            least_voters=self._least_voters,
            now_us=self._ports.clock.now_us(),
        )

    def _command_for_removal(self) -> Command | None:
        edge = self._absent_edge()  # once more: it may be back
        return None if edge is None else _remove_command(edge=edge)

    # --- removal by an operator -------------------------------------------------------

    async def remove_edges(self, *, edges: list[str]) -> MembershipSet | KelpstageError:
        """Remove edges that are gone for good from the membership, one after the other.

        Named together, they may be most of the membership: none of them counts for an
        older epoch any more, so the others can settle what they could not before.
        """
        error: KelpstageError | None = await self._task.confirm(wait_us=CONFIRM_US)
        if error is not None:
            return error
        for edge in edges:
            error = self._check_removable(edge=edge)
            if error is not None:
                return error
        self._settlement.gone = frozenset(edges)
        try:
            for edge in edges:
                error = await self._change(make=partial(_remove_command, edge=edge))
                if error is not None:
                    return error
        finally:
            self._settlement.gone = frozenset()
        return MembershipSet(epoch=self._task.machine.state.epoch)

    def _check_removable(self, *, edge: str) -> KelpstageError | None:
        if edge not in self._task.machine.state.membership:
            return UnknownEdgeError(edge=edge)
        lease_table = self._settlement.lease_table
        absent_us = lease_table.absent_us(edge=edge, now_us=self._ports.clock.now_us())
        if absent_us < 2 * LEASE_SPAN_US and not lease_table.has_left(edge=edge):
            return EdgeAliveError(edge=edge, heard_us_ago=absent_us)
        return None

    # --- one change -------------------------------------------------------------------

    async def _change(self, *, make: Callable[[], Command | None]) -> KelpstageError | None:
        async with self._settlement.change:
            # While this waited for the lock, another core may have led.
            error = await self._task.confirm(wait_us=CONFIRM_US)
            if error is not None:
                return error
            if not await self._settlement.wait_settled(
                epoch=self._task.machine.state.epoch, wait_us=MEMBERSHIP_WAIT_US
            ):
                return NoLeaderError(why="the epoch before is not settled")
            command = make()
            if command is None:
                return None
            outcome: MembershipSet | KelpstageError = await self._task.propose(
                data=bytes(command), put_id="", wait_us=MEMBERSHIP_WAIT_US
            )
            if not isinstance(outcome, MembershipSet):
                return outcome
            self._journal.add(
                MembershipChanged(membership=list(self._task.machine.state.membership))
            )
            await self._settlement.wait_settled(epoch=outcome.epoch, wait_us=MEMBERSHIP_WAIT_US)
            return None


def _remove_command(*, edge: str) -> Command:
    return Command(remove=RemoveEdge(edge=edge, is_joint=True))
