"""The lease task: renews, asks peers to witness, fetches and installs states."""

from __future__ import annotations

import asyncio
from typing import Any, Callable

from kelpstage.common.configuration.types import Configuration
from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.event_journal import Journal
from kelpstage.common.log.ring import logger
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.chunks import ChunkSource, fetch_chunks
from kelpstage.common.transport.connections import Lines
from kelpstage.common.transport.delta import apply_delta, pack_delta
from kelpstage.common.transport.messages import (
    Announce,
    Chunk,
    ConfirmEpoch,
    ConfirmEpochReply,
    EdgeContact,
    FetchMembers,
    FetchState,
    LeaseReply,
    Members,
    RegisterEdge,
    RegisterEdgeReply,
    RelayRenew,
    Renew,
    StateDoc,
)
from kelpstage.edge.events import Installed, StateRefused
from kelpstage.edge.gossip.members import ALIVE, SUSPECT
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder

RENEW_US = 500_000
LARGE_RENEW_US = 900_000
SMALL_COUNT = 20
RENEW_STRETCH_US = 10_000
RENEW_JITTER = 0.08
RETRY_US = 60_000
RENEW_WAIT_US = 600_000
LARGE_RENEW_WAIT_US = 450_000
CONTACT_AGAIN_US = 10_000_000
RELAY_WAIT_US = 550_000
RELAYS = 5
CORES_KEPT = 16
RELAY_EVERY_US = 250_000
PASSED_OVER_US = 2_000_000
MEET_US = 2_000_000
MEET_SETTLED_US = 10_000_000
TABLE_US = 1_000_000
TABLE_LONGEST_US = 3_600_000_000
WITNESS_EVERY_US = 300_000
LARGE_WITNESS_EVERY_US = 600_000
WITNESS_SHARE = 0.6
FIRST_WITNESSES = 6
WITNESS_WAIT_US = 500_000
WORRY_US = 800_000
log = logger(name="lease")


def renew_period_us(*, count: int) -> int:
    """From one renewal to the next, for a membership of this size. The longest leaves room
    in a lease of 2 s for one renewal that got no answer and another after it.

    >>> [renew_period_us(count=count) for count in (12, 40, 1400)]
    [500000, 700000, 900000]
    """
    return min(LARGE_RENEW_US, RENEW_US + RENEW_STRETCH_US * max(0, count - SMALL_COUNT))


