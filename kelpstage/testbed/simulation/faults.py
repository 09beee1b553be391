"""The faults of the brief, each as a small story of its own.

Every fault notes when it begins and ends, and what it excuses: "edge" (calls
that were at the named nodes), "backend" (what the named backends alone could have
served), "line" (news that could not travel to or from the named nodes). "away"
excuses nothing: it says that machines are away, for the checker of returns. A fault
that excuses nothing must go by without a caller noticing.
"""

from __future__ import annotations

import asyncio
import random
from typing import Awaitable, Callable

from kelpstage.testbed.simulation.fleet import SimFleet
from kelpstage.testbed.stand_ins.backend import LIES

Fault = Callable[[SimFleet, random.Random], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
SECOND = 1_000_000
LONG_CUT_US = 20 * SECOND


def fault(work: Fault) -> Fault:
    """Register a fault under its function's name."""
    FAULTS[work.__name__] = work
    return work


def _span(*, rand: random.Random, low_s: float, high_s: float) -> int:
    return int((low_s + rand.random() * (high_s - low_s)) * SECOND)


def _backend(*, fleet: SimFleet, rand: random.Random) -> str:
    return rand.choice(sorted(fleet.backends))


def _edges(*, fleet: SimFleet) -> list[str]:
    return [n.name for n in fleet.deployment.nodes if fleet.processes[f"edge/{n.name}"].is_alive]


def _core(*, fleet: SimFleet, rand: random.Random) -> str | None:
    """Some core that is up; the leader half of the time."""
    up = sorted(n for n in fleet.core_address if fleet.processes[f"core/{n}"].is_alive)
    leader = fleet.leader()
    if not fleet.is_core_whole():
        return None  # one core at a time may be lost: the deployments promise no more
    if leader in up and rand.random() < 0.5:
        return leader
    return rand.choice(up) if len(up) == len(fleet.core_address) else None


def _shard_backends(*, fleet: SimFleet, shard: str) -> list[str]:
    return [b.name for b in fleet.deployment.backends if b.shard == shard]


# --- backends -----------------------------------------------------------------------


@fault
async def backend_crash(fleet: SimFleet, rand: random.Random) -> None:
    """A backend's process ends and comes back after a while."""
    name = _backend(fleet=fleet, rand=rand)
    number = fleet.fault(
        what="backend_crash", backends=[name], excuses=["backend"], after_us=SECOND
    )
    await fleet.set_backend(name=name, is_listening=False)
    fleet.platform.note_backend(name=name, state="absent")
    await fleet.sleep(us=_span(rand=rand, low_s=3, high_s=10))
    await fleet.set_backend(name=name, is_listening=True)
    fleet.platform.note_backend(name=name, state="running")
    fleet.fault_end(fault=number)


@fault
async def backend_vanish(fleet: SimFleet, rand: random.Random) -> None:
    """A backend's machine goes silent for good."""
    name = _backend(fleet=fleet, rand=rand)
    fleet.fault(what="backend_vanish", backends=[name], excuses=["backend"])
    fleet.world.machines[name].is_on = False
    fleet.processes[f"backend/{name}"].kill()
    fleet.platform.note_backend(name=name, state="absent")
    await fleet.sleep(us=5 * SECOND)


@fault
async def backend_slow(fleet: SimFleet, rand: random.Random) -> None:
    name = _backend(fleet=fleet, rand=rand)
    number = fleet.fault(what="backend_slow", backends=[name], excuses=["backend"], after_us=SECOND)
    await fleet.set_backend(name=name, slow_us=_span(rand=rand, low_s=0.05, high_s=3))
    await fleet.sleep(us=_span(rand=rand, low_s=3, high_s=10))
    await fleet.set_backend(name=name, slow_us=0)
    fleet.fault_end(fault=number)


@fault
async def backend_lies(fleet: SimFleet, rand: random.Random) -> None:
    """A backend sends wrong bytes, of one kind after the other."""
    name = _backend(fleet=fleet, rand=rand)
    number = fleet.fault(what="backend_lies", backends=[name], excuses=["backend"], after_us=SECOND)
    for lie in rand.sample(LIES, 4):
        await fleet.set_backend(name=name, lie=lie)
        await fleet.sleep(us=_span(rand=rand, low_s=1, high_s=3))
    await fleet.set_backend(name=name, lie="")
    fleet.fault_end(fault=number)


@fault
async def backend_drains(fleet: SimFleet, rand: random.Random) -> None:
    """The platform stops a backend with a warning, and starts it again."""
    name = _backend(fleet=fleet, rand=rand)
    number = fleet.fault(what="backend_drains", backends=[name], excuses=[])
    await fleet.set_backend(name=name, is_draining=True)
    fleet.platform.note_backend(name=name, state="stopping")
    await fleet.sleep(us=6 * SECOND)
    await fleet.set_backend(name=name, is_listening=False)
    fleet.platform.note_backend(name=name, state="absent")
    await fleet.sleep(us=_span(rand=rand, low_s=1, high_s=4))
    await fleet.set_backend(name=name, is_listening=True, is_draining=False)
    fleet.platform.note_backend(name=name, state="running")
    fleet.fault_end(fault=number)


async def _dark(*, fleet: SimFleet, names: list[str], what: str, hold_us: int) -> None:
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


@fault
async def shard_dark(fleet: SimFleet, rand: random.Random) -> None:
    """Every backend of one shard is down."""
    shard = rand.choice(fleet.deployment.cut.shards)
    names = _shard_backends(fleet=fleet, shard=shard)
    await _dark(
        fleet=fleet,
        names=names,
        what="shard_dark",
        hold_us=_span(rand=rand, low_s=3, high_s=8),
    )


@fault
async def many_dark(fleet: SimFleet, rand: random.Random) -> None:
    """Several shards go dark together."""
    shards = rand.sample(fleet.deployment.cut.shards, 4)
    names = [n for s in shards for n in _shard_backends(fleet=fleet, shard=s)]
    await _dark(
        fleet=fleet,
        names=names,
        what="many_dark",
        hold_us=_span(rand=rand, low_s=3, high_s=6),
    )


@fault
async def half_slow(fleet: SimFleet, rand: random.Random) -> None:
    """Half of all backends turn slow together, some of every shard."""
    names = sorted(fleet.backends)[::2]
    number = fleet.fault(what="half_slow", backends=names, excuses=["backend"], after_us=SECOND)
    for name in names:
        await fleet.set_backend(name=name, slow_us=_span(rand=rand, low_s=0.1, high_s=0.6))
    await fleet.sleep(us=_span(rand=rand, low_s=4, high_s=8))
    for name in names:
        await fleet.set_backend(name=name, slow_us=0)
    fleet.fault_end(fault=number)


@fault
async def backends_pause(fleet: SimFleet, rand: random.Random) -> None:
    """Every backend pauses now and then, twenty times as often as usual."""
    number = fleet.fault(what="backends_pause", excuses=[])
    for stand_in in fleet.backends.values():
        stand_in.pause_share = 0.04
    await fleet.sleep(us=_span(rand=rand, low_s=5, high_s=10))
    for stand_in in fleet.backends.values():
        stand_in.pause_share = 0.002
    fleet.fault_end(fault=number)


@fault
async def list_stops(fleet: SimFleet, rand: random.Random) -> None:
    """The platform's list says that a backend is stopping; the backend itself gives
    no sign of it until it ends."""
    name = _backend(fleet=fleet, rand=rand)
    number = fleet.fault(what="list_stops", backends=[name], excuses=["backend"], after_us=SECOND)
    fleet.platform.note_backend(name=name, state="stopping")
    await fleet.sleep(us=_span(rand=rand, low_s=6, high_s=9))
    await fleet.set_backend(name=name, is_listening=False)
    fleet.platform.note_backend(name=name, state="absent")
    await fleet.sleep(us=_span(rand=rand, low_s=1, high_s=4))
    await fleet.set_backend(name=name, is_listening=True)
    fleet.platform.note_backend(name=name, state="running")
    await fleet.sleep(us=2 * SECOND)
    fleet.fault_end(fault=number)


@fault
async def drain_label(fleet: SimFleet, rand: random.Random) -> None:
    """An operator drains two backends by their labels, and takes the labels off."""
    number = fleet.fault(what="drain_label", excuses=[])
    names = tuple(rand.sample(sorted(fleet.backends), 2))
    await fleet.put_next(drained=names)
    await fleet.sleep(us=_span(rand=rand, low_s=4, high_s=8))
    await fleet.put_next()
    fleet.fault_end(fault=number)


@fault
async def put_moves(fleet: SimFleet, rand: random.Random) -> None:
    """Writes that take a third of the backends out of the index, another third each
    time, under load."""
    number = fleet.fault(what="put_moves", excuses=[])
    names = sorted(fleet.backends)
    for turn in range(4):
        await fleet.put_next(left_out=tuple(names[turn % 3 :: 3]))
        await fleet.sleep(us=_span(rand=rand, low_s=0.1, high_s=1.5))
    await fleet.put_next()
    fleet.fault_end(fault=number)


@fault
async def many_slow(fleet: SimFleet, rand: random.Random) -> None:
    """Many shards slow down together."""
    shards = rand.sample(fleet.deployment.cut.shards, 4)
    names = [n for s in shards for n in _shard_backends(fleet=fleet, shard=s)]
    number = fleet.fault(
        what="many_slow", backends=names, excuses=["backend", "away"], after_us=3 * SECOND
    )
    for name in names:
        await fleet.set_backend(name=name, slow_us=400_000)
    await fleet.sleep(us=_span(rand=rand, low_s=4, high_s=8))
    for name in names:
        await fleet.set_backend(name=name, slow_us=0)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "many_slow"})


