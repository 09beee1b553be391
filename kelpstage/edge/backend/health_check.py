"""Health checks of declared backends: a few edges check each, and gossip notifies the others.

A health check is a request. A backend that is known to be draining or gone gets a connect
check instead: a connection that is opened and closed without sending a byte.
"""

from __future__ import annotations

import json
import zlib
from collections import Counter
from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.eligibility import CheckKind
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.lease.lease_holder import LeaseHolder

CHECK_INTERVAL_US = 1_000_000  # of one backend by one edge
CHECK_TIMEOUT_US = 800_000
CHECKERS_PER_BACKEND = 3  # edges


def checkers_of(*, backend: str, edges: list[str]) -> list[str]:
    """Return the edges that check a backend; every edge computes the same result.

    >>> checkers_of(backend="b", edges=["n1", "n2"])
    ['n1', 'n2']
    >>> len(checkers_of(backend="b", edges=[f"n{i}" for i in range(9)]))
    3
    """
    ranked = sorted(edges, key=lambda edge: (zlib.crc32(f"{backend}|{edge}".encode()), edge))
    return sorted(ranked[:CHECKERS_PER_BACKEND])


def state_of(*, reply: HttpReply) -> BackendState | None:
    """Return the state that the reply to a health check reports, or `None` if it has none.

    >>> state_of(reply=HttpReply(status=200, body=b'{"state":"draining"}')) == BackendState.DRAINING
    True
    """
    try:
        report = json.loads(reply.body)
    except (ValueError, RecursionError):
        return None
    state = report.get("state") if isinstance(report, dict) else None
    if state == "draining" or reply.headers.get("kelp-state") == "draining":
        return BackendState.DRAINING
    if state == "up" and reply.status == 200:
        return BackendState.UP
    return None


class HealthCheckTask:
    """Checks the backends that are assigned to this edge.

    `on_changed` is called with the name of each backend that peers are to be notified of.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        registry: BackendRegistry,
        lease_holder: LeaseHolder,
        me: str,
        edges: Callable[[], list[str]],
        on_changed: Callable[[str], None],
        counts: Counter[str],
    ) -> None:
        self._ports = ports
        self._registry = registry
        self._lease_holder = lease_holder
        self._me = me
        self._edges = edges
        self._on_changed = on_changed
        self._counts = counts
        ports.spawn_critical(self._run())

    async def _run(self) -> None:
        while True:
            edges = self._edges()
            names = [
                name
                for name, entry in sorted(self._registry.entries.items())
                if entry.address
                and not entry.is_discovered
                and self._is_checked_here(name=name, entry=entry, edges=edges)
            ]
            gap_us = CHECK_INTERVAL_US // max(1, len(names))
            started_us = self._ports.clock.now_us()
            for name in names:
                self.check_soon(name=name)
                await self._ports.clock.sleep(us=gap_us)
            took_us = self._ports.clock.now_us() - started_us
            await self._ports.clock.sleep(us=max(1_000, CHECK_INTERVAL_US - took_us))

    def _is_checked_here(self, *, name: str, entry: BackendEntry, edges: list[str]) -> bool:
        is_own_share = self._me in checkers_of(backend=name, edges=edges)
        return is_own_share or self._me in entry.unreachable_by

    def check_soon(self, *, name: str, is_new: bool = False) -> None:
        """Start a check of a backend; `is_new` if the platform reports that it is running again."""
        entry = self._registry.entries.get(name)
        if entry is None or not entry.address or entry.is_discovered:
            return
        kind = self._registry.allowed_check(
            name=name,
            configuration=self._lease_holder.configuration,
            now_us=self._ports.clock.now_us(),
            is_first=self._me == checkers_of(backend=name, edges=self._edges())[0],
        )
        if kind == CheckKind.NONE:
            return
        if kind == CheckKind.CONNECT_CHECK and not is_new:
            self._ports.spawn(self._connect_check(name=name, address=entry.address))
            return
        self._ports.spawn(self._health_check(name=name, address=entry.address))

    async def _connect_check(self, *, name: str, address: str) -> None:
        """Open and close a connection, to see whether the backend still accepts connections."""
        self._counts["knocks"] += 1
        outcome = await self._ports.net.connect(address=address, wait_us=CHECK_TIMEOUT_US)
        entry = self._registry.entries.get(name)
        if isinstance(outcome, ConnectError):
            if self._note_reply(name=name, reply=outcome, asked_us=0):
                self._on_changed(name)
            return
        if isinstance(outcome, KelpstageError):
            return
        outcome.close()
        if entry is not None and entry.state == BackendState.GONE:
            await self._health_check(name=name, address=address)

    async def _health_check(self, *, name: str, address: str) -> None:
        asked_us = self._ports.clock.now_us()
        self._counts["probes"] += 1
        reply = await self._ports.net.fetch(
            call=HttpCall(method="GET", url=f"http://{address}/v1/health", wait_us=CHECK_TIMEOUT_US)
        )
        if self._note_reply(name=name, reply=reply, asked_us=asked_us):
            self._on_changed(name)

    def _note_reply(self, *, name: str, reply: HttpReply | KelpstageError, asked_us: int) -> bool:
        now_us = self._ports.clock.now_us()
        if isinstance(reply, ConnectError):
            return self._registry.observe(
                name=name, state=BackendState.GONE, why="connection refused", now_us=now_us
            )
        if isinstance(reply, KelpstageError):
            return self._registry.note_no_answer(name=name, now_us=now_us)
        self._registry.note_response(name=name, now_us=now_us)
        state = state_of(reply=reply)
        if state is None:
            return False
        return self._registry.observe(
            name=name, state=state, why="probe", now_us=now_us, asked_us=asked_us
        )
