"""The leader's lease table: which edges may still be serving, and which epoch.

In memory only, without I/O. A new leader knows of no lease, so it assumes that every edge
of the membership got one the moment before it was elected. All times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.common.transport.messages import EdgeContact

LEASE_SPAN_US = 2_000_000
LEASE_MARGIN_US = 200_000  # for clocks that run at different speeds
NEVER_US = -(10**12)
CONTACT_KEPT_SPANS = 15  # an edge that has reported within so many spans is worth a contact


@dataclass(kw_only=True)
class LeaseRecord:
    """One edge as the leader knows it."""

    incarnation: int = 0
    epoch: int = 0
    heard_us: int = NEVER_US  # when it reported last
    leases: list[tuple[int, int]] = field(default_factory=list)  # epoch, when
    contact: EdgeContact | None = None
    relayed_by: str = ""  # address of the edge that carried its last renewal, if one did
    changed_at: int = 0  # count of changes when its contact changed last


class LeaseTable:
    """Leases given by this leader since it was elected.

    >>> lease_table = LeaseTable(since_us=0)
    >>> lease_table.heard(edge="a", incarnation=1, epoch=1, contact=None, now_us=10)
    True
    >>> lease_table.is_settled(epoch=1, membership=["a"], now_us=20)
    True
    >>> lease_table.is_settled(epoch=1, membership=["a", "b", "c"], now_us=20)
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

        False, and without effect, if a newer incarnation of the edge has reported.

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
        oldest = now_us - LEASE_SPAN_US - LEASE_MARGIN_US
        holder.leases = [lease for lease in holder.leases if lease[1] > oldest]
        holder.leases.append((epoch, now_us))

    def give_back(self, *, edge: str, incarnation: int) -> None:
        """A leaving edge has stopped serving."""
        holder = self._holders.get(edge)
        if holder is not None and holder.incarnation == incarnation:
            holder.leases = []
            holder.heard_us = NEVER_US
            holder.contact = None

    def _is_lapsed(self, *, edge: str, epoch: int, now_us: int) -> bool:
        span = LEASE_SPAN_US + LEASE_MARGIN_US
        if now_us - self.since_us < span:
            return False
        holder = self._holders.get(edge)
        if holder is None:
            return True
        return all(granted >= epoch or now_us - when >= span for granted, when in holder.leases)

    def _has_installed(self, *, edge: str, epoch: int) -> bool:
        holder = self._holders.get(edge)
        return holder is not None and holder.epoch >= epoch

    def behind(self, *, epoch: int, membership: list[str], now_us: int) -> list[str]:
        """Edges that may still serve an older epoch."""
        return [
            edge
            for edge in membership
            if not self._has_installed(edge=edge, epoch=epoch)
            and not self._is_lapsed(edge=edge, epoch=epoch, now_us=now_us)
        ]

    def is_settled(
        self, *, epoch: int, membership: list[str], now_us: int, gone: frozenset[str] = frozenset()
    ) -> bool:
        """Can no edge serve an older epoch any more?

        Edges in `gone`, which an operator states to be gone for good, neither serve nor
        count for an older epoch.
        """
        others = [edge for edge in membership if edge not in gone]
        older = sum(not self._has_installed(edge=edge, epoch=epoch) for edge in others)
        if membership and older * 2 >= len(membership):
            return False
        return not self.behind(epoch=epoch, membership=others, now_us=now_us)

    def heard_lately(self, *, membership: list[str], now_us: int) -> list[str]:
        """The edges of a membership that have reported within the span of a lease."""
        return [
            edge
            for edge in membership
            if edge in self._holders and now_us - self._holders[edge].heard_us < LEASE_SPAN_US
        ]

    def has_majority(self, *, membership: list[str], now_us: int) -> bool:
        """Have enough edges reported for a write to settle?"""
        if not membership:
            return True
        return len(self.heard_lately(membership=membership, now_us=now_us)) * 2 > len(membership)

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
