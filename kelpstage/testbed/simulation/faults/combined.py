"""Several parts that fail together."""

from __future__ import annotations

import asyncio
import random

from kelpstage.testbed.simulation.faults.cores import core_replaced
from kelpstage.testbed.simulation.faults.edges import seeds_swapped
from kelpstage.testbed.simulation.faults.targets import SECOND, running_edges, span_us
from kelpstage.testbed.simulation.fleet import SimFleet


async def _edges_gone_while(
    *, fleet: SimFleet, rand: random.Random, what: str, count: int, core_s: tuple[float, float]
) -> None:
    """Edges end while every core is gone, and start before a core is back."""
    up = running_edges(fleet=fleet)
    names = rand.sample(up, min(count, len(up)))
    cores = [n for n in fleet.core_address if fleet.processes[f"core/{n}"].is_alive]
    number = fleet.fault(what=what, excuses=["edge", "away"], nodes=names, after_us=SECOND)
    for name in cores:
        fleet.kill_core(name=name)
    await fleet.sleep(us=span_us(rand=rand, low_s=0.5, high_s=3))
    for name in names:
        fleet.kill_edge(name=name)
    await fleet.sleep(us=span_us(rand=rand, low_s=0.5, high_s=2))
    for name in names:
        await fleet.start_edge(name=name)
    fleet.fault_end(fault=number)
    await fleet.sleep(us=span_us(rand=rand, low_s=core_s[0], high_s=core_s[1]))
    for name in cores:
        await fleet.start_core(name=name)
    await fleet.sleep(us=3 * SECOND)
    fleet.note({"event": "returned", "what": what})


async def herd_without_cores(fleet: SimFleet, rand: random.Random) -> None:
    """Most edges end and start again while no core is there."""
    count = len(fleet.deployment.nodes) * 7 // 10
    await _edges_gone_while(
        fleet=fleet, rand=rand, what="herd_without_cores", count=count, core_s=(2, 6)
    )


async def restart_without_cores(fleet: SimFleet, rand: random.Random) -> None:
    """Two edges end and start again while no core is there."""
    await _edges_gone_while(
        fleet=fleet, rand=rand, what="restart_without_cores", count=2, core_s=(3, 8)
    )


async def disk_lost_beside_frozen(fleet: SimFleet, rand: random.Random) -> None:
    """A put is acknowledged while an edge stands still; at once its leader's disk is
    lost; the edge wakes."""
    up = running_edges(fleet=fleet)
    if len(up) < 6 or not fleet.is_core_whole():
        return
    name, leader = rand.choice(up), fleet.leader()
    process = fleet.processes[f"edge/{name}"]
    if process.is_frozen or name == leader:
        return
    number = fleet.fault(
        what="disk_lost_beside_frozen",
        excuses=["edge", "line"],
        nodes=[name],
        after_us=3 * SECOND,
    )
    process.freeze()
    await fleet.put_next()
    if fleet.is_core_whole():
        fleet.kill_core(name=leader, is_disk=True)
        await fleet.sleep(us=span_us(rand=rand, low_s=0.1, high_s=1))
        await fleet.start_core(name=leader)
    process.thaw()
    await fleet.put_next()
    await fleet.sleep(us=12 * SECOND)
    fleet.fault_end(fault=number)


async def replaced_while_seeds_swap(fleet: SimFleet, rand: random.Random) -> None:
    """A core is replaced at a new address while edges start with other seeds."""
    await asyncio.gather(
        core_replaced(fleet, random.Random(rand.random())),
        seeds_swapped(fleet, random.Random(rand.random())),
    )


async def zone_lost(fleet: SimFleet, rand: random.Random) -> None:
    """Every machine of one zone loses power, and comes back."""
    if not fleet.is_core_whole():
        return
    zone = rand.choice(fleet.deployment.zones)
    names = [n.name for n in fleet.deployment.nodes if n.zone == zone]
    backends = [b.name for b in fleet.deployment.backends if b.zone == zone]
    number = fleet.fault(
        what="zone_lost",
        excuses=["edge", "line", "backend", "away"],
        nodes=names,
        backends=backends,
        after_us=2 * SECOND,
    )
    back = fleet.lose_zone(zone=zone)
    await fleet.sleep(us=span_us(rand=rand, low_s=3, high_s=9))
    await fleet.return_zone(back=back)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "zone_lost"})