# --- edges ----------------------------------------------------------------------------


@fault
async def edge_kill(fleet: SimFleet, rand: random.Random) -> None:
    """One edge is killed and started again."""
    up = _edges(fleet=fleet)
    if len(up) < 6:
        return
    name = rand.choice(up)
    number = fleet.fault(what="edge_kill", excuses=["edge"], nodes=[name], after_us=SECOND)
    fleet.kill_edge(name=name)
    await fleet.sleep(us=_span(rand=rand, low_s=1, high_s=6))
    await fleet.start_edge(name=name)
    fleet.fault_end(fault=number)


@fault
async def edge_herd(fleet: SimFleet, rand: random.Random) -> None:
    """Most edges are killed together and come back together."""
    up = _edges(fleet=fleet)
    names = rand.sample(up, len(up) * 7 // 10)
    number = fleet.fault(what="edge_herd", excuses=["edge", "away"], nodes=names, after_us=SECOND)
    for name in names:
        fleet.kill_edge(name=name)
    await fleet.sleep(us=_span(rand=rand, low_s=1, high_s=5))
    for name in names:
        await fleet.start_edge(name=name)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "edge_herd"})


@fault
async def edge_freeze(fleet: SimFleet, rand: random.Random) -> None:
    """An edge stands still, past its lease half of the time, and wakes."""
    up = _edges(fleet=fleet)
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
    await fleet.sleep(us=_span(rand=rand, low_s=0.3, high_s=6))
    process.thaw()
    fleet.fault_end(fault=number)


