"""The node interface that the invariants and the sessions use; it avoids an import of `node`."""

from __future__ import annotations

from typing import Any, Protocol

from kelpstage.core.rollouts.order_ages import OrderAges
from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.disk import Disk


class NodeView(Protocol):
    """The parts of a control-plane machine that the invariants and the sessions read.

    `identity` is the replica's name, which changes when its disk is lost; `starts` counts the
    starts of its process; `applied` is the index of the last applied entry.
    """

    address: str
    identity: str
    starts: int
    applied: int
    disk: Disk
    replica: core.Replica | None
    machine: core.Machine | None
    lease_table: leases.LeaseTable | None
    order_ages: OrderAges

    def step(self, event: Any) -> None:
        """Pass an event to the replica and perform the effects that it returns."""
