"""The rollouts of one replica: its orders, the edges' reports and the controller."""

from __future__ import annotations

from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.settings.bounds import Bounds
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import Renew, RolloutState
from kelpstage.core.leases.lease_service import LeaseService
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.rollouts.controller import RolloutController
from kelpstage.core.rollouts.listed_versions import ListedVersionsQuery
from kelpstage.core.rollouts.order_ages import OrderAges
from kelpstage.core.rollouts.orders import RolloutOrders
from kelpstage.core.rollouts.reports import RolloutEvidence


class RolloutService:
    """Takes orders and carries them out while this core leads.

    The reports of edges arrive with the renewals of their leases.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        journal: Journal,
        task: ReplicaTask,
        lease_service: LeaseService,
        bounds: Bounds,
    ) -> None:
        self._ports = ports
        self._task = task
        self._ages = OrderAges()
        self._observe()
        self.orders = RolloutOrders(
            ports=ports,
            journal=journal,
            task=task,
            settlement=lease_service.settlement,
            readiness=lease_service.readiness,
            listed_versions=ListedVersionsQuery(
                ports=ports, transport=transport, settlement=lease_service.settlement
            ),
            ages=self._ages,
            repeat_within_us=bounds.ack_within_us,
        )
        self._controller = RolloutController(
            ports=ports,
            journal=journal,
            task=task,
            epoch_changes=lease_service.epoch_changes,
            ages=self._ages,
            bounds=bounds,
        )
        lease_service.on_report = self._on_report

    def begin_leadership(self) -> None:
        """Carry out rollouts until this leadership ends."""
        self._observe()
        self._controller.begin_leadership()

    def on_applied(self) -> None:
        """Carry out a rollout that a command has begun; called after each applied command."""
        self._observe()
        self._controller.start_if_needed()

    def evidence(self, *, rollout: RolloutState) -> RolloutEvidence:
        """What the edges have reported about a rollout to this leader."""
        return self._controller.evidence(rollout=rollout)

    def _observe(self) -> None:
        self._ages.observe(
            rollouts=self._task.machine.state.rollouts, now_us=self._ports.clock.now_us()
        )

    def _on_report(self, request: Renew) -> None:
        self._controller.reports.record(
            edge=request.edge,
            incarnation=request.incarnation,
            epoch=request.epoch,
            reports=request.rollouts,
            now_us=self._ports.clock.now_us(),
        )
