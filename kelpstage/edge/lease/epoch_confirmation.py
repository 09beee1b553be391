"""Asking peers to confirm that nothing newer is installed, when renewals fail."""

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

CONFIRM_EVERY_US = 300_000
LARGE_CONFIRM_EVERY_US = 600_000
CONFIRM_WAIT_US = 500_000
CONFIRM_SHARE = 0.6  # of a large membership that is asked at once
FIRST_PEERS = 6  # asked by an edge that has no state yet


class EpochConfirmation:
    """Collects the confirmations by which an edge may serve without a lease.

    They begin before the lease lapses. Source: docs/notes/serving-right.md.
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
        """`on_newer_epoch` hears of an address that has an epoch not installed here."""
        self._ports = ports
        self._transport = transport
        self._lease_holder = lease_holder
        self._swim = swim
        self._on_newer_epoch = on_newer_epoch

    async def run(self) -> None:
        """Ask peers, again and again, while the lease is overdue."""
        while True:
            await self._ports.clock.sleep(
                us=CONFIRM_EVERY_US if self._is_small() else LARGE_CONFIRM_EVERY_US
            )
            if not self._is_wanted():
                continue
            addresses = self._addresses()
            for name in self._choose(names=list(addresses)):
                self._ports.spawn(self._confirm(name=name, address=addresses[name]))

    def _is_small(self) -> bool:
        return is_small(count=len(self._lease_holder.membership.names))

    def _is_wanted(self) -> bool:
        lease_holder = self._lease_holder
        if self._lease_age_us() < overdue_us(count=len(lease_holder.membership.names)):
            return False
        return not lease_holder.has_left

    def _addresses(self) -> dict[str, str]:
        """Members that may answer; every known edge while no membership is installed."""
        membership = self._lease_holder.membership.names
        return {
            name: member.info.address
            for name, member in sorted(self._swim.members.items())
            if (not membership or name in membership) and member.info.status in (ALIVE, SUSPECT)
        }

    def _choose(self, *, names: list[str]) -> list[str]:
        """All of them, or in a large fleet the voting members and, while observers may still
        confirm, somewhat more than a majority by lot: others the next time. An edge without
        a lease since its start asks all, for what they remember of it; but as long as it has
        no state either, a few, for that."""
        lease_holder, rand = self._lease_holder, self._ports.rand
        membership = lease_holder.membership
        has_no_state = lease_holder.is_unleased and not membership.names
        if has_no_state and len(names) > SMALL_MEMBERSHIP:
            return rand.sample(names, FIRST_PEERS)
        if self._is_small() or lease_holder.is_unleased:
            return names
        voters = [name for name in names if not membership.is_observer(name)]
        if self._lease_age_us() > OBSERVER_SPAN_US:
            return voters
        enough = int(len(membership.names) * CONFIRM_SHARE) + 1
        drawn = rand.sample(names, min(enough, len(names)))
        return sorted({*voters, *drawn})

    def _lease_age_us(self) -> int:
        return self._ports.clock.now_us() - self._lease_holder.lease_asked_us

    async def _confirm(self, *, name: str, address: str) -> None:
        lease_holder = self._lease_holder
        asked_us = self._ports.clock.now_us()
        message = ConfirmEpoch(
            edge=lease_holder.me, cluster=lease_holder.cluster, epoch=lease_holder.epoch
        )
        reply = await self._transport.call(
            address=address, message=message, wait_us=CONFIRM_WAIT_US
        )
        if not isinstance(reply, ConfirmEpochReply) or reply.edge != name:
            return
        lease_holder.on_epoch_confirmed(reply=reply, asked_us=asked_us)
        is_first = lease_holder.is_unleased and not lease_holder.cluster and reply.vouches
        is_of_cluster = is_first or reply.cluster == lease_holder.cluster
        if is_of_cluster and lease_holder.note_epoch(epoch=reply.epoch, source=address):
            self._on_newer_epoch(address)
