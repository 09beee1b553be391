"""Fetches, installs and forwards states of the cluster."""

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

NEXT_SOURCE_DELAY_US = 1_000_000  # then the next source is asked as well


class StateSync:
    """Brings this edge to the newest epoch that it knows of, with one fetch task at a time."""

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
        self._fetching_from: set[str] = set()  # addresses of fetches in flight
        self._chunks = ChunkSource()

    # --- fetching -------------------------------------------------------------------------

    def start_fetch(self, first: str = "") -> None:
        """Fetch the newest state in the background, trying `first` before other sources."""
        if self._is_fetching:
            return
        self._is_fetching = True
        self._ports.spawn(self._fetch(first=first))

    async def _fetch(self, *, first: str) -> None:
        """Ask one source after another.

        A fetch from an unreachable source takes seconds to fail, so the next source is asked
        while it is still in flight.
        """
        lease_holder = self._lease_holder
        tried: set[str] = set()
        while address := self._next_source(first=first, tried=tried):
            tried.add(address)
            fetch = self._ports.spawn(self._fetch_once(address=address))
            if await self._ports.clock.within(fetch, us=NEXT_SOURCE_DELAY_US):
                break
        self._is_fetching = False
        if lease_holder.newest_epoch > lease_holder.epoch and (tried or self._fetching_from):
            await self._ports.clock.sleep(us=RETRY_US)
            self.start_fetch()

    def _next_source(self, *, first: str, tried: set[str]) -> str:
        """The next known address to ask; empty if there is none left."""
        sources = self._lease_holder.newest_sources
        for address in (first, self._cores.leader, *sources, *self._cores.cores):
            if address and address not in tried and address not in self._fetching_from:
                return address
        return ""

    async def _fetch_once(self, *, address: str) -> bool:
        self._fetching_from.add(address)
        try:
            return await self._fetch_from(address=address)
        finally:
            self._fetching_from.discard(address)

    async def _fetch_from(self, *, address: str) -> bool:
        """Fetch and install the state of an address; true if a newer epoch was installed."""
        lease_holder = self._lease_holder
        wanted_epoch = lease_holder.epoch + 1
        packed = await fetch_chunks(
            transport=self._transport,
            clock=self._ports.clock,
            address=address,
            make_request=lambda pinned, offset: FetchState(
                epoch=wanted_epoch, offset=offset, pinned=pinned
            ),
            is_wanted=lambda: lease_holder.epoch < wanted_epoch,
        )
        data = None if packed is None else apply_delta(base=b"", delta=packed)
        return data is not None and self._install(data=data, source=address)

    # --- serving and forwarding -----------------------------------------------------------

    def state_chunk(self, *, ask: FetchState) -> Chunk:
        """A chunk of the installed state, for an edge or a recovery tool that requests it."""
        lease_holder, chunks = self._lease_holder, self._chunks
        now_us = self._ports.clock.now_us()
        if not lease_holder.state_bytes:
            return Chunk(is_found=False)
        if chunks.mark != lease_holder.epoch:
            packed = pack_delta(base=b"", target=lease_holder.state_bytes)
            chunks.publish(mark=lease_holder.epoch, data=packed, now_us=now_us)
        return chunks.chunk(min_mark=ask.epoch, pinned=ask.pinned, offset=ask.offset, now_us=now_us)

    def on_announced(self, *, announce: Announce) -> None:
        """Install a state that came with its announcement.

        The announcement is first forwarded to the edges that the leader lists, so that all
        edges install within one connection's latency of each other, however far away the
        leader is.
        """
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
            self.start_fetch(source)

    def _announced_state(self, *, announce: Announce) -> bytes | None:
        """The announced state, built from its delta if the delta's base is installed."""
        if announce.delta and announce.base_epoch in (0, self._lease_holder.epoch):
            base = self._lease_holder.state_bytes if announce.base_epoch else b""
            return apply_delta(base=base, delta=announce.delta)
        return announce.state

    # --- installing -------------------------------------------------------------------------

    def _install(self, *, data: bytes, source: str) -> bool:
        """Install a serialized state; false if it is invalid or not newer."""
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
        log.error("configuration of epoch {} from {} was rejected", doc.epoch, source)
        self._journal.add(StateRefused(epoch=doc.epoch, why=outcome.kind))
        return None
