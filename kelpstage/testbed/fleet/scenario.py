"""A scenario of a live deployment: traffic, events spread over its duration, and a final fault."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from kelpstage.testbed.checkers.register import CHECKERS
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.fleet.events import (
    BASELINE_S,
    EventContext,
    ProgressLogger,
    Schedule,
    events_of,
    kill_leader_at_the_close,
    schedule,
)
from kelpstage.testbed.fleet.fleet import Fleet, start_callers
from kelpstage.testbed.fleet.machine import watch_machine
from kelpstage.testbed.fleet.report import report
from kelpstage.testbed.fleet.sampler import Sampler

RETURN_CHECKER = "slow_return"  # needs a recovery, and calls for some time after it
RETURN_EVENT = "return judged"
LOG_TAIL_CHARACTERS = 3_000  # of each log, printed when a run fails


@dataclass(kw_only=True)
class ScenarioRun:
    """The outcome of a scenario: the result, the history, the metrics of each second, and the logs
    of the processes by file name."""

    result: dict[str, Any]
    history: list[dict[str, Any]]
    metrics: list[dict[str, float]] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)


async def run_scenario(
    *, name: str, seconds: int, seed: int, has_faults: bool, log_progress: ProgressLogger
) -> ScenarioRun:
    """Runs a scenario of one deployment. Callers send calls for `seconds`, in addition to the time
    of start and shutdown."""
    fleet = Fleet(deployment=load(name=name), seed=seed)
    try:
        run = await _run_on_fleet(
            fleet=fleet, seconds=seconds, has_faults=has_faults, log_progress=log_progress
        )
    except BaseException:
        for file, text in fleet.stop().items():
            log_progress(f"--- {file}\n{text[-LOG_TAIL_CHARACTERS:]}")
        raise
    run.logs = fleet.stop()
    return run


async def bring_up(*, fleet: Fleet, log_progress: ProgressLogger) -> None:
    """Starts a fleet, writes its configuration and waits until every edge is ready."""
    await fleet.start()
    log_progress("a leader is elected")
    await fleet.wait_for(
        what="the membership to be complete", condition=fleet.is_membership_complete
    )
    log_progress("every edge is in the membership")
    reply = await fleet.put(document=fleet.configuration(), expected=0, put_id="first")
    if getattr(reply, "status", 0) != 200:
        raise RuntimeError(f"the first configuration write failed: {reply}")
    await fleet.wait_for(what="the edges to be ready", condition=fleet.are_edges_ready)

    async def is_seen_ready() -> bool:
        return all(fleet.platform.ready.get(n.name) for n in fleet.deployment.nodes)

    await fleet.wait_for(what="the platform to list all edges as ready", condition=is_seen_ready)
    log_progress("every edge is ready")


async def _run_on_fleet(
    *, fleet: Fleet, seconds: int, has_faults: bool, log_progress: ProgressLogger
) -> ScenarioRun:
    plan = schedule(events=events_of(fleet=fleet) if has_faults else [], seconds=seconds)
    if plan.left_out:
        log_progress(
            f"scenario is too short for: {', '.join(event.name for event in plan.left_out)}"
        )
    await bring_up(fleet=fleet, log_progress=log_progress)
    clock = fleet.ports.clock
    cpu_before = {n: p.cpu_us() for n, p in fleet.processes.all.items()}
    deadline_us = clock.now_us() + seconds * 1_000_000
    fleet.ports.spawn(watch_machine(notes=fleet, clock=clock))
    sampler = Sampler(ports=fleet.ports, edges=fleet.edge_http)
    sampling = fleet.ports.spawn(sampler.run())
    start_callers(fleet=fleet)
    context = EventContext(fleet=fleet, log_progress=log_progress)
    skipped = await _run_events(context=context, plan=plan, deadline_us=deadline_us)
    await clock.sleep(us=deadline_us - clock.now_us())
    sampling.cancel()
    # For restarted processes this is the time since their start only.
    cpu_after = {n: p.cpu_us() for n, p in fleet.processes.all.items()}
    await fleet.drain_callers()
    log_progress("callers have stopped")
    if has_faults:
        await kill_leader_at_the_close(context)
    statuses = {n.name: await fleet.edge_status(name=n.name) for n in fleet.deployment.nodes}
    await fleet.collect_receipts()
    await fleet.read_back()
    left_out = [event.name for event in plan.left_out] + skipped
    is_returned = has_faults and RETURN_EVENT not in left_out
    result = report(history=fleet.history) | judged(
        history=fleet.history, left_out=left_out, is_returned=is_returned
    )
    result |= _resource_figures(
        fleet=fleet, cpu_before=cpu_before, cpu_after=cpu_after, result=result
    )
    result["edge_events"] = _sum_counts(statuses=statuses)
    return ScenarioRun(result=result, history=fleet.history, metrics=sampler.rows)


async def _run_events(*, context: EventContext, plan: Schedule, deadline_us: int) -> list[str]:
    """Runs the events, skips each that no longer fits before the deadline, and returns the names
    of the skipped ones."""
    clock = context.fleet.ports.clock
    skipped = []
    await context.sleep(s=BASELINE_S if plan.events else 0)
    for event in plan.events:
        await context.sleep(s=plan.pause_s)
        left_s = (deadline_us - clock.now_us()) / 1_000_000
        if event.needs_s > left_s:
            context.log_progress(f"too little time left for: {event.name}")
            skipped.append(event.name)
            continue
        await event.run(context)
    return skipped


def judged(
    *, history: list[dict[str, Any]], left_out: list[str], is_returned: bool
) -> dict[str, Any]:
    """Runs the checkers on a history. The recovery checker is included only if a recovery was part
    of the run."""
    checkers = {n: c for n, c in CHECKERS.items() if is_returned or n != RETURN_CHECKER}
    found = [violation for check in checkers.values() for violation in check(history)]
    return {
        "violations": [f"{violation.rule}: {violation.why}" for violation in found],
        "rules": len(checkers),
        "not_judged": [name for name in CHECKERS if name not in checkers],
        "left_out": left_out,
    }


def _resource_figures(
    *, fleet: Fleet, cpu_before: dict[str, int], cpu_after: dict[str, int], result: dict[str, Any]
) -> dict[str, Any]:
    calls = max(1, sum(kind["sent"] for kind in result["kinds"].values()))
    spent = {n: max(0, cpu_after[n] - cpu_before.get(n, 0)) for n in cpu_after}
    machine_rows = [row for row in fleet.history if row["event"] == "machine"]
    return {
        "cpu_us_per_call": {
            group: sum(us for n, us in spent.items() if n.startswith(group)) // calls
            for group in ("edge", "core", "host")
        },
        "machine": {
            "seconds": len(machine_rows),
            "noisy_seconds": sum(
                row["event"] == "fault" and row["what"].startswith("machine")
                for row in fleet.history
            ),
            "most_stolen": max((row["stolen"] for row in machine_rows), default=None),
            "most_lag_us": max((row["lag_us"] for row in machine_rows), default=None),
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
