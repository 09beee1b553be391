"""Network partitions of machines, cores and zones."""

from __future__ import annotations

import asyncio
import random

from kelpstage.testbed.simulation.faults.targets import SECOND, core_to_lose, running_edges, span_us
from kelpstage.testbed.simulation.fleet import SimFleet

LONG_PARTITION_US = 20 * SECOND


async def edge_cut_off(fleet: SimFleet, rand: random.Random) -> None:
    """An edge's machine is partitioned from every other machine."""
    name = rand.choice(running_edges(fleet=fleet))
    number = fleet.fault(
        what="edge_cut_off", excuses=["edge", "line"], nodes=[name], after_us=4 * SECOND
    )
    others = [m for m in fleet.world.machines if m != name]
    for other in others:
        fleet.world.block_path(a=name, b=other)
    await fleet.sleep(us=span_us(rand=rand, low_s=1, high_s=8))
    for other in others:
        fleet.world.blocked_paths -= {(name, other), (other, name)}
    fleet.world.send_waiting()
    fleet.fault_end(fault=number)


async def edges_one_way(fleet: SimFleet, rand: random.Random) -> None:
    """The path from one edge to another is blocked, the opposite direction is open."""
    a, b = rand.sample(running_edges(fleet=fleet), 2)
    number = fleet.fault(what="edges_one_way", excuses=["line"], nodes=[a, b], after_us=2 * SECOND)
    fleet.world.block_path(a=a, b=b, is_one_way=True)
    await fleet.sleep(us=span_us(rand=rand, low_s=2, high_s=8))
    fleet.world.blocked_paths.discard((a, b))
    fleet.world.send_waiting()
    fleet.fault_end(fault=number)


async def cut_for(
    *,
    fleet: SimFleet,
    pairs: list[tuple[str, str]],
    what: str,
    hold_us: int,
    nodes: list[str],
) -> None:
    """Block paths, given as sender and receiver, for a while; failed calls are not excused."""
    number = fleet.fault(what=what, excuses=["line"], nodes=nodes, after_us=3 * SECOND)
    for a, b in pairs:
        fleet.world.block_path(a=a, b=b, is_one_way=True)
    await fleet.sleep(us=hold_us)
    fleet.world.blocked_paths -= set(pairs)
    fleet.world.send_waiting()
    fleet.fault_end(fault=number)


async def core_split(fleet: SimFleet, rand: random.Random) -> None:
    """One core is partitioned from the other cores and from half of the edges."""
    name = core_to_lose(fleet=fleet, rand=rand)
    if name is None:
        return
    half = rand.sample(sorted(running_edges(fleet=fleet)), len(fleet.deployment.nodes) // 2)
    others = [n for n in fleet.core_address if n != name]
    pairs = [p for o in sorted(set(others + half) - {name}) for p in both_ways(a=name, b=o)]
    nodes = sorted({a for a, _ in pairs} & {n.name for n in fleet.deployment.nodes})
    await cut_for(
        fleet=fleet,
        pairs=pairs,
        what="core_split",
        hold_us=span_us(rand=rand, low_s=2, high_s=9),
        nodes=nodes,
    )


async def core_one_way(fleet: SimFleet, rand: random.Random) -> None:
    """The path from one core's machine to another's is blocked."""
    name = core_to_lose(fleet=fleet, rand=rand)
    if name is None:
        return
    others = [n for n in fleet.core_address if n != name]
    await cut_for(
        fleet=fleet,
        pairs=[(name, rand.choice(others))],
        what="core_one_way",
        hold_us=span_us(rand=rand, low_s=2, high_s=8),
        nodes=[],
    )


async def _partition_core(*, fleet: SimFleet, rand: random.Random, what: str, name: str) -> None:
    """Partition a core's machine from the other cores' for 20 seconds, with configuration
    writes at random cores meanwhile."""
    others = [n for n in fleet.core_address if n != name]
    pairs = [pair for other in others for pair in both_ways(a=name, b=other)]
    cut = asyncio.ensure_future(
        cut_for(
            fleet=fleet, pairs=pairs, what=what, hold_us=LONG_PARTITION_US, nodes=[name, *others]
        )
    )
    while not cut.done():
        await fleet.put_next(wait_us=2 * SECOND)
        await fleet.sleep(us=span_us(rand=rand, low_s=0.2, high_s=2))
    await cut


async def core_cut_long(fleet: SimFleet, rand: random.Random) -> None:
    """The leader or another core is partitioned from the other cores for 20 seconds."""
    name = core_to_lose(fleet=fleet, rand=rand)
    if name is not None:
        await _partition_core(fleet=fleet, rand=rand, what="core_cut_long", name=name)


async def leaders_cut_in_turn(fleet: SimFleet, rand: random.Random) -> None:
    """The leader is partitioned from the other cores for 20 seconds, then its successor."""
    for _ in range(2):
        leader = fleet.leader()
        if leader is not None and fleet.are_cores_healthy():
            await _partition_core(fleet=fleet, rand=rand, what="leaders_cut_in_turn", name=leader)
        await fleet.sleep(us=SECOND)


async def zone_cut(fleet: SimFleet, rand: random.Random) -> None:
    """One zone is partitioned from the others; clients and the platform reach all of them."""
    zone = rand.choice(fleet.deployment.zones)
    inside = [n for n, m in fleet.world.machines.items() if m.zone == zone]
    nodes = [n.name for n in fleet.deployment.nodes if n.zone == zone]
    outside = [n for n, m in fleet.world.machines.items() if m.zone not in (zone, "outside")]
    number = fleet.fault(
        what="zone_cut",
        excuses=["edge", "line", "backend", "away"],
        nodes=nodes,
        backends=[n for n in inside if n in fleet.backends],
        after_us=4 * SECOND,
    )
    pairs = {p for a in inside for b in outside for p in both_ways(a=a, b=b)}
    fleet.world.blocked_paths |= pairs
    await fleet.sleep(us=span_us(rand=rand, low_s=3, high_s=9))
    fleet.world.blocked_paths -= pairs
    fleet.world.send_waiting()
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "zone_cut"})


def both_ways(*, a: str, b: str) -> list[tuple[str, str]]:
    """Return the paths between two machines, one for each direction."""
    return [(a, b), (b, a)]
