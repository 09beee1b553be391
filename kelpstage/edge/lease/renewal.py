"""Renews this edge's lease at the leader, or at any known core if the leader is unknown."""

from __future__ import annotations

import asyncio
from typing import Callable, Protocol

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import (
    EdgeContact,
    LeaseReply,
    Renew,
    RolloutReport,
)
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.core_directory import CoreDirectory
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.timing import (
    RENEW_JITTER,
    RETRY_US,
    is_small,
    renew_period_us,
    renew_timeout_us,
)

MIN_REPORT_INTERVAL_US = 300_000  # between renewals that are sent for their reports
CONTACT_RESEND_US = 10_000_000  # the contact is sent to the leader again after this time
LEAVE_TIMEOUT_US = 300_000
LEASE_TABLE_SHIFT = 32  # the upper half of `LeaseReply.known` identifies the lease table


class Relay(Protocol):
    """The part of `RelayedRenewal` that a renewal uses."""

    is_needed: bool

    def start_if_due(self, *, target: str) -> None:
        """Renew through peers, unless the lease or the last round is recent."""


class LeaseRenewal:
    """Renews the lease periodically, and processes what the leader's replies contain.

    `last_refusal` is the reason why the last renewal got no lease; empty after a granted one.
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
        rollout_reports: Callable[[], list[RolloutReport]],
        is_observer: bool,
    ) -> None:
        """`on_contacts` gets the peers that the leader has sent, `on_newer_epoch` the address
        of a process that has an epoch which is not installed here."""
        self._ports = ports
        self._transport = transport
        self._lease_holder = lease_holder
        self._swim = swim
        self._cores = cores
        self._contact = contact
        self._on_contacts = on_contacts
        self._on_newer_epoch = on_newer_epoch
        self._rollout_reports = rollout_reports
        self._is_observer = is_observer
        self.relay: Relay
        self.last_refusal = "no renewal has been sent yet"
        self.is_leaving = False
        self._known = 0  # `known` of the last reply; the leader sends only later changes
        self._known_leader = ""
        self._contact_sent_us = -CONTACT_RESEND_US
        self._wake = asyncio.Event()
        self._sent_us = 0

    # --- the loop ---------------------------------------------------------------------

    def renew_soon(self) -> None:
        """Renew now, without waiting for the end of the period."""
        self._wake.set()

    def report_soon(self) -> None:
        """Renew now, unless a renewal was sent just before: for what the leader waits for."""
        if self._ports.clock.now_us() - self._sent_us >= MIN_REPORT_INTERVAL_US:
            self._wake.set()

    async def run(self) -> None:
        """Renew until this edge leaves."""
        while not self.is_leaving:
            self._wake.clear()  # cleared first, so that a call during a renewal is not lost
            is_granted = await self._renew()
            wait_us = self._period_us() if is_granted else RETRY_US
            await self._ports.clock.within(self._wake.wait(), us=wait_us)

    def _period_us(self) -> int:
        count = len(self._lease_holder.membership.names)
        period_us = renew_period_us(count=count)
        if is_small(count=count):
            return period_us
        # Jitter keeps edges that installed at the same time from renewing in step.
        return int(period_us * (1 - RENEW_JITTER * self._ports.rand.random()))

    async def _renew(self) -> bool:
        target = self.next_target()
        sent_us = self._sent_us = self._ports.clock.now_us()
        message = self.request(target=target)
        self._ports.failpoint("edge.before_renew")
        wait_us = renew_timeout_us(count=len(self._lease_holder.membership.names))
        reply = await self._transport.call(address=target, message=message, wait_us=wait_us)
        if not isinstance(reply, LeaseReply):
            self._on_no_reply(reply=reply, target=target)
            return False  # this edge asks the other cores itself meanwhile
        is_granted = self.accept_reply(reply=reply, sent_us=sent_us, target=target)
        self.relay.is_needed = self.relay.is_needed and not is_granted
        if not is_granted and not self._cores.leader:
            self.relay.start_if_due(target=target)  # this core may be partitioned
        return is_granted

    def _on_no_reply(self, *, reply: object, target: str) -> None:
        kind = reply.kind if isinstance(reply, KelpstageError) else "unexpected reply"
        self.last_refusal = f"{target}: {kind}"
        self._known_leader = ""
        self._cores.on_no_reply(address=target, now_us=self._ports.clock.now_us())
        self.relay.start_if_due(target=target)

    # --- messages -----------------------------------------------------------------------

    def next_target(self) -> str:
        """The address of the core to contact next."""
        return self._cores.next_address(now_us=self._ports.clock.now_us())

    def request(self, *, target: str) -> Renew:
        """A renewal request to a core.

        A leader that already has this edge's contact gets it again only now and then.
        """
        lease_holder = self._lease_holder
        self._contact.incarnation = self._swim.me.incarnation
        now_us = self._ports.clock.now_us()
        is_known = target == self._known_leader
        message = Renew(
            edge=lease_holder.me,
            incarnation=self._contact.incarnation,
            epoch=lease_holder.epoch,
            cluster=lease_holder.cluster,
            known=self._known if is_known else 0,
            is_observer=self._is_observer,
            rollouts=self._rollout_reports(),
        )
        if not is_known or now_us - self._contact_sent_us >= CONTACT_RESEND_US:
            message.contact = self._contact
            self._contact_sent_us = now_us
        return message

    def accept_reply(
        self, *, reply: LeaseReply, sent_us: int, target: str, relayed_by: str = ""
    ) -> bool:
        """Process a core's reply to a request sent at `sent_us`; true if it grants a lease.

        If a peer relayed the reply, a newer epoch is fetched from that peer, which can reach
        the leader, while this edge may not.
        """
        lease_holder = self._lease_holder
        if reply.cluster and lease_holder.cluster and reply.cluster != lease_holder.cluster:
            self.last_refusal = f"{target} belongs to another cluster"
            return False
        self._swim.raise_incarnation(incarnation=reply.newest_incarnation)
        self._on_contacts(reply.peers)
        self._cores.on_reply(reply=reply)
        self._note_known(reply=reply)
        self.last_refusal = reply.why
        lease_holder.record_lease(reply=reply, sent_us=sent_us)
        source = relayed_by or reply.leader_address
        if reply.epoch and lease_holder.note_epoch(epoch=reply.epoch, source=source):
            self._on_newer_epoch(source)
        return reply.is_granted

    def _note_known(self, *, reply: LeaseReply) -> None:
        if reply.known >> LEASE_TABLE_SHIFT != self._known >> LEASE_TABLE_SHIFT:
            # A different lease table may not have this edge's contact.
            self._contact_sent_us = -CONTACT_RESEND_US
        self._known = reply.known
        self._known_leader = reply.leader_address if reply.known else ""

    async def leave(self) -> None:
        """Release the lease: this edge no longer serves or confirms."""
        self.is_leaving = True
        self._lease_holder.has_left = True
        target = self.next_target()
        message = self.request(target=target)
        message.is_leaving = True
        await self._transport.call(address=target, message=message, wait_us=LEAVE_TIMEOUT_US)
