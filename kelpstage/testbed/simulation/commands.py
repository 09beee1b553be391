"""Commands that run simulated fleets from seeds, and reduce a failing run to fewer faults."""

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


def _run_job(job: tuple) -> tuple[bool, str, dict]:
    seed, deployment, plan, rate, far_us = job
    outcome, fleet = run_plan(seed=seed, deployment=deployment, plan=plan, rate=rate, far_us=far_us)
    return not outcome.violations, as_text(outcome=outcome), figures(fleet=fleet)


def sim(
    deployment: str = typer.Argument(help=f"One of: {', '.join(names())}, or both."),
    seeds: str = typer.Option("1-8", help="Seeds: 7, 1-40 or 3,5,8-9."),
    count: int = typer.Option(3, min=1, max=12, help="Number of faults in each run."),
    only: Optional[str] = typer.Option(
        None, help="Run only this fault (each: every fault in a run of its own)."
    ),
    rate: float = typer.Option(0.15, help="Fraction of the deployment's call rate."),
    far_ms: int = typer.Option(
        0,
        min=0,
        max=500,
        help="One-way delay between zones, with jitter and 1 % of "
        "datagrams lost; 0: 1 to 4 ms, 0.2 %.",
    ),
    workers: int = typer.Option(
        8, min=1, max=64, help="Number of simulations that run in parallel."
    ),
) -> None:
    """Run a simulation for each seed and apply every checker to its history."""
    deployments = ["netherlands", "senegal"] if deployment == "both" else [deployment]
    if not set(deployments) <= set(names()):
        say_bad(f"no deployment {deployment!r}; there are: {', '.join(names())}, both")
    try:
        numbers = read_seeds(text=seeds)
    except ValueError:
        say_bad(f"seeds {seeds!r}: give 7, 1-40 or 3,5,8-9")
    if only is not None and only != "each" and only not in FAULTS:
        say_bad(f"no fault {only!r}; there are: {', '.join(FAULTS)}, each")
    jobs = []
    for deployment_name in deployments:
        for seed in numbers:
            if only is None:
                jobs.append(
                    (
                        seed,
                        deployment_name,
                        plan_combination(seed=seed, count=count),
                        rate,
                        far_ms * 1000,
                    )
                )
                continue
            for name in FAULTS if only == "each" else [only]:
                plan = [Planned(at_us=100_000, name=name)]
                jobs.append((seed, deployment_name, plan, rate, far_ms * 1000))
    clean, rows = 0, []
    with ProcessPoolExecutor(max_workers=workers) as pool:
        for is_clean, text, row in pool.map(_run_job, jobs):
            clean += is_clean
            rows.append(row)
            if not is_clean or only is not None:
                print(text, flush=True)
    print(json.dumps(summary(rows=rows)))
    print(f"{clean} of {len(jobs)} runs clean")
    raise SystemExit(0 if clean == len(jobs) else 1)


def shrink(
    deployment: str = typer.Argument(help=f"One of: {', '.join(names())}."),
    seed: int = typer.Option(..., help="The failing seed."),
    count: int = typer.Option(3, min=1, max=12, help="Number of faults in the run, as in sim."),
    rate: float = typer.Option(0.15, help="Fraction of the deployment's call rate, as in sim."),
    history: Optional[str] = typer.Option(None, help="File to write the history to (JSON lines)."),
) -> None:
    """Run a failing seed again with as few of its faults as still violate the same rule."""
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
