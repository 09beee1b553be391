"""Whom the failure detector probes next, and through whom it probes again.

In a fleet that is not small most probes stay in this edge's region, and beyond a hundred
members or so they become rarer with the logarithm of their number.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from kelpstage.edge.gossip.members import ALIVE, SUSPECT, Group, MemberTable

INDIRECT_PROBES = 2  # relays of a ping-req; `k` in the SWIM paper
FAR_EVERY = 4  # one probe in so many goes to another region
NOT_ALIVE_EVERY = 5  # one probe in so many goes to a member that is held for lost
SPARSE_FROM = 50  # members; with more of them probes are less frequent


@dataclass(kw_only=True)
class Probe:
    """A ping that waits for its ack.

    `for_whom` and `for_number` are the requester of a ping-req and its probe's number.
    """

    name: str
    sent_us: int
    is_indirect: bool = False
    for_whom: str = ""
    for_number: int = 0


def probe_ticks(*, count: int) -> int:
    """Ticks from one probe to the next, for this many members.

    >>> [probe_ticks(count=count) for count in (10, 90, 200, 1400)]
    [1, 1, 2, 5]
    """
    return max(1, round(math.log2(max(1, count) / SPARSE_FROM)))


class ProbeTargets:
    """Owns the order in which members are probed (SWIM, section 4.3: round-robin)."""

    def __init__(self, *, table: MemberTable, rand: random.Random) -> None:
        self._table = table
        self._rand = rand
        self._near: list[str] = []
        self._far: list[str] = []
        self._begun = 0

    def next(self) -> str | None:
        """The member to probe next, `None` if there is none."""
        self._begun += 1
        if self._begun % NOT_ALIVE_EVERY == 0:
            members = self._table.members
            others = [n for n in self._table.not_alive if members[n].info.status != SUSPECT]
            if others:
                return self._rand.choice(others)
        if self._table.is_small:
            return self._pop(order=self._near, group=Group.PEERS)
        ways = [(self._near, Group.NEAR), (self._far, Group.FAR)]
        if self._begun % FAR_EVERY == 0:
            ways.reverse()
        for order, group in ways:
            target = self._pop(order=order, group=group)
            if target is not None:
                return target
        return None

    def _pop(self, *, order: list[str], group: Group) -> str | None:
        members = self._table.members
        while order:
            name = order.pop()
            if name not in members or not self._table.is_in(group, name=name):
                continue
            if members[name].info.status in (ALIVE, SUSPECT):
                return name
        order += self._table.group(group)
        self._rand.shuffle(order)
        return order.pop() if order else None

    def relays(self, *, target: str) -> list[str]:
        """The members that a ping-req goes to; where there are regions, one of them in
        this one, so that not both are beyond the same network partition."""
        others = [name for name in self._table.group(Group.ALIVE) if name != target]
        if self._table.is_small:
            return self._rand.sample(others, min(INDIRECT_PROBES, len(others)))
        near = [name for name in self.alive_near() if name != target]
        first = self._rand.sample(near, min(1, len(near)))
        rest = [name for name in others if name not in first]
        return first + self._rand.sample(rest, min(INDIRECT_PROBES - len(first), len(rest)))

    def alive_near(self) -> list[str]:
        """Members in this edge's region that nobody suspects."""
        not_alive = self._table.not_alive
        return [name for name in self._table.group(Group.NEAR) if name not in not_alive]

    def random_peer(self) -> str | None:
        """A member that is alive, mostly in this edge's region."""
        near = self.alive_near()
        is_near = near and self._rand.randrange(FAR_EVERY)
        names = near if is_near else self._table.group(Group.ALIVE)
        return self._rand.choice(names) if names else None
