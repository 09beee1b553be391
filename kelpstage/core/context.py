"""Protocols: what message handlers and the operators' interface need from a core.

`app.Core` implements both; its users depend on the protocols only.
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
from kelpstage.core.rollouts.service import RolloutService
from kelpstage.core.store.records import DiskIdentity


class OperatorContext(Protocol):
    """What the operators' interface needs from a core.

    `task` and both services are set while a replica runs, `identity` once it has been read
    from the disk. `waits_for` states what a core without a running replica waits for.
    """

    ports: Ports
    transport: Transport
    journal: Journal
    counts: Counter[str]
    operator_calls: Counter[str]  # by method, resource and the status of the reply
    settings: dict[str, Any]
    own_address: str
    identity: DiskIdentity | None
    task: ReplicaTask | None
    lease_service: LeaseService | None
    rollout_service: RolloutService | None
    waits_for: str
    is_stopping: bool


class MessageContext(OperatorContext, Protocol):
    """What the handlers of messages between processes need in addition."""

    def seed_state(self) -> SeedState:
        """The state that this core reports to a core that is bootstrapping."""

    def add_edge_contact(self, *, contact: EdgeContact) -> None:
        """Record the contact of an edge."""

    def sample_edge_contacts(self) -> list[EdgeContact]:
        """Contacts through which an edge can find the others."""

    def core_addresses(self) -> list[str]:
        """Addresses of all members of the cluster."""
