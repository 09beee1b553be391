"""The leader's lease service: grants leases to edges and records what their renewals report.

Epochs change one at a time: a write or a membership change is proposed only when the current
epoch is settled, so that no edge can serve an older one any more.
"""

from __future__ import annotations

from typing import Awaitable, Callable

from kelpstage.common.errors.control import NoLeaderError
from kelpstage.common.event_journal import Journal
from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import LeaseReply, Renew
from kelpstage.core.leases.announcements import LARGE_MEMBERSHIP_EDGES, EpochAnnouncer
from kelpstage.core.leases.configuration_writes import ConfigurationWrites
from kelpstage.core.leases.epoch_changes import EpochChanges
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.leases.leader_confirmation import LeaderConfirmation
from kelpstage.core.leases.lease_table import LeaseTable
from kelpstage.core.leases.membership_changes import MembershipChanges
from kelpstage.core.leases.write_readiness import WriteReadiness
from kelpstage.core.replica_task import ReplicaTask

CONTACTS_IN_REPLY = 32
CONTACTS_IN_LARGE_REPLY = 8  # on large memberships; gossip distributes the others


class LeaseService:
    """Handles lease renewals, configuration writes and membership changes on the leader."""

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        journal: Journal,
        task: ReplicaTask,
        own_address: str,
        tolerance: int = 0,
    ) -> None:
        """`own_address` is the address of this core; `tolerance` the number of core losses to
        survive."""
        self._ports = ports
        self._journal = journal
        self._task = task
        self._own_address = own_address
        self.settlement = EpochSettlement(ports=ports, journal=journal, task=task)
        self._confirmation = LeaderConfirmation(ports=ports, task=task)
        self._announcer = EpochAnnouncer(
            ports=ports,
            transport=transport,
            task=task,
            settlement=self.settlement,
            own_address=own_address,
        )
        self.on_report: Callable[[Renew], None] = lambda request: None  # of each valid renewal
        self.readiness = WriteReadiness(
            ports=ports, task=task, settlement=self.settlement, tolerance=tolerance
        )
        self.epoch_changes = EpochChanges(task=task, settlement=self.settlement)
        self.membership_changes = MembershipChanges(
            ports=ports,
            journal=journal,
            task=task,
            settlement=self.settlement,
            epoch_changes=self.epoch_changes,
            tolerance=tolerance,
        )
        self.configuration_writes = ConfigurationWrites(
            ports=ports,
            journal=journal,
            task=task,
            settlement=self.settlement,
            readiness=self.readiness,
        )

    @property
    def lease_table(self) -> LeaseTable:
        """The lease table of this leadership."""
        return self.settlement.lease_table

    def is_settled(self, *, epoch: int) -> bool:
        """True if no edge can serve an epoch older than this one."""
        return self.settlement.is_settled(epoch=epoch)

    def begin_leadership(self) -> None:
        """Start a leadership with an empty lease table, and remove absent edges while it lasts."""
        self.settlement.begin_leadership()
        self._ports.spawn(self.membership_changes.remove_absent())

    def announce_latest_epoch(self) -> None:
        """Announce the newest epoch; called after each applied command."""
        self._announcer.announce_latest_epoch()

    async def renew(self, *, request: Renew) -> LeaseReply:
        """Grant a lease if a majority confirms this leader after the request was received."""
        cluster = self._task.cluster
        if request.cluster and request.cluster != cluster:
            return LeaseReply(cluster=cluster, why="another cluster")
        lease_table = self.lease_table
        now_us = self._ports.clock.now_us()
        if request.is_leaving:
            lease_table.record_leave(
                edge=request.edge, incarnation=request.incarnation, now_us=now_us
            )
            self.settlement.notify_edge_report()
            return LeaseReply(cluster=cluster, why="leaving")
        if request.cluster:
            if not _record_report(lease_table, request=request, epoch=request.epoch, now_us=now_us):
                return self._superseded_reply(lease_table=lease_table, edge=request.edge)
            self.on_report(request)
            self.settlement.notify_edge_report()
        error = await self._confirm()
        if error is not None or lease_table is not self.lease_table:
            return LeaseReply(cluster=cluster, why=error.why if error else "the leader changed")
        if not request.cluster and not _record_report(
            lease_table, request=request, epoch=0, now_us=now_us
        ):
            return self._superseded_reply(lease_table=lease_table, edge=request.edge)
        return self._grant(request=request, lease_table=lease_table, now_us=now_us)

    def _grant(self, *, request: Renew, lease_table: LeaseTable, now_us: int) -> LeaseReply:
        """The reply to a renewal: with a lease for a member; any other edge has to join first."""
        state = self._task.machine.state
        is_on_membership = request.edge in state.membership
        members = self._task.raft.members.current
        lease_table.contacts.set_cores(cores=[member.address for member in members])
        is_small = lease_table.count() <= LARGE_MEMBERSHIP_EDGES
        peers, cores = lease_table.contacts.changes_since(
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
            leader_address=self._own_address,
            cores=cores,
            is_on_membership=is_on_membership,
            peers=peers,
            known=lease_table.contacts.mark(),
        )
        if not is_on_membership or request.is_observer != (request.edge in state.observers):
            self.membership_changes.begin_join(edge=request.edge, is_observer=request.is_observer)
        if not is_on_membership:
            reply.why = "joining the membership"
            return reply
        self._ports.failpoint("core.before_lease")
        lease_table.record_lease(
            edge=request.edge, epoch=state.epoch, now_us=self._ports.clock.now_us()
        )
        return reply

    def _confirm(self) -> Awaitable[NoLeaderError | None]:
        return self._confirmation.confirm()

    def _superseded_reply(self, *, lease_table: LeaseTable, edge: str) -> LeaseReply:
        """The rejection of an incarnation that is lower than one that has reported.

        The sender may still be the newer process, if its clock was stepped back, so the reply
        holds the newest incarnation and the sender continues above it.
        """
        holder = lease_table.holder(edge=edge)
        return LeaseReply(
            cluster=self._task.cluster,
            why="superseded by a newer incarnation",
            leader_address=self._own_address,
            newest_incarnation=holder.incarnation if holder else 0,
        )


def _record_report(lease_table: LeaseTable, *, request: Renew, epoch: int, now_us: int) -> bool:
    """Record what an edge reports; False if a newer incarnation of it has reported."""
    return lease_table.record_report(
        edge=request.edge,
        incarnation=request.incarnation,
        epoch=epoch,
        contact=request.contact,
        now_us=now_us,
        relayed_by=request.relayed_by,
    )
