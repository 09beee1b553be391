"""The place of the model checker that knows the names of leases and edges under check."""

from __future__ import annotations

from kelpstage.common.configuration.types import EMPTY
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
    lease_holder.record_lease(reply=reply, sent_us=sent_us)


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
    lease_table.record_leave(edge=edge, incarnation=incarnation, now_us=now_us)


def removal_bytes(
    lease_table: LeaseTable, *, state: CoreState, tolerance: int, now_us: int
) -> bytes:
    """The command that removes the edge that has been absent for too long; empty if none has."""
    edge = edge_to_remove(
        membership=edge_membership(state=state),
        lease_table=lease_table,
        min_voters=max(1, 2 * tolerance),
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
