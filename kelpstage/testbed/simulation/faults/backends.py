"""Faults of backends: crashes, slow and invalid replies, drains."""

from __future__ import annotations

import random

from kelpstage.testbed.simulation.faults.targets import (
    SECOND,
    backends_of_shard,
    random_backend,
    span_us,
)
from kelpstage.testbed.simulation.fleet import SimFleet
from kelpstage.testbed.stand_ins.backend import INVALID_REPLIES


async def backend_crash(fleet: SimFleet, rand: random.Random) -> None:
    """A backend's process ends and is started again after 3 to 10 seconds."""
    name = random_backend(fleet=fleet, rand=rand)
    number = fleet.fault(
        what="backend_crash", backends=[name], excuses=["backend"], after_us=SECOND
    )
    await fleet.set_backend(name=name, is_listening=False)
    fleet.platform.note_backend(name=name, state="absent")
    await fleet.sleep(us=span_us(rand=rand, low_s=3, high_s=10))
    await fleet.set_backend(name=name, is_listening=True)
    fleet.platform.note_backend(name=name, state="running")
    fleet.fault_end(fault=number)


async def backend_vanish(fleet: SimFleet, rand: random.Random) -> None:
    """A backend's machine loses power and does not return."""
    name = random_backend(fleet=fleet, rand=rand)
    fleet.fault(what="backend_vanish", backends=[name], excuses=["backend"])
    fleet.world.machines[name].is_on = False
    fleet.processes[f"backend/{name}"].kill()
    fleet.platform.note_backend(name=name, state="absent")
    await fleet.sleep(us=5 * SECOND)


async def backend_slow(fleet: SimFleet, rand: random.Random) -> None:
    """Every reply of a backend is delayed for 3 to 10 seconds."""
    name = random_backend(fleet=fleet, rand=rand)
    number = fleet.fault(what="backend_slow", backends=[name], excuses=["backend"], after_us=SECOND)
    await fleet.set_backend(name=name, slow_us=span_us(rand=rand, low_s=0.05, high_s=3))
    await fleet.sleep(us=span_us(rand=rand, low_s=3, high_s=10))
    await fleet.set_backend(name=name, slow_us=0)
    fleet.fault_end(fault=number)


async def backend_lies(fleet: SimFleet, rand: random.Random) -> None:
    """A backend sends invalid replies, of four kinds one after the other."""
    name = random_backend(fleet=fleet, rand=rand)
    number = fleet.fault(what="backend_lies", backends=[name], excuses=["backend"], after_us=SECOND)
    for lie in rand.sample(INVALID_REPLIES, 4):
        await fleet.set_backend(name=name, lie=lie)
        await fleet.sleep(us=span_us(rand=rand, low_s=1, high_s=3))
    await fleet.set_backend(name=name, lie="")
    fleet.fault_end(fault=number)


async def backend_drains(fleet: SimFleet, rand: random.Random) -> None:
    """The platform drains a backend, stops it and starts it again."""
    name = random_backend(fleet=fleet, rand=rand)
    number = fleet.fault(what="backend_drains", backends=[name], excuses=[])
    await fleet.set_backend(name=name, is_draining=True)
    fleet.platform.note_backend(name=name, state="stopping")
    await fleet.sleep(us=6 * SECOND)
    await fleet.set_backend(name=name, is_listening=False)
    fleet.platform.note_backend(name=name, state="absent")
    await fleet.sleep(us=span_us(rand=rand, low_s=1, high_s=4))
    await fleet.set_backend(name=name, is_listening=True, is_draining=False)
    fleet.platform.note_backend(name=name, state="running")
    fleet.fault_end(fault=number)


async def _unreachable_for(*, fleet: SimFleet, names: list[str], what: str, hold_us: int) -> None:
    number = fleet.fault(
        what=what, backends=names, excuses=["backend", "away"], after_us=3 * SECOND
    )
    for name in names:
        await fleet.set_backend(name=name, is_listening=False)
    await fleet.sleep(us=hold_us)
    for name in names:
        await fleet.set_backend(name=name, is_listening=True)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": what})


async def shard_dark(fleet: SimFleet, rand: random.Random) -> None:
    """All backends of one shard are unreachable for a while."""
    shard = rand.choice(fleet.deployment.cut.shards)
    names = backends_of_shard(fleet=fleet, shard=shard)
    await _unreachable_for(
        fleet=fleet,
        names=names,
        what="shard_dark",
        hold_us=span_us(rand=rand, low_s=3, high_s=8),
    )


async def many_dark(fleet: SimFleet, rand: random.Random) -> None:
    """All backends of four shards are unreachable at once."""
    shards = rand.sample(fleet.deployment.cut.shards, 4)
    names = [n for s in shards for n in backends_of_shard(fleet=fleet, shard=s)]
    await _unreachable_for(
        fleet=fleet,
        names=names,
        what="many_dark",
        hold_us=span_us(rand=rand, low_s=3, high_s=6),
    )


async def half_slow(fleet: SimFleet, rand: random.Random) -> None:
    """Half of all backends, some of every shard, are slow at once."""
    names = sorted(fleet.backends)[::2]
    number = fleet.fault(what="half_slow", backends=names, excuses=["backend"], after_us=SECOND)
    for name in names:
        await fleet.set_backend(name=name, slow_us=span_us(rand=rand, low_s=0.1, high_s=0.6))
    await fleet.sleep(us=span_us(rand=rand, low_s=4, high_s=8))
    for name in names:
        await fleet.set_backend(name=name, slow_us=0)
    fleet.fault_end(fault=number)


async def backends_pause(fleet: SimFleet, rand: random.Random) -> None:
    """All backends pause at random, twenty times as often as usual."""
    number = fleet.fault(what="backends_pause", excuses=[])
    for stand_in in fleet.backends.values():
        stand_in.pause_share = 0.04
    await fleet.sleep(us=span_us(rand=rand, low_s=5, high_s=10))
    for stand_in in fleet.backends.values():
        stand_in.pause_share = 0.002
    fleet.fault_end(fault=number)


async def list_stops(fleet: SimFleet, rand: random.Random) -> None:
    """The endpoint list shows a backend as stopping, but the backend itself does not report
    that it is draining until it ends."""
    name = random_backend(fleet=fleet, rand=rand)
    number = fleet.fault(what="list_stops", backends=[name], excuses=["backend"], after_us=SECOND)
    fleet.platform.note_backend(name=name, state="stopping")
    await fleet.sleep(us=span_us(rand=rand, low_s=6, high_s=9))
    await fleet.set_backend(name=name, is_listening=False)
    fleet.platform.note_backend(name=name, state="absent")
    await fleet.sleep(us=span_us(rand=rand, low_s=1, high_s=4))
    await fleet.set_backend(name=name, is_listening=True)
    fleet.platform.note_backend(name=name, state="running")
    await fleet.sleep(us=2 * SECOND)
    fleet.fault_end(fault=number)


async def many_slow(fleet: SimFleet, rand: random.Random) -> None:
    """All backends of four shards are slow at once."""
    shards = rand.sample(fleet.deployment.cut.shards, 4)
    names = [n for s in shards for n in backends_of_shard(fleet=fleet, shard=s)]
    number = fleet.fault(
        what="many_slow", backends=names, excuses=["backend", "away"], after_us=3 * SECOND
    )
    for name in names:
        await fleet.set_backend(name=name, slow_us=400_000)
    await fleet.sleep(us=span_us(rand=rand, low_s=4, high_s=8))
    for name in names:
        await fleet.set_backend(name=name, slow_us=0)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "many_slow"})
