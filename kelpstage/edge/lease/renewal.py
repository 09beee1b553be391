"""Renewing this edge's lease at the leader, or at whichever core is known."""

from __future__ import annotations

import asyncio
from typing import Callable, Protocol

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import EdgeContact, LeaseReply, Renew
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.core_directory import CoreDirectory
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.timing import (
    RENEW_JITTER,
    RETRY_US,
    is_small,
    renew_period_us,
    renew_wait_us,
)

CONTACT_AGAIN_US = 10_000_000  # the leader is sent the contact again after so long
LEAVE_WAIT_US = 300_000
LEASE_TABLE_SHIFT = 32  # the upper half of `LeaseReply.known` names the lease table


class Relay(Protocol):
    """What a renewal needs of the way through peers."""

    is_needed: bool

    def start_if_due(self, *, target: str) -> None:
        """Renew through peers, unless the lease is fresh or a wave was just sent."""


class LeaseRenewal:
    """Renews the lease in time, and takes what the leader tells along with it.

    `last_refusal` is why the last renewal got no lease; empty after a granted one.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Transport,
        lease_holder: LeaseHolder,
        swim: Swim,
        cores: CoreDirectory,
        contact: EdgeContact,
        on_contacts: Callable[[list[EdgeContact]], None],
        on_newer_epoch: Callable[[str], None],
        is_observer: bool,
    ) -> None:
        """`on_contacts` hears of peers that the leader names, `on_newer_epoch` of an
        address that has an epoch which is not installed here."""
        self._ports = ports
        self._transport = transport
        self._lease_holder = lease_holder
        self._swim = swim
        self._cores = cores
        self._contact = contact
        self._on_contacts = on_contacts
        self._on_newer_epoch = on_newer_epoch
        self._is_observer = is_observer
        self.relay: Relay
        self.last_refusal = "not asked yet"
        self.is_leaving = False
        self._known = 0  # mark of what the leader need not tell again
        self._known_by = ""
        self._introduced_us = -CONTACT_AGAIN_US
        self._wake = asyncio.Event()

    # --- the loop ---------------------------------------------------------------------

    def renew_soon(self) -> None:
        """Renew at once, rather than when the period is over."""
        self._wake.set()

    async def run(self) -> None:
        """Renew until this edge leaves."""
        while not self.is_leaving:
            self._wake.clear()  # before: who is to renew soon may be renewing just now
            is_granted = await self._renew()
            wait_us = self._period_us() if is_granted else RETRY_US
            await self._ports.clock.within(self._wake.wait(), us=wait_us)

    def _period_us(self) -> int:
        count = len(self._lease_holder.membership.names)
        period_us = renew_period_us(count=count)
        if is_small(count=count):
            return period_us
        # Edges that installed together do not renew together for ever.
        return int(period_us * (1 - RENEW_JITTER * self._ports.rand.random()))

    async def _renew(self) -> bool:
        target = self.next_target()
        sent_us = self._ports.clock.now_us()
        message = self.request(target=target)
        self._ports.failpoint("edge.before_renew")
        wait_us = renew_wait_us(count=len(self._lease_holder.membership.names))
        reply = await self._transport.call(address=target, message=message, wait_us=wait_us)
        if not isinstance(reply, LeaseReply):
            self._on_no_reply(reply=reply, target=target)
            return False  # meanwhile the other cores are asked from here
        is_granted = self.accept_reply(reply=reply, sent_us=sent_us, target=target)
        self.relay.is_needed = self.relay.is_needed and not is_granted
        if not is_granted and not self._cores.leader:
            self.relay.start_if_due(target=target)  # this core may be the one that is cut off
        return is_granted

    def _on_no_reply(self, *, reply: object, target: str) -> None:
        kind = reply.kind if isinstance(reply, KelpstageError) else "odd reply"
        self.last_refusal = f"{target}: {kind}"
        self._known_by = ""
        self._cores.on_silent(address=target, now_us=self._ports.clock.now_us())
        self.relay.start_if_due(target=target)

    # --- messages -----------------------------------------------------------------------

    def next_target(self) -> str:
        """The core to ask next."""
        return self._cores.next_address(now_us=self._ports.clock.now_us())

    def request(self, *, target: str) -> Renew:
        """The request to a core. What this leader was told before is not told again, but
        for the contact now and then."""
        lease_holder = self._lease_holder
        self._contact.incarnation = self._swim.me.incarnation
        now_us = self._ports.clock.now_us()
        is_known = target == self._known_by
        message = Renew(
            edge=lease_holder.me,
            incarnation=self._contact.incarnation,
            epoch=lease_holder.epoch,
            cluster=lease_holder.cluster,
            known=self._known if is_known else 0,
            is_observer=self._is_observer,
        )
        if not is_known or now_us - self._introduced_us >= CONTACT_AGAIN_US:
            message.contact = self._contact
            self._introduced_us = now_us
        return message

    def accept_reply(
        self, *, reply: LeaseReply, sent_us: int, target: str, relayed_by: str = ""
    ) -> bool:
        """Take a core's reply to a request of `sent_us`; true if it grants a lease.

        A newer epoch is fetched from the peer that relayed the reply, if one did: that peer
        reaches the leader, while this edge may not.
        """
        lease_holder = self._lease_holder
        if reply.cluster and lease_holder.cluster and reply.cluster != lease_holder.cluster:
            self.last_refusal = f"{target} belongs to another cluster"
            return False
        self._swim.outrank(incarnation=reply.newest_incarnation)
        self._on_contacts(reply.peers)
        self._cores.on_reply(reply=reply)
        self._note_known(reply=reply)
        self.last_refusal = reply.why
        lease_holder.take_lease(reply=reply, sent_us=sent_us)
        source = relayed_by or reply.leader_address
        if reply.epoch and lease_holder.note_epoch(epoch=reply.epoch, source=source):
            self._on_newer_epoch(source)
        return reply.is_granted

    def _note_known(self, *, reply: LeaseReply) -> None:
        if reply.known >> LEASE_TABLE_SHIFT != self._known >> LEASE_TABLE_SHIFT:
            # Another lease table: it may not know this edge.
            self._introduced_us = -CONTACT_AGAIN_US
        self._known = reply.known
        self._known_by = reply.leader_address if reply.known else ""

    async def leave(self) -> None:
        """Give the lease back: this edge serves and confirms no more."""
        self.is_leaving = True
        self._lease_holder.has_left = True
        target = self.next_target()
        message = self.request(target=target)
        message.is_leaving = True
        await self._transport.call(address=target, message=message, wait_us=LEAVE_WAIT_US)
