"""The only module of the model checker that depends on the names of the checked lease code."""

from __future__ import annotations

from kelpstage.common.configuration.types import EMPTY_CONFIGURATION
from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.transport.messages import LeaseReply, StateDoc
from kelpstage.core.leases.epoch_settlement import is_epoch_settled
from kelpstage.core.leases.lease_table import LeaseTable
from kelpstage.core.leases.membership_changes import edge_to_remove
from kelpstage.core.state.commands import AddEdge, Command, RemoveEdge
from kelpstage.core.state.replicated_state import CoreState, edge_membership
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.testbed.model.adapter import CLUSTER

LEASE_US = LEASE_SPAN_US

__all__ = ["LEASE_US", "LeaseHolder", "LeaseTable"]


def first_state(*, edges: list[str], observers: list[str]) -> CoreState:
    """Return the state of a cluster that these edges have joined, some of them as observers."""
    return CoreState(
        cluster=CLUSTER, epoch=1, membership=sorted(edges), observers=sorted(observers)
    )


def lease_reply(*, epoch: int) -> LeaseReply:
    """Return a reply that grants a lease for this epoch."""
    return LeaseReply(is_granted=True, cluster=CLUSTER, epoch=epoch, span_us=LEASE_US)


def install(lease_holder: LeaseHolder, *, doc: StateDoc, now_us: int) -> None:
    """Install a cluster state on an edge."""
    lease_holder.install(doc=doc, configuration=EMPTY_CONFIGURATION, now_us=now_us)


def take_lease(lease_holder: LeaseHolder, *, reply: LeaseReply, sent_us: int) -> None:
    """Record on an edge a lease that it requested at `sent_us`."""
    lease_holder.record_lease(reply=reply, sent_us=sent_us)


def has_lease(lease_holder: LeaseHolder, *, now_us: int) -> bool:
    """True if its lease alone allows the edge to serve what it has installed."""
    return lease_holder.has_lease(now_us=now_us)


def lease_table_hears(
    lease_table: LeaseTable, *, edge: str, incarnation: int, epoch: int, now_us: int
) -> None:
    """Record on the leader an edge's heartbeat with the epoch that it has installed."""
    lease_table.record_report(
        edge=edge, incarnation=incarnation, epoch=epoch, contact=None, now_us=now_us
    )


def lease_table_gives(lease_table: LeaseTable, *, edge: str, epoch: int, now_us: int) -> None:
    """Record on the leader a lease that it grants."""
    lease_table.record_lease(edge=edge, epoch=epoch, now_us=now_us)


def lease_table_settled(
    lease_table: LeaseTable, *, state: CoreState, epoch: int, now_us: int
) -> bool:
    """True if the leader knows that no edge can serve an older epoch any more."""
    return is_epoch_settled(lease_table=lease_table, state=state, epoch=epoch, now_us=now_us)


def has_edge_quorum(lease_table: LeaseTable, *, state: CoreState, now_us: int) -> bool:
    """True if enough voting edges are in contact for a new epoch to settle."""
    return lease_table.has_quorum(membership=edge_membership(state=state), now_us=now_us)


def lease_table_leaves(
    lease_table: LeaseTable, *, edge: str, incarnation: int, now_us: int
) -> None:
    """Record on the leader that an edge leaves."""
    lease_table.record_leave(edge=edge, incarnation=incarnation, now_us=now_us)


def removal_bytes(
    lease_table: LeaseTable, *, state: CoreState, tolerance: int, now_us: int
) -> bytes:
    """Return the command that removes an edge after too long an absence; empty if none is due."""
    edge = edge_to_remove(
        membership=edge_membership(state=state),
        lease_table=lease_table,
        min_voters=max(1, 2 * tolerance),
        now_us=now_us,
    )
    return bytes(Command(remove=RemoveEdge(edge=edge, is_joint=True))) if edge else b""


def join_bytes(*, edges: dict[str, bool]) -> bytes:
    """Return the command that adds edges; `edges` maps names to whether each is an observer."""
    names = list(edges)
    observers = [name for name, is_observer in edges.items() if is_observer]
    add = AddEdge(edge=names[0], more=names[1:], observers=observers, is_joint=True)
    return bytes(Command(add=add))


def may_confirm(lease_holder: LeaseHolder, *, now_us: int) -> bool:
    """True if an edge may confirm its epoch to its peers."""
    return lease_holder.may_confirm(now_us=now_us)


def leave(lease_holder: LeaseHolder) -> None:
    """Mark an edge as having left, so that it stops serving and confirming."""
    lease_holder.has_left = True
