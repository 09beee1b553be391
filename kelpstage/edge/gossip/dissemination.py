"""Which updates of members go into a message (SWIM, section 4.1: piggybacking).

Each update is sent a bounded number of times, a few in each message, first those that
were sent the fewest times.
"""

from __future__ import annotations

import math
from itertools import islice

from kelpstage.edge.gossip.members import SMALL_COUNT

UPDATES_PER_MESSAGE = 6
SMALL_TRANSMISSIONS = 16  # of an update, in a small fleet
EXTRA_TRANSMISSIONS = 4  # more than the logarithm of the number of members
READY_TRANSMISSIONS = 4  # of an update that only says that a member is ready


def transmission_limit(*, count: int) -> int:
    """How often one edge sends an update, for this many members. With k transmissions by
    each that received it, a share of about exp(-k) gets it by random samples only.

    >>> [transmission_limit(count=count) for count in (10, 90, 1400)]
    [16, 11, 15]
    """
    if count < SMALL_COUNT:
        return SMALL_TRANSMISSIONS
    return EXTRA_TRANSMISSIONS + math.ceil(math.log2(count))


class UpdateQueue:
    """Owns the names of the members whose update is still to be sent.

    >>> queue = UpdateQueue()
    >>> queue.add(name="a"), queue.add(name="b")
    (None, None)
    >>> queue.next(member_count=2)
    ['b', 'a']
    """

    def __init__(self) -> None:
        self._unsent: dict[str, None] = {}  # the newest last
        self._sent: dict[str, int] = {}  # times sent; the latest sent last

    def add(self, *, name: str) -> None:
        """A member's update is new: it goes out before what was sent already."""
        self.discard(name=name)
        self._unsent[name] = None

    def add_ready(self, *, name: str, member_count: int) -> None:
        """A member became ready or not; all do when a fleet starts, so that this is sent
        a few times only, behind everything else."""
        if name not in self._unsent:
            limit = transmission_limit(count=member_count)
            self._sent.setdefault(name, limit - READY_TRANSMISSIONS)

    def discard(self, *, name: str) -> None:
        """There is nothing to send of this member any more."""
        self._unsent.pop(name, None)
        self._sent.pop(name, None)

    def next(self, *, member_count: int) -> list[str]:
        """A few names for one message: the newest first, then the least recently sent."""
        names = list(islice(reversed(self._unsent), UPDATES_PER_MESSAGE))
        names += islice(self._sent, UPDATES_PER_MESSAGE - len(names))
        limit = transmission_limit(count=member_count)
        for name in names:
            transmissions = self._sent.pop(name, 0) + 1
            self._unsent.pop(name, None)
            if transmissions < limit:
                self._sent[name] = transmissions
        return names
