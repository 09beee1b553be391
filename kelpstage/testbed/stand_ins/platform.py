"""The stand-in for the platform: polls the readiness of nodes, directs callers to ready nodes,
and serves a list of backends that lags behind their state."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Listener, Ports

READINESS_POLL_INTERVAL_US = 500_000
READINESS_TIMEOUT_US = 400_000
LIST_LAG_US = 1_500_000


@dataclass(kw_only=True)
class Platform:
    """Directs callers to nodes that were ready at the last poll, preferably in their own zone."""

    ports: Ports
    nodes: dict[str, tuple[str, str]]  # name -> zone, http address
    backends: dict[str, str]  # name -> address
    address: str = ""
    ready: dict[str, bool] = field(default_factory=dict)
    listed: dict[str, tuple[str, str]] = field(default_factory=dict)
    choice_count: int = 0
    note: Callable[[dict], None] = lambda row: None
    _server: Listener | None = None

    async def open(self) -> None:
        """List all backends as running, poll the nodes, and serve the list if there is an address.

        Raises `OSError` if the address can't be opened.
        """
        self.listed = {name: (address, "running") for name, address in self.backends.items()}
        self.ports.spawn(self._poll_all())
        if self.address:
            outcome = await self.ports.net.serve_http(
                address=self.address, on_call=self.serve, body_limit=1024
            )
            if not hasattr(outcome, "close"):
                raise OSError(str(outcome))
            self._server = outcome

    def close(self) -> None:
        """Stop listening; a platform without an address never listened."""
        if self._server is not None:
            self._server.close()

    async def serve(self, call: HttpCall) -> HttpReply:
        """Returns the list of backends as JSON, for any request."""
        rows = [
            {"name": name, "address": address, "state": state}
            for name, (address, state) in sorted(self.listed.items())
        ]
        return HttpReply(
            status=200,
            headers={"Content-Type": "application/json"},
            body=json.dumps({"backends": rows}).encode(),
        )

    def note_backend(self, *, name: str, state: str) -> None:
        """Apply a backend's change of state to the list after `LIST_LAG_US`."""

        async def update_list() -> None:
            await self.ports.clock.sleep(us=LIST_LAG_US)
            if state == "absent":
                self.listed.pop(name, None)
            else:
                self.listed[name] = (self.backends[name], state)
            self.note({"event": "listed", "backend": name, "state": state})

        self.ports.spawn(update_list())

    async def _poll_all(self) -> None:
        while True:
            for name, (_, address) in sorted(self.nodes.items()):
                self.ports.spawn(self._poll(name=name, address=address))
            await self.ports.clock.sleep(us=READINESS_POLL_INTERVAL_US)

    async def _poll(self, *, name: str, address: str) -> None:
        reply = await self.ports.net.fetch(
            call=HttpCall(method="GET", url=f"http://{address}/ready", wait_us=READINESS_TIMEOUT_US)
        )
        self.ready[name] = not isinstance(reply, KelpstageError) and reply.status == 200

    def choose_node(self, *, zone: str) -> str | None:
        """Returns a ready node of the caller's zone, or else of any zone, in round-robin order."""
        self.choice_count += 1
        for wanted in (zone, None):
            names = sorted(
                name
                for name, (node_zone, _) in self.nodes.items()
                if self.ready.get(name) and wanted in (None, node_zone)
            )
            if names:
                return names[self.choice_count % len(names)]
        return None

    def mark_not_ready(self, *, name: str) -> None:
        """Treat a node as not ready until its next successful poll.

        Callers call it when the node refuses a connection.
        """
        self.ready[name] = False
