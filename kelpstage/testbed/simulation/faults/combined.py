"""Faults of several components at once."""

from __future__ import annotations

import asyncio
import random

from kelpstage.testbed.simulation.faults.cores import core_replaced
from kelpstage.testbed.simulation.faults.edges import seeds_swapped
from kelpstage.testbed.simulation.faults.targets import SECOND, running_edges, span_us
from kelpstage.testbed.simulation.fleet import SimFleet


async def _restart_edges_without_cores(
    *, fleet: SimFleet, rand: random.Random, what: str, count: int, core_s: tuple[float, float]
) -> None:
    """Kill edges while every core is down, and start them before any core runs again."""
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
    """Seven tenths of the edges are restarted while no core runs."""
    count = len(fleet.deployment.nodes) * 7 // 10
    await _restart_edges_without_cores(
        fleet=fleet, rand=rand, what="herd_without_cores", count=count, core_s=(2, 6)
    )


async def restart_without_cores(fleet: SimFleet, rand: random.Random) -> None:
    """Two edges are restarted while no core runs."""
    await _restart_edges_without_cores(
        fleet=fleet, rand=rand, what="restart_without_cores", count=2, core_s=(3, 8)
    )


async def disk_lost_beside_frozen(fleet: SimFleet, rand: random.Random) -> None:
    """A configuration write is sent while an edge is frozen; then the leader loses its disk,
    and the edge is thawed."""
    up = running_edges(fleet=fleet)
    if len(up) < 6 or not fleet.are_cores_healthy():
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
    if fleet.are_cores_healthy():
        fleet.kill_core(name=leader, is_disk=True)
        await fleet.sleep(us=span_us(rand=rand, low_s=0.1, high_s=1))
        await fleet.start_core(name=leader)
    process.thaw()
    await fleet.put_next()
    await fleet.sleep(us=12 * SECOND)
    fleet.fault_end(fault=number)


async def replaced_while_seeds_swap(fleet: SimFleet, rand: random.Random) -> None:
    """A core is replaced at a new address while an edge starts with other seeds."""
    await asyncio.gather(
        core_replaced(fleet, random.Random(rand.random())),
        seeds_swapped(fleet, random.Random(rand.random())),
    )


async def zone_lost(fleet: SimFleet, rand: random.Random) -> None:
    """Every machine of one zone loses power and is started again."""
    if not fleet.are_cores_healthy():
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
    ended = fleet.power_off_zone(zone=zone)
    await fleet.sleep(us=span_us(rand=rand, low_s=3, high_s=9))
    await fleet.power_on_zone(ended_processes=ended)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "zone_lost"})
