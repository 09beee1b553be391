"""Faults that clients cause."""

from __future__ import annotations

import random

from kelpstage.testbed.simulation.faults.targets import span_us
from kelpstage.testbed.simulation.fleet import SimFleet


async def overload(fleet: SimFleet, rand: random.Random) -> None:
    """Clients send calls at two or four times their usual rates for 4 to 8 seconds."""
    number = fleet.fault(what="overload", excuses=[])
    more = rand.choice((1, 3))
    waves = [fleet.start_callers() for _ in range(more)]
    await fleet.sleep(us=span_us(rand=rand, low_s=4, high_s=8))
    for task in [task for wave in waves for task in wave]:
        task.cancel()
    fleet.fault_end(fault=number)
