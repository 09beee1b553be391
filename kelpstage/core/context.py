"""What message handlers and the operators' interface need of a core.

They depend on these protocols; `app.Core` satisfies both and is known to neither.
"""

from __future__ import annotations

from collections import Counter
from typing import Any, Protocol

from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import EdgeContact, SeedState
from kelpstage.core.leases.lease_service import LeaseService
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.store.records import DiskIdentity


class OperatorContext(Protocol):
    """What answers to operators are made of.

    `task` and `lease_service` are there while the replica runs, `identity` as soon as it
    was read from the disk; `waits_for` says what a core that is not up yet waits for.
    """

    ports: Ports
    transport: Transport
    journal: Journal
    counts: Counter[str]
    settings: dict[str, Any]
    own: str
    identity: DiskIdentity | None
    task: ReplicaTask | None
    lease_service: LeaseService | None
    waits_for: str
    is_stopping: bool


class MessageContext(OperatorContext, Protocol):
    """What the handlers of messages between processes need besides."""

    def seed_state(self) -> SeedState:
        """What this core reports of itself to one that looks for a cluster."""

    def meet(self, *, contact: EdgeContact) -> None:
        """Remember the contact of an edge."""

    def some_peers(self) -> list[EdgeContact]:
        """Contacts that help an edge to find the others."""

    def core_addresses(self) -> list[str]:
        """Addresses of all members of the cluster."""
