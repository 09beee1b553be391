"""The leader's lease service: leases for edges, and changes of their membership.

Epochs change one at a time: a write or a change of the membership is proposed only
when no edge can serve the epoch before the last any more.
"""

from __future__ import annotations

from functools import partial
from typing import Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import EdgeAliveError, NoLeaderError, UnknownEdgeError
from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import LeaseReply, Renew
from kelpstage.core.events import MembershipChanged
from kelpstage.core.leases.announcements import RELAYED_FROM_EDGES, EpochAnnouncer
from kelpstage.core.leases.configuration_writes import ConfigurationWrites
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.leases.leader_confirmation import CONFIRM_US, LeaderConfirmation
from kelpstage.core.leases.lease_table import LEASE_SPAN_US, LeaseTable
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.commands import AddEdge, Command, RemoveEdge
from kelpstage.core.state.outcomes import MembershipSet

CONTACTS_IN_REPLY = 32
CONTACTS_IN_LARGE_REPLY = 8  # edges learn the rest from each other's tables
MEMBERSHIP_WAIT_US = 5_000_000


class LeaseService:
    """Leases, writes and the membership, as the leader serves them."""

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        journal: Journal,
        task: ReplicaTask,
        own: str,
        tolerance: int = 0,
    ) -> None:
        """`own` is the address of this core; `tolerance` the losses of cores to survive."""
        self._ports = ports
        self._journal = journal
        self._task = task
        self._own = own
        self._joining: dict[str, None] = {}  # edges in the order of their requests
        self._is_adding = False
        self._settlement = EpochSettlement(ports=ports, journal=journal, task=task)
        self._confirmation = LeaderConfirmation(ports=ports, task=task)
        self._announcer = EpochAnnouncer(
            ports=ports, transport=transport, task=task, settlement=self._settlement, own=own
        )
        self.puts = ConfigurationWrites(
            ports=ports,
            journal=journal,
            task=task,
            settlement=self._settlement,
            tolerance=tolerance,
        )

    @property
    def lease_table(self) -> LeaseTable:
        """The lease table of this leadership."""
        return self._settlement.lease_table

    def is_settled(self, *, epoch: int) -> bool:
        """Can no edge serve an epoch older than this one?"""
        return self._settlement.is_settled(epoch=epoch)

    def took_lead(self) -> None:
        """Begin a leadership: no lease of it is known yet."""
        self._settlement.begin_leadership()

    def applied(self) -> None:
        """Announce the newest epoch; called after each applied command."""
        self._announcer.announce_newest()

    async def renew(self, *, request: Renew) -> LeaseReply:
        """Give an edge a lease, if this leader is confirmed after the request was received."""
        cluster = self._task.cluster
        if request.cluster and request.cluster != cluster:
            return LeaseReply(cluster=cluster, why="another cluster")
        lease_table = self.lease_table
        now_us = self._ports.clock.now_us()
        if request.is_leaving:
            lease_table.give_back(edge=request.edge, incarnation=request.incarnation)
            self._settlement.notify_edge_report()
            return LeaseReply(cluster=cluster, why="leaving")
        if request.cluster:
            if not _note_report(lease_table, request=request, epoch=request.epoch, now_us=now_us):
                return self._superseded(lease_table=lease_table, edge=request.edge)
            self._settlement.notify_edge_report()
        error = await self._confirm()
        if error is not None or lease_table is not self.lease_table:
            return LeaseReply(cluster=cluster, why=error.why if error else "lead changed")
        if not request.cluster and not _note_report(
            lease_table, request=request, epoch=0, now_us=now_us
        ):
            return self._superseded(lease_table=lease_table, edge=request.edge)
        return self._grant(request=request, lease_table=lease_table, now_us=now_us)

    def _grant(self, *, request: Renew, lease_table: LeaseTable, now_us: int) -> LeaseReply:
        """The reply to an edge on the membership, with a lease; any other one joins first."""
        state = self._task.machine.state
        is_on_membership = request.edge in state.membership
        members = self._task.raft.members.current
        lease_table.note_cores(cores=[member.address for member in members])
        is_small = lease_table.count() <= RELAYED_FROM_EDGES
        peers, cores = lease_table.news_for(
            known=request.known,
            now_us=now_us,
            limit=CONTACTS_IN_REPLY if is_small else CONTACTS_IN_LARGE_REPLY,
        )
        reply = LeaseReply(
            is_granted=is_on_membership,
            cluster=self._task.cluster,
            epoch=state.epoch,
            version=state.version,
            span_us=LEASE_SPAN_US,
            leader_address=self._own,
            cores=cores,
            is_on_membership=is_on_membership,
            peers=peers,
            known=lease_table.mark(),
        )
        if not is_on_membership:
            reply.why = "joining the membership"
            self._begin_join(edge=request.edge)
            return reply
        self._ports.failpoint("core.before_lease")
        lease_table.record_lease(
            edge=request.edge, epoch=state.epoch, now_us=self._ports.clock.now_us()
        )
        return reply

    def _confirm(self) -> Awaitable[NoLeaderError | None]:
        return self._confirmation.confirm()

    def _superseded(self, *, lease_table: LeaseTable, edge: str) -> LeaseReply:
        """No lease for an incarnation below one that has reported.

        It may be the newer process all the same, on a clock that was stepped back: it
        takes a number above.
        """
        holder = lease_table.holder(edge=edge)
        return LeaseReply(
            cluster=self._task.cluster,
            why="superseded by a newer incarnation",
            leader_address=self._own,
            newest_incarnation=holder.incarnation if holder else 0,
        )

    def _begin_join(self, *, edge: str) -> None:
        self._joining[edge] = None
        if not self._is_adding:
            self._is_adding = True
            self._ports.spawn(self._add_joining())

    async def _add_joining(self) -> None:
        """Edges that ask while a change is being settled join together with the next one."""
        try:
            while self._joining:
                if await self._set_membership(make=self._command_for_joining) is not None:
                    self._joining.clear()  # they ask again
        finally:
            self._is_adding = False

    def _command_for_joining(self) -> Command:
        edges, self._joining = list(self._joining), {}
        return Command(add=AddEdge(edge=edges[0], more=edges[1:]))

    async def _set_membership(self, *, make: Callable[[], Command]) -> KelpstageError | None:
        async with self._settlement.change:
            # While this waited for the lock, another core may have led.
            error = await self._task.confirm(wait_us=CONFIRM_US)
            if error is not None:
                return error
            if not await self._settlement.wait_settled(
                epoch=self._task.machine.state.epoch, wait_us=MEMBERSHIP_WAIT_US
            ):
                return NoLeaderError(why="the epoch before is not settled")
            outcome: MembershipSet | KelpstageError = await self._task.propose(
                data=bytes(make()), put_id="", wait_us=MEMBERSHIP_WAIT_US
            )
            if not isinstance(outcome, MembershipSet):
                return outcome
            self._journal.add(
                MembershipChanged(membership=list(self._task.machine.state.membership))
            )
            await self._settlement.wait_settled(epoch=outcome.epoch, wait_us=MEMBERSHIP_WAIT_US)
            return None

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
                error = await self._set_membership(make=partial(_remove_command, edge=edge))
                if error is not None:
                    return error
        finally:
            self._settlement.gone = frozenset()
        return MembershipSet(epoch=self._task.machine.state.epoch)

    def _check_removable(self, *, edge: str) -> KelpstageError | None:
        if edge not in self._task.machine.state.membership:
            return UnknownEdgeError(edge=edge)
        now_us = self._ports.clock.now_us()
        holder = self.lease_table.holder(edge=edge)
        heard_us = self.lease_table.since_us if holder is None else holder.heard_us
        if now_us - heard_us < 2 * LEASE_SPAN_US:
            return EdgeAliveError(edge=edge, heard_us_ago=now_us - heard_us)
        return None


def _remove_command(*, edge: str) -> Command:
    return Command(remove=RemoveEdge(edge=edge))


def _note_report(lease_table: LeaseTable, *, request: Renew, epoch: int, now_us: int) -> bool:
    """Record what an edge reports; false if a newer incarnation of it has reported."""
    return lease_table.heard(
        edge=request.edge,
        incarnation=request.incarnation,
        epoch=epoch,
        contact=request.contact,
        now_us=now_us,
        relayed_by=request.relayed_by,
    )
