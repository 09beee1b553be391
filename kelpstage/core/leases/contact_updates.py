"""Contacts and core addresses that changed since a mark, for replies to renewals.

A mark identifies a lease table and its change count, so that the reply to an edge holds only
the changes that are new to it. In memory only, without I/O. All times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Iterable

from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.transport.messages import EdgeContact

CONTACT_RETENTION_SPANS = 15  # lease spans since its last report in which a contact is sent
CHANGE_COUNT_MASK = 0xFFFF_FFFF  # the lower half of a mark is the change count
TABLE_SHIFT = 32  # the upper half identifies the lease table
TABLE_MASK = 0x7FFF_FFFF


@dataclass(kw_only=True)
class ContactRecord:
    """The contact of an edge, and the change count at its last change."""

    contact: EdgeContact
    change_number: int
    reported_us: int


class ContactUpdates:
    """Contacts of edges and addresses of cores, with the order in which they changed.

    `since_us`, the start of the lease table, distinguishes its marks from those of others.

    >>> updates = ContactUpdates(since_us=0)
    >>> for name in ("a", "b"):
    ...     contact = EdgeContact(name=name, address=name)
    ...     updates.record_report(edge=name, contact=contact, now_us=10)
    >>> contacts, _ = updates.changes_since(known=0, now_us=20, limit=9)
    >>> [contact.name for contact in contacts]
    ['b', 'a']
    >>> updates.changes_since(known=updates.mark(), now_us=20, limit=9)
    ([], [])
    """

    def __init__(self, *, since_us: int) -> None:
        self._table = (since_us & TABLE_MASK) << TABLE_SHIFT
        self._change_count = 1
        self._records: dict[str, ContactRecord] = {}
        self._cores: list[str] = []
        self._cores_change_number = 1

    def record_report(self, *, edge: str, contact: EdgeContact | None, now_us: int) -> None:
        """Record that an edge has reported, with its contact if the report has one."""
        record = self._records.get(edge)
        if contact is not None and (record is None or record.contact != contact):
            self._change_count += 1
            self._records[edge] = ContactRecord(
                contact=contact, change_number=self._change_count, reported_us=now_us
            )
        elif record is not None:
            record.reported_us = now_us

    def remove(self, *, edge: str) -> None:
        """Remove the contact of an edge that has left."""
        self._records.pop(edge, None)

    def contact_of(self, *, edge: str) -> EdgeContact | None:
        """The contact of an edge; None if it never sent one, or has left."""
        record = self._records.get(edge)
        return record.contact if record is not None else None

    def set_cores(self, *, cores: list[str]) -> None:
        """Record the addresses of the cores; edges are notified when they change."""
        if cores != self._cores:
            self._change_count += 1
            self._cores, self._cores_change_number = list(cores), self._change_count

    def reporting_since(self, *, oldest_us: int) -> list[EdgeContact]:
        """Contacts of the edges that have reported at `oldest_us` or later, sorted by name."""
        return [
            record.contact
            for _, record in sorted(self._records.items())
            if record.reported_us >= oldest_us
        ]

    def mark(self) -> int:
        """A token for the current contacts and cores of this lease table."""
        return self._table | self._change_count

    def _is_own_mark(self, *, known: int) -> bool:
        """True if this lease table issued the mark `known`."""
        return known >> TABLE_SHIFT << TABLE_SHIFT == self._table and known & CHANGE_COUNT_MASK > 0

    def changes_since(
        self, *, known: int, now_us: int, limit: int
    ) -> tuple[list[EdgeContact], list[str]]:
        """Contacts and cores that changed since the mark `known` was issued.

        At most `limit` contacts, the most recently changed; gossip distributes the others.
        """
        mark = known & CHANGE_COUNT_MASK if self._is_own_mark(known=known) else 0
        if mark == self._change_count:
            return [], []
        cores = list(self._cores) if self._cores_change_number > mark else []
        newest = sorted(self._changed(mark=mark, now_us=now_us), key=lambda r: -r.change_number)
        return [record.contact for record in newest[:limit]], cores

    def _changed(self, *, mark: int, now_us: int) -> Iterable[ContactRecord]:
        oldest_us = now_us - CONTACT_RETENTION_SPANS * LEASE_SPAN_US
        return (
            record
            for record in self._records.values()
            if record.change_number > mark and record.reported_us > oldest_us
        )