class LeaseTask:
    """Keeps this edge's right to serve, and its configuration, fresh."""

    def __init__(
        self,
        *,
        ports: Ports,
        lines: Lines,
        lease_holder: LeaseHolder,
        swim: Swim,
        journal: Journal,
        seeds: list[str],
        contact: EdgeContact,
        on_installed: Callable[[], None],
    ) -> None:
        self._ports = ports
        self._lines = lines
        self.lease_holder = lease_holder
        self._swim = swim
        self._journal = journal
        self._seeds = list(seeds)
        self._contact = contact
        self._on_installed = on_installed
        self.cores: list[str] = list(seeds)
        self.leader = ""
        self.last_why = "not asked yet"
        self._turn = 0
        self._known = 0  # mark of what the leader need not tell again
        self._known_by = ""
        self._introduced_us = -CONTACT_AGAIN_US
        self._silent_until: dict[str, int] = {}
        self._is_relaying = False
        self._relayed_us = 0
        self._needs_relay = False  # the last lease came through a peer
        self._fetching = False
        self._state_source = ChunkSource()
        self._wake = asyncio.Event()
        self.is_leaving = False
        for work in (
            self._renew_loop(),
            self._meet_loop(),
            self._table_loop(),
            self._confirm_epoch_loop(),
        ):
            ports.keep(work)

    def use_seeds(self, *, seeds: list[str]) -> None:
        """Other machines are the seeds from now on."""
        self._seeds = list(seeds)

    # --- renewing ------------------------------------------------------------------

    def renew_soon(self) -> None:
        self._wake.set()

    async def _renew_loop(self) -> None:
        while not self.is_leaving:
            self._wake.clear()  # before: who is to renew soon may be renewing just now
            is_granted = await self._renew()
            wait_us = self._period_us() if is_granted else RETRY_US
            await self._ports.clock.within(asyncio.ensure_future(self._wake.wait()), us=wait_us)

    @property
    def _is_small(self) -> bool:
        return len(self.lease_holder.membership) <= SMALL_COUNT

    def _period_us(self) -> int:
        period_us = renew_period_us(count=len(self.lease_holder.membership))
        if self._is_small:
            return period_us
        # Edges that installed together do not renew together for ever.
        return int(period_us * (1 - RENEW_JITTER * self._ports.rand.random()))

    def _worry_us(self) -> int:
        return max(
            WORRY_US, renew_period_us(count=len(self.lease_holder.membership)) + WORRY_US - RENEW_US
        )

    def _renew_message(self, *, target: str) -> Renew:
        """What was told to this leader before is not told again, but for the contact
        now and then."""
        lease_holder = self.lease_holder
        self._contact.incarnation = self._swim.me.incarnation
        now_us = self._ports.clock.now_us()
        is_known = target == self._known_by
        message = Renew(
            edge=lease_holder.me,
            incarnation=self._contact.incarnation,
            epoch=lease_holder.epoch,
            cluster=lease_holder.cluster,
            known=self._known if is_known else 0,
        )
        if not is_known or now_us - self._introduced_us >= CONTACT_AGAIN_US:
            message.contact = self._contact
            self._introduced_us = now_us
        return message

    def _next_core(self) -> str:
        """The leader if it is known, else the cores and seeds by turns; one that gave no
        answer a moment ago is passed over, since each wait for it costs lease."""
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
        message = self._renew_message(target=target)
        self._ports.point("edge.before_renew")
        wait_us = RENEW_WAIT_US if self._is_small else LARGE_RENEW_WAIT_US
        reply = await self._lines.call(address=target, message=message, wait_us=wait_us)
        if isinstance(reply, LeaseReply):
            is_granted = self._take(reply=reply, sent_us=sent_us, target=target)
            self._needs_relay = self._needs_relay and not is_granted
            if not is_granted and not self.leader:
                self._relay_soon(target=target)  # this core may be the one that is cut off
            return is_granted
        self.last_why = (
            f"{target}: {reply.kind if isinstance(reply, KelpstageError) else 'odd reply'}"
        )
        self.leader = self._known_by = ""
        self._silent_until[target] = self._ports.clock.now_us() + PASSED_OVER_US
        self._relay_soon(target=target)
        return False  # meanwhile the other cores are asked from here

    def _relay_soon(self, *, target: str) -> None:
        """Ask through peers, one wave at a time, if the lease is not fresh."""
        now_us = self._ports.clock.now_us()
        is_fresh = now_us - self.lease_holder.lease_asked_us < renew_period_us(
            count=len(self.lease_holder.membership)
        )
        if is_fresh or now_us - self._relayed_us < RELAY_EVERY_US:
            return
        self._relay_now(target=target)

    def _relay_now(self, *, target: str) -> None:
        if not self._is_relaying:
            self._is_relaying, self._relayed_us = True, self._ports.clock.now_us()
            self._ports.spawn(self._renew_through_peers(target=target))

    async def _renew_through_peers(self, *, target: str) -> None:
        """One wave, and another if an epoch was installed meanwhile: the leader may be
        waiting to hear of it."""
        epoch = -1
        try:
            while epoch < self.lease_holder.epoch:
                epoch = self.lease_holder.epoch
                self._needs_relay = await self._renew_through_peer(target=target)
                if not self._needs_relay:
                    break
        finally:
            self._is_relaying = False

    async def _renew_through_peer(self, *, target: str) -> bool:
        """A core that cannot be reached from here may be from elsewhere. Several
        peers are asked at once: some may be behind the same cut. Was it granted?"""
        peers = sorted(
            m.info.address for m in self._swim.members.values() if m.info.status == ALIVE
        )
        peers = self._ports.rand.sample(peers, min(RELAYS, len(peers)))
        sent_us = self._ports.clock.now_us()
        message = RelayRenew(target=target, renew=self._renew_message(target=""))
        calls = [
            self._ports.spawn(
                self._lines.call(address=peer, message=message, wait_us=RELAY_WAIT_US)
            )
            for peer in peers
        ]
        refused: LeaseReply | None = None
        for call in asyncio.as_completed(calls):
            reply = await call
            if not isinstance(reply, LeaseReply):
                continue
            self._swim.outrank(incarnation=reply.newest_incarnation)
            refused = None if reply.is_granted else reply
            if reply.is_granted and self._take(reply=reply, sent_us=sent_us, target=target):
                return True
        if refused is not None and not self.leader:
            self._take(reply=refused, sent_us=sent_us, target=target)
        return False

    def _take(self, *, reply: LeaseReply, sent_us: int, target: str) -> bool:
        lease_holder = self.lease_holder
        if reply.cluster and lease_holder.cluster and reply.cluster != lease_holder.cluster:
            self.last_why = f"{target} belongs to another cluster"
            return False
        self._swim.outrank(incarnation=reply.newest_incarnation)
        self._register_peers(contacts=reply.peers)
        self._learn_cores(reply=reply)
        self.leader = reply.leader_address
        if reply.known >> 32 != self._known >> 32:
            self._introduced_us = (
                -CONTACT_AGAIN_US
            )  # another lease table: it may not know this edge
        self._known, self._known_by = reply.known, reply.leader_address if reply.known else ""
        self.last_why = reply.why
        lease_holder.take_lease(reply=reply, sent_us=sent_us)
        if reply.epoch and lease_holder.note_epoch(epoch=reply.epoch, source=reply.leader_address):
            self.fetch_soon(first=reply.leader_address)
        return reply.is_granted

    def _learn_cores(self, *, reply: LeaseReply) -> None:
        """The leader's list replaces what is known; that of a core which does not lead may
        be of any age, so that it only adds."""
        if not reply.cores:
            return
        is_from_leader = bool(reply.known)
        kept = [] if is_from_leader else self.cores
        self.cores = list(dict.fromkeys([*reply.cores, *kept]))[:CORES_KEPT]

    # --- meeting -----------------------------------------------------------------------

    async def _meet_loop(self) -> None:
        """Find peers through the seeds, now and again."""
        while True:
            known = list(dict.fromkeys(self._seeds + self.cores))
            is_settled = self._knows_enough()
            if is_settled:
                known = [self._ports.rand.choice(known)]
            await asyncio.gather(*(self._meet(address=address) for address in known))
            await self._ports.clock.sleep(us=self._meet_again_us())

    def _knows_enough(self) -> bool:
        """Is there a fresh lease, and is most of the membership known?"""
        known = len(self._swim.live()) * 2 > len(self.lease_holder.membership)
        is_fresh = self._ports.clock.now_us() - self.lease_holder.lease_asked_us < MEET_US
        return known and is_fresh and bool(self._swim.members)

    def _meet_again_us(self) -> int:
        if not self._swim.members:
            return RETRY_US * 3
        if not self._knows_enough():
            return MEET_US
        return int(MEET_SETTLED_US * (0.75 + 0.5 * self._ports.rand.random()))

    async def _meet(self, *, address: str) -> None:
        self._contact.incarnation = self._swim.me.incarnation
        message = RegisterEdge(
            edge=self.lease_holder.me, incarnation=self._contact.incarnation, contact=self._contact
        )
        reply = await self._lines.call(address=address, message=message, wait_us=RENEW_WAIT_US)
        if not isinstance(reply, RegisterEdgeReply):
            return
        if (
            self.lease_holder.cluster
            and reply.cluster
            and reply.cluster != self.lease_holder.cluster
        ):
            return
        self._register_peers(contacts=reply.peers)

    async def _table_loop(self) -> None:
        """While fewer edges are known than are on the membership, ask one that is known for
        its whole table; rarely, if that brings nothing: some may be gone for good. Soon
        again, once others have turned up by another way, as after a cut."""
        clock, wait_us, asked_us, known = self._ports.clock, TABLE_US, 0, 0
        while True:
            await clock.sleep(us=TABLE_US)
            if known < self._swim.told_count():
                wait_us = TABLE_US
            known = self._swim.told_count()
            if self._is_small or known >= len(self.lease_holder.membership):
                continue
            if clock.now_us() - asked_us < wait_us:
                continue
            asked_us = clock.now_us()
            if not await self._ask_table():
                wait_us = min(2 * wait_us, TABLE_LONGEST_US)

    async def _ask_table(self) -> int:
        peer = self._swim.some_peer()
        if peer is None:
            return 0
        address = self._swim.members[peer].info.address
        message = FetchMembers(cluster=self.lease_holder.cluster)
        reply = await self._lines.call(address=address, message=message, wait_us=RENEW_WAIT_US)
        if not isinstance(reply, Members) or reply.cluster != self.lease_holder.cluster:
            return 0
        before = self._swim.told_count()
        self._swim.take_table(table=reply.members, now_us=self._ports.clock.now_us())
        return self._swim.told_count() - before

    def _register_peers(self, *, contacts: list[EdgeContact]) -> None:
        now_us = self._ports.clock.now_us()
        for contact in contacts:
            self._swim.meet(
                name=contact.name,
                address=contact.address,
                incarnation=contact.incarnation,
                now_us=now_us,
                zone=contact.zone,
            )

    # --- witnesses ------------------------------------------------------------------------

    async def _confirm_epoch_loop(self) -> None:
        """When renewals fail, ask peers what they know, before the lease lapses."""
        while True:
            await self._ports.clock.sleep(
                us=WITNESS_EVERY_US if self._is_small else LARGE_WITNESS_EVERY_US
            )
            lease_holder = self.lease_holder
            now_us = self._ports.clock.now_us()
            if now_us - lease_holder.lease_asked_us < self._worry_us():
                continue
            if not lease_holder.vouches and not lease_holder.has_forgotten:
                continue
            addresses = {
                name: m.info.address
                for name, m in sorted(self._swim.members.items())
                if name in (lease_holder.membership or [name]) and m.info.status in (ALIVE, SUSPECT)
            }
            for name in self._whom_to_ask(names=list(addresses)):
                self._ports.spawn(self._confirm_epoch_at(name=name, address=addresses[name]))

    def _whom_to_ask(self, *, names: list[str]) -> list[str]:
        """All of them, or in a large fleet somewhat more than a majority, by lot: others
        the next time. Whoever has forgotten asks all, for what they remember of it; but
        as long as it has no state either, a few, for that."""
        lease_holder = self.lease_holder
        if lease_holder.has_forgotten and not lease_holder.membership and len(names) > SMALL_COUNT:
            return self._ports.rand.sample(names, FIRST_WITNESSES)
        if self._is_small or lease_holder.has_forgotten:
            return names
        enough = int(len(lease_holder.membership) * WITNESS_SHARE) + 1
        return self._ports.rand.sample(names, min(enough, len(names)))

    async def _confirm_epoch_at(self, *, name: str, address: str) -> None:
        lease_holder = self.lease_holder
        asked_us = self._ports.clock.now_us()
        reply = await self._lines.call(
            address=address,
            message=ConfirmEpoch(
                edge=lease_holder.me, cluster=lease_holder.cluster, epoch=lease_holder.epoch
            ),
            wait_us=WITNESS_WAIT_US,
        )
        if not isinstance(reply, ConfirmEpochReply) or reply.edge != name:
            return
        lease_holder.on_epoch_confirmed(reply=reply, asked_us=asked_us)
        is_first = lease_holder.has_forgotten and not lease_holder.cluster and reply.vouches
        is_known = is_first or reply.cluster == lease_holder.cluster
        if is_known and lease_holder.note_epoch(epoch=reply.epoch, source=address):
            self.fetch_soon(first=address)

    # --- states -----------------------------------------------------------------------------

    def fetch_soon(self, *, first: str = "") -> None:
        """Fetch the newest state, from `first` if it has it."""
        if self._fetching:
            return
        self._fetching = True
        self._ports.spawn(self._fetch(first=first))

    async def _fetch(self, *, first: str) -> None:
        lease_holder = self.lease_holder
        sources = [
            a
            for a in dict.fromkeys([first, self.leader, *lease_holder.newest_at, *self.cores])
            if a
        ]
        for address in sources:
            epoch = lease_holder.epoch
            packed = await fetch_chunks(
                lines=self._lines,
                clock=self._ports.clock,
                address=address,
                ask=lambda pinned, offset, least=epoch + 1: FetchState(
                    epoch=least, offset=offset, pinned=pinned
                ),
                is_wanted=lambda least=epoch + 1: lease_holder.epoch < least,
            )
            data = None if packed is None else apply_delta(base=b"", delta=packed)
            if data is not None and self._install(data=data, source=address):
                break
        self._fetching = False
        if lease_holder.newest_epoch > lease_holder.epoch and sources:
            await self._ports.clock.sleep(us=RETRY_US)
            self.fetch_soon()

    def state_chunk(self, *, ask: FetchState) -> Chunk:
        """A piece of what is installed here, for an edge or a recovery tool that asks."""
        lease_holder, source, now_us = (
            self.lease_holder,
            self._state_source,
            self._ports.clock.now_us(),
        )
        if not lease_holder.doc_bytes:
            return Chunk(is_found=False)
        if source.mark != lease_holder.epoch:
            packed = pack_delta(base=b"", whole=lease_holder.doc_bytes)
            source.publish(mark=lease_holder.epoch, data=packed, now_us=now_us)
        return source.chunk(least=ask.epoch, pinned=ask.pinned, offset=ask.offset, now_us=now_us)

    def take_announced(self, *, announce: Announce) -> None:
        """Install a state that came with its announcement: so that all edges move on
        within one line's time of each other, however far the leader. Then hand it on
        to those that the leader names."""
        lease_holder, source = self.lease_holder, announce.leader_address
        if announce.cluster != lease_holder.cluster and lease_holder.cluster:
            return
        hand_on, announce.hand_on = announce.hand_on, []
        for address in hand_on:
            self._lines.send(address=address, message=announce)
        if not lease_holder.note_epoch(epoch=announce.epoch, source=source):
            return
        state: bytes | None = announce.state
        if announce.delta and announce.base_epoch in (0, lease_holder.epoch):
            base = lease_holder.doc_bytes if announce.base_epoch else b""
            state = apply_delta(base=base, delta=announce.delta)
        if not state or not self._install(data=state, source=source):
            self.fetch_soon(first=source)

    def _install(self, *, data: bytes, source: str) -> bool:
        try:
            doc = StateDoc().parse(data)
        except (ValueError, IndexError):
            self._journal.add(StateRefused(epoch=0, why="unreadable"))
            return False
        configuration: Any = self.lease_holder.configuration
        if doc.version and doc.version > configuration.version:
            configuration = read_configuration(data=doc.document, version=doc.version)
        if not isinstance(configuration, Configuration):
            log.error("epoch {} from {} can't be read here", doc.epoch, source)
            self._journal.add(StateRefused(epoch=doc.epoch, why=configuration.kind))
            return False
        self._ports.point("edge.before_install")
        if not self.lease_holder.install(
            doc=doc, configuration=configuration, now_us=self._ports.clock.now_us()
        ):
            return False
        self._ports.point("edge.after_install")
        self._journal.add(Installed(epoch=doc.epoch, version=doc.version, source=source))
        self._swim.cluster = doc.cluster
        self._swim.me.version = doc.version
        self._on_installed()
        self.renew_soon()
        if self._needs_relay:
            self._relay_now(target=self._next_core())
        return True

    # --- leaving ------------------------------------------------------------------------------

    async def leave(self) -> None:
        """Give the lease back: this edge serves no more."""
        self.is_leaving = True
        target = self._next_core()
        message = self._renew_message(target=target)
        message.is_leaving = True
        await self._lines.call(address=target, message=message, wait_us=300_000)
