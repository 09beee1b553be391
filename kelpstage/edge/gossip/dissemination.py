"""Selects the member updates that a message carries (SWIM, section 4.1: piggybacking).

Each update is sent a bounded number of times, and a message carries a few of them: unsent
updates first, then those that were sent least recently.
"""

from __future__ import annotations

import math
from itertools import islice

from kelpstage.edge.gossip.members import SMALL_FLEET_SIZE

UPDATES_PER_MESSAGE = 6
SMALL_TRANSMISSIONS = 16  # of an update, in a small fleet
EXTRA_TRANSMISSIONS = 4  # in addition to the logarithm of the number of members
READY_TRANSMISSIONS = 4  # of an update that only changes whether a member is ready


def transmission_limit(*, count: int) -> int:
    """The number of times that one edge sends an update, for this many members.

    If each edge that received the update sends it k times, a share of about exp(-k) of the
    members gets it only through random samples.

    >>> [transmission_limit(count=count) for count in (10, 90, 1400)]
    [16, 11, 15]
    """
    if count < SMALL_FLEET_SIZE:
        return SMALL_TRANSMISSIONS
    return EXTRA_TRANSMISSIONS + math.ceil(math.log2(count))


class UpdateQueue:
    """Owns the names of the members whose update has still to be sent.

    >>> queue = UpdateQueue()
    >>> queue.add(name="a"), queue.add(name="b")
    (None, None)
    >>> queue.next(member_count=2)
    ['b', 'a']
    """

    def __init__(self) -> None:
        self._unsent: dict[str, None] = {}  # newest last
        self._sent: dict[str, int] = {}  # number of transmissions; most recently sent last

    def add(self, *, name: str) -> None:
        """Queue a member's new update, ahead of updates that were sent already."""
        self.discard(name=name)
        self._unsent[name] = None

    def add_ready(self, *, name: str, member_count: int) -> None:
        """Queue a change of a member's readiness, behind all other updates.

        It is sent only a few times, because every member becomes ready when a fleet starts.
        """
        if name not in self._unsent:
            limit = transmission_limit(count=member_count)
            self._sent.setdefault(name, limit - READY_TRANSMISSIONS)

    def discard(self, *, name: str) -> None:
        """Remove the update of this member."""
        self._unsent.pop(name, None)
        self._sent.pop(name, None)

    def next(self, *, member_count: int) -> list[str]:
        """The names for one message: the newest unsent ones, then the least recently sent."""
        names = list(islice(reversed(self._unsent), UPDATES_PER_MESSAGE))
        names += islice(self._sent, UPDATES_PER_MESSAGE - len(names))
        limit = transmission_limit(count=member_count)
        for name in names:
            transmissions = self._sent.pop(name, 0) + 1
            self._unsent.pop(name, None)
            if transmissions < limit:
                self._sent[name] = transmissions
        return names
