"""Announcements of a new epoch by the leader to the edges.

An announcement carries the state as a delta against the epoch before, or completely, or
neither if it is large: the edge fetches that in chunks. On large memberships one edge of
each zone relays it to the others. Announcements only save time: an edge that gets none
learns of the newest epoch from the reply to its next renewal.
"""

from __future__ import annotations

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.delta import pack_delta
from kelpstage.common.transport.messages import Announce, EdgeContact, StateDoc
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.replica_task import ReplicaTask

ANNOUNCED_BYTES = 256 * 1024
RELAYED_FROM_EDGES = 20  # on fewer edges each is sent to directly
ANNOUNCE_AGAIN_US = 250_000


class EpochAnnouncer:
    """Announces each epoch once, as soon as it is applied on the leader."""

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        task: ReplicaTask,
        settlement: EpochSettlement,
        own: str,
    ) -> None:
        """`own` is the address under which edges reach this core."""
        self._ports = ports
        self._transport = transport
        self._task = task
        self._settlement = settlement
        self._own = own
        self._announced_epoch = 0
        self._announced: StateDoc | None = None  # shares the document's bytes with the state
        self._packed_state = b""  # the same compressed, once it is needed

    def announce_newest(self) -> None:
        """Announce the newest epoch to every edge, if it was not announced before."""
        epoch = self._task.machine.state.epoch
        if epoch == self._announced_epoch:
            return
        base_epoch, base = self._announced_epoch, self._announced
        self._announced_epoch, self._announced = epoch, self._task.machine.doc()
        self._packed_state = b""
        if not self._task.is_leader:
            return
        contacts = self._settlement.lease_table.recent_contacts(now_us=self._ports.clock.now_us())
        state = bytes(self._announced)
        delta = pack_delta(base=b"" if base is None else bytes(base), target=state)
        message = self._announce(delta=delta, base_epoch=base_epoch)
        if len(contacts) > RELAYED_FROM_EDGES:
            self._announce_by_zone(contacts=contacts, message=message)
            self._ports.spawn(self._announce_again(epoch=epoch))
            return
        for contact in contacts:
            holder = self._settlement.lease_table.holder(edge=contact.name)
            has_base = holder is not None and holder.epoch == message.base_epoch
            fits = has_base or not message.base_epoch
            self._announce_to(
                contact=contact, message=message if fits else self._complete_announce()
            )

    def _complete_announce(self) -> Announce:
        """The newest state completely, for edges that do not have the one before it."""
        if not self._packed_state:
            self._packed_state = pack_delta(base=b"", target=bytes(self._announced or StateDoc()))
        return self._announce(delta=self._packed_state)

    def _announce(self, *, delta: bytes, base_epoch: int = 0) -> Announce:
        if len(delta) > ANNOUNCED_BYTES:
            delta = b""  # to be fetched in chunks
        return Announce(
            cluster=self._task.cluster,
            epoch=self._announced_epoch,
            leader_address=self._own,
            delta=delta,
            base_epoch=base_epoch,
        )

    def _send_announce(self, *, address: str, message: Announce) -> None:
        self._ports.failpoint("core.before_announce")
        self._transport.send(address=address, message=message)

    def _announce_to(self, *, contact: EdgeContact, message: Announce) -> None:
        """Send to one edge, by way of the edge that relays its renewals if there is one."""
        holder = self._settlement.lease_table.holder(edge=contact.name)
        relay = holder.relayed_by if holder else ""
        message.hand_on = [contact.address] if relay else []
        self._send_announce(address=relay or contact.address, message=message)

    def _announce_by_zone(self, *, contacts: list[EdgeContact], message: Announce) -> None:
        """Send to one edge of each zone, which relays to the others there."""
        zones: dict[str, list[str]] = {}
        for contact in contacts:
            zones.setdefault(contact.zone, []).append(contact.address)
        for _zone, addresses in sorted(zones.items()):
            first = self._ports.rand.randrange(len(addresses))
            message.hand_on = addresses[:first] + addresses[first + 1 :]
            self._send_announce(address=addresses[first], message=message)

    async def _announce_again(self, *, epoch: int) -> None:
        """Announce directly to the edges that have not reported this epoch: the relay of
        their zone may be gone."""
        await self._ports.clock.sleep(us=ANNOUNCE_AGAIN_US)
        if epoch != self._announced_epoch or not self._task.is_leader:
            return
        for contact in self._settlement.lease_table.recent_contacts(
            now_us=self._ports.clock.now_us()
        ):
            holder = self._settlement.lease_table.holder(edge=contact.name)
            if holder is not None and holder.epoch < epoch:
                self._announce_to(contact=contact, message=self._complete_announce())
