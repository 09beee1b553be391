"""Renews the lease through peers, when this edge can reach no core."""

from __future__ import annotations

import asyncio

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import LeaseReply, RelayRenew
from kelpstage.edge.gossip.members import ALIVE
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.core_directory import CoreDirectory
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.renewal import LeaseRenewal
from kelpstage.edge.lease.timing import renew_period_us

RELAY_COUNT = 5  # peers asked at once: some may be in the same network partition
RELAY_TIMEOUT_US = 550_000
RELAY_MIN_INTERVAL_US = 250_000


class RelayedRenewal:
    """Asks peers to relay a renewal, one round of requests at a time.

    `is_needed` is true while the last lease came through a peer: the leader may be waiting
    for the report of an installed epoch, and this edge can't send it directly.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        lease_holder: LeaseHolder,
        swim: Swim,
        cores: CoreDirectory,
        renewal: LeaseRenewal,
    ) -> None:
        self._ports = ports
        self._transport = transport
        self._lease_holder = lease_holder
        self._swim = swim
        self._cores = cores
        self._renewal = renewal
        self.is_needed = False
        self._is_running = False
        self._started_us = 0

    def start_if_due(self, *, target: str) -> None:
        """Start a round, unless the lease or the last round is recent."""
        now_us = self._ports.clock.now_us()
        period_us = renew_period_us(count=len(self._lease_holder.membership.names))
        is_fresh = now_us - self._lease_holder.lease_asked_us < period_us
        if is_fresh or now_us - self._started_us < RELAY_MIN_INTERVAL_US:
            return
        self.start(target=target)

    def start(self, *, target: str) -> None:
        """Start a round, unless one is running.

        `target` is the core that the peers ask if they know no leader.
        """
        if not self._is_running:
            self._is_running, self._started_us = True, self._ports.clock.now_us()
            self._ports.spawn(self._run(target=target))

    async def _run(self, *, target: str) -> None:
        """Run a round, and another one if an epoch was installed meanwhile.

        The leader may be waiting for the report of that epoch.
        """
        epoch = -1
        try:
            while epoch < self._lease_holder.epoch:
                epoch = self._lease_holder.epoch
                self.is_needed = await self._ask_peers(target=target)
                if not self.is_needed:
                    break
        finally:
            self._is_running = False

    async def _ask_peers(self, *, target: str) -> bool:
        """Ask several peers at once; true if a lease was granted through one of them."""
        sent_us, calls = self._send(target=target)
        rejection: LeaseReply | None = None
        for call in asyncio.as_completed(calls):
            peer, reply = await call
            if not isinstance(reply, LeaseReply):
                continue
            self._swim.raise_incarnation(incarnation=reply.newest_incarnation)
            rejection = None if reply.is_granted else reply
            if reply.is_granted and self._renewal.accept_reply(
                reply=reply, sent_us=sent_us, target=target, relayed_by=peer
            ):
                return True
        if rejection is not None and not self._cores.leader:
            self._renewal.accept_reply(reply=rejection, sent_us=sent_us, target=target)
        return False

    def _send(self, *, target: str) -> tuple[int, list[asyncio.Task[tuple[str, object]]]]:
        """Send the request to randomly chosen peers; returns the time and the pending calls."""
        members = self._swim.members.values()
        peers = sorted(m.info.address for m in members if m.info.status == ALIVE)
        peers = self._ports.rand.sample(peers, min(RELAY_COUNT, len(peers)))
        sent_us = self._ports.clock.now_us()
        message = RelayRenew(target=target, renew=self._renewal.request(target=""))
        calls = [self._ports.spawn(self._ask(peer=peer, message=message)) for peer in peers]
        return sent_us, calls

    async def _ask(self, *, peer: str, message: RelayRenew) -> tuple[str, object]:
        """Ask one peer to relay; returns its address and its reply."""
        reply = await self._transport.call(address=peer, message=message, wait_us=RELAY_TIMEOUT_US)
        return peer, reply
