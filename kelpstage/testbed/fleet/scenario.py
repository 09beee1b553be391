"""A scenario of a live deployment: traffic, a configuration changed, a backend and an
edge killed, a rolling restart."""

from __future__ import annotations

import json
import signal
from typing import Any

from kelpstage.testbed.checkers.register import find_violations
from kelpstage.testbed.checkers.serving import LOOK_US, RETURN_US
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.fleet.fleet import Fleet, start_callers
from kelpstage.testbed.fleet.machine import watch_machine
from kelpstage.testbed.fleet.report import report


async def run_day(
    *, name: str, seconds: int, seed: int, has_faults: bool, say: Any
) -> tuple[dict, list[dict]]:
    """Run one deployment and give its report and history."""
    fleet = Fleet(deployment=load(name=name), seed=seed)
    try:
        return await _run(fleet=fleet, seconds=seconds, has_faults=has_faults, say=say)
    finally:
        fleet.stop()


async def bring_up(*, fleet: Fleet, say: Any) -> None:
    """Start a fleet, put its configuration, wait until every edge is ready."""
    await fleet.start()
    say("a leader is there")
    await fleet.wait_for(what="the whole membership", is_there=fleet.membership_is_whole)
    say("every edge is on the membership")
    reply = await fleet.put(document=fleet.configuration(), expected=0, put_id="first")
    if getattr(reply, "status", 0) != 200:
        raise RuntimeError(f"the first put: {reply}")
    await fleet.wait_for(what="ready edges", is_there=fleet.all_ready)

    async def is_handed_on() -> bool:
        return all(fleet.platform.ready.get(n.name) for n in fleet.deployment.nodes)

    await fleet.wait_for(what="the platform to see them ready", is_there=is_handed_on)
    say("every edge is ready")


async def _run(
    *, fleet: Fleet, seconds: int, has_faults: bool, say: Any
) -> tuple[dict, list[dict]]:
    await bring_up(fleet=fleet, say=say)
    clock = fleet.ports.clock
    cpu_before = {n: p.cpu_us() for n, p in fleet.processes.all.items()}
    started_us = clock.now_us()
    fleet.ports.spawn(watch_machine(notes=fleet, clock=clock))
    start_callers(fleet=fleet)
    span_us = seconds * 1_000_000

    async def until(share: float) -> None:
        await clock.sleep(us=started_us + int(span_us * share) - clock.now_us())

    if has_faults:
        await _faults(fleet=fleet, until=until, say=say)
    await until(1.0)
    # Processes that were started anew count from their start alone.
    cpu_after = {n: p.cpu_us() for n, p in fleet.processes.all.items()}
    await fleet.drain_callers()
    if has_faults:
        await _last_fault(fleet=fleet, say=say)
    statuses = {}
    for node in fleet.deployment.nodes:
        statuses[node.name] = await fleet.edge_status(name=node.name)
    await fleet.collect_receipts()
    await fleet.read_back()
    result = report(history=fleet.history)
    calls = sum(kind["sent"] for kind in result["kinds"].values())
    result["cpu_us_per_call"] = {
        group: sum(
            max(0, cpu_after[n] - cpu_before.get(n, 0)) for n in cpu_after if n.startswith(group)
        )
        // max(1, calls)
        for group in ("edge", "core", "host")
    }
    result["violations"] = [f"{v.rule}: {v.why}" for v in find_violations(history=fleet.history)]
    seconds_seen = [row for row in fleet.history if row["event"] == "machine"]
    result["machine"] = {
        "seconds": len(seconds_seen),
        "noisy_seconds": sum(
            row["event"] == "fault" and row["what"].startswith("machine") for row in fleet.history
        ),
        "most_stolen": max((row["stolen"] for row in seconds_seen), default=None),
        "most_lag_us": max((row["lag_us"] for row in seconds_seen), default=None),
    }
    result["edge_events"] = _sum_counts(statuses=statuses)
    result["put_verdicts"] = [
        (row["put_id"], row["status"], row["at_us"] - row["sent_us"])
        for row in fleet.history
        if row["event"] == "put"
    ]
    return result, fleet.history


def _sum_counts(*, statuses: dict) -> dict:
    total: dict[str, int] = {}
    for view in statuses.values():
        for name, count in (view or {}).get("counts", {}).items():
            total[name] = total.get(name, 0) + count
    return dict(sorted(total.items()))


async def _faults(*, fleet: Fleet, until: Any, say: Any) -> None:
    """The scenario's faults, at shares of its length, each with what it excuses."""
    deployment = fleet.deployment
    version = 1

    async def put(note: str) -> None:
        nonlocal version
        reply = await fleet.put(
            document=fleet.configuration(note=note),
            expected=version,
            put_id=note,
            core=next(reversed(fleet.core_http)),
            wait_us=20_000_000,
        )
        if getattr(reply, "status", 0) == 200:
            version += 1
        say(f"configuration changed: {getattr(reply, 'status', reply)}")

    await until(0.10)
    await put("second")
    await until(0.15)
    victim = deployment.backends[3].name
    fleet.fault(what="backend killed", excuses=["backend"], backends=[victim])
    await fleet.steer(backend=victim, is_listening=False)
    fleet.platform.note_backend(name=victim, state="absent")
    say(f"backend {victim} killed")
    await until(0.20)
    await _kill_edge(fleet=fleet, name=deployment.nodes[4].name, until=until, back_at=0.25, say=say)
    await until(0.30)
    await _freeze_edge(fleet=fleet, name=deployment.nodes[-1].name, say=say)
    await until(0.38)
    drained = deployment.backends[10].name
    await fleet.steer(backend=drained, is_draining=True)
    fleet.platform.note_backend(name=drained, state="stopping")
    say(f"backend {drained} drains")
    await until(0.42)
    await _freeze_leader(fleet=fleet, say=say)
    await put("during")
    await until(0.48)
    for node in deployment.nodes:
        await fleet.restart_edge(name=node.name)
        if node.has_disk:
            await fleet.restart_core(name=node.name)
    say("rolling restart done")
    await until(0.72)
    fleet.fault(what="core replaced", excuses=[])
    lost = next(iter(fleet.core_http))
    fresh = await fleet.replace_core(name=lost)
    say(f"core {lost} lost with its disk, {fresh} has its place")
    await until(0.78)
    await _kill_herd(fleet=fleet, say=say)
    await until(0.83)
    await _kill_cores(fleet=fleet, say=say)
    await until(0.87)
    await put("before the disk is lost")
    await _lose_disk(fleet=fleet, say=say)
    await until(0.91)
    await put("last")
    fleet.note({"event": "returned", "what": "everything"})
    await fleet.ports.clock.sleep(us=RETURN_US + LOOK_US + 1_000_000)  # for the checker