@fault
async def edge_cut_off(fleet: SimFleet, rand: random.Random) -> None:
    """An edge is cut from every other machine."""
    name = rand.choice(_edges(fleet=fleet))
    number = fleet.fault(
        what="edge_cut_off", excuses=["edge", "line"], nodes=[name], after_us=4 * SECOND
    )
    others = [m for m in fleet.world.machines if m != name]
    for other in others:
        fleet.world.cut(a=name, b=other)
    await fleet.sleep(us=_span(rand=rand, low_s=1, high_s=8))
    for other in others:
        fleet.world.cuts -= {(name, other), (other, name)}
    fleet.world.flush()
    fleet.fault_end(fault=number)


@fault
async def edges_one_way(fleet: SimFleet, rand: random.Random) -> None:
    """What one edge sends to another is lost; the other way is open."""
    a, b = rand.sample(_edges(fleet=fleet), 2)
    number = fleet.fault(what="edges_one_way", excuses=["line"], nodes=[a, b], after_us=2 * SECOND)
    fleet.world.cut(a=a, b=b, is_one_way=True)
    await fleet.sleep(us=_span(rand=rand, low_s=2, high_s=8))
    fleet.world.cuts.discard((a, b))
    fleet.world.flush()
    fleet.fault_end(fault=number)


