"""Soaks of many seeds, some of them side by side."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Iterator

from kelpstage.testbed.fleet.processes import PORTS
from kelpstage.testbed.fleet.soak import SoakResult, run_soak


@dataclass(frozen=True, kw_only=True)
class SoakPlan:
    """What one soak is: a deployment, a seed, and how much of everything."""

    deployment: str
    seed: int
    seconds: float
    callers: int
    edges: int
    is_quiet: bool
    port_range: range = PORTS


def run_soaks(*, plans: list[SoakPlan], jobs: int) -> Iterator[SoakResult]:
    """Run soaks, at most `jobs` at a time, each time with ports of their own; their results
    in the order of the plans."""
    if jobs == 1:
        yield from map(_run, plans)
        return
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=jobs, mp_context=context) as pool:
        yield from pool.map(_run, with_port_ranges(plans=plans, jobs=jobs))


def with_port_ranges(*, plans: list[SoakPlan], jobs: int) -> list[SoakPlan]:
    """The plans with ranges of ports, such that those that run side by side share none.

    A soak may outlast several that began with it, so there are twice as many ranges as jobs.

    >>> plan = SoakPlan(deployment="tiny", seed=1, seconds=1, callers=1, edges=0, is_quiet=True)
    >>> ranges = [p.port_range for p in with_port_ranges(plans=[plan] * 3, jobs=2)]
    >>> any(set(a) & set(b) for a, b in zip(ranges, ranges[1:]))
    False
    """
    size = len(PORTS) // (2 * jobs)
    out = []
    for number, plan in enumerate(plans):
        place = number % (2 * jobs)
        out.append(replace(plan, port_range=PORTS[place * size : (place + 1) * size]))
    return out


def write_soak_report(*, folder: Path, result: SoakResult) -> None:
    """Write what a soak came to, its history and the log of each process."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "result.txt").write_text("\n".join(result.violations), encoding="utf-8")
    rows = "".join(json.dumps(row, default=str) + "\n" for row in result.history)
    (folder / "history.jsonl").write_text(rows, encoding="utf-8")
    for name, text in result.logs.items():
        (folder / f"{name}.log").write_text(text, encoding="utf-8")


def _run(plan: SoakPlan) -> SoakResult:
    started = time.monotonic()

    def say(text: str) -> None:
        if not plan.is_quiet:
            print(f"[{time.monotonic() - started:6.1f} s] {text}", file=sys.stderr, flush=True)

    return asyncio.run(
        run_soak(
            name=plan.deployment,
            seed=plan.seed,
            seconds=plan.seconds,
            callers=plan.callers,
            edges=plan.edges,
            say=say,
            port_range=plan.port_range,
        )
    )
