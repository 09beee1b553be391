"""Announcements of a new epoch by the leader to the edges.

An announcement carries the state as a delta against the previous epoch or as a complete
copy. If that is too large, it carries no state and the edge fetches the state in chunks. On
large memberships one edge of each zone relays it to the others. Announcements only reduce
latency: an edge that receives none learns of the newest epoch from the reply to its next
renewal.
"""

from __future__ import annotations

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.delta import pack_delta
from kelpstage.common.transport.messages import Announce, EdgeContact, StateDoc
from kelpstage.core.leases.epoch_settlement import EpochSettlement
from kelpstage.core.replica_task import ReplicaTask

MAX_INLINE_STATE_BYTES = 256 * 1024  # a larger state is fetched in chunks
LARGE_MEMBERSHIP_EDGES = 20  # up to this many edges, each is sent to directly
REANNOUNCE_DELAY_US = 250_000  # until edges that have not reported the epoch are sent to again


class EpochAnnouncer:
    """Announces each epoch once, as soon as it is applied on the leader."""

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        task: ReplicaTask,
        settlement: EpochSettlement,
        own_address: str,
    ) -> None:
        """`own_address` is the address at which edges reach this core."""
        self._ports = ports
        self._transport = transport
        self._task = task
        self._settlement = settlement
        self._own_address = own_address
        self._announced_epoch = 0
        self._announced_state: StateDoc | None = None  # shares the document bytes
        self._packed_state = b""  # `_announced_state` compressed, on first use

    def announce_latest_epoch(self) -> None:
        """Announce the newest epoch to all recent contacts, unless it was announced before."""
        epoch = self._task.machine.state.epoch
        if epoch == self._announced_epoch:
            return
        base_epoch, base = self._announced_epoch, self._announced_state
        self._announced_epoch, self._announced_state = epoch, self._task.machine.doc()
        self._packed_state = b""
        if not self._task.is_leader:
            return
        contacts = self._settlement.lease_table.recent_contacts(now_us=self._ports.clock.now_us())
        state = bytes(self._announced_state)
        delta = pack_delta(base=b"" if base is None else bytes(base), target=state)
        message = self._build_announce(delta=delta, base_epoch=base_epoch)
        if len(contacts) > LARGE_MEMBERSHIP_EDGES:
            self._announce_by_zone(contacts=contacts, message=message)
            self._ports.spawn(self._reannounce(epoch=epoch))
            return
        for contact in contacts:
            holder = self._settlement.lease_table.holder(edge=contact.name)
            has_base = holder is not None and holder.epoch == message.base_epoch
            can_apply_delta = has_base or not message.base_epoch
            self._announce_to(
                contact=contact,
                message=message if can_apply_delta else self._build_complete_announce(),
            )

    def _build_complete_announce(self) -> Announce:
        """An announcement with the complete state, for edges without the previous epoch."""
        if not self._packed_state:
            self._packed_state = pack_delta(
                base=b"", target=bytes(self._announced_state or StateDoc())
            )
        return self._build_announce(delta=self._packed_state)

    def _build_announce(self, *, delta: bytes, base_epoch: int = 0) -> Announce:
        if len(delta) > MAX_INLINE_STATE_BYTES:
            delta = b""  # the edge fetches the state in chunks
        return Announce(
            cluster=self._task.cluster,
            epoch=self._announced_epoch,
            leader_address=self._own_address,
            delta=delta,
            base_epoch=base_epoch,
        )

    def _send_announce(self, *, address: str, message: Announce) -> None:
        self._ports.failpoint("core.before_announce")
        self._transport.send(address=address, message=message)

    def _announce_to(self, *, contact: EdgeContact, message: Announce) -> None:
        """Send to one edge, through the peer that relays its renewals if there is one."""
        holder = self._settlement.lease_table.holder(edge=contact.name)
        relay = holder.relayed_by if holder else ""
        message.hand_on = [contact.address] if relay else []
        self._send_announce(address=relay or contact.address, message=message)

    def _announce_by_zone(self, *, contacts: list[EdgeContact], message: Announce) -> None:
        """Send to a random edge of each zone, which relays to the other edges of that zone."""
        zones: dict[str, list[str]] = {}
        for contact in contacts:
            zones.setdefault(contact.zone, []).append(contact.address)
        for _zone, addresses in sorted(zones.items()):
            relay_index = self._ports.rand.randrange(len(addresses))
            message.hand_on = addresses[:relay_index] + addresses[relay_index + 1 :]
            self._send_announce(address=addresses[relay_index], message=message)

    async def _reannounce(self, *, epoch: int) -> None:
        """Announce directly to the edges that have not reported this epoch, since the relaying
        edge of their zone may be down."""
        await self._ports.clock.sleep(us=REANNOUNCE_DELAY_US)
        if epoch != self._announced_epoch or not self._task.is_leader:
            return
        for contact in self._settlement.lease_table.recent_contacts(
            now_us=self._ports.clock.now_us()
        ):
            holder = self._settlement.lease_table.holder(edge=contact.name)
            if holder is not None and holder.epoch < epoch:
                self._announce_to(contact=contact, message=self._build_complete_announce())
