"""Faults of edges: kills, freezes, restarts."""

from __future__ import annotations

import random

from kelpstage.testbed.simulation.faults.targets import SECOND, running_edges, span_us
from kelpstage.testbed.simulation.fleet import SimFleet


async def edge_kill(fleet: SimFleet, rand: random.Random) -> None:
    """One edge is killed and started again."""
    up = running_edges(fleet=fleet)
    if len(up) < 6:
        return
    name = rand.choice(up)
    number = fleet.fault(what="edge_kill", excuses=["edge"], nodes=[name], after_us=SECOND)
    fleet.kill_edge(name=name)
    await fleet.sleep(us=span_us(rand=rand, low_s=1, high_s=6))
    await fleet.start_edge(name=name)
    fleet.fault_end(fault=number)


async def edge_herd(fleet: SimFleet, rand: random.Random) -> None:
    """Seven tenths of the running edges are killed at once and started again together."""
    up = running_edges(fleet=fleet)
    names = rand.sample(up, len(up) * 7 // 10)
    number = fleet.fault(what="edge_herd", excuses=["edge", "away"], nodes=names, after_us=SECOND)
    for name in names:
        fleet.kill_edge(name=name)
    await fleet.sleep(us=span_us(rand=rand, low_s=1, high_s=5))
    for name in names:
        await fleet.start_edge(name=name)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "edge_herd"})


async def edge_freeze(fleet: SimFleet, rand: random.Random) -> None:
    """An edge is frozen for 0.3 to 6 seconds, beyond its lease in half of the cases."""
    up = running_edges(fleet=fleet)
    if len(up) < 6:
        return
    name = rand.choice(up)
    process = fleet.processes[f"edge/{name}"]
    if process.is_frozen:
        return
    number = fleet.fault(
        what="edge_freeze", excuses=["edge", "line"], nodes=[name], after_us=3 * SECOND
    )
    process.freeze()
    await fleet.sleep(us=span_us(rand=rand, low_s=0.3, high_s=6))
    process.thaw()
    fleet.fault_end(fault=number)


async def rolling_restart(fleet: SimFleet, rand: random.Random) -> None:
    """Every edge in turn is shut down gracefully and started again."""
    number = fleet.fault(what="rolling_restart", excuses=[])
    for node in fleet.deployment.nodes:
        if not fleet.processes[f"edge/{node.name}"].is_alive:
            continue
        await fleet.stop_edge(name=node.name)
        await fleet.start_edge(name=node.name)
        edge = fleet.daemons[f"edge/{node.name}"]
        await fleet.wait_for(
            what=f"{node.name} after its restart", condition=lambda e=edge: not e.not_ready_reason()
        )
    fleet.fault_end(fault=number)


async def seeds_swapped(fleet: SimFleet, rand: random.Random) -> None:
    """An edge restarts with its seeds in another order, the first of them dead."""
    name = rand.choice(running_edges(fleet=fleet))
    number = fleet.fault(what="seeds_swapped", excuses=["edge"], nodes=[name], after_us=SECOND)
    fleet.kill_edge(name=name)
    live = list(fleet.core_address.values())
    rand.shuffle(live)
    await fleet.start_edge(name=name, seeds=["10.9.9.9:7100", *live[:2]])
    await fleet.sleep(us=2 * SECOND)
    fleet.fault_end(fault=number)
