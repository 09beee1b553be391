"""The lease task: keeps an edge's right to serve and its configuration up to date.

Its parts have a module each: renewal, renewal relayed by peers, peer discovery, epoch
confirmation, and the fetching and installing of states.
"""

from __future__ import annotations

from typing import Callable

from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import (
    Announce,
    Chunk,
    EdgeContact,
    FetchState,
    RolloutReport,
)
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.core_directory import CoreDirectory
from kelpstage.edge.lease.epoch_confirmation import EpochConfirmation
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.peer_discovery import PeerDiscovery
from kelpstage.edge.lease.relay import RelayedRenewal
from kelpstage.edge.lease.renewal import LeaseRenewal
from kelpstage.edge.lease.state_sync import StateSync


class LeaseTask:
    """Builds the parts, starts their loops, and is their interface to the rest of the edge."""

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        lease_holder: LeaseHolder,
        swim: Swim,
        journal: Journal,
        seeds: list[str],
        contact: EdgeContact,
        on_installed: Callable[[], None],
        is_observer: bool = False,
        rollout_reports: Callable[[], list[RolloutReport]] = list,
    ) -> None:
        """`on_installed` is called after each installed state; `is_observer` is true if any
        number of machines like this one may disappear; `rollout_reports` returns what the leader is
        to know of rollouts."""
        self._on_edge_installed = on_installed
        self._directory = CoreDirectory(seeds=seeds)
        self._states = StateSync(
            ports=ports,
            transport=transport,
            lease_holder=lease_holder,
            swim=swim,
            cores=self._directory,
            journal=journal,
            on_installed=self._on_installed,
        )
        discovery = PeerDiscovery(
            ports=ports,
            transport=transport,
            lease_holder=lease_holder,
            swim=swim,
            cores=self._directory,
            contact=contact,
        )
        self.renewal = LeaseRenewal(
            ports=ports,
            transport=transport,
            lease_holder=lease_holder,
            swim=swim,
            cores=self._directory,
            contact=contact,
            on_contacts=discovery.register_peers,
            on_newer_epoch=self._states.start_fetch,
            is_observer=is_observer,
            rollout_reports=rollout_reports,
        )
        self.relay = self.renewal.relay = RelayedRenewal(
            ports=ports,
            transport=transport,
            lease_holder=lease_holder,
            swim=swim,
            cores=self._directory,
            renewal=self.renewal,
        )
        confirmation = EpochConfirmation(
            ports=ports,
            transport=transport,
            lease_holder=lease_holder,
            swim=swim,
            on_newer_epoch=self._states.start_fetch,
        )
        for loop in (
            self.renewal.run(),
            discovery.run_registration(),
            discovery.run_member_table(),
            confirmation.run(),
        ):
            ports.spawn_critical(loop)

    @property
    def leader(self) -> str:
        """The address of the leading core, or empty."""
        return self._directory.leader

    @property
    def cores(self) -> list[str]:
        """The addresses of the known cores."""
        return self._directory.cores

    @property
    def last_refusal(self) -> str:
        """The reason why the last renewal got no lease; empty after a granted one."""
        return self.renewal.last_refusal

    def replace_seeds(self, *, seeds: list[str]) -> None:
        """Replace the seeds."""
        self._directory.seeds = list(seeds)

    def start_fetch(self, *, first: str = "") -> None:
        """Fetch the newest state in the background, trying `first` before other sources."""
        self._states.start_fetch(first)

    def state_chunk(self, *, ask: FetchState) -> Chunk:
        """A chunk of the installed state, for a process that requests it."""
        return self._states.state_chunk(ask=ask)

    def on_announced(self, *, announce: Announce) -> None:
        """Process a state that a core has announced."""
        self._states.on_announced(announce=announce)

    def report_soon(self) -> None:
        """Report to the leader before the next renewal is due."""
        self.renewal.report_soon()

    async def leave(self) -> None:
        """Release the lease: this edge no longer serves."""
        await self.renewal.leave()

    def _on_installed(self) -> None:
        self._on_edge_installed()
        self.renewal.renew_soon()
        if self.relay.is_needed:
            self.relay.start(target=self.renewal.next_target())
