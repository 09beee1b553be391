"""Keeps a connection to the preferred helper in each zone open."""

from __future__ import annotations

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport import frames
from kelpstage.common.transport.connections import Transport
from kelpstage.edge.gather.context import GatherContext

CHECK_INTERVAL_US = 2_000_000


class HelperConnections:
    """Opens connections before a search needs them.

    A search asks a helper in each zone that has shards for it, and opening a connection costs a
    round trip, which between regions is a large part of the latency target. The number of
    connections grows with the number of zones, not with that of nodes.
    """

    def __init__(self, *, ports: Ports, transport: Transport, context: GatherContext) -> None:
        self._ports = ports
        self._transport = transport
        self._context = context
        ports.spawn_critical(self._run())

    async def _run(self) -> None:
        while True:
            await self._ports.clock.sleep(us=CHECK_INTERVAL_US)
            self._context.now_us = self._ports.clock.now_us()
            for address in self.wanted():
                self._transport.open(address=address, channel=frames.GATHER)

    def wanted(self) -> list[str]:
        """Return the address of the preferred helper in each zone, this node's own included.

        It is empty without a route for forwarded searches. The helpers are those of the first such
        route.
        """
        forward = self._context.lease_holder.configuration.forward
        collection = next((route.name for route in forward.values() if route.fan_out), None)
        if collection is None:
            return []
        helpers = self._context.helpers_by_zone(collection=collection)
        return [self._context.swim.members[names[0]].info.address for names in helpers.values()]
