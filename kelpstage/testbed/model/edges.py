"""The modelled edges: their leases, restarts, departures and replacements."""

from __future__ import annotations

from typing import Any, Protocol

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.calls import Edge, LeaveEdgeCall, RenewCall, StateReply
from kelpstage.testbed.model.checks import Checks
from kelpstage.testbed.model.scope import Scope


class EdgeHost(Protocol):
    """The parts of the modelled system that sessions and edges use."""

    now_us: int
    checks: Checks

    def send(self, *, source: str, to: str, body: Any) -> None:
        """Send a message over the modelled network."""


class ModelEdges:
    """All edges by name; of the initial edges the last ones are observers."""

    def __init__(self, *, world: EdgeHost, scope: Scope) -> None:
        self.world = world
        self.by_name: dict[str, Edge] = {}
        for position in range(scope.edges):
            name, is_observer = f"e{position}", position >= scope.edges - scope.observers
            holder = leases.LeaseHolder(me=name)
            self.by_name[name] = Edge(name=name, lease_holder=holder, is_observer=is_observer)
        doc = core.Machine(cluster=core.CLUSTER, state=self.first_state()).doc()
        for edge in self.by_name.values():
            leases.install(edge.lease_holder, doc=doc, now_us=0)

    def first_state(self) -> core.CoreState:
        """Return the state of a cluster that all edges have joined."""
        observers = [edge.name for edge in self.by_name.values() if edge.is_observer]
        return leases.first_state(edges=list(self.by_name), observers=observers)

    def receive(self, *, name: str, body: Any) -> None:
        """Pass a reply to an edge."""
        edge = self.by_name.get(name)
        if edge is None:
            return  # the edge was replaced
        if isinstance(body, StateReply):
            leases.install(edge.lease_holder, doc=body.doc, now_us=self.world.now_us)
        elif body.incarnation == edge.incarnation:
            leases.take_lease(edge.lease_holder, reply=body.reply, sent_us=body.sent_us)
        self.world.checks.edge_changed(edge=edge)

    def renew(self, *, edge: Edge, to: str) -> None:
        """Send a lease request of an edge to a node."""
        edge.renewed_us = self.world.now_us
        call = RenewCall(
            edge=edge.name,
            incarnation=edge.incarnation,
            epoch=edge.lease_holder.epoch,
            sent_us=self.world.now_us,
            is_observer=edge.is_observer,
        )
        self.world.send(source=edge.name, to=to, body=call)

    def at(self, position: int) -> Edge:
        """Return the edge at a position, modulo the number of edges."""
        names = list(self.by_name)
        return self.by_name[names[position % len(names)]]

    def leave(self, *, edge: Edge, to: str) -> None:
        """Stop an edge's serving and confirming, and report that to a node."""
        leases.leave(edge.lease_holder)
        call = LeaveEdgeCall(edge=edge.name, incarnation=edge.incarnation)
        self.world.send(source=edge.name, to=to, body=call)

    def replace(self, *, edge: Edge) -> None:
        """Replace an edge that disappears without a message by one with a new name."""
        number = int(edge.name.partition(".")[2] or 0) + 1
        name = f"{edge.name.partition('.')[0]}.{number}"
        new_edge = Edge(
            name=name, lease_holder=leases.LeaseHolder(me=name), is_observer=edge.is_observer
        )
        self.by_name = {
            (name if other is edge else other.name): (new_edge if other is edge else other)
            for other in self.by_name.values()
        }

    def restart(self, *, edge: Edge) -> None:
        """Restart an edge, which loses all its state."""
        edge.incarnation += 1
        edge.lease_holder = leases.LeaseHolder(me=edge.name)
