"""The edges of the model: what they hold, and what becomes of them."""

from __future__ import annotations

from typing import Any, Protocol

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.calls import Edge, LeaveEdgeCall, RenewCall, StateAnswer
from kelpstage.testbed.model.checks import Checks
from kelpstage.testbed.model.scope import Scope


class EdgeHost(Protocol):
    """What sessions and edges need of the modelled system."""

    now_us: int
    checks: Checks

    def send(self, *, source: str, to: str, body: Any) -> None:
        """Put a message on its way."""


class ModelEdges:
    """All edges, by name; the last ones of the first are observers."""

    def __init__(self, *, world: EdgeHost, scope: Scope) -> None:
        self.world = world
        self.by_name: dict[str, Edge] = {}
        for place in range(scope.edges):
            name, is_observer = f"e{place}", place >= scope.edges - scope.observers
            holder = leases.LeaseHolder(me=name)
            self.by_name[name] = Edge(name=name, lease_holder=holder, is_observer=is_observer)
        doc = core.Machine(cluster=core.CLUSTER, state=self.first_state()).doc()
        for edge in self.by_name.values():
            leases.install(edge.lease_holder, doc=doc, now_us=0)

    def first_state(self) -> core.CoreState:
        """The state of a cluster in which all edges have joined."""
        observers = [edge.name for edge in self.by_name.values() if edge.is_observer]
        return leases.first_state(edges=list(self.by_name), observers=observers)

    def receive(self, *, name: str, body: Any) -> None:
        """An edge takes an answer."""
        edge = self.by_name.get(name)
        if edge is None:
            return  # gone for good
        if isinstance(body, StateAnswer):
            leases.install(edge.lease_holder, doc=body.doc, now_us=self.world.now_us)
        elif body.incarnation == edge.incarnation:
            leases.take_lease(edge.lease_holder, reply=body.reply, sent_us=body.sent_us)
        self.world.checks.edge_changed(edge=edge)

    def renew(self, *, edge: Edge, to: str) -> None:
        """An edge asks a node for a lease."""
        edge.renewed_us = self.world.now_us
        call = RenewCall(
            edge=edge.name,
            incarnation=edge.incarnation,
            epoch=edge.lease_holder.epoch,
            sent_us=self.world.now_us,
            is_observer=edge.is_observer,
        )
        self.world.send(source=edge.name, to=to, body=call)

    def at(self, place: int) -> Edge:
        """An edge by its place, counted round."""
        names = list(self.by_name)
        return self.by_name[names[place % len(names)]]

    def leave(self, *, edge: Edge, to: str) -> None:
        """An edge stops serving and confirming, and says so."""
        leases.leave(edge.lease_holder)
        call = LeaveEdgeCall(edge=edge.name, incarnation=edge.incarnation)
        self.world.send(source=edge.name, to=to, body=call)

    def replace(self, *, edge: Edge) -> None:
        """An edge is gone for good without a word; one of another name comes in its place."""
        number = int(edge.name.partition(".")[2] or 0) + 1
        name = f"{edge.name.partition('.')[0]}.{number}"
        fresh = Edge(
            name=name, lease_holder=leases.LeaseHolder(me=name), is_observer=edge.is_observer
        )
        self.by_name = {
            (name if other is edge else other.name): (fresh if other is edge else other)
            for other in self.by_name.values()
        }

    def restart(self, *, edge: Edge) -> None:
        """An edge starts anew and has forgotten everything."""
        edge.incarnation += 1
        edge.lease_holder = leases.LeaseHolder(me=edge.name)
