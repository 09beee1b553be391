"""The grant task: renews, asks partners to witness, fetches and installs states."""

from __future__ import annotations

import asyncio
from typing import Any, Callable

from kelpstage.base.blueprint.check import read_blueprint
from kelpstage.base.blueprint.types import Blueprint
from kelpstage.base.defects import Defect
from kelpstage.base.journal import Journal
from kelpstage.base.log.ring import logger
from kelpstage.base.ports.types import Ports
from kelpstage.base.wire.chunks import fetch_chunks
from kelpstage.base.wire.lines import Lines
from kelpstage.base.wire.messages import (
    EdgeContact,
    FetchState,
    GrantReply,
    Meet,
    MeetReply,
    RelayRenew,
    Renew,
    StateDoc,
    Witness,
    WitnessReply,
)
from kelpstage.edge.events import Installed, StateRefused
from kelpstage.edge.gossip.swim import ALIVE, SUSPECT, Swim
from kelpstage.edge.grant.keeper import Keeper

RENEW_US = 500_000
RETRY_US = 60_000
RENEW_WAIT_US = 600_000
RELAY_WAIT_US = 550_000
RELAYS = 5
RELAY_EVERY_US = 250_000
PASSED_OVER_US = 2_000_000
MEET_US = 2_000_000
WITNESS_EVERY_US = 300_000
WITNESS_WAIT_US = 500_000
WORRY_US = 800_000
log = logger(name="grant")


