"""The gossip task: owns the datagram socket, and drives the protocol from the clock."""

from __future__ import annotations

from collections import Counter
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.messages import BackendStateMsg, GossipMsg
from kelpstage.edge.backend.backend_state import STATE_NAMES
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.events import BackendChanged, PeerChanged
from kelpstage.edge.gossip.members import MEMBER_STATUS_NAMES
from kelpstage.edge.gossip.swim import TICK_US, Sends, Swim

MAGIC = b"KG\x01"  # prefix of every datagram
DATAGRAM_LIMIT = 60_000  # bytes


class GossipTask:
    """Runs the protocol's ticks, and sends and receives its datagrams.

    `refresh` is called before each tick to update this edge's own record; `has_backends` is
    true if there are backend states to send.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        journal: Journal,
        swim: Swim,
        registry: BackendRegistry,
        address: str,
        counts: Counter[str],
        refresh: Callable[[], None],
        has_backends: Callable[[], bool] = lambda: True,
    ) -> None:
        self._ports = ports
        self._journal = journal
        self._swim = swim
        self._registry = registry
        self._address = address
        self._counts = counts
        self._refresh = refresh
        self._has_backends = has_backends
        self._cached_states: list[BackendStateMsg] | None = None  # until the next tick
        self._datagrams: Any = None
        swim.backend_states = self._backend_states
        swim.on_backend_state = self._on_backend_state

    async def open(self) -> KelpstageError | None:
        """Bind the datagram socket and start ticking; returns an error if it can't be bound."""
        outcome = await self._ports.net.bind_datagrams(
            address=self._address, on_datagram=self._on_datagram
        )
        if isinstance(outcome, KelpstageError):
            return outcome
        self._datagrams = outcome
        self._ports.spawn_critical(self._tick())
        return None

    async def _tick(self) -> None:
        while True:
            await self._ports.clock.sleep(us=TICK_US)
            self._cached_states = None
            self._refresh()
            self._send(sends=self._swim.tick(now_us=self._ports.clock.now_us()))
            self._note_changes()

    def send_updates(self) -> None:
        """Send updates to peers now, without waiting for the next tick."""
        self._cached_states = None
        self._refresh()
        self._send(sends=self._swim.send_updates())

    def _send(self, *, sends: Sends) -> None:
        packed: dict[int, bytes] = {}  # a message may have several receivers; it is serialized once
        for address, message in sends:
            data = packed.get(id(message)) or MAGIC + bytes(message)
            packed[id(message)] = data
            if len(data) > DATAGRAM_LIMIT:
                self._counts["gossip_too_large"] += 1
                continue
            self._datagrams.send(address=address, data=data)

    def _on_datagram(self, data: bytes, source: str) -> None:
        if not data.startswith(MAGIC):
            self._counts["gossip_foreign"] += 1
            return
        try:
            message = GossipMsg()
            message.parse(data[len(MAGIC) :])
        except Exception:  # betterproto raises many kinds on garbage
            self._counts["gossip_unreadable"] += 1
            return
        if not message.sender.name or not message.sender.address:
            self._counts["gossip_unreadable"] += 1
            return
        self._send(sends=self._swim.on_message(message=message, now_us=self._ports.clock.now_us()))
        self._note_changes()

    def _note_changes(self) -> None:
        for change in self._swim.take_changes():
            self._journal.add(
                PeerChanged(
                    peer=change.name, status=MEMBER_STATUS_NAMES[change.status], why=change.why
                )
            )

    def _backend_states(self) -> list[BackendStateMsg]:
        if self._cached_states is None:
            self._cached_states = (
                self._registry.backend_states(now_us=self._ports.clock.now_us())
                if self._has_backends()
                else []
            )
        return self._cached_states

    def _on_backend_state(self, backend_state: BackendStateMsg) -> None:
        if self._registry.on_backend_state_received(
            backend_state=backend_state, now_us=self._ports.clock.now_us()
        ):
            self._cached_states = None
            self._journal.add(
                BackendChanged(
                    backend=backend_state.backend,
                    state=STATE_NAMES.get(backend_state.state, "unknown"),
                    why=backend_state.why,
                    seen_by=backend_state.seen_by,
                )
            )

    def close(self) -> None:
        """Close the datagram socket."""
        if self._datagrams is not None:
            self._datagrams.close()
