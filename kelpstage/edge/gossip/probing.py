"""Selects the members that the failure detector probes, and the relays of indirect probes.

Unless the fleet is small, most probes stay in this edge's region. Beyond about a hundred
members, the interval between probes grows with the logarithm of their number.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from kelpstage.edge.gossip.members import ALIVE, SUSPECT, Group, MemberTable

INDIRECT_PROBES = 2  # relays of an indirect probe; `k` in the SWIM paper
FAR_PROBE_INTERVAL = 4  # one probe in this many goes to another region
NOT_ALIVE_PROBE_INTERVAL = 5  # one probe in this many goes to a dead or leaving member
SPARSE_PROBING_SIZE = 50  # the probe interval is log2(members / this) ticks, at least one


@dataclass(kw_only=True)
class Probe:
    """A ping that waits for its ack.

    For a ping on behalf of another member, `requester` is the sender of the ping-req and
    `requester_number` is the number of its probe.
    """

    name: str
    sent_us: int
    is_indirect: bool = False
    requester: str = ""
    requester_number: int = 0


def probe_ticks(*, count: int) -> int:
    """The number of ticks from one probe to the next, for this many members.

    >>> [probe_ticks(count=count) for count in (10, 90, 200, 1400)]
    [1, 1, 2, 5]
    """
    return max(1, round(math.log2(max(1, count) / SPARSE_PROBING_SIZE)))


class ProbeTargets:
    """Owns the order in which members are probed (SWIM, section 4.3: round-robin)."""

    def __init__(self, *, table: MemberTable, rand: random.Random) -> None:
        self._table = table
        self._rand = rand
        self._near: list[str] = []
        self._far: list[str] = []
        self._probe_count = 0

    def next(self) -> str | None:
        """The member to probe next; `None` if there is none."""
        self._probe_count += 1
        if self._probe_count % NOT_ALIVE_PROBE_INTERVAL == 0:
            members = self._table.members
            others = [n for n in self._table.not_alive if members[n].info.status != SUSPECT]
            if others:
                return self._rand.choice(others)
        if self._table.is_small:
            return self._pop(order=self._near, group=Group.PEERS)
        ways = [(self._near, Group.NEAR), (self._far, Group.FAR)]
        if self._probe_count % FAR_PROBE_INTERVAL == 0:
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
            if name not in members or not self._table.is_in_group(group, name=name):
                continue
            if members[name].info.status in (ALIVE, SUSPECT):
                return name
        order += self._table.group(group)
        self._rand.shuffle(order)
        return order.pop() if order else None

    def relays(self, *, target: str) -> list[str]:
        """The members that relay an indirect probe.

        Unless the fleet is small, one of them is in this edge's region, so that a network
        partition does not separate both of them from this edge.
        """
        others = [name for name in self._table.group(Group.ALIVE) if name != target]
        if self._table.is_small:
            return self._rand.sample(others, min(INDIRECT_PROBES, len(others)))
        near = [name for name in self.alive_near() if name != target]
        first = self._rand.sample(near, min(1, len(near)))
        rest = [name for name in others if name not in first]
        return first + self._rand.sample(rest, min(INDIRECT_PROBES - len(first), len(rest)))

    def alive_near(self) -> list[str]:
        """Members in this edge's region that are alive and not suspected."""
        not_alive = self._table.not_alive
        return [name for name in self._table.group(Group.NEAR) if name not in not_alive]

    def random_peer(self) -> str | None:
        """A random member that is alive, in most cases from this edge's region."""
        near = self.alive_near()
        is_near = near and self._rand.randrange(FAR_PROBE_INTERVAL)
        names = near if is_near else self._table.group(Group.ALIVE)
        return self._rand.choice(names) if names else None
