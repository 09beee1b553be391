"""Health checks of ejected instances, about one a second per instance in the whole fleet.

A health check costs money and occupies a slot, and its result may be a false positive or a
false negative. So instances that answer requests are never checked, and a successful check
only ends an ejection early on the edge that made it. The instance then gets one request at a
time until it answers.
"""

from __future__ import annotations

import zlib
from collections import Counter
from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.registry import BackendRegistry

CHECK_INTERVAL_US = 1_000_000
CHECK_TIMEOUT_US = 700_000


def checker_of(*, instance_id: str, zone: str, edges: dict[str, str]) -> str:
    """Return the one edge that checks an instance; an edge in its zone is preferred.

    >>> checker_of(instance_id="i", zone="z", edges={"n1": "z", "n2": "y"})
    'n1'
    >>> checker_of(instance_id="i", zone="x", edges={"n2": "y"})
    'n2'
    """
    near = [name for name, edge_zone in edges.items() if edge_zone == zone] or list(edges)
    return min(near, key=lambda name: (zlib.crc32(f"{instance_id}|{name}".encode()), name))


class EjectedCheckTask:
    """Checks the suspected instances that are assigned to this edge.

    `edges` returns the zones of the live edges by name, including this edge; `health_path`
    returns the path of a service's health check (empty: its instances are not checked);
    `instance_header` is the header in which an instance sends its id.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        registry: BackendRegistry,
        me: str,
        edges: Callable[[], dict[str, str]],
        health_path: Callable[[str], str],
        instance_header: str,
        counts: Counter[str],
    ) -> None:
        self._ports = ports
        self._registry = registry
        self._me = me
        self._edges = edges
        self._health_path = health_path
        self._instance_header = instance_header.lower()
        self._counts = counts
        ports.spawn_critical(self._run())

    async def _run(self) -> None:
        while True:
            await self._ports.clock.sleep(us=CHECK_INTERVAL_US)
            suspected = self._registry.suspected_instances(now_us=self._ports.clock.now_us())
            if not suspected:
                continue
            edges = self._edges()
            for entry in suspected:
                if self._me == checker_of(instance_id=entry.name, zone=entry.zone, edges=edges):
                    self._ports.spawn(self._health_check(entry=entry))

    async def _health_check(self, *, entry: BackendEntry) -> None:
        path = self._health_path(entry.service)
        if not path:
            return
        self._counts["life_probes"] += 1
        reply = await self._ports.net.fetch(
            call=HttpCall(
                method="GET",
                url=f"http://{entry.address}{path}",
                wait_us=CHECK_TIMEOUT_US,
                connection_limit=entry.connection_limit,
            )
        )
        if isinstance(reply, KelpstageError) or not self._is_healthy(reply=reply, entry=entry):
            return
        self._registry.note_healthy(name=entry.name, now_us=self._ports.clock.now_us())

    def _is_healthy(self, *, reply: HttpReply, entry: BackendEntry) -> bool:
        """True if the reply is a success and names the instance that the check was meant for."""
        return reply.status == 200 and reply.headers.get(self._instance_header) == entry.name
