"""The leader's lease table: which edges may still be serving, and which epoch.

In memory only, without I/O. A new leader knows of no lease, so it assumes that every edge
of the membership got one the moment before it was elected. All times are microseconds.
Which silence holds up what: docs/notes/edge-membership.md.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Iterable

from kelpstage.common.edge_membership import EdgeMembership
from kelpstage.common.lease_timing import (
    LEASE_MARGIN_US,
    LEASE_SPAN_US,
    OBSERVER_MARGIN_US,
    OBSERVER_SPAN_US,
)
from kelpstage.common.transport.messages import EdgeContact
from kelpstage.core.leases.contact_updates import ContactUpdates

NEVER_US = -(10**12)


@dataclass(kw_only=True)
class LeaseRecord:
    """One edge as the leader knows it."""

    incarnation: int = 0
    epoch: int = 0
    reported_us: int = NEVER_US  # when it reported last, or left
    has_left: bool = False  # this incarnation stopped serving, in order
    leases: list[tuple[int, int]] = field(default_factory=list)  # epoch, when
    relayed_by: str = ""  # address of the edge that carried its last renewal, if one did


class LeaseTable:
    """Leases given by this leader since it was elected.

    >>> lease_table = LeaseTable(since_us=0)
    >>> lease_table.record_report(edge="a", incarnation=1, epoch=1, contact=None, now_us=10)
    True
    >>> alone = EdgeMembership(names=("a",))
    >>> lease_table.is_settled(epoch=1, membership=alone, now_us=20)
    True
    >>> three = EdgeMembership(names=("a", "b", "c"))
    >>> lease_table.is_settled(epoch=1, membership=three, now_us=20)
    False
    """

    def __init__(self, *, since_us: int) -> None:
        self.since_us = since_us
        self._holders: dict[str, LeaseRecord] = {}
        self.contacts = ContactUpdates(since_us=since_us)

    def record_report(
        self,
        *,
        edge: str,
        incarnation: int,
        epoch: int,
        contact: EdgeContact | None,
        now_us: int,
        relayed_by: str = "",
    ) -> bool:
        """Record the epoch that an edge reports as installed.

        False, and without effect, if a newer incarnation of the edge has reported, or this
        one has left.

        >>> lease_table = LeaseTable(since_us=0)
        >>> [lease_table.record_report(edge="a", incarnation=n, epoch=1, contact=None, now_us=10)
        ...     for n in (2, 1, 3)]
        [True, False, True]
        """
        holder = self._holders.setdefault(edge, LeaseRecord())
        if incarnation < holder.incarnation:
            return False
        if incarnation > holder.incarnation:
            holder.incarnation = incarnation
            holder.epoch = 0
            holder.has_left = False
        if holder.has_left:
            return False
        holder.epoch = max(holder.epoch, epoch)
        holder.reported_us = now_us
        holder.relayed_by = relayed_by
        is_introduced = contact is not None and bool(contact.name)
        self.contacts.note_report(
            edge=edge, contact=contact if is_introduced else None, now_us=now_us
        )
        return True

    def record_lease(self, *, edge: str, epoch: int, now_us: int) -> None:
        """Note that an edge got a lease for an epoch, now."""
        holder = self._holders.setdefault(edge, LeaseRecord())
        oldest_us = now_us - OBSERVER_SPAN_US - OBSERVER_MARGIN_US
        holder.leases = [lease for lease in holder.leases if lease[1] > oldest_us]
        holder.leases.append((epoch, now_us))

    def give_back(self, *, edge: str, incarnation: int, now_us: int) -> None:
        """An edge has left in order: it has stopped serving and confirming."""
        holder = self._holders.setdefault(edge, LeaseRecord())
        if incarnation < holder.incarnation:
            return
        holder.incarnation = incarnation
        holder.has_left = True
        holder.leases = []
        holder.reported_us = now_us
        self.contacts.forget(edge=edge)

    def has_left(self, *, edge: str) -> bool:
        """Did the newest process of this edge leave in order?"""
        holder = self._holders.get(edge)
        return holder is not None and holder.has_left

    def _is_over(self, *, edge: str, epoch: int, now_us: int, span_us: int) -> bool:
        """Are `span_us` over since the edge may have got a lease for an older epoch?"""
        if now_us - self.since_us < span_us:
            return False
        holder = self._holders.get(edge)
        if holder is None:
            return True
        return all(
            granted >= epoch or now_us - when_us >= span_us for granted, when_us in holder.leases
        )

    def _has_installed(self, *, edge: str, epoch: int) -> bool:
        holder = self._holders.get(edge)
        return holder is not None and holder.epoch >= epoch

    def _behind(self, *, epoch: int, membership: EdgeMembership) -> list[str]:
        """Edges that lack an epoch, and have not left."""
        return [
            edge
            for edge in membership.names
            if not self._has_installed(edge=edge, epoch=epoch) and not self.has_left(edge=edge)
        ]

    def _may_confirm_older(
        self, *, edge: str, epoch: int, membership: EdgeMembership, now_us: int
    ) -> bool:
        """May an edge that lacks this epoch still confirm an older one to its peers?"""
        span_us = OBSERVER_SPAN_US + OBSERVER_MARGIN_US
        return not membership.is_observer(edge) or not self._is_over(
            edge=edge, epoch=epoch, now_us=now_us, span_us=span_us
        )

    def is_settled(
        self,
        *,
        epoch: int,
        membership: EdgeMembership,
        now_us: int,
        gone: frozenset[str] = frozenset(),
        is_strict: bool = False,
    ) -> bool:
        """Can no edge serve an older epoch any more?

        That is so when no edge that lacks the epoch can hold a lease for an older one, and
        those that may still confirm an older one are no majority. Edges in `gone`, which an
        operator states to be gone for good, do neither. With `is_strict` they have to be
        less than half, so that a membership that differs by one edge has no such majority
        either.
        """
        behind = [e for e in self._behind(epoch=epoch, membership=membership) if e not in gone]
        lease_us = LEASE_SPAN_US + LEASE_MARGIN_US
        if not all(
            self._is_over(edge=e, epoch=epoch, now_us=now_us, span_us=lease_us) for e in behind
        ):
            return False
        confirming = [
            e
            for e in behind
            if self._may_confirm_older(edge=e, epoch=epoch, membership=membership, now_us=now_us)
        ]
        if is_strict:
            return not membership.has_half(confirming)
        return not membership.has_majority(confirming)

    def reported_lately(self, *, edges: Iterable[str], now_us: int) -> list[str]:
        """Those edges that have reported within the span of a lease, or have left in order."""
        return [
            edge
            for edge in edges
            if edge in self._holders
            and (
                self.has_left(edge=edge) or now_us - self._holders[edge].reported_us < LEASE_SPAN_US
            )
        ]

    def has_quorum(self, *, membership: EdgeMembership, now_us: int) -> bool:
        """Are enough voting members there for a new epoch to settle: half of them?"""
        voters = membership.voters
        return len(self.reported_lately(edges=voters, now_us=now_us)) * 2 >= len(voters)

    def absent_us(self, *, edge: str, now_us: int) -> int:
        """For how long an edge has not reported to this leader, or has left."""
        holder = self._holders.get(edge)
        reported_us = NEVER_US if holder is None else holder.reported_us
        return now_us - max(reported_us, self.since_us)

    def holder(self, *, edge: str) -> LeaseRecord | None:
        """What is known of an edge; None if it has never reported."""
        return self._holders.get(edge)

    def recent_contacts(self, *, now_us: int) -> list[EdgeContact]:
        """Contacts of the edges that have reported within a lease's span.

        Another one holds no lease, so that nothing waits for it; it learns of the newest
        epoch from the answer to its next renewal, and fetches that state alone.
        """
        return self.contacts.reporting_since(oldest_us=now_us - LEASE_SPAN_US - LEASE_MARGIN_US)

    def count(self) -> int:
        """How many edges have ever reported."""
        return len(self._holders)
