"""The events of a live scenario, and which of them fit into the time that it is given."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from typing import Awaitable, Callable

from kelpstage.testbed.checkers.serving import RATE_WINDOW_US, RECOVERY_LIMIT_US
from kelpstage.testbed.fleet.fleet import Fleet

SECOND_US = 1_000_000
# before the first event: what is normal, for the checkers
QUIET_S = RATE_WINDOW_US / SECOND_US + 0.5
AWAY_S = 2.0
FREEZE_S = 4.0  # longer than a lease, so that who wakes has no right to serve
CORES_AWAY_S = 4.0
# What a process on a busy machine takes to stop in order, and to start and be ready.
STOP_S, START_S = 3.0, 3.0

Say = Callable[[str], None]


@dataclass
class Scene:
    """What the events act upon, and share."""

    fleet: Fleet
    say: Say
    version: int = 1

    async def sleep(self, *, s: float) -> None:
        """Let real time pass."""
        await self.fleet.ports.clock.sleep(us=int(s * SECOND_US))


@dataclass(frozen=True, kw_only=True)
class Event:
    """Something that is done to a fleet while it serves.

    `needs_s` is what it takes, with the wait until all is back; of events that do not all
    fit, those of a lower `rank` are kept.
    """

    name: str
    rank: int
    needs_s: float
    run: Callable[[Scene], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class Schedule:
    """The events that fit, in order, and the pause before each; those that don't."""

    events: tuple[Event, ...]
    left_out: tuple[Event, ...]
    pause_s: float


def schedule(*, events: list[Event], seconds: float) -> Schedule:
    """Spread events over a span, as many as fit by rank.

    >>> async def nothing(scene): pass
    >>> events = [Event(name=n, rank=r, needs_s=4, run=nothing) for n, r in (("a", 2), ("b", 1))]
    >>> plan = schedule(events=events, seconds=8.5)
    >>> [e.name for e in plan.events], [e.name for e in plan.left_out], plan.pause_s
    (['b'], ['a'], 0.5)
    """
    room_s = seconds - QUIET_S
    kept: set[str] = set()
    for event in sorted(events, key=lambda event: event.rank):
        if event.needs_s <= room_s:
            kept.add(event.name)
            room_s -= event.needs_s
    chosen = tuple(event for event in events if event.name in kept)
    return Schedule(
        events=chosen,
        left_out=tuple(event for event in events if event.name not in kept),
        pause_s=max(0.0, room_s) / (len(chosen) + 1),
    )


def events_of(*, fleet: Fleet) -> list[Event]:
    """All events, in the order in which they come."""
    edges, cores = len(fleet.deployment.nodes), len(fleet.core_nodes)
    restart_s = (STOP_S + START_S) * (edges + cores)
    return [
        Event(name="configuration changed", rank=0, needs_s=1, run=change),
        Event(name="backend killed", rank=1, needs_s=0.5, run=kill_backend),
        Event(name="edge killed", rank=2, needs_s=AWAY_S + START_S, run=kill_edge),
        Event(name="edge frozen", rank=6, needs_s=FREEZE_S + 0.5, run=freeze_edge),
        Event(name="backend drained", rank=3, needs_s=0.5, run=drain_backend),
        Event(name="leader frozen", rank=5, needs_s=FREEZE_S + 2, run=freeze_leader),
        Event(name="rolling restart", rank=11, needs_s=restart_s, run=restart_all),
        Event(name="core replaced", rank=7, needs_s=8, run=replace_core),
        Event(name="most edges killed", rank=9, needs_s=AWAY_S + 2 * START_S, run=kill_herd),
        Event(name="all cores killed", rank=10, needs_s=CORES_AWAY_S + START_S, run=kill_cores),
        Event(name="disk lost", rank=8, needs_s=8, run=lose_disk),
        Event(name="return judged", rank=4, needs_s=RETURN_NEEDS_S, run=wait_for_return),
    ]


RETURN_NEEDS_S = (RECOVERY_LIMIT_US + RATE_WINDOW_US) / SECOND_US + 1.0


async def change(scene: Scene) -> None:
    """Put a configuration, at the core that was named last."""
    fleet = scene.fleet
    note = f"change-{scene.version}"
    reply = await fleet.put(
        document=fleet.configuration(note=note),
        expected=scene.version,
        put_id=note,
        core=next(reversed(fleet.core_http)),
        wait_us=20 * SECOND_US,
    )
    status = getattr(reply, "status", 0)
    scene.version += status == 200
    scene.say(f"configuration changed: {status or reply}")


async def kill_backend(scene: Scene) -> None:
    """A backend is gone for good."""
    fleet = scene.fleet
    name = fleet.deployment.backends[3].name
    fleet.fault(what="backend killed", excuses=["backend"], backends=[name])
    await fleet.steer(backend=name, is_listening=False)
    fleet.platform.note_backend(name=name, state="absent")
    scene.say(f"backend {name} killed")


async def drain_backend(scene: Scene) -> None:
    """A backend finishes what it has and takes nothing new."""
    fleet = scene.fleet
    name = fleet.deployment.backends[10].name
    await fleet.steer(backend=name, is_draining=True)
    fleet.platform.note_backend(name=name, state="stopping")
    scene.say(f"backend {name} drains")


