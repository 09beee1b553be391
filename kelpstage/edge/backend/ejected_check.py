"""Probes of lives that are shunned: about one a second for each, in the whole fleet.

A probe is priced and takes a slot, and a health answer may be false either way. So
lives that answer requests are never probed, and a good answer only ends a shunning
early, at the edge that probed: the life is then tried with one request at a time.
"""

from __future__ import annotations

import zlib
from collections import Counter
from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.edge.backend.registry import BackendRegistry, Entry

PROBE_US = 1_000_000
PROBE_WAIT_US = 700_000


def prober_of(*, instance_id: str, zone: str, edges: dict[str, str]) -> str:
    """The one edge that probes a life: in its zone, if there is one.

    >>> prober_of(instance_id="i", zone="z", edges={"n1": "z", "n2": "y"})
    'n1'
    >>> prober_of(instance_id="i", zone="x", edges={"n2": "y"})
    'n2'
    """
    near = [name for name, place in edges.items() if place == zone] or list(edges)
    return min(near, key=lambda name: (zlib.crc32(f"{instance_id}|{name}".encode()), name))


class SuspectTask:
    """Probes the suspected lives that fall to this edge.

    `edges` gives the live edges with their zones, this one among them; `health_path`
    that of a service (empty: it is not probed); `instance_header` the header in which a
    life names itself.
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
        counts: Counter,
    ) -> None:
        self._ports = ports
        self._registry = registry
        self._me = me
        self._edges = edges
        self._health_path = health_path
        self._instance_header = instance_header.lower()
        self._counts = counts
        ports.keep(self._run())

    async def _run(self) -> None:
        while True:
            await self._ports.clock.sleep(us=PROBE_US)
            suspects = self._registry.suspects(now_us=self._ports.clock.now_us())
            if not suspects:
                continue
            edges = self._edges()
            for entry in suspects:
                if self._me == prober_of(instance_id=entry.name, zone=entry.zone, edges=edges):
                    self._ports.spawn(self._probe(entry=entry))

    async def _probe(self, *, entry: Entry) -> None:
        path = self._health_path(entry.service)
        if not path:
            return
        self._counts["life_probes"] += 1
        reply = await self._ports.net.fetch(
            call=HttpCall(
                method="GET",
                url=f"http://{entry.address}{path}",
                wait_us=PROBE_WAIT_US,
                line_limit=entry.line_limit,
            )
        )
        if isinstance(reply, KelpstageError) or not self._is_good(reply=reply, entry=entry):
            return
        self._registry.note_probed(name=entry.name, now_us=self._ports.clock.now_us())

    def _is_good(self, *, reply: HttpReply, entry: Entry) -> bool:
        """Is it well, and is it the life that was meant?"""
        return reply.status == 200 and reply.headers.get(self._instance_header) == entry.name
