"""Who is sent an endpoint list by whom: the dissemination plan.

In a small fleet the reader sends to everybody. In a larger one it sends to one relay in
each zone, with the addresses that the relay is to send to; each relay sends to five at
most, who send to the rest: what crosses between regions grows with the zones, not with
the nodes.
"""

from __future__ import annotations

import zlib

DIRECT_COUNT = 16  # up to so many peers, the reader sends to each of them itself
RELAY_FAN_OUT = 5  # peers that a relay sends to itself

# Addresses that are sent to, each with those that it is to relay to.
Plan = list[tuple[str, list[str]]]


def rank_key(*, name: str) -> tuple[int, str]:
    """The order in which edges take over the reading; the same at each of them."""
    return zlib.crc32(f"list|{name}".encode()), name


def shares(*, addresses: list[str], fan_out: int) -> Plan:
    """Who is sent an update, and to whom each of them relays it.

    >>> shares(addresses=["a", "b", "c", "d", "e"], fan_out=2)
    [('a', ['c', 'e']), ('b', ['d'])]
    >>> shares(addresses=[], fan_out=5)
    []
    """
    return [
        (addresses[at], addresses[at + fan_out :: fan_out])
        for at in range(min(fan_out, len(addresses)))
    ]


def dissemination_plan(*, by_zone: dict[str, list[str]], own_zone: str) -> Plan:
    """To whom the reader sends a reading, and to whom those relay it. The addresses of
    each zone stand with the best relay first.

    >>> dissemination_plan(by_zone={"z": ["a", "b"], "y": ["c"]}, own_zone="z")
    [('a', []), ('b', []), ('c', [])]
    >>> many = {zone: [f"{zone}{n}" for n in range(15)] for zone in "abcdef"}
    >>> plan = dissemination_plan(by_zone=many, own_zone="a")
    >>> len(plan), plan[-1][0], len(plan[-1][1]), sum(1 + len(rest) for _, rest in plan)
    (10, 'f0', 14, 90)
    """
    if sum(map(len, by_zone.values())) <= DIRECT_COUNT:
        return [(address, []) for zone in by_zone.values() for address in zone]
    plan = shares(addresses=by_zone.get(own_zone, []), fan_out=RELAY_FAN_OUT)
    for zone, addresses in sorted(by_zone.items()):
        if zone != own_zone:
            plan += shares(addresses=addresses, fan_out=1)
    return plan
