"""Contacts of edges that have registered with this core or asked it for a lease."""

from __future__ import annotations

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.messages import EdgeContact

CONTACT_TTL_US = 30_000_000
MAX_CONTACTS_IN_REPLY = 20
SAMPLED_CONTACTS = 8  # if there are more than that


class EdgeContacts:
    """Contacts of edges by name; each expires `CONTACT_TTL_US` after it was last recorded."""

    def __init__(self, *, ports: Ports) -> None:
        self._ports = ports
        self._contacts: dict[str, tuple[int, EdgeContact]] = {}  # time of recording, contact

    def record(self, *, contact: EdgeContact) -> None:
        """Record a contact. An empty one is ignored: the edge omits a contact known here."""
        if contact.name:
            self._contacts[contact.name] = (self._ports.clock.now_us(), contact)

    def recent(self) -> list[EdgeContact]:
        """The contacts that have not expired, sorted by name."""
        oldest_us = self._ports.clock.now_us() - CONTACT_TTL_US
        return [
            contact
            for _, (recorded_us, contact) in sorted(self._contacts.items())
            if recorded_us > oldest_us
        ]

    def sample(self) -> list[EdgeContact]:
        """All recent contacts; a random sample if there are more than `MAX_CONTACTS_IN_REPLY`."""
        contacts = self.recent()
        if len(contacts) <= MAX_CONTACTS_IN_REPLY:
            return contacts
        return self._ports.rand.sample(contacts, SAMPLED_CONTACTS)
