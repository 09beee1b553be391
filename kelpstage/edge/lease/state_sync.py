"""Fetching, installing and handing on the cluster's states."""

from __future__ import annotations

from typing import Any, Callable

from kelpstage.common.configuration.types import Configuration
from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.event_journal import Journal
from kelpstage.common.log.ring import logger
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.chunks import ChunkSource, fetch_chunks
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.delta import apply_delta, pack_delta
from kelpstage.common.transport.messages import Announce, Chunk, FetchState, StateDoc
from kelpstage.edge.events import Installed, StateRefused
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.core_directory import CoreDirectory
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.timing import RETRY_US

log = logger(name="lease")

NEXT_SOURCE_US = 1_000_000  # without the state for so long, the next source is asked as well


class StateSync:
    """Brings this edge to the newest epoch that it knows of, one fetch at a time."""

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        lease_holder: LeaseHolder,
        swim: Swim,
        cores: CoreDirectory,
        journal: Journal,
        on_installed: Callable[[], None],
    ) -> None:
        self._ports = ports
        self._transport = transport
        self._lease_holder = lease_holder
        self._swim = swim
        self._cores = cores
        self._journal = journal
        self._on_installed = on_installed
        self._is_fetching = False
        self._asked: set[str] = set()  # addresses that a fetch is under way from
        self._chunks = ChunkSource()

    # --- fetching -------------------------------------------------------------------------

    def fetch_soon(self, first: str = "") -> None:
        """Fetch the newest state, from `first` if it has it."""
        if self._is_fetching:
            return
        self._is_fetching = True
        self._ports.spawn(self._fetch(first=first))

    async def _fetch(self, *, first: str) -> None:
        """Ask one source after the other. A source that is cut off or gone keeps a fetch for
        seconds, so the next one is asked beside it."""
        lease_holder = self._lease_holder
        tried: set[str] = set()
        while address := self._next_source(first=first, tried=tried):
            tried.add(address)
            fetch = self._ports.spawn(self._fetch_once(address=address))
            if await self._ports.clock.within(fetch, us=NEXT_SOURCE_US):
                break
        self._is_fetching = False
        if lease_holder.newest_epoch > lease_holder.epoch and (tried or self._asked):
            await self._ports.clock.sleep(us=RETRY_US)
            self.fetch_soon()

    def _next_source(self, *, first: str, tried: set[str]) -> str:
        """The next address to ask, of those known by now; empty if there is none."""
        sources = self._lease_holder.newest_sources
        for address in (first, self._cores.leader, *sources, *self._cores.cores):
            if address and address not in tried and address not in self._asked:
                return address
        return ""

    async def _fetch_once(self, *, address: str) -> bool:
        self._asked.add(address)
        try:
            return await self._fetch_from(address=address)
        finally:
            self._asked.discard(address)

    async def _fetch_from(self, *, address: str) -> bool:
        """Fetch and install what an address has; true if that brought a newer epoch."""
        lease_holder = self._lease_holder
        wanted_epoch = lease_holder.epoch + 1
        packed = await fetch_chunks(
            transport=self._transport,
            clock=self._ports.clock,
            address=address,
            ask=lambda pinned, offset: FetchState(epoch=wanted_epoch, offset=offset, pinned=pinned),
            is_wanted=lambda: lease_holder.epoch < wanted_epoch,
        )
        data = None if packed is None else apply_delta(base=b"", delta=packed)
        return data is not None and self._install(data=data, source=address)

    # --- for others -----------------------------------------------------------------------

    def state_chunk(self, *, ask: FetchState) -> Chunk:
        """A piece of what is installed here, for an edge or a recovery tool that asks."""
        lease_holder, chunks = self._lease_holder, self._chunks
        now_us = self._ports.clock.now_us()
        if not lease_holder.state_bytes:
            return Chunk(is_found=False)
        if chunks.mark != lease_holder.epoch:
            packed = pack_delta(base=b"", target=lease_holder.state_bytes)
            chunks.publish(mark=lease_holder.epoch, data=packed, now_us=now_us)
        return chunks.chunk(least=ask.epoch, pinned=ask.pinned, offset=ask.offset, now_us=now_us)

    def on_announced(self, *, announce: Announce) -> None:
        """Install a state that came with its announcement, so that all edges move on
        within one connection's latency of each other, however far the leader is. Before
        that, hand it on to those that the leader names."""
        lease_holder, source = self._lease_holder, announce.leader_address
        if announce.cluster != lease_holder.cluster and lease_holder.cluster:
            return
        hand_on, announce.hand_on = announce.hand_on, []
        for address in hand_on:
            self._transport.send(address=address, message=announce)
        if not lease_holder.note_epoch(epoch=announce.epoch, source=source):
            return
        state = self._announced_state(announce=announce)
        if not state or not self._install(data=state, source=source):
            self.fetch_soon(source)

    def _announced_state(self, *, announce: Announce) -> bytes | None:
        """The state, or what its delta makes of the installed one."""
        if announce.delta and announce.base_epoch in (0, self._lease_holder.epoch):
            base = self._lease_holder.state_bytes if announce.base_epoch else b""
            return apply_delta(base=base, delta=announce.delta)
        return announce.state

    # --- installing -------------------------------------------------------------------------

    def _install(self, *, data: bytes, source: str) -> bool:
        """Install a state's bytes; false if they can't be read or are not newer."""
        doc = self._read_state(data=data)
        if doc is None:
            return False
        configuration = self._read_configuration(doc=doc, source=source)
        if configuration is None:
            return False
        self._ports.failpoint("edge.before_install")
        if not self._lease_holder.install(
            doc=doc, configuration=configuration, now_us=self._ports.clock.now_us()
        ):
            return False
        self._ports.failpoint("edge.after_install")
        self._journal.add(Installed(epoch=doc.epoch, version=doc.version, source=source))
        self._swim.cluster = doc.cluster
        self._swim.me.version = doc.version
        self._on_installed()
        return True

    def _read_state(self, *, data: bytes) -> StateDoc | None:
        doc = StateDoc()
        try:
            doc.parse(data)
        except (ValueError, IndexError):
            self._journal.add(StateRefused(epoch=0, why="unreadable"))
            return None
        return doc

    def _read_configuration(self, *, doc: StateDoc, source: str) -> Configuration | None:
        """The state's configuration if it is newer, else the installed one."""
        installed = self._lease_holder.configuration
        if not doc.version or doc.version <= installed.version:
            return installed
        outcome: Any = read_configuration(data=doc.document, version=doc.version)
        if isinstance(outcome, Configuration):
            return outcome
        log.error("epoch {} from {} can't be read here", doc.epoch, source)
        self._journal.add(StateRefused(epoch=doc.epoch, why=outcome.kind))
        return None
