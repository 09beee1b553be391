"""The leader's lease table: which edges may still be serving, and which epoch.

In memory only, without I/O. A new leader does not know the earlier leases, so it assumes that
every edge of the membership was granted one just before the election. All times are
microseconds. For which absences delay what, see docs/notes/edge-membership.md.
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
    """What one edge has reported, and the leases that it was granted."""

    incarnation: int = 0
    epoch: int = 0
    reported_us: int = NEVER_US  # time of its last report, or of its leaving
    has_left: bool = False  # this incarnation has shut down cleanly
    leases: list[tuple[int, int]] = field(default_factory=list)  # epoch, time of the grant
    relayed_by: str = ""  # address of the edge that relayed its last renewal, if any


class LeaseTable:
    """Leases granted by this leader since it was elected.

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

        Returns False and records nothing if a newer incarnation of the edge has reported, or
        if this one has left.

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
        self.contacts.record_report(
            edge=edge, contact=contact if is_introduced else None, now_us=now_us
        )
        return True

    def record_lease(self, *, edge: str, epoch: int, now_us: int) -> None:
        """Record that an edge was granted a lease for an epoch at `now_us`."""
        holder = self._holders.setdefault(edge, LeaseRecord())
        oldest_us = now_us - OBSERVER_SPAN_US - OBSERVER_MARGIN_US
        holder.leases = [lease for lease in holder.leases if lease[1] > oldest_us]
        holder.leases.append((epoch, now_us))

    def record_leave(self, *, edge: str, incarnation: int, now_us: int) -> None:
        """Record that an edge has shut down cleanly: it no longer serves or confirms."""
        holder = self._holders.setdefault(edge, LeaseRecord())
        if incarnation < holder.incarnation:
            return
        holder.incarnation = incarnation
        holder.has_left = True
        holder.leases = []
        holder.reported_us = now_us
        self.contacts.remove(edge=edge)

    def has_left(self, *, edge: str) -> bool:
        """True if the newest incarnation of this edge has shut down cleanly."""
        holder = self._holders.get(edge)
        return holder is not None and holder.has_left

    def _have_older_leases_expired(
        self, *, edge: str, epoch: int, now_us: int, span_us: int
    ) -> bool:
        """True if `span_us` have passed since the last possible lease for an older epoch."""
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

    def _edges_behind(self, *, epoch: int, membership: EdgeMembership) -> list[str]:
        """The edges that have not installed an epoch and have not left."""
        return [
            edge
            for edge in membership.names
            if not self._has_installed(edge=edge, epoch=epoch) and not self.has_left(edge=edge)
        ]

    def _may_confirm_older(
        self, *, edge: str, epoch: int, membership: EdgeMembership, now_us: int
    ) -> bool:
        """True if an edge without this epoch may still confirm an older one to its peers."""
        span_us = OBSERVER_SPAN_US + OBSERVER_MARGIN_US
        return not membership.is_observer(edge) or not self._have_older_leases_expired(
            edge=edge, epoch=epoch, now_us=now_us, span_us=span_us
        )

    def is_settled(
        self,
        *,
        epoch: int,
        membership: EdgeMembership,
        now_us: int,
        lost_edges: frozenset[str] = frozenset(),
        is_strict: bool = False,
    ) -> bool:
        """True if no edge can serve an older epoch any more.

        Of the edges without this epoch, none may hold a lease for an older one, and those that
        may still confirm an older one must not be a majority. Edges in `lost_edges`, which an
        operator has declared permanently lost, do neither. With `is_strict` the edges that may
        confirm have to be less than half, so that they are no majority of a membership that
        differs by one edge either.
        """
        behind = [
            e for e in self._edges_behind(epoch=epoch, membership=membership) if e not in lost_edges
        ]
        lease_us = LEASE_SPAN_US + LEASE_MARGIN_US
        if not all(
            self._have_older_leases_expired(edge=e, epoch=epoch, now_us=now_us, span_us=lease_us)
            for e in behind
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

    def recently_reported(self, *, edges: Iterable[str], now_us: int) -> list[str]:
        """The edges that have reported within one lease span, or have shut down cleanly."""
        return [
            edge
            for edge in edges
            if edge in self._holders
            and (
                self.has_left(edge=edge) or now_us - self._holders[edge].reported_us < LEASE_SPAN_US
            )
        ]

    def has_quorum(self, *, membership: EdgeMembership, now_us: int) -> bool:
        """True if half of the voting members, enough to settle an epoch, have reported."""
        voters = membership.voters
        return len(self.recently_reported(edges=voters, now_us=now_us)) * 2 >= len(voters)

    def absent_us(self, *, edge: str, now_us: int) -> int:
        """The time since an edge last reported to this leader, or left."""
        holder = self._holders.get(edge)
        reported_us = NEVER_US if holder is None else holder.reported_us
        return now_us - max(reported_us, self.since_us)

    def holder(self, *, edge: str) -> LeaseRecord | None:
        """The record of an edge; None if it has never reported."""
        return self._holders.get(edge)

    def recent_contacts(self, *, now_us: int) -> list[EdgeContact]:
        """Contacts of the edges that have reported within one lease span.

        Any other edge holds no lease, so nothing waits for it. It learns of the newest epoch
        from the reply to its next renewal and fetches only that state.
        """
        return self.contacts.reporting_since(oldest_us=now_us - LEASE_SPAN_US - LEASE_MARGIN_US)

    def count(self) -> int:
        """The number of edges that have ever reported."""
        return len(self._holders)