@fault
async def rolling_restart(fleet: SimFleet, rand: random.Random) -> None:
    """Every edge in turn is told to stop, and started again when it has ended."""
    number = fleet.fault(what="rolling_restart", excuses=[])
    for node in fleet.deployment.nodes:
        if not fleet.processes[f"edge/{node.name}"].is_alive:
            continue
        await fleet.stop_edge(name=node.name)
        await fleet.start_edge(name=node.name)
        edge = fleet.daemons[f"edge/{node.name}"]
        await fleet.wait_for(
            what=f"{node.name} after its restart", is_there=lambda e=edge: not e.refusal()
        )
    fleet.fault_end(fault=number)


@fault
async def seeds_swapped(fleet: SimFleet, rand: random.Random) -> None:
    """An edge starts again with its seeds in another order, one of them dead."""
    name = rand.choice(_edges(fleet=fleet))
    number = fleet.fault(what="seeds_swapped", excuses=["edge"], nodes=[name], after_us=SECOND)
    fleet.kill_edge(name=name)
    live = list(fleet.core_address.values())
    rand.shuffle(live)
    await fleet.start_edge(name=name, seeds=["10.9.9.9:7100", *live[:2]])
    await fleet.sleep(us=2 * SECOND)
    fleet.fault_end(fault=number)


# --- cores -------------------------------------------------------------------------------


async def _lose_core(
    *,
    fleet: SimFleet,
    rand: random.Random,
    what: str,
    low_s: float,
    high_s: float,
    **loss: bool,
) -> int | None:
    """Some core ends, with what it loses by that, and is started again after a while;
    the fault's number, or nothing if no core may be lost now."""
    name = _core(fleet=fleet, rand=rand)
    if name is None:
        return None
    number = fleet.fault(what=what, core=name, excuses=[])
    fleet.kill_core(name=name, **loss)
    await fleet.sleep(us=_span(rand=rand, low_s=low_s, high_s=high_s))
    await fleet.start_core(name=name)
    return number


@fault
async def core_kill(fleet: SimFleet, rand: random.Random) -> None:
    number = await _lose_core(fleet=fleet, rand=rand, what="core_kill", low_s=1, high_s=8)
    if number is not None:
        fleet.fault_end(fault=number)


@fault
async def core_power(fleet: SimFleet, rand: random.Random) -> None:
    """Power is lost right after a put was acknowledged; unsynced bytes are gone."""
    await fleet.put_next()
    number = await _lose_core(
        fleet=fleet, rand=rand, what="core_power", low_s=1, high_s=5, is_power=True
    )
    if number is not None:
        fleet.fault_end(fault=number)


@fault
async def core_all_power(fleet: SimFleet, rand: random.Random) -> None:
    """Every core loses power at once, a moment after an acknowledgement."""
    await fleet.put_next()
    number = fleet.fault(what="core_all_power", excuses=["away"])
    names = [n for n in fleet.core_address if fleet.processes[f"core/{n}"].is_alive]
    for name in names:
        fleet.kill_core(name=name, is_power=True)
    await fleet.sleep(us=_span(rand=rand, low_s=2, high_s=8))
    for name in names:
        await fleet.start_core(name=name)
    fleet.fault_end(fault=number)


@fault
async def core_disk_lost(fleet: SimFleet, rand: random.Random) -> None:
    """A disk is lost right after an acknowledgement; the core comes back empty."""
    await fleet.put_next()
    number = await _lose_core(
        fleet=fleet, rand=rand, what="core_disk_lost", low_s=0.2, high_s=2, is_disk=True
    )
    if number is not None:
        await fleet.sleep(us=12 * SECOND)
        fleet.fault_end(fault=number)


