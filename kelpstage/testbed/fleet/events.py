"""The events of a live scenario, and the selection of those that fit into its duration."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from typing import Awaitable, Callable

from kelpstage.testbed.checkers.serving import RATE_WINDOW_US, RECOVERY_LIMIT_US
from kelpstage.testbed.fleet.fleet import Fleet

SECOND_US = 1_000_000
# Undisturbed time before the first event; checkers compare later service with it.
BASELINE_S = RATE_WINDOW_US / SECOND_US + 0.5
EDGE_DOWNTIME_S = 2.0
FREEZE_S = 4.0  # longer than a lease, so that a resumed edge may not serve
CORE_DOWNTIME_S = 4.0
# Time that a process on a busy machine needs to stop gracefully, and to start and become ready.
PROCESS_STOP_S, PROCESS_START_S = 3.0, 3.0

ProgressLogger = Callable[[str], None]


@dataclass
class EventContext:
    """State that the events of a scenario share: the fleet, and the configuration's version."""

    fleet: Fleet
    log_progress: ProgressLogger
    version: int = 1

    async def sleep(self, *, s: float) -> None:
        """Sleep for real time."""
        await self.fleet.ports.clock.sleep(us=int(s * SECOND_US))


@dataclass(frozen=True, kw_only=True)
class Event:
    """A fault or change that is applied to a fleet while it serves.

    `needs_s` is its duration, including the wait until the fleet has recovered. If not all
    events fit into a scenario, those with a lower `rank` are selected first.
    """

    name: str
    rank: int
    needs_s: float
    run: Callable[[EventContext], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class Schedule:
    """The selected events in order, the events that do not fit, and the pause before each event."""

    events: tuple[Event, ...]
    left_out: tuple[Event, ...]
    pause_s: float


def schedule(*, events: list[Event], seconds: float) -> Schedule:
    """Selects the events that fit into a duration, by rank, and spreads them evenly over it.

    >>> async def nothing(context): pass
    >>> events = [Event(name=n, rank=r, needs_s=4, run=nothing) for n, r in (("a", 2), ("b", 1))]
    >>> plan = schedule(events=events, seconds=8.5)
    >>> [e.name for e in plan.events], [e.name for e in plan.left_out], plan.pause_s
    (['b'], ['a'], 0.5)
    """
    available_s = seconds - BASELINE_S
    selected_names: set[str] = set()
    for event in sorted(events, key=lambda event: event.rank):
        if event.needs_s <= available_s:
            selected_names.add(event.name)
            available_s -= event.needs_s
    selected = tuple(event for event in events if event.name in selected_names)
    return Schedule(
        events=selected,
        left_out=tuple(event for event in events if event.name not in selected_names),
        pause_s=max(0.0, available_s) / (len(selected) + 1),
    )


def events_of(*, fleet: Fleet) -> list[Event]:
    """Returns all events, in the order in which they run."""
    edges, cores = len(fleet.deployment.nodes), len(fleet.core_nodes)
    restart_s = (PROCESS_STOP_S + PROCESS_START_S) * (edges + cores)
    return [
        Event(name="configuration changed", rank=0, needs_s=1, run=change),
        Event(name="backend killed", rank=1, needs_s=0.5, run=kill_backend),
        Event(name="edge killed", rank=2, needs_s=EDGE_DOWNTIME_S + PROCESS_START_S, run=kill_edge),
        Event(name="edge frozen", rank=6, needs_s=FREEZE_S + 0.5, run=freeze_edge),
        Event(name="backend drained", rank=3, needs_s=0.5, run=drain_backend),
        Event(name="leader frozen", rank=5, needs_s=FREEZE_S + 2, run=freeze_leader),
        Event(name="rolling restart", rank=11, needs_s=restart_s, run=restart_all),
        Event(name="core replaced", rank=7, needs_s=8, run=replace_core),
        Event(
            name="most edges killed",
            rank=9,
            needs_s=EDGE_DOWNTIME_S + 2 * PROCESS_START_S,
            run=kill_herd,
        ),
        Event(
            name="all cores killed",
            rank=10,
            needs_s=CORE_DOWNTIME_S + PROCESS_START_S,
            run=kill_cores,
        ),
        Event(name="disk lost", rank=8, needs_s=8, run=lose_disk),
        Event(name="return judged", rank=4, needs_s=RECOVERY_OBSERVATION_S, run=wait_for_return),
    ]


RECOVERY_OBSERVATION_S = (RECOVERY_LIMIT_US + RATE_WINDOW_US) / SECOND_US + 1.0


async def change(context: EventContext) -> None:
    """Write a configuration at the last core of the list."""
    fleet = context.fleet
    note = f"change-{context.version}"
    reply = await fleet.put(
        document=fleet.configuration(note=note),
        expected=context.version,
        put_id=note,
        core=next(reversed(fleet.core_http)),
        wait_us=20 * SECOND_US,
    )
    status = getattr(reply, "status", 0)
    context.version += status == 200
    context.log_progress(f"configuration changed: {status or reply}")


async def kill_backend(context: EventContext) -> None:
    """Stop a backend permanently."""
    fleet = context.fleet
    name = fleet.deployment.backends[3].name
    fleet.fault(what="backend killed", excuses=["backend"], backends=[name])
    await fleet.set_backend_mode(backend=name, is_listening=False)
    fleet.platform.note_backend(name=name, state="absent")
    context.log_progress(f"backend {name} killed")


async def drain_backend(context: EventContext) -> None:
    """Drain a backend: it finishes its requests in flight and accepts no new ones."""
    fleet = context.fleet
    name = fleet.deployment.backends[10].name
    await fleet.set_backend_mode(backend=name, is_draining=True)
    fleet.platform.note_backend(name=name, state="stopping")
    context.log_progress(f"backend {name} is draining")


async def kill_edge(context: EventContext) -> None:
    """Kill an edge and start it again after `EDGE_DOWNTIME_S`."""
    fleet = context.fleet
    name = fleet.deployment.nodes[4].name
    number = fleet.fault(what="edge killed", excuses=["edge"], nodes=[name], after_us=2 * SECOND_US)
    fleet.kill_edges(names=[name])
    context.log_progress(f"edge {name} killed")
    await context.sleep(s=EDGE_DOWNTIME_S)
    fleet.start_edge(name=name)
    fleet.note({"event": "started", "edge": name})
    await fleet.wait_for(what="the killed edge to be ready", condition=fleet.are_edges_ready)
    fleet.fault_end(fault=number)
    context.log_progress(f"edge {name} restarted and ready")


async def freeze_edge(context: EventContext) -> None:
    """Freeze an edge for longer than its lease."""
    fleet = context.fleet
    name = fleet.deployment.nodes[-1].name
    number = fleet.fault(
        what="edge frozen", excuses=["edge", "line"], nodes=[name], after_us=4 * SECOND_US
    )
    fleet.signal_edge(name=name, number=signal.SIGSTOP)
    await context.sleep(s=FREEZE_S)
    fleet.signal_edge(name=name, number=signal.SIGCONT)
    fleet.fault_end(fault=number)
    context.log_progress(f"edge {name} frozen for {FREEZE_S:.0f} s and resumed")


async def freeze_leader(context: EventContext) -> None:
    """Freeze the leader, then write a configuration."""
    fleet = context.fleet
    leader = await fleet.leader()
    if leader is None:
        return
    number = fleet.fault(what="leader frozen", excuses=[])
    fleet.signal_core(name=leader, number=signal.SIGSTOP)
    await context.sleep(s=FREEZE_S)
    fleet.signal_core(name=leader, number=signal.SIGCONT)
    fleet.fault_end(fault=number)
    context.log_progress(f"leader {leader} frozen for {FREEZE_S:.0f} s and resumed")
    await change(context)


async def restart_all(context: EventContext) -> None:
    """Restart every edge and every core, one after the other."""
    fleet = context.fleet
    for node in fleet.deployment.nodes:
        await fleet.restart_edge(name=node.name)
        if node.has_disk:
            await fleet.restart_core(name=node.name)
    context.log_progress("rolling restart done")


async def replace_core(context: EventContext) -> None:
    """Replace a core that is lost with its disk by an empty one at another address."""
    fleet = context.fleet
    fleet.fault(what="core replaced", excuses=[])
    lost = next(iter(fleet.core_http))
    new_name = await fleet.replace_core(name=lost)
    context.log_progress(f"core {lost} lost with its disk and replaced by {new_name}")


async def kill_herd(context: EventContext) -> None:
    """Kill most edges at the same time and start them again."""
    fleet = context.fleet
    nodes = fleet.deployment.nodes
    names = [node.name for node in nodes[1::2] + nodes[::4]]
    number = fleet.fault(
        what="edge herd", excuses=["edge", "away"], nodes=names, after_us=2 * SECOND_US
    )
    fleet.kill_edges(names=names)
    await context.sleep(s=EDGE_DOWNTIME_S)
    for name in names:
        fleet.start_edge(name=name)
        fleet.note({"event": "started", "edge": name})
    await fleet.wait_for(what="the killed edges to be ready", condition=fleet.are_edges_ready)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "edge herd"})
    context.log_progress(f"{len(names)} edges killed at the same time, all ready again")


