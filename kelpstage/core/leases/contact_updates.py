"""What edges are notified of by the leader: contacts and cores that changed since a mark.

A mark names a lease table and how many changes it had seen, so that an edge that renews is
notified only of what is new to it. In memory only, without I/O. All times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Iterable

from kelpstage.common.lease_timing import LEASE_SPAN_US
from kelpstage.common.transport.messages import EdgeContact

CONTACT_KEPT_SPANS = 15  # an edge that has reported within so many spans is worth a contact
CHANGES_MASK = 0xFFFF_FFFF  # the lower half of a mark counts changes
TABLE_SHIFT = 32  # the upper half names the lease table
TABLE_MASK = 0x7FFF_FFFF


@dataclass(kw_only=True)
class ContactRecord:
    """Where an edge is, and the count of changes when that changed last."""

    contact: EdgeContact
    changed_at: int
    reported_us: int


class ContactUpdates:
    """Contacts of edges and addresses of cores, with the order in which they changed.

    `since_us`, when the lease table began, tells its marks from those of other tables.

    >>> updates = ContactUpdates(since_us=0)
    >>> for name in ("a", "b"):
    ...     contact = EdgeContact(name=name, address=name)
    ...     updates.note_report(edge=name, contact=contact, now_us=10)
    >>> contacts, _ = updates.since(known=0, now_us=20, limit=9)
    >>> [contact.name for contact in contacts]
    ['b', 'a']
    >>> updates.since(known=updates.mark(), now_us=20, limit=9)
    ([], [])
    """

    def __init__(self, *, since_us: int) -> None:
        self._table = (since_us & TABLE_MASK) << TABLE_SHIFT
        self._changes = 1
        self._records: dict[str, ContactRecord] = {}
        self._cores: list[str] = []
        self._cores_changed_at = 1

    def note_report(self, *, edge: str, contact: EdgeContact | None, now_us: int) -> None:
        """Note that an edge has reported, and where it is if it says so."""
        record = self._records.get(edge)
        if contact is not None and (record is None or record.contact != contact):
            self._changes += 1
            self._records[edge] = ContactRecord(
                contact=contact, changed_at=self._changes, reported_us=now_us
            )
        elif record is not None:
            record.reported_us = now_us

    def forget(self, *, edge: str) -> None:
        """An edge has left: its contact is given to nobody any more."""
        self._records.pop(edge, None)

    def contact_of(self, *, edge: str) -> EdgeContact | None:
        """Where an edge is; None if it has not said so, or has left."""
        record = self._records.get(edge)
        return record.contact if record is not None else None

    def note_cores(self, *, cores: list[str]) -> None:
        """Note the addresses of the cores, of which edges are notified when they change."""
        if cores != self._cores:
            self._changes += 1
            self._cores, self._cores_changed_at = list(cores), self._changes

    def reporting_since(self, *, oldest_us: int) -> list[EdgeContact]:
        """Contacts of the edges that have reported at this time or later, by name."""
        return [
            record.contact
            for _, record in sorted(self._records.items())
            if record.reported_us >= oldest_us
        ]

    def mark(self) -> int:
        """A token for the contacts and cores as they are now, in this lease table."""
        return self._table | self._changes

    def _is_own(self, *, known: int) -> bool:
        """Was this mark given by this lease table?"""
        return known >> TABLE_SHIFT << TABLE_SHIFT == self._table and known & CHANGES_MASK > 0

    def since(self, *, known: int, now_us: int, limit: int) -> tuple[list[EdgeContact], list[str]]:
        """Contacts and cores that changed since a mark was given, at most `limit`
        contacts, the newest: gossip carries what is left out."""
        mark = known & CHANGES_MASK if self._is_own(known=known) else 0
        if mark == self._changes:
            return [], []
        cores = list(self._cores) if self._cores_changed_at > mark else []
        newest = sorted(self._changed(mark=mark, now_us=now_us), key=lambda r: -r.changed_at)
        return [record.contact for record in newest[:limit]], cores

    def _changed(self, *, mark: int, now_us: int) -> Iterable[ContactRecord]:
        oldest_us = now_us - CONTACT_KEPT_SPANS * LEASE_SPAN_US
        return (
            record
            for record in self._records.values()
            if record.changed_at > mark and record.reported_us > oldest_us
        )