@fault
async def core_replaced(fleet: SimFleet, rand: random.Random) -> None:
    """A core machine is gone; an empty one at a new address takes its place."""
    name = _core(fleet=fleet, rand=rand)
    if name is None:
        return
    number = fleet.fault(what="core_replaced", core=name, excuses=[])
    fleet.kill_core(name=name, is_disk=True)
    await fleet.sleep(us=_span(rand=rand, low_s=0.5, high_s=2))
    await fleet.replace_core(name=name)
    await fleet.sleep(us=12 * SECOND)
    fleet.fault_end(fault=number)


@fault
async def core_freeze(fleet: SimFleet, rand: random.Random) -> None:
    name = _core(fleet=fleet, rand=rand)
    if name is None:
        return
    process = fleet.processes[f"core/{name}"]
    number = fleet.fault(what="core_freeze", core=name, excuses=[])
    process.freeze()
    await fleet.sleep(us=_span(rand=rand, low_s=0.5, high_s=6))
    process.thaw()
    fleet.fault_end(fault=number)


async def _cut_for(
    *,
    fleet: SimFleet,
    pairs: list[tuple[str, str]],
    what: str,
    hold_us: int,
    nodes: list[str],
) -> None:
    """Cut lines one way for a while; calls are excused nothing."""
    number = fleet.fault(what=what, excuses=["line"], nodes=nodes, after_us=3 * SECOND)
    for a, b in pairs:
        fleet.world.cut(a=a, b=b, is_one_way=True)
    await fleet.sleep(us=hold_us)
    fleet.world.cuts -= set(pairs)
    fleet.world.flush()
    fleet.fault_end(fault=number)


def _both(*, a: str, b: str) -> list[tuple[str, str]]:
    return [(a, b), (b, a)]


