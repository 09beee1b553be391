"""Discovers the other edges: through the cores, then from the member tables of peers."""

from __future__ import annotations

import asyncio

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import (
    EdgeContact,
    FetchMembers,
    Members,
    RegisterEdge,
    RegisterEdgeReply,
)
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.core_directory import CoreDirectory
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.timing import RENEW_TIMEOUT_US, RETRY_US, is_small

NO_PEERS_RETRY_US = RETRY_US * 3  # interval of registration while no peer is known
REGISTER_INTERVAL_US = 2_000_000
STEADY_REGISTER_INTERVAL_US = 10_000_000
FETCH_MEMBERS_INTERVAL_US = 1_000_000
MAX_FETCH_MEMBERS_INTERVAL_US = 3_600_000_000


class PeerDiscovery:
    """Registers this edge with cores, which reply with peers, and fills its member table."""

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        lease_holder: LeaseHolder,
        swim: Swim,
        cores: CoreDirectory,
        contact: EdgeContact,
    ) -> None:
        self._ports = ports
        self._transport = transport
        self._lease_holder = lease_holder
        self._swim = swim
        self._cores = cores
        self._contact = contact

    def register_peers(self, contacts: list[EdgeContact]) -> None:
        """Add the peers that a core has sent to the member table."""
        now_us = self._ports.clock.now_us()
        for contact in contacts:
            self._swim.add_peer(
                name=contact.name,
                address=contact.address,
                incarnation=contact.incarnation,
                now_us=now_us,
                zone=contact.zone,
            )

    # --- through the cores --------------------------------------------------------------

    async def run_registration(self) -> None:
        """Register with all cores and seeds; in a steady state, only with a random one of them."""
        while True:
            known = list(dict.fromkeys(self._cores.seeds + self._cores.cores))
            if self._is_steady():
                known = [self._ports.rand.choice(known)]
            await asyncio.gather(*(self._register(address=address) for address in known))
            await self._ports.clock.sleep(us=self._register_interval_us())

    def _is_steady(self) -> bool:
        """True if the lease was renewed recently and most of the membership is known."""
        is_most_known = len(self._swim.live()) * 2 > len(self._lease_holder.membership.names)
        lease_age_us = self._ports.clock.now_us() - self._lease_holder.lease_asked_us
        return is_most_known and lease_age_us < REGISTER_INTERVAL_US and bool(self._swim.members)

    def _register_interval_us(self) -> int:
        if not self._swim.members:
            return NO_PEERS_RETRY_US
        if not self._is_steady():
            return REGISTER_INTERVAL_US
        return int(STEADY_REGISTER_INTERVAL_US * (0.75 + 0.5 * self._ports.rand.random()))

    async def _register(self, *, address: str) -> None:
        self._contact.incarnation = self._swim.me.incarnation
        message = RegisterEdge(
            edge=self._lease_holder.me, incarnation=self._contact.incarnation, contact=self._contact
        )
        reply = await self._transport.call(
            address=address, message=message, wait_us=RENEW_TIMEOUT_US
        )
        if not isinstance(reply, RegisterEdgeReply):
            return
        cluster = self._lease_holder.cluster
        if cluster and reply.cluster and reply.cluster != cluster:
            return
        self.register_peers(reply.peers)

    # --- from the tables of peers -------------------------------------------------------

    async def run_member_table(self) -> None:
        """Fetch a peer's member table while fewer edges are known than the membership has.

        The interval doubles each time a fetch adds no edge, since some edges may be gone
        permanently. It is reset once edges become known in another way, for example after
        a network partition.
        """
        clock, wait_us, asked_us, known_count = self._ports.clock, FETCH_MEMBERS_INTERVAL_US, 0, 0
        while True:
            await clock.sleep(us=FETCH_MEMBERS_INTERVAL_US)
            if known_count < self._swim.known_count():
                wait_us = FETCH_MEMBERS_INTERVAL_US
            known_count = self._swim.known_count()
            membership_count = len(self._lease_holder.membership.names)
            if is_small(count=membership_count) or known_count >= membership_count:
                continue
            if clock.now_us() - asked_us < wait_us:
                continue
            asked_us = clock.now_us()
            if not await self._fetch_members():
                wait_us = min(2 * wait_us, MAX_FETCH_MEMBERS_INTERVAL_US)

    async def _fetch_members(self) -> int:
        """Fetch the member table of a peer; returns the number of edges that it added."""
        peer = self._swim.random_peer()
        if peer is None:
            return 0
        address = self._swim.members[peer].info.address
        message = FetchMembers(cluster=self._lease_holder.cluster)
        reply = await self._transport.call(
            address=address, message=message, wait_us=RENEW_TIMEOUT_US
        )
        if not isinstance(reply, Members) or reply.cluster != self._lease_holder.cluster:
            return 0
        before = self._swim.known_count()
        self._swim.merge_table(table=reply.members, now_us=self._ports.clock.now_us())
        return self._swim.known_count() - before
