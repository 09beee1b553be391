"""The stand-in platform: asks nodes whether they are ready, hands callers on,
keeps a list of backends that lags."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Listener, Ports

READY_US = 500_000
READY_WAIT_US = 400_000
LAG_US = 1_500_000


@dataclass(kw_only=True)
class Platform:
    """Knows nodes by zone, hands out one that said it was ready."""

    ports: Ports
    nodes: dict[str, tuple[str, str]]  # name -> zone, http address
    backends: dict[str, str]  # name -> address
    address: str = ""
    ready: dict[str, bool] = field(default_factory=dict)
    listed: dict[str, tuple[str, str]] = field(default_factory=dict)
    turn: int = 0
    note: Callable[[dict], None] = lambda row: None
    _server: Listener | None = None

    async def open(self) -> None:
        """List all backends as running, poll the nodes, and serve the list if there is an address.

        Raises `OSError` if the address can't be opened.
        """
        self.listed = {name: (address, "running") for name, address in self.backends.items()}
        self.ports.spawn(self._ask_all())
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
        """Answer any request with the list of backends, as JSON."""
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
        """Apply a backend's change of state to the list after `LAG_US`."""

        async def later() -> None:
            await self.ports.clock.sleep(us=LAG_US)
            if state == "absent":
                self.listed.pop(name, None)
            else:
                self.listed[name] = (self.backends[name], state)
            self.note({"event": "listed", "backend": name, "state": state})

        self.ports.spawn(later())

    async def _ask_all(self) -> None:
        while True:
            for name, (_, address) in sorted(self.nodes.items()):
                self.ports.spawn(self._ask(name=name, address=address))
            await self.ports.clock.sleep(us=READY_US)

    async def _ask(self, *, name: str, address: str) -> None:
        reply = await self.ports.net.fetch(
            call=HttpCall(method="GET", url=f"http://{address}/ready", wait_us=READY_WAIT_US)
        )
        self.ready[name] = not isinstance(reply, KelpstageError) and reply.status == 200

    def hand_on(self, *, zone: str) -> str | None:
        """A ready node of the caller's zone, else of any."""
        self.turn += 1
        for wanted in (zone, None):
            names = sorted(
                name
                for name, (at, _) in self.nodes.items()
                if self.ready.get(name) and wanted in (None, at)
            )
            if names:
                return names[self.turn % len(names)]
        return None

    def forget(self, *, name: str) -> None:
        """Treat a node as not ready until its next successful poll.

        Callers do so when it refuses a connection.
        """
        self.ready[name] = False