@fault
async def core_split(fleet: SimFleet, rand: random.Random) -> None:
    """One core is cut from the other cores, and from half of the edges' machines."""
    name = _core(fleet=fleet, rand=rand)
    if name is None:
        return
    half = rand.sample(sorted(_edges(fleet=fleet)), len(fleet.deployment.nodes) // 2)
    others = [n for n in fleet.core_address if n != name]
    pairs = [p for o in sorted(set(others + half) - {name}) for p in _both(a=name, b=o)]
    nodes = sorted({a for a, _ in pairs} & {n.name for n in fleet.deployment.nodes})
    await _cut_for(
        fleet=fleet,
        pairs=pairs,
        what="core_split",
        hold_us=_span(rand=rand, low_s=2, high_s=9),
        nodes=nodes,
    )


@fault
async def core_one_way(fleet: SimFleet, rand: random.Random) -> None:
    """What one core's machine sends to another's is lost."""
    name = _core(fleet=fleet, rand=rand)
    if name is None:
        return
    others = [n for n in fleet.core_address if n != name]
    await _cut_for(
        fleet=fleet,
        pairs=[(name, rand.choice(others))],
        what="core_one_way",
        hold_us=_span(rand=rand, low_s=2, high_s=8),
        nodes=[],
    )


async def _cut_long(*, fleet: SimFleet, rand: random.Random, what: str, name: str) -> None:
    """A core's machine is cut from the other cores' for twenty seconds, with puts at any
    core all the while."""
    others = [n for n in fleet.core_address if n != name]
    pairs = [pair for other in others for pair in _both(a=name, b=other)]
    cut = asyncio.ensure_future(
        _cut_for(fleet=fleet, pairs=pairs, what=what, hold_us=LONG_CUT_US, nodes=[name, *others])
    )
    while not cut.done():
        await fleet.put_next(wait_us=2 * SECOND)
        await fleet.sleep(us=_span(rand=rand, low_s=0.2, high_s=2))
    await cut


@fault
async def core_cut_long(fleet: SimFleet, rand: random.Random) -> None:
    """The leader, or another core, is cut from the other cores for twenty seconds."""
    name = _core(fleet=fleet, rand=rand)
    if name is not None:
        await _cut_long(fleet=fleet, rand=rand, what="core_cut_long", name=name)


@fault
async def leaders_cut_in_turn(fleet: SimFleet, rand: random.Random) -> None:
    """The leader is cut from the other cores; as soon as that has healed, the next one."""
    for _ in range(2):
        leader = fleet.leader()
        if leader is not None and fleet.is_core_whole():
            await _cut_long(fleet=fleet, rand=rand, what="leaders_cut_in_turn", name=leader)
        await fleet.sleep(us=SECOND)


@fault
async def cores_gone(fleet: SimFleet, rand: random.Random) -> None:
    """All cores are down for long: the fleet serves on."""
    number = fleet.fault(what="cores_gone", excuses=["away"])
    names = [n for n in fleet.core_address if fleet.processes[f"core/{n}"].is_alive]
    for name in names:
        fleet.kill_core(name=name)
    await fleet.sleep(us=_span(rand=rand, low_s=5, high_s=12))
    for name in names:
        await fleet.start_core(name=name)
    fleet.fault_end(fault=number)


async def _bad_disk(
    *, fleet: SimFleet, rand: random.Random, what: str, field: str, value: object
) -> None:
    """One core's disk misbehaves while a put is on its way, and for a while more."""
    name = _core(fleet=fleet, rand=rand)
    if name is None:
        return
    platter = fleet.world.machines[name].platter
    number = fleet.fault(what=what, core=name, excuses=[])
    before = getattr(platter, field)
    setattr(platter, field, value)
    await fleet.put_next()
    await fleet.sleep(us=_span(rand=rand, low_s=1, high_s=5))
    setattr(platter, field, before)
    fleet.fault_end(fault=number)


@fault
async def disk_slow(fleet: SimFleet, rand: random.Random) -> None:
    await _bad_disk(fleet=fleet, rand=rand, what="disk_slow", field="slow", value=50)


@fault
async def disk_stalled(fleet: SimFleet, rand: random.Random) -> None:
    await _bad_disk(fleet=fleet, rand=rand, what="disk_stalled", field="is_stalled", value=True)


@fault
async def disk_full(fleet: SimFleet, rand: random.Random) -> None:
    await _bad_disk(fleet=fleet, rand=rand, what="disk_full", field="is_full", value=True)


# --- parts that fail together ---------------------------------------------------------------


async def _edges_gone_while(
    *, fleet: SimFleet, rand: random.Random, what: str, count: int, core_s: tuple[float, float]
) -> None:
    """Edges end while every core is gone, and start before a core is back."""
    up = _edges(fleet=fleet)
    names = rand.sample(up, min(count, len(up)))
    cores = [n for n in fleet.core_address if fleet.processes[f"core/{n}"].is_alive]
    number = fleet.fault(what=what, excuses=["edge", "away"], nodes=names, after_us=SECOND)
    for name in cores:
        fleet.kill_core(name=name)
    await fleet.sleep(us=_span(rand=rand, low_s=0.5, high_s=3))
    for name in names:
        fleet.kill_edge(name=name)
    await fleet.sleep(us=_span(rand=rand, low_s=0.5, high_s=2))
    for name in names:
        await fleet.start_edge(name=name)
    fleet.fault_end(fault=number)
    await fleet.sleep(us=_span(rand=rand, low_s=core_s[0], high_s=core_s[1]))
    for name in cores:
        await fleet.start_core(name=name)
    await fleet.sleep(us=3 * SECOND)
    fleet.note({"event": "returned", "what": what})


@fault
async def herd_without_cores(fleet: SimFleet, rand: random.Random) -> None:
    """Most edges end and start again while no core is there."""
    count = len(fleet.deployment.nodes) * 7 // 10
    await _edges_gone_while(
        fleet=fleet, rand=rand, what="herd_without_cores", count=count, core_s=(2, 6)
    )


@fault
async def restart_without_cores(fleet: SimFleet, rand: random.Random) -> None:
    """Two edges end and start again while no core is there."""
    await _edges_gone_while(
        fleet=fleet, rand=rand, what="restart_without_cores", count=2, core_s=(3, 8)
    )


@fault
async def disk_lost_beside_frozen(fleet: SimFleet, rand: random.Random) -> None:
    """A put is acknowledged while an edge stands still; at once its leader's disk is
    lost; the edge wakes."""
    up = _edges(fleet=fleet)
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
        await fleet.sleep(us=_span(rand=rand, low_s=0.1, high_s=1))
        await fleet.start_core(name=leader)
    process.thaw()
    await fleet.put_next()
    await fleet.sleep(us=12 * SECOND)
    fleet.fault_end(fault=number)


@fault
async def replaced_while_seeds_swap(fleet: SimFleet, rand: random.Random) -> None:
    """A core is replaced at a new address while edges start with other seeds."""
    await asyncio.gather(
        core_replaced(fleet, random.Random(rand.random())),
        seeds_swapped(fleet, random.Random(rand.random())),
    )


@fault
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
    await fleet.sleep(us=_span(rand=rand, low_s=3, high_s=9))
    await fleet.return_zone(back=back)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "zone_lost"})


