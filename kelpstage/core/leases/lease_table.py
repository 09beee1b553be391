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

NEVER_US = -(10**12)
CONTACT_KEPT_SPANS = 15  # an edge that has reported within so many spans is worth a contact


@dataclass(kw_only=True)
class LeaseRecord:
    """One edge as the leader knows it."""

    incarnation: int = 0
    epoch: int = 0
    heard_us: int = NEVER_US  # when it reported last, or left
    has_left: bool = False  # this incarnation stopped serving, in order
    leases: list[tuple[int, int]] = field(default_factory=list)  # epoch, when
    contact: EdgeContact | None = None
    relayed_by: str = ""  # address of the edge that carried its last renewal, if one did
    changed_at: int = 0  # count of changes when its contact changed last


class LeaseTable:
    """Leases given by this leader since it was elected.

    >>> lease_table = LeaseTable(since_us=0)
    >>> lease_table.heard(edge="a", incarnation=1, epoch=1, contact=None, now_us=10)
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
        self._changes = 1
        self._cores: list[str] = []
        self._cores_changed_at = 1

    def heard(
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
        >>> [lease_table.heard(edge="a", incarnation=n, epoch=1, contact=None, now_us=10)
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
        holder.heard_us = now_us
        holder.relayed_by = relayed_by
        if contact is None or not contact.name:
            return True  # as it was
        if holder.contact != contact:
            self._changes += 1
            holder.changed_at = self._changes
        holder.contact = contact
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
        holder.heard_us = now_us
        holder.contact = None

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

    def heard_lately(self, *, edges: Iterable[str], now_us: int) -> list[str]:
        """Those edges that have reported within the span of a lease, or have left in order."""
        return [
            edge
            for edge in edges
            if edge in self._holders
            and (self.has_left(edge=edge) or now_us - self._holders[edge].heard_us < LEASE_SPAN_US)
        ]

    def has_quorum(self, *, membership: EdgeMembership, now_us: int) -> bool:
        """Are enough voting members there for a new epoch to settle: half of them?"""
        voters = membership.voters
        return len(self.heard_lately(edges=voters, now_us=now_us)) * 2 >= len(voters)

    def absent_us(self, *, edge: str, now_us: int) -> int:
        """For how long an edge has not reported to this leader, or has left."""
        holder = self._holders.get(edge)
        heard_us = NEVER_US if holder is None else holder.heard_us
        return now_us - max(heard_us, self.since_us)

    def holder(self, *, edge: str) -> LeaseRecord | None:
        """What is known of an edge; None if it has never reported."""
        return self._holders.get(edge)

    def contacts(self, *, now_us: int) -> list[EdgeContact]:
        """Contacts of the edges that have reported within a lease's span.

        Another one holds no lease, so that nothing waits for it; it learns of the newest
        epoch from the answer to its next renewal, and fetches that state alone.
        """
        oldest_us = now_us - LEASE_SPAN_US - LEASE_MARGIN_US
        return [
            holder.contact
            for _, holder in sorted(self._holders.items())
            if holder.contact is not None and holder.heard_us >= oldest_us
        ]

    # --- changes since an edge was last notified ------------------------------------------

    def note_cores(self, *, cores: list[str]) -> None:
        """Note the addresses of the cores, which edges are told when they change."""
        if cores != self._cores:
            self._changes += 1
            self._cores, self._cores_changed_at = list(cores), self._changes

    def count(self) -> int:
        """How many edges have ever reported."""
        return len(self._holders)

    def mark(self) -> int:
        """A token for the contacts and cores as they are now, in this lease table."""
        return self._era() | self._changes

    def _era(self) -> int:
        return (self.since_us & 0x7FFF_FFFF) << 32

    def is_of_here(self, *, known: int) -> bool:
        """Was this mark given by this lease table?"""
        return known >> 32 << 32 == self._era() and known & 0xFFFF_FFFF > 0

    def news_for(
        self, *, known: int, now_us: int, limit: int
    ) -> tuple[list[EdgeContact], list[str]]:
        """Contacts and cores that changed since a mark was given, at most `limit`
        contacts, the newest: gossip carries what is left out.

        >>> lease_table = LeaseTable(since_us=0)
        >>> for name in ("a", "b"):
        ...     _ = lease_table.heard(edge=name, incarnation=1, epoch=1, now_us=10,
        ...         contact=EdgeContact(name=name, address=name))
        >>> contacts, _ = lease_table.news_for(known=0, now_us=20, limit=9)
        >>> [contact.name for contact in contacts]
        ['b', 'a']
        >>> lease_table.news_for(known=lease_table.mark(), now_us=20, limit=9)
        ([], [])
        """
        since = known & 0xFFFF_FFFF if self.is_of_here(known=known) else 0
        if since == self._changes:
            return [], []
        newest = sorted(
            (
                holder
                for holder in self._holders.values()
                if holder.changed_at > since
                and self._has_recent_contact(holder=holder, now_us=now_us)
            ),
            key=lambda holder: -holder.changed_at,
        )
        cores = self._cores if self._cores_changed_at > since else []
        contacts = [holder.contact for holder in newest[:limit] if holder.contact is not None]
        return contacts, list(cores)

    @staticmethod
    def _has_recent_contact(*, holder: LeaseRecord, now_us: int) -> bool:
        return (
            holder.contact is not None
            and now_us - holder.heard_us < CONTACT_KEPT_SPANS * LEASE_SPAN_US
        )
