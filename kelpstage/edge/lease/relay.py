"""Renewing the lease through peers, when no core can be reached from here."""

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

RELAY_COUNT = 5  # peers that are asked at once: some may be behind the same cut
RELAY_WAIT_US = 550_000
RELAY_EVERY_US = 250_000


class RelayedRenewal:
    """Asks peers to pass a renewal on; one wave of them at a time.

    `is_needed` holds while the last lease came through a peer: the leader may be waiting
    to learn of an installed epoch and can't be told directly.
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
        """Start a wave, unless the lease is fresh or one was started a moment ago."""
        now_us = self._ports.clock.now_us()
        period_us = renew_period_us(count=len(self._lease_holder.membership.names))
        is_fresh = now_us - self._lease_holder.lease_asked_us < period_us
        if is_fresh or now_us - self._started_us < RELAY_EVERY_US:
            return
        self.start(target=target)

    def start(self, *, target: str) -> None:
        """Start a wave, unless one is running. `target` is the core that the peers ask if
        they know of no leader."""
        if not self._is_running:
            self._is_running, self._started_us = True, self._ports.clock.now_us()
            self._ports.spawn(self._run(target=target))

    async def _run(self, *, target: str) -> None:
        """One wave, and another if an epoch was installed meanwhile: the leader may be
        waiting to learn of it."""
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
        refused: LeaseReply | None = None
        for call in asyncio.as_completed(calls):
            peer, reply = await call
            if not isinstance(reply, LeaseReply):
                continue
            self._swim.outrank(incarnation=reply.newest_incarnation)
            refused = None if reply.is_granted else reply
            if reply.is_granted and self._renewal.accept_reply(
                reply=reply, sent_us=sent_us, target=target, relayed_by=peer
            ):
                return True
        if refused is not None and not self._cores.leader:
            self._renewal.accept_reply(reply=refused, sent_us=sent_us, target=target)
        return False

    def _send(self, *, target: str) -> tuple[int, list[asyncio.Task[tuple[str, object]]]]:
        """The calls to peers by lot, and when they were sent."""
        members = self._swim.members.values()
        peers = sorted(m.info.address for m in members if m.info.status == ALIVE)
        peers = self._ports.rand.sample(peers, min(RELAY_COUNT, len(peers)))
        sent_us = self._ports.clock.now_us()
        message = RelayRenew(target=target, renew=self._renewal.request(target=""))
        calls = [self._ports.spawn(self._ask(peer=peer, message=message)) for peer in peers]
        return sent_us, calls

    async def _ask(self, *, peer: str, message: RelayRenew) -> tuple[str, object]:
        """A peer's address and its reply."""
        reply = await self._transport.call(address=peer, message=message, wait_us=RELAY_WAIT_US)
        return peer, reply
