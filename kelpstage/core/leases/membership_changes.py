"""Changes of the edge membership on the leader: joins and removals.

Edges join when they request a lease. An edge that has shut down cleanly, or that has not
reported for long, is removed, so that majorities are counted over edges that exist. Each
change is an epoch of its own, proposed when the previous one is settled. For which absences
count, and why an edge that returns is safe, see docs/notes/edge-membership.md.
"""

from __future__ import annotations

from functools import partial
from typing import Callable

from kelpstage.common.edge_membership import EdgeMembership
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import EdgeAliveError, UnknownEdgeError
from kelpstage.common.event_journal import Journal
from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.ports.interfaces import Ports
from kelpstage.core.events import MembershipChanged
from kelpstage.core.leases.epoch_changes import EpochChanges
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.leases.leader_confirmation import CONFIRM_TIMEOUT_US
from kelpstage.core.leases.lease_table import LeaseTable
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.commands import AddEdge, Command, RemoveEdge
from kelpstage.core.state.outcomes import MembershipSet
from kelpstage.core.state.replicated_state import edge_membership

REMOVAL_CHECK_INTERVAL_US = 500_000
# Short, since the next voting machine may fail soon after this one is replaced.
VOTER_REMOVAL_TIMEOUT_US = 4_000_000
# Longer than a restart; an absent observer delays nothing meanwhile.
OBSERVER_REMOVAL_TIMEOUT_US = 30_000_000


def edge_to_remove(
    *, membership: EdgeMembership, lease_table: LeaseTable, min_voters: int, now_us: int
) -> str | None:
    """The next edge to remove because of its absence; None if none may be removed.

    Voting members come first. At least `min_voters` of them are kept: with fewer, those that
    lost their disks could be more than half of the voting members while the others restart.

    >>> lease_table = LeaseTable(since_us=0)
    >>> membership = EdgeMembership(names=("a", "b"))
    >>> [edge_to_remove(membership=membership, lease_table=lease_table, min_voters=1,
    ...     now_us=now_us) for now_us in (3_900_000, 4_000_000)]
    [None, 'a']
    """
    voters = [edge for edge in membership.names if not membership.is_observer(edge)]
    observers = [edge for edge in membership.names if membership.is_observer(edge)]
    if len(voters) > min_voters:
        for edge in voters:
            is_absent = lease_table.absent_us(edge=edge, now_us=now_us) >= VOTER_REMOVAL_TIMEOUT_US
            if is_absent or lease_table.has_left(edge=edge):
                return edge
    for edge in observers:
        if lease_table.absent_us(edge=edge, now_us=now_us) >= OBSERVER_REMOVAL_TIMEOUT_US:
            return edge
    return None


class MembershipChanges:
    """Proposes membership changes, one at a time."""

    def __init__(
        self,
        *,
        ports: Ports,
        journal: Journal,
        task: ReplicaTask,
        settlement: EpochSettlement,
        epoch_changes: EpochChanges,
        tolerance: int,
    ) -> None:
        """`tolerance` is the number of voting machines that may be lost at one time."""
        self._ports = ports
        self._journal = journal
        self._task = task
        self._settlement = settlement
        self._epoch_changes = epoch_changes
        self._min_voters = max(1, 2 * tolerance)
        self._joining: dict[str, bool] = {}  # edge: is_observer, in request order
        self._is_adding = False

    # --- joining ----------------------------------------------------------------------

    def begin_join(self, *, edge: str, is_observer: bool) -> None:
        """Add an edge, or change whether it is an observer, with the next membership change."""
        self._joining[edge] = is_observer
        if not self._is_adding:
            self._is_adding = True
            self._ports.spawn(self._add_joining())

    async def _add_joining(self) -> None:
        """Add joining edges; requests during a change are batched into the next one."""
        try:
            while self._joining:
                if await self._change(make_command=self._join_command) is not None:
                    self._joining.clear()  # the edges request it again when they renew
        finally:
            self._is_adding = False

    def _join_command(self) -> Command:
        joining, self._joining = self._joining, {}
        edges = list(joining)
        observers = [edge for edge, is_observer in joining.items() if is_observer]
        add = AddEdge(edge=edges[0], more=edges[1:], observers=observers, is_joint=True)
        return Command(add=add)

    # --- removal of absent edges ------------------------------------------------------

    async def remove_absent(self) -> None:
        """Remove edges that have left or do not report, until this leadership ends."""
        lease_table = self._settlement.lease_table
        while lease_table is self._settlement.lease_table and self._task.is_leader:
            await self._ports.clock.sleep(us=REMOVAL_CHECK_INTERVAL_US)
            if self._can_settle_removal() and self._absent_edge() is not None:
                await self._change(make_command=self._removal_command)

    def _can_settle_removal(self) -> bool:
        """True if a removal would settle at once; otherwise it would only delay other changes."""
        epoch = self._task.machine.state.epoch
        return self._settlement.has_quorum() and self._settlement.is_settled(epoch=epoch)

    def _absent_edge(self) -> str | None:
        return edge_to_remove(
            membership=edge_membership(state=self._task.machine.state),
            lease_table=self._settlement.lease_table,
            min_voters=self._min_voters,
            now_us=self._ports.clock.now_us(),
        )

    def _removal_command(self) -> Command | None:
        edge = self._absent_edge()  # checked again, since the edge may have returned
        return None if edge is None else _remove_command(edge=edge)

    # --- removal by an operator -------------------------------------------------------

    async def remove_edges(self, *, edges: list[str]) -> MembershipSet | KelpstageError:
        """Remove permanently lost edges from the membership, one after the other.

        Together they may be most of the membership. None of them counts as able to serve an
        older epoch any more, so the other edges can settle epochs that could not settle before.
        """
        error: KelpstageError | None = await self._task.confirm(wait_us=CONFIRM_TIMEOUT_US)
        if error is not None:
            return error
        for edge in edges:
            error = self._check_removable(edge=edge)
            if error is not None:
                return error
        self._settlement.lost_edges = frozenset(edges)
        try:
            for edge in edges:
                error = await self._change(make_command=partial(_remove_command, edge=edge))
                if error is not None:
                    return error
        finally:
            self._settlement.lost_edges = frozenset()
        return MembershipSet(epoch=self._task.machine.state.epoch)

    def _check_removable(self, *, edge: str) -> KelpstageError | None:
        if edge not in self._task.machine.state.membership:
            return UnknownEdgeError(edge=edge)
        lease_table = self._settlement.lease_table
        absent_us = lease_table.absent_us(edge=edge, now_us=self._ports.clock.now_us())
        if absent_us < 2 * LEASE_SPAN_US and not lease_table.has_left(edge=edge):
            return EdgeAliveError(edge=edge, heard_us_ago=absent_us)
        return None

    async def _change(self, *, make_command: Callable[[], Command | None]) -> KelpstageError | None:
        return await self._epoch_changes.change(
            make_command=make_command, on_changed=self._on_changed
        )

    def _on_changed(self) -> None:
        self._journal.add(MembershipChanged(membership=list(self._task.machine.state.membership)))


def _remove_command(*, edge: str) -> Command:
    return Command(remove=RemoveEdge(edge=edge, is_joint=True))
