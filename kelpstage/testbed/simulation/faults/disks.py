"""Faults of cores' disks: slow, stalled, full."""

from __future__ import annotations

import random

from kelpstage.testbed.simulation.faults.targets import core_to_lose, span_us
from kelpstage.testbed.simulation.fleet import SimFleet


async def _faulty_disk(
    *, fleet: SimFleet, rand: random.Random, what: str, field: str, value: object
) -> None:
    """Set a fault on one core's disk during a configuration write and 1 to 5 seconds longer."""
    name = core_to_lose(fleet=fleet, rand=rand)
    if name is None:
        return
    platter = fleet.world.machines[name].disk_image
    number = fleet.fault(what=what, core=name, excuses=[])
    previous = getattr(platter, field)
    setattr(platter, field, value)
    await fleet.put_next()
    await fleet.sleep(us=span_us(rand=rand, low_s=1, high_s=5))
    setattr(platter, field, previous)
    fleet.fault_end(fault=number)


async def disk_slow(fleet: SimFleet, rand: random.Random) -> None:
    """A core's disk is fifty times as slow."""
    await _faulty_disk(fleet=fleet, rand=rand, what="disk_slow", field="slow", value=50)


async def disk_stalled(fleet: SimFleet, rand: random.Random) -> None:
    """A core's disk completes no operation."""
    await _faulty_disk(fleet=fleet, rand=rand, what="disk_stalled", field="is_stalled", value=True)


async def disk_full(fleet: SimFleet, rand: random.Random) -> None:
    """A core's disk is full and rejects writes."""
    await _faulty_disk(fleet=fleet, rand=rand, what="disk_full", field="is_full", value=True)
