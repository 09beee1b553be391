"""The dissemination plan of endpoint list updates: which edge sends to which.

In a small fleet the reader sends to all edges. In a larger one it sends to one relay in each
other zone, together with the addresses that the relay is to forward to. A relay sends to at
most five edges, which forward to the rest. So the traffic between regions grows with the
number of zones and not with the number of edges.
"""

from __future__ import annotations

import zlib

MAX_DIRECT_PEERS = 16  # up to this many peers, the reader sends to each one directly
RELAY_FAN_OUT = 5  # peers that one edge sends to directly

# Addresses to send to, each with the addresses that it relays to.
Plan = list[tuple[str, list[str]]]


def rank_key(*, name: str) -> tuple[int, str]:
    """Sort key of the order in which edges become the reader; the same on all edges."""
    return zlib.crc32(f"list|{name}".encode()), name


def relay_plan(*, addresses: list[str], fan_out: int) -> Plan:
    """Divide the addresses among up to `fan_out` relays, which are the first addresses.

    >>> relay_plan(addresses=["a", "b", "c", "d", "e"], fan_out=2)
    [('a', ['c', 'e']), ('b', ['d'])]
    >>> relay_plan(addresses=[], fan_out=5)
    []
    """
    return [
        (addresses[at], addresses[at + fan_out :: fan_out])
        for at in range(min(fan_out, len(addresses)))
    ]


def dissemination_plan(*, by_zone: dict[str, list[str]], own_zone: str) -> Plan:
    """Return to which addresses the reader sends a list, and to which ones those relay it.

    The addresses of each zone are ordered, the best relay first.

    >>> dissemination_plan(by_zone={"z": ["a", "b"], "y": ["c"]}, own_zone="z")
    [('a', []), ('b', []), ('c', [])]
    >>> many = {zone: [f"{zone}{n}" for n in range(15)] for zone in "abcdef"}
    >>> plan = dissemination_plan(by_zone=many, own_zone="a")
    >>> len(plan), plan[-1][0], len(plan[-1][1]), sum(1 + len(rest) for _, rest in plan)
    (10, 'f0', 14, 90)
    """
    if sum(map(len, by_zone.values())) <= MAX_DIRECT_PEERS:
        return [(address, []) for zone in by_zone.values() for address in zone]
    plan = relay_plan(addresses=by_zone.get(own_zone, []), fan_out=RELAY_FAN_OUT)
    for zone, addresses in sorted(by_zone.items()):
        if zone != own_zone:
            plan += relay_plan(addresses=addresses, fan_out=1)
    return plan