@fault
async def zone_cut(fleet: SimFleet, rand: random.Random) -> None:
    """One zone is cut off from the others; callers and the platform reach all."""
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
    pairs = {p for a in inside for b in outside for p in _both(a=a, b=b)}
    fleet.world.cuts |= pairs
    await fleet.sleep(us=_span(rand=rand, low_s=3, high_s=9))
    fleet.world.cuts -= pairs
    fleet.world.flush()
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "zone_cut"})


@fault
async def overload(fleet: SimFleet, rand: random.Random) -> None:
    """Callers call at two or four times their rates for a while."""
    number = fleet.fault(what="overload", excuses=[])
    more = rand.choice((1, 3))
    waves = [fleet.start_callers() for _ in range(more)]
    await fleet.sleep(us=_span(rand=rand, low_s=4, high_s=8))
    for task in [task for wave in waves for task in wave]:
        task.cancel()
    fleet.fault_end(fault=number)


# --- operators -----------------------------------------------------------------------------


@fault
async def put_one(fleet: SimFleet, rand: random.Random) -> None:
    number = fleet.fault(what="put_one", excuses=[])
    await fleet.put_next()
    fleet.fault_end(fault=number)


@fault
async def put_race(fleet: SimFleet, rand: random.Random) -> None:
    """Two operators put on the same version, through two cores."""
    number = fleet.fault(what="put_race", excuses=[])
    await asyncio.gather(fleet.put_next(), fleet.put_next())
    fleet.fault_end(fault=number)


@fault
async def put_repeat(fleet: SimFleet, rand: random.Random) -> None:
    """A put is sent again under its id, as after a lost reply."""
    number = fleet.fault(what="put_repeat", excuses=[])
    fleet.put_serial += 1
    name = f"put-{fleet.put_serial}"
    document = fleet.configuration(note=name, cut=fleet.cuts[fleet.cut_in_force])
    expected = fleet.version
    for _ in range(3):
        await fleet.put(document=document, expected=expected, put_id=name)
    fleet.fault_end(fault=number)


@fault
async def put_large(fleet: SimFleet, rand: random.Random) -> None:
    """A configuration of over half a megabyte."""
    number = fleet.fault(what="put_large", excuses=[])
    await fleet.put_next(padding=3000)
    fleet.fault_end(fault=number)


@fault
async def many_recuts(fleet: SimFleet, rand: random.Random) -> None:
    """Cut to and fro, again and again, while backends are slow enough for searches
    to be under way at each."""
    names = sorted(fleet.backends)
    number = fleet.fault(what="many_recuts", excuses=["backend"], backends=names[::4])
    for name in names[::4]:
        await fleet.set_backend(name=name, slow_us=300_000)
    for _ in range(8):
        other = [c for name, c in sorted(fleet.cuts.items()) if name != fleet.cut_in_force][0]
        await fleet.put_next(cut=other)
        await fleet.sleep(us=_span(rand=rand, low_s=0.2, high_s=1.2))
    for name in names[::4]:
        await fleet.set_backend(name=name, slow_us=0)
    fleet.fault_end(fault=number)


@fault
async def recut(fleet: SimFleet, rand: random.Random) -> None:
    """The index is cut into other shards under load. Callers that fetch single
    records by the old cut's shards are told so until they know."""
    number = fleet.fault(what="recut", excuses=[])
    other = [c for name, c in sorted(fleet.cuts.items()) if name != fleet.cut_in_force][0]
    await fleet.put_next(cut=other)
    fleet.fault_end(fault=number)
