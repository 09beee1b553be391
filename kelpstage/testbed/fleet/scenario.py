"""A scenario of a live deployment: traffic, events spread over its time, one fault at the close."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from kelpstage.testbed.checkers.register import CHECKERS
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.fleet.events import (
    QUIET_S,
    Say,
    Scene,
    Schedule,
    events_of,
    kill_leader_at_the_close,
    schedule,
)
from kelpstage.testbed.fleet.fleet import Fleet, start_callers
from kelpstage.testbed.fleet.machine import watch_machine
from kelpstage.testbed.fleet.report import report
from kelpstage.testbed.fleet.sampler import Sampler

RETURN_CHECKER = "slow_return"  # wants a return, and calls for a while after it
RETURN_EVENT = "return judged"
LOG_BYTES = 3_000  # of each log, where a run broke off


@dataclass(kw_only=True)
class Run:
    """What a scenario came to: the result, its history, the metrics of each second, and what
    the processes wrote, by file."""

    result: dict[str, Any]
    history: list[dict[str, Any]]
    metrics: list[dict[str, float]] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)


async def run_scenario(*, name: str, seconds: int, seed: int, has_faults: bool, say: Say) -> Run:
    """Run one deployment. Callers call for so many seconds; starting it comes before, and
    closing it behind."""
    fleet = Fleet(deployment=load(name=name), seed=seed)
    try:
        run = await _run(fleet=fleet, seconds=seconds, has_faults=has_faults, say=say)
    except BaseException:
        for file, text in fleet.stop().items():
            say(f"--- {file}\n{text[-LOG_BYTES:]}")
        raise
    run.logs = fleet.stop()
    return run


async def bring_up(*, fleet: Fleet, say: Say) -> None:
    """Start a fleet, put its configuration, wait until every edge is ready."""
    await fleet.start()
    say("a leader is there")
    await fleet.wait_for(what="the whole membership", condition=fleet.membership_is_whole)
    say("every edge is on the membership")
    reply = await fleet.put(document=fleet.configuration(), expected=0, put_id="first")
    if getattr(reply, "status", 0) != 200:
        raise RuntimeError(f"the first put: {reply}")
    await fleet.wait_for(what="ready edges", condition=fleet.all_ready)

    async def is_handed_on() -> bool:
        return all(fleet.platform.ready.get(n.name) for n in fleet.deployment.nodes)

    await fleet.wait_for(what="the platform to see them ready", condition=is_handed_on)
    say("every edge is ready")


async def _run(*, fleet: Fleet, seconds: int, has_faults: bool, say: Say) -> Run:
    plan = schedule(events=events_of(fleet=fleet) if has_faults else [], seconds=seconds)
    if plan.left_out:
        say(f"too short for: {', '.join(event.name for event in plan.left_out)}")
    await bring_up(fleet=fleet, say=say)
    clock = fleet.ports.clock
    cpu_before = {n: p.cpu_us() for n, p in fleet.processes.all.items()}
    until_us = clock.now_us() + seconds * 1_000_000
    fleet.ports.spawn(watch_machine(notes=fleet, clock=clock))
    sampler = Sampler(ports=fleet.ports, edges=fleet.edge_http)
    sampling = fleet.ports.spawn(sampler.run())
    start_callers(fleet=fleet)
    scene = Scene(fleet=fleet, say=say)
    not_played = await _play(scene=scene, plan=plan, until_us=until_us)
    await clock.sleep(us=until_us - clock.now_us())
    sampling.cancel()
    # Processes that were started anew count from their start alone.
    cpu_after = {n: p.cpu_us() for n, p in fleet.processes.all.items()}
    await fleet.drain_callers()
    say("callers have ended")
    if has_faults:
        await kill_leader_at_the_close(scene)
    statuses = {n.name: await fleet.edge_status(name=n.name) for n in fleet.deployment.nodes}
    await fleet.collect_receipts()
    await fleet.read_back()
    left_out = [event.name for event in plan.left_out] + not_played
    is_returned = has_faults and RETURN_EVENT not in left_out
    result = report(history=fleet.history) | judged(
        history=fleet.history, left_out=left_out, is_returned=is_returned
    )
    result |= _figures(fleet=fleet, cpu_before=cpu_before, cpu_after=cpu_after, result=result)
    result["edge_events"] = _sum_counts(statuses=statuses)
    return Run(result=result, history=fleet.history, metrics=sampler.rows)


async def _play(*, scene: Scene, plan: Schedule, until_us: int) -> list[str]:
    """Play the events; those for which too little time is left then are not begun. Their
    names."""
    clock = scene.fleet.ports.clock
    not_played = []
    await scene.sleep(s=QUIET_S if plan.events else 0)
    for event in plan.events:
        await scene.sleep(s=plan.pause_s)
        left_s = (until_us - clock.now_us()) / 1_000_000
        if event.needs_s > left_s:
            scene.say(f"no time left for: {event.name}")
            not_played.append(event.name)
            continue
        await event.run(scene)
    return not_played


def judged(
    *, history: list[dict[str, Any]], left_out: list[str], is_returned: bool
) -> dict[str, Any]:
    """What the checkers say; the one of returns is asked only if a return was played."""
    asked = {n: c for n, c in CHECKERS.items() if is_returned or n != RETURN_CHECKER}
    found = [violation for check in asked.values() for violation in check(history)]
    return {
        "violations": [f"{violation.rule}: {violation.why}" for violation in found],
        "rules": len(asked),
        "not_judged": [name for name in CHECKERS if name not in asked],
        "left_out": left_out,
    }


def _figures(
    *, fleet: Fleet, cpu_before: dict[str, int], cpu_after: dict[str, int], result: dict[str, Any]
) -> dict[str, Any]:
    calls = max(1, sum(kind["sent"] for kind in result["kinds"].values()))
    spent = {n: max(0, cpu_after[n] - cpu_before.get(n, 0)) for n in cpu_after}
    seconds_seen = [row for row in fleet.history if row["event"] == "machine"]
    return {
        "cpu_us_per_call": {
            group: sum(us for n, us in spent.items() if n.startswith(group)) // calls
            for group in ("edge", "core", "host")
        },
        "machine": {
            "seconds": len(seconds_seen),
            "noisy_seconds": sum(
                row["event"] == "fault" and row["what"].startswith("machine")
                for row in fleet.history
            ),
            "most_stolen": max((row["stolen"] for row in seconds_seen), default=None),
            "most_lag_us": max((row["lag_us"] for row in seconds_seen), default=None),
        },
        "put_results": [
            (row["put_id"], row["status"], row["at_us"] - row["sent_us"])
            for row in fleet.history
            if row["event"] == "put"
        ],
    }


def _sum_counts(*, statuses: dict[str, Any]) -> dict[str, int]:
    total: dict[str, int] = {}
    for view in statuses.values():
        for name, count in (view or {}).get("counts", {}).items():
            total[name] = total.get(name, 0) + count
    return dict(sorted(total.items()))
