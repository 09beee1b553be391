"""The gossip task: owns the datagrams, ticks the table of edges."""

from __future__ import annotations

from typing import Any, Callable

from kelpstage.common.errors import Defect
from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.messages import GossipMsg, RumorMsg
from kelpstage.edge.backend.registry import STATE_NAMES, Book
from kelpstage.edge.events import BackendChanged, PartnerChanged
from kelpstage.edge.gossip.swim import STATUS_NAMES, TICK_US, Sends, Swim

MAGIC = b"KG\x01"
DATAGRAM_LIMIT = 60_000


class GossipTask:
    """Ticks the table and carries its datagrams."""

    def __init__(
        self,
        *,
        ports: Ports,
        journal: Journal,
        swim: Swim,
        book: Book,
        address: str,
        counts: Any,
        refresh: Callable[[], None],
        has_backends: Callable[[], bool] = lambda: True,
    ) -> None:
        self._ports = ports
        self._journal = journal
        self._swim = swim
        self._book = book
        self._address = address
        self._counts = counts
        self._refresh = refresh
        self._has_backends = has_backends
        self._kept_rumors: list[RumorMsg] | None = None  # till the next tick
        self._datagrams: Any = None
        swim.rumors = self._rumors
        swim.on_rumor = self._on_rumor

    async def open(self) -> Defect | None:
        outcome = await self._ports.net.datagrams(
            address=self._address, on_datagram=self._on_datagram
        )
        if isinstance(outcome, Defect):
            return outcome
        self._datagrams = outcome
        self._ports.keep(self._tick())
        return None

    async def _tick(self) -> None:
        while True:
            await self._ports.clock.sleep(us=TICK_US)
            self._kept_rumors = None
            self._refresh()
            self._send(sends=self._swim.tick(now_us=self._ports.clock.now_us()))
            self._note_changes()

    def spread(self) -> None:
        """Tell partners now."""
        self._kept_rumors = None
        self._refresh()
        self._send(sends=self._swim.spread())

    def _send(self, *, sends: Sends) -> None:
        packed: dict[int, bytes] = {}  # one message may go to many
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
            message = GossipMsg().parse(data[len(MAGIC) :])
        except Exception:  # betterproto raises many kinds on garbage
            self._counts["gossip_unreadable"] += 1
            return
        if not message.sender.name or not message.sender.address:
            self._counts["gossip_unreadable"] += 1
            return
        self._send(sends=self._swim.heard(message=message, now_us=self._ports.clock.now_us()))
        self._note_changes()

    def _note_changes(self) -> None:
        changes, self._swim.changes = self._swim.changes, []
        for change in changes:
            self._journal.add(
                PartnerChanged(
                    partner=change.name, status=STATUS_NAMES[change.status], why=change.why
                )
            )

    def _rumors(self) -> list[RumorMsg]:
        if self._kept_rumors is None:
            self._kept_rumors = (
                self._book.rumors(now_us=self._ports.clock.now_us()) if self._has_backends() else []
            )
        return self._kept_rumors

    def _on_rumor(self, rumor: RumorMsg) -> None:
        if self._book.take_rumor(rumor=rumor, now_us=self._ports.clock.now_us()):
            self._kept_rumors = None
            self._journal.add(
                BackendChanged(
                    backend=rumor.backend,
                    state=STATE_NAMES.get(rumor.state, "unknown"),
                    why=rumor.why,
                    seen_by=rumor.seen_by,
                )
            )

    def close(self) -> None:
        if self._datagrams is not None:
            self._datagrams.close()
