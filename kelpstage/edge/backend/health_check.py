"""Looks at backends: each is looked at by a few edges, all hear of it.

A probe is a request. A backend that is known to drain or to be gone gets a knock
instead: a connection that is opened and closed again, without a byte.
"""

from __future__ import annotations

import json
import zlib
from collections import Counter
from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.edge.backend.registry import DRAINING, GONE, KNOCK, LEAVE, UP, BackendRegistry
from kelpstage.edge.lease.lease_holder import LeaseHolder

PROBE_US = 1_000_000
PROBE_WAIT_US = 800_000
PROBERS = 3


def probers(*, backend: str, edges: list[str]) -> list[str]:
    """The edges that probe a backend; all edges work out the same.

    >>> probers(backend="b", edges=["n1", "n2"])
    ['n1', 'n2']
    >>> len(probers(backend="b", edges=[f"n{i}" for i in range(9)]))
    3
    """
    ranked = sorted(edges, key=lambda edge: (zlib.crc32(f"{backend}|{edge}".encode()), edge))
    return sorted(ranked[:PROBERS])


def state_of(*, reply: HttpReply) -> int | None:
    """What a probe's reply says, or `None` if it says nothing of use.

    >>> state_of(reply=HttpReply(status=200, body=b'{"state":"draining"}')) == DRAINING
    True
    """
    try:
        said = json.loads(reply.body)
    except (ValueError, RecursionError):
        return None
    state = said.get("state") if isinstance(said, dict) else None
    if state == "draining" or reply.headers.get("kelp-state") == "draining":
        return DRAINING
    if state == "up" and reply.status == 200:
        return UP
    return None


class ProbeTask:
    """Asks the backends that fall to this edge."""

    def __init__(
        self,
        *,
        ports: Ports,
        registry: BackendRegistry,
        lease_holder: LeaseHolder,
        me: str,
        edges: Callable[[], list[str]],
        on_news: Callable[[str], None],
        counts: Counter,
    ) -> None:
        self._ports = ports
        self._registry = registry
        self._lease_holder = lease_holder
        self._me = me
        self._edges = edges
        self._on_news = on_news
        self._counts = counts
        ports.keep(self._run())

    async def _run(self) -> None:
        while True:
            edges = self._edges()
            names = [
                name
                for name, entry in sorted(self._registry.entries.items())
                if entry.address
                and not entry.is_discovered
                and (self._me in probers(backend=name, edges=edges) or self._me in entry.dark_by)
            ]
            gap_us = PROBE_US // max(1, len(names))
            started_us = self._ports.clock.now_us()
            for name in names:
                self.look_soon(name=name)
                await self._ports.clock.sleep(us=gap_us)
            took_us = self._ports.clock.now_us() - started_us
            await self._ports.clock.sleep(us=max(1_000, PROBE_US - took_us))

    def look_soon(self, *, name: str, is_new: bool = False) -> None:
        """Look at one backend now; `is_new` if somebody says that it runs anew."""
        entry = self._registry.entries.get(name)
        if entry is None or not entry.address or entry.is_discovered:
            return
        way = self._registry.way_to_look(
            name=name,
            configuration=self._lease_holder.configuration,
            now_us=self._ports.clock.now_us(),
            is_first=self._me == probers(backend=name, edges=self._edges())[0],
        )
        if way == LEAVE:
            return
        if way == KNOCK and not is_new:
            self._ports.spawn(self._knock(name=name, address=entry.address))
            return
        self._ports.spawn(self._probe(name=name, address=entry.address))

    async def _knock(self, *, name: str, address: str) -> None:
        """A bare connection: is somebody there, or nobody any more?"""
        self._counts["knocks"] += 1
        outcome = await self._ports.net.connect(address=address, wait_us=PROBE_WAIT_US)
        entry = self._registry.entries.get(name)
        if isinstance(outcome, ConnectError):
            if self._note(name=name, reply=outcome, asked_us=0):
                self._on_news(name)
            return
        if isinstance(outcome, KelpstageError):
            return
        outcome.close()
        if entry is not None and entry.state == GONE:
            await self._probe(name=name, address=address)

    async def _probe(self, *, name: str, address: str) -> None:
        asked_us = self._ports.clock.now_us()
        self._counts["probes"] += 1
        reply = await self._ports.net.fetch(
            call=HttpCall(method="GET", url=f"http://{address}/v1/health", wait_us=PROBE_WAIT_US)
        )
        if self._note(name=name, reply=reply, asked_us=asked_us):
            self._on_news(name)

    def _note(self, *, name: str, reply: HttpReply | KelpstageError, asked_us: int) -> bool:
        now_us = self._ports.clock.now_us()
        if isinstance(reply, ConnectError):
            return self._registry.observe(
                name=name, state=GONE, why="connection refused", now_us=now_us
            )
        if isinstance(reply, KelpstageError):
            return self._registry.strike(name=name, now_us=now_us)
        self._registry.heard_back(name=name, now_us=now_us)
        state = state_of(reply=reply)
        if state is None:
            return False
        return self._registry.observe(
            name=name, state=state, why="probe", now_us=now_us, asked_us=asked_us
        )
