"""Asks peers to confirm that they have no newer epoch installed, when renewals fail."""

from __future__ import annotations

from typing import Callable

from kelpstage.common.lease_timing import OBSERVER_SPAN_US
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import ConfirmEpoch, ConfirmEpochReply
from kelpstage.edge.gossip.members import ALIVE
from kelpstage.edge.gossip.swim import SUSPECT, Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.timing import SMALL_MEMBERSHIP, is_small, overdue_us

CONFIRM_INTERVAL_US = 300_000
LARGE_CONFIRM_INTERVAL_US = 600_000
CONFIRM_TIMEOUT_US = 500_000
CONFIRM_FRACTION = 0.6  # of a large membership, asked in each round
INITIAL_PEER_COUNT = 6  # asked by an edge of a large fleet that has no state yet


class EpochConfirmation:
    """Collects the confirmations that let an edge serve without a lease.

    Peers are asked from before the lease expires. Source: docs/notes/serving-right.md.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        lease_holder: LeaseHolder,
        swim: Swim,
        on_newer_epoch: Callable[[str], None],
    ) -> None:
        """`on_newer_epoch` gets the address of a peer that has an epoch not installed here."""
        self._ports = ports
        self._transport = transport
        self._lease_holder = lease_holder
        self._swim = swim
        self._on_newer_epoch = on_newer_epoch

    async def run(self) -> None:
        """Ask peers periodically while the lease is overdue."""
        while True:
            await self._ports.clock.sleep(
                us=CONFIRM_INTERVAL_US if self._is_small() else LARGE_CONFIRM_INTERVAL_US
            )
            if not self._is_needed():
                continue
            addresses = self._peer_addresses()
            for name in self._select_peers(names=list(addresses)):
                self._ports.spawn(self._confirm(name=name, address=addresses[name]))

    def _is_small(self) -> bool:
        return is_small(count=len(self._lease_holder.membership.names))

    def _is_needed(self) -> bool:
        lease_holder = self._lease_holder
        if self._lease_age_us() < overdue_us(count=len(lease_holder.membership.names)):
            return False
        return not lease_holder.has_left

    def _peer_addresses(self) -> dict[str, str]:
        """Members that may reply, by name; all known edges until a membership is installed."""
        membership = self._lease_holder.membership.names
        return {
            name: member.info.address
            for name, member in sorted(self._swim.members.items())
            if (not membership or name in membership) and member.info.status in (ALIVE, SUSPECT)
        }

    def _select_peers(self, *, names: list[str]) -> list[str]:
        """The peers to ask in this round.

        A small membership is asked whole. In a large one, the voting members are asked and,
        while observers may still confirm, a new random sample that is somewhat larger than a
        majority. An edge that has had no lease since it started asks every peer, because
        the peers know which version it served before; while it has no state either, it asks
        a few peers, to learn of a state.
        """
        lease_holder, rand = self._lease_holder, self._ports.rand
        membership = lease_holder.membership
        has_no_state = lease_holder.has_had_no_lease and not membership.names
        if has_no_state and len(names) > SMALL_MEMBERSHIP:
            return rand.sample(names, INITIAL_PEER_COUNT)
        if self._is_small() or lease_holder.has_had_no_lease:
            return names
        voters = [name for name in names if not membership.is_observer(name)]
        if self._lease_age_us() > OBSERVER_SPAN_US:
            return voters
        sample_size = int(len(membership.names) * CONFIRM_FRACTION) + 1
        sample = rand.sample(names, min(sample_size, len(names)))
        return sorted({*voters, *sample})

    def _lease_age_us(self) -> int:
        return self._ports.clock.now_us() - self._lease_holder.lease_asked_us

    async def _confirm(self, *, name: str, address: str) -> None:
        lease_holder = self._lease_holder
        asked_us = self._ports.clock.now_us()
        message = ConfirmEpoch(
            edge=lease_holder.me, cluster=lease_holder.cluster, epoch=lease_holder.epoch
        )
        reply = await self._transport.call(
            address=address, message=message, wait_us=CONFIRM_TIMEOUT_US
        )
        if not isinstance(reply, ConfirmEpochReply) or reply.edge != name:
            return
        lease_holder.on_epoch_confirmed(reply=reply, asked_us=asked_us)
        is_first = lease_holder.has_had_no_lease and not lease_holder.cluster and reply.vouches
        is_of_cluster = is_first or reply.cluster == lease_holder.cluster
        if is_of_cluster and lease_holder.note_epoch(epoch=reply.epoch, source=address):
            self._on_newer_epoch(address)
