"""Contacts of edges that have registered with this core or asked it for a lease."""

from __future__ import annotations

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.messages import EdgeContact

CONTACT_KEPT_US = 30_000_000
CONTACTS_IN_REPLY = 20
SAMPLED_CONTACTS = 8  # of more than that


class EdgeContacts:
    """Where edges are, by name; one that was not noted for `CONTACT_KEPT_US` is left out."""

    def __init__(self, *, ports: Ports) -> None:
        self._ports = ports
        self._contacts: dict[str, tuple[int, EdgeContact]] = {}  # noted at, contact

    def note(self, *, contact: EdgeContact) -> None:
        """Remember a contact. One without a name was left out because it is known."""
        if contact.name:
            self._contacts[contact.name] = (self._ports.clock.now_us(), contact)

    def recent(self) -> list[EdgeContact]:
        """The contacts noted lately, sorted by name."""
        oldest_us = self._ports.clock.now_us() - CONTACT_KEPT_US
        return [
            contact
            for _, (noted_us, contact) in sorted(self._contacts.items())
            if noted_us > oldest_us
        ]

    def sample(self) -> list[EdgeContact]:
        """As many contacts, at random, as help an edge to find the others."""
        contacts = self.recent()
        if len(contacts) <= CONTACTS_IN_REPLY:
            return contacts
        return self._ports.rand.sample(contacts, SAMPLED_CONTACTS)