async def kill_edge(scene: Scene) -> None:
    """An edge is killed, and started again after a moment."""
    fleet = scene.fleet
    name = fleet.deployment.nodes[4].name
    number = fleet.fault(what="edge killed", excuses=["edge"], nodes=[name], after_us=2 * SECOND_US)
    fleet.kill_edges(names=[name])
    scene.say(f"edge {name} killed")
    await scene.sleep(s=AWAY_S)
    fleet.start_edge(name=name)
    fleet.note({"event": "started", "edge": name})
    await fleet.wait_for(what="the killed edge", condition=fleet.all_ready)
    fleet.fault_end(fault=number)
    scene.say(f"edge {name} is back")


async def freeze_edge(scene: Scene) -> None:
    """An edge stands still for longer than its lease."""
    fleet = scene.fleet
    name = fleet.deployment.nodes[-1].name
    number = fleet.fault(
        what="edge frozen", excuses=["edge", "line"], nodes=[name], after_us=4 * SECOND_US
    )
    fleet.signal_edge(name=name, number=signal.SIGSTOP)
    await scene.sleep(s=FREEZE_S)
    fleet.signal_edge(name=name, number=signal.SIGCONT)
    fleet.fault_end(fault=number)
    scene.say(f"edge {name} frozen for {FREEZE_S:.0f} s and awake again")


async def freeze_leader(scene: Scene) -> None:
    """The leader stands still; then a configuration is put."""
    fleet = scene.fleet
    leader = await fleet.leader()
    if leader is None:
        return
    number = fleet.fault(what="leader frozen", excuses=[])
    fleet.signal_core(name=leader, number=signal.SIGSTOP)
    await scene.sleep(s=FREEZE_S)
    fleet.signal_core(name=leader, number=signal.SIGCONT)
    fleet.fault_end(fault=number)
    scene.say(f"leader {leader} frozen for {FREEZE_S:.0f} s and awake again")
    await change(scene)


async def restart_all(scene: Scene) -> None:
    """Every edge and every core is restarted in turn."""
    fleet = scene.fleet
    for node in fleet.deployment.nodes:
        await fleet.restart_edge(name=node.name)
        if node.has_disk:
            await fleet.restart_core(name=node.name)
    scene.say("rolling restart done")


async def replace_core(scene: Scene) -> None:
    """A core is lost with its disk; an empty one comes at another address."""
    fleet = scene.fleet
    fleet.fault(what="core replaced", excuses=[])
    lost = next(iter(fleet.core_http))
    fresh = await fleet.replace_core(name=lost)
    scene.say(f"core {lost} lost with its disk, {fresh} has its place")


async def kill_herd(scene: Scene) -> None:
    """Most edges are killed at once, and started again."""
    fleet = scene.fleet
    nodes = fleet.deployment.nodes
    names = [node.name for node in nodes[1::2] + nodes[::4]]
    number = fleet.fault(
        what="edge herd", excuses=["edge", "away"], nodes=names, after_us=2 * SECOND_US
    )
    fleet.kill_edges(names=names)
    await scene.sleep(s=AWAY_S)
    for name in names:
        fleet.start_edge(name=name)
        fleet.note({"event": "started", "edge": name})
    await fleet.wait_for(what="the herd", condition=fleet.all_ready)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "edge herd"})
    scene.say(f"{len(names)} edges killed at once, all are back")


async def kill_cores(scene: Scene) -> None:
    """Every core is killed at once; the fleet serves on."""
    fleet = scene.fleet
    number = fleet.fault(what="all cores killed", excuses=["away"])
    names = list(fleet.core_http)
    for name in names:
        fleet.kill_core(name=name)
    await scene.sleep(s=CORES_AWAY_S)
    for name in names:
        fleet.start_core(name=name)
    await fleet.wait_for(what="a leader again", condition=fleet.has_leader)
    fleet.fault_end(fault=number)
    scene.say("all cores killed at once, a leader is there again")


async def lose_disk(scene: Scene) -> None:
    """Right after a put was acknowledged, its leader's disk is lost."""
    fleet = scene.fleet
    await change(scene)
    leader = await fleet.leader()
    if leader is None:
        return
    number = fleet.fault(what="disk lost", excuses=[])
    fleet.kill_core(name=leader)
    fleet.lose_disk(name=leader)
    fleet.start_core(name=leader)
    await fleet.wait_for(
        what="the lost core as a voter", condition=lambda: fleet.is_made_good(name=leader)
    )
    fleet.fault_end(fault=number)
    scene.say(f"leader {leader} lost its disk after an acknowledgement, three voters again")


async def wait_for_return(scene: Scene) -> None:
    """Everything is back; the checker of returns wants to see it serve for a while."""
    scene.fleet.note({"event": "returned", "what": "everything"})
    await scene.sleep(s=RETURN_NEEDS_S)


async def kill_leader_at_the_close(scene: Scene) -> None:
    """One more fault at the end: the configuration is read back from those that are left."""
    fleet = scene.fleet
    leader = await fleet.leader()
    if leader is None:
        return
    fleet.fault(what="leader killed at the close", excuses=[])
    fleet.kill_core(name=leader)
    del fleet.core_http[leader]
    await fleet.wait_for(what="another leader", condition=fleet.has_leader)
    scene.say(f"leader {leader} killed at the close")
