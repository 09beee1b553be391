"""Asks edges which versions of a service are listed, before the first order of the service."""

from __future__ import annotations

import asyncio

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import EdgeContact, FetchVersions, ListedVersions
from kelpstage.core.leases.epoch_settlement import EpochSettlement

EDGES_ASKED = 8  # at once; several, since the list of a single edge may lag
CALL_TIMEOUT_US = 400_000
ATTEMPTS = 4  # each at other edges, if there are enough


class ListedVersionsQuery:
    """Asks some edges that hold a lease, and takes all versions that any of them reports."""

    def __init__(self, *, ports: Ports, transport: Transport, settlement: EpochSettlement) -> None:
        self._ports = ports
        self._transport = transport
        self._settlement = settlement

    async def fetch(self, *, service: str) -> list[str]:
        """The versions of a service that edges have listed lately, sorted; empty if no edge
        answers."""
        for _ in range(ATTEMPTS):
            asked = self._sample()
            replies = await asyncio.gather(
                *(self._ask(contact=contact, service=service) for contact in asked)
            )
            known = [reply for reply in replies if reply is not None]
            if known:
                return sorted({version for reply in known for version in reply.versions})
            await self._settlement.wait_for_edge_report(wait_us=CALL_TIMEOUT_US)
        return []

    def _sample(self) -> list[EdgeContact]:
        contacts = self._settlement.lease_table.recent_contacts(now_us=self._ports.clock.now_us())
        return self._ports.rand.sample(contacts, min(EDGES_ASKED, len(contacts)))

    async def _ask(self, *, contact: EdgeContact, service: str) -> ListedVersions | None:
        reply = await self._transport.call(
            address=contact.address,
            message=FetchVersions(service=service),
            wait_us=CALL_TIMEOUT_US,
        )
        return reply if isinstance(reply, ListedVersions) and reply.is_known else None
