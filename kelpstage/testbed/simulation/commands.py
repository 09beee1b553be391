"""The commands on simulated fleets: many seeds, and one that is shrunk."""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor
from typing import Optional

import typer

from kelpstage.testbed.fleet.deployment import names
from kelpstage.testbed.number_lists import read_seeds
from kelpstage.testbed.output import say_bad, write_history
from kelpstage.testbed.simulation.faults import FAULTS
from kelpstage.testbed.simulation.figures import figures, summary
from kelpstage.testbed.simulation.scenario import Planned, as_text, plan_combination, run_plan
from kelpstage.testbed.simulation.scenario import shrink as shrink_run


def _job(job: tuple) -> tuple[bool, str, dict]:
    seed, deployment, plan, rate, far_us = job
    outcome, fleet = run_plan(seed=seed, deployment=deployment, plan=plan, rate=rate, far_us=far_us)
    return not outcome.violations, as_text(outcome=outcome), figures(fleet=fleet)


def sim(
    deployment: str = typer.Argument(help=f"One of: {', '.join(names())}, or both."),
    seeds: str = typer.Option("1-8", help="Seeds: 7, 1-40 or 3,5,8-9."),
    count: int = typer.Option(3, min=1, max=12, help="Faults in each combination."),
    only: Optional[str] = typer.Option(None, help="Run this one fault alone (or: each)."),
    rate: float = typer.Option(0.15, help="Share of the deployment's call rate."),
    far_ms: int = typer.Option(
        0,
        min=0,
        max=500,
        help="Distance between zones, one way, with jitter and 1 % of "
        "datagrams lost; 0: 1 to 4 ms, 0.2 %.",
    ),
    workers: int = typer.Option(8, min=1, max=64, help="Worlds run side by side."),
) -> None:
    """Run simulated worlds from seeds and apply every checker to each history."""
    shapes = ["netherlands", "senegal"] if deployment == "both" else [deployment]
    if not set(shapes) <= set(names()):
        say_bad(f"no deployment {deployment!r}; there are: {', '.join(names())}, both")
    try:
        numbers = read_seeds(text=seeds)
    except ValueError:
        say_bad(f"seeds {seeds!r}: give 7, 1-40 or 3,5,8-9")
    if only is not None and only != "each" and only not in FAULTS:
        say_bad(f"no fault {only!r}; there are: {', '.join(FAULTS)}, each")
    jobs = []
    for shape in shapes:
        for seed in numbers:
            if only is None:
                jobs.append(
                    (seed, shape, plan_combination(seed=seed, count=count), rate, far_ms * 1000)
                )
                continue
            for name in FAULTS if only == "each" else [only]:
                plan = [Planned(at_us=100_000, name=name)]
                jobs.append((seed, shape, plan, rate, far_ms * 1000))
    clean, gathered = 0, []
    with ProcessPoolExecutor(max_workers=workers) as pool:
        for is_clean, text, row in pool.map(_job, jobs):
            clean += is_clean
            gathered.append(row)
            if not is_clean or only is not None:
                print(text, flush=True)
    print(json.dumps(summary(rows=gathered)))
    print(f"{clean} of {len(jobs)} runs clean")
    raise SystemExit(0 if clean == len(jobs) else 1)


def shrink(
    deployment: str = typer.Argument(help=f"One of: {', '.join(names())}."),
    seed: int = typer.Option(..., help="The failing seed."),
    count: int = typer.Option(3, min=1, max=12, help="Faults in the combination, as in sim."),
    rate: float = typer.Option(0.15, help="Share of the deployment's call rate, as in sim."),
    history: Optional[str] = typer.Option(None, help="Write the history here (JSON lines)."),
) -> None:
    """Run one failing seed again with as few of its faults as still violate the same rule."""
    if deployment not in names():
        say_bad(f"no deployment {deployment!r}; there are: {', '.join(names())}")
    plan = plan_combination(seed=seed, count=count)
    outcome, fleet = run_plan(seed=seed, deployment=deployment, plan=plan, rate=rate)
    if outcome.violations:
        outcome = shrink_run(outcome=outcome, rate=rate)
        _, fleet = run_plan(seed=seed, deployment=deployment, plan=outcome.plan, rate=rate)
    print(as_text(outcome=outcome))
    if history and fleet is not None:
        write_history(path=history, rows=fleet.history)
    raise SystemExit(1 if outcome.violations else 0)
