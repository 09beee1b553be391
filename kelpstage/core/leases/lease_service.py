"""The leader's lease service: leases for edges, and the settling of what was committed.

Epochs change one at a time: a put or a change of the membership is proposed only
when no edge can serve the epoch before the last any more.
"""

from __future__ import annotations

import asyncio
from typing import Callable

from tornado.locks import Condition, Lock

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import EdgeAliveError, NoLeaderError, UnknownEdgeError
from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Lines
from kelpstage.common.transport.delta import pack_delta
from kelpstage.common.transport.messages import Announce, EdgeContact, LeaseReply, Renew, StateDoc
from kelpstage.core.events import EpochSettled, MembershipChanged
from kelpstage.core.leases.configuration_writes import ConfigurationWrites
from kelpstage.core.leases.lease_table import LEASE_SPAN_US, LeaseTable
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.commands import AddEdge, Command, RemoveEdge
from kelpstage.core.state.outcomes import MembershipSet

ANNOUNCED_BYTES = 256 * 1024
RELAYED_FROM = 20  # edges; fewer than that are told directly
ANNOUNCE_AGAIN_US = 250_000
CONTACTS_TOLD = 32
LARGE_CONTACTS_TOLD = 8  # edges learn the rest from each other's tables
CONFIRM_US = 1_000_000
CONFIRM_GAP_US = 50_000  # between the beginnings of two rounds, on memberships above that
SETTLE_LOOK_US = 50_000
MEMBERSHIP_WAIT_US = 5_000_000