class GrantTask:
    """Keeps this edge's right to serve, and its blueprint, fresh."""

    def __init__(
        self,
        *,
        ports: Ports,
        lines: Lines,
        keeper: Keeper,
        swim: Swim,
        journal: Journal,
        seeds: list[str],
        contact: EdgeContact,
        on_installed: Callable[[], None],
    ) -> None:
        self._ports = ports
        self._lines = lines
        self.keeper = keeper
        self._swim = swim
        self._journal = journal
        self._seeds = list(seeds)
        self._contact = contact
        self._on_installed = on_installed
        self.cores: list[str] = list(seeds)
        self.leader = ""
        self.last_why = "not asked yet"
        self._turn = 0
        self._silent_until: dict[str, int] = {}
        self._is_relaying = False
        self._relayed_us = 0
        self._fetching = False
        self._wake = asyncio.Event()
        self.is_leaving = False
        for work in (self._renew_loop(), self._meet_loop(), self._witness_loop()):
            ports.keep(work)

    # --- renewing ------------------------------------------------------------------

    def renew_soon(self) -> None:
        self._wake.set()

    async def _renew_loop(self) -> None:
        while not self.is_leaving:
            is_granted = await self._renew()
            self._wake.clear()
            wait_us = RENEW_US if is_granted else RETRY_US
            await self._ports.clock.within(asyncio.ensure_future(self._wake.wait()), us=wait_us)

    def _renew_message(self) -> Renew:
        keeper = self.keeper
        return Renew(
            edge=keeper.me,
            incarnation=self._contact.incarnation,
            epoch=keeper.epoch,
            cluster=keeper.cluster,
            contact=self._contact,
        )

    def _next_core(self) -> str:
        """The leader if it is known, else the cores and seeds by turns; one that gave no
        answer a moment ago is passed over, since each wait for it costs grant."""
        if self.leader:
            return self.leader
        known = list(dict.fromkeys(self.cores + self._seeds))
        now_us = self._ports.clock.now_us()
        known = [one for one in known if now_us >= self._silent_until.get(one, 0)] or known
        self._turn += 1
        return known[self._turn % len(known)]

    async def _renew(self) -> bool:
        target = self._next_core()
        sent_us = self._ports.clock.now_us()
        message = self._renew_message()
        self._ports.point("edge.before_renew")
        reply = await self._lines.call(address=target, message=message, wait_us=RENEW_WAIT_US)
        if isinstance(reply, GrantReply):
            is_granted = self._take(reply=reply, sent_us=sent_us, target=target)
            if not is_granted and not self.leader:
                self._relay_soon(target=target)  # this core may be the one that is cut off
            return is_granted
        self.last_why = f"{target}: {reply.kind if isinstance(reply, Defect) else 'odd reply'}"
        self.leader = ""
        self._silent_until[target] = self._ports.clock.now_us() + PASSED_OVER_US
        self._relay_soon(target=target)
        return False  # meanwhile the other cores are asked from here

    def _relay_soon(self, *, target: str) -> None:
        """Ask through partners, one wave at a time, if the grant is not fresh."""
        now_us = self._ports.clock.now_us()
        is_fresh = now_us - self.keeper.granted_us < RENEW_US
        if is_fresh or self._is_relaying or now_us - self._relayed_us < RELAY_EVERY_US:
            return
        self._is_relaying, self._relayed_us = True, now_us
        self._ports.spawn(self._renew_through_partner(target=target))

    async def _renew_through_partner(self, *, target: str) -> None:
        """A core that cannot be reached from here may be from elsewhere. Several
        partners are asked at once: some may be behind the same cut."""
        partners = sorted(
            m.info.address for m in self._swim.members.values() if m.info.status == ALIVE
        )
        partners = self._ports.rand.sample(partners, min(RELAYS, len(partners)))
        sent_us = self._ports.clock.now_us()
        message = RelayRenew(target=target, renew=self._renew_message())
        calls = [
            self._ports.spawn(
                self._lines.call(address=partner, message=message, wait_us=RELAY_WAIT_US)
            )
            for partner in partners
        ]
        refused: GrantReply | None = None
        for call in asyncio.as_completed(calls):
            reply = await call
            if not isinstance(reply, GrantReply):
                continue
            refused = None if reply.is_granted else reply
            if reply.is_granted and self._take(reply=reply, sent_us=sent_us, target=target):
                break
        if refused is not None and not self.leader:
            self._take(reply=refused, sent_us=sent_us, target=target)
        self._is_relaying = False

    def _take(self, *, reply: GrantReply, sent_us: int, target: str) -> bool:
        keeper = self.keeper
        if reply.cluster and keeper.cluster and reply.cluster != keeper.cluster:
            self.last_why = f"{target} belongs to another cluster"
            return False
        self._meet_partners(contacts=reply.partners)
        if reply.cores:
            self.cores = list(reply.cores)
        self.leader = reply.leader_address
        self.last_why = reply.why
        keeper.take_grant(reply=reply, sent_us=sent_us)
        if reply.epoch and keeper.note_epoch(epoch=reply.epoch, source=reply.leader_address):
            self.fetch_soon(first=reply.leader_address)
        return reply.is_granted

    # --- meeting -----------------------------------------------------------------------

    async def _meet_loop(self) -> None:
        """Find partners through the seeds, now and again."""
        while True:
            known = list(dict.fromkeys(self._seeds + self.cores))
            await asyncio.gather(*(self._meet(address=address) for address in known))
            has_partners = bool(self._swim.members)
            await self._ports.clock.sleep(us=MEET_US if has_partners else RETRY_US * 3)

    async def _meet(self, *, address: str) -> None:
        message = Meet(
            edge=self.keeper.me, incarnation=self._contact.incarnation, contact=self._contact
        )
        reply = await self._lines.call(address=address, message=message, wait_us=RENEW_WAIT_US)
        if not isinstance(reply, MeetReply):
            return
        if self.keeper.cluster and reply.cluster and reply.cluster != self.keeper.cluster:
            return
        self._meet_partners(contacts=reply.partners)

    def _meet_partners(self, *, contacts: list[EdgeContact]) -> None:
        now_us = self._ports.clock.now_us()
        for contact in contacts:
            self._swim.meet(
                name=contact.name,
                address=contact.address,
                incarnation=contact.incarnation,
                now_us=now_us,
            )

    # --- witnesses ------------------------------------------------------------------------

    async def _witness_loop(self) -> None:
        """When renewals fail, ask partners what they know, before the grant lapses."""
        while True:
            await self._ports.clock.sleep(us=WITNESS_EVERY_US)
            keeper = self.keeper
            now_us = self._ports.clock.now_us()
            if now_us - keeper.granted_us < WORRY_US:
                continue
            if not keeper.vouches and not keeper.has_forgotten:
                continue
            addresses = {
                name: m.info.address
                for name, m in sorted(self._swim.members.items())
                if name in (keeper.roster or [name]) and m.info.status in (ALIVE, SUSPECT)
            }
            for name, address in addresses.items():
                self._ports.spawn(self._ask_witness(name=name, address=address))

    async def _ask_witness(self, *, name: str, address: str) -> None:
        keeper = self.keeper
        asked_us = self._ports.clock.now_us()
        reply = await self._lines.call(
            address=address,
            message=Witness(edge=keeper.me, cluster=keeper.cluster, epoch=keeper.epoch),
            wait_us=WITNESS_WAIT_US,
        )
        if not isinstance(reply, WitnessReply) or reply.edge != name:
            return
        keeper.take_witness(reply=reply, asked_us=asked_us)
        is_first = keeper.has_forgotten and not keeper.cluster and reply.vouches
        if is_first or reply.cluster == keeper.cluster:
            if keeper.note_epoch(epoch=reply.epoch, source=address):
                self.fetch_soon(first=address)

    # --- states -----------------------------------------------------------------------------

    def fetch_soon(self, *, first: str = "") -> None:
        """Fetch the newest state, from `first` if it has it."""
        if self._fetching:
            return
        self._fetching = True
        self._ports.spawn(self._fetch(first=first))

    async def _fetch(self, *, first: str) -> None:
        keeper = self.keeper
        sources = [a for a in dict.fromkeys([first, self.leader, *keeper.newest_at, *self.cores]) if a]
        for address in sources:
            epoch = keeper.epoch
            data = await fetch_chunks(
                lines=self._lines,
                address=address,
                ask=lambda offset: FetchState(epoch=epoch + 1, offset=offset),
            )
            if data is not None and self._install(data=data, source=address):
                break
        self._fetching = False
        if keeper.newest_epoch > keeper.epoch and sources:
            await self._ports.clock.sleep(us=RETRY_US)
            self.fetch_soon()

    def take_announced(self, *, state: bytes, source: str) -> bool:
        """Install a state that came with its announcement: so that all edges move on
        within one line's time of each other, however far the leader."""
        return bool(state) and self._install(data=state, source=source)

    def _install(self, *, data: bytes, source: str) -> bool:
        try:
            doc = StateDoc().parse(data)
        except (ValueError, IndexError):
            self._journal.add(StateRefused(epoch=0, why="unreadable"))
            return False
        blueprint: Any = self.keeper.blueprint
        if doc.version and doc.version > blueprint.version:
            blueprint = read_blueprint(data=doc.document, version=doc.version)
        if not isinstance(blueprint, Blueprint):
            log.error("epoch {} from {} can't be read here", doc.epoch, source)
            self._journal.add(StateRefused(epoch=doc.epoch, why=blueprint.kind))
            return False
        self._ports.point("edge.before_install")
        if not self.keeper.install(
            doc=doc, blueprint=blueprint, now_us=self._ports.clock.now_us()
        ):
            return False
        self._ports.point("edge.after_install")
        self._journal.add(Installed(epoch=doc.epoch, version=doc.version, source=source))
        self._swim.cluster = doc.cluster
        self._swim.me.version = doc.version
        self._on_installed()
        self.renew_soon()
        return True

    # --- leaving -------------------------------------------------------------------------------

    async def leave(self) -> None:
        """Give the grant back: this edge serves no more."""
        self.is_leaving = True
        message = self._renew_message()
        message.is_leaving = True
        await self._lines.call(address=self._next_core(), message=message, wait_us=300_000)
