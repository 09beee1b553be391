"""What the invariants and the sessions see of a node, without its module."""

from __future__ import annotations

from typing import Any, Protocol

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases
from kelpstage.testbed.model.disk import Disk


class NodeView(Protocol):
    """A machine of the control side, as its observers see it.

    `identity` is the replica's name, a new one after its disk was lost; `starts` counts the
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

    def take(self, event: Any) -> None:
        """Step the replica by an event and perform the effects."""