class LeaseService:
    """Leases, puts and the membership, as the leader keeps them."""

    def __init__(
        self,
        *,
        ports: Ports,
        lines: Lines,
        journal: Journal,
        task: ReplicaTask,
        own: str,
        tolerance: int = 0,
    ) -> None:
        self._ports = ports
        self._lines = lines
        self._journal = journal
        self._task = task
        self._own = own
        self.change = Lock()
        self._news = Condition()
        self._joining: dict[str, None] = {}
        self._is_adding = False
        self._shown_epoch = 0
        self._shown: StateDoc | None = None  # shares the document's bytes with the state
        self._shown_packed = b""  # the same compressed, once it is needed
        self._queued_confirm: asyncio.Future | None = None
        self._is_confirming = False
        self._gone: frozenset = frozenset()
        self.lease_table = LeaseTable(since_us=ports.clock.now_us())
        self.puts = ConfigurationWrites(
            ports=ports, journal=journal, task=task, lease_service=self, tolerance=tolerance
        )

    # --- told by the replica's task ---------------------------------------------------

    def took_lead(self) -> None:
        """Begin with a lease table that knows of no lease yet."""
        self.lease_table = LeaseTable(since_us=self._ports.clock.now_us())

    def applied(self) -> None:
        """Tell every edge at once when the epoch has moved on."""
        epoch = self._task.machine.state.epoch
        if epoch == self._shown_epoch:
            return
        base_epoch, base = self._shown_epoch, self._shown
        self._shown_epoch, self._shown = epoch, self._task.machine.doc()
        self._shown_packed = b""
        if not self._task.is_leader:
            return
        contacts = self.lease_table.contacts(now_us=self._ports.clock.now_us())
        state = bytes(self._shown)
        delta = pack_delta(base=b"" if base is None else bytes(base), whole=state)
        message = self._announce(delta=delta, base_epoch=base_epoch)
        if len(contacts) > RELAYED_FROM:
            self._announce_by_zone(contacts=contacts, message=message)
            self._ports.spawn(self._announce_again(epoch=epoch))
            return
        for contact in contacts:
            holder = self.lease_table.holder(edge=contact.name)
            is_at_base = holder is not None and holder.epoch == message.base_epoch
            fits = is_at_base or not message.base_epoch
            self._announce_to(contact=contact, message=message if fits else self._announce_whole())

    def _announce_whole(self) -> Announce:
        """The newest state whole, for edges that do not have the one before it."""
        if not self._shown_packed:
            self._shown_packed = pack_delta(base=b"", whole=bytes(self._shown))
        return self._announce(delta=self._shown_packed)

    def _announce(self, *, delta: bytes, base_epoch: int = 0) -> Announce:
        if len(delta) > ANNOUNCED_BYTES:
            delta = b""  # to be fetched in chunks
        return Announce(
            cluster=self._task.cluster,
            epoch=self._shown_epoch,
            leader_address=self._own,
            delta=delta,
            base_epoch=base_epoch,
        )

    def _send_announce(self, *, address: str, message: Announce) -> None:
        self._ports.point("core.before_announce")
        self._lines.send(address=address, message=message)

    def _announce_to(self, *, contact: EdgeContact, message: Announce) -> None:
        """To one edge; through the edge that carries its renewals, if it needs one."""
        holder = self.lease_table.holder(edge=contact.name)
        relay = holder.relayed_by if holder else ""
        message.hand_on = [contact.address] if relay else []
        self._send_announce(address=relay or contact.address, message=message)

    def _announce_by_zone(self, *, contacts: list[EdgeContact], message: Announce) -> None:
        """To one edge of each zone, which hands it on to the others there."""
        zones: dict[str, list[str]] = {}
        for contact in contacts:
            zones.setdefault(contact.zone, []).append(contact.address)
        for _, addresses in sorted(zones.items()):
            first = self._ports.rand.randrange(len(addresses))
            message.hand_on = addresses[:first] + addresses[first + 1 :]
            self._send_announce(address=addresses[first], message=message)

    async def _announce_again(self, *, epoch: int) -> None:
        """Directly to those that have not said that they have it: the one that was to
        hand it on may be gone."""
        await self._ports.clock.sleep(us=ANNOUNCE_AGAIN_US)
        if epoch != self._shown_epoch or not self._task.is_leader:
            return
        for contact in self.lease_table.contacts(now_us=self._ports.clock.now_us()):
            holder = self.lease_table.holder(edge=contact.name)
            if holder is not None and holder.epoch < epoch:
                self._announce_to(contact=contact, message=self._announce_whole())

    # --- leases ---------------------------------------------------------------------------

    async def renew(self, *, ask: Renew) -> LeaseReply:
        """Give an edge a lease, if this leader is confirmed after its asking."""
        task = self._task
        if ask.cluster and ask.cluster != task.cluster:
            return LeaseReply(cluster=task.cluster, why="another cluster")
        lease_table = self.lease_table
        now_us = self._ports.clock.now_us()
        if ask.is_leaving:
            lease_table.give_back(edge=ask.edge, incarnation=ask.incarnation)
            self._news.notify_all()
            return LeaseReply(cluster=task.cluster, why="leaving")
        if ask.cluster:
            is_newest = lease_table.heard(
                edge=ask.edge,
                incarnation=ask.incarnation,
                epoch=ask.epoch,
                contact=ask.contact,
                now_us=now_us,
                relayed_by=ask.relayed_by,
            )
            if not is_newest:
                return self._superseded(lease_table=lease_table, edge=ask.edge)
            self._news.notify_all()
        error = await self._confirm()
        if error is not None or lease_table is not self.lease_table:
            return LeaseReply(cluster=task.cluster, why=error.why if error else "lead changed")
        if not ask.cluster and not lease_table.heard(
            edge=ask.edge,
            incarnation=ask.incarnation,
            epoch=0,
            contact=ask.contact,
            now_us=now_us,
            relayed_by=ask.relayed_by,
        ):
            return self._superseded(lease_table=lease_table, edge=ask.edge)
        state = task.machine.state
        is_on_membership = ask.edge in state.membership
        lease_table.note_cores(cores=[member.address for member in task.raft.members.current])
        peers, cores = lease_table.news_for(
            known=ask.known,
            now_us=now_us,
            limit=CONTACTS_TOLD if lease_table.count() <= RELAYED_FROM else LARGE_CONTACTS_TOLD,
        )
        reply = LeaseReply(
            is_granted=is_on_membership,
            cluster=task.cluster,
            epoch=state.epoch,
            version=state.version,
            span_us=LEASE_SPAN_US,
            leader_address=self._own,
            cores=cores,
            is_on_membership=is_on_membership,
            peers=peers,
            known=lease_table.mark(),
        )
        if not is_on_membership:
            reply.why = "joining the membership"
            self._begin_join(edge=ask.edge)
            return reply
        self._ports.point("core.before_lease")
        lease_table.record_lease(
            edge=ask.edge, epoch=state.epoch, now_us=self._ports.clock.now_us()
        )
        return reply

    def _superseded(self, *, lease_table: LeaseTable, edge: str) -> LeaseReply:
        """No lease for an incarnation below one that was heard. It may be the newer process
        all the same, on a clock that was stepped back: it takes a number above."""
        holder = lease_table.holder(edge=edge)
        return LeaseReply(
            cluster=self._task.cluster,
            why="superseded by a newer incarnation",
            leader_address=self._own,
            newest_incarnation=holder.incarnation if holder else 0,
        )

    async def _confirm(self) -> KelpstageError | None:
        """Is this leader confirmed, by a round that began after now? One round stands
        for all that asked before it began; one at a time is under way."""
        if self._queued_confirm is None:
            self._queued_confirm = asyncio.get_running_loop().create_future()
        asked = self._queued_confirm
        if not self._is_confirming:
            self._is_confirming = True
            self._ports.spawn(self._confirm_rounds())
        return await asyncio.shield(asked)

    async def _confirm_rounds(self) -> None:
        try:
            while self._queued_confirm is not None:
                asked, self._queued_confirm = self._queued_confirm, None
                began_us = self._ports.clock.now_us()
                asked.set_result(await self._task.confirm(wait_us=CONFIRM_US))
                await self._pause_confirming(began_us=began_us)
        finally:
            self._is_confirming = False

    async def _pause_confirming(self, *, began_us: int) -> None:
        clock = self._ports.clock
        left_us = began_us + CONFIRM_GAP_US - clock.now_us()
        if left_us > 0 and len(self._task.machine.state.membership) > RELAYED_FROM:
            await clock.sleep(us=left_us)

    def _begin_join(self, *, edge: str) -> None:
        self._joining[edge] = None
        if not self._is_adding:
            self._is_adding = True
            self._ports.spawn(self._join())

    async def _join(self) -> None:
        """Who asks while a change is settled joins with the next one, together."""
        try:
            while self._joining:
                if await self._set_membership(make=self._take_joining) is not None:
                    self._joining.clear()  # they ask again
        finally:
            self._is_adding = False

    def _take_joining(self) -> Command:
        edges, self._joining = list(self._joining), {}
        return Command(add=AddEdge(edge=edges[0], more=edges[1:]))

    async def _set_membership(self, *, make: Callable[[], Command]) -> KelpstageError | None:
        async with self.change:
            # While this waited its turn, the lead may have been elsewhere.
            error = await self._task.confirm(wait_us=CONFIRM_US)
            if error is not None:
                return error
            if not await self.settled(
                epoch=self._task.machine.state.epoch, wait_us=MEMBERSHIP_WAIT_US
            ):
                return NoLeaderError(why="the epoch before is not settled")
            outcome = await self._task.propose(
                data=bytes(make()), put_id="", wait_us=MEMBERSHIP_WAIT_US
            )
            if not isinstance(outcome, MembershipSet):
                return outcome
            self._journal.add(
                MembershipChanged(membership=list(self._task.machine.state.membership))
            )
            await self.settled(epoch=outcome.epoch, wait_us=MEMBERSHIP_WAIT_US)
            return None

    async def settled(self, *, epoch: int, wait_us: int) -> bool:
        """Wait until no edge can serve an epoch older than this one."""
        clock, lease_table = self._ports.clock, self.lease_table
        started_us = clock.now_us()
        while True:
            now_us = clock.now_us()
            if lease_table is not self.lease_table:
                return False  # another lead: what is the newest has to be asked anew
            if self.is_settled(epoch=epoch):
                self._journal.add(EpochSettled(epoch=epoch, after_us=now_us - started_us))
                return True
            if now_us - started_us > wait_us or not self._task.is_leader:
                return False
            await self.heard_news(wait_us=SETTLE_LOOK_US)

    async def heard_news(self, *, wait_us: int) -> None:
        """Wait until an edge has said something, or so long."""
        await self._ports.clock.within(asyncio.ensure_future(self._news.wait()), us=wait_us)

    # --- operators ---------------------------------------------------------------------------

    def is_settled(self, *, epoch: int) -> bool:
        """Can no edge serve an epoch older than this one? If the newest epoch added
        several edges at once, most of the membership before it must have it as well, so
        that no majority of that one vouches for what was before."""
        state = self._task.machine.state
        now_us = self._ports.clock.now_us()
        memberships = [state.membership]
        if epoch == state.epoch and state.old_membership:
            memberships.append(state.old_membership)
        return all(
            self.lease_table.is_settled(
                epoch=epoch, membership=list(membership), now_us=now_us, gone=self._gone
            )
            for membership in memberships
        )

    async def remove_edges(self, *, edges: list[str]) -> MembershipSet | KelpstageError:
        """Take edges that are gone for good off the membership, one after the other.

        Named together, they may be most of the membership: none of them speaks for an
        older epoch any more, so the others can settle what they could not before.
        """
        error = await self._task.confirm(wait_us=CONFIRM_US)
        if error is not None:
            return error
        for edge in edges:
            error = self._still_here(edge=edge)
            if error is not None:
                return error
        self._gone = frozenset(edges)
        try:
            for edge in edges:
                command = Command(remove=RemoveEdge(edge=edge))
                error = await self._set_membership(make=lambda command=command: command)
                if error is not None:
                    return error
        finally:
            self._gone = frozenset()
        return MembershipSet(epoch=self._task.machine.state.epoch)

    def _still_here(self, *, edge: str) -> KelpstageError | None:
        if edge not in self._task.machine.state.membership:
            return UnknownEdgeError(edge=edge)
        now_us = self._ports.clock.now_us()
        holder = self.lease_table.holder(edge=edge)
        heard_us = self.lease_table.since_us if holder is None else holder.heard_us
        if now_us - heard_us < 2 * LEASE_SPAN_US:
            return EdgeAliveError(edge=edge, heard_us_ago=now_us - heard_us)
        return None