async def kill_cores(context: EventContext) -> None:
    """Kill every core at the same time; the edges continue to serve."""
    fleet = context.fleet
    number = fleet.fault(what="all cores killed", excuses=["away"])
    names = list(fleet.core_http)
    for name in names:
        fleet.kill_core(name=name)
    await context.sleep(s=CORE_DOWNTIME_S)
    for name in names:
        fleet.start_core(name=name)
    await fleet.wait_for(what="a leader after all cores were killed", condition=fleet.has_leader)
    fleet.fault_end(fault=number)
    context.log_progress("all cores killed at the same time, a leader is elected again")


async def lose_disk(context: EventContext) -> None:
    """Lose the leader's disk right after it acknowledged a configuration write."""
    fleet = context.fleet
    await change(context)
    leader = await fleet.leader()
    if leader is None:
        return
    number = fleet.fault(what="disk lost", excuses=[])
    fleet.kill_core(name=leader)
    fleet.lose_disk(name=leader)
    fleet.start_core(name=leader)
    await fleet.wait_for(
        what="the core that lost its disk to be a voter",
        condition=lambda: fleet.is_voter_again(name=leader),
    )
    fleet.fault_end(fault=number)
    context.log_progress(
        f"leader {leader} lost its disk after an acknowledgement, three voters again"
    )


async def wait_for_return(context: EventContext) -> None:
    """Record that every fault is over, and serve for as long as the recovery checker observes."""
    context.fleet.note({"event": "returned", "what": "everything"})
    await context.sleep(s=RECOVERY_OBSERVATION_S)


async def kill_leader_at_the_close(context: EventContext) -> None:
    """Kill the leader at the end, so that the configuration is read from the remaining cores."""
    fleet = context.fleet
    leader = await fleet.leader()
    if leader is None:
        return
    fleet.fault(what="leader killed at the close", excuses=[])
    fleet.kill_core(name=leader)
    del fleet.core_http[leader]
    await fleet.wait_for(what="another leader", condition=fleet.has_leader)
    context.log_progress(f"leader {leader} killed at the end")
