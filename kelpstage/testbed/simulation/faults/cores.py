"""Faults of cores: kills, power losses, lost disks, replacement."""

from __future__ import annotations

import random

from kelpstage.testbed.simulation.faults.targets import SECOND, core_to_lose, span_us
from kelpstage.testbed.simulation.fleet import SimFleet


async def _lose_core(
    *,
    fleet: SimFleet,
    rand: random.Random,
    what: str,
    low_s: float,
    high_s: float,
    **loss: bool,
) -> int | None:
    """Kill a core, which may lose power or its disk, and start it again after a while.

    Returns the fault's number, or None if no core may be lost now.
    """
    name = core_to_lose(fleet=fleet, rand=rand)
    if name is None:
        return None
    number = fleet.fault(what=what, core=name, excuses=[])
    fleet.kill_core(name=name, **loss)
    await fleet.sleep(us=span_us(rand=rand, low_s=low_s, high_s=high_s))
    await fleet.start_core(name=name)
    return number


async def core_kill(fleet: SimFleet, rand: random.Random) -> None:
    """A core is killed and started again."""
    number = await _lose_core(fleet=fleet, rand=rand, what="core_kill", low_s=1, high_s=8)
    if number is not None:
        fleet.fault_end(fault=number)


async def core_power(fleet: SimFleet, rand: random.Random) -> None:
    """A core loses power after an acknowledged configuration write; unsynced bytes are lost."""
    await fleet.put_next()
    number = await _lose_core(
        fleet=fleet, rand=rand, what="core_power", low_s=1, high_s=5, is_power=True
    )
    if number is not None:
        fleet.fault_end(fault=number)


async def core_all_power(fleet: SimFleet, rand: random.Random) -> None:
    """All cores lose power at once after an acknowledged configuration write."""
    await fleet.put_next()
    number = fleet.fault(what="core_all_power", excuses=["away"])
    names = [n for n in fleet.core_address if fleet.processes[f"core/{n}"].is_alive]
    for name in names:
        fleet.kill_core(name=name, is_power=True)
    await fleet.sleep(us=span_us(rand=rand, low_s=2, high_s=8))
    for name in names:
        await fleet.start_core(name=name)
    fleet.fault_end(fault=number)


async def core_disk_lost(fleet: SimFleet, rand: random.Random) -> None:
    """A core loses its disk after an acknowledged configuration write and restarts empty."""
    await fleet.put_next()
    number = await _lose_core(
        fleet=fleet, rand=rand, what="core_disk_lost", low_s=0.2, high_s=2, is_disk=True
    )
    if number is not None:
        await fleet.sleep(us=12 * SECOND)
        fleet.fault_end(fault=number)


async def core_replaced(fleet: SimFleet, rand: random.Random) -> None:
    """A core's machine is lost and replaced by an empty one at a new address."""
    name = core_to_lose(fleet=fleet, rand=rand)
    if name is None:
        return
    number = fleet.fault(what="core_replaced", core=name, excuses=[])
    fleet.kill_core(name=name, is_disk=True)
    await fleet.sleep(us=span_us(rand=rand, low_s=0.5, high_s=2))
    await fleet.replace_core(name=name)
    await fleet.sleep(us=12 * SECOND)
    fleet.fault_end(fault=number)


async def core_freeze(fleet: SimFleet, rand: random.Random) -> None:
    """A core is frozen for 0.5 to 6 seconds."""
    name = core_to_lose(fleet=fleet, rand=rand)
    if name is None:
        return
    process = fleet.processes[f"core/{name}"]
    number = fleet.fault(what="core_freeze", core=name, excuses=[])
    process.freeze()
    await fleet.sleep(us=span_us(rand=rand, low_s=0.5, high_s=6))
    process.thaw()
    fleet.fault_end(fault=number)


async def cores_gone(fleet: SimFleet, rand: random.Random) -> None:
    """All cores are down for 5 to 12 seconds; the edges continue to serve."""
    number = fleet.fault(what="cores_gone", excuses=["away"])
    names = [n for n in fleet.core_address if fleet.processes[f"core/{n}"].is_alive]
    for name in names:
        fleet.kill_core(name=name)
    await fleet.sleep(us=span_us(rand=rand, low_s=5, high_s=12))
    for name in names:
        await fleet.start_core(name=name)
    fleet.fault_end(fault=number)
