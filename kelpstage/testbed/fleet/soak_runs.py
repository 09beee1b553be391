"""Soak tests of several seeds, optionally in parallel."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Callable, Iterator

from kelpstage.testbed.fleet.deployment import Deployment, Node, load
from kelpstage.testbed.fleet.fleet import Fleet, FleetTimeoutError
from kelpstage.testbed.fleet.processes import PORTS
from kelpstage.testbed.fleet.scenario import bring_up
from kelpstage.testbed.fleet.soak import Soak
from kelpstage.testbed.fleet.soak_rules import find_violations
from kelpstage.testbed.stand_ins.kept_callers import KeepAliveCallers

MAX_SHOWN_VIOLATIONS = 8  # violations printed for each soak


@dataclass(frozen=True, kw_only=True)
class SoakPlan:
    """Parameters of one soak."""

    deployment: str
    seed: int
    seconds: float
    callers: int
    edges: int
    is_quiet: bool
    port_range: range = PORTS


def run_soaks(*, plans: list[SoakPlan], jobs: int) -> Iterator[SoakResult]:
    """Runs soaks, at most `jobs` at a time, with separate port ranges; yields their results in the
    order of the plans."""
    if jobs == 1:
        yield from map(_run, plans)
        return
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=jobs, mp_context=context) as pool:
        yield from pool.map(_run, with_port_ranges(plans=plans, jobs=jobs))


def with_port_ranges(*, plans: list[SoakPlan], jobs: int) -> list[SoakPlan]:
    """Returns the plans with port ranges that soaks in parallel do not share.

    A soak may outlast several that started with it, so there are twice as many ranges as jobs.

    >>> plan = SoakPlan(deployment="tiny", seed=1, seconds=1, callers=1, edges=0, is_quiet=True)
    >>> ranges = [p.port_range for p in with_port_ranges(plans=[plan] * 3, jobs=2)]
    >>> any(set(a) & set(b) for a, b in zip(ranges, ranges[1:]))
    False
    """
    size = len(PORTS) // (2 * jobs)
    out = []
    for number, plan in enumerate(plans):
        index = number % (2 * jobs)
        out.append(replace(plan, port_range=PORTS[index * size : (index + 1) * size]))
    return out


@dataclass(frozen=True, kw_only=True)
class SoakResult:
    """Result of one soak."""

    seed: int
    processes: int
    calls: int
    answered: int
    acknowledged_writes: int
    ended_rollouts: int
    disturbances: dict[str, int]
    violations: list[str]
    logs: dict[str, str] = field(repr=False)
    history: list[dict[str, Any]] = field(repr=False, default_factory=list)


def soak_text(*, result: SoakResult) -> str:
    """Returns a line of text about a soak, and a line for each of its first violations.

    >>> soak_text(result=SoakResult(seed=1, processes=2, calls=3, answered=3, acknowledged_writes=4,
    ...     ended_rollouts=5, disturbances={"kill": 1}, violations=[], logs={}))
    'seed 1: 2 processes, 3 of 3 calls answered, 4 orders, 5 rollouts, kill 1: kept'
    """
    what = ", ".join(f"{name} {count}" for name, count in result.disturbances.items())
    head = (
        f"seed {result.seed}: {result.processes} processes, {result.answered} of {result.calls} "
        f"calls answered, {result.acknowledged_writes} orders, "
        f"{result.ended_rollouts} rollouts, {what}: "
    )
    if not result.violations:
        return head + "kept"
    lines = [f"  {violation}" for violation in result.violations[:MAX_SHOWN_VIOLATIONS]]
    return "\n".join([head + f"{len(result.violations)} violations", *lines])


def enlarged(*, deployment: Deployment, edges: int) -> Deployment:
    """Returns a deployment with machines without a disk added, so that it has at least `edges`.

    >>> len(enlarged(deployment=load(name="tiny"), edges=8).nodes)
    8
    """
    nodes = list(deployment.nodes)
    while len(nodes) < edges:
        number = len(nodes) + 1
        zone = deployment.zones[number % len(deployment.zones)]
        nodes.append(Node(name=f"node-{number:02}", zone=zone, has_disk=False))
    return replace(deployment, nodes=nodes)


def write_soak_report(*, folder: Path, result: SoakResult) -> None:
    """Writes the violations of a soak, its history and the log of each process."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "result.txt").write_text("\n".join(result.violations), encoding="utf-8")
    rows = "".join(json.dumps(row, default=str) + "\n" for row in result.history)
    (folder / "history.jsonl").write_text(rows, encoding="utf-8")
    for name, text in result.logs.items():
        (folder / f"{name}.log").write_text(text, encoding="utf-8")


def _run(plan: SoakPlan) -> SoakResult:
    started_s = time.monotonic()

    def log_progress(text: str) -> None:
        if not plan.is_quiet:
            print(f"[{time.monotonic() - started_s:6.1f} s] {text}", file=sys.stderr, flush=True)

    return asyncio.run(run_soak(plan=plan, log_progress=log_progress))


async def run_soak(*, plan: SoakPlan, log_progress: Callable[[str], None]) -> SoakResult:
    """Runs one soak on a deployment, enlarged to the number of edges in the plan."""
    deployment = enlarged(deployment=load(name=plan.deployment), edges=plan.edges)
    fleet = Fleet(
        deployment=deployment,
        seed=plan.seed,
        pause_share=0.0,
        has_observers=True,
        port_range=plan.port_range,
    )
    soak = Soak(fleet=fleet, seed=plan.seed, log_progress=log_progress)
    keep_alive_callers = KeepAliveCallers(callers=fleet.callers)
    logs: dict[str, str] = {}
    timed_out: list[str] = []
    try:
        await bring_up(fleet=fleet, log_progress=log_progress)
        keep_alive_callers.start(count=plan.callers)
        await soak.run(seconds=plan.seconds)
        await keep_alive_callers.stop()
        await fleet.collect_receipts()
        await fleet.read_back()
    except* FleetTimeoutError as errors:
        timed_out = [str(error) for error in errors.exceptions]
    finally:
        logs = fleet.stop()
    rows = [row for row in fleet.history if row["event"] in ("call", "kept_call")]
    return SoakResult(
        seed=plan.seed,
        processes=len(fleet.processes.all),
        calls=len(rows),
        answered=sum(row["event"] == "call" and row["end"] == "ok" for row in rows),
        acknowledged_writes=soak.acknowledged_writes,
        ended_rollouts=soak.ended_rollouts,
        disturbances=soak.disturbances,
        violations=timed_out + soak.violations + find_violations(history=fleet.history, logs=logs),
        logs=logs,
        history=fleet.history,
    )