async def _kill_herd(*, fleet: Fleet, say: Any) -> None:
    """Most edges are killed at once, and started again."""
    nodes = fleet.deployment.nodes
    names = [node.name for node in nodes[1::2] + nodes[::4]]
    number = fleet.fault(
        what="edge herd", excuses=["edge", "away"], nodes=names, after_us=2_000_000
    )
    fleet.kill_edges(names=names)
    await fleet.ports.clock.sleep(us=2_000_000)
    for name in names:
        fleet.start_edge(name=name)
        fleet.note({"event": "started", "edge": name})
    await fleet.wait_for(what="the herd", is_there=fleet.all_ready)
    fleet.fault_end(fault=number)
    fleet.note({"event": "returned", "what": "edge herd"})
    say(f"{len(names)} edges killed at once, all are back")


async def _kill_cores(*, fleet: Fleet, say: Any) -> None:
    """Every core is killed at once; the fleet serves on."""
    number = fleet.fault(what="all cores killed", excuses=["away"])
    names = list(fleet.core_http)
    for name in names:
        fleet.kill_core(name=name)
    await fleet.ports.clock.sleep(us=4_000_000)
    for name in names:
        fleet.start_core(name=name)
    await fleet.wait_for(what="a leader again", is_there=fleet.has_leader)
    fleet.fault_end(fault=number)
    say("all cores killed at once, a leader is there again")


async def _lose_disk(*, fleet: Fleet, say: Any) -> None:
    """Right after a put was acknowledged, its leader's disk is lost."""
    leader = await fleet.leader()
    if leader is None:
        return
    number = fleet.fault(what="disk lost", excuses=[])
    fleet.kill_core(name=leader)
    fleet.lose_disk(name=leader)
    fleet.start_core(name=leader)
    await fleet.wait_for(
        what="the lost core as a voter", is_there=lambda: fleet.is_made_good(name=leader)
    )
    fleet.fault_end(fault=number)
    say(f"leader {leader} lost its disk after an acknowledgement, three voters again")


async def _last_fault(*, fleet: Fleet, say: Any) -> None:
    """One more fault at the close: the leader is killed; the configuration is read back
    from those that are left."""
    leader = await fleet.leader()
    if leader is None:
        return
    fleet.fault(what="leader killed at the close", excuses=[])
    fleet.kill_core(name=leader)
    del fleet.core_http[leader]
    await fleet.wait_for(what="another leader", is_there=fleet.has_leader)
    say(f"leader {leader} killed at the close")


async def _kill_edge(*, fleet: Fleet, name: str, until: Any, back_at: float, say: Any) -> None:
    number = fleet.fault(what="edge killed", excuses=["edge"], nodes=[name], after_us=2_000_000)
    fleet.kill_edges(names=[name])
    say(f"edge {name} killed")
    await until(back_at)
    fleet.start_edge(name=name)
    fleet.note({"event": "started", "edge": name})
    await fleet.wait_for(what="the killed edge", is_there=fleet.all_ready)
    fleet.fault_end(fault=number)
    say(f"edge {name} is back")


async def _freeze_edge(*, fleet: Fleet, name: str, say: Any) -> None:
    """Longer than its lease, so that it wakes without the right to serve."""
    number = fleet.fault(
        what="edge frozen", excuses=["edge", "line"], nodes=[name], after_us=4_000_000
    )
    fleet.signal_edge(name=name, number=signal.SIGSTOP)
    await fleet.ports.clock.sleep(us=4_000_000)
    fleet.signal_edge(name=name, number=signal.SIGCONT)
    fleet.fault_end(fault=number)
    say(f"edge {name} frozen for 4 s and awake again")


async def _freeze_leader(*, fleet: Fleet, say: Any) -> None:
    leader = await fleet.leader()
    if leader is None:
        return
    number = fleet.fault(what="leader frozen", excuses=[])
    fleet.signal_core(name=leader, number=signal.SIGSTOP)
    await fleet.ports.clock.sleep(us=4_000_000)
    fleet.signal_core(name=leader, number=signal.SIGCONT)
    fleet.fault_end(fault=number)
    say(f"leader {leader} frozen for 4 s and awake again")


def show(*, result: dict) -> str:
    """The report as text.

    >>> show(result={"kinds": {}})
    '{\\n "kinds": {}\\n}'
    """
    return json.dumps(result, indent=1, ensure_ascii=False)
