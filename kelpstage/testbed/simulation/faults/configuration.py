"""Configuration writes by operators: changes, drains by label, resharding."""

from __future__ import annotations

import asyncio
import random

from kelpstage.testbed.simulation.faults.targets import span_us
from kelpstage.testbed.simulation.fleet import SimFleet


async def drain_label(fleet: SimFleet, rand: random.Random) -> None:
    """An operator drains two backends by a label, and later removes the label."""
    number = fleet.fault(what="drain_label", excuses=[])
    names = tuple(rand.sample(sorted(fleet.backends), 2))
    await fleet.put_next(drained=names)
    await fleet.sleep(us=span_us(rand=rand, low_s=4, high_s=8))
    await fleet.put_next()
    fleet.fault_end(fault=number)


async def put_moves(fleet: SimFleet, rand: random.Random) -> None:
    """Four configuration writes under load, each of which leaves another third of the
    backends out of the index."""
    number = fleet.fault(what="put_moves", excuses=[])
    names = sorted(fleet.backends)
    for turn in range(4):
        await fleet.put_next(left_out=tuple(names[turn % 3 :: 3]))
        await fleet.sleep(us=span_us(rand=rand, low_s=0.1, high_s=1.5))
    await fleet.put_next()
    fleet.fault_end(fault=number)


async def put_one(fleet: SimFleet, rand: random.Random) -> None:
    """An operator writes one change of the configuration."""
    number = fleet.fault(what="put_one", excuses=[])
    await fleet.put_next()
    fleet.fault_end(fault=number)


async def put_race(fleet: SimFleet, rand: random.Random) -> None:
    """Two operators write on the same version at once, through random cores."""
    number = fleet.fault(what="put_race", excuses=[])
    await asyncio.gather(fleet.put_next(), fleet.put_next())
    fleet.fault_end(fault=number)


async def put_repeat(fleet: SimFleet, rand: random.Random) -> None:
    """A configuration write is repeated under its id, as after a lost reply."""
    number = fleet.fault(what="put_repeat", excuses=[])
    fleet.put_serial += 1
    name = f"put-{fleet.put_serial}"
    document = fleet.configuration(note=name, cut=fleet.cuts[fleet.cut_in_force])
    expected = fleet.version
    for _ in range(3):
        await fleet.put(document=document, expected=expected, put_id=name)
    fleet.fault_end(fault=number)


async def put_large(fleet: SimFleet, rand: random.Random) -> None:
    """An operator writes a configuration of more than half a megabyte."""
    number = fleet.fault(what="put_large", excuses=[])
    await fleet.put_next(padding=3000)
    fleet.fault_end(fault=number)


async def many_recuts(fleet: SimFleet, rand: random.Random) -> None:
    """The index is resharded eight times, between two layouts, while a quarter of the
    backends is so slow that searches are in flight at each change."""
    names = sorted(fleet.backends)
    number = fleet.fault(what="many_recuts", excuses=["backend"], backends=names[::4])
    for name in names[::4]:
        await fleet.set_backend(name=name, slow_us=300_000)
    for _ in range(8):
        other = [c for name, c in sorted(fleet.cuts.items()) if name != fleet.cut_in_force][0]
        await fleet.put_next(cut=other)
        await fleet.sleep(us=span_us(rand=rand, low_s=0.2, high_s=1.2))
    for name in names[::4]:
        await fleet.set_backend(name=name, slow_us=0)
    fleet.fault_end(fault=number)


async def recut(fleet: SimFleet, rand: random.Random) -> None:
    """The index is resharded under load.

    Clients that fetch single records by the old shards get an error until they use the new
    ones.
    """
    number = fleet.fault(what="recut", excuses=[])
    other = [c for name, c in sorted(fleet.cuts.items()) if name != fleet.cut_in_force][0]
    await fleet.put_next(cut=other)
    fleet.fault_end(fault=number)
